package traffic

import (
	"time"

	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"
)

// itemPatience bounds the run of one batch item.
const itemPatience = 10 * time.Minute

// beginItem runs a batch item on the backend server that the control world
// chose.
func (w *World) beginItem(now time.Time, item control.Item) {
	leased := item.Leased()
	request := NewRequest(leased.Job(), leased.Service(), leased.Item().Prompt(), leased.Item().MaxTokens(),
		now.Add(itemPatience), WithAtMostOnce(leased.AtMostOnce()))
	w.last++
	row := w.requests.Put(w.last, requestRow{request: request, item: item.Number(), backend: item.Backend(),
		phase: phaseRunning, accepted: now, text: item.Prefix(), tokens: item.Tokens(), sink: func(Event) {}})
	w.items.Put(item.Number(), w.last)
	if w.known.Crashes(row.fingerprint()) >= poisonCrashes {
		w.conclude(now, w.last, row, outcome.Refused, "the request crashed backend servers")
		return
	}
	t := w.targets.Get(item.Backend())
	if t == nil || !t.present {
		w.endItem(w.last, row, control.NewItemPreemption(item.Number(), w.soFar(now, row)))
		return
	}
	w.attempt(now, w.last, row, t)
}

// haltItem stops a batch item and reports how far it got.
func (w *World) haltItem(now time.Time, stop stopItem) {
	number := w.items.Get(stop.number)
	if number == nil {
		return
	}
	row := w.requests.Get(*number)
	w.abandon(row)
	w.endItem(*number, row, control.NewItemPreemption(stop.number, w.soFar(now, row)))
}

// soFar returns the text that an item has produced.
func (w *World) soFar(now time.Time, row *requestRow) home.Answer {
	return home.NewAnswer(outcome.Pending, row.text, row.tokens, "", row.backend, now)
}

// failItem reports a failed attempt of a batch item.
func (w *World) failItem(now time.Time, number uint64, row *requestRow, m ended) {
	switch m.failure {
	case FailureRejected:
		w.conclude(now, number, row, outcome.Refused, "the backend server rejected the item")
	case FailureNotSent, FailureBusy:
		w.endItem(number, row, control.NewItemPreemption(row.item, w.soFar(now, row)))
	default:
		lost := m.failure == FailureConnectionLost
		if lost && !row.request.atMostOnce {
			w.noteCrash(now, row, m.attempt)
		}
		w.endItem(number, row, control.NewItemFailure(row.item, lost, w.soFar(now, row)))
	}
}

// noteCrash counts a lost backend server against an item's content.
func (w *World) noteCrash(now time.Time, row *requestRow, attempt uint64) {
	fingerprint := row.fingerprint()
	command := home.NewCommand(home.CommandCountCrash, home.Key{}, now, home.WithFingerprint(fingerprint),
		home.WithNumber(Fingerprint(w.claimant(attempt), row.backend)))
	call := control.NewCall(control.CallApply, control.HomeOfFingerprint(w.known.Homes(), fingerprint),
		now.Add(storePatience), control.WithCommand(command))
	w.ask(row, call, func(w *World, _ time.Time, r control.Result) {
		w.suspect(control.NewCrashCount(fingerprint, r.Reply().Count()))
	})
}

// endItem reports the end of an item's run to the control world.
func (w *World) endItem(number uint64, row *requestRow, result control.ItemResult) {
	w.items.Remove(row.item)
	w.finish(number, row, Event{})
	w.ended(result)
}
