package traffic

import (
	"time"

	"papayaquay/core/control"
)

// Learning constants.
const (
	sampleWeight        = 0.2 // of a new sample in a decayed mean
	stallWeight         = 0.5 // of the age of a silent attempt
	limitIncrement      = 0.5 // requests added to a limit that is used up
	limitDecreaseFactor = 0.8 // factor on a limit that is too high
	overloadRatio       = 3.0 // first-token time over its floor that cuts the limit
	minFirstTokenGrowth = 1.002
	ejectAfterFailures  = 3                // failures in a row
	ejectLatencyRatio   = 4.0              // first-token time over the median that ejects
	baseEjectionTime    = time.Second      // of the first ejection
	maxEjectionTime     = 30 * time.Second // of repeated ones
	ejectedShareDivisor = 3                // at most one in so many is ejected
	busyBackoff         = 50 * time.Millisecond
	minEjectLatency     = 20 * time.Millisecond
)

// targetRow is what this thread learned of one backend server.
type targetRow struct {
	target              control.Target
	inSnapshot          bool    // in the newest snapshot
	onlineAttempts      int     // own running online attempts
	firstToken          float64 // decayed first-token time, seconds, 0 for none
	minFirstToken       float64 // slowly rising minimum of first-token times
	tokenInterval       float64 // decayed time between tokens, seconds
	concurrencyLimit    float64 // online attempts to run at the same time
	consecutiveFailures int     // in a row
	ejections           int
	ejectedUntil        time.Time
}

// freeSlots returns how many more online attempts the server should get from
// this instance.
func (t *targetRow) freeSlots(p Policy) int {
	used := int(t.target.Usage().Online().Load())
	if p.noConcurrencyLimit {
		return t.target.Backend().Slots() - used
	}
	return int(t.concurrencyLimit) - used
}

// recordFirstToken takes a first-token time and adapts the limit.
func (t *targetRow) recordFirstToken(seconds float64) {
	t.consecutiveFailures = 0
	if t.firstToken == 0 {
		t.firstToken, t.minFirstToken = seconds, seconds
	}
	t.firstToken += sampleWeight * (seconds - t.firstToken)
	t.minFirstToken = min(t.minFirstToken*minFirstTokenGrowth, seconds)
	used := float64(t.target.Usage().Online().Load())
	switch {
	case seconds > overloadRatio*t.minFirstToken && used > 1:
		t.concurrencyLimit = max(1, t.concurrencyLimit*limitDecreaseFactor)
	case used+1 >= t.concurrencyLimit:
		t.concurrencyLimit = min(t.concurrencyLimit+limitIncrement, float64(t.target.Backend().Slots()))
	}
}

// recordStall takes the age of an attempt that is still silent: its first-token
// time will be at least that.
func (t *targetRow) recordStall(seconds float64) {
	if t.firstToken > 0 && seconds > t.firstToken {
		t.firstToken += stallWeight * (seconds - t.firstToken)
	}
}

// recordTokenInterval takes the time between two tokens.
func (t *targetRow) recordTokenInterval(seconds float64) {
	if t.tokenInterval == 0 {
		t.tokenInterval = seconds
	}
	t.tokenInterval += sampleWeight * (seconds - t.tokenInterval)
}

// recordFailure counts a failed attempt.
func (t *targetRow) recordFailure(now time.Time, p Policy) {
	t.consecutiveFailures++
	if t.consecutiveFailures >= ejectAfterFailures && !p.noEjection {
		t.eject(now)
	}
}

// eject takes the server out of use for a while that doubles each time.
func (t *targetRow) eject(now time.Time) {
	duration := min(baseEjectionTime<<min(t.ejections, 5), maxEjectionTime)
	t.ejections++
	t.ejectedUntil = now.Add(duration)
	t.consecutiveFailures = 0
}

// score returns the expected first-token time, seconds.
func (t *targetRow) score(defaultSeconds float64) float64 {
	firstToken := t.firstToken
	if firstToken == 0 {
		firstToken = defaultSeconds
	}
	used := float64(t.target.Usage().Online().Load())
	load := t.target.Backend().Load()
	queued := float64(load.Queued())
	return firstToken * (1 + used/max(t.concurrencyLimit, 1) + queued/float64(max(t.target.Backend().Slots(), 1)))
}
