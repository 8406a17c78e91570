package budget

import (
	"slices"
	"time"
)

// Step runs the systems over the tables.
func (b *Budget) Step(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reject(now)
	b.grant()
	b.reclaim(now)
}

// Next returns when the next tick is due: when somebody has waited too long or a holder has made no
// progress for so long that it may have to give way. It returns false while nobody waits.
func (b *Budget) Next() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waits.Len() == 0 {
		return time.Time{}, false
	}
	var next time.Time
	earlier := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	now := b.now()
	b.waits.Each(func(_ uint64, w *wait) { earlier(w.until) })
	b.holds.Each(func(_ uint64, h **Hold) {
		if at := (*h).marked.Add(stallTime); (*h).phase != phaseServing && !(*h).gaveWay && at.After(now) {
			earlier(at)
		}
	})
	return next, true
}

// isQueued reports whether others of the same or a more urgent class wait before a new wait. A small
// one does not wait behind large ones: they wait for room that it does not need.
func (b *Budget) isQueued(w wait) bool {
	queued := false
	b.waits.Each(func(_ uint64, other *wait) {
		if other.connection == w.connection && other.hold.class >= w.hold.class && (other.isSmall() || !w.isSmall()) {
			queued = true
		}
	})
	return queued
}

// isSmall reports whether a wait may use all room.
func (w *wait) isSmall() bool { return w.hold.bytes+w.bytes <= smallBytes }

// grant gives room to those who wait, as long as there is enough for the next one: first the system's
// own instances, then small holders, then the others, each in their order.
func (b *Budget) grant() {
	for _, selects := range []func(w *wait) bool{
		func(w *wait) bool { return w.hold.class == Inside },
		func(w *wait) bool { return w.hold.class == Outside && w.isSmall() },
		func(w *wait) bool { return w.hold.class == Outside && !w.isSmall() },
	} {
		full := false
		for _, key := range b.waitKeys() {
			w := b.waits.Get(key)
			if full || !selects(w) {
				continue
			}
			if full = !b.fits(*w); !full {
				b.take(*w)
				b.end(key, nil)
			}
		}
	}
}

// reject ends the waits that last too long, and those of holders that must give back what they hold or have
// done so: nobody would give back what they get.
func (b *Budget) reject(now time.Time) {
	hopeless := b.allServing()
	for _, key := range b.waitKeys() {
		switch w := b.waits.Get(key); {
		case w.hold.gaveWay || w.hold.closed:
			b.end(key, ErrGaveWay)
		case !now.Before(w.until), w.connection && hopeless:
			b.rejected++
			b.end(key, ErrNoRoom)
		}
	}
}

// waitKeys returns the keys of those who wait, in their order.
func (b *Budget) waitKeys() []uint64 {
	keys := b.waits.Keys()
	slices.Sort(keys)
	return keys
}

// allServing reports whether no connection can have to give way. Others need not wait then.
func (b *Budget) allServing() bool {
	all := true
	b.holds.Each(func(_ uint64, h **Hold) {
		if (*h).phase != phaseServing && ((*h).connection || (*h).parent != nil) {
			all = false
		}
	})
	return all
}

// end ends a wait.
func (b *Budget) end(key uint64, err error) {
	result := b.waits.Get(key).result
	b.waits.Remove(key)
	result <- err
}
