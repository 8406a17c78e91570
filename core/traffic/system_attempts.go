package traffic

import (
	"slices"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/outcome"
)

// receiveText processes new text of an attempt. The first attempt of a request that
// produces text is the winner, and the others are aborted.
func (w *World) receiveText(now time.Time, chunk textChunk) {
	a := w.attempts.Get(chunk.attempt)
	if a == nil {
		return // late text of an aborted attempt is ignored
	}
	number := a.request
	row := w.requests.Get(number)
	if a.firstToken.IsZero() {
		a.firstToken = now
		w.selectWinner(now, chunk.attempt, a, row)
	} else if t := w.targets.Get(a.backend); t != nil && chunk.tokens > 0 {
		t.recordTokenInterval(now.Sub(a.lastToken).Seconds() / float64(chunk.tokens))
	}
	a.lastToken = now
	a.tokens += chunk.tokens
	if row.winner != chunk.attempt {
		return
	}
	row.text += chunk.text
	row.tokens += chunk.tokens
	w.sendText(now, row)
}

// selectWinner records the time to first token of an attempt. The attempt becomes the
// winner if the request has none.
func (w *World) selectWinner(now time.Time, id uint64, a *attemptRow, row *requestRow) {
	if t := w.targets.Get(a.backend); t != nil && a.online {
		t.recordFirstToken(now.Sub(a.started).Seconds())
	}
	if a.online {
		_ = w.firstTokenTimes[0].RecordValue(min(max(now.Sub(a.started).Microseconds(), 1), maxFirstTokenMicros))
	}
	if row.winner != 0 {
		return
	}
	row.winner = id
	if row.sentBytes == 0 && row.item == 0 {
		w.observer.firstToken(now.Sub(row.acceptedAt))
	}
	for _, other := range slices.Clone(row.attempts) {
		if other != id {
			w.abortLoser(now, row, other)
		}
	}
}

// sendText sends the caller the text that was not sent yet, if the claim is settled or
// claimTimeout has passed.
func (w *World) sendText(now time.Time, row *requestRow) {
	if row.claim == claimPending {
		if now.Sub(row.acceptedAt) < claimTimeout {
			return
		}
		row.claim = claimSettled
	}
	if row.item == 0 && row.sentBytes < len(row.text) {
		row.sink(Event{kind: EventText, text: row.text[row.sentBytes:]})
		row.sentBytes = len(row.text)
	}
}

// abortAttempt aborts an attempt of a request.
func (w *World) abortAttempt(row *requestRow, id uint64) {
	a := w.attempts.Get(id)
	if a == nil {
		return
	}
	w.abort(id)
	w.removeAttempt(row, id, a)
}

// abortLoser aborts an attempt after another one won. It records for how long the attempt
// had no first token.
func (w *World) abortLoser(now time.Time, row *requestRow, id uint64) {
	a := w.attempts.Get(id)
	if a == nil {
		return
	}
	if t := w.targets.Get(a.backend); t != nil && a.online && a.firstToken.IsZero() {
		t.recordStall(now.Sub(a.started).Seconds())
	}
	w.abortAttempt(row, id)
}

// removeAttempt removes an attempt and frees its slot.
func (w *World) removeAttempt(row *requestRow, id uint64, a *attemptRow) {
	if t := w.targets.Get(a.backend); t != nil {
		w.addUsage(t, a.online, -1)
	}
	w.attempts.Remove(id)
	row.attempts = slices.DeleteFunc(row.attempts, func(other uint64) bool { return other == id })
}

// abortAll aborts all attempts of a request.
func (w *World) abortAll(row *requestRow) {
	for _, id := range slices.Clone(row.attempts) {
		w.abortAttempt(row, id)
	}
}

// receiveEnd processes the end of an attempt.
func (w *World) receiveEnd(now time.Time, end attemptEnd) {
	a := w.attempts.Get(end.attempt)
	if a == nil {
		return
	}
	number := a.request
	row := w.requests.Get(number)
	w.removeAttempt(row, end.attempt, a)
	if end.failure == 0 {
		w.complete(now, number, row, end.attempt, a)
		return
	}
	w.handleFailure(now, number, row, a, end)
}

// complete stores the answer of the winner.
func (w *World) complete(now time.Time, number uint64, row *requestRow, id uint64, a *attemptRow) {
	if row.winner == 0 {
		row.winner = id
	}
	if row.winner != id {
		return
	}
	w.abortAll(row)
	w.hedgeBudget = min(w.hedgeBudget+w.policy.hedgeShare, maxHedgeBudget)
	w.retryBudget = min(w.retryBudget+w.policy.retryShare, maxRetryBudget)
	w.updateAnswerTokens(row)
	row.answer = home.NewAnswer(outcome.OK, row.text, row.tokens, "", a.backend, now)
	w.sendText(now, row)
	w.storeAnswer(now, number, row)
}

