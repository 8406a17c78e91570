package control

import (
	"maps"
	"time"

	"papayaquay/core/member"
)

// run leases items and runs them in the slots that online requests leave.
// Only the leader of a data centre's home ledger does so, hence the slots of a
// backend server have one owner.
func (w *itemWorld) run(now time.Time) {
	w.takeRole(now)
	if len(w.roles) > 0 {
		w.due.ArmBefore(now.Add(pollInterval))
		free := w.dispatchItems(now)
		w.pollHomes(now, free)
		w.giveBack(now)
	}
	w.flushItems(now)
}

// giveBack releases items that found no slot in time, so that another data
// centre can run them.
func (w *itemWorld) giveBack(now time.Time) {
	w.rows.Each(func(number uint64, item *itemRow) {
		if item.backend == "" && now.Sub(item.since) > itemWait {
			w.releaseItem(number, item)
		}
	})
}

// takeRole updates the data centres whose batch slots this instance owns. At
// the end of a role the items running there stop, since another instance owns
// the slots then; without any role all items are given back.
func (w *itemWorld) takeRole(now time.Time) {
	roles := make(map[string]bool)
	for _, id := range w.homes {
		if !w.tick.draining && w.ledgers.Leads(now, id) {
			roles[HomeDataCentre(id)] = true
		}
	}
	if maps.Equal(roles, w.roles) {
		return
	}
	w.roles = roles
	w.rows.Each(func(number uint64, item *itemRow) {
		if item.backend == "" {
			if len(roles) == 0 {
				w.releaseItem(number, item)
			}
			return
		}
		if !roles[item.dataCentre] && !item.stopped {
			item.stopped = true
			w.stopItem(number, true)
		}
	})
}

// batchSlots returns how many batch items a backend server may run now.
func (w *itemWorld) batchSlots(now time.Time, b member.Backend) int {
	reserve := max(1, b.Slots()/w.reserve)
	return max(b.Slots()-reserve-w.onlineOn(now, b.ID()), 0)
}

// dispatchItems fills free slots with waiting items and takes slots back where
// online requests need them. It returns how many more items could run.
func (w *itemWorld) dispatchItems(now time.Time) int {
	running := w.runningItems()
	waiting := w.waitingItems()
	free := 0
	for _, b := range w.members.Backends() {
		if !w.roles[b.DataCentre()] || b.Gone() || b.Leaving() || w.paused(now, b.ID()) {
			continue
		}
		slots := w.batchSlots(now, b) - len(running[b.ID()])
		for n := 0; n < -slots && n < len(running[b.ID()]); n++ {
			w.yieldItem(running[b.ID()][len(running[b.ID()])-1-n])
		}
		for _, service := range b.Services() {
			for slots > 0 && len(waiting[service]) > 0 {
				w.startOn(b, waiting[service][0])
				waiting[service] = waiting[service][1:]
				slots--
			}
		}
		free += max(slots, 0)
	}
	return free
}

// paused reports whether a backend server refused an item lately.
func (w *itemWorld) paused(now time.Time, backend string) bool {
	row := w.pauses.Get(backend)
	if row != nil && !now.Before(row.until) {
		w.pauses.Remove(backend)
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

// waitingItems returns the waiting items by service, resumed ones first.
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

// startOn runs an item on a backend server.
func (w *itemWorld) startOn(b member.Backend, number uint64) {
	item := w.rows.Get(number)
	item.backend, item.dataCentre, item.stopped = b.ID(), b.DataCentre(), false
	w.startItem(Item{number: number, leased: item.leased, backend: b.ID(), prefix: item.prefix, tokens: item.tokens})
}

// yieldItem stops an item to make room. Items that must not be repeated keep
// running.
func (w *itemWorld) yieldItem(number uint64) {
	item := w.rows.Get(number)
	if item.stopped || item.leased.AtMostOnce() {
		return
	}
	item.stopped = true
	w.stopItem(number, true)
}
