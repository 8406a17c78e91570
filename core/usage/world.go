// Package usage adds up how many requests all entries run on each backend
// server. Entries report to one instance, which tells each of them the sums.
package usage

import (
	"time"

	"papayaquay/core/table"
)

// ReportExpiry is the age at which a report no longer counts. An entry repeats its
// report well before.
const ReportExpiry = 1500 * time.Millisecond

// Report is what one entry runs, by backend server.
type Report struct {
	running map[string]int
}

// NewReport returns a report; servers without requests are left out.
func NewReport(running map[string]int) Report { return Report{running: running} }

// Running returns the requests by backend server.
func (r Report) Running() map[string]int { return r.running }

// Load is what all instances together run on one backend server.
type Load struct {
	online int
	batch  int
}

// NewLoad returns counts of online requests and batch items.
func NewLoad(online, batch int) Load { return Load{online: online, batch: batch} }

// Online returns the number of online requests.
func (l Load) Online() int { return l.online }

// Batch returns the number of batch items.
func (l Load) Batch() int { return l.batch }

// row is the last report of an entry.
type row struct {
	report Report
	heard  time.Time
}

// World holds the reports. It belongs to the control thread.
type World struct {
	reports *table.Table[string, row]
	online  map[string]int
}

// New returns a world without reports.
func New() *World {
	return &World{reports: table.New[string, row](), online: make(map[string]int)}
}

// SetReport replaces the report of an entry.
func (w *World) SetReport(now time.Time, from string, report Report) {
	if old := w.reports.Get(from); old != nil {
		w.add(old.report, -1)
	}
	w.reports.Put(from, row{report: report, heard: now})
	w.add(report, 1)
}

// add counts a report in or out.
func (w *World) add(report Report, sign int) {
	for backend, running := range report.running {
		w.online[backend] += sign * running
		if w.online[backend] == 0 {
			delete(w.online, backend)
		}
	}
}

// Run drops reports that are too old.
func (w *World) Run(now time.Time) {
	w.reports.Each(func(from string, r *row) {
		if now.Sub(r.heard) > ReportExpiry {
			w.add(r.report, -1)
			w.reports.Remove(from)
		}
	})
}

// Len returns the number of entries that report.
func (w *World) Len() int { return w.reports.Len() }

// Online returns the online requests on a backend server.
func (w *World) Online(backend string) int { return w.online[backend] }

// Total returns all reports as one.
func (w *World) Total() Report {
	running := make(map[string]int, len(w.online))
	for backend, online := range w.online {
		running[backend] = online
	}
	return NewReport(running)
}

// Reset drops all reports.
func (w *World) Reset() {
	w.reports = table.New[string, row]()
	clear(w.online)
}

// Each visits the backend servers with online requests.
func (w *World) Each(visit func(backend string, online int)) {
	for backend, online := range w.online {
		visit(backend, online)
	}
}
