package entry

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/member"
	"papayaquay/core/quarantine"
	"papayaquay/core/stream"
	"papayaquay/core/table"
	"papayaquay/core/usage"
)

// Timing of pauses, watches and probes.
const (
	fullPause    = 60 * time.Millisecond  // after a server rejected a request or a reservation
	failurePause = 200 * time.Millisecond // doubled with each consecutive failure
	maxPause     = 5 * time.Second
	loadMaxAge   = 150 * time.Millisecond // age at which a server's load report is ignored

	stalledAfter         = 350 * time.Millisecond // without bytes, before a server counts as stalled
	queuedStalledAfter   = time.Second            // the same for a request that may have to wait for a slot
	abandonAfter         = 600 * time.Millisecond // without bytes, before a retryable attempt is abandoned
	watchInterval        = 50 * time.Millisecond
	probePause           = 300 * time.Millisecond // between probes of an ejected server
	idleWatchInterval    = time.Second            // while there are no requests
	dataCentreProbePause = 2 * time.Second        // between probes of all servers of a data centre
	unusedAfter          = 30 * time.Second       // without use, after which the row of a server is deleted
)

// World holds the online requests of one traffic thread and the state of the
// backend servers that they use.
type World struct {
	logger         *slog.Logger
	random         *rand.Rand
	snapshot       func() *cluster.Snapshot
	report         func(usage.Report)
	probe          func(backend, address string)
	observeRequest func(outcome string, headerDelay, total time.Duration)
	observeAttempt func(AttemptStatus)
	checkCrash     func(id quarantine.CrashID, address string, others []string)
	reportCrash    func(quarantine.Crash)
	exclude        func([]quarantine.Part)
	clearParts     func([]quarantine.Part)
	markSound      func([]quarantine.Part)
	findStream     func(number uint64, q stream.Query)
	reportLeave    func(backend string, incarnation uint64)
	refute         func(quarantine.CrashID)
	dataCentre     string

	requests           *table.Table[uint64, requestRow]
	began              *stream.Records // streams whose answers began here
	unrecordedUntil    time.Time       // until when no records of streams are expected to be confirmed
	servers            *table.Table[string, serverRow]
	crashChecks        *table.Table[quarantine.CrashID, crashCheckRow]
	recentParts        *quarantine.Recent
	reportedCrashes    *table.Table[quarantine.CrashID, struct{}] // of other instances, that were checked here
	checkedSnapshot    *cluster.Snapshot                          // the last one whose crashes were checked
	ended              *member.Ended
	lastNumber         uint64
	inFlightChanged    bool // the number of requests in flight changed in this tick
	nextWatch          time.Time
	lastWatch          time.Time            // time of the last run of watch
	dataCentreProbedAt map[string]time.Time // when all servers of a data centre were last probed
}

// Option sets an optional parameter of a world.
type Option func(*World)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(w *World) { w.logger = logger } }

// WithSeed sets the seed of the random choice among servers.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 1)) }
}

// WithReport sets the function that receives the number of requests in flight by
// server whenever it changes.
func WithReport(report func(usage.Report)) Option { return func(w *World) { w.report = report } }

// WithProbe sets the function that starts an attempt to open a connection to a
// server. It must not block; the result is passed to the world by ProbeEnded.
func WithProbe(probe func(backend, address string)) Option {
	return func(w *World) { w.probe = probe }
}

// WithObserver sets the functions that are called when a request or an attempt
// ends. observeRequest receives the outcome, the time from arrival to the response
// header (negative without one) and the time from arrival to the end.
// observeAttempt receives the status of the attempt.
func WithObserver(observeRequest func(outcome string, headerDelay, total time.Duration), observeAttempt func(AttemptStatus)) Option {
	return func(w *World) { w.observeRequest, w.observeAttempt = observeRequest, observeAttempt }
}

// WithQuarantine sets the functions that connect the world with the crash evidence.
// checkCrash starts a check whether a server refuses connections although one of the
// given other servers of its data centre accepts them; it must not block, and the result is
// passed to the world by CrashChecked. reportCrash receives each crash. exclude receives
// suspect parts on which an answer began, clearParts those on which one came to its end. refute
// receives a server that was believed to have crashed and answers.
func WithQuarantine(checkCrash func(id quarantine.CrashID, address string, others []string), reportCrash func(quarantine.Crash),
	exclude, clearParts func([]quarantine.Part), refute func(quarantine.CrashID)) Option {
	return func(w *World) {
		w.checkCrash, w.reportCrash, w.exclude, w.clearParts, w.refute = checkCrash, reportCrash, exclude, clearParts, refute
	}
}

