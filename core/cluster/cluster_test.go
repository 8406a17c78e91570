package cluster

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/quarantine"
	"papayaquay/core/registry"
	"papayaquay/core/routing"
	"papayaquay/core/runner"
	"papayaquay/core/stream"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// tickStep is the simulated time between two ticks of an instance.
const tickStep = 5 * time.Millisecond

// valueStore keeps values under numbers, so that tests need no real encoding.
type valueStore struct {
	values []any
}

// storedEncoding returns an encoding that keeps the values in the store and
// encodes their numbers.
func storedEncoding[T any](v *valueStore) Encoding[T] {
	return NewEncoding(func(value T) ([]byte, error) {
		v.values = append(v.values, value)
		return json.Marshal(len(v.values) - 1)
	}, func(data []byte) (T, error) {
		var zero T
		var n int
		if err := json.Unmarshal(data, &n); err != nil {
			return zero, err
		}
		value, ok := v.values[n].(T)
		if !ok {
			return zero, fmt.Errorf("value %d has type %T", n, v.values[n])
		}
		return value, nil
	})
}

// newTestCodec returns the codec of a test system.
func newTestCodec() Codec {
	v := &valueStore{}
	return Codec{
		Registry: storedEncoding[registry.Command](v), RegistryState: storedEncoding[*registry.State](v),
		Batch: storedEncoding[batch.Command](v), BatchSnapshot: storedEncoding[BatchSnapshot](v),
		PollRequest: storedEncoding[PollRequest](v), PollResponse: storedEncoding[PollResponse](v),
		StreamRecords: storedEncoding[[]stream.Record](v), StreamQuery: storedEncoding[stream.Query](v), StreamAnswer: storedEncoding[stream.Answer](v),
		Document: NewEncoding(encodeTestDocument, decodeTestDocument), DocumentRequest: storedEncoding[DocumentRequest](v), DocumentPart: storedEncoding[DocumentPart](v),
		SyncRequest: storedEncoding[usage.SyncRequest](v), LoadUpdate: storedEncoding[LoadUpdate](v),
		EvidenceRequest: storedEncoding[quarantine.SyncRequest](v), EvidenceUpdate: storedEncoding[quarantine.Update](v),
		Query: storedEncoding[Query](v), Page: storedEncoding[batch.Page](v),
	}
}

// encodeTestDocument encodes a document, whose content is its number, in the size of its
// content.
func encodeTestDocument(d registry.Document) ([]byte, error) { return d.Content(), nil }

// decodeTestDocument decodes a document.
func decodeTestDocument(data []byte) (registry.Document, error) {
	var number uint64
	err := json.Unmarshal(data, &number)
	return registry.NewDocument(number, data), err
}

// testDisk is the durable state of an instance.
type testDisk struct {
	nonce    int // number of times that the disk was replaced
	term     uint64
	vote     ledger.ReplicaID
	snapshot ledger.Snapshot
	parts    [][]byte // of the snapshot, if it has several
	pending  [][]byte // of a snapshot that is not complete yet
	entries  []ledger.Entry
}

// write stores a record.
func (d *testDisk) write(r ledger.Record) {
	switch r.Kind() {
	case ledger.RecordVote:
		d.term, d.vote = r.Term(), r.Vote()
	case ledger.RecordSnapshot:
		d.writeSnapshot(r.Snapshot())
	case ledger.RecordEntry:
		kept := d.entries[:0:0]
		for _, e := range d.entries {
			if e.Index() < r.Entry().Index() {
				kept = append(kept, e)
			}
		}
		d.entries = append(kept, r.Entry())
	}
}

// writeSnapshot stores a snapshot or a part of one.
func (d *testDisk) writeSnapshot(s ledger.Snapshot) {
	if s.Part() == 0 {
		d.pending = nil
	}
	d.pending = append(d.pending, s.Data())
	if !s.IsLast() {
		return
	}
	kept := d.entries[:0:0]
	for _, e := range d.entries {
		if e.Index() > s.Index() {
			kept = append(kept, e)
		}
	}
	d.parts, d.entries = nil, kept
	d.snapshot = ledger.NewSnapshot(s.Index(), s.Term(), s.Members(), s.Data())
	if s.Parts() > 1 {
		d.parts, d.snapshot = d.pending, ledger.NewSnapshot(s.Index(), s.Term(), s.Members(), nil)
	}
}

