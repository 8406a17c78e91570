package cluster

import (
	"maps"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/event"
	"papayaquay/core/usage"
)

// Timing of the reports of online load.
const (
	minReportInterval         = 8 * time.Millisecond   // between reports that differ, at least
	reportIntervalPerReporter = 600 * time.Microsecond // the same for each entry that reports
	busyRefreshFactor         = 3                      // pauses after which a busy entry asks without a change
	reportRefreshInterval     = 250 * time.Millisecond // the same of an entry without requests
	reportTimeout             = 400 * time.Millisecond
	loadsMaxAge               = 2 * time.Second // age at which the sums no longer count
	collectorReportInterval   = 20 * time.Millisecond
)

// reporter is the sub-world of an entry that tells its load and hears the sums.
type reporter struct {
	active            bool // this instance has traffic to report
	report            usage.Report
	lastReport        usage.Report
	changed           bool
	waiting           bool
	sentAt            time.Time
	receivedAt        time.Time
	reporters         int  // entries that report to the same instance
	collecting        bool // this instance passes on the reports of entries
	avoidUntil        map[string]time.Time
	collectors        []string   // those that may collect, the preferred first
	collectorsVersion uint64     // set of instances that they were taken from
	mark              usage.Mark // of the sums as heard last
	totals            Loads      // of all instances, this one included
	loads             Loads      // of the others, nothing where that is not known; never changed
}

// newReporter returns the sub-world without reports.
func newReporter() *reporter { return &reporter{avoidUntil: make(map[string]time.Time), totals: make(Loads)} }

// setReport takes what this entry runs now.
func (s *reporter) setReport(r usage.Report) {
	s.active = true
	s.report = r
	s.changed = !maps.Equal(r.Running(), s.lastReport.Running())
}

// earliestDue returns when the next report is to be sent.
func (s *reporter) nextReport() time.Time {
	if s.collecting {
		return s.sentAt.Add(collectorReportInterval)
	}
	interval := max(minReportInterval, time.Duration(s.reporters)*reportIntervalPerReporter)
	switch {
	case s.changed:
		return s.sentAt.Add(interval)
	case len(s.report.Running()) > 0:
		return s.sentAt.Add(min(busyRefreshFactor*interval, reportRefreshInterval))
	}
	return s.sentAt.Add(reportRefreshInterval)
}

// next returns the next deadline.
func (s *reporter) next() (time.Time, bool) {
	return s.nextReport(), s.active && !s.waiting
}

// runReporter reports the load of this entry to the leader of the jobs ledger.
func (w *World) runReporter(now time.Time) {
	s := w.reporter
	if s.loads != nil && now.Sub(s.receivedAt) > loadsMaxAge {
		s.loads, w.snapshotStale = nil, true
	}
	if !s.active || s.waiting || now.Before(s.nextReport()) {
		return
	}
	payload, err := w.codec.UsageRequest.Encode(usage.NewEnquiry(s.report, s.mark))
	if err != nil {
		event.EncodeFailed.Log(w.logger, "call", "usage", "error", err)
		return
	}
	s.waiting, s.changed, s.lastReport, s.sentAt = true, false, s.report, now
	sent := s.report
	if address := w.collector(now); address != "" {
		c := call.New(call.KindCollect, call.TargetNode, now.Add(reportTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() != call.StatusDone {
				s.avoidUntil[address] = w.now.Add(collectorRetryDelay)
			}
			w.takeLoadUpdate(sent, reply)
		})
		return
	}
	w.calls.Start(now, call.New(call.KindUsage, call.TargetJobs, now.Add(reportTimeout), payload),
		func(reply call.Reply) { w.takeLoadUpdate(sent, reply) })
}

// takeLoadUpdate keeps what the others run: the sums without this instance's part.
func (w *World) takeLoadUpdate(sent usage.Report, reply call.Reply) {
	s := w.reporter
	s.waiting = false
	if reply.Status() != call.StatusDone {
		return
	}
	update, err := w.codec.LoadUpdate.Decode(reply.Payload())
	if err != nil {
		event.EncodeFailed.Log(w.logger, "call", "sums", "error", err)
		return
	}
	change := update.Change()
	change.Apply(s.totals)
	s.reporters, s.mark = update.Reporters(), change.Mark()
	s.loads = maps.Clone(s.totals)
	for backend, running := range sent.Running() {
		l := s.loads[backend]
		s.loads[backend] = usage.NewLoad(max(l.Online()-running, 0), l.Batch())
	}
	s.receivedAt, w.snapshotStale = w.now, true
}
