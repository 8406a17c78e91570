package traffic

import (
	"time"

	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"
)

// itemTimeout bounds the run of one batch item.
const itemTimeout = 10 * time.Minute

// startItem runs a batch item on the backend server that the control world
// chose.
func (w *World) startItem(now time.Time, item control.Item) {
	leased := item.Leased()
	request := NewRequest(leased.Job(), leased.Service(), leased.Item().Prompt(), leased.Item().MaxTokens(),
		now.Add(itemTimeout), WithAtMostOnce(leased.AtMostOnce()))
	w.lastRequest++
	row := w.requests.Put(w.lastRequest, requestRow{request: request, item: item.Number(), backend: item.Backend(),
		phase: phaseRunning, acceptedAt: now, text: item.Prefix(), tokens: item.Tokens(), sink: func(Event) {}})
	w.items.Put(item.Number(), w.lastRequest)
	if w.current.Crashes(row.fingerprint()) >= poisonCrashes {
		w.storeFailure(now, w.lastRequest, row, outcome.Refused, "the request crashed backend servers")
		return
	}
	t := w.targets.Get(item.Backend())
	if t == nil || !t.inSnapshot {
		w.finishItem(w.lastRequest, row, control.NewItemPreemption(item.Number(), w.partialAnswer(now, row)))
		return
	}
	w.startAttempt(now, w.lastRequest, row, t)
}

// itemStop stops a batch item and reports how far it got.
func (w *World) stopItem(now time.Time, stop itemStop) {
	number := w.items.Get(stop.number)
	if number == nil {
		return
	}
	row := w.requests.Get(*number)
	w.abortAll(row)
	w.finishItem(*number, row, control.NewItemPreemption(stop.number, w.partialAnswer(now, row)))
}

// partialAnswer returns the text that an item has produced.
func (w *World) partialAnswer(now time.Time, row *requestRow) home.Answer {
	return home.NewAnswer(outcome.Pending, row.text, row.tokens, "", row.backend, now)
}

// failItem reports a failed attempt of a batch item.
func (w *World) failItem(now time.Time, number uint64, row *requestRow, end attemptEnd) {
	switch end.failure {
	case FailureRejected:
		w.storeFailure(now, number, row, outcome.Refused, "the backend server rejected the item")
	case FailureNotSent, FailureBusy:
		w.finishItem(number, row, control.NewItemPreemption(row.item, w.partialAnswer(now, row)))
	default:
		lost := end.failure == FailureConnectionLost
		if lost && !row.request.atMostOnce {
			w.countItemCrash(now, row, end.attempt)
		}
		w.finishItem(number, row, control.NewItemFailure(row.item, lost, w.partialAnswer(now, row)))
	}
}

// countItemCrash counts a lost backend server against an item's content.
func (w *World) countItemCrash(now time.Time, row *requestRow, attempt uint64) {
	fingerprint := row.fingerprint()
	command := home.NewCommand(home.CommandCountCrash, home.Key{}, now, home.WithFingerprint(fingerprint),
		home.WithNumber(Fingerprint(w.claimant(attempt), row.backend)))
	call := control.NewCall(control.CallApply, control.HomeOfFingerprint(w.current.Homes(), fingerprint),
		now.Add(storeTimeout), control.WithCommand(command))
	w.callLedger(row, call, func(w *World, _ time.Time, r control.Result) {
		w.reportCrashCount(control.NewCrashCount(fingerprint, r.Reply().Count()))
	})
}

// finishItem reports the end of an item's run to the control world.
func (w *World) finishItem(number uint64, row *requestRow, result control.ItemResult) {
	w.items.Remove(row.item)
	w.finish(number, row, Event{})
	w.itemEnded(result)
}