// testInstance is one simulated instance.
type testInstance struct {
	address    string
	role       directory.Role
	dataCentre string
	world      *World
	disk       testDisk
	inbox      []Input
	down       bool
	starts     uint64
	attempts   []runner.Attempt
	stopped    []uint64
	snapshot   *Snapshot
	linkFreeAt time.Time       // when the last packet to it has arrived
	arriving   []arrivingInput // packets on its link
}

// arrivingInput is a packet on its way over a link with a bandwidth.
type arrivingInput struct {
	at    time.Time
	input Input
}

// testSystem is a simulated deployment.
type testSystem struct {
	c          *qt.C
	now        time.Time
	codec      Codec
	seeds      []string
	instances  []*testInstance
	voters     int // in each ledger
	isLinkDown func(from, to string) bool
	onSend     func(Packet) // called with every packet

	entryLinkBytes int // bytes per second that each entry instance receives at most; 0 means no limit
}

// newTestSystem returns a deployment of three control instances, the given
// number of store instances and two entry instances at its first start.
func newTestSystem(t testing.TB, stores int) *testSystem { return newSizedSystem(t, 3, stores) }

// newSizedSystem returns a deployment with the given numbers of control and
// store instances and two entry instances. All control instances vote.
func newSizedSystem(t testing.TB, controls, stores int) *testSystem {
	s := &testSystem{c: qt.New(t), now: time.Unix(1000, 0), codec: newTestCodec(), voters: controls,
		isLinkDown: func(string, string) bool { return false }, onSend: func(Packet) {}}
	for i := range 3 {
		s.seeds = append(s.seeds, fmt.Sprintf("c%d", i))
	}
	for i := range controls {
		s.add(fmt.Sprintf("c%d", i), directory.RoleControl, fmt.Sprintf("z%d", i%3))
	}
	for i := range stores {
		s.add(fmt.Sprintf("s%d", i), directory.RoleStore, fmt.Sprintf("z%d", i%3))
	}
	for i := range 2 {
		s.add(fmt.Sprintf("e%d", i), directory.RoleEntry, fmt.Sprintf("z%d", i))
	}
	for _, n := range s.instances {
		s.start(n, true)
	}
	return s
}

// add adds an instance without starting it.
func (s *testSystem) add(address string, role directory.Role, dataCentre string) *testInstance {
	n := &testInstance{address: address, role: role, dataCentre: dataCentre}
	s.instances = append(s.instances, n)
	return n
}

// instance returns the instance with an address.
func (s *testSystem) instance(address string) *testInstance {
	for _, n := range s.instances {
		if n.address == address {
			return n
		}
	}
	s.c.Fatalf("no instance %s", address)
	return nil
}

// start starts an instance from its disk. first says that the deployment is new.
func (s *testSystem) start(n *testInstance, first bool) {
	n.starts++
	n.down, n.inbox, n.attempts = false, nil, nil
	self := directory.NewInstance(n.address, "name-"+n.address, n.dataCentre, n.role, n.starts)
	options := []Option{WithSeeds(s.seeds), WithWallClock(func() time.Time { return s.now }),
		WithPersist(func(sequence uint64, records []ledger.Record) {
			for _, r := range records {
				n.disk.write(r)
			}
			n.inbox = append(n.inbox, Synced(sequence))
		}),
		WithSend(func(p Packet) { s.deliver(n, p) }), WithPublish(func(x *Snapshot) { n.snapshot = x })}
	if first {
		options = append(options, WithFirstStart())
	}
	if n.role != directory.RoleEntry {
		options = append(options, WithLedgers(s.host(n, first)))
	}
	if n.role == directory.RoleStore {
		options = append(options, WithRunner(runner.New(
			runner.WithAttempts(func(a runner.Attempt) { n.attempts = append(n.attempts, a) },
				func(number uint64) { n.stopped = append(n.stopped, number) }),
			runner.WithLimits(func(now time.Time, b member.Backend) (int, bool) { return n.world.ItemRoom(now, b) }),
			runner.WithOnline(func(backend string) int { return n.world.OnlineRequests(backend) }))))
	}
	n.world = New(s.now, self, s.codec, decodeTest, options...)
}

