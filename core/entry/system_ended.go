package entry

import (
	"time"

	"papayaquay/core/event"
)

// endAttempt handles the end of an attempt: it completes the request or
// dispatches the next attempt.
func (w *World) endAttempt(now time.Time, input Input) {
	row := w.requests.Get(input.number)
	if row == nil {
		return
	}
	server := w.server(row.backend)
	server.inFlight--
	w.inFlightChanged = true
	w.recordStatus(now, server, input.status)
	if input.load.Leaving() {
		w.recordLeave(row.backend, server, row.incarnation)
	}
	if input.status == AttemptNotRun {
		w.setLimit(now, row.backend, server, row.incarnation, input.load)
	}
	w.observeAttempt(input.status)
	if input.status != AttemptAnswered {
		event.AttemptFailed.Log(w.logger, "request", row.request.id, "backend", row.backend, "end", input.status.String(),
			"began", row.answerBegan, "failures", server.failures, "ms", now.Sub(row.sentAt).Milliseconds())
	}
	if input.status == AttemptAnswered {
		w.recordEnd(now, row)
	}
	switch input.status {
	case AttemptAnswered, AttemptCallerGone, AttemptAborted:
		event.RequestEnded.Log(w.logger, "request", row.request.id, "outcome", input.status.String(), "backend", row.backend,
			"runs", row.startedAttempts+1, "first_ms", sinceArrival(row, row.headerAt), "ms", now.Sub(row.request.arrived).Milliseconds())
		headerDelay := time.Duration(sinceArrival(row, row.headerAt)) * time.Millisecond
		w.observeRequest(input.status.String(), headerDelay, now.Sub(row.request.arrived))
		w.requests.Remove(input.number)
		return
	case AttemptNoSlot:
		row.rejections++
	case AttemptUnreachable:
		w.checkRefusal(row)
	case AttemptUnrecorded:
		w.unrecordedUntil = now.Add(unrecordedPause)
	case AttemptLost, AttemptInterrupted:
		row.startedAttempts++
		if input.status == AttemptInterrupted {
			row.stream = row.stream.beganOn(row.version)
		}
		w.suspectCrash(row)
		partial := input.status == AttemptInterrupted && !row.request.resumable
		if partial || !row.request.retryable || row.startedAttempts >= row.request.maxAttempts {
			w.endUnanswered(now, input.number, row, "answer "+input.status.String(), 0)
			return
		}
	}
	if row.recording && input.status != AttemptNoSlot && input.status != AttemptUnrecorded {
		row.recorded = append(row.recorded, row.version)
	}
	row.tried = append(row.tried, row.backend)
	row.backend = ""
	w.dispatch(now, input.number, row)
}

// sinceArrival returns the time from a request's arrival until at, in
// milliseconds, or -1 if at is zero.
func sinceArrival(row *requestRow, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(row.request.arrived).Milliseconds()
}

// recordStatus updates a server's state after an attempt. A server that did not
// answer is paused, and it is ejected if it is likely to fail again.
func (w *World) recordStatus(now time.Time, server *serverRow, status AttemptStatus) {
	switch status {
	case AttemptAnswered:
		server.failures, server.lastAnswerAt = 0, now
	case AttemptNotRun, AttemptNoSlot:
		server.pausedUntil = now.Add(fullPause)
	case AttemptUnreachable, AttemptLost, AttemptInterrupted:
		server.pausedUntil = now.Add(min(failurePause<<min(server.failures, 10), maxPause))
		server.failures++
		// A single lost answer is weak evidence of a failure. A server that is
		// unreachable, is stalled, interrupts an answer or loses answers
		// repeatedly is ejected, so that no other request fails there.
		server.ejected = status != AttemptLost || server.stalled || server.failures > 1
		if server.ejected {
			// Interrupted answers are rare unless links are reset, so one is enough.
			threshold := failingThreshold
			if status == AttemptInterrupted {
				threshold = 1
			}
			w.probeDataCentre(now, server.dataCentre, threshold)
		}
	}
}

// endProbe handles the result of a probe. A reached server is used again.
func (w *World) endProbe(now time.Time, backend string, reached bool) {
	row := w.servers.Get(backend)
	if row == nil {
		return
	}
	row.probing = false
	if reached {
		row.ejected, row.pausedUntil = false, time.Time{}
		return
	}
	row.pausedUntil = now.Add(probePause)
}
