package traffic

import (
	"slices"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/outcome"

	"github.com/cespare/xxhash/v2"
)

// Choice constants.
const (
	prefixBytes     = 256 // of the prompt that name its prefix
	affinityFactor  = 0.6 // on the score of the server with the warm prefix
	affinityUse     = 0.75
	sampledTargets  = 2
	farFactor       = 4.0 // on the score of a server in another data centre
	unknownFirst    = 0.05
	retryReserve    = 3.0
	failsafeSeconds = 0.001
)

// enqueue makes a request wait for a slot.
func (w *World) enqueue(number uint64, row *requestRow) {
	row.phase = phaseQueued
	w.queue = append(w.queue, number)
}

// expire ends requests whose deadline passed and attempts that are silent.
func (w *World) expire(now time.Time) {
	for _, number := range w.requests.Keys() {
		row := w.requests.Get(number)
		if row.phase == phaseStoring || row.item != 0 {
			continue
		}
		if now.Before(row.request.deadline) {
			w.due.ArmBefore(row.request.deadline)
			continue
		}
		w.abandon(row)
		w.overdue(now, number, row)
	}
	for _, id := range w.attempts.Keys() {
		a := w.attempts.Get(id)
		if a == nil {
			continue
		}
		silent := a.started
		if !a.last.IsZero() {
			silent = a.last
		}
		if due := silent.Add(silenceTimeout); now.Before(due) {
			w.due.ArmBefore(due)
			continue
		}
		w.abort(id)
		w.receiveEnd(now, ended{attempt: id, failure: FailureTimeout})
	}
}

