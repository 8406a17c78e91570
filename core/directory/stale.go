package directory

import "time"

// staleSet holds the servers that one instance calls silent, with the times from
// which that counts.
type staleSet map[string]time.Time

// isStale reports whether no announcement of a server came for long: by own
// judgement where announcements are heard, elsewhere if all instances that tell
// of servers agree.
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

// updateStale tells others of servers that fall silent or come back, and forgets those
// that were silent for long.
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

// removeBackend removes a server.
func (w *World) removeBackend(id string) {
	w.backends.Remove(id)
	w.version++
	for _, s := range w.staleSets {
		delete(s, id)
	}
}

// mergeStale keeps which servers another instance calls silent. Those that it
// does not know may not have announced themselves yet after its restart.
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

// RemoveUpstream drops what an instance that is not followed any more said of silence.
func (w *World) RemoveUpstream(epoch uint64) { delete(w.staleSets, epoch) }