// host returns the ledger world of an instance.
func (s *testSystem) host(n *testInstance, first bool) *ledger.World {
	world := ledger.New(n.address, ledger.WithSeed(uint64(len(n.address)*7+int(n.address[1]))+n.starts*13),
		ledger.WithVoters(s.voters, func(i string) string { return n.world.DataCentre(i) }, func(i string) bool { return n.world.Retiring(i) }),
		ledger.WithExport(func(ledger.ID) ledger.Parts { return n.world.Export() }))
	id, initialMembers := JobsLedger, []string(nil)
	options := []ledger.HostOption{ledger.WithPersistedState(n.disk.term, n.disk.vote, n.disk.snapshot, append([]ledger.Entry(nil), n.disk.entries...)),
		ledger.WithSnapshotParts(n.disk.parts)}
	if n.role == directory.RoleControl {
		id = ControlLedger
		if first && slices.Contains(s.seeds, n.address) {
			initialMembers = s.seeds
		}
	}
	if initialMembers == nil {
		options = append(options, ledger.WithJoinOnly())
	}
	world.Host(s.now, id, ledger.ReplicaID(fmt.Sprintf("%s#%d", n.address, n.disk.nonce)), initialMembers, options...)
	return world
}

// decodeTest parses a document whose content is its number.
func decodeTest(content []byte) (*routing.Config, error) {
	var number uint64
	if err := json.Unmarshal(content, &number); err != nil {
		return nil, err
	}
	route := routing.NewRoute("r", "h", "/p/", routing.KindBatch, time.Second, routing.WithTargets(routing.NewTarget("s", 1)),
		routing.WithAttempts(3), routing.WithBatch(18*time.Second, time.Minute, 1000))
	return routing.New(number, []routing.Route{route}, []routing.Service{routing.NewService("s", "/", 10, 8)}, routing.Limits{})
}

// deliver delivers a packet unless the link is down.
func (s *testSystem) deliver(from *testInstance, p Packet) {
	s.onSend(p)
	for _, n := range s.instances {
		if n.address == p.To() && !n.down && !s.isLinkDown(from.address, n.address) {
			s.transfer(n, p)
		}
	}
}

// transfer puts a packet into the inbox of its receiver, after the time that it takes on the
// receiver's link.
func (s *testSystem) transfer(n *testInstance, p Packet) {
	if s.entryLinkBytes == 0 || n.role != directory.RoleEntry {
		n.inbox = append(n.inbox, PacketReceived(p))
		return
	}
	if n.linkFreeAt.Before(s.now) {
		n.linkFreeAt = s.now
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(s.packetBytes(p)) * time.Second / time.Duration(s.entryLinkBytes))
	n.arriving = append(n.arriving, arrivingInput{at: n.linkFreeAt, input: PacketReceived(p)})
}

// packetBytes returns the size of a packet on a link: that of its payloads and of the
// documents in them, which the encodings of the tests keep elsewhere.
func (s *testSystem) packetBytes(p Packet) int {
	size := 0
	for _, r := range p.Replies() {
		size += len(r.Payload())
		if response, err := s.codec.PollResponse.Decode(r.Payload()); err == nil {
			size += len(response.Document().Content())
		}
		if part, err := s.codec.DocumentPart.Decode(r.Payload()); err == nil {
			size += len(part.Data())
		}
	}
	return size
}

// receiveArrived puts the packets that have arrived into the inbox of an instance.
func (s *testSystem) receiveArrived(n *testInstance) {
	for len(n.arriving) > 0 && !n.arriving[0].at.After(s.now) {
		n.inbox = append(n.inbox, n.arriving[0].input)
		n.arriving = n.arriving[1:]
	}
}

// run advances the simulated time by d.
func (s *testSystem) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tickStep) {
		for _, n := range s.instances {
			if n.down || n.world == nil {
				continue
			}
			s.receiveArrived(n)
			inputs := n.inbox
			n.inbox = nil
			n.world.Step(s.now, inputs)
		}
	}
}

