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
	maxAttempts          = 4                      // of a request that may be repeated
	poisonCrashes        = 3                      // lost backend servers after which content is refused
	claimTimeout         = 300 * time.Millisecond // for the claim before text is passed on without it
	storeTimeout         = 4 * time.Second        // for the home ledger before the local one is used
	startTimeout         = 3 * time.Second        // for the durable start of a request not to be repeated
	idleTimeout          = 10 * time.Second       // without a token from a running attempt
	agingTokensPerSecond = 200.0                  // tokens of expected work that a second of waiting outweighs
	quantileWindow       = 10 * time.Second
	maxFirstTokenMicros  = 60_000_000
	medianPercentile     = 50
	hedgeDelayFactor     = 2  // silence before a hedge, times the median first-token time
	minWindowSamples     = 20 // samples needed before a quantile is trusted
)

// accountRow is the running state of an account's limits on this instance.
type accountRow struct {
	bucketTokens float64 // requests that may start now
	refilledAt   time.Time
	inFlight     int
}

// serviceRow is the expected work of a service's requests.
type serviceRow struct {
	answerTokens float64 // decayed length of answers
}

// World is the world of one traffic thread. It belongs to one goroutine.
type World struct {
	thread             int
	name               string // of the instance
	owner              string // names this run of the instance
	logger             *slog.Logger
	random             *rand.Rand
	policy             Policy
	loadSnapshot       func() *control.Snapshot
	call               func(context.Context, control.Call, func(control.Result))
	reportCrashCount   func(control.CrashCount)
	itemEnded          func(control.ItemResult)
	notifyUsageChanged func()
	notifySlotFreed    func()
	begin              func(Attempt)
	abort              func(attempt uint64)
	post               func(Input)
	observer           Observer

	requests    *table.Table[uint64, requestRow]
	attempts    *table.Table[uint64, attemptRow]
	targets     *table.Table[string, targetRow]
	items       *table.Table[uint64, uint64] // item number to request
	accounts    *table.Table[string, accountRow]
	services    *table.Table[string, serviceRow]
	queue       []uint64
	lastRequest uint64 // number of the newest request
	lastAttempt uint64 // number of the newest attempt

	firstTokenTimes [2]*hdrhistogram.Histogram // first-token times, this window and the one before
	windowStart     time.Time
	hedgeBudget     float64 // hedges that may start
	retryBudget     float64 // retries that may start

	timers       *timer.Service
	deadlines    *timer.Subscription
	current      *control.Snapshot
	usageChanged bool // counters changed in this tick
	slotFreed    bool // a slot got free in this tick
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
func WithControl(loadSnapshot func() *control.Snapshot, call func(context.Context, control.Call, func(control.Result)),
	reportCrashCount func(control.CrashCount), itemEnded func(control.ItemResult), usageChanged func()) Option {
	return func(w *World) {
		w.loadSnapshot, w.call, w.reportCrashCount, w.itemEnded, w.notifyUsageChanged = loadSnapshot, call, reportCrashCount, itemEnded, usageChanged
	}
}

// WithAttempts sets the functions that start an attempt and abort one by its
// number. They must not block.
func WithAttempts(begin func(Attempt), abort func(attempt uint64)) Option {
	return func(w *World) { w.begin, w.abort = begin, abort }
}

// WithSlotFreed sets the function that wakes the other traffic threads when a slot
// got free.
func WithSlotFreed(freed func()) Option { return func(w *World) { w.notifySlotFreed = freed } }

// WithPost sets the function that posts to this world's own inbox.
func WithPost(post func(Input)) Option { return func(w *World) { w.post = post } }

// WithObserver sets the functions that count what happens.
func WithObserver(observer Observer) Option { return func(w *World) { w.observer = observer } }

// New returns the world of one traffic thread of the named instance. owner
// names this run of the instance.
func New(thread int, name, owner string, options ...Option) *World {
	w := &World{
		thread: thread, name: name, owner: owner,
		logger:          slog.New(slog.DiscardHandler),
		random:          rand.New(rand.NewPCG(1, 3)),
		policy:          NewPolicy(),
		observer:        NewObserver(),
		notifySlotFreed: func() {},
		requests:        table.New[uint64, requestRow](),
		attempts:        table.New[uint64, attemptRow](),
		targets:         table.New[string, targetRow](),
		items:           table.New[uint64, uint64](),
		accounts:        table.New[string, accountRow](),
		services:        table.New[string, serviceRow](),
		timers:          timer.New(),
		retryBudget:     maxRetryBudget,
	}
	for i := range w.firstTokenTimes {
		w.firstTokenTimes[i] = hdrhistogram.New(1, maxFirstTokenMicros, 2)
	}
	for _, option := range options {
		option(w)
	}
	w.deadlines = w.timers.Subscribe("deadlines", func(time.Time) {})
	return w
}

// Step runs one tick.
func (w *World) Step(now time.Time, inputs []Input) {
	w.timers.Fire(now)
	w.updateTargets(now)
	for _, input := range inputs {
		w.receive(now, input)
	}
	w.rotateWindow(now)
	w.expire(now)
	w.dispatch(now)
	w.hedge(now)
	w.ejectSlow(now)
	if w.usageChanged {
		w.usageChanged = false
		w.notifyUsageChanged()
	}
	if w.slotFreed {
		w.slotFreed = false
		w.notifySlotFreed()
	}
}

// Next returns the deadline of the next tick.
func (w *World) Next() (time.Time, bool) { return w.timers.Next() }

// receive puts one input into the tables.
func (w *World) receive(now time.Time, input Input) {
	switch {
	case input.request != nil:
		w.submit(now, *input.request, input.sink, input.accepted)
	case input.cancel != 0:
		w.cancel(now, input.cancel)
	case input.item != nil:
		w.startItem(now, *input.item)
	case input.itemStop != nil:
		w.stopItem(now, *input.itemStop)
	case input.textChunk != nil:
		w.receiveText(now, *input.textChunk)
	case input.attemptEnd != nil:
		w.receiveEnd(now, *input.attemptEnd)
	case input.result != nil:
		input.result(w, now)
	}
}

// updateTargets takes over the targets of a new snapshot.
func (w *World) updateTargets(_ time.Time) {
	snapshot := w.loadSnapshot()
	if snapshot == w.current {
		return
	}
	w.current = snapshot
	w.targets.Each(func(_ string, t *targetRow) { t.inSnapshot = false })
	for _, target := range snapshot.Targets() {
		id := target.Backend().ID()
		row := w.targets.Get(id)
		if row == nil || row.target.Backend().Incarnation() != target.Backend().Incarnation() {
			row = w.targets.Put(id, targetRow{concurrencyLimit: float64(target.Backend().Slots())})
		}
		row.target, row.inSnapshot = target, true
	}
	w.targets.Each(func(id string, t *targetRow) {
		if !t.inSnapshot && t.onlineAttempts == 0 {
			w.targets.Remove(id)
		}
	})
}

// rotateWindow starts a new window of first-token times.
func (w *World) rotateWindow(now time.Time) {
	if now.Sub(w.windowStart) < quantileWindow {
		return
	}
	w.windowStart = now
	w.firstTokenTimes[0], w.firstTokenTimes[1] = w.firstTokenTimes[1], w.firstTokenTimes[0]
	w.firstTokenTimes[0].Reset()
}

// firstTokenQuantile returns a quantile of recent first-token times, or zero while
// too few are known.
func (w *World) firstTokenQuantile(quantile float64) time.Duration {
	for _, h := range w.firstTokenTimes {
		if h.TotalCount() >= minWindowSamples {
			return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
		}
	}
	return 0
}
