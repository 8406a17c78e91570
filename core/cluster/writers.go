package cluster

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/member"
	"papayaquay/core/table"
)

// writerRetention is the time for which it counts that a server sent a whole announcement.
const writerRetention = time.Minute

// writerRow is a server that sent a whole announcement to this instance.
type writerRow struct {
	address string
	at      time.Time
}

// writers holds the servers that send whole announcements.
type writers struct {
	rows       *table.Table[string, writerRow] // by server
	nextExpiry time.Time
}

// newWriters returns an empty table.
func newWriters() *writers { return &writers{rows: table.New[string, writerRow]()} }

// record records a whole announcement. Now and then it removes old ones.
func (t *writers) record(now time.Time, b member.Backend) {
	t.rows.Put(b.ID(), writerRow{address: b.Address(), at: now})
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(writerRetention)
	t.rows.Each(func(id string, row *writerRow) {
		if now.Sub(row.at) > writerRetention {
			t.rows.Remove(id)
		}
	})
}

// has reports whether a server with the id of an announcement, or at its address, sends whole ones.
func (t *writers) has(now time.Time, b member.Backend) bool {
	found := false
	t.rows.Each(func(id string, row *writerRow) {
		found = found || ((id == b.ID() || row.address == b.Address()) && now.Sub(row.at) <= writerRetention)
	})
	return found
}

// rejectPartial reports whether an announcement that lacks a field comes from another writer than the
// server, which sends whole ones, and logs it.
func (w *World) rejectPartial(now time.Time, b member.Backend) bool {
	switch {
	case len(b.Services()) == 0:
		return false // a deregistration
	case !b.Partial():
		w.writers.record(now, b)
		return false
	case !w.writers.has(now, b):
		return false
	}
	event.AnnouncementRejected.Log(w.logger, "backend", b.ID(), "error", "a field is missing, and the server there sends all")
	return true
}
