package traffic

import (
	"time"

	"papayaquay/core/outcome"
)

// expire ends requests whose deadline passed and attempts that are silent.
func (w *World) expire(now time.Time) {
	for _, number := range w.requests.Keys() {
		row := w.requests.Get(number)
		if row.phase == phaseStoring || row.item != 0 {
			continue
		}
		if now.Before(row.request.deadline) {
			w.due.ArmBefore(row.request.deadline)
			continue
		}
		w.abandon(row)
		w.overdue(now, number, row)
	}
	for _, id := range w.attempts.Keys() {
		a := w.attempts.Get(id)
		if a == nil {
			continue
		}
		silent := a.started
		if !a.last.IsZero() {
			silent = a.last
		}
		if due := silent.Add(silenceTimeout); now.Before(due) {
			w.due.ArmBefore(due)
			continue
		}
		w.abort(id)
		w.receiveEnd(now, ended{attempt: id, failure: FailureTimeout})
	}
}

// overdue answers a request at its deadline.
func (w *World) overdue(now time.Time, number uint64, row *requestRow) {
	if row.request.atMostOnce && row.tries > 0 {
		w.conclude(now, number, row, outcome.Unknown, "no answer before the deadline")
		return
	}
	if row.request.atMostOnce && row.phase == phaseQueued {
		w.conclude(now, number, row, outcome.NotRun, "no backend server had room before the deadline")
		return
	}
	w.finish(number, row, Event{kind: EventError, err: row.refusal()})
}
