package traffic

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/table"
	"papayaquay/core/timer"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and timing.
const (
	maxAttempts    = 4                      // of a request that may be repeated
	poisonCrashes  = 3                      // lost backend servers after which content is refused
	claimPatience  = 300 * time.Millisecond // for the claim before text is passed on without it
	storePatience  = 4 * time.Second        // for the home ledger before the local one is used
	startPatience  = 3 * time.Second        // for the durable start of a request not to be repeated
	silenceTimeout = 10 * time.Second       // without a token from a running attempt
	ageWeight      = 200.0                  // tokens of expected work that a second of waiting outweighs
	quantileWindow = 10 * time.Second
	maxFirstMicros = 60_000_000
	medianQuantile = 50
	hedgeFactor    = 2  // silence before a hedge, times the median first-token time
	windowSamples  = 20 // samples needed before a quantile is trusted
)

// accountRow is the running state of an account's limits on this instance.
type accountRow struct {
	tokens  float64 // requests that may start now
	filled  time.Time
	running int
}

// serviceRow is the expected work of a service's requests.
type serviceRow struct {
	tokens float64 // decayed length of answers
}

// World is the world of one traffic thread. It belongs to one goroutine.
type World struct {
	thread   int
	name     string // of the instance
	owner    string // names this run of the instance
	logger   *slog.Logger
	random   *rand.Rand
	policy   Policy
	snapshot func() *control.Snapshot
	call     func(context.Context, control.Call, func(control.Result))
	suspect  func(control.CrashCount)
	ended    func(control.ItemResult)
	usage    func()
	freed    func()
	begin    func(Attempt)
	abort    func(attempt uint64)
	post     func(Input)
	observe  Observer

	requests *table.Table[uint64, requestRow]
	attempts *table.Table[uint64, attemptRow]
	targets  *table.Table[string, targetRow]
	items    *table.Table[uint64, uint64] // item number to request
	accounts *table.Table[string, accountRow]
	services *table.Table[string, serviceRow]
	queue    []uint64
	last     uint64 // number of the newest request
	lastTry  uint64 // number of the newest attempt

	firsts   [2]*hdrhistogram.Histogram // first-token times, this window and the one before
	windowAt time.Time
	hedges   float64 // hedges that may start
	retries  float64 // retries that may start

	timers    *timer.Service
	due       *timer.Subscription
	known     *control.Snapshot
	usageDone bool // counters changed in this tick
	slotFreed bool // a slot got free in this tick
}

// Option changes a world at construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithPolicy sets the policy.
func WithPolicy(policy Policy) Option { return func(w *World) { w.policy = policy } }

// WithSeed seeds random choices.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 3)) }
}

// WithControl sets the connections to the control world: its snapshot, calls
// to ledgers, crash counts, ends of items, and changes of the usage counters.
func WithControl(snapshot func() *control.Snapshot, call func(context.Context, control.Call, func(control.Result)),
	suspect func(control.CrashCount), ended func(control.ItemResult), usage func()) Option {
	return func(w *World) {
		w.snapshot, w.call, w.suspect, w.ended, w.usage = snapshot, call, suspect, ended, usage
	}
}

// WithAttempts sets the functions that start an attempt and abort one by its
// number. They must not block.
func WithAttempts(begin func(Attempt), abort func(attempt uint64)) Option {
	return func(w *World) { w.begin, w.abort = begin, abort }
}

// WithSlotFreed sets the function that wakes the other traffic threads when a slot
// got free.
func WithSlotFreed(freed func()) Option { return func(w *World) { w.freed = freed } }

// WithPost sets the function that posts to this world's own inbox.
func WithPost(post func(Input)) Option { return func(w *World) { w.post = post } }

// WithObserver sets the functions that count what happens.
func WithObserver(observer Observer) Option { return func(w *World) { w.observe = observer } }

// New returns the world of one traffic thread of the named instance. owner
// names this run of the instance.
func New(thread int, name, owner string, options ...Option) *World {
	w := &World{
		thread: thread, name: name, owner: owner,
		logger:   slog.New(slog.DiscardHandler),
		random:   rand.New(rand.NewPCG(1, 3)),
		policy:   NewPolicy(),
		observe:  NewObserver(),
		freed:    func() {},
		requests: table.New[uint64, requestRow](),
		attempts: table.New[uint64, attemptRow](),
		targets:  table.New[string, targetRow](),
		items:    table.New[uint64, uint64](),
		accounts: table.New[string, accountRow](),
		services: table.New[string, serviceRow](),
		timers:   timer.New(),
		retries:  maxRetryBudget,
	}
	for i := range w.firsts {
		w.firsts[i] = hdrhistogram.New(1, maxFirstMicros, 2)
	}
	for _, option := range options {
		option(w)
	}
	w.due = w.timers.Subscribe("deadlines", func(time.Time) {})
	return w
}

// Step runs one tick.
func (w *World) Step(now time.Time, inputs []Input) {
	w.timers.Fire(now)
	w.follow(now)
	for _, input := range inputs {
		w.receive(now, input)
	}
	w.rotate(now)
	w.expire(now)
	w.dispatch(now)
	w.hedge(now)
	w.ejectSlow(now)
	if w.usageDone {
		w.usageDone = false
		w.usage()
	}
	if w.slotFreed {
		w.slotFreed = false
		w.freed()
	}
}

// Next returns the deadline of the next tick.
func (w *World) Next() (time.Time, bool) { return w.timers.Next() }

// receive puts one input into the tables.
func (w *World) receive(now time.Time, input Input) {
	switch {
	case input.request != nil:
		w.submit(now, *input.request, input.sink, input.id)
	case input.cancel != 0:
		w.cancel(now, input.cancel)
	case input.item != nil:
		w.beginItem(now, *input.item)
	case input.stop != nil:
		w.haltItem(now, *input.stop)
	case input.token != nil:
		w.receiveToken(now, *input.token)
	case input.ended != nil:
		w.receiveEnd(now, *input.ended)
	case input.result != nil:
		input.result(w, now)
	}
}

// follow takes over the targets of a new snapshot.
func (w *World) follow(_ time.Time) {
	snapshot := w.snapshot()
	if snapshot == w.known {
		return
	}
	w.known = snapshot
	w.targets.Each(func(_ string, t *targetRow) { t.present = false })
	for _, target := range snapshot.Targets() {
		id := target.Backend().ID()
		row := w.targets.Get(id)
		if row == nil || row.target.Backend().Incarnation() != target.Backend().Incarnation() {
			row = w.targets.Put(id, targetRow{limit: float64(target.Backend().Slots())})
		}
		row.target, row.present = target, true
	}
	w.targets.Each(func(id string, t *targetRow) {
		if !t.present && t.online == 0 {
			w.targets.Remove(id)
		}
	})
}

// rotate starts a new window of first-token times.
func (w *World) rotate(now time.Time) {
	if now.Sub(w.windowAt) < quantileWindow {
		return
	}
	w.windowAt = now
	w.firsts[0], w.firsts[1] = w.firsts[1], w.firsts[0]
	w.firsts[0].Reset()
}

// firstQuantile returns a quantile of recent first-token times, or zero while
// too few are known.
func (w *World) firstQuantile(quantile float64) time.Duration {
	for _, h := range w.firsts {
		if h.TotalCount() >= windowSamples {
			return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
		}
	}
	return 0
}
