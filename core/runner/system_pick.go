package runner

import (
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/member"
)

// continuesOn reports whether a server may continue the output of an item.
func (p *progressRow) continuesOn(b member.Backend) bool {
	return p == nil || p.lastEvent == 0 || p.version == b.Version()
}

// restartWithoutVersion discards the output of an item if no server of the version that began
// it is left: servers of another version cannot continue it. Nothing is discarded while no
// other server could run the item either.
func (w *World) restartWithoutVersion(key itemKey, service string) {
	p := w.progress.Get(key)
	if p == nil || p.lastEvent == 0 {
		return
	}
	others := false
	for _, s := range w.servers {
		if !s.Backend().Runs(service) || s.Stale() {
			continue
		}
		if p.continuesOn(s.Backend()) {
			return
		}
		others = true
	}
	if !others {
		return
	}
	event.ItemRestarted.Log(w.logger, "job", key.job, "item", key.item, "version", p.version, "last_event", p.lastEvent)
	*p = progressRow{failures: p.failures, retryAt: p.retryAt, replaces: p.replaces || p.storedEvent > 0}
}

// pickServer returns the server with the most free slots among those that run the
// service. Servers whose limits leave room come first: online requests, which are shorter
// and more, need the slots of the others. progress is that of the item, nil if it has none: only
// servers of the version that began its output can continue it.
func (w *World) pickServer(now time.Time, service string, progress *progressRow, free map[string]int) (directory.Server, bool) {
	var best directory.Server
	most, bestLimited := 0, false
	for _, s := range w.servers {
		n := free[s.Backend().ID()]
		if n == 0 || !s.Backend().Runs(service) || !progress.continuesOn(s.Backend()) {
			continue
		}
		_, limited := w.limitRoom(now, s.Backend())
		if most == 0 || (limited && !bestLimited) || (limited == bestLimited && n > most) {
			best, most, bestLimited = s, n, limited
		}
	}
	return best, most > 0
}
