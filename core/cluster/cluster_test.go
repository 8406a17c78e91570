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
	"papayaquay/core/registry"
	"papayaquay/core/routing"
	"papayaquay/core/runner"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// tickStep is the simulated time between two rounds of ticks.
const tickStep = 5 * time.Millisecond

// vault keeps values under numbers, so that tests need no encoding.
type vault struct {
	values []any
}

// pairOf returns a codec that stores values in the vault.
func pairOf[T any](v *vault) Encoding[T] {
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

// newVaultCodec returns the codec of a test system.
func newVaultCodec() Codec {
	v := &vault{}
	return Codec{
		Registry: pairOf[registry.Command](v), RegistryState: pairOf[*registry.State](v),
		Batch: pairOf[batch.Command](v), BatchSnapshot: pairOf[BatchSnapshot](v),
		PollRequest: pairOf[PollRequest](v), PollResponse: pairOf[PollResponse](v),
		UsageRequest: pairOf[usage.SyncRequest](v), LoadUpdate: pairOf[LoadUpdate](v),
		Query: pairOf[Query](v), Page: pairOf[batch.Page](v),
	}
}

// testDisk is what an instance has made durable.
type testDisk struct {
	nonce    int
	term     uint64
	vote     ledger.ReplicaID
	snapshot ledger.Snapshot
	entries  []ledger.Entry
}

// write makes a record durable.
func (d *testDisk) write(r ledger.Record) {
	switch r.Kind() {
	case ledger.RecordVote:
		d.term, d.vote = r.Term(), r.Vote()
	case ledger.RecordSnapshot:
		rest := d.entries[:0:0]
		for _, e := range d.entries {
			if e.Index() > r.Snapshot().Index() {
				rest = append(rest, e)
			}
		}
		d.snapshot, d.entries = r.Snapshot(), rest
	case ledger.RecordEntry:
		keep := d.entries[:0:0]
		for _, e := range d.entries {
			if e.Index() < r.Entry().Index() {
				keep = append(keep, e)
			}
		}
		d.entries = append(keep, r.Entry())
	}
}

// testNode is one simulated instance.
type testNode struct {
	address  string
	kind     directory.Role
	zone     string
	world    *World
	disk     testDisk
	inbox    []Input
	down     bool
	starts   uint64
	attempts []runner.Attempt
	stopped  []uint64
	snapshot *Snapshot
}

// testSystem is a simulated deployment.
type testSystem struct {
	c      *qt.C
	now    time.Time
	codec  Codec
	seeds  []string
	nodes  []*testNode
	voters int // of each ledger
	cut    func(from, to string) bool
	sent   func(Packet) // sees every packet
}

// newTestSystem returns a deployment of three control, stores store and two
// entry instances at its first start.
func newTestSystem(t testing.TB, stores int) *testSystem { return newSizedSystem(t, 3, stores) }

// newSizedSystem returns a deployment with so many control instances, all of
// which vote, and two entries.
func newSizedSystem(t testing.TB, controls, stores int) *testSystem {
	s := &testSystem{c: qt.New(t), now: time.Unix(1000, 0), codec: newVaultCodec(), voters: controls,
		cut: func(string, string) bool { return false }, sent: func(Packet) {}}
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
	for _, n := range s.nodes {
		s.boot(n, true)
	}
	return s
}

// add creates an instance that is not started yet.
func (s *testSystem) add(address string, kind directory.Role, zone string) *testNode {
	n := &testNode{address: address, kind: kind, zone: zone}
	s.nodes = append(s.nodes, n)
	return n
}

// node returns an instance by address.
func (s *testSystem) node(address string) *testNode {
	for _, n := range s.nodes {
		if n.address == address {
			return n
		}
	}
	s.c.Fatalf("no instance %s", address)
	return nil
}

// boot starts an instance from its disk.
func (s *testSystem) boot(n *testNode, first bool) {
	n.starts++
	n.down, n.inbox, n.attempts = false, nil, nil
	self := directory.NewNode(n.address, "name-"+n.address, n.zone, n.kind, n.starts)
	options := []Option{WithSeeds(s.seeds), WithWallClock(func() time.Time { return s.now }),
		WithPersist(func(sequence uint64, records []ledger.Record) {
			for _, r := range records {
				n.disk.write(r)
			}
			n.inbox = append(n.inbox, Synced(sequence))
		}),
		WithSend(func(p Packet) { s.deliver(n, p) }), WithPublish(func(x *Snapshot) { n.snapshot = x }),
		WithBackground(func(work func()) { work() }, func(i Input) { n.inbox = append(n.inbox, i) })}
	if n.kind != directory.RoleEntry {
		options = append(options, WithLedgers(s.host(n, first)))
	}
	if n.kind == directory.RoleStore {
		options = append(options, WithRunner(runner.New(
			runner.WithAttempts(func(a runner.Attempt) { n.attempts = append(n.attempts, a) },
				func(number uint64) { n.stopped = append(n.stopped, number) }),
			runner.WithOnline(func(backend string) int { return n.world.OnlineRequests(backend) }))))
	}
	n.world = New(s.now, self, s.codec, decodeTest, options...)
}

// host creates the ledger world of an instance.
func (s *testSystem) host(n *testNode, first bool) *ledger.World {
	world := ledger.New(n.address, ledger.WithSeed(uint64(len(n.address)*7+int(n.address[1]))+n.starts*13),
		ledger.WithVoters(s.voters, func(i string) string { return n.world.DataCentre(i) }, func(i string) bool { return n.world.Retiring(i) }))
	id, founders := JobsLedger, []string(nil)
	options := []ledger.HostOption{ledger.WithPersistedState(n.disk.term, n.disk.vote, n.disk.snapshot, append([]ledger.Entry(nil), n.disk.entries...))}
	if n.kind == directory.RoleControl {
		id = ControlLedger
		if first && slices.Contains(s.seeds, n.address) {
			founders = s.seeds
		}
	}
	if founders == nil {
		options = append(options, ledger.WithJoinOnly())
	}
	world.Host(s.now, id, ledger.ReplicaID(fmt.Sprintf("%s#%d", n.address, n.disk.nonce)), founders, options...)
	return world
}

// decodeTest reads a document whose content is its number and host.
func decodeTest(content []byte) (*routing.Config, error) {
	var number uint64
	if err := json.Unmarshal(content, &number); err != nil {
		return nil, err
	}
	route := routing.NewRoute("r", "h", "/p/", routing.KindBatch, time.Second, routing.WithTargets(routing.NewTarget("s", 1)),
		routing.WithAttempts(3), routing.WithBatch(18*time.Second, time.Minute, 1000))
	return routing.New(number, []routing.Route{route}, []routing.Service{routing.NewService("s", "/", 10, 8)}, routing.Limits{})
}

// deliver passes a packet on, unless the link is cut.
func (s *testSystem) deliver(from *testNode, p Packet) {
	s.sent(p)
	for _, n := range s.nodes {
		if n.address == p.To() && !n.down && !s.cut(from.address, n.address) {
			n.inbox = append(n.inbox, PacketReceived(p))
		}
	}
}

// run lets time pass.
func (s *testSystem) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tickStep) {
		for _, n := range s.nodes {
			if n.down || n.world == nil {
				continue
			}
			inputs := n.inbox
			n.inbox = nil
			n.world.Step(s.now, inputs)
		}
	}
}

