package directory

import "time"

// staleSet contains the ids of the servers that one upstream reports as stale,
// each with the time from which the report counts.
type staleSet map[string]time.Time

// isStale reports whether announcements of a server are overdue. A directory that
// detects stale servers uses the time of the last announcement. Other directories
// treat a server as stale if all upstreams report it as stale.
func (w *World) isStale(now time.Time, id string, row *backendRow) bool {
	if w.detectsStale {
		return now.Sub(row.announcedAt) > staleAfter
	}
	for _, s := range w.staleSets {
		if from, ok := s[id]; !ok || now.Before(from) {
			return false
		}
	}
	return len(w.staleSets) > 0
}

// updateStale publishes servers that became stale or were announced again, and
// removes servers that have been stale for backendExpiry.
func (w *World) updateStale(now time.Time) {
	w.backends.Each(func(id string, row *backendRow) {
		stale := w.isStale(now, id, row)
		if !w.detectsStale && !stale {
			row.announcedAt = now
		}
		if now.Sub(row.announcedAt) > backendExpiry {
			w.removeBackend(id)
			return
		}
		if stale != row.stale {
			row.stale = stale
			w.markBackendChanged(now, row)
		}
	})
}

// removeBackend removes a server from the directory and from all stale sets.
func (w *World) removeBackend(id string) {
	w.backends.Remove(id)
	w.version++
	for _, s := range w.staleSets {
		delete(s, id)
	}
}

// mergeStale updates the set of servers that an upstream reports as stale. After
// a full update, servers that the update does not contain count as stale only
// after staleAfter: the upstream may have restarted, and the servers may not have
// announced themselves to it yet.
func (w *World) mergeStale(now time.Time, u Update) {
	s := w.staleSets[u.epoch]
	if s == nil || u.full {
		s = make(staleSet)
		w.staleSets[u.epoch] = s
		w.backends.Each(func(id string, _ *backendRow) { s[id] = now.Add(staleAfter) })
	}
	for _, b := range u.backends {
		delete(s, b.ID())
	}
	for _, id := range u.stale {
		s[id] = now
	}
}

// RemoveUpstream deletes the stale set of an upstream that is no longer polled.
// epoch is the epoch of its updates.
func (w *World) RemoveUpstream(epoch uint64) { delete(w.staleSets, epoch) }
