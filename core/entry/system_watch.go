package entry

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/usage"
)

// watch detects stalled servers, on which no attempt makes progress. They get no
// further requests until bytes arrive, and retryable attempts on them are
// abandoned and sent to other servers. It also starts probes of ejected servers.
func (w *World) watch(now time.Time) {
	if now.Before(w.nextWatch) {
		return
	}
	w.nextWatch = now.Add(watchInterval)
	if w.requests.Len() == 0 && !w.anyEjected() {
		w.nextWatch = now.Add(idleWatchInterval)
	}
	elapsed := min(now.Sub(w.lastWatch), 2*watchInterval)
	w.lastWatch = now
	w.removeUnused(now)
	w.inFlightChanged = w.inFlightChanged || w.anyLimited(now)
	w.requests.Each(func(_ uint64, row *requestRow) {
		if row.backend == "" {
			return
		}
		server := w.server(row.backend)
		idleFor := row.idle.Update(min(elapsed, now.Sub(row.sentAt)))
		server.idleFor = min(server.idleFor, idleFor)
		server.progressing = server.progressing || idleFor < row.stallTimeout
	})
	w.servers.Each(func(_ string, row *serverRow) {
		stalled := row.inFlight > 0 && !row.progressing && row.idleFor > stalledAfter
		if stalled && !row.stalled {
			row.stalled = true
			w.probeDataCentre(now, row.dataCentre, failingThreshold)
		}
		row.stalled = stalled
	})
	w.requests.Each(func(_ uint64, row *requestRow) { w.abandonStalled(row) })
	w.servers.Each(func(id string, row *serverRow) {
		if row.ejected && !row.probing && !now.Before(row.pausedUntil) {
			row.probing = true
			w.probe(id, row.address)
		}
	})
}

// removeUnused deletes the rows of servers that are no longer listed or have not
// been used for unusedAfter. It also resets the progress of the remaining rows,
// which watch then measures again.
func (w *World) removeUnused(now time.Time) {
	known := make(map[string]bool)
	for _, s := range w.snapshot().Servers() {
		known[s.Backend().ID()] = true
	}
	w.servers.Each(func(id string, row *serverRow) {
		row.idleFor, row.progressing = now.Sub(row.loadAt), false
		if row.inFlight == 0 && (!known[id] || row.isUnused(now)) {
			w.servers.Remove(id)
		}
	})
}

// isUnused reports whether a server without requests was not used for unusedAfter and
// nothing must be remembered about it.
func (r *serverRow) isUnused(now time.Time) bool {
	if r.ejected || now.Before(r.pausedUntil) || r.knownLimit.PerSecond() > 0 || r.leaving != 0 {
		return false
	}
	return min(r.idleFor, now.Sub(r.lastAnswerAt)) > unusedAfter
}

// failingThreshold is the number of stalled or ejected servers in another data
// centre at which all servers there are probed.
const failingThreshold = 2

// probeDataCentre ejects and probes all servers of another data centre if at
// least threshold of them are stalled or ejected. Otherwise a network partition
// between data centres would cost one failed request per server.
func (w *World) probeDataCentre(now time.Time, dataCentre string, threshold int) {
	if dataCentre == w.dataCentre || now.Sub(w.dataCentreProbedAt[dataCentre]) < dataCentreProbePause {
		return
	}
	failing := 0
	w.servers.Each(func(_ string, row *serverRow) {
		if row.dataCentre == dataCentre && (row.stalled || row.ejected) {
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
			row.ejected, row.address, row.dataCentre = true, b.Address(), dataCentre
		}
	}
}

// abandonStalled abandons the current attempt of a request if its server is
// stalled and the request may be retried.
func (w *World) abandonStalled(row *requestRow) {
	if row.backend == "" || row.abandoned || !row.request.retryable || row.startedAttempts+1 >= row.request.maxAttempts {
		return
	}
	if !row.request.resumable && !row.headerAt.IsZero() {
		return // a part of the answer was sent to the caller
	}
	server := w.server(row.backend)
	if !server.stalled || server.idleFor < abandonAfter {
		return
	}
	event.AttemptFailed.Log(w.logger, "request", row.request.id, "backend", row.backend, "end", "abandoned",
		"quiet_ms", server.idleFor.Milliseconds())
	row.abandoned = true
	row.abandon()
}

// avoided reports whether a server is stalled, ejected or paused. It is used only
// if no other server is available.
func (w *World) avoided(now time.Time, id string) bool {
	row := w.servers.Get(id)
	return row != nil && (row.stalled || row.ejected || now.Before(row.pausedUntil))
}

// anyLimited reports whether the use of a limit is to be reported. It changes with time.
func (w *World) anyLimited(now time.Time) bool {
	found := false
	w.servers.Each(func(_ string, row *serverRow) {
		found = found || (!row.limitedAt.IsZero() && now.Sub(row.limitedAt) < usage.LimitMaxAge)
	})
	return found
}

// anyEjected reports whether any server is ejected.
func (w *World) anyEjected() bool {
	found := false
	w.servers.Each(func(_ string, row *serverRow) { found = found || row.ejected })
	return found
}
