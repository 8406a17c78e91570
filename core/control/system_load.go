package control

import (
	"time"

	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// loadKey is the backend server and the reporting instance of a load report.
type loadKey struct {
	backend  string
	instance string
}

// loadRow is the last load report of an instance and the time it was received.
type loadRow struct {
	online int
	at     time.Time
}

// sentReportRow is the last load report that this instance made for a backend
// server.
type sentReportRow struct {
	online int
	at     time.Time
}

// loadWorld is the sub-world that tracks the online load on backend servers.
type loadWorld struct {
	self     string
	members  *member.World
	packetTo func(to string) *Packet
	runnerOf func(dataCentre string) string // instance that runs batch items in a data centre

	usages *table.Table[string, *Usage]
	rows   *table.Table[loadKey, loadRow]
	sent   *table.Table[string, sentReportRow]
	due    *timer.Subscription
}

// newLoadWorld returns the sub-world without load reports.
func newLoadWorld(members *member.World, runnerOf func(dataCentre string) string, packetTo func(to string) *Packet) *loadWorld {
	return &loadWorld{self: members.Self().Name(), members: members, runnerOf: runnerOf, packetTo: packetTo,
		usages: table.New[string, *Usage](), rows: table.New[loadKey, loadRow](),
		sent: table.New[string, sentReportRow]()}
}

// subscribe registers the timer for load reports.
func (w *loadWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("demand", w.sendReports)
	w.due.Arm(now.Add(loadReportInterval))
}

// receiveReport stores the load report of another instance.
func (w *loadWorld) receiveReport(now time.Time, from string, r LoadReport) {
	w.rows.Put(loadKey{backend: r.backend, instance: from}, loadRow{online: r.online, at: now})
}

// usageOf returns the counters of a backend server, which the traffic threads
// share, and creates them if needed.
func (w *loadWorld) usageOf(backend string) *Usage {
	if usage := w.usages.Get(backend); usage != nil {
		return *usage
	}
	return *w.usages.Put(backend, &Usage{})
}

// sendReports sends the batch runners the number of online requests that this
// instance runs on their backend servers. It sends a report if the number changed,
// or if the number is not 0 and the last report is older than loadReportInterval.
func (w *loadWorld) sendReports(now time.Time) {
	w.due.Arm(now.Add(loadReportInterval))
	for _, b := range w.members.Backends() {
		usage := w.usages.Get(b.ID())
		if usage == nil {
			continue
		}
		online := int((*usage).online.Load())
		row := w.sent.Get(b.ID())
		if row != nil && row.online == online && (online == 0 || now.Sub(row.at) < loadReportInterval) {
			continue
		}
		w.sent.Put(b.ID(), sentReportRow{online: online, at: now})
		if runner := w.runnerOf(b.DataCentre()); runner != "" && runner != w.self {
			p := w.packetTo(runner)
			p.loads = append(p.loads, NewLoadReport(b.ID(), online))
		}
	}
}

// onlineRequests returns how many online requests run on a backend server: those of
// this instance plus the unexpired reports of the reachable instances.
func (w *loadWorld) onlineRequests(now time.Time, backend string) int {
	online := 0
	if usage := w.usages.Get(backend); usage != nil {
		online = int((*usage).online.Load())
	}
	for _, i := range w.members.Instances() {
		if i.Name() == w.self || !i.Reachable() {
			continue
		}
		if r := w.rows.Get(loadKey{backend: backend, instance: i.Name()}); r != nil && now.Sub(r.at) < loadReportExpiry {
			online += r.online
		}
	}
	return online
}
