package traffic

import (
	"slices"
	"time"
)

// hedge starts a second attempt for requests whose first attempt has no token after a
// multiple of the median time to first token. It uses the median because slow servers
// raise the upper quantiles.
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

// ejectStalled ejects the server of an attempt without a first token. The server is slow,
// even if its load reports show no sign of it.
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

// canEject reports whether a server may be ejected: it is not ejected yet, and the share of
// ejected servers stays within the limit.
func (w *World) canEject(now time.Time, t *targetRow) bool {
	ejected := 0
	w.targets.Each(func(_ string, other *targetRow) {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	})
	return !now.Before(t.ejectedUntil) && (ejected+1)*ejectedShareDivisor <= w.targets.Len()
}

// ejectTarget ejects a server and reports it to the observer.
func (w *World) ejectTarget(now time.Time, t *targetRow) {
	t.eject(now)
	w.deadlines.ArmBefore(t.ejectedUntil)
	w.observer.ejected()
}

// startHedge starts the second attempt if the hedge budget allows it and another server has
// a free slot.
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

// ejectSlow ejects the servers whose time to first token is far above the median, up to the
// limit of ejected servers.
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
			t.firstToken = median // measured again after the ejection
		}
	})
}
