package control

import (
	"time"

	"papayaquay/core/member"
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

// suspectRow is the known crash count of a fingerprint.
type suspectRow struct {
	crashes int
	at      time.Time
}

// report tells the batch runners how many online requests this instance runs
// on their backend servers, when the number changed or the report is old.
func (w *World) report(now time.Time) {
	w.demandDue.Arm(now.Add(demandRefresh))
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
		if runner := w.runnerOf(b.DataCentre()); runner != "" && runner != w.name {
			p := w.out(runner)
			p.demands = append(p.demands, NewDemand(b.ID(), online))
		}
	}
}

// runnerOf returns the instance that runs batch items on the backend servers
// of a data centre: the leader of its home ledger.
func (w *World) runnerOf(dataCentre string) string {
	for _, id := range w.homes {
		if HomeDataCentre(id) == dataCentre {
			return w.believedLeader(id)
		}
	}
	return ""
}

// onlineOn returns how many online requests run on a backend server.
func (w *World) onlineOn(now time.Time, backend string) int {
	online := 0
	if usage := w.usages.Get(backend); usage != nil {
		online = int((*usage).online.Load())
	}
	for _, i := range w.members.Instances() {
		if i.Name() == w.name || !i.Reachable() {
			continue
		}
		if d := w.demands.Get(demandKey{backend: backend, instance: i.Name()}); d != nil && now.Sub(d.at) < demandExpiry {
			online += d.online
		}
	}
	return online
}

// learnSuspicion takes a crash count and spreads it if it is news.
func (w *World) learnSuspicion(now time.Time, s Suspicion, own bool) {
	row := w.suspects.Get(s.fingerprint)
	if row != nil && row.crashes >= s.crashes && !own {
		return
	}
	if row != nil {
		s.crashes = max(s.crashes, row.crashes)
	}
	w.suspects.Put(s.fingerprint, suspectRow{crashes: s.crashes, at: now})
	w.stale = true
	if !own {
		return
	}
	for _, i := range w.members.Instances() {
		if i.Name() != w.name && i.State() == member.StateAlive {
			p := w.out(i.Name())
			p.spread = append(p.spread, s)
		}
	}
}
