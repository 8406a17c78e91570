package runner

import (
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/member"
)

// endedTime is the time after the end of a server's process in which announcements that it had
// sent before may arrive, and it does not count as stale.
const endedTime = 8 * time.Second

// maxPeers is the number of other servers that are asked for a connection when a server refuses
// one.
const maxPeers = 2

// recordEnd records that the process of a server has ended. A process that is started again at
// the same address and id may run another software version, which it announces some time later.
func (w *World) recordEnd(now time.Time, row *runningRow, status AttemptStatus) {
	if status != AttemptServerEnded {
		return
	}
	event.ServerEnded.Log(w.logger, "backend", row.backend, "incarnation", row.incarnation, "version", row.version)
	w.ended.Put(row.backend, endedRow{incarnation: row.incarnation, until: now.Add(endedTime)})
}

// hasEnded reports whether the process that a server announced has ended, as far as is known:
// items must wait for the announcement of the next one.
func (w *World) hasEnded(now time.Time, b member.Backend) bool {
	row := w.ended.Get(b.ID())
	if row == nil {
		return false
	}
	if b.Incarnation() > row.incarnation || !now.Before(row.until) {
		w.ended.Remove(b.ID())
		return false
	}
	return true
}

// peers returns the addresses of other servers in the data centre of a server that work.
func peers(b member.Backend, servers []directory.Server, failing func(backend string) bool) []string {
	var addresses []string
	for _, s := range servers {
		other := s.Backend()
		if other.ID() == b.ID() || other.DataCentre() != b.DataCentre() || s.Stale() || failing(other.ID()) {
			continue
		}
		if addresses = append(addresses, other.Address()); len(addresses) == maxPeers {
			break
		}
	}
	return addresses
}
