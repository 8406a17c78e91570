package budget

import (
	"cmp"
	"slices"
	"time"
)

// need is what those who wait lack.
type need struct {
	small, large int64 // bytes, of those who may use all room and of large holders
	conns        int
}

// reclaim selects holders that make no progress, while others wait for what they hold.
func (b *Budget) reclaim(now time.Time) {
	n := b.need()
	b.holds.Each(func(_ uint64, h **Hold) { // those that have to give way already
		if !(*h).gaveWay {
			return
		}
		n.small -= (*h).bytes
		n.large -= (*h).bytes
		if (*h).connection {
			n.conns--
		}
	})
	left := b.reclaimBytes(now, n.large, func(h *Hold) bool { return h.bytes > smallBytes })
	if left <= b.idleBytes(now) { // otherwise their clients would lose their connections in vain
		b.reclaimBytes(now, left, isIdle)
	}
	b.reclaimBytes(now, n.small, func(h *Hold) bool { return h.bytes > 0 })
	b.reclaimConnections(now, n.conns)
}

// need returns what those who wait lack.
func (b *Budget) need() need {
	var n need
	waiting := 0
	b.waits.Each(func(_ uint64, w *wait) {
		lack := min(b.used+w.bytes-b.bytesFor(w.hold.class, w.hold.bytes+w.bytes), w.bytes)
		switch {
		case lack <= 0:
		case w.hold.class == Inside || w.isSmall():
			n.small += lack
		default:
			n.large += lack
		}
		if w.connection { // the limit may have been lowered since the others were accepted
			waiting++
			n.conns = max(n.conns, b.open+waiting-b.connsFor(w.hold.class))
		}
	})
	return n
}

// isIdle reports whether the holder is a connection without a request.
func isIdle(h *Hold) bool { return h.phase == phaseIdle }

// idleBytes returns what connections hold that have been idle for stallTime.
func (b *Budget) idleBytes(now time.Time) int64 {
	var sum int64
	for _, h := range b.stalled(now, isIdle) {
		sum += h.bytes
	}
	return sum
}

// reclaimBytes selects holders, the largest first: the fewest clients have to give way. It returns the bytes
// that are still missing.
func (b *Budget) reclaimBytes(now time.Time, bytes int64, selects func(h *Hold) bool) int64 {
	if bytes <= 0 {
		return 0
	}
	stalled := b.stalled(now, selects)
	slices.SortStableFunc(stalled, func(x, y *Hold) int {
		return cmp.Or(cmp.Compare(y.bytes, x.bytes), x.marked.Compare(y.marked))
	})
	for _, h := range stalled {
		if bytes <= 0 {
			return 0
		}
		bytes -= h.bytes
		b.giveWay(now, h, ResourceBytes)
	}
	return max(bytes, 0)
}

// reclaimConnections selects those that made no progress for longest, those with an unfinished request
// before idle ones: an idle connection belongs to a client that waits for nothing.
func (b *Budget) reclaimConnections(now time.Time, count int) {
	if count <= 0 {
		return
	}
	reading := make(map[*Hold]int) // stalled requests by connection
	for _, h := range b.stalled(now, func(h *Hold) bool { return h.parent != nil }) {
		reading[h.parent]++
	}
	running := make(map[*Hold]int) // requests by connection
	b.holds.Each(func(_ uint64, h **Hold) { running[(*h).parent]++ })
	var stalled []*Hold
	b.holds.Each(func(_ uint64, h **Hold) {
		if c := *h; c.connection && !c.gaveWay && (c.isStalled(now) || running[c] > 0 && running[c] == reading[c]) {
			stalled = append(stalled, c)
		}
	})
	slices.SortStableFunc(stalled, func(x, y *Hold) int {
		switch idleX, idleY := isIdle(x), isIdle(y); {
		case idleX == idleY:
			return x.marked.Compare(y.marked)
		case idleX:
			return 1
		}
		return -1
	})
	for _, h := range stalled[:min(count, len(stalled))] {
		b.giveWay(now, h, ResourceConnections)
	}
}

// stalled returns the selected holders that have made no progress for stallTime.
func (b *Budget) stalled(now time.Time, selects func(h *Hold) bool) []*Hold {
	var out []*Hold
	b.holds.Each(func(_ uint64, h **Hold) {
		if (*h).isStalled(now) && !(*h).gaveWay && selects(*h) {
			out = append(out, *h)
		}
	})
	return out
}

// isStalled reports whether the holder has made no progress for stallTime.
func (h *Hold) isStalled(now time.Time) bool {
	return h.phase != phaseServing && now.Sub(h.marked) >= stallTime
}

// giveWay makes a holder give way.
func (b *Budget) giveWay(now time.Time, h *Hold, r Resource) {
	h.gaveWay = true
	b.gaveWay++
	h.release(r)
	b.released(Released{resource: r, bytes: h.bytes, idle: now.Sub(h.marked)})
}
