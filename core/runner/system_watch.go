package runner

import (
	"time"

	"papayaquay/core/event"
)

// Bounds on the silence of a server that runs an item. A connection can stay
// open for good although nothing comes any more.
const (
	watchEvery  = 250 * time.Millisecond
	silentFirst = 3 * time.Second         // before the first bytes: the item may wait for a slot
	silentNext  = 1500 * time.Millisecond // between bytes
)

// watch stops the attempts of which nothing comes; their items go on elsewhere. A
// server of which bytes come works.
func (w *World) watch(now time.Time) {
	if now.Before(w.watchAt) {
		return
	}
	elapsed := min(now.Sub(w.watchAt)+watchEvery, 2*watchEvery)
	w.watchAt = now.Add(watchEvery)
	w.running.Each(func(number uint64, row *runningRow) {
		quiet := row.watch.Update(min(elapsed, now.Sub(row.started)))
		bound := silentNext
		switch {
		case !row.watch.HasRead():
			bound = silentFirst
		case quiet == 0 && w.doubtful(row.backend):
			w.pauses.Remove(row.backend)
		}
		if quiet < bound || row.stopping {
			return
		}
		event.ItemStalled.Log(w.logger, "job", row.key.job, "item", row.key.item, "backend", row.backend,
			"quiet_ms", quiet.Milliseconds(), "ran_ms", now.Sub(row.started).Milliseconds())
		row.silent = true
		w.halt(number, row)
	})
}
