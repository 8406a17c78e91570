package entry

import (
	"time"

	"papayaquay/core/event"
)

// watch finds servers that make no progress with any attempt. They get no
// further requests until bytes come, and attempts there that may be repeated
// go elsewhere.
func (w *World) watch(now time.Time) {
	if now.Before(w.watchDue) {
		return
	}
	w.watchDue = now.Add(watchEvery)
	if w.requests.Len() == 0 && !w.anySuspect() {
		w.watchDue = now.Add(idleWatch)
	}
	elapsed := min(now.Sub(w.watched), 2*watchEvery)
	w.watched = now
	w.forget(now)
	w.requests.Each(func(_ uint64, row *requestRow) {
		if row.backend == "" {
			return
		}
		server := w.server(row.backend)
		quiet := row.watch.Update(min(elapsed, now.Sub(row.sentAt)))
		server.quiet = min(server.quiet, quiet)
		server.alive = server.alive || quiet < row.patience
	})
	w.servers.Each(func(_ string, row *serverRow) {
		silent := row.inFlight > 0 && !row.alive && row.quiet > silentAfter
		if silent && !row.silent {
			row.silent = true
			w.doubt(now, row.zone, doubtful)
		}
		row.silent = silent
	})
	w.requests.Each(func(_ uint64, row *requestRow) { w.giveUpSilent(row) })
	w.servers.Each(func(id string, row *serverRow) {
		if row.suspect && !row.probing && !now.Before(row.paused) {
			row.probing = true
			w.probe(id, row.address)
		}
	})
}

// forget drops the rows of servers that are not used any more or gone.
func (w *World) forget(now time.Time) {
	known := make(map[string]bool)
	for _, s := range w.snapshot().Servers() {
		known[s.Backend().ID()] = true
	}
	w.servers.Each(func(id string, row *serverRow) {
		row.quiet, row.alive = now.Sub(row.loadAt), false
		if row.inFlight == 0 && (!known[id] || (!row.suspect && now.After(row.paused) && min(row.quiet, now.Sub(row.usedAt)) > forgetAfter)) {
			w.servers.Remove(id)
		}
	})
}

// doubtful is the number of servers of another data centre in trouble at which
// the others there are probed.
const doubtful = 2

// doubt has all servers of another data centre probed once so many of them are
// in trouble: a cut between data centres would cost a request for each
// otherwise.
func (w *World) doubt(now time.Time, zone string, enough int) {
	if zone == w.zone || now.Sub(w.doubted[zone]) < doubtPause {
		return
	}
	troubled := 0
	w.servers.Each(func(_ string, row *serverRow) {
		if row.zone == zone && (row.silent || row.suspect) {
			troubled++
		}
	})
	if troubled < enough {
		return
	}
	w.doubted[zone] = now
	for _, s := range w.snapshot().Servers() {
		if b := s.Backend(); b.DataCentre() == zone {
			row := w.server(b.ID())
			row.suspect, row.address, row.zone = true, b.Address(), zone
		}
	}
}

// giveUpSilent ends an attempt at a silent server that may be repeated.
func (w *World) giveUpSilent(row *requestRow) {
	if row.backend == "" || row.left || !row.request.repeatable || row.runs+1 >= row.request.attempts {
		return
	}
	if !row.request.resumable && !row.headAt.IsZero() {
		return // a part of the answer is with the caller
	}
	server := w.server(row.backend)
	if !server.silent || server.quiet < abandonAfter {
		return
	}
	event.AttemptFailed.Log(w.logger, "request", row.request.id, "backend", row.backend, "end", "abandoned",
		"quiet_ms", server.quiet.Milliseconds())
	row.left = true
	row.abandon()
}

// avoided reports whether a server is left out while there are others.
func (w *World) avoided(now time.Time, id string) bool {
	row := w.servers.Get(id)
	return row != nil && (row.silent || row.suspect || now.Before(row.paused))
}

// anySuspect reports whether a server waits for a probe.
func (w *World) anySuspect() bool {
	found := false
	w.servers.Each(func(_ string, row *serverRow) { found = found || row.suspect })
	return found
}
