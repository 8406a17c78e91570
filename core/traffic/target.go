package traffic

import (
	"time"

	"papayaquay/core/control"
)

// Parameters of the concurrency limit and of ejection.
const (
	sampleWeight        = 0.2                   // weight of a new sample in a moving average
	stallWeight         = 0.5                   // weight of the age of an attempt without a first token
	limitIncrement      = 0.5                   // requests added to a limit that is fully used
	limitDecreaseFactor = 0.8                   // factor on the limit of an overloaded server
	overloadRatio       = 3.0                   // time to first token relative to its minimum that means overload
	minFirstTokenGrowth = 1.002                 // factor on the minimum per sample, so that old minima expire
	ejectAfterFailures  = 3                     // consecutive failures
	ejectLatencyRatio   = 4.0                   // time to first token relative to the median that ejects
	baseEjectionTime    = time.Second           // duration of the first ejection, doubled with each further one
	maxEjectionTime     = 30 * time.Second      // maximum duration of an ejection
	ejectedShareDivisor = 3                     // at most one in this many servers is ejected as slow
	busyBackoff         = 50 * time.Millisecond // without requests for a busy server
	minEjectLatency     = 20 * time.Millisecond // faster servers are not ejected as slow
)

// targetRow is a backend server with the measurements of this thread.
type targetRow struct {
	target              control.Target
	inSnapshot          bool    // is in the current snapshot
	onlineAttempts      int     // running online attempts of this thread
	firstToken          float64 // moving average of the time to first token, seconds, 0 for none
	minFirstToken       float64 // slowly rising minimum of the time to first token, seconds
	tokenInterval       float64 // moving average of the time between tokens, seconds
	concurrencyLimit    float64 // maximum number of concurrent online attempts
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// freeSlots returns the number of online attempts that this instance may still start on the
// server.
func (t *targetRow) freeSlots(p Policy) int {
	used := int(t.target.Usage().Online().Load())
	if p.noConcurrencyLimit {
		return t.target.Backend().Slots() - used
	}
	return int(t.concurrencyLimit) - used
}

// recordFirstToken records a time to first token and adapts the concurrency limit.
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

// recordStall records the age of an attempt without a first token, which is a lower bound
// of its time to first token.
func (t *targetRow) recordStall(seconds float64) {
	if t.firstToken > 0 && seconds > t.firstToken {
		t.firstToken += stallWeight * (seconds - t.firstToken)
	}
}

// recordTokenInterval records the time between two tokens.
func (t *targetRow) recordTokenInterval(seconds float64) {
	if t.tokenInterval == 0 {
		t.tokenInterval = seconds
	}
	t.tokenInterval += sampleWeight * (seconds - t.tokenInterval)
}

// recordFailure counts a failed attempt. It ejects the server after ejectAfterFailures
// consecutive failures, unless the policy disables ejection.
func (t *targetRow) recordFailure(now time.Time, p Policy) {
	t.consecutiveFailures++
	if t.consecutiveFailures >= ejectAfterFailures && !p.noEjection {
		t.eject(now)
	}
}

// eject stops the use of the server for a time that doubles with each ejection.
func (t *targetRow) eject(now time.Time) {
	duration := min(baseEjectionTime<<min(t.ejections, 5), maxEjectionTime)
	t.ejections++
	t.ejectedUntil = now.Add(duration)
	t.consecutiveFailures = 0
}

// score returns the expected time to first token in seconds. defaultSeconds is the time of
// a server without measurements.
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