// updateAnswerTokens updates the expected answer length of the service.
func (w *World) updateAnswerTokens(row *requestRow) {
	s := w.services.Get(row.request.service)
	if s == nil {
		s = w.services.Put(row.request.service, serviceRow{answerTokens: float64(row.tokens)})
	}
	s.answerTokens += sampleWeight * (float64(row.tokens) - s.answerTokens)
}

// handleFailure processes a failed attempt: it ends the request, retries it or
// counts a crash.
func (w *World) handleFailure(now time.Time, number uint64, row *requestRow, a *attemptRow, end attemptEnd) {
	event.AttemptFailed.Log(w.logger, "backend", a.backend, "failure", int(end.failure), "error", end.err)
	w.recordBackendFailure(now, a.backend, end.failure)
	row.failedBackends = append(row.failedBackends, a.backend)
	if end.failure == FailureNotSent || end.failure == FailureBusy {
		row.attemptCount-- // the request did not run
	}
	if row.winner == end.attempt {
		row.winner = 0
	}
	if len(row.attempts) > 0 {
		return // another attempt is still running
	}
	switch {
	case row.item != 0:
		w.handleItemFailure(now, number, row, end)
	case end.failure == FailureRejected:
		w.storeFailure(now, number, row, outcome.Refused, "the backend server rejected the request")
	case row.request.atMostOnce && row.attemptCount > 0:
		w.storeFailure(now, number, row, outcome.Unknown, "the only attempt was lost")
	case end.failure == FailureConnectionLost:
		w.countCrash(now, number, row, a.backend, end.attempt)
	default:
		w.retry(now, number, row)
	}
}

// recordBackendFailure counts a failure of a backend server. A busy server gets no
// requests for busyBackoff instead.
func (w *World) recordBackendFailure(now time.Time, backend string, failure Failure) {
	t := w.targets.Get(backend)
	if t == nil || failure == FailureRejected {
		return
	}
	if failure == FailureBusy {
		t.ejectedUntil = now.Add(busyBackoff)
	} else {
		t.recordFailure(now, w.policy)
	}
	if now.Before(t.ejectedUntil) {
		w.deadlines.ArmBefore(t.ejectedUntil)
	}
}

// retry queues a request again if the attempt limit and the retry budget allow it.
func (w *World) retry(now time.Time, number uint64, row *requestRow) {
	if row.attemptCount >= maxAttempts {
		w.storeFailure(now, number, row, outcome.Refused, "all attempts failed")
		return
	}
	if row.attemptCount > 0 {
		if w.retryBudget < 1 && len(w.queue) > 0 {
			w.finish(number, row, Event{kind: EventError, err: outcome.ErrUnknown})
			return
		}
		w.retryBudget = max(w.retryBudget-1, 0)
		w.observer.retried()
	}
	w.enqueue(number, row)
	w.deadlines.ArmBefore(now.Add(time.Millisecond))
}

// countCrash stores that the connection to a backend server was lost while it ran the
// request. After poisonCrashes crashes the request is rejected for good.
func (w *World) countCrash(now time.Time, number uint64, row *requestRow, backend string, attempt uint64) {
	event.BackendLost.Log(w.logger, "backend", backend)
	row.phase = phaseCountingCrash
	fingerprint := row.fingerprint()
	command := home.NewCommand(home.CommandCountCrash, home.Key{}, now, home.WithFingerprint(fingerprint),
		home.WithNumber(Fingerprint(w.claimant(attempt), backend)))
	call := control.NewCall(control.CallApply, control.HomeOfFingerprint(w.current.Homes(), fingerprint),
		now.Add(storeTimeout), control.WithCommand(command))
	w.callLedger(row, call, func(w *World, now time.Time, r control.Result) {
		row := w.requests.Get(number)
		if row == nil {
			return
		}
		row.crashCount = max(row.crashCount+1, r.Reply().Count())
		w.reportCrashCount(control.NewCrashCount(fingerprint, row.crashCount))
		if row.crashCount >= poisonCrashes {
			event.PoisonRequestRejected.Log(w.logger, "account", row.request.key.Account())
			w.storeFailure(now, number, row, outcome.Refused, "the request crashed backend servers")
			return
		}
		w.retry(now, number, row)
	})
}
