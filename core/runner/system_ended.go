package runner

import (
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/member"
)

// maxPeers is the number of other servers that are asked for a connection when a server refuses
// one.
const maxPeers = 2

// recordEnd records that the process of a server has ended.
func (w *World) recordEnd(now time.Time, row *runningRow, status AttemptStatus) {
	if status != AttemptServerEnded {
		return
	}
	event.ServerEnded.Log(w.logger, "backend", row.backend, "incarnation", row.incarnation, "version", row.version)
	w.ended.Record(now, row.backend, row.incarnation)
}

// peers returns the addresses of other servers in the data centre of a server, those first that
// work. One that failed lately may accept connections all the same.
func peers(b member.Backend, servers []directory.Server, failing func(backend string) bool) []string {
	var working, others []string
	for _, s := range servers {
		other := s.Backend()
		switch {
		case other.ID() == b.ID() || other.DataCentre() != b.DataCentre() || s.Stale():
		case failing(other.ID()):
			others = append(others, other.Address())
		default:
			working = append(working, other.Address())
		}
	}
	addresses := append(working, others...)
	return addresses[:min(len(addresses), maxPeers)]
}
