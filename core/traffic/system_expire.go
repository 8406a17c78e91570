package traffic

import (
	"time"

	"papayaquay/core/outcome"
)

// expire ends the requests whose deadline has passed and the attempts without a token for
// idleTimeout.
func (w *World) expire(now time.Time) {
	for _, number := range w.requests.Keys() {
		row := w.requests.Get(number)
		if row.phase == phaseStoring || row.item != 0 {
			continue
		}
		if now.Before(row.request.deadline) {
			w.deadlines.ArmBefore(row.request.deadline)
			continue
		}
		w.abortAll(row)
		w.finishExpired(now, number, row)
	}
	for _, id := range w.attempts.Keys() {
		a := w.attempts.Get(id)
		if a == nil {
			continue
		}
		lastProgress := a.started
		if !a.lastToken.IsZero() {
			lastProgress = a.lastToken
		}
		if due := lastProgress.Add(idleTimeout); now.Before(due) {
			w.deadlines.ArmBefore(due)
			continue
		}
		w.abort(id)
		w.receiveEnd(now, attemptEnd{attempt: id, failure: FailureTimeout})
	}
}

// finishExpired ends a request at its deadline.
func (w *World) finishExpired(now time.Time, number uint64, row *requestRow) {
	if row.request.atMostOnce && row.attemptCount > 0 {
		w.storeFailure(now, number, row, outcome.Unknown, "no answer before the deadline")
		return
	}
	if row.request.atMostOnce && row.phase == phaseQueued {
		w.storeFailure(now, number, row, outcome.NotRun, "no backend server had room before the deadline")
		return
	}
	w.finish(number, row, Event{kind: EventError, err: row.noAnswerError()})
}
