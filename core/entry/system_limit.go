package entry

import (
	"slices"
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/member"
	"papayaquay/core/usage"
)

// Shares and timing of the limits of backend servers.
const (
	restartLimitShare = 1.1         // of a limit, for requests that go on elsewhere
	ownLimitAge       = time.Second // age up to which the limit in an own answer counts more than the reported one
)

// setLimit records the limit that a server named in an answer, or that it named none.
func (w *World) setLimit(now time.Time, backend string, server *serverRow, incarnation uint64, load LoadReport) {
	limit := usage.NewLimit(load.Limit(), incarnation)
	if limit.PerSecond() != server.limit.PerSecond() {
		event.BackendLimitChanged.Log(w.logger, "backend", backend, "per_second", limit.PerSecond(), "before", server.limit.PerSecond())
		w.inFlightChanged = true // the other instances must know
	}
	server.limit, server.knownLimit, server.limitSeenAt = limit, limit, now
}

// countSent counts a request that is sent to a server.
func (w *World) countSent(now time.Time, b member.Backend, server *serverRow) {
	server.sent.Add(now)
	if limit, _ := w.limit(now, b); limit.PerSecond() > 0 {
		server.soloAt = now.Add(w.soloInterval(limit))
	}
}

// limit returns the limit of a server and the requests that other instances sent to it. An
// own answer counts for ownLimitAge, since the reports of the other instances are older.
// Without reports the limit that was known last counts.
func (w *World) limit(now time.Time, b member.Backend) (limit usage.Limit, others usage.Sent) {
	row := w.servers.Get(b.ID())
	if !w.snapshot().HasLoads() {
		if row != nil && row.knownLimit.Incarnation() == b.Incarnation() {
			limit = row.knownLimit
		}
		return limit, usage.Sent{}
	}
	load := w.snapshot().Load(b.ID())
	if load.Limit().Incarnation() == b.Incarnation() {
		limit, others = load.Limit(), load.Sent()
	}
	if row != nil && row.limit.Incarnation() == b.Incarnation() && now.Sub(row.limitSeenAt) < ownLimitAge {
		limit = row.limit
	}
	return limit, others
}

// isLimited reports whether a server is known to have a limit.
func (w *World) isLimited(now time.Time, b member.Backend) bool {
	limit, _ := w.limit(now, b)
	return limit.PerSecond() > 0
}

// unlimited returns the servers without a limit. It copies the list only if it contains one
// with a limit, since it runs for each request.
func (w *World) unlimited(now time.Time, servers []directory.Server) []directory.Server {
	first := slices.IndexFunc(servers, func(s directory.Server) bool { return w.isLimited(now, s.Backend()) })
	if first < 0 {
		return servers
	}
	unlimited := slices.Clone(servers[:first])
	for _, s := range servers[first+1:] {
		if !w.isLimited(now, s.Backend()) {
			unlimited = append(unlimited, s)
		}
	}
	return unlimited
}

// hasRoom reports whether the limit of a server, if it has one, allows another request.
// Requests that may have run elsewhere may exceed the limit a little, because they cannot be
// rejected any more. It remembers the limit for a time in which no loads are known.
func (w *World) hasRoom(now time.Time, b member.Backend, restarted bool) bool {
	limit, others := w.limit(now, b)
	if limit.PerSecond() == 0 {
		if row := w.servers.Get(b.ID()); row != nil {
			row.knownLimit = limit
		}
		return true
	}
	row := w.server(b.ID())
	if !w.snapshot().HasLoads() {
		return w.hasSoloRoom(now, row, limit)
	}
	row.keepLimited(now)
	row.knownLimit, row.soloAt = limit, time.Time{}
	share := 1.0
	if restarted {
		share = restartLimitShare
	}
	return limit.Room(share, others.Add(row.sent.Sent(now))) >= 1
}

// keepLimited records that the server has a limit now. Requests count from when the limit
// became known: before, there was none to keep.
func (r *serverRow) keepLimited(now time.Time) {
	if now.Sub(r.limitedAt) > usage.SustainedWindow {
		r.sent = usage.Window{}
	}
	r.limitedAt = now
}

// hasSoloRoom reports whether an instance that does not know the requests of the others may
// send one: it sends its share of the limit, at equal intervals from a random time on.
func (w *World) hasSoloRoom(now time.Time, row *serverRow, limit usage.Limit) bool {
	if row.soloAt.IsZero() {
		row.soloAt = now.Add(time.Duration(w.random.Float64() * float64(w.soloInterval(limit))))
	}
	return !now.Before(row.soloAt)
}

// soloInterval returns the time between two requests of this instance to a server if every
// entry instance sends as many.
func (w *World) soloInterval(limit usage.Limit) time.Duration {
	return time.Duration(float64(w.snapshot().Entries()) / limit.PerSecond() * float64(time.Second))
}

// limitedUse returns what this instance knows of the limits of servers: for its report.
// That a server has no limit any more is reported until older answers, which named one, are
// forgotten.
func (w *World) limitedUse(now time.Time) map[string]usage.LimitedUse {
	var limited map[string]usage.LimitedUse
	w.servers.Each(func(id string, row *serverRow) {
		reported := w.snapshot().Load(id).Limit()
		if reported.PerSecond() > 0 || row.limit.PerSecond() > 0 {
			row.keepLimited(now)
		}
		if row.limitedAt.IsZero() || now.Sub(row.limitedAt) >= usage.LimitMaxAge {
			return
		}
		limit, age := reported, usage.LimitMaxAge
		if ownAge := now.Sub(row.limitSeenAt); !row.limitSeenAt.IsZero() && ownAge < age {
			limit, age = row.limit, ownAge
		}
		if limited == nil {
			limited = make(map[string]usage.LimitedUse)
		}
		limited[id] = usage.NewLimitedUse(limit, age, row.sent.Sent(now))
	})
	return limited
}

// atLimits reports whether there are servers for a request, but the limit of each of them is
// reached.
func (w *World) atLimits(now time.Time, row *requestRow) bool {
	reached := false
	for _, s := range w.snapshot().Servers() {
		if !s.Backend().Runs(row.request.service) || slices.Contains(row.tried, s.Backend().ID()) || w.saidLeaving(s.Backend()) ||
			!row.stream.continuesOn(s.Backend()) {
			continue
		}
		if w.hasRoom(now, s.Backend(), row.startedAttempts > 0) {
			return false
		}
		reached = true
	}
	return reached
}

// limitRetryAfter returns after what time a request may be retried that was rejected because
// the limits of all servers are reached: about when they take their next request. The
// times are random so that rejected requests do not return together.
func (w *World) limitRetryAfter(now time.Time, row *requestRow) time.Duration {
	perSecond := 0.0
	for _, s := range w.snapshot().Servers() {
		if s.Backend().Runs(row.request.service) {
			limit, _ := w.limit(now, s.Backend())
			perSecond += limit.PerSecond()
		}
	}
	if perSecond == 0 {
		return w.retryAfter()
	}
	return max(w.retryAfter(), time.Duration(float64(time.Second)/perSecond))
}
