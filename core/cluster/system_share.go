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
	reportPause   = 8 * time.Millisecond   // between reports that differ, at least
	reportEach    = 600 * time.Microsecond // the same for each entry that reports
	refreshBusy   = 3                      // pauses after which a busy entry asks without a change
	reportRefresh = 250 * time.Millisecond // the same of an entry without requests
	reportTimeout = 400 * time.Millisecond
	loadsExpiry   = 2 * time.Second // age at which the sums no longer count
)

// share is the sub-world of an entry that tells its load and hears the sums.
type share struct {
	active  bool // this instance has traffic to report
	report  usage.Report
	told    usage.Report
	changed bool
	asked   bool
	sentAt  time.Time
	heardAt time.Time
	others  int // entries that report
	loads   Loads
}

// newShare returns the sub-world without reports.
func newShare() *share { return &share{} }

// set takes what this entry runs now.
func (s *share) set(r usage.Report) {
	s.active = true
	s.report = r
	s.changed = !maps.Equal(r.Running(), s.told.Running())
}

// due returns when the next report is to be sent.
func (s *share) due() time.Time {
	pause := max(reportPause, time.Duration(s.others)*reportEach)
	switch {
	case s.changed:
		return s.sentAt.Add(pause)
	case len(s.report.Running()) > 0:
		return s.sentAt.Add(min(refreshBusy*pause, reportRefresh))
	}
	return s.sentAt.Add(reportRefresh)
}

// next returns the next deadline.
func (s *share) next() (time.Time, bool) {
	return s.due(), s.active && !s.asked
}

// runShare reports the load of this entry to the leader of the jobs ledger.
func (w *World) runShare(now time.Time) {
	s := w.share
	if s.loads != nil && now.Sub(s.heardAt) > loadsExpiry {
		s.loads, w.stale = nil, true
	}
	if !s.active || s.asked || now.Before(s.due()) {
		return
	}
	payload, err := w.codec.Report.Encode(s.report)
	if err != nil {
		return
	}
	s.asked, s.changed, s.told, s.sentAt = true, false, s.report, now
	sent := s.report
	w.calls.Start(now, call.New(call.KindUsage, call.TargetJobs, now.Add(reportTimeout), payload),
		func(reply call.Reply) { w.takeLoads(sent, reply) })
}

// takeLoads keeps what the others run: the sums without this entry's part.
func (w *World) takeLoads(sent usage.Report, reply call.Reply) {
	s := w.share
	s.asked = false
	if reply.Status() != call.StatusDone {
		return
	}
	sums, err := w.codec.Sums.Decode(reply.Payload())
	if err != nil {
		event.CommandInvalid.Log(w.logger, "sums", "decode", "error", err)
		return
	}
	loads := sums.loads
	s.others = sums.reporters
	for backend, running := range sent.Running() {
		l := loads[backend]
		loads[backend] = usage.NewLoad(max(l.Online()-running, 0), l.Batch())
	}
	s.loads, s.heardAt, w.stale = loads, w.now, true
}
