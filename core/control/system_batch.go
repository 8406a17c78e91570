package control

import (
	"maps"
	"time"

	"papayaquay/core/member"
)

// run leases batch items and runs them in the slots that online requests do not
// need. Only the leader of a data centre's home ledger does this, so that the slots
// of a backend server have one owner.
func (w *itemWorld) run(now time.Time) {
	w.updateOwnership(now)
	if len(w.owned) > 0 {
		w.due.ArmBefore(now.Add(minLeasePollInterval))
		free := w.dispatchItems(now)
		w.pollHomes(now, free)
		w.releaseUnplaced(now)
	}
	w.flushItems(now)
}

// releaseUnplaced releases the items that got no slot within itemSlotTimeout, so
// that another data centre can run them.
func (w *itemWorld) releaseUnplaced(now time.Time) {
	w.rows.Each(func(number uint64, item *itemRow) {
		if item.backend == "" && now.Sub(item.waitingSince) > itemSlotTimeout {
			w.releaseItem(number, item)
		}
	})
}

// updateOwnership updates the set of data centres whose batch slots this instance
// owns. Items that run in a data centre that it no longer owns are preempted,
// because another instance now owns the slots. If it owns no data centre, it also
// releases the waiting items.
func (w *itemWorld) updateOwnership(now time.Time) {
	owned := make(map[string]bool)
	for _, id := range w.homes {
		if !w.tick.draining && w.ledgers.Leads(now, id) {
			owned[HomeDataCentre(id)] = true
		}
	}
	if maps.Equal(owned, w.owned) {
		return
	}
	w.owned = owned
	w.rows.Each(func(number uint64, item *itemRow) {
		if item.backend == "" {
			if len(owned) == 0 {
				w.releaseItem(number, item)
			}
			return
		}
		if !owned[item.dataCentre] && !item.stopped {
			item.stopped = true
			w.stopItem(number, true)
		}
	})
}

// batchSlots returns how many batch items a backend server may run now. At least
// one slot is reserved for online requests.
func (w *itemWorld) batchSlots(now time.Time, b member.Backend) int {
	reserve := max(1, b.Slots()/w.reserveDivisor)
	return max(b.Slots()-reserve-w.onlineRequests(now, b.ID()), 0)
}

// dispatchItems starts waiting items in free slots and preempts items on servers
// where online requests need the slots. It returns the number of slots that are
// still free.
func (w *itemWorld) dispatchItems(now time.Time) int {
	running := w.runningItems()
	waiting := w.waitingItems()
	free := 0
	for _, b := range w.members.Backends() {
		if !w.owned[b.DataCentre()] || b.Gone() || b.Leaving() || w.inBackoff(now, b.ID()) {
			continue
		}
		slots := w.batchSlots(now, b) - len(running[b.ID()])
		for n := 0; n < -slots && n < len(running[b.ID()]); n++ {
			w.preemptItem(running[b.ID()][len(running[b.ID()])-1-n])
		}
		for _, service := range b.Services() {
			for slots > 0 && len(waiting[service]) > 0 {
				w.startItemOn(b, waiting[service][0])
				waiting[service] = waiting[service][1:]
				slots--
			}
		}
		free += max(slots, 0)
	}
	return free
}

// inBackoff reports whether a backend server gets no items, because it could not
// start one within the last itemBackoff.
func (w *itemWorld) inBackoff(now time.Time, backend string) bool {
	row := w.backoffs.Get(backend)
	if row != nil && !now.Before(row.until) {
		w.backoffs.Remove(backend)
		return false
	}
	return row != nil
}

// runningItems returns the running items by backend server, oldest first.
func (w *itemWorld) runningItems() map[string][]uint64 {
	running := make(map[string][]uint64)
	w.rows.Each(func(number uint64, item *itemRow) {
		if item.backend != "" && !item.stopped {
			running[item.backend] = append(running[item.backend], number)
		}
	})
	return running
}

// waitingItems returns the waiting items by service. Items that have partial text
// come first.
func (w *itemWorld) waitingItems() map[string][]uint64 {
	waiting := make(map[string][]uint64)
	for _, resumed := range []bool{true, false} {
		w.rows.Each(func(number uint64, item *itemRow) {
			if item.backend == "" && (item.tokens > 0) == resumed {
				service := item.leased.Service()
				waiting[service] = append(waiting[service], number)
			}
		})
	}
	return waiting
}

// startItemOn starts an item on a backend server.
func (w *itemWorld) startItemOn(b member.Backend, number uint64) {
	item := w.rows.Get(number)
	item.backend, item.dataCentre, item.stopped = b.ID(), b.DataCentre(), false
	w.startItem(Item{number: number, leased: item.leased, backend: b.ID(), prefix: item.prefix, tokens: item.tokens})
}

// preemptItem stops an item to free its slot. At-most-once items continue to run.
func (w *itemWorld) preemptItem(number uint64) {
	item := w.rows.Get(number)
	if item.stopped || item.leased.AtMostOnce() {
		return
	}
	item.stopped = true
	w.stopItem(number, true)
}
