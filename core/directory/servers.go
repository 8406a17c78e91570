package directory

import (
	"time"

	"papayaquay/core/member"
)

// backendRow is the state of a backend server.
type backendRow struct {
	backend          member.Backend
	announcedAt      time.Time // when the last announcement was received
	publishedAt      time.Time // when the row last became part of an update
	changedVersion   uint64    // version of the last change of the row
	refreshedVersion uint64    // version of the last refresh without a change
	stale            bool      // announcements are overdue; see isStale
}

// Announce merges an announcement that a backend server sent to this instance. It
// reports whether the announcement was newer than the known state. A server with
// an older incarnation at the same address is marked as leaving.
func (w *World) Announce(now time.Time, b member.Backend) bool { return w.upsert(now, now, b, true) }

// upsert merges the state of a server that was announced at the time announcedAt,
// to this instance or another one. Changes are published at once. An announcement
// without changes is published if it was received here, but at most once per
// backendRefreshInterval: other instances must learn that the server is still
// available, but do not need every announcement.
func (w *World) upsert(now, announcedAt time.Time, b member.Backend, announcedHere bool) bool {
	row := w.backends.Get(b.ID())
	if row == nil {
		w.markBackendChanged(now, w.backends.Put(b.ID(), backendRow{backend: b, announcedAt: announcedAt}))
		w.urgentVersion = w.version
		w.markOlderAtAddressLeaving(now, b)
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
		w.markOlderAtAddressLeaving(now, merged)
	case announcedHere && now.Sub(row.publishedAt) >= backendRefreshInterval:
		w.version++
		row.publishedAt, row.refreshedVersion = now, w.version
	}
	return true
}

// markBackendChanged adds a row to the next update for all instances.
func (w *World) markBackendChanged(now time.Time, row *backendRow) {
	w.version++
	row.publishedAt, row.changedVersion = now, w.version
}

// markOlderAtAddressLeaving marks the older of two servers with the same address
// as leaving.
func (w *World) markOlderAtAddressLeaving(now time.Time, b member.Backend) {
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

// MarkLeaving marks a server as leaving. It stays leaving until it announces a
// newer incarnation.
func (w *World) MarkLeaving(now time.Time, id string, incarnation uint64) {
	row := w.backends.Get(id)
	if row == nil || row.backend.Incarnation() > incarnation || row.backend.Leaving() {
		return
	}
	row.backend = row.backend.AsLeaving()
	w.markBackendChanged(now, row)
	w.urgentVersion = w.version
}

// Incarnation returns the incarnation of a server, or fallback if the server is
// not in this directory.
func (w *World) Incarnation(id string, fallback uint64) uint64 {
	if row := w.backends.Get(id); row != nil {
		return row.backend.Incarnation()
	}
	return fallback
}

// Backend returns a known backend server by its id.
func (w *World) Backend(id string) (member.Backend, bool) {
	row := w.backends.Get(id)
	if row == nil {
		return member.Backend{}, false
	}
	return row.backend, true
}

// EachBackend calls visit for each known backend server, also for those that take no new work.
func (w *World) EachBackend(visit func(member.Backend)) {
	w.backends.Each(func(_ string, row *backendRow) { visit(row.backend) })
}

// Server is a backend server and whether it is stale.
type Server struct {
	backend member.Backend
	stale   bool
}

// Backend returns the backend server.
func (s Server) Backend() member.Backend { return s.backend }

// Stale reports whether announcements of the server are overdue.
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
