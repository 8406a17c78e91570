package entry

import (
	"time"

	"papayaquay/core/event"
)

// darkZone is the number of silent servers at which another data centre is
// taken to be out of reach.
const darkZone = 2

// watch finds servers that make no progress with any attempt. They get no
// further requests until bytes come, and attempts there that may be repeated
// go elsewhere.
func (w *World) watch(now time.Time) {
	if now.Before(w.watchDue) {
		return
	}
	w.watchDue = now.Add(watchEvery)
	w.servers.Each(func(id string, row *serverRow) {
		row.quiet = now.Sub(row.loadAt)
		if row.inFlight == 0 && row.failures == 0 && now.After(row.paused) && row.quiet > maxPause {
			w.servers.Remove(id)
		}
	})
	w.requests.Each(func(_ uint64, row *requestRow) {
		if row.backend != "" {
			server := w.server(row.backend)
			server.quiet = min(server.quiet, row.progress.since(now, row.sentAt))
		}
	})
	clear(w.dark)
	w.servers.Each(func(_ string, row *serverRow) {
		row.silent = row.inFlight > 0 && row.quiet > silentAfter
		if row.silent {
			w.dark[row.zone]++
		}
	})
	w.requests.Each(func(_ uint64, row *requestRow) { w.giveUpSilent(row) })
}

// giveUpSilent ends an attempt at a silent server that may be repeated.
func (w *World) giveUpSilent(row *requestRow) {
	if row.backend == "" || row.left || !row.request.repeatable || row.runs+1 >= row.request.attempts {
		return
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
func (w *World) avoided(now time.Time, id, zone string) bool {
	if zone != w.zone && w.dark[zone] >= darkZone {
		return true
	}
	row := w.servers.Get(id)
	return row != nil && (row.silent || now.Before(row.paused))
}
