package entry

import (
	"time"

	"papayaquay/core/event"
)

// watch finds servers that make no progress with any attempt. They get no
// further requests until bytes come, and attempts there that may be repeated
// go elsewhere.
func (w *World) watch(now time.Time) {
	if now.Before(w.nextWatch) {
		return
	}
	w.nextWatch = now.Add(watchInterval)
	if w.requests.Len() == 0 && !w.anySuspect() {
		w.nextWatch = now.Add(idleWatchInterval)
	}
	elapsed := min(now.Sub(w.lastWatch), 2*watchInterval)
	w.lastWatch = now
	w.removeUnused(now)
	w.requests.Each(func(_ uint64, row *requestRow) {
		if row.backend == "" {
			return
		}
		server := w.server(row.backend)
		quietFor := row.watch.Look(min(elapsed, now.Sub(row.sentAt)))
		server.quietFor = min(server.quietFor, quietFor)
		server.progressing = server.progressing || quietFor < row.stallTimeout
	})
	w.servers.Each(func(_ string, row *serverRow) {
		stalled := row.inFlight > 0 && !row.progressing && row.quietFor > stalledAfter
		if stalled && !row.stalled {
			row.stalled = true
			w.probeDataCentre(now, row.dataCentre, failingThreshold)
		}
		row.stalled = stalled
	})
	w.requests.Each(func(_ uint64, row *requestRow) { w.abandonStalled(row) })
	w.servers.Each(func(id string, row *serverRow) {
		if row.suspect && !row.probing && !now.Before(row.pausedUntil) {
			row.probing = true
			w.probe(id, row.address)
		}
	})
}

// removeUnused drops the rows of servers that are not used any more or gone.
func (w *World) removeUnused(now time.Time) {
	known := make(map[string]bool)
	for _, s := range w.snapshot().Servers() {
		known[s.Backend().ID()] = true
	}
	w.servers.Each(func(id string, row *serverRow) {
		row.quietFor, row.progressing = now.Sub(row.loadAt), false
		if row.inFlight == 0 && (!known[id] || (!row.suspect && now.After(row.pausedUntil) && min(row.quietFor, now.Sub(row.lastAnswerAt)) > unusedAfter)) {
			w.servers.Remove(id)
		}
	})
}

// failingThreshold is the number of servers of another data centre in trouble at which
// the others there are probed.
const failingThreshold = 2

// probeDataCentre has all servers of another data centre probed once so many of them are
// in trouble: a cut between data centres would cost a request for each
// otherwise.
func (w *World) probeDataCentre(now time.Time, dataCentre string, threshold int) {
	if dataCentre == w.dataCentre || now.Sub(w.dataCentreProbedAt[dataCentre]) < dataCentreProbePause {
		return
	}
	failing := 0
	w.servers.Each(func(_ string, row *serverRow) {
		if row.dataCentre == dataCentre && (row.stalled || row.suspect) {
			failing++
		}
	})
	if failing < threshold {
		return
	}
	w.dataCentreProbedAt[dataCentre] = now
	for _, s := range w.snapshot().Servers() {
		if b := s.Backend(); b.DataCentre() == dataCentre {
			row := w.server(b.ID())
			row.suspect, row.address, row.dataCentre = true, b.Address(), dataCentre
		}
	}
}

// abandonStalled ends an attempt at a silent server that may be repeated.
func (w *World) abandonStalled(row *requestRow) {
	if row.backend == "" || row.abandoned || !row.request.retryable || row.runs+1 >= row.request.maxAttempts {
		return
	}
	if !row.request.resumable && !row.headerAt.IsZero() {
		return // a part of the answer is with the caller
	}
	server := w.server(row.backend)
	if !server.stalled || server.quietFor < abandonAfter {
		return
	}
	event.AttemptFailed.Log(w.logger, "request", row.request.id, "backend", row.backend, "end", "abandoned",
		"quiet_ms", server.quietFor.Milliseconds())
	row.abandoned = true
	row.abandon()
}

// avoided reports whether a server is left out while there are others.
func (w *World) avoided(now time.Time, id string) bool {
	row := w.servers.Get(id)
	return row != nil && (row.stalled || row.suspect || now.Before(row.pausedUntil))
}

// anySuspect reports whether a server waits for a probe.
func (w *World) anySuspect() bool {
	found := false
	w.servers.Each(func(_ string, row *serverRow) { found = found || row.suspect })
	return found
}
