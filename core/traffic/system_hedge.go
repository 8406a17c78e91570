package traffic

import (
	"slices"
	"time"
)

// hedge starts a second attempt for requests whose first one is silent for a
// multiple of the usual time. The median is used since the upper quantiles rise
// with the slow servers themselves.
func (w *World) hedge(now time.Time) {
	median := w.firstTokenQuantile(medianPercentile)
	if w.policy.noHedging || median == 0 {
		return
	}
	delay := max(hedgeDelayFactor*median, w.policy.minHedgeDelay)
	for _, number := range w.requests.Keys() {
		row := w.requests.Get(number)
		if row.phase != phaseRunning || row.hedged || row.item != 0 || row.request.atMostOnce || len(row.attempts) != 1 {
			continue
		}
		a := w.attempts.Get(row.attempts[0])
		if !a.firstToken.IsZero() {
			continue
		}
		if due := a.started.Add(delay); now.Before(due) {
			w.deadlines.ArmBefore(due)
			continue
		}
		w.ejectStalled(now, a)
		w.startHedge(now, number, row, a)
	}
}

// ejectStalled takes the server of a silent attempt out of use for a while: it
// slowed down, whatever its reports say.
func (w *World) ejectStalled(now time.Time, a *attemptRow) {
	t := w.targets.Get(a.backend)
	if t == nil || a.stallRecorded {
		return
	}
	a.stallRecorded = true
	t.recordStall(now.Sub(a.started).Seconds())
	if !w.policy.noEjection && w.canEject(now, t) {
		w.ejectTarget(now, t)
	}
}

// canEject reports whether another server may be taken out of use.
func (w *World) canEject(now time.Time, t *targetRow) bool {
	ejected := 0
	w.targets.Each(func(_ string, other *targetRow) {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	})
	return !now.Before(t.ejectedUntil) && (ejected+1)*ejectedShareDivisor <= w.targets.Len()
}

// ejectTarget takes a server out of use.
func (w *World) ejectTarget(now time.Time, t *targetRow) {
	t.eject(now)
	w.deadlines.ArmBefore(t.ejectedUntil)
	w.observer.ejected()
}

// startHedge starts the second attempt if the budget and a free slot allow it.
func (w *World) startHedge(now time.Time, number uint64, row *requestRow, first *attemptRow) {
	if w.hedgeBudget < 1 {
		return
	}
	failed := row.failedBackends
	row.failedBackends = append(slices.Clone(failed), first.backend)
	t := w.chooseTarget(now, row)
	row.failedBackends = failed
	if t == nil || t.target.Backend().ID() == first.backend {
		return
	}
	w.hedgeBudget--
	row.hedged = true
	w.observer.hedged()
	w.startAttempt(now, number, row, t)
}

// ejectSlow takes servers out of use whose first-token time is far above the
// median, unless too many are.
func (w *World) ejectSlow(now time.Time) {
	if w.policy.noEjection {
		return
	}
	var firstTokenTimes []float64
	w.targets.Each(func(_ string, t *targetRow) {
		if t.inSnapshot && t.firstToken > 0 {
			firstTokenTimes = append(firstTokenTimes, t.firstToken)
		}
	})
	if len(firstTokenTimes) < ejectedShareDivisor {
		return
	}
	slices.Sort(firstTokenTimes)
	median := firstTokenTimes[len(firstTokenTimes)/2]
	w.targets.Each(func(_ string, t *targetRow) {
		slow := t.firstToken > ejectLatencyRatio*median && t.firstToken > minEjectLatency.Seconds()
		if slow && w.canEject(now, t) {
			w.ejectTarget(now, t)
			t.firstToken = median // judged anew after the ejection
		}
	})
}
