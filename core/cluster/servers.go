package cluster

import (
	"time"

	"papayaquay/core/directory"
)

// serverListMaxAge bounds the age of the list of servers for changes that can
// wait, such as overdue announcements.
const serverListMaxAge = 50 * time.Millisecond

// serverList caches the backend servers that may take new work, since an entry
// instance publishes them with each update of the load totals.
type serverList struct {
	rows          []directory.Server
	urgentVersion uint64    // urgent version of the directory in the rows
	listedAt      time.Time // when the rows were listed
}

// list returns the servers that may take new work. The caller must not change
// the rows.
func (l *serverList) list(now time.Time, d *directory.World) []directory.Server {
	if l.listedAt.IsZero() || l.urgentVersion != d.UrgentVersion() || now.Sub(l.listedAt) >= serverListMaxAge {
		l.rows, l.urgentVersion, l.listedAt = d.Servers(now), d.UrgentVersion(), now
	}
	return l.rows
}
