package control

import (
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// refreshSnapshot publishes a new snapshot if its content or the membership
// changed.
func (w *World) refreshSnapshot() {
	version := w.members.Version()
	if !w.tick.snapshotStale && version == w.publishedVersion {
		return
	}
	w.tick.snapshotStale, w.publishedVersion = false, version
	w.changes.logInstances()
	var targets []Target
	for _, b := range w.members.Backends() {
		w.changes.logBackend(b)
		if !b.Gone() && !b.Leaving() {
			targets = append(targets, NewTarget(b, w.loads.usageOf(b.ID()), b.DataCentre() == w.dataCentre))
		}
	}
	w.publish(NewSnapshot(w.config.view, targets, w.homes, WithCrashes(w.crashes.counts()),
		WithDraining(w.tick.draining), WithConfigLoaded(w.config.loaded), WithLiveInstances(w.liveInstances()), WithLocalLedger(w.localLedger())))
}

// liveInstances returns the number of alive and suspected instances.
func (w *World) liveInstances() int {
	count := 0
	for _, i := range w.members.Instances() {
		if i.State() == member.StateAlive || i.State() == member.StateSuspect {
			count++
		}
	}
	return count
}

// localLedger returns the local ledger of this data centre, or the empty string.
func (w *World) localLedger() ledger.ID {
	id := LocalLedger(w.dataCentre)
	if len(w.calls.replicasOf(id)) == 0 {
		return ""
	}
	return id
}

// drain transfers the leadership of ledgers and moves the answers in local ledgers during a graceful shutdown, and
// reports the progress.
func (w *World) drain(now time.Time) {
	if !w.tick.draining {
		return
	}
	ledgers := w.ledgers.TransferLeadership(now)
	w.answerMoves.due.ArmBefore(now.Add(drainMoveInterval))
	w.reportDrain(DrainProgress{ledgers: ledgers, items: w.items.rows.Len() + w.items.unflushed(), local: w.answerMoves.unmoved(now)})
	w.calls.due.ArmBefore(now.Add(retryDelay))
}
