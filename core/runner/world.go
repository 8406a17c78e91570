package runner

import (
	"log/slog"
	"slices"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/routing"
	"papayaquay/core/table"
)

// Limits and timing.
const (
	cautiousSlots = 1 // slots left free by a server that took some back lately

	notRunPause   = 150 * time.Millisecond // without items for a server that refused one
	brokenPause   = 400 * time.Millisecond // doubled with each break in a row
	maxPause      = 5 * time.Second
	failurePause  = 200 * time.Millisecond // before an item that failed is tried again
	routeGrace    = 5 * time.Second        // without a route before its items are given up
	expireEvery   = time.Second
	retryInterval = 100 * time.Millisecond // while items wait for a free slot
	yieldPause    = 400 * time.Millisecond // without items for a server that took slots back
	yieldCaution  = 3 * time.Second        // that the server keeps a slot free afterwards
	fillEvery     = 10 * time.Millisecond  // between looks for free slots
	leadPause     = 200 * time.Millisecond // for entries to report to a new leader
	saveEvents    = 24                     // new events of an item that are worth keeping
	expiryMargin  = 500 * time.Millisecond // a job was submitted before it was seen here
)

// World runs items while this instance leads the jobs ledger. It belongs to
// the control thread.
type World struct {
	logger *slog.Logger
	start  func(Attempt)
	stop   func(number uint64)
	random func() float64
	ended  func(AttemptStatus, time.Duration)

	leading  bool
	lead     uint64 // counts the times of leading
	state    *batch.State
	config   *routing.Config
	servers  []directory.Server
	online   func(backend string) int
	jobs     *table.Table[string, jobRow]
	accepted map[string]time.Time // when open jobs were first seen here
	progress *table.Table[itemKey, progressRow]
	running  *table.Table[uint64, runningRow]
	pauses   *table.Table[string, pauseRow]
	counts   map[string]int // items running on each server
	yielded  *table.Table[string, time.Time]
	finishes []batch.ItemOutput
	last     uint64
	order    []string // jobs by due time, hopeless ones last
	pace     pace
	expireAt time.Time
	watchAt  time.Time // of the next look for silence
	waiting  bool      // items wait for a slot or a pause
	fillAt   time.Time // of the next look for free slots
	changed  bool      // jobs or attempts changed since the last look
	mayStart bool
}

// Option changes a world at construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithAttempts sets the functions that start and stop attempts. Each started
// attempt must be answered by Take.
func WithAttempts(start func(Attempt), stop func(number uint64)) Option {
	return func(w *World) { w.start, w.stop = start, stop }
}

// WithOnline sets the function that counts online requests on a server.
func WithOnline(online func(backend string) int) Option {
	return func(w *World) { w.online = online }
}

// WithRandom sets the source of draws in [0, 1).
func WithRandom(random func() float64) Option { return func(w *World) { w.random = random } }

// WithObserver sets the function told of each attempt that ended and how long
// it ran.
func WithObserver(ended func(AttemptStatus, time.Duration)) Option {
	return func(w *World) { w.ended = ended }
}

