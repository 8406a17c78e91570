package traffic

import (
	"slices"
	"time"

	"papayaquay/core/config"
)

// Parameters of the server choice and the budgets.
const (
	affinityPrefixBytes      = 256   // bytes of the prompt that identify its prefix
	affinityScoreFactor      = 0.6   // on the score of the server with the warm prefix cache
	maxAffinityUtilization   = 0.75  // share of the concurrency limit in use above which affinity is ignored
	sampledTargets           = 2     // random candidates whose scores are compared
	remoteScoreFactor        = 4.0   // on the score of a server in another data centre
	defaultFirstTokenSeconds = 0.05  // of a server without measurements
	maxHedgeBudget           = 3.0   // unused hedges that are kept
	maxRetryBudget           = 10.0  // unused retries that are kept
	scoreOffsetSeconds       = 0.001 // keeps scores above zero
)

// enqueue appends a request to the queue of requests that wait for a slot.
func (w *World) enqueue(number uint64, row *requestRow) {
	row.phase = phaseQueued
	w.queue = append(w.queue, number)
}

// dispatch starts queued requests in free slots, those with the least expected work first.
// Each second in the queue reduces the rank by agingTokensPerSecond, so that long requests
// do not starve.
func (w *World) dispatch(now time.Time) {
	if len(w.queue) == 0 {
		return
	}
	w.queue = slices.DeleteFunc(w.queue, func(number uint64) bool {
		row := w.requests.Get(number)
		return row == nil || row.phase != phaseQueued
	})
	if !w.policy.fifoQueue {
		slices.SortStableFunc(w.queue, func(a, b uint64) int {
			return compareFloats(w.queueRank(now, a), w.queueRank(now, b))
		})
	}
	noFreeSlot := make(map[string]bool)
	w.queue = slices.DeleteFunc(w.queue, func(number uint64) bool {
		row := w.requests.Get(number)
		if noFreeSlot[row.request.service] {
			return false
		}
		if !w.tryStart(now, number, row) {
			noFreeSlot[row.request.service] = true
			return false
		}
		return true
	})
	w.observer.queued(len(w.queue))
}

// queueRank returns the sort key of a queued request: its expected tokens minus the credit
// for its waiting time.
func (w *World) queueRank(now time.Time, number uint64) float64 {
	row := w.requests.Get(number)
	expected := float64(row.request.maxTokens)
	if s := w.services.Get(row.request.service); s != nil {
		expected = min(expected, s.answerTokens)
	}
	return expected - now.Sub(row.queuedAt).Seconds()*agingTokensPerSecond
}

// compareFloats returns -1, 0 or 1 for a less than, equal to or greater than b.
func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// tryStart starts an attempt of a queued request if a backend server has a free slot.
func (w *World) tryStart(now time.Time, number uint64, row *requestRow) bool {
	t := w.chooseTarget(now, row)
	if t == nil {
		return false
	}
	row.phase = phaseRunning
	w.startAttempt(now, number, row, t)
	return true
}

// startAttempt starts an attempt of a request on a backend server.
func (w *World) startAttempt(now time.Time, number uint64, row *requestRow, t *targetRow) {
	w.lastAttempt++
	id := w.lastAttempt
	b := t.target.Backend()
	online := row.item == 0
	w.attempts.Put(id, attemptRow{request: number, backend: b.ID(), online: online, started: now})
	row.attempts = append(row.attempts, id)
	row.attemptCount++
	w.addUsage(t, online, 1)
	w.deadlines.ArmBefore(now.Add(idleTimeout))
	w.begin(w.newAttempt(id, row, t))
}

// newAttempt returns the attempt to pass to the client of the backend server.
func (w *World) newAttempt(id uint64, row *requestRow, t *targetRow) Attempt {
	b := t.target.Backend()
	a := Attempt{id: id, backend: b.ID(), address: b.Address(), protocol: config.Protocol(b.Protocol()),
		prompt: row.request.prompt, prefix: row.text, maxTokens: row.request.maxTokens - row.tokens,
		online: row.item == 0, deadline: row.request.deadline, trace: row.request.trace}
	service, ok := w.current.Config().Get(config.NewRef(config.KindService, row.request.service))
	if !ok {
		return a
	}
	a.model = w.versionedName(config.KindModel, service.Spec().Model())
	a.adapter = w.versionedName(config.KindAdapter, service.Spec().Adapter())
	return a
}

// versionedName returns name@version of a model or adapter, or name if the configuration
// has no version of it.
func (w *World) versionedName(kind config.Kind, name string) string {
	if name == "" {
		return ""
	}
	object, ok := w.current.Config().Get(config.NewRef(kind, name))
	if !ok || object.Spec().Version() == "" {
		return name
	}
	return name + "@" + object.Spec().Version()
}

// addUsage adds delta to the usage counters of a backend server.
func (w *World) addUsage(t *targetRow, online bool, delta int) {
	if !online {
		t.target.Usage().Batch().Add(int32(delta))
		return
	}
	t.onlineAttempts += delta
	t.target.Usage().Online().Add(int32(delta))
	w.usageChanged = true
	w.slotFreed = w.slotFreed || delta < 0
}
