package entry

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/quarantine"
)

// crashCheckRow holds the prompts of the requests that were lost on a server until it is
// known whether the server crashed.
type crashCheckRow struct {
	suspects []quarantine.Prompt
}

// WithQuarantine sets the functions that connect the world with the crash evidence.
// checkCrash starts a check whether a server refuses connections; it must not block, and
// the result is passed to the world by CrashChecked. reportCrash receives each crash.
// acquit receives suspect parts on which an answer began.
func WithQuarantine(checkCrash func(id quarantine.CrashID, address string), reportCrash func(quarantine.Crash), acquit func([]quarantine.Part)) Option {
	return func(w *World) { w.checkCrash, w.reportCrash, w.acquit = checkCrash, reportCrash, acquit }
}

// rejectQuarantined ends a request with a quarantined part and reports whether it did.
func (w *World) rejectQuarantined(now time.Time, number uint64, row *requestRow) bool {
	verdict, ok := w.snapshot().Quarantine().Rejects(row.request.sharedParts)
	if !ok {
		return false
	}
	event.QuarantinedRequestRejected.Log(w.logger, "request", row.request.id, "part", string(verdict.Part()), "crashes", verdict.Crashes(),
		"backends", verdict.Backends(), "ends_in_ms", verdict.TimeLeft().Milliseconds())
	w.endUnanswered(now, number, row, "quarantined part", verdict.TimeLeft())
	return true
}

// suspectCrash starts a check of the server on which a request was lost. A request whose
// answer had begun cannot have crashed it.
func (w *World) suspectCrash(row *requestRow) {
	if row.answerBegan || len(row.request.sharedParts) == 0 {
		return
	}
	id := quarantine.NewCrashID(row.backend, row.incarnation)
	check := w.crashChecks.Get(id)
	if check == nil {
		check = w.crashChecks.Put(id, crashCheckRow{})
		w.checkCrash(id, w.server(row.backend).address)
	}
	check.suspects = append(check.suspects, row.request.sharedParts)
}

// endCrashCheck handles the result of a check.
func (w *World) endCrashCheck(id quarantine.CrashID, crashed bool) {
	check := w.crashChecks.Get(id)
	if check == nil {
		return
	}
	w.crashChecks.Remove(id)
	if !crashed {
		return
	}
	event.ServerCrashed.Log(w.logger, "backend", id.Backend(), "incarnation", id.Incarnation(), "suspects", check.suspects)
	w.reportCrash(quarantine.NewCrash(id, 0, check.suspects, nil))
}

// recordBegin records that an answer began. Its parts did not cause the known crashes.
func (w *World) recordBegin(number uint64) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	row.answerBegan = true
	var acquitted []quarantine.Part
	for _, part := range row.request.sharedParts {
		if w.snapshot().Quarantine().Suspect(part) {
			acquitted = append(acquitted, part)
		}
	}
	if len(acquitted) > 0 {
		w.acquit(acquitted)
	}
}
