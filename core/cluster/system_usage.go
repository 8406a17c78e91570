package cluster

import (
	"maps"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/event"
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

// syncer reports the load of an instance and receives the load totals.
type syncer struct {
	active            bool // this instance has load to report
	report            usage.Report
	lastReport        usage.Report
	changed           bool
	awaitingReply     bool
	sentAt            time.Time
	receivedAt        time.Time
	reporters         int  // entry instances that report to the same instance
	collecting        bool // this instance sums up and reports the load of entry instances
	avoid             map[string]time.Time
	collectors        []string     // store instances in order of preference
	collectorsVersion uint64       // membership version of the list
	cursor            usage.Cursor // position in the versions of the load totals
	totals            Loads        // load of all instances, including this one
	loads             Loads        // load of the others, nil if it is not known; never modified in place
}

// newSyncer returns a syncer without load.
func newSyncer() *syncer { return &syncer{avoid: make(map[string]time.Time), totals: make(Loads)} }

// setReport sets the present load of this instance.
func (s *syncer) setReport(r usage.Report) {
	s.active = true
	s.report = r
	s.changed = !maps.Equal(r.Running(), s.lastReport.Running())
}

// nextReport returns the time of the next report.
func (s *syncer) nextReport() time.Time {
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

// next returns the next deadline, if there is one.
func (s *syncer) next() (time.Time, bool) {
	return s.nextReport(), s.active && !s.awaitingReply
}

// runSyncer reports the load of this instance to the leader of the jobs ledger
// or to a collecting store instance, and drops old loads.
func (w *World) runSyncer(now time.Time) {
	s := w.syncer
	if s.loads != nil && now.Sub(s.receivedAt) > loadsMaxAge {
		s.loads, w.snapshotStale = nil, true
	}
	if !s.active || s.awaitingReply || now.Before(s.nextReport()) {
		return
	}
	payload, err := w.codec.SyncRequest.Encode(usage.NewSyncRequest(s.report, s.cursor))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "usage", "error", err)
		return
	}
	s.awaitingReply, s.changed, s.lastReport, s.sentAt = true, false, s.report, now
	sent := s.report
	if address := w.collector(now); address != "" {
		c := call.New(call.KindCollect, call.TargetInstance, now.Add(reportTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() != call.StatusDone {
				s.avoid[address] = w.now.Add(collectorRetryDelay)
			}
			w.takeLoadUpdate(sent, reply)
		})
		return
	}
	w.calls.Start(now, call.New(call.KindUsage, call.TargetJobs, now.Add(reportTimeout), payload),
		func(reply call.Reply) { w.takeLoadUpdate(sent, reply) })
}

// takeLoadUpdate applies the answer to a report. The load of the other instances
// is the total without the report that was sent.
func (w *World) takeLoadUpdate(sent usage.Report, reply call.Reply) {
	s := w.syncer
	s.awaitingReply = false
	if reply.Status() != call.StatusDone {
		return
	}
	response, err := w.codec.LoadUpdate.Decode(reply.Payload())
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "sums", "error", err)
		return
	}
	update := response.Update()
	update.Apply(s.totals)
	s.reporters, s.cursor = response.Reporters(), update.Cursor()
	s.loads = maps.Clone(s.totals)
	for backend, running := range sent.Running() {
		load := s.loads[backend]
		s.loads[backend] = usage.NewLoad(max(load.Online()-running, 0), load.Batch())
	}
	s.receivedAt, w.snapshotStale = w.now, true
}
