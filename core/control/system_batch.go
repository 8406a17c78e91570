package control

import (
	"maps"
	"time"

	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/outcome"
)

// itemRow is a leased item that this instance has to run.
type itemRow struct {
	home       ledger.ID
	leased     home.Leased
	backend    string    // where it runs, empty while it waits
	dataCentre string    // of that backend server
	since      time.Time // when it began to wait
	prefix     string
	tokens     int
	tries      int
	stopped    bool // told to stop
	cancelled  bool // stopped for good
}

// pauseRow keeps items from a backend server that refused one.
type pauseRow struct {
	until time.Time
}

// pollRow is the lease traffic with one home ledger.
type pollRow struct {
	due         time.Time
	outstanding bool
	number      uint64
	pause       time.Duration // until the next poll while there is nothing
}

// flushRow collects answered and returned items for one home ledger.
type flushRow struct {
	answered    []home.Completion
	released    []home.Completion
	outstanding bool
}

// runBatch leases items and runs them in the slots that online requests leave.
// Only the leader of a data centre's home ledger does so, hence the slots of a
// backend server have one owner.
func (w *World) runBatch(now time.Time) {
	w.takeRole(now)
	if len(w.roles) > 0 {
		w.batchDue.ArmBefore(now.Add(pollInterval))
		free := w.dispatchItems(now)
		w.pollHomes(now, free)
		w.giveBack(now)
	}
	w.flushItems(now)
}

// giveBack releases items that found no slot in time, so that another data
// centre can run them.
func (w *World) giveBack(now time.Time) {
	w.items.Each(func(number uint64, item *itemRow) {
		if item.backend == "" && now.Sub(item.since) > itemWait {
			w.releaseItem(number, item)
		}
	})
}

