package entry

import (
	"time"

	"papayaquay/core/event"
)

// endAttempt takes the end of an attempt and decides what follows.
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
		event.RequestServed.Log(w.logger, "request", row.request.id, "outcome", input.end.String(), "backend", row.backend,
			"runs", row.runs+1, "first_ms", sinceArrival(row, row.headerAt), "ms", now.Sub(row.request.arrived).Milliseconds())
		firstByte := time.Duration(sinceArrival(row, row.headerAt)) * time.Millisecond
		w.observeRequest(input.end.String(), firstByte, now.Sub(row.request.arrived))
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

// sinceArrival returns the milliseconds from a request's arrival to a time, -1
// if that never came.
func sinceArrival(row *requestRow, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(row.request.arrived).Milliseconds()
}

// recordEnd keeps requests away from a server that did not do its work.
func (w *World) recordEnd(now time.Time, server *serverRow, end End) {
	switch end {
	case EndAnswered:
		server.failures, server.lastAnswerAt = 0, now
	case EndNotRun, EndNoSlot:
		server.pausedUntil = now.Add(fullPause)
	case EndUnreachable, EndLost, EndInterrupted:
		server.pausedUntil = now.Add(min(failurePause<<min(server.failures, 10), maxPause))
		server.failures++
		// One lost answer says little of a server; one that cannot be reached,
		// breaks off or loses again must not cost another request.
		server.suspect = end != EndLost || server.stalled || server.failures > 1
		if server.suspect {
			// Answers that break off are rare but where links are reset.
			threshold := failingThreshold
			if end == EndInterrupted {
				threshold = 1
			}
			w.probeDataCentre(now, server.dataCentre, threshold)
		}
	}
}

// endProbe takes the outcome of a probe.
func (w *World) endProbe(now time.Time, backend string, reached bool) {
	row := w.servers.Get(backend)
	if row == nil {
		return
	}
	row.probing = false
	if reached {
		row.suspect, row.pausedUntil = false, time.Time{}
		return
	}
	row.pausedUntil = now.Add(probePause)
}
