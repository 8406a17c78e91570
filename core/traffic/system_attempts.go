package traffic

import (
	"slices"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/outcome"
)

// receiveToken takes text of an attempt. The first attempt of a request that
// produces text leads; the others are aborted.
func (w *World) receiveToken(now time.Time, m token) {
	a := w.attempts.Get(m.attempt)
	if a == nil {
		return // aborted, its late text counts nowhere
	}
	number := a.request
	row := w.requests.Get(number)
	if a.first.IsZero() {
		a.first = now
		w.lead(now, m.attempt, a, row)
	} else if t := w.targets.Get(a.backend); t != nil && m.count > 0 {
		t.learnPace(now.Sub(a.last).Seconds() / float64(m.count))
	}
	a.last = now
	a.tokens += m.count
	if row.leading != m.attempt {
		return
	}
	row.text += m.text
	row.tokens += m.count
	w.pass(now, row)
}

// lead makes an attempt the one whose text counts.
func (w *World) lead(now time.Time, id uint64, a *attemptRow, row *requestRow) {
	if t := w.targets.Get(a.backend); t != nil && a.online {
		t.learnFirst(now.Sub(a.started).Seconds())
	}
	if a.online {
		_ = w.firsts[0].RecordValue(min(max(now.Sub(a.started).Microseconds(), 1), maxFirstMicros))
	}
	if row.leading != 0 {
		return
	}
	row.leading = id
	if row.sent == 0 && row.item == 0 {
		w.observe.first(now.Sub(row.accepted))
	}
	for _, other := range slices.Clone(row.attempts) {
		if other != id {
			w.loseOne(now, row, other)
		}
	}
}

// pass sends the caller the text that it does not have yet, once the claim is
// settled.
func (w *World) pass(now time.Time, row *requestRow) {
	if row.claim == claimAsked {
		if now.Sub(row.accepted) < claimPatience {
			return
		}
		row.claim = claimGranted
	}
	if row.item == 0 && row.sent < len(row.text) {
		row.sink(Event{kind: EventText, text: row.text[row.sent:]})
		row.sent = len(row.text)
	}
}

// abortOne ends one attempt of a request from this side.
func (w *World) abortOne(row *requestRow, id uint64) {
	a := w.attempts.Get(id)
	if a == nil {
		return
	}
	w.abort(id)
	w.forget(row, id, a)
}

// loseOne ends an attempt that another one outran, and learns from its silence.
func (w *World) loseOne(now time.Time, row *requestRow, id uint64) {
	a := w.attempts.Get(id)
	if a == nil {
		return
	}
	if t := w.targets.Get(a.backend); t != nil && a.online && a.first.IsZero() {
		t.learnSlow(now.Sub(a.started).Seconds())
	}
	w.abortOne(row, id)
}

// forget removes an attempt and frees its slot.
func (w *World) forget(row *requestRow, id uint64, a *attemptRow) {
	if t := w.targets.Get(a.backend); t != nil {
		w.count(t, a.online, -1)
	}
	w.attempts.Remove(id)
	row.attempts = slices.DeleteFunc(row.attempts, func(other uint64) bool { return other == id })
}

// abandon ends all attempts of a request from this side.
func (w *World) abandon(row *requestRow) {
	for _, id := range slices.Clone(row.attempts) {
		w.abortOne(row, id)
	}
}

// receiveEnd takes the end of an attempt.
func (w *World) receiveEnd(now time.Time, m ended) {
	a := w.attempts.Get(m.attempt)
	if a == nil {
		return
	}
	number := a.request
	row := w.requests.Get(number)
	w.forget(row, m.attempt, a)
	if m.failure == 0 {
		w.complete(now, number, row, m.attempt, a)
		return
	}
	w.fail(now, number, row, a, m)
}

// complete stores the answer of the attempt that leads.
func (w *World) complete(now time.Time, number uint64, row *requestRow, id uint64, a *attemptRow) {
	if row.leading == 0 {
		row.leading = id
	}
	if row.leading != id {
		return
	}
	w.abandon(row)
	w.hedges = min(w.hedges+w.policy.hedgeShare, maxHedgeBudget)
	w.retries = min(w.retries+w.policy.retryShare, maxRetryBudget)
	w.learnLength(row)
	row.answer = home.NewAnswer(outcome.OK, row.text, row.tokens, "", a.backend, now)
	w.pass(now, row)
	w.store(now, number, row)
}

