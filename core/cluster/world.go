package cluster

import (
	"log/slog"
	"strconv"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/quarantine"
	"papayaquay/core/registry"
	"papayaquay/core/routing"
	"papayaquay/core/runner"

	"github.com/cespare/xxhash/v2"
)

// IDs of the ledgers of a deployment.
const (
	ControlLedger ledger.ID = "control"
	JobsLedger    ledger.ID = "jobs"
)

// Intervals between published snapshots.
const (
	publishInterval    = time.Second           // longest interval; bounds the age of the stale flags of servers
	minPublishInterval = 50 * time.Millisecond // shortest interval for directory changes that can wait
)

// World is the control world. Only one goroutine may use it.
type World struct {
	self      directory.Instance
	logger    *slog.Logger
	codec     Codec
	decode    func([]byte) (*routing.Config, error)
	persist   func(sequence uint64, records []ledger.Record)
	send      func(Packet)
	publish   func(*Snapshot)
	wallClock func() time.Time // time of day
	heapBytes func() uint64

	maxJobBytes int // 0: no limit

	directory      *directory.World
	ledgers        *ledger.World
	calls          *call.World
	upstreams      *upstreams
	polls          *polls
	proposals      *proposals
	registry       *registryHost
	jobs           *jobsHost
	loadReporter   *loadReporter
	readiness      *readiness
	quarantine     *quarantine.World // nil at store instances
	evidence       *evidenceExchange
	documents      *documentFetch
	streams        *streamKeeper
	servers        *serverList
	outbox         *outbox
	codingFailures *codingFailures
	writers        *writers

	seeds          []string
	document       registry.Document
	encoded        *encodedDocuments
	config         *routing.Config
	initialMembers []ledger.Member
	responses      *responseCache

	now                    time.Time
	runAgain               bool     // the next tick is due at once
	snapshotStale          bool     // the next tick publishes a snapshot
	contactPointsVersion   uint64   // membership version of the ledger's contact points
	controlList            []string // control instances that may be polled
	controlListVersion     uint64   // membership version of controlList
	loggedMembers          memberLogKey
	publishedAt            time.Time
	publishedVersion       uint64
	publishedUrgentVersion uint64
	memoryLogDue           time.Time
	reportTransfer         func(leading int) // nil until a transfer of leadership is requested
}

// Option changes a world at its construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithPersist sets the function that makes records durable. It must not block;
// the input Synced(sequence) confirms the records.
func WithPersist(persist func(sequence uint64, records []ledger.Record)) Option {
	return func(w *World) { w.persist = persist }
}

// WithSend sets the function that sends packets to other instances.
func WithSend(send func(Packet)) Option { return func(w *World) { w.send = send } }

// WithPublish sets the function that receives each new snapshot.
func WithPublish(publish func(*Snapshot)) Option { return func(w *World) { w.publish = publish } }

// WithWallClock sets the clock for the time of day.
func WithWallClock(wall func() time.Time) Option { return func(w *World) { w.wallClock = wall } }

// WithSeeds sets the peer addresses of the control instances to contact first.
func WithSeeds(addresses []string) Option { return func(w *World) { w.seeds = addresses } }

// WithFirstStart says that the whole deployment starts for the first time.
func WithFirstStart() Option { return func(w *World) { w.streams.history.BeginDeployment() } }

// WithLedgers sets the ledger that the instance hosts: the control ledger at
// control instances, the jobs ledger at store instances.
func WithLedgers(ledgers *ledger.World) Option { return func(w *World) { w.ledgers = ledgers } }

// WithRunner sets the runner of batch items at store instances.
func WithRunner(r *runner.World) Option { return func(w *World) { w.jobs = newJobsHost(w.self, r) } }

// New returns the control world of an instance. decode parses a configuration
// document.
func New(now time.Time, self directory.Instance, codec Codec, decode func([]byte) (*routing.Config, error), options ...Option) *World {
	w := &World{
		self: self, codec: codec, decode: decode, logger: slog.New(slog.DiscardHandler),
		persist: func(uint64, []ledger.Record) {}, send: func(Packet) {}, publish: func(*Snapshot) {},
		ledgers: ledger.New(self.Address()),
		polls:   newPolls(), proposals: newProposals(), loadReporter: newLoadReporter(), evidence: newEvidenceExchange(), documents: newDocumentFetch(), streams: newStreamKeeper(now), encoded: newEncodedDocuments(), readiness: &readiness{}, servers: &serverList{}, outbox: newOutbox(self.Address()), writers: newWriters(), responses: newResponseCache(), codingFailures: newCodingFailures(),
		snapshotStale: true, now: now, wallClock: func() time.Time { return now },
		heapBytes: func() uint64 { return 0 },
	}
	for _, option := range options {
		option(w)
	}
	upstreamLimit := upstreamCount
	var directoryOptions []directory.Option
	if self.Role() == directory.RoleControl {
		w.registry = newRegistryHost()
		upstreamLimit, directoryOptions = 0, append(directoryOptions, directory.WithAnnouncements())
	}
	w.directory = directory.New(self.Incarnation(), directoryOptions...)
	w.quarantine = w.newQuarantine()
	w.calls = call.NewWorld(w.locate, call.WithFirstNumber(xxhash.Sum64String(strconv.FormatUint(self.Incarnation(), 10))))
	w.upstreams = newUpstreams(self.Address(), upstreamLimit, w.logger)
	w.upstreams.poll, w.upstreams.forget = w.pollUpstream, w.directory.RemoveUpstream
	w.directory.UpdateInstance(now, self)
	return w
}

