package member

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Announce takes an announcement that a backend server made to this instance.
// Changes spread from here; the server's keeper gets every announcement and
// judges whether the server is gone.
func (w *World) Announce(now time.Time, b Backend) {
	keeper := w.keeperOf(b.id)
	if keeper == w.self.name {
		w.keep(now, b)
		return
	}
	w.learnBackend(now, b, false)
	w.messages = append(w.messages, NewMessage(MessageAnnounce, w.self.name, keeper, WithRows(nil, []Backend{b})))
}

// keeperOf returns the instance of this data centre that keeps a backend
// server: the live one with the highest rendezvous weight.
func (w *World) keeperOf(id string) string {
	keeper, best := w.self.name, xxhash.Sum64String(w.self.name+"\x00"+id)
	w.instances.Each(func(name string, row *instanceRow) {
		if row.instance.dataCentre != w.self.dataCentre || row.instance.state != StateAlive || row.seed {
			return
		}
		if weight := xxhash.Sum64String(name + "\x00" + id); weight > best {
			keeper, best = name, weight
		}
	})
	return keeper
}

// keep takes an announcement at the server's keeper, which mentions an
// unchanged server again from time to time.
func (w *World) keep(now time.Time, b Backend) {
	w.learnBackend(now, b, false)
	row := w.backends.Get(b.id)
	row.kept = now
	if now.Sub(row.told) > w.refreshEvery() {
		row.told = now
		w.spread(rumorKey{backend: true, id: b.id}, true)
	}
}

// refreshEvery returns the time between rumors of an unchanged server, so that
// those of all servers stay within refreshBudget.
func (w *World) refreshEvery() time.Duration {
	copies := 1 + bits.Len(uint(w.nearby))
	needed := float64(w.kept*copies*backendRowBytes) / refreshBudget
	return max(refreshInterval, time.Duration(needed*float64(time.Second)))
}

// learnBackend merges a row. A change spreads everywhere; pass tells to spread
// a newer load report within the data centre.
func (w *World) learnBackend(now time.Time, b Backend, pass bool) {
	row := w.backends.Get(b.id)
	if row == nil {
		w.backends.Put(b.id, backendRow{backend: b, heard: now, told: now})
		w.spread(rumorKey{backend: true, id: b.id}, false)
		w.version++
		return
	}
	merged := row.backend.Merge(b)
	newer := merged.sequence > row.backend.sequence || merged.incarnation > row.backend.incarnation
	changed := merged.DiffersFrom(row.backend)
	row.backend = merged
	if newer {
		row.heard = now
	}
	switch {
	case changed:
		row.told = now
		w.spread(rumorKey{backend: true, id: b.id}, false)
		w.version++
	case newer && pass && now.Sub(row.told) > w.refreshEvery()/2:
		row.told = now
		w.spread(rumorKey{backend: true, id: b.id}, true)
		w.version++
	}
}

// checkBackends declares the servers gone that this instance keeps and that
// stopped announcing themselves. A new keeper waits as long as the old one.
func (w *World) checkBackends(now time.Time) {
	if now.Before(w.checkDue) {
		return
	}
	w.checkDue = now.Add(w.interval)
	w.kept = 0
	w.backends.Each(func(id string, row *backendRow) {
		if row.backend.dataCentre == w.self.dataCentre && !row.backend.gone {
			w.kept++
		}
		switch {
		case row.backend.gone:
			if now.Sub(row.heard) > deadRetention {
				w.backends.Remove(id)
				w.version++
			}
		case row.backend.dataCentre != w.self.dataCentre || w.keeperOf(id) != w.self.name:
			row.kept = time.Time{}
		case row.kept.IsZero():
			row.kept = now
		case now.Sub(row.kept) > backendTimeout:
			row.backend.gone = true
			w.spread(rumorKey{backend: true, id: id}, false)
			w.version++
		}
	})
}
