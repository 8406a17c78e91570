package runner

import (
	"time"

	"papayaquay/core/event"
)

// Bounds on the silence of a server that runs an item. A connection can stay
// open for good although nothing comes any more.
const (
	idleCheckInterval = 250 * time.Millisecond
	firstByteTimeout  = 3 * time.Second         // before the first bytes: the item may wait for a slot
	idleTimeout       = 1500 * time.Millisecond // between bytes
)

// stopStalled stops the attempts of which nothing comes; their items go on elsewhere. A
// server of which bytes come works.
func (w *World) stopStalled(now time.Time) {
	if now.Before(w.nextIdleCheck) {
		return
	}
	elapsed := min(now.Sub(w.nextIdleCheck)+idleCheckInterval, 2*idleCheckInterval)
	w.nextIdleCheck = now.Add(idleCheckInterval)
	w.running.Each(func(number uint64, row *runningRow) {
		idle := row.idleTimer.Update(min(elapsed, now.Sub(row.started)))
		timeout := idleTimeout
		switch {
		case !row.idleTimer.HasRead():
			timeout = firstByteTimeout
		case idle == 0 && w.isHalfOpen(row.backend):
			w.backoffs.Remove(row.backend)
		}
		if idle < timeout || row.stopping {
			return
		}
		event.ItemStalled.Log(w.logger, "job", row.key.job, "item", row.key.item, "backend", row.backend,
			"quiet_ms", idle.Milliseconds(), "ran_ms", now.Sub(row.started).Milliseconds())
		row.stalled = true
		w.requestStop(number, row)
	})
}
