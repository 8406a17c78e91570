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
	begun    []quarantine.Prompt // of the requests whose answers had begun
}

// maxComparedServers is the number of other servers that a check asks for a connection.
const maxComparedServers = 2

// comparableServers returns the addresses of servers in the same data centre that are not
// known to have problems. If they refuse connections as well, the link is cut.
func (w *World) comparableServers(row *requestRow) []string {
	dataCentre := w.server(row.backend).dataCentre
	snapshot := w.snapshot()
	var addresses []string
	for _, s := range snapshot.Servers() {
		b := s.Backend()
		if b.ID() == row.backend || b.DataCentre() != dataCentre || s.Stale() || w.failing(b.ID()) ||
			snapshot.Quarantine().Crashed(quarantine.NewCrashID(b.ID(), b.Incarnation())) {
			continue
		}
		if addresses = append(addresses, b.Address()); len(addresses) == maxComparedServers {
			break
		}
	}
	return addresses
}

// failing reports whether the last attempt on a server failed or makes no progress.
func (w *World) failing(id string) bool {
	state := w.servers.Get(id)
	return state != nil && (state.failures > 0 || state.stalled)
}

// rejectQuarantined ends a request with a quarantined part and reports whether it did.
func (w *World) rejectQuarantined(now time.Time, number uint64, row *requestRow) bool {
	rejection, ok := w.snapshot().Quarantine().Rejects(row.request.prompt)
	if !ok {
		return false
	}
	event.QuarantinedRequestRejected.Log(w.logger, "request", row.request.id, "part", string(rejection.Part()), "crashes", rejection.Crashes(),
		"backends", rejection.Backends(), "ends_in_ms", rejection.TimeLeft().Milliseconds())
	w.endUnanswered(now, number, row, "quarantined part", rejection.TimeLeft())
	return true
}

// suspectCrash starts a check of the server on which a request was lost.
func (w *World) suspectCrash(row *requestRow) {
	if len(row.request.prompt) == 0 {
		return
	}
	id := quarantine.NewCrashID(row.backend, row.incarnation)
	check := w.startCrashCheck(id, w.server(row.backend).address, w.comparableServers(row))
	if row.answerBegan {
		check.begun = append(check.begun, row.request.prompt)
		return
	}
	check.suspects = append(check.suspects, row.request.prompt)
}

// endCrashCheck handles the result of a check.
func (w *World) endCrashCheck(now time.Time, id quarantine.CrashID, crashed bool) {
	check := w.crashChecks.Get(id)
	if check == nil {
		return
	}
	w.crashChecks.Remove(id)
	if !crashed {
		return
	}
	w.recordEnded(now, id)
	if len(check.suspects)+len(check.begun) == 0 {
		return
	}
	event.ServerCrashed.Log(w.logger, "backend", id.Backend(), "incarnation", id.Incarnation(), "suspects", check.suspects, "begun", check.begun)
	w.reportCrash(quarantine.NewCrash(id, 0, check.suspects, nil).WithBegun(check.begun))
}

// reportSoundParts reports the suspect parts on which answers came to their end here lately.
func (w *World) reportSoundParts(now time.Time) {
	var sound []quarantine.Part
	w.snapshot().Quarantine().EachUnproven(func(part quarantine.Part) {
		if w.recentParts.Has(now, part) {
			sound = append(sound, part)
		}
	})
	if len(sound) > 0 {
		w.markSound(sound)
	}
}

// recordEnd records that an answer came to its end. Its parts did not cause the known crashes.
func (w *World) recordEnd(now time.Time, row *requestRow) {
	if !row.answerBegan {
		return // a failure, or an answer without content
	}
	w.recentParts.Add(now, row.request.prompt)
	var cleared []quarantine.Part
	for _, part := range row.request.prompt {
		if w.snapshot().Quarantine().Uncleared(part) {
			cleared = append(cleared, part)
		}
	}
	if len(cleared) > 0 {
		w.clearParts(cleared)
	}
}

// recordBegin records that an answer began. Its parts did not cause the known crashes, unless
// they crash servers later in their answers.
func (w *World) recordBegin(now time.Time, number uint64) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	row.answerBegan = true
	w.keepOrigin(now, row)
	if row.believedCrashed {
		w.refute(quarantine.NewCrashID(row.backend, row.incarnation))
	}
	var excluded []quarantine.Part
	for _, part := range row.request.prompt {
		if w.snapshot().Quarantine().Suspect(part) {
			excluded = append(excluded, part)
		}
	}
	if len(excluded) > 0 {
		w.exclude(excluded)
	}
}
