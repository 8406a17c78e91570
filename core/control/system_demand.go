package control

import (
	"time"

	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// demandKey names a report of online load.
type demandKey struct {
	backend  string
	instance string
}

// demandRow is the online load that an instance reported.
type demandRow struct {
	online int
	at     time.Time
}

// reportRow is what this instance reported last for a backend server.
type reportRow struct {
	online int
	at     time.Time
}

// demandWorld is the sub-world of the online load on backend servers.
type demandWorld struct {
	self    string
	members *member.World
	out     func(to string) *Packet
	runner  func(dataCentre string) string // who runs batch items there

	usages   *table.Table[string, *Usage]
	rows     *table.Table[demandKey, demandRow]
	reported *table.Table[string, reportRow]
	due      *timer.Subscription
}

// newDemandWorld returns the sub-world without load.
func newDemandWorld(members *member.World, runner func(dataCentre string) string, out func(to string) *Packet) *demandWorld {
	return &demandWorld{self: members.Self().Name(), members: members, runner: runner, out: out,
		usages: table.New[string, *Usage](), rows: table.New[demandKey, demandRow](),
		reported: table.New[string, reportRow]()}
}

// subscribe registers what acts on deadlines.
func (w *demandWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("demand", w.report)
	w.due.Arm(now.Add(demandRefresh))
}

// take keeps what another instance reported.
func (w *demandWorld) take(now time.Time, from string, d LoadReport) {
	w.rows.Put(demandKey{backend: d.backend, instance: from}, demandRow{online: d.online, at: now})
}

// usageOf returns the shared counters of a backend server.
func (w *demandWorld) usageOf(backend string) *Usage {
	if usage := w.usages.Get(backend); usage != nil {
		return *usage
	}
	return *w.usages.Put(backend, &Usage{})
}

// report tells the batch runners how many online requests this instance runs
// on their backend servers, when the number changed or the report is old.
func (w *demandWorld) report(now time.Time) {
	w.due.Arm(now.Add(demandRefresh))
	for _, b := range w.members.Backends() {
		usage := w.usages.Get(b.ID())
		if usage == nil {
			continue
		}
		online := int((*usage).online.Load())
		row := w.reported.Get(b.ID())
		if row != nil && row.online == online && (online == 0 || now.Sub(row.at) < demandRefresh) {
			continue
		}
		w.reported.Put(b.ID(), reportRow{online: online, at: now})
		if runner := w.runner(b.DataCentre()); runner != "" && runner != w.self {
			p := w.out(runner)
			p.loadReports = append(p.loadReports, NewLoadReport(b.ID(), online))
		}
	}
}

// onlineOn returns how many online requests run on a backend server.
func (w *demandWorld) onlineOn(now time.Time, backend string) int {
	online := 0
	if usage := w.usages.Get(backend); usage != nil {
		online = int((*usage).online.Load())
	}
	for _, i := range w.members.Instances() {
		if i.Name() == w.self || !i.Reachable() {
			continue
		}
		if d := w.rows.Get(demandKey{backend: backend, instance: i.Name()}); d != nil && now.Sub(d.at) < demandExpiry {
			online += d.online
		}
	}
	return online
}
