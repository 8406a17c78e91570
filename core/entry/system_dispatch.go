package entry

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/progress"
	"papayaquay/core/quarantine"
)

// admit adds a new request and dispatches it.
func (w *World) admit(now time.Time, input Input) {
	w.lastNumber++
	if due := now.Add(watchInterval); due.Before(w.nextWatch) {
		w.nextWatch = due
	}
	row := w.requests.Put(w.lastNumber, requestRow{request: *input.request, decide: input.decide, progress: input.progress, abandon: input.abandon})
	if row.request.mustFindOrigin() {
		w.findOrigin(now, w.lastNumber, row)
		return
	}
	w.dispatch(now, w.lastNumber, row)
}

// server returns the row of a server. It creates the row if there is none.
func (w *World) server(id string) *serverRow {
	if row := w.servers.Get(id); row != nil {
		return row
	}
	return w.servers.Put(id, serverRow{})
}

// dispatch sends a request to a server, or ends it if its deadline passed, no
// server is available or all servers are overloaded. A request that may have run
// is not ended because of overload.
func (w *World) dispatch(now time.Time, number uint64, row *requestRow) {
	if !now.Before(row.request.deadline) {
		w.endUnanswered(now, number, row, "deadline passed", 0)
		return
	}
	if w.rejectQuarantined(now, number, row) {
		return
	}
	choice, ok := w.choose(now, row)
	if !ok && w.atLimits(now, row) {
		w.endUnanswered(now, number, row, "limits reached", w.limitRetryAfter(now, row))
		return
	}
	if !ok {
		w.endUnanswered(now, number, row, "no backend server", noServerRetry)
		return
	}
	if row.startedAttempts == 0 && w.overloaded(now, row) {
		w.endUnanswered(now, number, row, "overloaded", w.retryAfter())
		return
	}
	w.startAttempt(now, number, row, choice)
}

// startAttempt sends a request to the chosen server.
func (w *World) startAttempt(now time.Time, number uint64, row *requestRow, choice choice) {
	backend := choice.backend
	server := w.server(backend.ID())
	server.inFlight++
	w.countSent(now, backend, server)
	server.dataCentre, server.address = backend.DataCentre(), backend.Address()
	w.inFlightChanged = true
	row.backend, row.sentAt, row.abandoned, row.stallTimeout = backend.ID(), now, false, stalledAfter
	row.incarnation, row.version, row.answerBegan = backend.Incarnation(), backend.Version(), false
	row.believedCrashed = w.snapshot().Quarantine().Crashed(quarantine.NewCrashID(backend.ID(), backend.Incarnation()))
	row.idle = progress.NewIdleTimer(row.progress)
	if choice.online+choice.batch >= backend.Slots() {
		row.stallTimeout = queuedStalledAfter
	}
	reserve := w.shouldReserve(now, row, choice)
	limit, sent := w.limit(now, backend)
	sent = sent.Add(server.sent.Sent(now))
	event.AttemptStarted.Log(w.logger, "request", row.request.id, "backend", backend.ID(), "version", backend.Version(), "attempt", len(row.tried)+1,
		"reserve", reserve, "in_flight", server.inFlight, "others", choice.online, "batch", choice.batch, "candidates", choice.candidates,
		"list_ms", w.snapshot().Staleness().Milliseconds(), "limit", limit.PerSecond(), "sent_4s", sent.Burst(), "sent_12s", sent.Sustained())
	row.recording = w.mustRecord(row)
	row.decide(Decision{action: ActionSend, number: number, backend: backend, reserve: reserve,
		record: row.recording, recordFirst: w.mustRecordFirst(row), attempt: len(row.tried) + 1})
}

// Times after which a caller may retry a rejected request.
const (
	noServerRetry       = 300 * time.Millisecond // if no server is available
	overloadRetry       = 700 * time.Millisecond // if all servers are overloaded
	overloadRetryJitter = 900 * time.Millisecond
)

// retryAfter returns after what time a request rejected because of overload may be
// retried. The times are random so that rejected requests do not return together.
func (w *World) retryAfter() time.Duration {
	return overloadRetry + time.Duration(w.random.Float64()*float64(overloadRetryJitter))
}

// endUnanswered ends a request that has no answer. It is rejected if it has not
// run, and failed if it may have run.
func (w *World) endUnanswered(now time.Time, number uint64, row *requestRow, reason string, retry time.Duration) {
	d := Decision{action: ActionReject, number: number, retryAfter: retry, reason: reason}
	if row.startedAttempts > 0 {
		d.action = ActionFail
	}
	event.RequestEnded.Log(w.logger, "request", row.request.id, "outcome", reason, "runs", row.startedAttempts,
		"attempts", len(row.tried), "ms", now.Sub(row.request.arrived).Milliseconds())
	w.observeRequest(reason, -1, now.Sub(row.request.arrived))
	decide := row.decide
	w.requests.Remove(number)
	decide(d)
}