// Step runs one tick: it handles the inputs, runs the systems in order and sends
// the results.
func (w *World) Step(now time.Time, inputs []Input) {
	w.runAgain, w.now = false, now
	for _, input := range inputs {
		w.receive(now, input)
	}
	w.directory.Run(now)
	w.upstreams.run(now, w.controls())
	w.runDocumentFetch(now)
	w.runStreams(now)
	w.runJobs(now)
	w.runLoadReporter(now)
	w.runQuarantine(now)
	w.calls.Run(now)
	w.sendCalls(now)
	w.runLedgers(now)
	w.updateSelf(now)
	w.answerWaiting(now)
	w.sendCalls(now)
	w.publishSnapshot(now)
	w.logMemory(now)
	w.outbox.flush(w.send)
}

// hosted returns the ledger of this instance, or "" at entry instances.
func (w *World) hosted() ledger.ID {
	switch w.self.Role() {
	case directory.RoleControl:
		return ControlLedger
	case directory.RoleStore:
		return JobsLedger
	}
	return ""
}

// controls returns the addresses of the control instances that may be polled.
func (w *World) controls() []string {
	if w.controlList != nil && w.controlListVersion == w.directory.MembershipVersion() {
		return w.controlList
	}
	w.controlList, w.controlListVersion = w.findControls(), w.directory.MembershipVersion()
	return w.controlList
}

// findControls collects the control instances from the directory, the seeds and
// the members of the control ledger.
func (w *World) findControls() []string {
	var addresses []string
	seen := map[string]bool{w.self.Address(): true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, n := range w.directory.Instances(directory.RoleControl) {
		add(n.Address())
	}
	for _, address := range w.seeds {
		add(address)
	}
	if w.self.Role() == directory.RoleControl {
		for _, m := range w.members() {
			add(m.Instance())
		}
	}
	return addresses
}

// members returns the members of the hosted ledger.
func (w *World) members() []ledger.Member {
	for _, s := range w.ledgers.Statuses() {
		return s.Members()
	}
	return nil
}

// locate returns the known leader of a target's ledger and the instances that
// may know it.
func (w *World) locate(target call.Target) (leader string, members []string) {
	role, id := directory.RoleControl, ControlLedger
	if target == call.TargetJobs {
		role, id = directory.RoleStore, JobsLedger
	}
	for _, n := range w.directory.Instances(role) {
		members = append(members, n.Address())
	}
	if w.hosted() == id {
		return w.ledgers.LeaderOf(id), members
	}
	if role == directory.RoleControl && len(members) == 0 {
		members = w.seeds
	}
	return w.directory.Leader(role), members
}

// Next returns the deadline of the next tick. The second result is always true.
func (w *World) Next() (time.Time, bool) {
	if w.runAgain {
		return time.Time{}, true
	}
	next := w.publishedAt.Add(publishInterval)
	consider := func(due time.Time, ok bool) {
		if ok && due.Before(next) {
			next = due
		}
	}
	if w.hosted() != "" {
		consider(w.ledgers.Next(time.Time{}), true)
	}
	consider(w.calls.Next())
	consider(w.polls.next())
	consider(w.loadReporter.next())
	consider(w.nextEvidence())
	consider(w.nextDocumentFetch())
	if w.jobs != nil {
		consider(w.jobs.next(w.now))
	}
	return next, true
}

// publishSnapshot publishes a snapshot for traffic if one is due.
func (w *World) publishSnapshot(now time.Time) {
	age := now.Sub(w.publishedAt)
	changed := w.publishedVersion != w.directory.Version() && age >= minPublishInterval
	urgent := w.publishedUrgentVersion != w.directory.UrgentVersion()
	if !w.snapshotStale && !changed && !urgent && age < publishInterval {
		return
	}
	w.publishedUrgentVersion = w.directory.UrgentVersion()
	w.snapshotStale, w.publishedAt, w.publishedVersion = false, now, w.directory.Version()
	s := NewSnapshot(w.config, w.servers.list(now, w.directory), w.loadReporter.loads)
	w.readiness.update(now, w.config != nil, len(s.servers))
	s.ready = w.readiness.ready
	if w.quarantine != nil {
		s.quarantine = w.quarantine.View().At(now)
	}
	s.entries = len(w.directory.Instances(directory.RoleEntry))
	s.staleness = now.Sub(w.lastLeaderContact())
	s.versions = w.streams.history.InUse(now)
	s.stores = w.directory.Instances(directory.RoleStore)
	w.publish(s)
}
