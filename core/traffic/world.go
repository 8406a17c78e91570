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

// Limits and timeouts.
const (
	maxAttempts          = 4                      // of a retryable request
	poisonCrashes        = 3                      // crashes after which requests with the same content are rejected
	claimTimeout         = 300 * time.Millisecond // wait for the claim before text is sent without it
	storeTimeout         = 4 * time.Second        // wait for the home ledger before the local ledger is used
	startTimeout         = 3 * time.Second        // wait for the durable start of an at-most-once request, or for a required claim
	idleTimeout          = 10 * time.Second       // of a running attempt without a token
	agingTokensPerSecond = 200.0                  // expected tokens that one second in the queue offsets
	quantileWindow       = 10 * time.Second       // of the recorded times to first token
	maxFirstTokenMicros  = 60_000_000             // longer times to first token are recorded as this
	medianPercentile     = 50
	hedgeDelayFactor     = 2  // delay before a hedge relative to the median time to first token
	minWindowSamples     = 20 // samples in a window before its quantiles are used
)

// accountRow is the state of an account's limits on this instance.
type accountRow struct {
	bucketTokens float64 // requests that may start now, negative before the first fill
	refilledAt   time.Time
	inFlight     int // requests in progress
}

// serviceRow is the expected work of the requests of a service.
type serviceRow struct {
	answerTokens float64 // moving average of the tokens per answer
}

// World is the world of one traffic thread. It belongs to one goroutine.
type World struct {
	thread             int
	name               string // of the instance
	owner              string // identifies this process of the instance
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
	items       *table.Table[uint64, uint64] // item number to request number
	accounts    *table.Table[string, accountRow]
	services    *table.Table[string, serviceRow]
	queue       []uint64
	lastRequest uint64 // number of the newest request
	lastAttempt uint64 // number of the newest attempt

	firstTokenTimes [2]*hdrhistogram.Histogram // times to first token in microseconds, in the current and the previous window
	windowStart     time.Time
	hedgeBudget     float64 // hedges that may start
	retryBudget     float64 // retries that may start

	timers       *timer.Service
	deadlines    *timer.Subscription
	current      *control.Snapshot
	usageChanged bool // usage counters changed in this tick
	slotFreed    bool // a slot was freed in this tick
}

// Option changes a world at construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithPolicy sets the policy.
func WithPolicy(policy Policy) Option { return func(w *World) { w.policy = policy } }

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 3)) }
}

// WithControl sets the functions that connect to the control world. They return its
// snapshot, send a call to a ledger, report a crash count, report the end of an item, and
// report that usage counters changed.
func WithControl(loadSnapshot func() *control.Snapshot, call func(context.Context, control.Call, func(control.Result)),
	reportCrashCount func(control.CrashCount), itemEnded func(control.ItemResult), usageChanged func()) Option {
	return func(w *World) {
		w.loadSnapshot, w.call, w.reportCrashCount, w.itemEnded, w.notifyUsageChanged = loadSnapshot, call, reportCrashCount, itemEnded, usageChanged
	}
}

// WithAttempts sets the functions that start an attempt and abort an attempt by its number.
// They must not block.
func WithAttempts(begin func(Attempt), abort func(attempt uint64)) Option {
	return func(w *World) { w.begin, w.abort = begin, abort }
}

// WithSlotFreed sets the function that wakes the other traffic threads when a slot was
// freed.
func WithSlotFreed(freed func()) Option { return func(w *World) { w.notifySlotFreed = freed } }

// WithPost sets the function that posts an input to the inbox of this world.
func WithPost(post func(Input)) Option { return func(w *World) { w.post = post } }

// WithObserver sets the observer of request events.
func WithObserver(observer Observer) Option { return func(w *World) { w.observer = observer } }

// New returns the world of one traffic thread of the named instance. owner identifies this
// process of the instance.
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

// Next returns the time of the next tick, and false if there is none.
func (w *World) Next() (time.Time, bool) { return w.timers.Next() }

// receive processes an input.
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

// updateTargets updates the table of targets from a new snapshot. A target that left the
// snapshot is removed once none of its online attempts run.
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

// rotateWindow starts a new window of times to first token every quantileWindow.
func (w *World) rotateWindow(now time.Time) {
	if now.Sub(w.windowStart) < quantileWindow {
		return
	}
	w.windowStart = now
	w.firstTokenTimes[0], w.firstTokenTimes[1] = w.firstTokenTimes[1], w.firstTokenTimes[0]
	w.firstTokenTimes[0].Reset()
}

// firstTokenQuantile returns a quantile, given in percent, of the recent times to first
// token. It returns 0 if there are too few samples.
func (w *World) firstTokenQuantile(quantile float64) time.Duration {
	for _, h := range w.firstTokenTimes {
		if h.TotalCount() >= minWindowSamples {
			return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
		}
	}
	return 0
}
