package entry

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/event"
	"papayaquay/core/progress"
	"papayaquay/core/table"
	"papayaquay/core/usage"
)

// Timing of servers that fail.
const (
	fullPause    = 60 * time.Millisecond  // for a server that refused a request
	failurePause = 200 * time.Millisecond // doubled with each failure in a row
	maxPause     = 5 * time.Second
	loadFresh    = 150 * time.Millisecond // age at which a server's own report is void

	silentAfter  = 350 * time.Millisecond // without bytes before a server is left out
	queuedAfter  = time.Second            // the same where the request may have to wait for a slot
	abandonAfter = 600 * time.Millisecond // without bytes before a repeatable attempt is given up
	watchEvery   = 50 * time.Millisecond
	probePause   = 300 * time.Millisecond // between probes of a suspect server
	idleWatch    = time.Second            // without requests
	doubtPause   = 2 * time.Second        // between probes of all servers of a data centre
	forgetAfter  = 30 * time.Second       // without use of a server
)

// World holds the online requests of one traffic thread.
type World struct {
	logger   *slog.Logger
	random   *rand.Rand
	snapshot func() *cluster.Snapshot
	report   func(usage.Report)
	probe    func(backend, address string)
	served   func(outcome string, first, total time.Duration)
	tried    func(End)
	zone     string

	requests *table.Table[uint64, requestRow]
	servers  *table.Table[string, serverRow]
	last     uint64
	changed  bool // counts of requests in flight changed in this tick
	watchDue time.Time
	watched  time.Time            // last look at silence
	doubted  map[string]time.Time // data centres whose servers were all probed
}

// Option changes a world at construction.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithSeed seeds the choice among servers.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 1)) }
}

// WithReport sets the function told of the requests in flight.
func WithReport(report func(usage.Report)) Option { return func(w *World) { w.report = report } }

// WithProbe sets the function that tries to open a connection to a server; it
// must not block and is answered by Probed.
func WithProbe(probe func(backend, address string)) Option {
	return func(w *World) { w.probe = probe }
}

// WithObserver sets the functions told of each request that ended, with the
// times to the head of its answer (negative without one) and to its end, and of
// each attempt that ended.
func WithObserver(served func(outcome string, first, total time.Duration), tried func(End)) Option {
	return func(w *World) { w.served, w.tried = served, tried }
}

// New returns a world without requests. snapshot returns the newest view of
// the control world; dataCentre is this entry's.
func New(dataCentre string, snapshot func() *cluster.Snapshot, options ...Option) *World {
	w := &World{
		logger: slog.New(slog.DiscardHandler), random: rand.New(rand.NewPCG(1, 1)),
		snapshot: snapshot, report: func(usage.Report) {}, probe: func(string, string) {},
		served: func(string, time.Duration, time.Duration) {}, tried: func(End) {}, zone: dataCentre,
		requests: table.New[uint64, requestRow](), servers: table.New[string, serverRow](), doubted: make(map[string]time.Time),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Step runs one tick.
func (w *World) Step(now time.Time, inputs []Input) {
	w.changed = false
	for _, input := range inputs {
		switch {
		case input.request != nil:
			w.admit(now, input)
		case input.head:
			w.note(now, input.number, input.load)
		case input.end != 0:
			w.ended(now, input)
		case input.probed != "":
			w.probed(now, input.probed, input.reached)
		}
	}
	w.watch(now)
	if w.changed {
		w.report(w.running())
	}
}

// Next returns when attempts are looked at again.
func (w *World) Next() (time.Time, bool) {
	return w.watchDue, w.requests.Len() > 0 || w.servers.Len() > 0
}

// Len returns the number of requests under way.
func (w *World) Len() int { return w.requests.Len() }

// running returns the requests in flight by server.
func (w *World) running() usage.Report {
	running := make(map[string]int)
	w.servers.Each(func(id string, row *serverRow) {
		if row.inFlight > 0 {
			running[id] = row.inFlight
		}
	})
	return usage.NewReport(running)
}

// admit takes a new request.
func (w *World) admit(now time.Time, input Input) {
	w.last++
	if due := now.Add(watchEvery); due.Before(w.watchDue) {
		w.watchDue = due
	}
	row := w.requests.Put(w.last, requestRow{request: *input.request, decide: input.decide, progress: input.progress, abandon: input.abandon})
	w.next(now, w.last, row)
}

// server returns the row of a server.
func (w *World) server(id string) *serverRow {
	if row := w.servers.Get(id); row != nil {
		return row
	}
	return w.servers.Put(id, serverRow{})
}

// next sends a request to a server, or refuses it when there is none.
func (w *World) next(now time.Time, number uint64, row *requestRow) {
	if !now.Before(row.request.deadline) {
		w.giveUp(now, number, row, "deadline passed", 0)
		return
	}
	choice, ok := w.choose(now, row)
	if !ok {
		w.giveUp(now, number, row, "no backend server", refusedRetry)
		return
	}
	if row.runs == 0 && w.overloaded(now, row) {
		w.giveUp(now, number, row, "overloaded", w.retryAfter())
		return
	}
	backend := choice.backend
	server := w.server(backend.ID())
	server.inFlight++
	server.zone, server.address = backend.DataCentre(), backend.Address()
	w.changed = true
	row.backend, row.sentAt, row.left, row.patience = backend.ID(), now, false, silentAfter
	row.watch = progress.NewIdleTimer(row.progress)
	if choice.online+choice.batch >= backend.Slots() {
		row.patience = queuedAfter
	}
	reserve := w.reserves(row, choice)
	event.AttemptStarted.Log(w.logger, "request", row.request.id, "backend", backend.ID(), "attempt", len(row.tried)+1,
		"reserve", reserve, "in_flight", server.inFlight, "others", choice.online, "batch", choice.batch, "candidates", choice.candidates)
	row.decide(Decision{action: ActionSend, number: number, backend: backend, reserve: reserve})
}

// Times after which a refused request may come again.
const (
	refusedRetry   = 300 * time.Millisecond // without a server
	overloadRetry  = 700 * time.Millisecond // without a slot in time
	overloadSpread = 900 * time.Millisecond
)

// retryAfter returns when a request refused in an overload may come again. The
// times are spread, so that the refused ones do not come back together.
func (w *World) retryAfter() time.Duration {
	return overloadRetry + time.Duration(w.random.Float64()*float64(overloadSpread))
}

// giveUp ends a request without an answer of a server.
func (w *World) giveUp(now time.Time, number uint64, row *requestRow, reason string, retry time.Duration) {
	d := Decision{action: ActionRefuse, number: number, retryAfter: retry, reason: reason}
	if row.runs > 0 {
		d.action = ActionFail
	}
	event.RequestEnded.Log(w.logger, "request", row.request.id, "outcome", reason, "runs", row.runs,
		"attempts", len(row.tried), "ms", now.Sub(row.request.arrived).Milliseconds())
	w.served(reason, -1, now.Sub(row.request.arrived))
	decide := row.decide
	w.requests.Remove(number)
	decide(d)
}

// note keeps what a server says of its load.
func (w *World) note(now time.Time, number uint64, load LoadReport) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	row.headAt = now
	server := w.server(row.backend)
	server.kept = load.idleTimeout
	if !load.Known() {
		return
	}
	server.load, server.loadAt, server.failures = load, now, 0
}
