// Package usage adds up the number of online requests that all entry instances run
// on each backend server. Entry instances report to one instance and get the load
// totals from it.
package usage

import (
	"time"

	"papayaquay/core/table"
)

// ReportExpiry is the age after which a report is removed. Instances repeat their
// reports at a much shorter interval.
const ReportExpiry = 1500 * time.Millisecond

// Report is the number of online requests on each backend server that one instance
// reports: its own, or those of the entry instances that report to it.
type Report struct {
	running map[string]int
	limited map[string]LimitedUse
}

// NewReport returns a report. running contains only servers with requests.
func NewReport(running map[string]int) Report { return Report{running: running} }

// Running returns the number of requests by backend server.
func (r Report) Running() map[string]int { return r.running }

// Load is the work that all instances together run on one backend server.
type Load struct {
	online int
	batch  int
	sent   Sent
	limit  Limit
}

// NewLoad returns a load of online requests and batch items.
func NewLoad(online, batch int) Load { return Load{online: online, batch: batch} }

// Online returns the number of online requests.
func (l Load) Online() int { return l.online }

// Batch returns the number of batch items.
func (l Load) Batch() int { return l.batch }

// WithLimit returns a copy of the load with the server's limit and the requests that were
// sent to it.
func (l Load) WithLimit(limit Limit, sent Sent) Load {
	l.limit, l.sent = limit, sent
	return l
}

// Limit returns the limit that the server names.
func (l Load) Limit() Limit { return l.limit }

// Sent returns the requests sent to a server with a limit.
func (l Load) Sent() Sent { return l.sent }

// Add returns the load with more work.
func (l Load) Add(online, batch int) Load {
	l.online, l.batch = max(l.online+online, 0), l.batch+batch
	return l
}

// row is the last report of an instance.
type row struct {
	report     Report
	receivedAt time.Time
}

// World holds the reports of all instances. Only the control thread may use it.
type World struct {
	reports *table.Table[string, row]
	online  map[string]int

	limited   map[string]LimitedUse // sums of the reports at limitedAt, nil for none
	limitedAt time.Time
}

// New returns a world without reports.
func New() *World {
	return &World{reports: table.New[string, row](), online: make(map[string]int)}
}

// SetReport replaces the report of an instance.
func (w *World) SetReport(now time.Time, from string, report Report) {
	if old := w.reports.Get(from); old != nil {
		w.add(old.report, -1)
	}
	w.reports.Put(from, row{report: report, receivedAt: now})
	w.add(report, 1)
}

// add adds a report to the totals if sign is 1 and subtracts it if sign is -1.
func (w *World) add(report Report, sign int) {
	for backend, running := range report.running {
		w.online[backend] += sign * running
		if w.online[backend] == 0 {
			delete(w.online, backend)
		}
	}
}

// Run removes the reports that are older than ReportExpiry.
func (w *World) Run(now time.Time) {
	w.reports.Each(func(from string, r *row) {
		if now.Sub(r.receivedAt) > ReportExpiry {
			w.add(r.report, -1)
			w.reports.Remove(from)
		}
	})
}

// Len returns the number of instances that report.
func (w *World) Len() int { return w.reports.Len() }

// Online returns the number of online requests on a backend server.
func (w *World) Online(backend string) int { return w.online[backend] }

// Total returns the sum of all reports.
func (w *World) Total(now time.Time) Report {
	running := make(map[string]int, len(w.online))
	for backend, online := range w.online {
		running[backend] = online
	}
	return NewReport(running).WithLimited(w.Limited(now))
}

// Reset removes all reports.
func (w *World) Reset() {
	w.reports = table.New[string, row]()
	clear(w.online)
	w.limited = nil
}

// Each calls visit for each backend server with online requests.
func (w *World) Each(visit func(backend string, online int)) {
	for backend, online := range w.online {
		visit(backend, online)
	}
}
