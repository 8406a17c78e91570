package cluster

import (
	"maps"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/usage"
)

// Timing of the load reports.
const (
	minReportInterval         = 8 * time.Millisecond   // minimum between reports of a change
	reportIntervalPerReporter = 600 * time.Microsecond // per reporting entry instance
	busyRefreshFactor         = 3                      // intervals after which an instance with requests reports without a change
	reportRefreshInterval     = 250 * time.Millisecond // the longest time without a report
	reportTimeout             = 400 * time.Millisecond
	loadsMaxAge               = 2 * time.Second // age at which the load totals are dropped
	collectorReportInterval   = 20 * time.Millisecond
)

// loadReporter reports the load of an instance and receives the load totals.
type loadReporter struct {
	active            bool // this instance has load to report
	report            usage.Report
	reportedAt        time.Time // when report was set
	lastReport        usage.Report
	changed           bool
	awaitingReply     bool
	sentAt            time.Time
	receivedAt        time.Time
	reporters         int                  // entry instances that report to the same instance
	collecting        bool                 // this instance sums up and reports the load of entry instances
	avoid             map[string]time.Time // until when store instances that did not answer get no reports
	collectors        []string             // store instances in order of preference
	collectorsVersion uint64               // membership version of the list
	cursor            usage.Cursor         // position in the versions of the load totals
	totals            Loads                // load of all instances, including this one
	loads             Loads                // load of the others, nil if it is not known; never modified in place
}

// newLoadReporter returns a reporter without load.
func newLoadReporter() *loadReporter {
	return &loadReporter{avoid: make(map[string]time.Time), totals: make(Loads)}
}

// setReport sets the present load of this instance.
func (l *loadReporter) setReport(now time.Time, r usage.Report) {
	l.active = true
	l.report, l.reportedAt = r, now
	l.changed = !r.Equal(l.lastReport)
}

// nextReport returns the time of the next report.
func (l *loadReporter) nextReport() time.Time {
	if l.collecting {
		return l.sentAt.Add(collectorReportInterval)
	}
	interval := max(minReportInterval, time.Duration(l.reporters)*reportIntervalPerReporter)
	switch {
	case l.changed:
		return l.sentAt.Add(interval)
	case len(l.report.Running()) > 0:
		return l.sentAt.Add(min(busyRefreshFactor*interval, reportRefreshInterval))
	}
	return l.sentAt.Add(reportRefreshInterval)
}

// next returns the next deadline, if there is one.
func (l *loadReporter) next() (time.Time, bool) {
	return l.nextReport(), l.active && !l.awaitingReply
}

// runLoadReporter reports the load of this instance to the leader of the jobs
// ledger or to a collecting store instance, and drops old loads.
func (w *World) runLoadReporter(now time.Time) {
	l := w.loadReporter
	if l.loads != nil && now.Sub(l.receivedAt) > loadsMaxAge {
		l.loads, w.snapshotStale = nil, true
	}
	if !l.active || l.awaitingReply || now.Before(l.nextReport()) {
		return
	}
	payload, err := w.codec.SyncRequest.Encode(usage.NewSyncRequest(l.report.Aged(now.Sub(l.reportedAt)), l.cursor))
	if err != nil {
		w.codingFailed("usage", "to", "", err)
		return
	}
	l.awaitingReply, l.changed, l.lastReport, l.sentAt = true, false, l.report, now
	sent := l.report
	if address := w.collector(now); address != "" {
		c := call.New(call.KindCollect, call.TargetInstance, now.Add(reportTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() != call.StatusDone {
				l.avoid[address] = w.now.Add(collectorRetryDelay)
			}
			w.applyLoadUpdate(sent, reply)
		})
		return
	}
	w.calls.Start(now, call.New(call.KindUsage, call.TargetJobs, now.Add(reportTimeout), payload),
		func(reply call.Reply) { w.applyLoadUpdate(sent, reply) })
}

// applyLoadUpdate applies the load update that answers a report. The load of the
// other instances is the total without the report that was sent.
func (w *World) applyLoadUpdate(sent usage.Report, reply call.Reply) {
	l := w.loadReporter
	l.awaitingReply = false
	if reply.Status() != call.StatusDone {
		return
	}
	response, err := w.codec.LoadUpdate.Decode(reply.Payload())
	if !w.canUse("sums", "", err) {
		return
	}
	update := response.Update()
	update.Apply(l.totals)
	l.reporters, l.cursor = response.Reporters(), update.Cursor()
	l.loads = maps.Clone(l.totals)
	for backend, running := range sent.Running() {
		l.loads[backend] = l.loads[backend].Add(-running, 0)
	}
	for backend, use := range sent.Limited() {
		if load := l.loads[backend]; load.Limit().Incarnation() == use.Limit().Incarnation() {
			l.loads[backend] = load.WithLimit(load.Limit(), load.Sent().Without(use.Sent()))
		}
	}
	l.receivedAt, w.snapshotStale = w.now, true
}
