package runner

import (
	"time"

	"papayaquay/core/event"
)

// preempt stops items on servers that have more online requests and items than slots.
func (w *World) preempt(now time.Time) {
	var stopping map[string]int
	for _, s := range w.servers {
		id := s.Backend().ID()
		excess := w.onlineRequests(id) + w.runningItems[id] - s.Backend().Slots()
		if excess <= 0 || w.runningItems[id] == 0 {
			continue
		}
		if stopping == nil {
			stopping = w.stoppingCounts()
		}
		for n := stopping[id]; n < excess && w.preemptOne(now, id); n++ {
		}
	}
}

// stoppingCounts returns the number of attempts that are being stopped, by server.
func (w *World) stoppingCounts() map[string]int {
	counts := make(map[string]int)
	w.running.Each(func(_ uint64, row *runningRow) {
		if row.stopping {
			counts[row.backend]++
		}
	})
	return counts
}

// preemptOne stops one attempt on a server: an attempt that is expected to be late in
// any case, otherwise the one with the latest due time. It reports false if the server
// has no attempt to stop.
func (w *World) preemptOne(now time.Time, backend string) bool {
	victimNumber := uint64(0)
	var victim *runningRow
	w.running.Each(func(number uint64, row *runningRow) {
		if row.backend == backend && !row.stopping && (victim == nil || w.isBetterVictim(now, row, victim)) {
			victimNumber, victim = number, row
		}
	})
	if victim == nil {
		return false
	}
	event.ItemPreempted.Log(w.logger, "job", victim.key.job, "item", victim.key.item, "backend", backend,
		"online", w.onlineRequests(backend), "batch", w.runningItems[backend], "tokens", victim.tokens, "event_expected", w.expectedEvent(now, victim),
		"ran_ms", now.Sub(victim.started).Milliseconds())
	w.preemptedAt.Put(backend, now)
	w.requestStop(victimNumber, victim)
	return true
}

// isBetterVictim reports whether an attempt should be preempted before another one.
func (w *World) isBetterVictim(now time.Time, row, other *runningRow) bool {
	job, otherJob := w.jobs.Get(row.key.job), w.jobs.Get(other.key.job)
	if job == nil || otherJob == nil {
		return job == nil
	}
	late := w.estimate.isLate(now, job.due, w.expectedEvent(now, row))
	otherLate := w.estimate.isLate(now, otherJob.due, w.expectedEvent(now, other))
	if late != otherLate {
		return late
	}
	return job.due.After(otherJob.due)
}