// WithSoundParts sets the function that receives suspect parts on which answers came to their end
// here shortly before.
func WithSoundParts(markSound func([]quarantine.Part)) Option {
	return func(w *World) { w.markSound = markSound }
}

// WithStreamSearch sets the function that asks the other instances which version began a
// stream. It must not block; the answer is passed to the world by StreamFound.
func WithStreamSearch(find func(number uint64, q stream.Query)) Option {
	return func(w *World) { w.findStream = find }
}

// WithLeaveReport sets the function that receives a server that said in an answer that it is
// leaving, with its incarnation.
func WithLeaveReport(report func(backend string, incarnation uint64)) Option {
	return func(w *World) { w.reportLeave = report }
}

// New returns a world without requests. dataCentre is the data centre of this
// entry instance; snapshot returns the newest snapshot of the control world.
func New(dataCentre string, snapshot func() *cluster.Snapshot, options ...Option) *World {
	w := &World{
		logger: slog.New(slog.DiscardHandler), random: rand.New(rand.NewPCG(1, 1)),
		snapshot: snapshot, report: func(usage.Report) {}, probe: func(string, string) {},
		observeRequest: func(string, time.Duration, time.Duration) {}, observeAttempt: func(AttemptStatus) {}, dataCentre: dataCentre,
		checkCrash: func(quarantine.CrashID, string, []string) {}, refute: func(quarantine.CrashID) {}, reportCrash: func(quarantine.Crash) {}, exclude: func([]quarantine.Part) {}, clearParts: func([]quarantine.Part) {}, markSound: func([]quarantine.Part) {}, recentParts: quarantine.NewRecent(), reportLeave: func(string, uint64) {}, findStream: func(uint64, stream.Query) {}, began: stream.NewRecords(),
		requests: table.New[uint64, requestRow](), servers: table.New[string, serverRow](), crashChecks: table.New[quarantine.CrashID, crashCheckRow](), reportedCrashes: table.New[quarantine.CrashID, struct{}](), ended: member.NewEnded(), dataCentreProbedAt: make(map[string]time.Time),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Step runs one tick.
func (w *World) Step(now time.Time, inputs []Input) {
	w.inFlightChanged = false
	for _, input := range inputs {
		switch {
		case input.request != nil:
			w.admit(now, input)
		case input.origin != nil:
			w.originFound(now, input.number, *input.origin)
		case input.header:
			w.recordHeader(now, input.number, input.load)
		case input.began:
			w.recordBegin(now, input.number)
		case input.check != nil:
			w.endCrashCheck(now, *input.check, input.crashed)
		case input.status != 0:
			w.endAttempt(now, input)
		case input.probed != "":
			w.endProbe(now, input.probed, input.reached)
		}
	}
	w.checkReportedCrashes(now)
	w.watch(now)
	if w.inFlightChanged {
		w.report(w.running(now))
	}
}

// Next returns when the world must run again, and whether it must.
func (w *World) Next() (time.Time, bool) {
	return w.nextWatch, w.requests.Len() > 0 || w.servers.Len() > 0
}

// Len returns the number of requests in progress.
func (w *World) Len() int { return w.requests.Len() }

// running returns the number of requests in flight by server.
func (w *World) running(now time.Time) usage.Report {
	running := make(map[string]int)
	w.servers.Each(func(id string, row *serverRow) {
		if row.inFlight > 0 {
			running[id] = row.inFlight
		}
	})
	return usage.NewReport(running).WithLimited(w.limitedUse(now))
}

// recordHeader stores the load that a server reported in a response header.
func (w *World) recordHeader(now time.Time, number uint64, load LoadReport) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	row.headerAt = now
	server := w.server(row.backend)
	if load.Leaving() {
		w.recordLeave(row.backend, server, row.incarnation)
	}
	w.setLimit(now, row.backend, server, row.incarnation, load)
	server.idleTimeout = load.idleTimeout
	if !load.Known() {
		return
	}
	server.load, server.loadAt, server.failures = load, now, 0
}
