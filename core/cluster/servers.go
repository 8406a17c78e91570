package cluster

import (
	"time"

	"papayaquay/core/directory"
)

// serversEvery bounds the age of the list of servers: what it says of silence, and
// changes that nobody must hear of at once.
const serversEvery = 50 * time.Millisecond

// serverList is the sub-world that lists the backend servers for work. The list is
// kept for a moment, since an entry takes it with each change of the sums of load.
type serverList struct {
	rows   []directory.Server
	urgent uint64    // urgent version of the directory that the rows show
	listed time.Time // when they were listed
}

// list returns the servers that may take new work. The rows must not be changed.
func (l *serverList) list(now time.Time, d *directory.World) []directory.Server {
	if l.listed.IsZero() || l.urgent != d.UrgentVersion() || now.Sub(l.listed) >= serversEvery {
		l.rows, l.urgent, l.listed = d.Servers(now), d.UrgentVersion(), now
	}
	return l.rows
}