// learnLength adapts the expected answer length of the service.
func (w *World) learnLength(row *requestRow) {
	s := w.services.Get(row.request.service)
	if s == nil {
		s = w.services.Put(row.request.service, serviceRow{tokens: float64(row.tokens)})
	}
	s.tokens += latencyWeight * (float64(row.tokens) - s.tokens)
}

// fail decides what follows a failed attempt.
func (w *World) fail(now time.Time, number uint64, row *requestRow, a *attemptRow, m ended) {
	event.AttemptFailed.Log(w.logger, "backend", a.backend, "failure", int(m.failure), "error", m.err)
	w.blame(now, a.backend, m.failure)
	row.tried = append(row.tried, a.backend)
	if m.failure == FailureNotSent || m.failure == FailureBusy {
		row.tries-- // nothing ran
	}
	if row.leading == m.attempt {
		row.leading = 0
	}
	if len(row.attempts) > 0 {
		return // another attempt is still running
	}
	switch {
	case row.item != 0:
		w.failItem(now, number, row, m)
	case m.failure == FailureRejected:
		w.conclude(now, number, row, outcome.Refused, "the backend server rejected the request")
	case row.request.atMostOnce && row.tries > 0:
		w.conclude(now, number, row, outcome.Unknown, "the only attempt was lost")
	case m.failure == FailureConnectionLost:
		w.suspectContent(now, number, row, a.backend, m.attempt)
	default:
		w.retry(now, number, row)
	}
}

// blame counts a failure against a backend server. One that is busy is only
// left alone for a moment.
func (w *World) blame(now time.Time, backend string, failure Failure) {
	t := w.targets.Get(backend)
	if t == nil || failure == FailureRejected {
		return
	}
	if failure == FailureBusy {
		t.ejectUntil = now.Add(busyPause)
	} else {
		t.fail(now, w.policy)
	}
	if now.Before(t.ejectUntil) {
		w.due.ArmBefore(t.ejectUntil)
	}
}

// retry queues a request again if its attempts and the budget allow it.
func (w *World) retry(now time.Time, number uint64, row *requestRow) {
	if row.tries >= maxAttempts {
		w.conclude(now, number, row, outcome.Refused, "all attempts failed")
		return
	}
	if row.tries > 0 {
		if w.retries < 1 && len(w.queue) > 0 {
			w.finish(number, row, Event{kind: EventError, err: outcome.ErrUnknown})
			return
		}
		w.retries = max(w.retries-1, 0)
		w.observe.retried()
	}
	w.enqueue(number, row)
	w.due.ArmBefore(now.Add(time.Millisecond))
}

// suspectContent stores that a backend server was lost while it ran the
// request, and refuses the request for ever after too many.
func (w *World) suspectContent(now time.Time, number uint64, row *requestRow, backend string, attempt uint64) {
	event.BackendLost.Log(w.logger, "backend", backend)
	row.phase = phaseSuspected
	fingerprint := row.fingerprint()
	command := home.NewCommand(home.CommandCountCrash, home.Key{}, now, home.WithFingerprint(fingerprint),
		home.WithNumber(Fingerprint(w.claimant(attempt), backend)))
	call := control.NewCall(control.CallApply, control.HomeOfFingerprint(w.known.Homes(), fingerprint),
		now.Add(storePatience), control.WithCommand(command))
	w.ask(row, call, func(w *World, now time.Time, r control.Result) {
		row := w.requests.Get(number)
		if row == nil {
			return
		}
		row.crashes = max(row.crashes+1, r.Reply().Count())
		w.suspect(control.NewCrashCount(fingerprint, row.crashes))
		if row.crashes >= poisonCrashes {
			event.PoisonRequestRejected.Log(w.logger, "account", row.request.key.Account())
			w.conclude(now, number, row, outcome.Refused, "the request crashed backend servers")
			return
		}
		w.retry(now, number, row)
	})
}
