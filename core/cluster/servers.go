package cluster

import (
	"time"

	"papayaquay/core/directory"
)

// serverListMaxAge bounds the age of the list of servers: what it says of silence, and
// changes that nobody must hear of at once.
const serverListMaxAge = 50 * time.Millisecond

// serverList is the sub-world that lists the backend servers for work. The list is
// kept for a moment, since an entry takes it with each change of the sums of load.
type serverList struct {
	rows          []directory.Server
	urgentVersion uint64    // urgent version of the directory that the rows show
	listedAt      time.Time // when they were listed
}

// list returns the servers that may take new work. The rows must not be changed.
func (l *serverList) list(now time.Time, d *directory.World) []directory.Server {
	if l.listedAt.IsZero() || l.urgentVersion != d.Urgent() || now.Sub(l.listedAt) >= serverListMaxAge {
		l.rows, l.urgentVersion, l.listedAt = d.Servers(now), d.Urgent(), now
	}
	return l.rows
}
