package control

import (
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
)

// pollRow is the state of the lease polls of one home ledger.
type pollRow struct {
	due          time.Time
	inFlight     bool
	number       uint64
	idleInterval time.Duration // delay until the next poll while the ledger has no items
}

// pollHomes polls the home ledgers that are due. A poll leases items for free
// slots, renews leases and returns cancelled jobs. The limit is twice the free
// slots, less the waiting items.
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
		if poll.inFlight || now.Before(poll.due) {
			continue
		}
		w.pollHome(now, id, poll, max(2*free-waiting, 0))
	}
}

// pollHome sends one lease command for at most limit items.
func (w *itemWorld) pollHome(now time.Time, id ledger.ID, poll *pollRow, limit int) {
	poll.number++
	poll.inFlight = true
	number := poll.number
	command := home.NewCommand(home.CommandLease, home.Key{}, now,
		home.WithOwner(w.owner, now.Add(w.lease)), home.WithLimit(limit), home.WithNumber(number))
	call := NewCall(CallApply, id, now.Add(w.lease/2), WithCommand(command))
	w.calls.add(now, call, func(r Result) { w.receiveLease(id, r) }, false)
}

// receiveLease processes the result of a lease command. Without new items, the
// delay until the next poll doubles up to maxLeasePollInterval.
func (w *itemWorld) receiveLease(id ledger.ID, r Result) {
	poll := w.polls.Get(id)
	poll.inFlight = false
	if r.err != nil {
		// The command may have been committed, so the next one reuses its number.
		poll.number--
		return
	}
	for _, leased := range r.reply.Leased() {
		if w.findItem(leased) == 0 {
			w.lastNumber++
			w.rows.Put(w.lastNumber, itemRow{home: id, leased: leased, waitingSince: w.tick.now})
		}
	}
	for _, key := range r.reply.Cancelled() {
		w.cancelJob(key)
	}
	if len(r.reply.Leased()) == 0 {
		poll.idleInterval = min(max(2*poll.idleInterval, minLeasePollInterval), maxLeasePollInterval)
		if w.rows.Len() > 0 {
			poll.idleInterval = minLeasePollInterval // to renew leases and detect cancelled jobs
		}
		poll.due = w.tick.now.Add(poll.idleInterval)
		return
	}
	poll.idleInterval = 0
	w.tick.runAgain = true
}

// pollNextTick lets the next tick poll all home ledgers.
func (w *itemWorld) pollNextTick() {
	w.polls.Each(func(_ ledger.ID, poll *pollRow) { poll.due, poll.idleInterval = time.Time{}, 0 })
	w.due.ArmBefore(time.Time{})
}

// jobCommitted polls the home ledgers and notifies the runners of the other data
// centres after a job was committed to a home ledger.
func (w *itemWorld) jobCommitted(id ledger.ID) {
	w.pollNextTick()
	w.notifyRunners(id)
}

// notifyRunners notifies the runners of all data centres of new items in a home
// ledger, if this instance leads it.
func (w *itemWorld) notifyRunners(id ledger.ID) {
	if w.ledgers.LeaderOf(id) != w.self {
		return
	}
	for _, other := range w.homes {
		if runner := w.calls.knownLeader(other); runner != "" && runner != w.self {
			w.packetTo(runner).newItems = true
		}
	}
}

// findItem returns the number of an item that this instance already holds, or 0.
func (w *itemWorld) findItem(leased home.LeasedItem) uint64 {
	found := uint64(0)
	w.rows.Each(func(number uint64, item *itemRow) {
		if item.leased.Job() == leased.Job() && item.leased.Index() == leased.Index() {
			found = number
		}
	})
	return found
}

// cancelJob releases the waiting items of a job and stops the running ones.
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
