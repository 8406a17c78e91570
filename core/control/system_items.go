package control

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/outcome"
)

// flushRow collects the completed and released items of one home ledger. inFlight
// marks that a command with such items has no result yet.
type flushRow struct {
	completed []home.Completion
	released  []home.Completion
	inFlight  bool
}

// endItem processes the result of an item's attempt. An item that was preempted
// waits for a slot again, unless its job was cancelled or this instance owns no
// slots. If this instance did not request the preemption, the server could not start
// the item and gets no items for itemBackoff.
func (w *itemWorld) endItem(now time.Time, r ItemResult) {
	w.due.ArmBefore(now)
	item := w.rows.Get(r.number)
	if item == nil {
		return
	}
	switch {
	case r.preempted && (len(w.owned) == 0 || item.cancelled):
		w.releaseItem(r.number, item)
	case r.preempted:
		if !item.stopped {
			w.backoffs.Put(item.backend, backoffRow{until: now.Add(itemBackoff)})
		}
		item.waitingSince = now
		item.backend, item.prefix, item.tokens, item.stopped = "", r.answer.Text(), r.answer.Tokens(), false
	case r.failed:
		w.failItem(now, r, item)
	default:
		w.answerItem(r.number, item, r.answer)
	}
}

// failItem processes a failed attempt of an item. An at-most-once item gets the
// outcome Unknown at once. Any other item waits for another attempt until
// maxItemAttempts attempts have failed, and then gets the outcome Refused. An attempt
// during which the backend server was lost does not count, since items do not crash
// servers; the server gets no items for itemBackoff.
func (w *itemWorld) failItem(now time.Time, r ItemResult, item *itemRow) {
	if item.leased.AtMostOnce() {
		w.answerItem(r.number, item, home.NewAnswer(outcome.Unknown, "", 0, "the only attempt failed", item.backend, now))
		return
	}
	if r.crashed {
		event.BackendLost.Log(w.logger, "backend", item.backend, "job", item.leased.Job(), "item", item.leased.Index())
		w.backoffs.Put(item.backend, backoffRow{until: now.Add(itemBackoff)})
	} else {
		item.attempts++
	}
	if item.attempts >= maxItemAttempts {
		w.answerItem(r.number, item, home.NewAnswer(outcome.Refused, "", 0, "all attempts failed", item.backend, now))
		return
	}
	item.backend, item.waitingSince, item.stopped = "", now, false
	item.prefix, item.tokens = r.answer.Text(), r.answer.Tokens()
}

// flushOf returns the collected items of a home ledger and creates the row if
// needed.
func (w *itemWorld) flushOf(id ledger.ID) *flushRow {
	if row := w.flushes.Get(id); row != nil {
		return row
	}
	return w.flushes.Put(id, flushRow{})
}

// answerItem queues an item's final answer for its home ledger and removes the
// item.
func (w *itemWorld) answerItem(number uint64, item *itemRow, answer home.Answer) {
	flush := w.flushOf(item.home)
	flush.completed = append(flush.completed, home.NewCompletion(item.leased.Job(), item.leased.Index(), answer))
	w.rows.Remove(number)
}

// releaseItem queues an item for release to its home ledger and removes the item.
func (w *itemWorld) releaseItem(number uint64, item *itemRow) {
	flush := w.flushOf(item.home)
	flush.released = append(flush.released, home.NewCompletion(item.leased.Job(), item.leased.Index(), home.Answer{}))
	w.rows.Remove(number)
}

// flushItems commits the collected items. Each ledger has at most one command in
// flight, so a slow ledger gets fewer and larger commands.
func (w *itemWorld) flushItems(now time.Time) {
	w.flushes.Each(func(id ledger.ID, flush *flushRow) {
		if flush.inFlight {
			return
		}
		switch {
		case len(flush.completed) > 0:
			w.commitItems(now, id, flush, home.CommandComplete, flush.completed)
			flush.completed = nil
		case len(flush.released) > 0:
			w.commitItems(now, id, flush, home.CommandRelease, flush.released)
			flush.released = nil
		}
	})
}

// commitItems sends one command with collected items. If a command with answers
// fails, the answers are queued again. This is safe because the ledger keeps the
// first answer of an item.
func (w *itemWorld) commitItems(now time.Time, id ledger.ID, flush *flushRow, kind home.CommandKind, items []home.Completion) {
	flush.inFlight = true
	command := home.NewCommand(kind, home.Key{}, now, home.WithOwner(w.owner, now), home.WithCompletions(items))
	call := NewCall(CallApply, id, now.Add(w.lease), WithCommand(command))
	w.calls.add(now, call, func(r Result) {
		flush.inFlight = false
		if r.err != nil && kind == home.CommandComplete {
			flush.completed = append(items, flush.completed...)
		}
		w.tick.runAgain = true
	}, false)
}
