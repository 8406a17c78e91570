package runner

import (
	"time"

	"papayaquay/core/event"
)

// Timeouts of attempts without new bytes. A connection can stay open forever although
// no more bytes arrive.
const (
	idleCheckInterval = 250 * time.Millisecond
	firstByteTimeout  = 3 * time.Second         // longer than idleTimeout, since the item may wait for a slot on the server
	idleTimeout       = 1500 * time.Millisecond // between reads
)

// stopStalled stops the attempts that receive no bytes, so that their items resume on
// other servers. A half-open server from which bytes arrive works again. The time since the
// previous check is limited, so that attempts do not count as stalled after this instance
// was suspended.
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
