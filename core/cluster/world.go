package cluster

import (
	"log/slog"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
	"papayaquay/core/routing"
	"papayaquay/core/runner"
)

// Ledgers of a deployment.
const (
	ControlLedger ledger.ID = "control"
	JobsLedger    ledger.ID = "jobs"
)

// Times between snapshots: the age of what they say of silence, and how often
// they follow changes of the directory, which the choice of servers can wait for.
const (
	publishEvery = time.Second
	publishPause = 50 * time.Millisecond
)

// World is the control world. It belongs to one goroutine.
type World struct {
	self       directory.Node
	logger     *slog.Logger
	codec      Codec
	decode     func([]byte) (*routing.Config, error)
	persist    func(sequence uint64, records []ledger.Record)
	send       func(Packet)
	publish    func(*Snapshot)
	background func(func())
	post       func(Input)
	wall       func() time.Time // time of day

	directory *directory.World
	ledgers   *ledger.World
	calls     *call.World
	upstreams *upstreams
	polls     *polls
	proposals *proposals
	registry  *registryHost
	jobs      *jobsHost
	share     *share
	readiness *readiness
	servers   *serverList
	outbox    *outbox

	seeds    []string
	document registry.Document
	config   *routing.Config
	founders []ledger.Member
	whole    wholeNews

	now             time.Time
	again           bool
	stale           bool
	contacts        uint64   // set of instances that the ledger's contacts show
	upstream        []string // control instances that may be followed
	upstreamOf      uint64   // set of instances that they were taken from
	noted           memberKey
	publishedAt     time.Time
	publishedOf     uint64
	publishedUrgent uint64
	leaving         func(left int)
}

// Option changes a world at construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithPersist sets the function that makes records durable; it must not block,
// and Synced(sequence) confirms it.
func WithPersist(persist func(sequence uint64, records []ledger.Record)) Option {
	return func(w *World) { w.persist = persist }
}

// WithSend sets the function that sends packets to other instances.
func WithSend(send func(Packet)) Option { return func(w *World) { w.send = send } }

// WithPublish sets the function that takes each new snapshot.
func WithPublish(publish func(*Snapshot)) Option { return func(w *World) { w.publish = publish } }

// WithBackground sets the functions that run work off the control thread and
// post to this world's inbox.
func WithBackground(background func(func()), post func(Input)) Option {
	return func(w *World) { w.background, w.post = background, post }
}

// WithWallClock sets the clock that tells the time of day.
func WithWallClock(wall func() time.Time) Option { return func(w *World) { w.wall = wall } }

// WithSeeds sets the peer addresses of control instances to ask first.
func WithSeeds(addresses []string) Option { return func(w *World) { w.seeds = addresses } }

// WithLedgers makes the instance host a ledger: the control ledger at control
// instances, the jobs ledger at store instances.
func WithLedgers(ledgers *ledger.World) Option { return func(w *World) { w.ledgers = ledgers } }

// WithRunner sets the runner of batch items at store instances.
func WithRunner(r *runner.World) Option { return func(w *World) { w.jobs = newJobsHost(w.self, r) } }

// New returns the control world of an instance. decode reads a configuration
// document.
func New(now time.Time, self directory.Node, codec Codec, decode func([]byte) (*routing.Config, error), options ...Option) *World {
	w := &World{
		self: self, codec: codec, decode: decode, logger: slog.New(slog.DiscardHandler),
		persist: func(uint64, []ledger.Record) {}, send: func(Packet) {}, publish: func(*Snapshot) {},
		background: func(work func()) { work() }, post: func(Input) {},
		ledgers: ledger.New(self.Address()),
		polls:   newPolls(), proposals: newProposals(), share: newShare(), readiness: &readiness{}, servers: &serverList{}, outbox: newOutbox(self.Address()),
		stale: true, now: now, wall: func() time.Time { return now },
	}
	for _, option := range options {
		option(w)
	}
	width := followWidth
	var hears []directory.Option
	if self.Role() == directory.RoleControl {
		w.registry = newRegistryHost()
		width, hears = 0, append(hears, directory.WithAnnouncements())
	}
	w.directory = directory.New(self.Incarnation(), hears...)
	w.calls = call.NewWorld(w.locate)
	w.upstreams = newUpstreams(self.Address(), width, w.logger)
	w.upstreams.poll, w.upstreams.left = w.poll, w.directory.RemoveUpstream
	w.directory.UpdateNode(now, self)
	return w
}

// Step runs one tick: inputs into the tables, the systems in order, the
// results out.
func (w *World) Step(now time.Time, inputs []Input) {
	w.again, w.now = false, now
	for _, input := range inputs {
		w.receive(now, input)
	}
	w.directory.Run(now)
	w.upstreams.run(now, w.controls())
	w.runJobs(now)
	w.runShare(now)
	w.calls.Run(now)
	w.sendCalls(now)
	w.runLedgers(now)
	w.describe(now)
	w.answerWaiting(now)
	w.sendCalls(now)
	w.publishSnapshot(now)
	w.outbox.flush(w.send)
}

// hosted returns the ledger of this instance, empty at entries.
func (w *World) hosted() ledger.ID {
	switch w.self.Role() {
	case directory.RoleControl:
		return ControlLedger
	case directory.RoleStore:
		return JobsLedger
	}
	return ""
}

// controls returns the control instances that may be followed.
func (w *World) controls() []string {
	if w.upstream != nil && w.upstreamOf == w.directory.MembershipVersion() {
		return w.upstream
	}
	w.upstream, w.upstreamOf = w.findControls(), w.directory.MembershipVersion()
	return w.upstream
}

// findControls collects the control instances: known ones, seeds and members.
func (w *World) findControls() []string {
	var addresses []string
	seen := map[string]bool{w.self.Address(): true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, n := range w.directory.Nodes(directory.RoleControl) {
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

// locate tells where calls to the leader of a ledger go.
func (w *World) locate(target call.Target) (leader string, members []string) {
	kind, id := directory.RoleControl, ControlLedger
	if target == call.TargetJobs {
		kind, id = directory.RoleStore, JobsLedger
	}
	for _, n := range w.directory.Nodes(kind) {
		members = append(members, n.Address())
	}
	if w.hosted() == id {
		return w.ledgers.LeaderOf(id), members
	}
	if kind == directory.RoleControl && len(members) == 0 {
		members = w.seeds
	}
	return w.directory.Leader(kind), members
}

// Next returns the deadline of the next tick.
func (w *World) Next() (time.Time, bool) {
	if w.again {
		return time.Time{}, true
	}
	next := w.publishedAt.Add(publishEvery)
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
	consider(w.share.next())
	if w.jobs != nil {
		consider(w.jobs.next(w.now))
	}
	return next, true
}

// publishSnapshot hands out what changed for traffic.
func (w *World) publishSnapshot(now time.Time) {
	age := now.Sub(w.publishedAt)
	changed := w.publishedOf != w.directory.Version() && age >= publishPause
	urgent := w.publishedUrgent != w.directory.UrgentVersion()
	if !w.stale && !changed && !urgent && age < publishEvery {
		return
	}
	w.publishedUrgent = w.directory.UrgentVersion()
	w.stale, w.publishedAt, w.publishedOf = false, now, w.directory.Version()
	s := NewSnapshot(w.config, w.servers.list(now, w.directory), w.share.loads)
	w.readiness.look(now, w.config != nil, len(s.servers))
	s.ready = w.readiness.ready
	s.stores = w.directory.Nodes(directory.RoleStore)
	w.publish(s)
}
