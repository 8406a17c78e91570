package control

import (
	"log/slog"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// Default limits and timing.
const (
	DefaultCompactAfter = 5000 // applied entries
	DefaultLease        = 10 * time.Second
	DefaultReserve      = 8 // one slot in so many stays free of batch items

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

// homeRow is a hosted home ledger.
type homeRow struct {
	state    *home.State
	encoding bool // a snapshot is being encoded
	expiring bool // an expire command is under way
}

// World is the control world. It belongs to one goroutine.
type World struct {
	name       string
	dataCentre string
	owner      string // names this run of the instance in leases
	logger     *slog.Logger
	codec      Codec

	persist    func(sequence uint64, records []ledger.Record)
	send       func(Packet)
	publish    func(*Snapshot)
	background func(func())
	post       func(Input)
	startItem  func(Item)
	stopItem   func(number uint64, yield bool)

	compactAfter uint64
	lease        time.Duration
	reserve      int

	members    *member.World
	ledgers    *ledger.World
	timers     *timer.Service
	placements []Placement
	homes      []ledger.ID

	configState    *config.State
	configEncoding bool
	homeStates     *table.Table[ledger.ID, homeRow]
	view           *config.View

	calls     *table.Table[uint64, callRow]
	lastCall  uint64
	proposals *table.Table[proposalKey, proposalRow]
	leaders   *table.Table[ledger.ID, leaderRow]
	claims    *table.Table[claimKey, claimRow]
	waiters   *table.Table[uint64, waiterRow]
	follow    followRow
	pulls     *table.Table[pullKey, pullRow]

	usages   *table.Table[string, *Usage]
	demands  *table.Table[demandKey, demandRow]
	reported *table.Table[string, reportRow]
	items    *table.Table[uint64, itemRow]
	polls    *table.Table[ledger.ID, pollRow]
	flushes  *table.Table[ledger.ID, flushRow]
	lastItem uint64
	roles    map[string]bool // data centres whose batch slots are owned here
	suspects *table.Table[uint64, suspectRow]
	strays   *table.Table[strayKey, strayRow]
	pauses   *table.Table[string, pauseRow]
	outbox   *table.Table[string, Packet]
	draining bool
	loaded   bool // the configuration was received since the start
	drained  func(Drain)
	diskErr  error

	moveDue   *timer.Subscription
	batchDue  *timer.Subscription
	demandDue *timer.Subscription
	pullDue   *timer.Subscription
	wakeDue   *timer.Subscription
	routeDue  *timer.Subscription
	expireDue *timer.Subscription

	tickTime     time.Time // of the current tick
	noted        map[string]backendNote
	notedStates  map[string]member.State
	notedLeaders map[ledger.ID]string
	published    uint64 // membership version of the published snapshot
	stale        bool   // the published snapshot is out of date
	wake         bool   // waiting calls must be looked at
	again        bool   // another tick is needed at once
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

// WithBackground sets the function that runs work off the control thread.
func WithBackground(background func(func())) Option {
	return func(w *World) { w.background = background }
}

// WithPost sets the function that posts to this world's own inbox.
func WithPost(post func(Input)) Option { return func(w *World) { w.post = post } }

// WithItems sets the functions that start and stop items on traffic threads.
func WithItems(start func(Item), stop func(number uint64, yield bool)) Option {
	return func(w *World) { w.startItem, w.stopItem = start, stop }
}

// WithPlacements sets the ledgers of the system and where their replicas are.
func WithPlacements(placements ...Placement) Option {
	return func(w *World) { w.placements = placements }
}

// WithCompactAfter sets how many applied entries a log holds before a snapshot.
func WithCompactAfter(entries uint64) Option {
	return func(w *World) { w.compactAfter = entries }
}

// WithLease sets how long leases of items last.
func WithLease(lease time.Duration) Option { return func(w *World) { w.lease = lease } }

// New returns the control world of an instance. The member and ledger worlds
// become part of it.
func New(now time.Time, owner string, codec Codec, members *member.World, ledgers *ledger.World, options ...Option) *World {
	w := &World{
		name:         members.Self().Name(),
		dataCentre:   members.Self().DataCentre(),
		owner:        owner,
		logger:       slog.New(slog.DiscardHandler),
		codec:        codec,
		persist:      func(uint64, []ledger.Record) {},
		send:         func(Packet) {},
		publish:      func(*Snapshot) {},
		background:   func(work func()) { work() },
		post:         func(Input) {},
		startItem:    func(Item) {},
		stopItem:     func(uint64, bool) {},
		compactAfter: DefaultCompactAfter,
		lease:        DefaultLease,
		reserve:      DefaultReserve,
		members:      members,
		ledgers:      ledgers,
		timers:       timer.New(),
		homeStates:   table.New[ledger.ID, homeRow](),
		view:         config.NewView(0, nil),
		calls:        table.New[uint64, callRow](),
		proposals:    table.New[proposalKey, proposalRow](),
		leaders:      table.New[ledger.ID, leaderRow](),
		claims:       table.New[claimKey, claimRow](),
		waiters:      table.New[uint64, waiterRow](),
		pulls:        table.New[pullKey, pullRow](),
		usages:       table.New[string, *Usage](),
		demands:      table.New[demandKey, demandRow](),
		reported:     table.New[string, reportRow](),
		items:        table.New[uint64, itemRow](),
		polls:        table.New[ledger.ID, pollRow](),
		flushes:      table.New[ledger.ID, flushRow](),
		suspects:     table.New[uint64, suspectRow](),
		strays:       table.New[strayKey, strayRow](),
		pauses:       table.New[string, pauseRow](),
		outbox:       table.New[string, Packet](),
		stale:        true,
		noted:        make(map[string]backendNote),
		notedStates:  make(map[string]member.State),
		notedLeaders: make(map[ledger.ID]string),
	}
	for _, option := range options {
		option(w)
	}
	w.hostStates()
	w.subscribe(now)
	return w
}

// hostStates creates the state machines of the hosted ledgers.
func (w *World) hostStates() {
	for _, p := range w.placements {
		if IsHome(p.ledger) {
			w.homes = append(w.homes, p.ledger)
		}
		if !w.ledgers.Hosts(p.ledger) {
			continue
		}
		if IsHome(p.ledger) || IsLocal(p.ledger) {
			w.homeStates.Put(p.ledger, homeRow{state: home.New()})
		} else if p.ledger == ConfigLedger {
			w.configState = config.New()
		}
	}
}

// subscribe registers the parts that act on deadlines.
func (w *World) subscribe(now time.Time) {
	w.moveDue = w.timers.Subscribe("move", w.moveStrays)
	w.moveDue.Arm(now.Add(moveInterval))
	w.routeDue = w.timers.Subscribe("route", func(time.Time) {})
	w.wakeDue = w.timers.Subscribe("wake", func(time.Time) { w.wake = true })
	w.pullDue = w.timers.Subscribe("pull", w.pull)
	w.demandDue = w.timers.Subscribe("demand", w.report)
	w.batchDue = w.timers.Subscribe("batch", func(time.Time) {})
	w.expireDue = w.timers.Subscribe("expire", w.expire)
	w.pullDue.Arm(now)
	w.demandDue.Arm(now.Add(demandRefresh))
	w.expireDue.Arm(now.Add(expireInterval))
}

// Step runs one tick: inputs into the tables, the systems in order, the
// results out.
func (w *World) Step(now time.Time, inputs []Input) {
	w.again, w.tickTime = false, now
	for _, input := range inputs {
		w.receive(now, input)
	}
	w.timers.Fire(now)
	w.members.Run(now)
	w.runBatch(now)
	w.route(now)
	w.ledgers.Run(now)
	w.apply(now)
	w.compact()
	w.followHosted(now)
	w.servePulls(now)
	w.wakeWaiters(now)
	w.drain(now)
	w.noteLeaders()
	w.refreshSnapshot(now)
	w.flushOutbox()
}

// Next returns the deadline of the next tick.
func (w *World) Next() (time.Time, bool) {
	if w.again {
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