// ask makes a call at an instance and returns its outcome.
func (s *testSystem) ask(at string, kind call.Kind, target call.Target, payload []byte) call.Reply {
	var reply *call.Reply
	n := s.node(at)
	n.inbox = append(n.inbox, StartCall(call.New(kind, target, s.now.Add(4*time.Second), payload), func(r call.Reply) { reply = &r }))
	for range 1000 {
		if s.run(tickStep); reply != nil {
			return *reply
		}
	}
	s.c.Fatalf("no reply to a call at %s", at)
	return call.Reply{}
}

// configure sends a document with a number.
func (s *testSystem) configure(at string, number uint64) call.Status {
	content, err := json.Marshal(number)
	s.c.Assert(err, qt.IsNil)
	payload, err := s.codec.Registry.Encode(registry.Configure(registry.NewDocument(number, content)))
	s.c.Assert(err, qt.IsNil)
	return s.ask(at, call.KindPropose, call.TargetControl, payload).Status()
}

// document reads the newest document.
func (s *testSystem) document(at string) (call.Status, string) {
	r := s.ask(at, call.KindDocument, call.TargetControl, nil)
	return r.Status(), string(r.Payload())
}

// submit hands in a job with items.
func (s *testSystem) submit(at, id string, items int) call.Status {
	var list []batch.Item
	for i := range items {
		list = append(list, batch.NewItem(fmt.Sprintf("%s-%d", id, i), "/p/x", nil, []byte("body"), 10))
	}
	order := batch.NewJobSpec(id, "r", "h", list, batch.WithTimes(s.now, s.now.Add(18*time.Second), s.now.Add(time.Minute)), batch.WithLimits(1000, 3))
	payload, err := s.codec.Batch.Encode(batch.Submit(order))
	s.c.Assert(err, qt.IsNil)
	return s.ask(at, call.KindPropose, call.TargetJobs, payload).Status()
}

// page reads results.
func (s *testSystem) page(at, id string, after int) (batch.Page, call.Status) {
	payload, err := s.codec.Query.Encode(NewQuery(id, after, ""))
	s.c.Assert(err, qt.IsNil)
	r := s.ask(at, call.KindPage, call.TargetJobs, payload)
	if r.Status() != call.StatusDone {
		return batch.Page{}, r.Status()
	}
	p, err := s.codec.Page.Decode(r.Payload())
	s.c.Assert(err, qt.IsNil)
	return p, r.Status()
}

// announce lets a backend server announce itself at a control instance.
func (s *testSystem) announce(at, id string, sequence uint64) member.Backend {
	b := member.NewBackend(id, id+":80", "z0", member.ProtocolEngine, 8, 1, sequence, member.WithServices("s"))
	n := s.node(at)
	n.inbox = append(n.inbox, Announce(b))
	return b
}

// leader returns the instance that leads the ledger of a kind.
func (s *testSystem) leader(kind directory.Role) *testNode {
	for _, n := range s.nodes {
		if n.kind == kind && !n.down && n.world.ledgers.Leads(s.now, n.world.hosted()) {
			return n
		}
	}
	s.c.Fatalf("no leader of %s", kind)
	return nil
}
