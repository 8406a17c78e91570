package traffic

import (
	"slices"
	"time"

	"papayaquay/core/config"
)

// Choice constants.
const (
	prefixBytes     = 256 // of the prompt that name its prefix
	affinityFactor  = 0.6 // on the score of the server with the warm prefix
	affinityUse     = 0.75
	sampledTargets  = 2
	farFactor       = 4.0 // on the score of a server in another data centre
	unknownFirst    = 0.05
	maxHedgeBudget  = 3.0  // hedges saved up
	maxRetryBudget  = 10.0 // retries saved up
	failsafeSeconds = 0.001
)

// enqueue makes a request wait for a slot.
func (w *World) enqueue(number uint64, row *requestRow) {
	row.phase = phaseQueued
	w.queue = append(w.queue, number)
}

// dispatch gives queued requests free slots, the least expected work first. A
// second of waiting counts as ageWeight tokens less, so that long requests
// get their turn too.
func (w *World) dispatch(now time.Time) {
	if len(w.queue) == 0 {
		return
	}
	w.queue = slices.DeleteFunc(w.queue, func(number uint64) bool {
		row := w.requests.Get(number)
		return row == nil || row.phase != phaseQueued
	})
	if !w.policy.firstCome {
		slices.SortStableFunc(w.queue, func(a, b uint64) int {
			return cmpFloat(w.rank(now, a), w.rank(now, b))
		})
	}
	full := make(map[string]bool)
	w.queue = slices.DeleteFunc(w.queue, func(number uint64) bool {
		row := w.requests.Get(number)
		if full[row.request.service] {
			return false
		}
		if !w.start(now, number, row) {
			full[row.request.service] = true
			return false
		}
		return true
	})
	w.observe.queued(len(w.queue))
}

// rank orders the queue: expected tokens less the credit for waiting.
func (w *World) rank(now time.Time, number uint64) float64 {
	row := w.requests.Get(number)
	expected := float64(row.request.maxTokens)
	if s := w.services.Get(row.request.service); s != nil {
		expected = min(expected, s.tokens)
	}
	return expected - now.Sub(row.queued).Seconds()*ageWeight
}

// cmpFloat compares two numbers.
func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// start begins an attempt for a queued request if a backend server has room.
func (w *World) start(now time.Time, number uint64, row *requestRow) bool {
	t := w.choose(now, row)
	if t == nil {
		return false
	}
	row.phase = phaseRunning
	w.attempt(now, number, row, t)
	return true
}

// attempt starts a run of the request on a backend server.
func (w *World) attempt(now time.Time, number uint64, row *requestRow, t *targetRow) {
	w.lastTry++
	id := w.lastTry
	b := t.target.Backend()
	online := row.item == 0
	w.attempts.Put(id, attemptRow{request: number, backend: b.ID(), online: online, started: now})
	row.attempts = append(row.attempts, id)
	row.tries++
	w.count(t, online, 1)
	w.due.ArmBefore(now.Add(silenceTimeout))
	w.begin(w.describe(id, row, t))
}

// describe builds the attempt for the backend server's protocol.
func (w *World) describe(id uint64, row *requestRow, t *targetRow) Attempt {
	b := t.target.Backend()
	a := Attempt{id: id, backend: b.ID(), address: b.Address(), protocol: config.Protocol(b.Protocol()),
		prompt: row.request.prompt, prefix: row.text, maxTokens: row.request.maxTokens - row.tokens,
		online: row.item == 0, deadline: row.request.deadline, trace: row.request.trace}
	service, ok := w.known.Config().Get(config.NewRef(config.KindService, row.request.service))
	if !ok {
		return a
	}
	a.model = w.versioned(config.KindModel, service.Spec().Model())
	a.adapter = w.versioned(config.KindAdapter, service.Spec().Adapter())
	return a
}

// versioned returns name@version of a configured model or adapter.
func (w *World) versioned(kind config.Kind, name string) string {
	if name == "" {
		return ""
	}
	object, ok := w.known.Config().Get(config.NewRef(kind, name))
	if !ok || object.Spec().Version() == "" {
		return name
	}
	return name + "@" + object.Spec().Version()
}

// count changes the usage counters of a backend server.
func (w *World) count(t *targetRow, online bool, by int) {
	if !online {
		t.target.Usage().Batch().Add(int32(by))
		return
	}
	t.online += by
	t.target.Usage().Online().Add(int32(by))
	w.usageDone = true
	w.slotFreed = w.slotFreed || by < 0
}
