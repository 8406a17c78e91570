package member

import "time"

// Announce takes an announcement that a backend server made to this instance.
func (w *World) Announce(now time.Time, b Backend) { w.learnBackend(now, b, true) }

// learnBackend merges a row. Changes spread everywhere at once; an unchanged
// server is mentioned again within the data centre from time to time.
func (w *World) learnBackend(now time.Time, b Backend, direct bool) {
	row := w.backends.Get(b.id)
	if row == nil {
		row = w.backends.Put(b.id, backendRow{backend: b, heard: now, told: now})
		w.spread(rumorKey{backend: true, id: b.id}, false)
		w.version++
	}
	merged := row.backend.merge(b)
	news := merged.sequence > row.backend.sequence || merged.incarnation > row.backend.incarnation
	if news {
		row.heard = now
	}
	if direct {
		row.direct = now
	}
	if merged.changed(row.backend) {
		row.told = now
		w.spread(rumorKey{backend: true, id: b.id}, false)
		w.version++
	}
	if news && !direct || direct && now.Sub(row.told) > refreshInterval {
		w.refresh(now, b.id, row, direct)
	}
	row.backend = merged
}

// refresh repeats the row of an unchanged server within the data centre.
func (w *World) refresh(now time.Time, id string, row *backendRow, direct bool) {
	if now.Sub(row.told) < refreshInterval/2 && !direct {
		return
	}
	row.told = now
	w.version++
	w.spread(rumorKey{backend: true, id: id}, true)
}

// checkBackends declares servers gone that stopped announcing themselves. The
// instance that heard a server last decides first; the others only if that
// instance's word does not arrive.
func (w *World) checkBackends(now time.Time) {
	w.backends.Each(func(id string, row *backendRow) {
		if row.backend.gone {
			if now.Sub(row.heard) > deadRetention {
				w.backends.Remove(id)
				w.version++
			}
			return
		}
		sponsor := !row.direct.IsZero() && !row.direct.Before(row.heard)
		silent := now.Sub(row.heard)
		foreign := row.backend.dataCentre != w.self.dataCentre
		if sponsor && silent > backendTimeout || !foreign && silent > staleBackend {
			row.backend.gone = true
			w.spread(rumorKey{backend: true, id: id}, false)
			w.version++
		}
	})
}
