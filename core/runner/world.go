package runner

import (
	"log/slog"
	"slices"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/member"
	"papayaquay/core/routing"
	"papayaquay/core/table"
	"papayaquay/core/usage"
)

// Limits and timing.
const (
	headroomSlots = 1 // slots kept free on a server after a preemption

	notRunBackoff     = 150 * time.Millisecond // without items for a server that did not run one
	baseBackoff       = 400 * time.Millisecond // for a server after a lost or failed connection, doubled with each consecutive one
	maxBackoff        = 5 * time.Second
	itemRetryDelay    = 200 * time.Millisecond // before the next attempt of a failed item
	missingRouteGrace = 5 * time.Second        // before a job without a route is abandoned
	expireInterval    = time.Second
	retryInterval     = 100 * time.Millisecond // while items wait for free slots
	preemptionPause   = 400 * time.Millisecond // without new items on a server after a preemption
	headroomPeriod    = 3 * time.Second        // after a preemption, in which slots are kept free on the server
	fillInterval      = 10 * time.Millisecond  // between searches for free slots
	leadershipDelay   = 200 * time.Millisecond // before a new leader starts items, so that the instances report to it first
	minStoreEvents    = 24                     // new events of an item before its output is stored
	expiryMargin      = 500 * time.Millisecond // added to the expiry, since this instance sees a job after its submission
)

// World runs items while this instance is the leader of the jobs ledger. It belongs to
// the control thread.
type World struct {
	logger       *slog.Logger
	startAttempt func(Attempt)
	stopAttempt  func(number uint64)
	random       func() float64
	attemptEnded func(status AttemptStatus, tokens int, duration time.Duration)

	leading         bool
	leadershipEpoch uint64 // incremented whenever leadership starts or ends
	state           *batch.State
	config          *routing.Config
	servers         []directory.Server
	onlineRequests  func(backend string) int
	limitRoom       func(now time.Time, b member.Backend) (room int, limited bool)
	sent            *table.Table[string, usage.Window] // items sent, by server
	jobs            *table.Table[string, jobRow]
	acceptedAt      map[string]time.Time // when this instance first saw each open job
	progress        *table.Table[itemKey, progressRow]
	running         *table.Table[uint64, runningRow]
	backoffs        *table.Table[string, backoffRow]
	ended           *member.Ended
	runningItems    map[string]int                  // by server
	preemptedAt     *table.Table[string, time.Time] // last preemption, by server
	outputs         []batch.ItemOutput
	lastAttempt     uint64
	jobOrder        []string // jobs in the order in which they were accepted
	estimate        estimate
	nextExpire      time.Time
	nextIdleCheck   time.Time // next check for stalled attempts
	itemsWaiting    bool      // items wait for a slot or the end of a pause
	nextFill        time.Time // earliest time of the next fill
	changed         bool      // jobs or attempts changed since the last fill
	mayStart        bool      // attempts may be started now
}

// Option changes a world at construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithAttempts sets the functions that start and stop attempts. The end of each started
// attempt must be passed to Receive.
func WithAttempts(start func(Attempt), stop func(number uint64)) Option {
	return func(w *World) { w.startAttempt, w.stopAttempt = start, stop }
}

// WithOnline sets the function that returns the number of online requests on a backend
// server.
func WithOnline(count func(backend string) int) Option {
	return func(w *World) { w.onlineRequests = count }
}

// WithLimits sets the function that returns how many more items the limit of a backend
// server allows now, and whether the server has a limit.
func WithLimits(limitRoom func(now time.Time, b member.Backend) (room int, limited bool)) Option {
	return func(w *World) { w.limitRoom = limitRoom }
}

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option { return func(w *World) { w.random = random } }

// WithObserver sets the function that is called for each ended attempt with its status, the
// size of the item in tokens and the run time.
func WithObserver(ended func(status AttemptStatus, tokens int, duration time.Duration)) Option {
	return func(w *World) { w.attemptEnded = ended }
}

