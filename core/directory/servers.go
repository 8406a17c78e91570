package directory

import (
	"time"

	"papayaquay/core/member"
)

// backendRow is what is known of a backend server.
type backendRow struct {
	backend          member.Backend
	announcedAt      time.Time // last announcement
	publishedAt      time.Time // last change or refresh
	changedVersion   uint64    // version of the last change
	refreshedVersion uint64    // version of the last announcement that was passed on
	stale            bool      // no announcement for long, where announcements are heard
}

// Announce takes what a backend server says of itself here and reports whether
// it was newer than what was known. A server of an older start at the same
// address is gone.
func (w *World) Announce(now time.Time, b member.Backend) bool { return w.upsert(now, now, b, true) }

// upsert takes a server that was heard at some time, here or elsewhere. What
// only repeats an earlier announcement is passed on if it was heard here, now and
// then: others must see that the server is there, but need not see each time.
func (w *World) upsert(now, announcedAt time.Time, b member.Backend, announcedHere bool) bool {
	row := w.backends.Get(b.ID())
	if row == nil {
		w.markBackendChanged(now, w.backends.Put(b.ID(), backendRow{backend: b, announcedAt: announcedAt}))
		w.urgentVersion = w.version
		w.retireOlderAtAddress(now, b)
		return true
	}
	merged := row.backend.Merge(b)
	changed := merged.DiffersFrom(row.backend)
	if !changed && merged.Incarnation() == row.backend.Incarnation() && merged.Sequence() == row.backend.Sequence() {
		return false
	}
	row.backend, row.announcedAt = merged, announcedAt
	switch {
	case changed:
		w.markBackendChanged(now, row)
		w.urgentVersion = w.version
		w.retireOlderAtAddress(now, merged)
	case announcedHere && now.Sub(row.publishedAt) >= backendRefreshInterval:
		w.version++
		row.publishedAt, row.refreshedVersion = now, w.version
	}
	return true
}

// markBackendChanged makes a row part of the next update to everyone.
func (w *World) markBackendChanged(now time.Time, row *backendRow) {
	w.version++
	row.publishedAt, row.changedVersion = now, w.version
}

// retireOlderAtAddress drops servers that held the address of a newer one before.
func (w *World) retireOlderAtAddress(now time.Time, b member.Backend) {
	w.backends.Each(func(id string, row *backendRow) {
		if id == b.ID() || row.backend.Address() != b.Address() || row.backend.Gone() {
			return
		}
		older, incarnation := row, row.backend.Incarnation()
		if incarnation > b.Incarnation() {
			older = w.backends.Get(b.ID())
		}
		older.backend = older.backend.AsLeaving()
		w.markBackendChanged(now, older)
	})
}

// MarkLeaving marks a server as leaving for good within an incarnation.
func (w *World) MarkLeaving(now time.Time, id string, incarnation uint64) {
	row := w.backends.Get(id)
	if row == nil || row.backend.Incarnation() > incarnation || row.backend.Leaving() {
		return
	}
	row.backend = row.backend.AsLeaving()
	w.markBackendChanged(now, row)
	w.urgentVersion = w.version
}

// Incarnation returns the known start of a server, or the default for one that
// is not known here.
func (w *World) Incarnation(id string, fallback uint64) uint64 {
	if row := w.backends.Get(id); row != nil {
		return row.backend.Incarnation()
	}
	return fallback
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
			servers = append(servers, Server{backend: row.backend, stale: w.isStale(now, id, row)})
		}
	})
	return servers
}
