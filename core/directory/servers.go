package directory

import (
	"time"

	"papayaquay/core/member"
)

// backendRow is what is known of a backend server.
type backendRow struct {
	backend   member.Backend
	heard     time.Time // last announcement
	told      time.Time // last change or refresh
	changed   uint64    // version of the last change
	refreshed uint64    // version of the last announcement that was passed on
	silent    bool      // no announcement for long, where announcements are heard
}

// Announce takes what a backend server says of itself here and reports whether
// it was newer than what was known. A server of an older start at the same
// address is gone.
func (w *World) Announce(now time.Time, b member.Backend) bool { return w.accept(now, now, b, true) }

// accept takes a server that was heard at some time, here or elsewhere. What
// only repeats an earlier announcement is passed on if it was heard here, now and
// then: others must see that the server is there, but need not see each time.
func (w *World) accept(now, heard time.Time, b member.Backend, here bool) bool {
	row := w.backends.Get(b.ID())
	if row == nil {
		w.change(now, w.backends.Put(b.ID(), backendRow{backend: b, heard: heard}))
		w.urgentVersion = w.version
		w.vacate(now, b)
		return true
	}
	merged := row.backend.Merge(b)
	changed := merged.DiffersFrom(row.backend)
	if !changed && merged.Incarnation() == row.backend.Incarnation() && merged.Sequence() == row.backend.Sequence() {
		return false
	}
	row.backend, row.heard = merged, heard
	switch {
	case changed:
		w.change(now, row)
		w.urgentVersion = w.version
		w.vacate(now, merged)
	case here && now.Sub(row.told) >= serverRefresh:
		w.version++
		row.told, row.refreshed = now, w.version
	}
	return true
}

// change makes a row part of the next update to everyone.
func (w *World) change(now time.Time, row *backendRow) {
	w.version++
	row.told, row.changed = now, w.version
}

// vacate drops servers that held the address of a newer one before.
func (w *World) vacate(now time.Time, b member.Backend) {
	w.backends.Each(func(id string, row *backendRow) {
		if id == b.ID() || row.backend.Address() != b.Address() || row.backend.Gone() {
			return
		}
		older, incarnation := row, row.backend.Incarnation()
		if incarnation > b.Incarnation() {
			older = w.backends.Get(b.ID())
		}
		older.backend = older.backend.AsLeaving()
		w.change(now, older)
	})
}

// MarkLeaving marks a server as leaving for good within an incarnation.
func (w *World) MarkLeaving(now time.Time, id string, incarnation uint64) {
	row := w.backends.Get(id)
	if row == nil || row.backend.Incarnation() > incarnation || row.backend.Leaving() {
		return
	}
	row.backend = row.backend.AsLeaving()
	w.change(now, row)
	w.urgentVersion = w.version
}

// Incarnation returns the known start of a server, or the default for one that
// is not known here.
func (w *World) Incarnation(id string, unknown uint64) uint64 {
	if row := w.backends.Get(id); row != nil {
		return row.backend.Incarnation()
	}
	return unknown
}

// Server is a backend server with what this instance knows of its silence.
type Server struct {
	backend member.Backend
	stale   bool
}

// Backend returns the server.
func (s Server) Backend() member.Backend { return s.backend }

// Stale reports that no announcement came for long.
func (s Server) Stale() bool { return s.stale }

// Servers returns the backend servers that may take new work.
func (w *World) Servers(now time.Time) []Server {
	var servers []Server
	w.backends.Each(func(id string, row *backendRow) {
		if !row.backend.Leaving() && !row.backend.Gone() {
			servers = append(servers, Server{backend: row.backend, stale: w.isSilent(now, id, row)})
		}
	})
	return servers
}
