package traffic

import (
	"time"

	"papayaquay/core/control"
)

// Learning constants.
const (
	latencyWeight   = 0.2 // of a new sample in a decayed mean
	slowWeight      = 0.5 // of the age of a silent attempt
	limitGrowth     = 0.5 // requests added to a limit that is used up
	limitCut        = 0.8 // factor on a limit that is too high
	limitSlowdown   = 3.0 // first-token time over its floor that cuts the limit
	floorDecay      = 1.002
	ejectAfter      = 3                // failures in a row
	ejectSlowdown   = 4.0              // first-token time over the median that ejects
	ejectTime       = time.Second      // of the first ejection
	maxEjectTime    = 30 * time.Second // of repeated ones
	maxEjectedShare = 3                // at most one in so many is ejected
	busyPause       = 50 * time.Millisecond
	minEjectTime    = 20 * time.Millisecond
)

// targetRow is what this thread learned of one backend server.
type targetRow struct {
	target     control.Target
	present    bool    // in the newest snapshot
	online     int     // own running online attempts
	first      float64 // decayed first-token time, seconds, 0 for none
	floor      float64 // slowly rising minimum of first-token times
	pace       float64 // decayed time between tokens, seconds
	limit      float64 // online attempts to run at the same time
	failures   int     // in a row
	ejections  int
	ejectUntil time.Time
}

// freeSlots returns how many more online attempts the server should get from
// this instance.
func (t *targetRow) freeSlots(p Policy) int {
	used := int(t.target.Usage().Online().Load())
	if p.noLimit {
		return t.target.Backend().Slots() - used
	}
	return int(t.limit) - used
}

// learnFirst takes a first-token time and adapts the limit.
func (t *targetRow) learnFirst(seconds float64) {
	t.failures = 0
	if t.first == 0 {
		t.first, t.floor = seconds, seconds
	}
	t.first += latencyWeight * (seconds - t.first)
	t.floor = min(t.floor*floorDecay, seconds)
	used := float64(t.target.Usage().Online().Load())
	switch {
	case seconds > limitSlowdown*t.floor && used > 1:
		t.limit = max(1, t.limit*limitCut)
	case used+1 >= t.limit:
		t.limit = min(t.limit+limitGrowth, float64(t.target.Backend().Slots()))
	}
}

// learnSlow takes the age of an attempt that is still silent: its first-token
// time will be at least that.
func (t *targetRow) learnSlow(seconds float64) {
	if t.first > 0 && seconds > t.first {
		t.first += slowWeight * (seconds - t.first)
	}
}

// learnPace takes the time between two tokens.
func (t *targetRow) learnPace(seconds float64) {
	if t.pace == 0 {
		t.pace = seconds
	}
	t.pace += latencyWeight * (seconds - t.pace)
}

// fail counts a failed attempt.
func (t *targetRow) fail(now time.Time, p Policy) {
	t.failures++
	if t.failures >= ejectAfter && !p.noEject {
		t.eject(now)
	}
}

// eject takes the server out of use for a while that doubles each time.
func (t *targetRow) eject(now time.Time) {
	pause := min(ejectTime<<min(t.ejections, 5), maxEjectTime)
	t.ejections++
	t.ejectUntil = now.Add(pause)
	t.failures = 0
}

// score returns the expected first-token time, seconds.
func (t *targetRow) score(unknown float64) float64 {
	first := t.first
	if first == 0 {
		first = unknown
	}
	used := float64(t.target.Usage().Online().Load())
	load := t.target.Backend().Load()
	queued := float64(load.Queued())
	return first * (1 + used/max(t.limit, 1) + queued/float64(max(t.target.Backend().Slots(), 1)))
}
