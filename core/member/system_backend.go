package member

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Announce handles an announcement that a backend server sent to this instance.
// It spreads changes as rumors and forwards every announcement to the server's
// monitor, which decides whether the server is gone.
func (w *World) Announce(now time.Time, b Backend) {
	monitor := w.monitorOf(b.id)
	if monitor == w.self.name {
		w.recordAnnouncement(now, b)
		return
	}
	w.mergeBackend(now, b, false)
	w.messages = append(w.messages, NewMessage(MessageAnnounce, w.self.name, monitor, WithRows(nil, []Backend{b})))
}

// monitorOf returns the instance of this data centre that monitors a backend
// server: the alive instance with the highest rendezvous hash.
func (w *World) monitorOf(id string) string {
	monitor, best := w.self.name, xxhash.Sum64String(w.self.name+"\x00"+id)
	w.instances.Each(func(name string, row *instanceRow) {
		if row.instance.dataCentre != w.self.dataCentre || row.instance.state != StateAlive || row.seed {
			return
		}
		if weight := xxhash.Sum64String(name + "\x00" + id); weight > best {
			monitor, best = name, weight
		}
	})
	return monitor
}

// recordAnnouncement stores an announcement at the server's monitor. The
// monitor spreads an unchanged server once per refreshPeriod.
func (w *World) recordAnnouncement(now time.Time, b Backend) {
	w.mergeBackend(now, b, false)
	row := w.backends.Get(b.id)
	row.announcedAt = now
	if now.Sub(row.rumoredAt) > w.refreshPeriod() {
		row.rumoredAt = now
		w.startRumor(rumorKey{backend: true, id: b.id}, true)
	}
}

// refreshPeriod returns the time between rumors of an unchanged server. It
// grows with the number of servers, so that the rumors of all of them stay
// within refreshBytesPerSecond.
func (w *World) refreshPeriod() time.Duration {
	copies := 1 + bits.Len(uint(w.localInstances))
	needed := float64(w.localBackends*copies*backendRowBytes) / refreshBytesPerSecond
	return max(refreshInterval, time.Duration(needed*float64(time.Second)))
}

// mergeBackend merges a row into the table. A change spreads to all instances.
// If forward is true, a newer announcement without a change spreads within the data
// centre, at most once per half refreshPeriod.
func (w *World) mergeBackend(now time.Time, b Backend, forward bool) {
	row := w.backends.Get(b.id)
	if row == nil {
		w.backends.Put(b.id, backendRow{backend: b, updatedAt: now, rumoredAt: now})
		w.startRumor(rumorKey{backend: true, id: b.id}, false)
		w.version++
		return
	}
	merged := row.backend.Merge(b)
	newer := merged.sequence > row.backend.sequence || merged.incarnation > row.backend.incarnation
	changed := merged.DiffersFrom(row.backend)
	row.backend = merged
	if newer {
		row.updatedAt = now
	}
	switch {
	case changed:
		row.rumoredAt = now
		w.startRumor(rumorKey{backend: true, id: b.id}, false)
		w.version++
	case newer && forward && now.Sub(row.rumoredAt) > w.refreshPeriod()/2:
		row.rumoredAt = now
		w.startRumor(rumorKey{backend: true, id: b.id}, true)
		w.version++
	}
}

// checkBackends marks the servers that this instance monitors as gone if they
// have not announced themselves within backendTimeout. A new monitor waits for
// the whole timeout again. Servers that have been gone for deadRetention are
// removed.
func (w *World) checkBackends(now time.Time) {
	if now.Before(w.backendCheckDue) {
		return
	}
	w.backendCheckDue = now.Add(w.probeInterval)
	w.localBackends = 0
	w.backends.Each(func(id string, row *backendRow) {
		if row.backend.dataCentre == w.self.dataCentre && !row.backend.gone {
			w.localBackends++
		}
		switch {
		case row.backend.gone:
			if now.Sub(row.updatedAt) > deadRetention {
				w.backends.Remove(id)
				w.version++
			}
		case row.backend.dataCentre != w.self.dataCentre || w.monitorOf(id) != w.self.name:
			row.announcedAt = time.Time{}
		case row.announcedAt.IsZero():
			row.announcedAt = now
		case now.Sub(row.announcedAt) > backendTimeout:
			row.backend.gone = true
			w.startRumor(rumorKey{backend: true, id: id}, false)
			w.version++
		}
	})
}
