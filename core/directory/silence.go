package directory

import "time"

// silence holds the servers that one instance calls silent, with the times from
// which that counts.
type silence map[string]time.Time

// isSilent reports whether no announcement of a server came for long: by own
// judgement where announcements are heard, elsewhere if all instances that tell
// of servers agree.
func (w *World) isSilent(now time.Time, id string, row *backendRow) bool {
	if w.hears {
		return now.Sub(row.heard) > silentAfter
	}
	for _, s := range w.silences {
		if from, ok := s[id]; !ok || now.Before(from) {
			return false
		}
	}
	return len(w.silences) > 0
}

// watch tells others of servers that fall silent or come back, and forgets those
// that were silent for long.
func (w *World) watch(now time.Time) {
	w.backends.Each(func(id string, row *backendRow) {
		silent := w.isSilent(now, id, row)
		if !w.hears && !silent {
			row.heard = now
		}
		if now.Sub(row.heard) > backendExpiry {
			w.forget(id)
			return
		}
		if silent != row.silent {
			row.silent = silent
			w.change(now, row)
		}
	})
}

// forget removes a server.
func (w *World) forget(id string) {
	w.backends.Remove(id)
	w.version++
	for _, s := range w.silences {
		delete(s, id)
	}
}

// takeSilence keeps which servers another instance calls silent. Those that it
// does not know may not have announced themselves yet after its restart.
func (w *World) takeSilence(now time.Time, u Update) {
	s := w.silences[u.epoch]
	if s == nil || u.full {
		s = make(silence)
		w.silences[u.epoch] = s
		w.backends.Each(func(id string, _ *backendRow) { s[id] = now.Add(silentAfter) })
	}
	for _, b := range u.backends {
		delete(s, b.ID())
	}
	for _, id := range u.stale {
		s[id] = now
	}
}

// RemoveUpstream drops what an instance that is not followed any more said of silence.
func (w *World) RemoveUpstream(epoch uint64) { delete(w.silences, epoch) }
