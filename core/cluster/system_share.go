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
	collectPause  = 20 * time.Millisecond
)

// share is the sub-world of an entry that tells its load and hears the sums.
type share struct {
	active   bool // this instance has traffic to report
	report   usage.Report
	told     usage.Report
	changed  bool
	asked    bool
	sentAt   time.Time
	heardAt  time.Time
	others   int  // entries that report to the same instance
	collect  bool // this instance passes on the reports of entries
	avoid    map[string]time.Time
	stores   []string     // those that may collect, the preferred first
	storesOf uint64       // set of instances that they were taken from
	mark     usage.Cursor // of the sums as heard last
	sums     Loads        // of all instances, this one included
	loads    Loads        // of the others, nothing where that is not known; never changed
}

// newShare returns the sub-world without reports.
func newShare() *share { return &share{avoid: make(map[string]time.Time), sums: make(Loads)} }

// set takes what this entry runs now.
func (s *share) set(r usage.Report) {
	s.active = true
	s.report = r
	s.changed = !maps.Equal(r.Running(), s.told.Running())
}

// due returns when the next report is to be sent.
func (s *share) due() time.Time {
	if s.collect {
		return s.sentAt.Add(collectPause)
	}
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
	payload, err := w.codec.UsageRequest.Encode(usage.NewSyncRequest(s.report, s.mark))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "usage", "error", err)
		return
	}
	s.asked, s.changed, s.told, s.sentAt = true, false, s.report, now
	sent := s.report
	if address := w.collector(now); address != "" {
		c := call.New(call.KindCollect, call.TargetNode, now.Add(reportTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() != call.StatusDone {
				s.avoid[address] = w.now.Add(collectAvoid)
			}
			w.takeLoads(sent, reply)
		})
		return
	}
	w.calls.Start(now, call.New(call.KindUsage, call.TargetJobs, now.Add(reportTimeout), payload),
		func(reply call.Reply) { w.takeLoads(sent, reply) })
}

// takeLoads keeps what the others run: the sums without this instance's part.
func (w *World) takeLoads(sent usage.Report, reply call.Reply) {
	s := w.share
	s.asked = false
	if reply.Status() != call.StatusDone {
		return
	}
	sums, err := w.codec.LoadUpdate.Decode(reply.Payload())
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "sums", "error", err)
		return
	}
	change := sums.Change()
	change.Apply(s.sums)
	s.others, s.mark = sums.Reporters(), change.Cursor()
	s.loads = maps.Clone(s.sums)
	for backend, running := range sent.Running() {
		l := s.loads[backend]
		s.loads[backend] = usage.NewLoad(max(l.Online()-running, 0), l.Batch())
	}
	s.heardAt, w.stale = w.now, true
}