// overdue answers a request at its deadline.
func (w *World) overdue(now time.Time, number uint64, row *requestRow) {
	if row.request.once && row.tries > 0 {
		w.conclude(now, number, row, outcome.Unknown, "no answer before the deadline")
		return
	}
	w.finish(number, row, Event{kind: EventError, err: row.refusal()})
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

// choose returns the backend server for the next attempt, or nil while none
// has room.
func (w *World) choose(now time.Time, row *requestRow) *targetRow {
	candidates := w.candidates(now, row, true)
	if len(candidates) == 0 {
		return nil
	}
	if w.policy.randomChoice {
		return candidates[w.random.IntN(len(candidates))]
	}
	best, bestScore := (*targetRow)(nil), 0.0
	warm := w.warmTarget(row, candidates)
	consider := func(t *targetRow) {
		score := t.score(unknownFirst) + failsafeSeconds
		if t == warm {
			score *= affinityFactor
		}
		if !t.target.Near() {
			score *= farFactor
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	for range sampledTargets {
		consider(candidates[w.random.IntN(len(candidates))])
	}
	if warm != nil {
		consider(warm)
	}
	return best
}

// candidates returns the backend servers that can run the request. Those in
// this data centre are preferred, and those that have not failed it yet.
func (w *World) candidates(now time.Time, row *requestRow, free bool) []*targetRow {
	var near, far, tried []*targetRow
	w.targets.Each(func(id string, t *targetRow) {
		if !t.present || now.Before(t.ejectUntil) || !t.target.Backend().Runs(row.request.service) {
			return
		}
		if free && t.freeSlots(w.policy) <= 0 {
			return
		}
		switch {
		case slices.Contains(row.tried, id):
			tried = append(tried, t)
		case t.target.Near():
			near = append(near, t)
		default:
			far = append(far, t)
		}
	})
	if len(near) > 0 {
		return near
	}
	if len(far) > 0 {
		return far
	}
	return tried
}

// warmTarget returns the candidate that requests with the same prompt prefix
// go to, unless it is busy.
func (w *World) warmTarget(row *requestRow, candidates []*targetRow) *targetRow {
	if w.policy.noAffinity || len(row.request.prompt) < prefixBytes {
		return nil
	}
	prefix := row.request.prompt[:prefixBytes]
	var warm *targetRow
	var weight uint64
	for _, t := range candidates {
		h := xxhash.Sum64String(t.target.Backend().ID() + "\x00" + prefix)
		if warm == nil || h > weight {
			warm, weight = t, h
		}
	}
	if used := float64(warm.target.Usage().Online().Load()); used > affinityUse*warm.limit {
		return nil
	}
	return warm
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
	service, ok := w.known.View().Get(config.NewRef(config.KindService, row.request.service))
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
	object, ok := w.known.View().Get(config.NewRef(kind, name))
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

// hedge starts a second attempt for requests whose first one is silent for a
// multiple of the usual time. The median is used since the upper quantiles rise
// with the slow servers themselves.
func (w *World) hedge(now time.Time) {
	median := w.firstQuantile(medianQuantile)
	if w.policy.noHedge || median == 0 {
		return
	}
	wait := max(hedgeFactor*median, w.policy.hedgeFloor)
	for _, number := range w.requests.Keys() {
		row := w.requests.Get(number)
		if row.phase != phaseRunning || row.hedged || row.item != 0 || row.request.once || len(row.attempts) != 1 {
			continue
		}
		a := w.attempts.Get(row.attempts[0])
		if !a.first.IsZero() {
			continue
		}
		if due := a.started.Add(wait); now.Before(due) {
			w.due.ArmBefore(due)
			continue
		}
		w.noteSilent(now, a)
		w.hedgeOne(now, number, row, a)
	}
}

// noteSilent takes the server of a silent attempt out of use for a while: it
// slowed down, whatever its reports say.
func (w *World) noteSilent(now time.Time, a *attemptRow) {
	t := w.targets.Get(a.backend)
	if t == nil || a.noted {
		return
	}
	a.noted = true
	t.learnSlow(now.Sub(a.started).Seconds())
	if !w.policy.noEject && w.mayEject(now, t) {
		w.ejectOne(now, t)
	}
}

// mayEject reports whether another server may be taken out of use.
func (w *World) mayEject(now time.Time, t *targetRow) bool {
	ejected := 0
	w.targets.Each(func(_ string, other *targetRow) {
		if now.Before(other.ejectUntil) {
			ejected++
		}
	})
	return !now.Before(t.ejectUntil) && (ejected+1)*maxEjectedShare <= w.targets.Len()
}

// ejectOne takes a server out of use.
func (w *World) ejectOne(now time.Time, t *targetRow) {
	t.eject(now)
	w.due.ArmBefore(t.ejectUntil)
	w.observe.ejected()
}

// hedgeOne starts the second attempt if the budget and a free slot allow it.
func (w *World) hedgeOne(now time.Time, number uint64, row *requestRow, first *attemptRow) {
	if w.hedges < 1 {
		return
	}
	tried := row.tried
	row.tried = append(slices.Clone(tried), first.backend)
	t := w.choose(now, row)
	row.tried = tried
	if t == nil || t.target.Backend().ID() == first.backend {
		return
	}
	w.hedges--
	row.hedged = true
	w.observe.hedged()
	w.attempt(now, number, row, t)
}

// ejectSlow takes servers out of use whose first-token time is far above the
// median, unless too many are.
func (w *World) ejectSlow(now time.Time) {
	if w.policy.noEject {
		return
	}
	var firsts []float64
	w.targets.Each(func(_ string, t *targetRow) {
		if t.present && t.first > 0 {
			firsts = append(firsts, t.first)
		}
	})
	if len(firsts) < maxEjectedShare {
		return
	}
	slices.Sort(firsts)
	median := firsts[len(firsts)/2]
	w.targets.Each(func(_ string, t *targetRow) {
		slow := t.first > ejectSlowdown*median && t.first > minEjectTime.Seconds()
		if slow && w.mayEject(now, t) {
			w.ejectOne(now, t)
			t.first = median // judged anew after the ejection
		}
	})
}
