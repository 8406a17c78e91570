package entry

import (
	"slices"
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/member"
)

// choice is a server chosen for a request, with the load that the choice is
// based on.
type choice struct {
	backend    member.Backend
	online     int // online requests on the server
	batch      int // batch items on the server
	candidates int // servers that were considered
	weight     float64
}

// sameDataCentreWeight is the factor by which servers in the same data centre are
// preferred.
const sameDataCentreWeight = 1.5

// choose picks a server at random, weighted by free slots. It prefers servers
// with an idle connection and more than reserveMaxFree free slots, then any
// server with a free slot, those without a limit first: limits are kept for bursts. If no
// slot is free, it picks a server that can preempt batch items, or else a server with the
// fewest online requests.
func (w *World) choose(now time.Time, row *requestRow) (choice, bool) {
	servers := w.candidates(now, row, false)
	if len(servers) == 0 {
		servers = w.candidates(now, row, true)
	}
	unlimited := w.unlimited(now, servers)
	if c, ok := w.pickWeighted(now, w.withIdleConnection(now, unlimited), true, reserveMaxFree); ok {
		c.candidates = len(servers)
		return c, true
	}
	for _, countBatch := range []bool{true, false} {
		for _, list := range [][]directory.Server{unlimited, servers} {
			if c, ok := w.pickWeighted(now, list, countBatch, 0); ok {
				return c, true
			}
		}
	}
	return w.leastLoaded(now, servers)
}

// candidates returns the servers that may run the request. includeAvoided adds
// paused, ejected, stalled and stale servers.
func (w *World) candidates(now time.Time, row *requestRow, includeAvoided bool) []directory.Server {
	var servers []directory.Server
	for _, s := range w.snapshot().Servers() {
		id := s.Backend().ID()
		if !s.Backend().Runs(row.request.service) || slices.Contains(row.tried, id) || !row.stream.continuesOn(s.Backend()) ||
			!w.mayRunOn(now, row, s.Backend()) {
			continue
		}
		if now.Before(w.unrecordedUntil) && w.needsRecord(row, s.Backend().Version()) {
			continue
		}
		if w.saidLeaving(s.Backend()) || !w.hasRoom(now, s.Backend(), row.startedAttempts > 0) {
			continue
		}
		if includeAvoided || (!w.avoided(now, id) && (!s.Stale() || w.answeredRecently(now, id))) {
			servers = append(servers, s)
		}
	}
	return servers
}

// answeredRecently reports whether a server answered a request of this entry
// instance within answerMaxAge. Such a server stays in use when its announcements are
// overdue, because it may be cut off from the control instances only.
func (w *World) answeredRecently(now time.Time, id string) bool {
	state := w.servers.Get(id)
	return state != nil && now.Sub(state.lastAnswerAt) < answerMaxAge
}

// answerMaxAge is the age up to which an answer shows that a server is available.
const answerMaxAge = 10 * time.Second

// occupancy returns the known number of online requests and batch items on a
// server.
func (w *World) occupancy(now time.Time, id string) (online, batch int) {
	load := w.snapshot().Load(id)
	online, batch = load.Online(), load.Batch()
	if state := w.servers.Get(id); state != nil {
		online += state.inFlight
		if reported := state.load.running + state.load.waiting; now.Sub(state.loadAt) < loadMaxAge && reported > online+batch {
			online = reported - batch
		}
	}
	return online, batch
}

// maxQueuedOnline is the number of online requests that may wait on a server when
// its slots are taken. On servers with eight slots one request waits for an eighth
// of the time that a request takes, which is within the usual latency objectives;
// two requests would exceed them.
const maxQueuedOnline = 1

// overloaded reports whether another online request would wait too long on every
// server. Batch items do not count because online requests preempt them.
func (w *World) overloaded(now time.Time, row *requestRow) bool {
	if !w.snapshot().HasLoads() {
		return false
	}
	servers := w.candidates(now, row, false)
	for _, s := range servers {
		if online, _ := w.occupancy(now, s.Backend().ID()); online < s.Backend().Slots()+maxQueuedOnline {
			return false
		}
	}
	return len(servers) > 0
}

