package entry

import (
	"papayaquay/core/event"
	"papayaquay/core/member"
)

// recordLeave records that a server said in an answer that it is leaving. It gets no further
// requests in this incarnation, even if no control instance knows of the leave.
func (w *World) recordLeave(backend string, server *serverRow, incarnation uint64) {
	if server.leaving == incarnation {
		return
	}
	server.leaving = incarnation
	event.BackendSaidLeaving.Log(w.logger, "backend", backend, "incarnation", incarnation)
	w.reportLeave(backend, incarnation)
}

// saidLeaving reports whether a server said in an answer that it is leaving.
func (w *World) saidLeaving(b member.Backend) bool {
	row := w.servers.Get(b.ID())
	return row != nil && row.leaving != 0 && row.leaving == b.Incarnation()
}