// New returns a world that runs nothing until Lead is called.
func New(options ...Option) *World {
	w := &World{
		logger: slog.New(slog.DiscardHandler),
		start:  func(Attempt) {}, stop: func(uint64) {},
		random: func() float64 { return 0 }, online: func(string) int { return 0 }, ended: func(AttemptStatus, time.Duration) {},
		accepted: make(map[string]time.Time),
		jobs:     table.New[string, jobRow](), progress: table.New[itemKey, progressRow](),
		running: table.New[uint64, runningRow](), pauses: table.New[string, pauseRow](),
		yielded: table.New[string, time.Time](),
		counts:  make(map[string]int), pace: newPace(),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// SetLeading starts or stops running items of a state.
func (w *World) SetLeading(now time.Time, leading bool, state *batch.State) {
	if leading == w.leading {
		return
	}
	w.fillAt = now.Add(leadPause)
	w.leading, w.state = leading, state
	w.lead++
	event.RunnerChanged.Log(w.logger, "running", leading)
	w.jobs = table.New[string, jobRow]()
	w.progress = table.New[itemKey, progressRow]()
	w.order, w.finishes = nil, nil
	if !leading {
		w.running.Each(func(number uint64, row *runningRow) { w.halt(number, row) })
		return
	}
	state.Each(func(j batch.Job) { w.Accept(now, j) })
}

// Accept takes a job that was accepted. Its times count from when it was first
// seen here, by this instance's clock: the time of day may differ between
// instances and jump.
func (w *World) Accept(now time.Time, j batch.Job) {
	o := j.Spec()
	if !j.Open() {
		return
	}
	if _, ok := w.accepted[o.ID()]; !ok {
		w.accepted[o.ID()] = now
	}
	if !w.leading || w.jobs.Get(o.ID()) != nil {
		return
	}
	at := w.accepted[o.ID()]
	row := jobRow{due: at.Add(o.Due().Sub(o.Submitted())), attempts: max(o.MaxAttempts(), 1)}
	if !o.Expiry().IsZero() {
		row.expiry = at.Add(o.Expiry().Sub(o.Submitted()) + expiryMargin)
	}
	w.jobs.Put(o.ID(), row)
	w.order = append(w.order, o.ID())
	w.changed = true
	for item, p := range j.Partials() {
		w.progress.Put(itemKey{o.ID(), item}, progressRow{last: p.LastEvent(), saved: p.LastEvent()})
	}
}

// Drop stops the items of a job that ended.
func (w *World) Drop(job string) {
	delete(w.accepted, job)
	if !w.leading {
		return
	}
	w.jobs.Remove(job)
	w.order = slices.DeleteFunc(w.order, func(id string) bool { return id == job })
	w.running.Each(func(number uint64, row *runningRow) {
		if row.key.job == job {
			w.halt(number, row)
		}
	})
	w.progress.Each(func(key itemKey, _ *progressRow) {
		if key.job == job {
			w.progress.Remove(key)
		}
	})
}

// halt stops an attempt once.
func (w *World) halt(number uint64, row *runningRow) {
	if !row.stopping {
		row.stopping = true
		w.stop(number)
	}
}

// Update takes the configuration, the backend servers and whether attempts may be
// started now.
func (w *World) Update(config *routing.Config, servers []directory.Server, start bool) {
	w.config, w.servers, w.mayStart = config, servers, start
}

// RunningItems returns the items that run on a server.
func (w *World) RunningItems(backend string) int { return w.counts[backend] }

// EachBackend visits the servers on which items run.
func (w *World) EachBackend(visit func(backend string, batch int)) {
	for backend, count := range w.counts {
		visit(backend, count)
	}
}

// Run runs the systems of one tick.
func (w *World) Run(now time.Time) {
	w.waiting = false
	if !w.leading {
		return
	}
	w.watch(now)
	w.yield(now)
	w.expire(now)
	if now.Before(w.fillAt) || !w.mayStart {
		w.waiting = true
		return
	}
	w.fillAt, w.changed = now.Add(fillEvery), false
	w.fill(now)
}

// TakeOutputs takes the results to store.
func (w *World) TakeOutputs() []batch.ItemOutput {
	finishes := w.finishes
	w.finishes = nil
	return finishes
}

// Next returns the next deadline.
func (w *World) Next(now time.Time) (time.Time, bool) {
	if !w.leading || len(w.order) == 0 {
		return time.Time{}, false
	}
	if w.changed && w.fillAt.After(now) {
		return w.fillAt, true
	}
	if w.waiting {
		return now.Add(retryInterval), true
	}
	if w.running.Len() > 0 && w.watchAt.Before(w.expireAt) {
		return w.watchAt, true
	}
	return w.expireAt, true
}
