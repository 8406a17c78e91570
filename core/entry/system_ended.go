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
	w.recordEnd(now, server, input.end)
	w.observeAttempt(input.end)
	if input.end != EndAnswered {
		event.AttemptFailed.Log(w.logger, "request", row.request.id, "backend", row.backend, "end", input.end.String(),
			"failures", server.failures, "ms", now.Sub(row.sentAt).Milliseconds())
	}
	switch input.end {
	case EndAnswered, EndCallerGone:
		event.RequestEnded.Log(w.logger, "request", row.request.id, "outcome", input.end.String(), "backend", row.backend,
			"runs", row.runs+1, "first_ms", sinceArrival(row, row.headerAt), "ms", now.Sub(row.request.arrived).Milliseconds())
		headerDelay := time.Duration(sinceArrival(row, row.headerAt)) * time.Millisecond
		w.observeRequest(input.end.String(), headerDelay, now.Sub(row.request.arrived))
		w.requests.Remove(input.number)
		return
	case EndNoSlot:
		row.refusals++
	case EndLost, EndInterrupted:
		row.runs++
		partial := input.end == EndInterrupted && !row.request.resumable
		if partial || !row.request.retryable || row.runs >= row.request.maxAttempts {
			w.giveUp(now, input.number, row, "answer "+input.end.String(), 0)
			return
		}
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

// recordEnd updates a server's state after an attempt. A server that did not
// answer is paused or ejected.
func (w *World) recordEnd(now time.Time, server *serverRow, end End) {
	switch end {
	case EndAnswered:
		server.failures, server.lastAnswerAt = 0, now
	case EndNotRun, EndNoSlot:
		server.pausedUntil = now.Add(fullPause)
	case EndUnreachable, EndLost, EndInterrupted:
		server.pausedUntil = now.Add(min(failurePause<<min(server.failures, 10), maxPause))
		server.failures++
		// A single lost answer is weak evidence. A server that is unreachable,
		// interrupts an answer or loses answers repeatedly is ejected at once,
		// so that no other request fails there.
		server.ejected = end != EndLost || server.stalled || server.failures > 1
		if server.ejected {
			// Interrupted answers are rare unless links are reset.
			threshold := failingThreshold
			if end == EndInterrupted {
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
