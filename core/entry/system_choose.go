package entry

import (
	"slices"
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/member"
)

// choice is the server picked for a request, with what decided.
type choice struct {
	backend    member.Backend
	online     int // requests of other entries on it
	batch      int
	candidates int
	weight     float64
}

// nearWeight prefers servers in the same data centre among equals.
const nearWeight = 1.5

// choose picks a server at random, weighted by its free slots: one with a kept
// connection and room, if there is any, else any with a free slot. Without a free
// slot anywhere it takes one whose batch items will give way, else the one with
// the fewest online requests.
func (w *World) choose(now time.Time, row *requestRow) (choice, bool) {
	servers := w.candidates(now, row, false)
	if len(servers) == 0 {
		servers = w.candidates(now, row, true)
	}
	if c, ok := w.draw(now, w.warmOnes(now, servers), true, reserveFrom); ok {
		c.candidates = len(servers)
		return c, true
	}
	for _, batchCounts := range []bool{true, false} {
		if c, ok := w.draw(now, servers, batchCounts, 0); ok {
			return c, true
		}
	}
	return w.least(now, servers)
}

// candidates returns the servers that may get the request; desperate takes
// paused and silent ones too.
func (w *World) candidates(now time.Time, row *requestRow, desperate bool) []directory.Server {
	var servers []directory.Server
	for _, s := range w.snapshot().Servers() {
		id := s.Backend().ID()
		if !s.Backend().Runs(row.request.service) || slices.Contains(row.tried, id) {
			continue
		}
		if desperate || (!w.avoided(now, id) && (!s.Stale() || w.answers(now, id))) {
			servers = append(servers, s)
		}
	}
	return servers
}

// answers reports whether a server answered a request of this entry lately: one
// that is cut off from the control instances only is still good.
func (w *World) answers(now time.Time, id string) bool {
	state := w.servers.Get(id)
	return state != nil && now.Sub(state.usedAt) < answersFor
}

// answersFor is the age at which an answer says nothing of a server any more.
const answersFor = 10 * time.Second

// occupancy returns the online requests and batch items on a server as far as
// known here.
func (w *World) occupancy(now time.Time, id string) (online, batch int) {
	load := w.snapshot().Load(id)
	online, batch = load.Online(), load.Batch()
	if state := w.servers.Get(id); state != nil {
		online += state.inFlight
		if reported := state.load.running + state.load.waiting; now.Sub(state.loadAt) < loadFresh && reported > online+batch {
			online = reported - batch
		}
	}
	return online, batch
}

// queueAllowed is how many online requests may wait on a server beyond its
// slots. One waits an eighth of a run on servers of eight slots, which leaves
// time within the usual objectives; two would not.
const queueAllowed = 1

// overloaded reports whether every server has so many online requests that
// another one would wait too long. Batch items do not count: they give way.
func (w *World) overloaded(now time.Time, row *requestRow) bool {
	if !w.snapshot().HasLoads() {
		return false
	}
	servers := w.candidates(now, row, false)
	for _, s := range servers {
		if online, _ := w.occupancy(now, s.Backend().ID()); online < s.Backend().Slots()+queueAllowed {
			return false
		}
	}
	return len(servers) > 0
}

// pace returns how long work takes on a server now, relative to the usual.
func (w *World) pace(now time.Time, id string) float64 {
	state := w.servers.Get(id)
	if state == nil || state.load.pace <= 0 || now.Sub(state.loadAt) > paceFresh {
		return 1
	}
	return float64(state.load.pace) / usualPace
}

// Preference for servers with a kept connection.
const (
	warmWeight = 8
	warmShare  = 0.9         // of the time that a server says it keeps a connection
	warmFor    = time.Second // where it does not say
)

// warm reports whether a kept connection to a server is likely to be free.
func (w *World) warm(now time.Time, id string) bool {
	state := w.servers.Get(id)
	if state == nil || state.inFlight > 0 {
		return false
	}
	bound := warmFor
	if state.kept > 0 {
		bound = time.Duration(warmShare * float64(state.kept))
	}
	return now.Sub(state.usedAt) < bound
}

// warmOnes returns the servers to which a kept connection is likely to be free.
func (w *World) warmOnes(now time.Time, servers []directory.Server) []directory.Server {
	var ones []directory.Server
	for _, s := range servers {
		if w.warm(now, s.Backend().ID()) {
			ones = append(ones, s)
		}
	}
	return ones
}

// Pace of servers.
const (
	usualPace = 100 // percent
	paceFresh = 300 * time.Millisecond
)

// draw picks among servers with more free slots than a number.
func (w *World) draw(now time.Time, servers []directory.Server, batchCounts bool, above int) (choice, bool) {
	var choices []choice
	sum := 0.0
	for _, s := range servers {
		online, batch := w.occupancy(now, s.Backend().ID())
		used := online
		if batchCounts {
			used += batch
		}
		if s.Backend().Slots()-used <= above {
			continue
		}
		free := float64(s.Backend().Slots() - used)
		weight := free * free / w.pace(now, s.Backend().ID())
		if w.warm(now, s.Backend().ID()) {
			weight *= warmWeight
		}
		if s.Backend().DataCentre() == w.zone {
			weight *= nearWeight
		}
		sum += weight
		choices = append(choices, choice{backend: s.Backend(), online: online, batch: batch, weight: weight})
	}
	left := w.random.Float64() * sum
	for _, c := range choices {
		if left -= c.weight; left <= 0 {
			c.candidates = len(servers)
			return c, true
		}
	}
	return choice{}, false
}

// Reservations on servers that look nearly full: what is known of them is some
// tens of milliseconds old, and a request that finds all slots taken would wait
// for one there while another server has one.
const (
	reserveFrom = 2 // slots that look free, or fewer
	maxRefusals = 5 // after which the request is sent without
)

// reserves reports whether a slot is to be reserved on the chosen server. Where
// none looks free, batch items give way to a request that is there, not to a
// reservation.
func (w *World) reserves(row *requestRow, c choice) bool {
	free := c.backend.Slots() - c.online - c.batch
	return row.request.reserveTokens > 0 && row.refusals < maxRefusals && free > 0 && free <= reserveFrom
}

// least picks one of the servers with the fewest online requests, at random:
// other entries see the same counts.
func (w *World) least(now time.Time, servers []directory.Server) (choice, bool) {
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
