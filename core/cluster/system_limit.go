package cluster

import (
	"maps"
	"time"

	"papayaquay/core/member"
	"papayaquay/core/usage"
)

// Shares of the limit of a backend server. Items run longer than online requests, so they
// make more of a limit.
const (
	maxItemShare      = 0.75 // of a limit, up to which items are sent
	reservedItemShare = 0.3  // of a limit, which online requests leave to items while there are jobs
)

// limitRow is the limit that a server named in the answer to an item.
type limitRow struct {
	limit  usage.Limit
	seenAt time.Time
}

// unconfirmedLimitAge is the age up to which the limit in a report counts at a collecting
// store instance although the totals of the leader do not contain it. Later the leader has
// a newer answer of the server.
const unconfirmedLimitAge = time.Second

// addCollectedLimits adds the limits of servers that entry instances reported here to the
// loads that the leader sent.
func (w *World) addCollectedLimits(now time.Time, loads Loads) {
	limited := maps.Clone(w.jobs.usage.Limited(now))
	maps.DeleteFunc(limited, func(backend string, use usage.LimitedUse) bool {
		return w.loadReporter.loads != nil && use.Age() > unconfirmedLimitAge && loads[backend].Limit().PerSecond() == 0
	})
	addLimits(loads, limited)
}

// addLimits adds the limits of servers to their loads.
func addLimits(loads Loads, limited map[string]usage.LimitedUse) {
	for backend, use := range limited {
		if use.Limit().PerSecond() == 0 {
			continue
		}
		load := loads[backend]
		limit, sent := use.Limit(), use.Sent()
		if other := load.Limit(); other.PerSecond() > 0 && other.Incarnation() == limit.Incarnation() {
			sent = sent.Add(load.Sent())
			limit = usage.NewLimit(min(limit.PerSecond(), other.PerSecond()), limit.Incarnation())
		}
		loads[backend] = load.WithLimit(limit, sent)
	}
}

// setItemLimit records the limit that a server named in the answer to an item.
func (w *World) setItemLimit(now time.Time, backend string, limit usage.Limit) {
	if w.jobs == nil || (limit.PerSecond() == 0 && w.jobs.itemLimits.Get(backend) == nil) {
		return
	}
	w.jobs.itemLimits.Put(backend, limitRow{limit: limit, seenAt: now})
}

// limited returns what entry instances must know of the limits of servers: from the reports
// of online requests and from the items that run here. What is reserved for items counts
// as sent.
func (w *World) limited(now time.Time) map[string]usage.LimitedUse {
	known := make(map[string]usage.LimitedUse)
	for backend := range w.jobs.usage.Limited(now) {
		known[backend] = w.withReserve(now, backend)
	}
	w.jobs.itemLimits.Each(func(backend string, row *limitRow) {
		if now.Sub(row.seenAt) >= usage.LimitMaxAge {
			w.jobs.itemLimits.Remove(backend)
			return
		}
		known[backend] = w.withReserve(now, backend)
	})
	return known
}

// withReserve returns the use of a server's limit with the share reserved for items.
func (w *World) withReserve(now time.Time, backend string) usage.LimitedUse {
	use, _ := w.limitedUse(now, backend)
	if !w.jobs.runner.HasJobs() {
		return use
	}
	items := w.jobs.runner.Sent(now, backend)
	reserved := items.AtLeast(use.Limit().Share(reservedItemShare))
	return usage.NewLimitedUse(use.Limit(), use.Age(), use.Sent().Without(items).Add(reserved))
}

// limitedUse returns what this leader knows of the limit of a server; ok is false if no
// answer named one.
func (w *World) limitedUse(now time.Time, backend string) (use usage.LimitedUse, ok bool) {
	h := w.jobs
	use, ok = h.usage.Limited(now)[backend]
	limit, age := use.Limit(), use.Age()
	if row := h.itemLimits.Get(backend); row != nil && (!ok || now.Sub(row.seenAt) < age) {
		limit, age, ok = row.limit, now.Sub(row.seenAt), true
	}
	return usage.NewLimitedUse(limit, age, use.Sent().Add(h.runner.Sent(now, backend))), ok
}

// ItemRoom returns how many more items the limit of a backend server allows now; limited is
// false if the server has no limit.
func (w *World) ItemRoom(now time.Time, b member.Backend) (room int, limited bool) {
	if w.jobs == nil {
		return 0, false
	}
	use, ok := w.limitedUse(now, b.ID())
	if !ok || use.Limit().PerSecond() == 0 || use.Limit().Incarnation() != b.Incarnation() {
		return 0, false
	}
	items := w.jobs.runner.Sent(now, b.ID())
	unreserved := use.Limit().Room(maxItemShare, use.Sent())
	reserved := min(use.Limit().Room(1, use.Sent()), use.Limit().Room(reservedItemShare, items))
	return max(int(unreserved), int(reserved), 0), true
}
