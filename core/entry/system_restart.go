package entry

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/member"
	"papayaquay/core/quarantine"
)

// mayRunOn reports whether a server may run a request as far as its process is known. A process that
// ended may be back under its id with another software version, before its first announcement. It
// must neither begin nor continue a stream, whose version would be taken to be the earlier one.
func (w *World) mayRunOn(now time.Time, row *requestRow, b member.Backend) bool {
	return !row.request.resumable || !w.ended.Has(now, b)
}

// checkRefusal starts a check of a server to which no connection could be opened.
func (w *World) checkRefusal(row *requestRow) {
	if row.request.resumable {
		w.startCrashCheck(quarantine.NewCrashID(row.backend, row.incarnation), w.server(row.backend).address, w.comparableServers(row))
	}
}

// startCrashCheck starts a check whether the process of a server has ended, unless one is running.
func (w *World) startCrashCheck(id quarantine.CrashID, address string, others []string) *crashCheckRow {
	if check := w.crashChecks.Get(id); check != nil {
		return check
	}
	w.checkCrash(id, address, others)
	return w.crashChecks.Put(id, crashCheckRow{})
}

// checkReportedCrashes checks the servers that crashed as other instances report. That the server
// refuses connections from here too is enough. It also says which suspect parts were sound.
func (w *World) checkReportedCrashes(now time.Time) {
	snapshot := w.snapshot()
	if snapshot == w.checkedSnapshot {
		return
	}
	w.checkedSnapshot = snapshot
	w.reportedCrashes.Each(func(id quarantine.CrashID, _ *struct{}) {
		if !snapshot.Quarantine().Crashed(id) {
			w.reportedCrashes.Remove(id)
		}
	})
	if !snapshot.Quarantine().HasCrashes() {
		return
	}
	w.reportSoundParts(now)
	for _, s := range snapshot.Servers() {
		id := quarantine.NewCrashID(s.Backend().ID(), s.Backend().Incarnation())
		if snapshot.Quarantine().Crashed(id) && w.reportedCrashes.Get(id) == nil {
			w.reportedCrashes.Put(id, struct{}{})
			w.startCrashCheck(id, s.Backend().Address(), nil)
		}
	}
}

// recordEnded records that the process of a server has ended.
func (w *World) recordEnded(now time.Time, id quarantine.CrashID) {
	event.ServerEnded.Log(w.logger, "backend", id.Backend(), "incarnation", id.Incarnation())
	w.ended.Record(now, id.Backend(), id.Incarnation())
}
