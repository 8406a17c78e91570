package control

import (
	"time"

	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// loadKey names a report of online load.
type loadKey struct {
	backend  string
	instance string
}

// loadRow is the online load that an instance reported.
type loadRow struct {
	online int
	at     time.Time
}

// sentReportRow is what this instance reported last for a backend server.
type sentReportRow struct {
	online int
	at     time.Time
}

// loadWorld is the sub-world of the online load on backend servers.
type loadWorld struct {
	self     string
	members  *member.World
	packetTo func(to string) *Packet
	runnerOf func(dataCentre string) string // who runs batch items there

	usages *table.Table[string, *Usage]
	rows   *table.Table[loadKey, loadRow]
	sent   *table.Table[string, sentReportRow]
	due    *timer.Subscription
}

// newLoadWorld returns the sub-world without load.
func newLoadWorld(members *member.World, runnerOf func(dataCentre string) string, packetTo func(to string) *Packet) *loadWorld {
	return &loadWorld{self: members.Self().Name(), members: members, runnerOf: runnerOf, packetTo: packetTo,
		usages: table.New[string, *Usage](), rows: table.New[loadKey, loadRow](),
		sent: table.New[string, sentReportRow]()}
}

// subscribe registers what acts on deadlines.
func (w *loadWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("demand", w.sendReports)
	w.due.Arm(now.Add(loadReportInterval))
}

// receiveReport keeps what another instance reported.
func (w *loadWorld) receiveReport(now time.Time, from string, d LoadReport) {
	w.rows.Put(loadKey{backend: d.backend, instance: from}, loadRow{online: d.online, at: now})
}

// usageOf returns the shared counters of a backend server.
func (w *loadWorld) usageOf(backend string) *Usage {
	if usage := w.usages.Get(backend); usage != nil {
		return *usage
	}
	return *w.usages.Put(backend, &Usage{})
}

// sendReports tells the batch runners how many online requests this instance runs
// on their backend servers, when the number changed or the report is old.
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

// onlineRequests returns how many online requests run on a backend server.
func (w *loadWorld) onlineRequests(now time.Time, backend string) int {
	online := 0
	if usage := w.usages.Get(backend); usage != nil {
		online = int((*usage).online.Load())
	}
	for _, i := range w.members.Instances() {
		if i.Name() == w.self || !i.Reachable() {
			continue
		}
		if d := w.rows.Get(loadKey{backend: backend, instance: i.Name()}); d != nil && now.Sub(d.at) < loadReportExpiry {
			online += d.online
		}
	}
	return online
}