// call makes a call at an instance and returns its reply.
func (s *testSystem) call(at string, kind call.Kind, target call.Target, payload []byte) call.Reply {
	var reply *call.Reply
	n := s.instance(at)
	n.inbox = append(n.inbox, StartCall(call.New(kind, target, s.now.Add(4*time.Second), payload), func(r call.Reply) { reply = &r }))
	for range 1000 {
		if s.run(tickStep); reply != nil {
			return *reply
		}
	}
	s.c.Fatalf("no reply to a call at %s", at)
	return call.Reply{}
}

// configure proposes a configuration document with a number.
func (s *testSystem) configure(at string, number uint64) call.Status {
	return s.configureSized(at, number, 0)
}

// configureSized proposes a configuration document with a number and a minimum size.
func (s *testSystem) configureSized(at string, number uint64, bytes int) call.Status {
	content := fmt.Appendf(nil, "%*d", bytes, number)
	payload, err := s.codec.Registry.Encode(registry.Configure(registry.NewDocument(number, content)))
	s.c.Assert(err, qt.IsNil)
	return s.call(at, call.KindPropose, call.TargetControl, payload).Status()
}

// leave reports the leave of a backend server to a control instance and returns the status
// of the acknowledgement.
func (s *testSystem) leave(at string, b member.Backend) call.Status {
	status := call.Status(0)
	n := s.instance(at)
	n.inbox = append(n.inbox, Leave(b, func(r call.Reply) { status = r.Status() }))
	for range 1000 {
		if s.run(tickStep); status != 0 {
			return status
		}
	}
	s.c.Fatalf("no acknowledgement of a leave at %s", at)
	return 0
}

// lists reports whether an instance lists a backend server for new work.
func (s *testSystem) lists(at, backend string) bool {
	return slices.ContainsFunc(s.instance(at).snapshot.Servers(), func(server directory.Server) bool { return server.Backend().ID() == backend })
}

// document reads the newest configuration document.
func (s *testSystem) document(at string) (call.Status, string) {
	r := s.call(at, call.KindDocument, call.TargetControl, nil)
	return r.Status(), string(r.Payload())
}

// submit submits a job with the given number of items.
func (s *testSystem) submit(at, id string, items int) call.Status {
	var list []batch.Item
	for i := range items {
		list = append(list, batch.NewItem(fmt.Sprintf("%s-%d", id, i), "/p/x", nil, []byte("body"), 10))
	}
	spec := batch.NewJobSpec(id, "r", "h", list, batch.WithTimes(s.now, s.now.Add(18*time.Second), s.now.Add(time.Minute)), batch.WithLimits(1000, 3))
	payload, err := s.codec.Batch.Encode(batch.Submit(spec))
	s.c.Assert(err, qt.IsNil)
	return s.call(at, call.KindPropose, call.TargetJobs, payload).Status()
}

// page reads the results of a job after a position.
func (s *testSystem) page(at, id string, after int) (batch.Page, call.Status) {
	payload, err := s.codec.Query.Encode(NewQuery(id, after, ""))
	s.c.Assert(err, qt.IsNil)
	r := s.call(at, call.KindPage, call.TargetJobs, payload)
	if r.Status() != call.StatusDone {
		return batch.Page{}, r.Status()
	}
	p, err := s.codec.Page.Decode(r.Payload())
	s.c.Assert(err, qt.IsNil)
	return p, r.Status()
}

// announce sends the announcement of a backend server to a control instance.
func (s *testSystem) announce(at, id string, sequence uint64) member.Backend {
	b := member.NewBackend(id, id+":80", "z0", member.ProtocolEngine, 8, 1, sequence, member.WithServices("s"))
	n := s.instance(at)
	n.inbox = append(n.inbox, Announce(b))
	return b
}

// leader returns the leader of the ledger of a role.
func (s *testSystem) leader(role directory.Role) *testInstance {
	for _, n := range s.instances {
		if n.role == role && !n.down && n.world.ledgers.Leads(s.now, n.world.hosted()) {
			return n
		}
	}
	s.c.Fatalf("no leader of %s", role)
	return nil
}
