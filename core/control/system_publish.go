package control

import (
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// refreshSnapshot publishes a new snapshot when something visible changed.
func (w *World) refreshSnapshot() {
	version := w.members.Version()
	if !w.tick.stale && version == w.published {
		return
	}
	w.tick.stale, w.published = false, version
	w.notes.noteInstances()
	var targets []Target
	for _, b := range w.members.Backends() {
		w.notes.noteBackend(b)
		if !b.Gone() && !b.Leaving() {
			targets = append(targets, NewTarget(b, w.demand.usageOf(b.ID()), b.DataCentre() == w.dataCentre))
		}
	}
	w.publish(NewSnapshot(w.config.view, targets, w.homes, WithCrashes(w.suspicions.crashes()),
		WithDraining(w.tick.draining), WithConfigLoaded(w.config.loaded), WithLiveInstances(w.liveInstances()), WithLocalLedger(w.localLedger())))
}

// liveInstances counts the instances that are not known to be lost.
func (w *World) liveInstances() int {
	count := 0
	for _, i := range w.members.Instances() {
		if i.State() == member.StateAlive || i.State() == member.StateSuspect {
			count++
		}
	}
	return count
}

// localLedger returns the local ledger of this data centre, or nothing.
func (w *World) localLedger() ledger.ID {
	id := LocalLedger(w.dataCentre)
	if len(w.calls.replicasOf(id)) == 0 {
		return ""
	}
	return id
}

// drain hands over ledgers and items during a graceful shutdown.
func (w *World) drain(now time.Time) {
	if !w.tick.draining {
		return
	}
	left := w.ledgers.TransferLeadership(now)
	w.drained(DrainProgress{ledgers: left, items: w.items.rows.Len() + w.items.unflushed()})
	w.calls.due.ArmBefore(now.Add(retryPause))
}
