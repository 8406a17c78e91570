package traffic

import (
	"slices"
	"time"
)

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
		if row.phase != phaseRunning || row.hedged || row.item != 0 || row.request.atMostOnce || len(row.attempts) != 1 {
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