// New returns a world that runs no items until SetLeading is called.
func New(options ...Option) *World {
	w := &World{
		logger:       slog.New(slog.DiscardHandler),
		startAttempt: func(Attempt) {}, stopAttempt: func(uint64) {},
		random: func() float64 { return 0 }, onlineRequests: func(string) int { return 0 }, limitRoom: func(time.Time, member.Backend) (int, bool) { return 0, false }, sent: table.New[string, usage.Window](), attemptEnded: func(AttemptStatus, int, time.Duration) {},
		acceptedAt: make(map[string]time.Time),
		jobs:       table.New[string, jobRow](), progress: table.New[itemKey, progressRow](),
		running: table.New[uint64, runningRow](), backoffs: table.New[string, backoffRow](),
		preemptedAt: table.New[string, time.Time](), ended: member.NewEnded(),
		runningItems: make(map[string]int), estimate: newEstimate(),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// SetLeading starts or stops running the items of the jobs in state. Output that is not
// stored is discarded.
func (w *World) SetLeading(now time.Time, leading bool, state *batch.State) {
	if leading == w.leading {
		return
	}
	w.nextFill = now.Add(leadershipDelay)
	w.leading, w.state = leading, state
	w.leadershipEpoch++
	event.RunnerChanged.Log(w.logger, "running", leading)
	w.jobs = table.New[string, jobRow]()
	w.progress = table.New[itemKey, progressRow]()
	w.jobOrder, w.outputs = nil, nil
	if !leading {
		w.running.Each(func(number uint64, row *runningRow) { w.requestStop(number, row) })
		return
	}
	state.Each(func(j batch.Job) { w.Accept(now, j) })
}

// Accept adds an accepted job. Its due time and expiry count from the time at which this
// instance first saw it, on this instance's clock, since wall clocks differ between
// instances and can jump.
func (w *World) Accept(now time.Time, j batch.Job) {
	spec := j.Spec()
	if !j.Open() {
		return
	}
	if _, ok := w.acceptedAt[spec.ID()]; !ok {
		w.acceptedAt[spec.ID()] = now
	}
	if !w.leading || w.jobs.Get(spec.ID()) != nil {
		return
	}
	at := w.acceptedAt[spec.ID()]
	row := jobRow{itemCount: len(spec.Items()), due: at.Add(spec.Due().Sub(spec.Submitted())), maxAttempts: max(spec.MaxAttempts(), 1)}
	if !spec.Expiry().IsZero() {
		row.expiry = at.Add(spec.Expiry().Sub(spec.Submitted()) + expiryMargin)
	}
	w.jobs.Put(spec.ID(), row)
	w.jobOrder = append(w.jobOrder, spec.ID())
	w.changed = true
	for item, p := range j.PartialOutputs() {
		w.progress.Put(itemKey{spec.ID(), item}, progressRow{lastEvent: p.LastEvent(), storedEvent: p.LastEvent(), version: p.Version()})
	}
}

// Drop removes a job that ended and stops its attempts.
func (w *World) Drop(job string) {
	delete(w.acceptedAt, job)
	if !w.leading {
		return
	}
	w.jobs.Remove(job)
	w.jobOrder = slices.DeleteFunc(w.jobOrder, func(id string) bool { return id == job })
	w.running.Each(func(number uint64, row *runningRow) {
		if row.key.job == job {
			w.requestStop(number, row)
		}
	})
	w.progress.Each(func(key itemKey, _ *progressRow) {
		if key.job == job {
			w.progress.Remove(key)
		}
	})
}

// requestStop stops an attempt, unless it is being stopped already.
func (w *World) requestStop(number uint64, row *runningRow) {
	if !row.stopping {
		row.stopping = true
		w.stopAttempt(number)
	}
}

// Update sets the configuration, the backend servers and whether attempts may be
// started now.
func (w *World) Update(config *routing.Config, servers []directory.Server, mayStart bool) {
	w.config, w.servers, w.mayStart = config, servers, mayStart
}

// RunningItems returns the number of items that run on a backend server.
func (w *World) RunningItems(backend string) int { return w.runningItems[backend] }

// HasJobs reports whether jobs are open.
func (w *World) HasJobs() bool { return len(w.jobOrder) > 0 }

// Sent returns the items sent to a backend server.
func (w *World) Sent(now time.Time, backend string) usage.Sent {
	if sent := w.sent.Get(backend); sent != nil {
		return sent.Sent(now)
	}
	return usage.Sent{}
}

// countSent counts an item that is sent to a backend server, and forgets servers to which
// none was sent lately.
func (w *World) countSent(now time.Time, backend string) {
	w.sent.Each(func(id string, row *usage.Window) {
		if row.Sent(now).Sustained() == 0 {
			w.sent.Remove(id)
		}
	})
	if w.sent.Get(backend) == nil {
		w.sent.Put(backend, usage.Window{})
	}
	w.sent.Get(backend).Add(now)
}

// EachBackend calls visit for each backend server that runs items, with their number.
func (w *World) EachBackend(visit func(backend string, items int)) {
	for backend, count := range w.runningItems {
		visit(backend, count)
	}
}

// Run runs the systems of one tick.
func (w *World) Run(now time.Time) {
	w.itemsWaiting = false
	if !w.leading {
		return
	}
	w.stopStalled(now)
	w.preempt(now)
	w.expire(now)
	if now.Before(w.nextFill) || !w.mayStart {
		w.itemsWaiting = true
		return
	}
	w.nextFill, w.changed = now.Add(fillInterval), false
	w.fill(now)
}

// TakeOutputs returns the outputs to store and clears them.
func (w *World) TakeOutputs() []batch.ItemOutput {
	outputs := w.outputs
	w.outputs = nil
	return outputs
}

// Next returns the time of the next tick, and false if there is nothing to do.
func (w *World) Next(now time.Time) (time.Time, bool) {
	if !w.leading || len(w.jobOrder) == 0 {
		return time.Time{}, false
	}
	if w.changed && w.nextFill.After(now) {
		return w.nextFill, true
	}
	if w.itemsWaiting {
		return now.Add(retryInterval), true
	}
	if w.running.Len() > 0 && w.nextIdleCheck.Before(w.nextExpire) {
		return w.nextIdleCheck, true
	}
	return w.nextExpire, true
}
