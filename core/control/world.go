package control

import (
	"log/slog"
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/timer"
)

// Default limits and timing.
const (
	DefaultCompactAfter   = 5000 // applied entries
	DefaultLease          = 10 * time.Second
	DefaultReserveDivisor = 8 // one slot in so many is reserved for online requests

	forwardTimeout       = 700 * time.Millisecond // until a forwarded call is sent again
	forwardWaitTimeout   = 3 * time.Second        // the same for a call that waits for an answer, longer than maxCallWait
	maxCallWait          = 2 * time.Second        // for which a leader holds a waiting call
	retryDelay           = 50 * time.Millisecond  // before the next attempt if no leader is known
	maxPullWait          = time.Second            // for which an upstream holds a pull
	pullTimeout          = 1500 * time.Millisecond
	expireInterval       = 2 * time.Second
	loadReportInterval   = time.Second
	loadReportDelay      = 10 * time.Millisecond // between reports of changed online load
	loadReportExpiry     = 3 * time.Second
	minLeasePollInterval = 250 * time.Millisecond // between lease polls of a home ledger without new items
	maxLeasePollInterval = 2 * time.Second        // the same while this instance holds no items
	maxItemAttempts      = 3
	itemSlotTimeout      = 1500 * time.Millisecond // wait for a slot after which an item is released
	itemBackoff          = 500 * time.Millisecond  // during which a server that could not start an item gets none
)

// tickState is the state that the sub-worlds share within and between ticks.
type tickState struct {
	now           time.Time // time of the current tick
	runAgain      bool      // the next tick must follow without delay
	snapshotStale bool      // the published snapshot is out of date
	draining      bool      // this instance is shutting down
}

// World is the control world. It connects its sub-worlds and runs their systems.
// Only one goroutine may use it.
type World struct {
	dataCentre  string
	logger      *slog.Logger
	settings    worldSettings
	send        func(Packet)
	publish     func(*Snapshot)
	reportDrain func(DrainProgress)
	diskErr     error

	members     *member.World
	ledgers     *ledger.World
	calls       *callWorld
	hosts       *hostWorld
	config      *configWorld
	loads       *loadWorld
	items       *itemWorld
	answerMoves *answerMoveWorld
	crashes     *crashWorld
	changes     *changeLogWorld
	outbox      *outbox
	timers      *timer.Service
	tick        *tickState
	homes       []ledger.ID

	publishedVersion uint64 // membership version of the published snapshot
}

// worldSettings are the options that New passes to the sub-worlds.
type worldSettings struct {
	persist      func(sequence uint64, records []ledger.Record)
	background   func(func())
	post         func(Input)
	startItem    func(Item)
	stopItem     func(number uint64, preempt bool)
	compactAfter uint64
	maxHomeBytes int
	lease        time.Duration
	placements   []Placement
}

// Option configures a world.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithPersist sets the function that writes records to disk. It must not block. The
// input Synced(sequence) confirms that the records are durable.
func WithPersist(persist func(sequence uint64, records []ledger.Record)) Option {
	return func(w *World) { w.settings.persist = persist }
}

// WithSend sets the function that sends packets to other instances.
func WithSend(send func(Packet)) Option { return func(w *World) { w.send = send } }

// WithPublish sets the function that receives each new snapshot.
func WithPublish(publish func(*Snapshot)) Option { return func(w *World) { w.publish = publish } }

// WithBackground sets the function that runs work outside the control thread.
func WithBackground(background func(func())) Option {
	return func(w *World) { w.settings.background = background }
}

// WithPost sets the function that adds an input to this world's inbox.
func WithPost(post func(Input)) Option { return func(w *World) { w.settings.post = post } }

// WithItems sets the functions that start and stop items on traffic threads. stop
// with preempt unset ends an item of a cancelled job.
func WithItems(start func(Item), stop func(number uint64, preempt bool)) Option {
	return func(w *World) { w.settings.startItem, w.settings.stopItem = start, stop }
}

// WithPlacements sets the ledgers of the system and the placement of their
// replicas.
func WithPlacements(placements ...Placement) Option {
	return func(w *World) { w.settings.placements = placements }
}

// WithCompactAfter sets the number of applied entries in a log at which a snapshot
// is taken.
func WithCompactAfter(entries uint64) Option {
	return func(w *World) { w.settings.compactAfter = entries }
}

// WithLease sets the duration of item leases.
func WithLease(lease time.Duration) Option { return func(w *World) { w.settings.lease = lease } }

