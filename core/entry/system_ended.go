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
	if input.load.Known() {
		w.note(now, input.number, input.load)
	}
	server := w.server(row.backend)
	server.inFlight--
	w.changed = true
	w.judge(now, server, input.end)
	if input.end != EndAnswered {
		event.AttemptFailed.Log(w.logger, "request", row.request.id, "backend", row.backend, "end", input.end.String(),
			"failures", server.failures, "ms", now.Sub(row.sentAt).Milliseconds())
	}
	switch input.end {
	case EndAnswered, EndGone:
		event.RequestServed.Log(w.logger, "request", row.request.id, "outcome", input.end.String(), "backend", row.backend,
			"runs", row.runs+1, "ms", now.Sub(row.request.arrived).Milliseconds())
		w.requests.Remove(input.number)
		return
	case EndLost, EndBroken:
		row.runs++
		if !row.request.repeatable || row.runs >= row.request.attempts {
			w.giveUp(now, input.number, row, "answer "+input.end.String(), 0)
			return
		}
	}
	row.tried = append(row.tried, row.backend)
	row.backend = ""
	w.next(now, input.number, row)
}

// judge keeps requests away from a server that did not do its work.
func (w *World) judge(now time.Time, server *serverRow, end End) {
	switch end {
	case EndAnswered:
		server.failures = 0
	case EndNotRun:
		server.paused = now.Add(fullPause)
	case EndUnreachable, EndLost, EndBroken:
		server.paused = now.Add(min(failurePause<<min(server.failures, 10), maxPause))
		server.failures++
	}
}
