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
	DefaultReserveDivisor = 8 // one slot in so many stays free of batch items

	tryTimeout     = 700 * time.Millisecond // for a forwarded call before it is sent again
	waitTimeout    = 3 * time.Second        // for a forwarded call that waits for an answer
	holdTimeout    = 2 * time.Second        // that a leader holds a waiting call
	retryPause     = 50 * time.Millisecond  // after a redirect without a leader
	pullHold       = time.Second            // that an upstream holds a pull
	pullTimeout    = 1500 * time.Millisecond
	expireInterval = 2 * time.Second
	demandRefresh  = time.Second
	demandPause    = 10 * time.Millisecond // between reports of changed online load
	demandExpiry   = 3 * time.Second
	pollInterval   = 250 * time.Millisecond // between lease polls of a home ledger
	maxPollPause   = 2 * time.Second        // between lease polls while there is nothing to run
	maxItemTries   = 3
	itemWait       = 1500 * time.Millisecond // for a slot before an item is given back
	backendPause   = 500 * time.Millisecond  // without items for a server that refused one
)

// tickState is what the sub-worlds share within and between ticks.
type tickState struct {
	now      time.Time // of the current tick
	again    bool      // another tick is needed at once
	stale    bool      // the published snapshot is out of date
	draining bool      // this instance shuts down
}

// World is the control world: it wires its sub-worlds and runs their systems.
// It belongs to one goroutine.
type World struct {
	dataCentre string
	logger     *slog.Logger
	settings   worldSettings
	send       func(Packet)
	publish    func(*Snapshot)
	drained    func(DrainProgress)
	diskErr    error

	members    *member.World
	ledgers    *ledger.World
	calls      *callWorld
	hosts      *hostWorld
	config     *configWorld
	demand     *demandWorld
	items      *itemWorld
	strays     *strayWorld
	suspicions *suspicionWorld
	notes      *noteWorld
	outbox     *outbox
	timers     *timer.Service
	tick       *tickState
	homes      []ledger.ID

	published uint64 // membership version of the published snapshot
}

// worldSettings are the options that sub-worlds are built with.
type worldSettings struct {
	persist      func(sequence uint64, records []ledger.Record)
	background   func(func())
	post         func(Input)
	startItem    func(Item)
	stopItem     func(number uint64, yield bool)
	compactAfter uint64
	lease        time.Duration
	placements   []Placement
}

// Option changes a world at construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithPersist sets the function that makes records durable; it must not block,
// and Synced(sequence) confirms it.
func WithPersist(persist func(sequence uint64, records []ledger.Record)) Option {
	return func(w *World) { w.settings.persist = persist }
}

// WithSend sets the function that sends packets to other instances.
func WithSend(send func(Packet)) Option { return func(w *World) { w.send = send } }

// WithPublish sets the function that takes each new snapshot.
func WithPublish(publish func(*Snapshot)) Option { return func(w *World) { w.publish = publish } }

// WithBackground sets the function that runs work off the control thread.
func WithBackground(background func(func())) Option {
	return func(w *World) { w.settings.background = background }
}

// WithPost sets the function that posts to this world's own inbox.
func WithPost(post func(Input)) Option { return func(w *World) { w.settings.post = post } }

// WithItems sets the functions that start and stop items on traffic threads.
func WithItems(start func(Item), stop func(number uint64, yield bool)) Option {
	return func(w *World) { w.settings.startItem, w.settings.stopItem = start, stop }
}

// WithPlacements sets the ledgers of the system and where their replicas are.
func WithPlacements(placements ...Placement) Option {
	return func(w *World) { w.settings.placements = placements }
}

// WithCompactAfter sets how many applied entries a log holds before a snapshot.
func WithCompactAfter(entries uint64) Option {
	return func(w *World) { w.settings.compactAfter = entries }
}

// WithLease sets how long leases of items last.
func WithLease(lease time.Duration) Option { return func(w *World) { w.settings.lease = lease } }

// New returns the control world of an instance. The member and ledger worlds
// become part of it.
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
		outbox: newOutbox(members.Self().Name()), tick: &tickState{stale: true},
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

// build creates the sub-worlds and ties them together.
func (w *World) build(owner string, codec Codec) {
	s, out := w.settings, w.outbox.to
	w.calls = newCallWorld(w.members, w.ledgers, s.placements, w.tick, out)
	w.hosts = newHostWorld(w.members, w.ledgers, w.calls, codec)
	w.hosts.logger, w.hosts.out, w.hosts.compactAfter = w.logger, out, s.compactAfter
	w.hosts.persist, w.hosts.background, w.hosts.post = s.persist, s.background, s.post
	w.calls.serve = w.hosts.serve
	w.config = newConfigWorld(w.members, w.hosts, w.tick, out)
	w.items = newItemWorld(owner, w.members, w.calls, w.homes, w.tick, out)
	w.items.logger, w.items.lease, w.items.startItem, w.items.stopItem = w.logger, s.lease, s.startItem, s.stopItem
	w.hosts.submitted = w.items.submitted
	w.demand = newDemandWorld(w.members, w.items.runnerOf, out)
	w.items.onlineOn = w.demand.onlineOn
	w.strays = newStrayWorld(w.hosts, w.homes, w.tick)
	w.suspicions = newSuspicionWorld(w.members, w.tick, out)
	w.notes = newNoteWorld(w.members, w.ledgers, w.logger)
}

// subscribe registers the parts that act on deadlines, in the order in which
// those that are due together act.
func (w *World) subscribe(now time.Time) {
	w.strays.subscribe(now, w.timers)
	w.calls.due = w.timers.Subscribe("route", func(time.Time) {})
	w.hosts.subscribe(now, w.timers)
	w.config.subscribe(now, w.timers)
	w.demand.subscribe(now, w.timers)
	w.items.subscribe(now, w.timers)
	w.suspicions.subscribe(now, w.timers)
}

// Step runs one tick: inputs into the tables, the systems in order, the
// results out.
func (w *World) Step(now time.Time, inputs []Input) {
	w.tick.again, w.tick.now = false, now
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
	w.config.followHosted()
	w.config.servePulls(now)
	w.hosts.wakeWaiters(now)
	w.drain(now)
	w.notes.noteLeaders()
	w.refreshSnapshot()
	w.flushOutbox()
}

// Next returns the deadline of the next tick.
func (w *World) Next() (time.Time, bool) {
	if w.tick.again {
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

// minTime returns the earlier time.
func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
