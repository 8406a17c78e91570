package control

import (
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
)

// pollRow is the lease traffic with one home ledger.
type pollRow struct {
	due         time.Time
	outstanding bool
	number      uint64
	pause       time.Duration // until the next poll while there is nothing
}

// pollHomes leases items from the home ledgers while there is room for more,
// renews leases and learns of cancelled jobs.
func (w *itemWorld) pollHomes(now time.Time, free int) {
	waiting := 0
	w.rows.Each(func(_ uint64, item *itemRow) {
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
func (w *itemWorld) pollHome(now time.Time, id ledger.ID, poll *pollRow, limit int) {
	poll.number++
	poll.outstanding = true
	number := poll.number
	command := home.NewCommand(home.CommandLease, home.Key{}, now,
		home.WithOwner(w.owner, now.Add(w.lease)), home.WithLimit(limit), home.WithNumber(number))
	call := NewCall(CallApply, id, now.Add(w.lease/2), WithCommand(command))
	w.calls.add(now, call, func(r Result) { w.leasedItems(id, r) }, false)
}

// leasedItems takes the answer to a lease command.
func (w *itemWorld) leasedItems(id ledger.ID, r Result) {
	poll := w.polls.Get(id)
	poll.outstanding = false
	if r.err != nil {
		// The command may have been committed: the same number is used again.
		poll.number--
		return
	}
	for _, leased := range r.reply.Leased() {
		if w.findItem(leased) == 0 {
			w.last++
			w.rows.Put(w.last, itemRow{home: id, leased: leased, since: w.tick.now})
		}
	}
	for _, key := range r.reply.Cancelled() {
		w.cancelJob(key)
	}
	if len(r.reply.Leased()) == 0 {
		poll.pause = min(max(2*poll.pause, pollInterval), maxPollPause)
		if w.rows.Len() > 0 {
			poll.pause = pollInterval // leases are renewed and cancelled jobs noticed
		}
		poll.due = w.tick.now.Add(poll.pause)
		return
	}
	poll.pause = 0
	w.tick.again = true
}

// pollSoon makes the next tick poll all home ledgers.
func (w *itemWorld) pollSoon() {
	w.polls.Each(func(_ ledger.ID, poll *pollRow) { poll.due, poll.pause = time.Time{}, 0 })
	w.due.ArmBefore(time.Time{})
}

// submitted looks for the items of a job that was committed to a home ledger,
// here and at the runners of the other data centres.
func (w *itemWorld) submitted(id ledger.ID) {
	w.pollSoon()
	w.tellRunners(id)
}

// tellRunners lets the runners of all data centres know of new items in a home
// ledger that is led here.
func (w *itemWorld) tellRunners(id ledger.ID) {
	if w.ledgers.LeaderOf(id) != w.self {
		return
	}
	for _, other := range w.homes {
		if runner := w.calls.believedLeader(other); runner != "" && runner != w.self {
			w.out(runner).newItems = true
		}
	}
}

// findItem returns the number of an item that is held already, or zero.
func (w *itemWorld) findItem(leased home.LeasedItem) uint64 {
	found := uint64(0)
	w.rows.Each(func(number uint64, item *itemRow) {
		if item.leased.Job() == leased.Job() && item.leased.Index() == leased.Index() {
			found = number
		}
	})
	return found
}

// cancelJob stops and gives back all items of a job.
func (w *itemWorld) cancelJob(key home.Key) {
	w.rows.Each(func(number uint64, item *itemRow) {
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
