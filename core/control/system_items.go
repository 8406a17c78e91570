package control

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/outcome"
)

// flushRow collects answered and returned items for one home ledger.
type flushRow struct {
	answered    []home.Completion
	released    []home.Completion
	outstanding bool
}

// endItem takes the end of an item's attempt.
func (w *itemWorld) endItem(now time.Time, r ItemResult) {
	w.due.ArmBefore(now)
	item := w.rows.Get(r.number)
	if item == nil {
		return
	}
	switch {
	case r.preempted && (len(w.roles) == 0 || item.cancelled):
		w.releaseItem(r.number, item)
	case r.preempted:
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
func (w *itemWorld) failItem(now time.Time, r ItemResult, item *itemRow) {
	item.tries++
	if item.leased.AtMostOnce() {
		w.answerItem(r.number, item, home.NewAnswer(outcome.Unknown, "", 0, "the only attempt failed", item.backend, now))
		return
	}
	if item.tries >= maxItemTries {
		if r.crashed {
			event.PoisonRequestRejected.Log(w.logger, "job", item.leased.Job(), "item", item.leased.Index())
		}
		w.answerItem(r.number, item, home.NewAnswer(outcome.Refused, "", 0, "all attempts failed", item.backend, now))
		return
	}
	item.backend, item.since, item.stopped = "", now, false
	item.prefix, item.tokens = r.answer.Text(), r.answer.Tokens()
}

// flushOf returns the collected items of a home ledger.
func (w *itemWorld) flushOf(id ledger.ID) *flushRow {
	if row := w.flushes.Get(id); row != nil {
		return row
	}
	return w.flushes.Put(id, flushRow{})
}

// answerItem queues an item's final answer for its home ledger.
func (w *itemWorld) answerItem(number uint64, item *itemRow, answer home.Answer) {
	flush := w.flushOf(item.home)
	flush.answered = append(flush.answered, home.NewCompletion(item.leased.Job(), item.leased.Index(), answer))
	w.rows.Remove(number)
}

// releaseItem queues an item to be given back.
func (w *itemWorld) releaseItem(number uint64, item *itemRow) {
	flush := w.flushOf(item.home)
	flush.released = append(flush.released, home.NewCompletion(item.leased.Job(), item.leased.Index(), home.Answer{}))
	w.rows.Remove(number)
}

// flushItems commits collected items, one command at a time for each ledger,
// so that a slow ledger gathers larger commands.
func (w *itemWorld) flushItems(now time.Time) {
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
func (w *itemWorld) commitItems(now time.Time, id ledger.ID, flush *flushRow, kind home.CommandKind, items []home.Completion) {
	flush.outstanding = true
	command := home.NewCommand(kind, home.Key{}, now, home.WithOwner(w.owner, now), home.WithCompletions(items))
	call := NewCall(CallApply, id, now.Add(w.lease), WithCommand(command))
	w.calls.add(now, call, func(r Result) {
		flush.outstanding = false
		if r.err != nil && kind == home.CommandComplete {
			flush.answered = append(items, flush.answered...)
		}
		w.tick.again = true
	}, false)
}
