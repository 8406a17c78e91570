package control

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// refreshSnapshot publishes a new snapshot when something visible changed.
func (w *World) refreshSnapshot(_ time.Time) {
	version := w.members.Version()
	if !w.stale && version == w.published {
		return
	}
	w.stale, w.published = false, version
	w.noteInstances()
	var targets []Target
	for _, b := range w.members.Backends() {
		w.noteBackend(b)
		if !b.Gone() && !b.Leaving() {
			targets = append(targets, NewTarget(b, w.usageOf(b.ID()), b.DataCentre() == w.dataCentre))
		}
	}
	suspects := make(map[uint64]int, w.suspects.Len())
	w.suspects.Each(func(fingerprint uint64, row *suspectRow) { suspects[fingerprint] = row.crashes })
	w.publish(NewSnapshot(w.view, targets, w.homes, WithSuspects(suspects),
		WithDraining(w.draining), WithLoaded(w.loaded), WithEntries(w.liveInstances()), WithLocal(w.localLedger())))
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
	if len(w.replicasOf(id)) == 0 {
		return ""
	}
	return id
}

// usageOf returns the shared counters of a backend server.
func (w *World) usageOf(backend string) *Usage {
	if usage := w.usages.Get(backend); usage != nil {
		return *usage
	}
	return *w.usages.Put(backend, &Usage{})
}

// noteInstances logs changes in the state of instances.
func (w *World) noteInstances() {
	for _, i := range w.members.Instances() {
		if w.notedStates[i.Name()] == i.State() || i.State() == 0 {
			continue
		}
		w.notedStates[i.Name()] = i.State()
		event.InstanceChanged.Log(w.logger, "instance", i.Name(), "dc", i.DataCentre(), "state", i.State().String())
	}
}

// noteLeaders logs changes of the leaders of hosted ledgers.
func (w *World) noteLeaders() {
	for _, l := range w.ledgers.Statuses() {
		if w.notedLeaders[l.Ledger()] == l.Leader() {
			continue
		}
		w.notedLeaders[l.Ledger()] = l.Leader()
		event.LeaderChanged.Log(w.logger, "ledger", l.Ledger(), "leader", l.Leader(), "term", l.Term())
	}
}

// noteBackend logs the first sight, the leaving and the loss of a backend server.
func (w *World) noteBackend(b member.Backend) {
	state := backendNote{incarnation: b.Incarnation(), leaving: b.Leaving(), gone: b.Gone()}
	if w.noted[b.ID()] == state {
		return
	}
	w.noted[b.ID()] = state
	switch {
	case state.gone:
		event.BackendGone.Log(w.logger, "backend", b.ID())
	case state.leaving:
		event.BackendLeaving.Log(w.logger, "backend", b.ID())
	default:
		event.BackendAdded.Log(w.logger, "backend", b.ID(), "address", b.Address(), "dc", b.DataCentre())
	}
}

// backendNote is what was last logged of a backend server.
type backendNote struct {
	incarnation uint64
	leaving     bool
	gone        bool
}

// drain hands over ledgers and items during a graceful shutdown.
func (w *World) drain(now time.Time) {
	if !w.draining {
		return
	}
	left := w.ledgers.HandOver(now)
	w.drained(Drain{ledgers: left, items: w.items.Len() + w.unflushed()})
	w.routeDue.ArmBefore(now.Add(retryPause))
}

// unflushed returns the number of items that the home ledgers do not have yet.
func (w *World) unflushed() int {
	count := 0
	for _, id := range w.homes {
		if flush := w.flushes.Get(id); flush != nil {
			count += len(flush.answered) + len(flush.released)
			if flush.outstanding {
				count++
			}
		}
	}
	return count
}
