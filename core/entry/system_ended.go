package entry

import (
	"time"

	"papayaquay/core/event"
)

// ended takes the end of an attempt and decides what follows.
func (w *World) ended(now time.Time, input Input) {
	row := w.requests.Get(input.number)
	if row == nil {
		return
	}
	server := w.server(row.backend)
	server.inFlight--
	w.changed = true
	w.judge(now, server, input.end)
	w.tried(input.end)
	if input.end != EndAnswered {
		event.AttemptFailed.Log(w.logger, "request", row.request.id, "backend", row.backend, "end", input.end.String(),
			"failures", server.failures, "ms", now.Sub(row.sentAt).Milliseconds())
	}
	switch input.end {
	case EndAnswered, EndCallerGone:
		event.RequestEnded.Log(w.logger, "request", row.request.id, "outcome", input.end.String(), "backend", row.backend,
			"runs", row.runs+1, "first_ms", sinceArrival(row, row.headAt), "ms", now.Sub(row.request.arrived).Milliseconds())
		first := time.Duration(sinceArrival(row, row.headAt)) * time.Millisecond
		w.served(input.end.String(), first, now.Sub(row.request.arrived))
		w.requests.Remove(input.number)
		return
	case EndNoSlot:
		row.refusals++
	case EndLost, EndInterrupted:
		row.runs++
		stuck := input.end == EndInterrupted && !row.request.resumable
		if stuck || !row.request.repeatable || row.runs >= row.request.attempts {
			w.giveUp(now, input.number, row, "answer "+input.end.String(), 0)
			return
		}
	}
	row.tried = append(row.tried, row.backend)
	row.backend = ""
	w.next(now, input.number, row)
}

// sinceArrival returns the milliseconds from a request's arrival to a time, -1
// if that never came.
func sinceArrival(row *requestRow, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(row.request.arrived).Milliseconds()
}

// judge keeps requests away from a server that did not do its work.
func (w *World) judge(now time.Time, server *serverRow, end End) {
	switch end {
	case EndAnswered:
		server.failures, server.usedAt = 0, now
	case EndNotRun, EndNoSlot:
		server.paused = now.Add(fullPause)
	case EndUnreachable, EndLost, EndInterrupted:
		server.paused = now.Add(min(failurePause<<min(server.failures, 10), maxPause))
		server.failures++
		// One lost answer says little of a server; one that cannot be reached,
		// breaks off or loses again must not cost another request.
		server.suspect = end != EndLost || server.silent || server.failures > 1
		if server.suspect {
			// Answers that break off are rare but where links are reset.
			enough := doubtful
			if end == EndInterrupted {
				enough = 1
			}
			w.doubt(now, server.zone, enough)
		}
	}
}

// probed takes the outcome of a probe.
func (w *World) probed(now time.Time, backend string, reached bool) {
	row := w.servers.Get(backend)
	if row == nil {
		return
	}
	row.probing = false
	if reached {
		row.suspect, row.paused = false, time.Time{}
		return
	}
	row.paused = now.Add(probePause)
}
