package traffic

import (
	"time"

	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"
)

// itemTimeout is the maximum run time of an attempt of a batch item.
const itemTimeout = 10 * time.Minute

// startItem runs a batch item on the backend server that the control world chose. The item
// is reported as preempted if that server is gone.
func (w *World) startItem(now time.Time, item control.Item) {
	leased := item.Leased()
	request := NewRequest(leased.Job(), leased.Service(), leased.Item().Prompt(), leased.Item().MaxTokens(),
		now.Add(itemTimeout), WithAtMostOnce(leased.AtMostOnce()))
	w.lastRequest++
	row := w.requests.Put(w.lastRequest, requestRow{request: request, item: item.Number(), backend: item.Backend(),
		phase: phaseRunning, acceptedAt: now, text: item.Prefix(), tokens: item.Tokens(), sink: func(Event) {}})
	w.items.Put(item.Number(), w.lastRequest)
	t := w.targets.Get(item.Backend())
	if t == nil || !t.inSnapshot {
		w.finishItem(w.lastRequest, row, control.NewItemPreemption(item.Number(), w.partialAnswer(now, row)))
		return
	}
	w.startAttempt(now, w.lastRequest, row, t)
}

// stopItem stops a batch item and reports its text so far.
func (w *World) stopItem(now time.Time, stop itemStop) {
	number := w.items.Get(stop.number)
	if number == nil {
		return
	}
	row := w.requests.Get(*number)
	w.abortAll(row)
	w.finishItem(*number, row, control.NewItemPreemption(stop.number, w.partialAnswer(now, row)))
}

// partialAnswer returns a pending answer with the text of an item so far.
func (w *World) partialAnswer(now time.Time, row *requestRow) home.Answer {
	return home.NewAnswer(outcome.Pending, row.text, row.tokens, "", row.backend, now)
}

// handleItemFailure reports a failed attempt of a batch item to the control world.
func (w *World) handleItemFailure(now time.Time, number uint64, row *requestRow, end attemptEnd) {
	switch end.failure {
	case FailureRejected:
		w.storeFailure(now, number, row, outcome.Refused, "the backend server rejected the item")
	case FailureNotSent, FailureBusy:
		w.finishItem(number, row, control.NewItemPreemption(row.item, w.partialAnswer(now, row)))
	default:
		w.finishItem(number, row, control.NewItemFailure(row.item, end.failure == FailureConnectionLost, w.partialAnswer(now, row)))
	}
}

// finishItem removes an item and reports the end of its attempt to the control world.
func (w *World) finishItem(number uint64, row *requestRow, result control.ItemResult) {
	w.items.Remove(row.item)
	w.finish(number, row, Event{})
	w.itemEnded(result)
}