// takeRole updates the data centres whose batch slots this instance owns. At
// the end of a role the items running there stop, since another instance owns
// the slots then; without any role all items are given back.
func (w *World) takeRole(now time.Time) {
	roles := make(map[string]bool)
	for _, id := range w.homes {
		if !w.draining && w.ledgers.Leads(now, id) {
			roles[HomeDataCentre(id)] = true
		}
	}
	if maps.Equal(roles, w.roles) {
		return
	}
	w.roles = roles
	w.items.Each(func(number uint64, item *itemRow) {
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
func (w *World) batchSlots(now time.Time, b member.Backend) int {
	reserve := max(1, b.Slots()/w.reserve)
	return max(b.Slots()-reserve-w.onlineOn(now, b.ID()), 0)
}

// dispatchItems fills free slots with waiting items and takes slots back where
// online requests need them. It returns how many more items could run.
func (w *World) dispatchItems(now time.Time) int {
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
func (w *World) paused(now time.Time, backend string) bool {
	row := w.pauses.Get(backend)
	if row != nil && !now.Before(row.until) {
		w.pauses.Remove(backend)
		return false
	}
	return row != nil
}

// runningItems returns the running items by backend server, oldest first.
func (w *World) runningItems() map[string][]uint64 {
	running := make(map[string][]uint64)
	w.items.Each(func(number uint64, item *itemRow) {
		if item.backend != "" && !item.stopped {
			running[item.backend] = append(running[item.backend], number)
		}
	})
	return running
}

// waitingItems returns the waiting items by service, resumed ones first.
func (w *World) waitingItems() map[string][]uint64 {
	waiting := make(map[string][]uint64)
	for _, resumed := range []bool{true, false} {
		w.items.Each(func(number uint64, item *itemRow) {
			if item.backend == "" && (item.tokens > 0) == resumed {
				service := item.leased.Service()
				waiting[service] = append(waiting[service], number)
			}
		})
	}
	return waiting
}

// startOn runs an item on a backend server.
func (w *World) startOn(b member.Backend, number uint64) {
	item := w.items.Get(number)
	item.backend, item.dataCentre, item.stopped = b.ID(), b.DataCentre(), false
	w.startItem(Item{number: number, leased: item.leased, backend: b.ID(), prefix: item.prefix, tokens: item.tokens})
}

// yieldItem stops an item to make room. Items that must not be repeated keep
// running.
func (w *World) yieldItem(number uint64) {
	item := w.items.Get(number)
	if item.stopped || item.leased.Once() {
		return
	}
	item.stopped = true
	w.stopItem(number, true)
}

// pollHomes leases items from the home ledgers while there is room for more,
// renews leases and learns of cancelled jobs.
func (w *World) pollHomes(now time.Time, free int) {
	waiting := 0
	w.items.Each(func(_ uint64, item *itemRow) {
		if item.backend == "" {
			waiting++
		}
	})
	for _, id := range w.homes {
		poll := w.polls.Get(id)
		if poll == nil {
			poll = w.polls.Put(id, pollRow{})
		}
		if poll.outstanding || now.Before(poll.due) {
			continue
		}
		w.pollHome(now, id, poll, max(2*free-waiting, 0))
	}
}

// pollHome sends one lease command.
func (w *World) pollHome(now time.Time, id ledger.ID, poll *pollRow, limit int) {
	poll.number++
	poll.outstanding = true
	number := poll.number
	command := home.NewCommand(home.CommandLease, home.Key{}, now,
		home.WithOwner(w.owner, now.Add(w.lease)), home.WithLimit(limit), home.WithNumber(number))
	call := NewCall(CallApply, id, now.Add(w.lease/2), WithCommand(command))
	w.addCall(now, call, func(r Result) { w.leasedItems(id, r) }, false)
}

// leasedItems takes the answer to a lease command.
func (w *World) leasedItems(id ledger.ID, r Result) {
	poll := w.polls.Get(id)
	poll.outstanding = false
	if r.err != nil {
		// The command may have been committed: the same number is used again.
		poll.number--
		return
	}
	for _, leased := range r.reply.Leased() {
		if w.findItem(leased) == 0 {
			w.lastItem++
			w.items.Put(w.lastItem, itemRow{home: id, leased: leased, since: w.tickTime})
		}
	}
	for _, key := range r.reply.Cancelled() {
		w.cancelJob(key)
	}
	if len(r.reply.Leased()) == 0 {
		poll.pause = min(max(2*poll.pause, pollInterval), maxPollPause)
		if w.items.Len() > 0 {
			poll.pause = pollInterval // leases are renewed and cancelled jobs noticed
		}
		poll.due = w.tickTime.Add(poll.pause)
		return
	}
	poll.pause = 0
	w.again = true
}

// pollSoon makes the next tick poll all home ledgers.
func (w *World) pollSoon() {
	w.polls.Each(func(_ ledger.ID, poll *pollRow) { poll.due, poll.pause = time.Time{}, 0 })
	w.batchDue.ArmBefore(time.Time{})
}

// tellRunners lets the runners of all data centres know of new items in a home
// ledger that is led here.
func (w *World) tellRunners(id ledger.ID) {
	if w.ledgers.LeaderOf(id) != w.name {
		return
	}
	for _, other := range w.homes {
		if runner := w.believedLeader(other); runner != "" && runner != w.name {
			w.out(runner).work = true
		}
	}
}

// findItem returns the number of an item that is held already, or zero.
func (w *World) findItem(leased home.Leased) uint64 {
	found := uint64(0)
	w.items.Each(func(number uint64, item *itemRow) {
		if item.leased.Job() == leased.Job() && item.leased.Index() == leased.Index() {
			found = number
		}
	})
	return found
}

// cancelJob stops and gives back all items of a job.
func (w *World) cancelJob(key home.Key) {
	w.items.Each(func(number uint64, item *itemRow) {
		if item.leased.Job() != key {
			return
		}
		if item.backend == "" {
			w.releaseItem(number, item)
		} else if !item.stopped {
			item.stopped, item.cancelled = true, true
			w.stopItem(number, false)
		}
	})
}

// endItem takes the end of an item's attempt.
func (w *World) endItem(now time.Time, r ItemResult) {
	w.batchDue.ArmBefore(now)
	item := w.items.Get(r.number)
	if item == nil {
		return
	}
	switch {
	case r.yielded && (len(w.roles) == 0 || item.cancelled):
		w.releaseItem(r.number, item)
	case r.yielded:
		if !item.stopped {
			w.pauses.Put(item.backend, pauseRow{until: now.Add(backendPause)})
		}
		item.since = now
		item.backend, item.prefix, item.tokens, item.stopped = "", r.answer.Text(), r.answer.Tokens(), false
	case r.failed:
		w.failItem(now, r, item)
	default:
		w.answerItem(r.number, item, r.answer)
	}
}

// failItem runs a failed item again, up to maxItemTries attempts, and counts a
// lost backend server against the item's content.
func (w *World) failItem(now time.Time, r ItemResult, item *itemRow) {
	item.tries++
	if item.leased.Once() {
		w.answerItem(r.number, item, home.NewAnswer(outcome.Unknown, "", 0, "the only attempt failed", item.backend, now))
		return
	}
	if item.tries >= maxItemTries {
		if r.crashed {
			event.RequestPoison.Log(w.logger, "job", item.leased.Job(), "item", item.leased.Index())
		}
		w.answerItem(r.number, item, home.NewAnswer(outcome.Refused, "", 0, "all attempts failed", item.backend, now))
		return
	}
	item.backend, item.since, item.stopped = "", now, false
	item.prefix, item.tokens = r.answer.Text(), r.answer.Tokens()
}

// flushOf returns the collected items of a home ledger.
func (w *World) flushOf(id ledger.ID) *flushRow {
	if row := w.flushes.Get(id); row != nil {
		return row
	}
	return w.flushes.Put(id, flushRow{})
}

// answerItem queues an item's final answer for its home ledger.
func (w *World) answerItem(number uint64, item *itemRow, answer home.Answer) {
	flush := w.flushOf(item.home)
	flush.answered = append(flush.answered, home.NewCompletion(item.leased.Job(), item.leased.Index(), answer))
	w.items.Remove(number)
}

// releaseItem queues an item to be given back.
func (w *World) releaseItem(number uint64, item *itemRow) {
	flush := w.flushOf(item.home)
	flush.released = append(flush.released, home.NewCompletion(item.leased.Job(), item.leased.Index(), home.Answer{}))
	w.items.Remove(number)
}

// flushItems commits collected items, one command at a time for each ledger,
// so that a slow ledger gathers larger commands.
func (w *World) flushItems(now time.Time) {
	w.flushes.Each(func(id ledger.ID, flush *flushRow) {
		if flush.outstanding {
			return
		}
		switch {
		case len(flush.answered) > 0:
			w.commitItems(now, id, flush, home.CommandComplete, flush.answered)
			flush.answered = nil
		case len(flush.released) > 0:
			w.commitItems(now, id, flush, home.CommandRelease, flush.released)
			flush.released = nil
		}
	})
}

// commitItems sends one command with collected items. Answers whose command
// got no reply are queued again; the first answer of an item wins.
func (w *World) commitItems(now time.Time, id ledger.ID, flush *flushRow, kind home.CommandKind, items []home.Completion) {
	flush.outstanding = true
	command := home.NewCommand(kind, home.Key{}, now, home.WithOwner(w.owner, now), home.WithCompletions(items))
	call := NewCall(CallApply, id, now.Add(w.lease), WithCommand(command))
	w.addCall(now, call, func(r Result) {
		flush.outstanding = false
		if r.err != nil && kind == home.CommandComplete {
			flush.answered = append(items, flush.answered...)
		}
		w.again = true
	}, false)
}