// New returns the control world of an instance. owner is the lease owner and must
// be unique for each start of the instance. members and ledgers become part of the
// world.
func New(now time.Time, owner string, codec Codec, members *member.World, ledgers *ledger.World, options ...Option) *World {
	w := &World{
		dataCentre: members.Self().DataCentre(), logger: slog.New(slog.DiscardHandler),
		send: func(Packet) {}, publish: func(*Snapshot) {},
		settings: worldSettings{
			persist:    func(uint64, []ledger.Record) {},
			background: func(work func()) { work() },
			post:       func(Input) {}, startItem: func(Item) {}, stopItem: func(uint64, bool) {},
			compactAfter: DefaultCompactAfter, lease: DefaultLease,
		},
		members: members, ledgers: ledgers, timers: timer.New(),
		outbox: newOutbox(members.Self().Name()), tick: &tickState{snapshotStale: true},
	}
	for _, option := range options {
		option(w)
	}
	for _, p := range w.settings.placements {
		if IsHome(p.ledger) {
			w.homes = append(w.homes, p.ledger)
		}
	}
	w.build(owner, codec)
	w.subscribe(now)
	return w
}

// build creates the sub-worlds and connects them.
func (w *World) build(owner string, codec Codec) {
	s, packetTo := w.settings, w.outbox.packetTo
	w.calls = newCallWorld(owner, w.members, w.ledgers, s.placements, w.tick, packetTo)
	w.hosts = newHostWorld(w.members, w.ledgers, w.calls, codec)
	w.hosts.logger, w.hosts.packetTo, w.hosts.compactAfter = w.logger, packetTo, s.compactAfter
	w.hosts.maxHomeBytes = s.maxHomeBytes
	w.hosts.persist, w.hosts.background, w.hosts.post = s.persist, s.background, s.post
	w.calls.serve = w.hosts.serve
	w.config = newConfigWorld(w.members, w.hosts, w.tick, packetTo)
	w.items = newItemWorld(owner, w.members, w.calls, w.homes, w.tick, packetTo)
	w.items.logger, w.items.lease, w.items.startItem, w.items.stopItem = w.logger, s.lease, s.startItem, s.stopItem
	w.hosts.jobCommitted = w.items.jobCommitted
	w.loads = newLoadWorld(w.members, w.items.runnerOf, packetTo)
	w.items.onlineRequests = w.loads.onlineRequests
	w.answerMoves = newAnswerMoveWorld(w.hosts, w.homes, w.tick)
	w.crashes = newCrashWorld(w.members, w.tick, packetTo)
	w.changes = newChangeLogWorld(w.members, w.ledgers, w.logger)
}

// subscribe registers the timers of the sub-worlds. Timers that are due in the same
// tick run in the order of registration.
func (w *World) subscribe(now time.Time) {
	w.answerMoves.subscribe(now, w.timers)
	w.calls.due = w.timers.Subscribe("route", func(time.Time) {})
	w.hosts.subscribe(now, w.timers)
	w.config.subscribe(now, w.timers)
	w.loads.subscribe(now, w.timers)
	w.items.subscribe(now, w.timers)
	w.crashes.subscribe(now, w.timers)
}

// Step runs one tick. It applies the inputs to the tables, runs the systems in
// order, and then publishes the snapshot and sends the packets.
func (w *World) Step(now time.Time, inputs []Input) {
	w.tick.runAgain, w.tick.now = false, now
	for _, input := range inputs {
		w.receive(now, input)
	}
	w.timers.Fire(now)
	w.members.Run(now)
	w.items.run(now)
	w.calls.route(now)
	w.ledgers.Run(now)
	w.hosts.apply(now)
	w.hosts.compact()
	w.config.updateFromLedger()
	w.config.answerPulls(now)
	w.hosts.serveHeldCalls(now)
	w.drain(now)
	w.changes.logLeaders()
	w.refreshSnapshot()
	w.flushOutbox()
}

// Next returns the time of the next tick and true. The zero time means without
// delay.
func (w *World) Next() (time.Time, bool) {
	if w.tick.runAgain {
		return time.Time{}, true
	}
	next := w.members.Next()
	if len(w.ledgers.Statuses()) > 0 {
		next = minTime(next, w.ledgers.Next(time.Time{}))
	}
	if due, ok := w.timers.Next(); ok {
		next = minTime(next, due)
	}
	return next, true
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