// latencyFactor returns the current latency of a server relative to its usual
// latency, 1 if unknown.
func (w *World) latencyFactor(now time.Time, id string) float64 {
	state := w.servers.Get(id)
	if state == nil || state.load.latencyPercent <= 0 || now.Sub(state.loadAt) > latencyMaxAge {
		return 1
	}
	return float64(state.load.latencyPercent) / usualLatencyPercent
}

// Preference for servers with an idle connection.
const (
	idleConnectionWeight = 8
	idleTimeoutShare     = 0.9         // of the idle timeout that the server reports
	defaultIdleTimeout   = time.Second // for servers that do not report one
)

// hasIdleConnection reports whether this entry instance probably has an open idle
// connection to a server.
func (w *World) hasIdleConnection(now time.Time, id string) bool {
	state := w.servers.Get(id)
	if state == nil || state.inFlight > 0 {
		return false
	}
	timeout := defaultIdleTimeout
	if state.idleTimeout > 0 {
		timeout = time.Duration(idleTimeoutShare * float64(state.idleTimeout))
	}
	return now.Sub(state.lastAnswerAt) < timeout
}

// withIdleConnection returns the servers to which this entry instance probably has
// an open idle connection.
func (w *World) withIdleConnection(now time.Time, servers []directory.Server) []directory.Server {
	var connected []directory.Server
	for _, s := range servers {
		if w.hasIdleConnection(now, s.Backend().ID()) {
			connected = append(connected, s)
		}
	}
	return connected
}

// Latency reports of servers.
const (
	usualLatencyPercent = 100                    // what a server reports at its usual latency
	latencyMaxAge       = 300 * time.Millisecond // age at which a reported latency is ignored
)

// pickWeighted picks a server with more than freeAbove free slots at random. The
// weight grows with the square of the free slots and falls with the latency; idle
// connections and the same data centre increase it. countBatch tells whether
// batch items take slots.
func (w *World) pickWeighted(now time.Time, servers []directory.Server, countBatch bool, freeAbove int) (choice, bool) {
	var choices []choice
	sum := 0.0
	for _, s := range servers {
		online, batch := w.occupancy(now, s.Backend().ID())
		used := online
		if countBatch {
			used += batch
		}
		if s.Backend().Slots()-used <= freeAbove {
			continue
		}
		free := float64(s.Backend().Slots() - used)
		weight := free * free / w.latencyFactor(now, s.Backend().ID())
		if w.hasIdleConnection(now, s.Backend().ID()) {
			weight *= idleConnectionWeight
		}
		if s.Backend().DataCentre() == w.dataCentre {
			weight *= sameDataCentreWeight
		}
		sum += weight
		choices = append(choices, choice{backend: s.Backend(), online: online, batch: batch, weight: weight})
	}
	remaining := w.random.Float64() * sum
	for _, c := range choices {
		if remaining -= c.weight; remaining <= 0 {
			c.candidates = len(servers)
			return c, true
		}
	}
	return choice{}, false
}

// Slots are reserved on servers that look nearly full. Their known load is some
// tens of milliseconds old. Without a reservation, a request that finds all slots
// taken would wait while another server has a free slot.
const (
	reserveMaxFree = 2 // free slots at or below which a slot is reserved
	maxRejections  = 5 // after which the request is sent without a reservation
)

// shouldReserve reports whether a slot must be reserved on the chosen server. If
// no slot looks free, nothing is reserved: batch items are preempted by a request
// that has arrived, not by a reservation.
func (w *World) shouldReserve(now time.Time, row *requestRow, c choice) bool {
	free := c.backend.Slots() - c.online - c.batch
	if w.isLimited(now, c.backend) {
		return false // a reservation would count as a request
	}
	return row.request.reserveTokens > 0 && row.rejections < maxRejections && free > 0 && free <= reserveMaxFree
}

// leastLoaded picks a server with the fewest online requests. Ties are broken at
// random because other entry instances see the same counts.
func (w *World) leastLoaded(now time.Time, servers []directory.Server) (choice, bool) {
	var best choice
	ties := 0
	for _, s := range servers {
		online, batch := w.occupancy(now, s.Backend().ID())
		c := choice{backend: s.Backend(), online: online, batch: batch, candidates: len(servers)}
		switch {
		case ties == 0 || online < best.online:
			best, ties = c, 1
		case online == best.online:
			if ties++; w.random.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, ties > 0
}
