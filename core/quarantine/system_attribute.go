package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds of a rejection.
const (
	explainingCrashes = 2 // crashes that a part must share to explain them in place of the parts before it
	minCrashes        = 3 // crashes before a part is quarantined
	provenCrashes     = 5 // crashes after which a quarantine is long

	// An answer that begins on a part after a crash excludes it. A rejection waits that long
	// for answers; longer for a first part, which many prompts share.
	settleTime          = 300 * time.Millisecond
	firstPartSettleTime = time.Second
	begunSettleTime     = 2 * time.Second // the same for answers that come to their end

	shortQuarantine = 30 * time.Second // from the last crash
	longQuarantine  = crashRetention

	maxLoggedBackends = 8
)

// candidate is a part that may have caused crashes.
type candidate struct {
	part    Part
	depth   int // highest position in the suspect prompts, -1 for a whole request
	crashes []CrashID
}

// remove removes crashes that another part explains.
func (c *candidate) remove(explained map[CrashID]bool) {
	c.crashes = slices.DeleteFunc(c.crashes, func(id CrashID) bool { return explained[id] })
}

// settle returns how long a rejection of the part waits for begins of answers.
func (c *candidate) settle() time.Duration {
	if c.depth <= 0 {
		return firstPartSettleTime
	}
	return settleTime
}

// attribution is the result of one derivation of the rejections from the crashes.
type attribution struct {
	view *View
	next time.Time // when the rejections change without new evidence, zero for never
}

// attribute derives the rejections from the crashes. It also returns when the rejections change
// next without new evidence, zero for never.
//
// Parts of requests whose answers had not begun are blamed first. Only for the crashes that none of
// them explains are the requests considered whose answers had begun.
func (w *World) attribute(now time.Time) (*View, time.Time) {
	a := &attribution{view: &View{suspects: make(map[Part]bool), uncleared: make(map[Part]bool), sound: w.soundParts(), crashed: w.crashedServers()}}
	explained := w.attributeToUnbegun(now, a)
	w.attributeToBegun(now, a, explained)
	return a.view, a.next
}

// attributeToUnbegun blames parts of requests whose answers had not begun, and returns the crashes
// that are explained so.
//
// A crash has one cause, but all parts of the suspect prompts are candidates. A part
// further back in the prompts is more specific: a crash is attributed to the last part
// that shares it with another crash, and among parts at the same position to the one with
// the most crashes. So the first part of a prompt is blamed only for crashes under prompts
// that have nothing else in common. A whole request is blamed last: if a part crashes
// servers, other requests with it do so too. Parts that were sound shortly before are blamed after
// the other parts, since they may share all crashes with one that is not.
func (w *World) attributeToUnbegun(now time.Time, a *attribution) (explained map[CrashID]bool) {
	explained, shared := make(map[CrashID]bool), make(map[CrashID]bool)
	candidates, sound := w.candidateParts((*crashRow).unbegunCandidates), a.view.sound
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(compareFalseFirst(a.part.isRequest(), b.part.isRequest()), compareFalseFirst(sound[a.part], sound[b.part]),
			cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	})
	for _, c := range candidates {
		a.view.suspects[c.part] = true
		c.remove(shared)
		if len(c.crashes) < explainingCrashes {
			continue
		}
		for _, id := range c.crashes {
			shared[id] = true
			explained[id] = len(c.crashes) >= minCrashes
		}
		if len(c.crashes) >= minCrashes {
			w.reject(now, a, c, c.settle())
		}
	}
	return explained
}

// attributeToBegun blames parts of requests that were lost after the begin of their answers, for the
// crashes that are not explained. A crash took many sound requests along with them, so the part with
// the most crashes is blamed, and the more specific one of several. A part that lacks half of the crashes of its time is
// not: servers that were killed together had requests in common.
func (w *World) attributeToBegun(now time.Time, a *attribution, explained map[CrashID]bool) {
	lost, sound := w.lostAfterBegin(), a.view.sound
	candidates := w.candidateParts(func(row *crashRow, yield func(position int, part Part)) { row.begunCandidates(lost, yield) })
	for _, c := range candidates {
		a.view.uncleared[c.part] = true
	}
	for {
		for _, c := range candidates {
			c.remove(explained)
		}
		candidates = slices.DeleteFunc(candidates, func(c *candidate) bool { return len(c.crashes) < minCrashes })
		if len(candidates) == 0 {
			return
		}
		c := slices.MinFunc(candidates, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), compareFalseFirst(sound[a.part], sound[b.part]),
				cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
		})
		candidates = slices.DeleteFunc(candidates, func(other *candidate) bool { return other == c })
		if 2*len(c.crashes) < w.unexplainedAround(c, explained) {
			continue
		}
		w.reject(now, a, c, begunSettleTime)
		for _, id := range c.crashes {
			explained[id] = true
		}
	}
}

// compareFalseFirst compares truth values so that false comes first.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// soundParts returns the parts of which an instance said that they were sound before a crash.
func (w *World) soundParts() map[Part]bool {
	sound := make(map[Part]bool)
	w.crashes.Each(func(_ CrashID, row *crashRow) {
		for _, part := range row.sound {
			sound[part] = true
		}
	})
	return sound
}

// unexplainedAround returns the number of crashes that are not explained, from the first to the last
// one of a candidate.
func (w *World) unexplainedAround(c *candidate, explained map[CrashID]bool) int {
	first, last := w.crashes.Get(c.crashes[0]).happenedAt, time.Time{}
	for _, id := range c.crashes {
		at := w.crashes.Get(id).happenedAt
		if at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	count := 0
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if !row.refuted && !explained[id] && !row.happenedAt.Before(first) && !row.happenedAt.After(last) {
			count++
		}
	})
	return count
}

// reject adds the rejection of a part to the view while it is in force.
func (w *World) reject(now time.Time, a *attribution, c *candidate, settle time.Duration) {
	from, until := w.span(c, settle)
	change := until
	switch {
	case now.Before(from):
		change = from
	case now.Before(until):
		a.view.rejections = append(a.view.rejections,
			Rejection{part: c.part, crashes: len(c.crashes), until: until, left: until.Sub(now), backends: backendsOf(c.crashes)})
	default:
		return
	}
	if a.next.IsZero() || change.Before(a.next) {
		a.next = change
	}
}

// crashedServers returns the crashes that are not refuted.
func (w *World) crashedServers() map[CrashID]bool {
	servers := make(map[CrashID]bool)
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if !row.refuted {
			servers[id] = true
		}
	})
	return servers
}

// candidateParts returns the candidates among the parts that parts yields for each crash, with
// their positions.
func (w *World) candidateParts(parts func(row *crashRow, yield func(position int, part Part))) []*candidate {
	byPart := make(map[Part]*candidate)
	var candidates []*candidate
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if row.refuted {
			return
		}
		parts(row, func(position int, part Part) {
			c := byPart[part]
			if c == nil {
				c = &candidate{part: part, depth: -1}
				byPart[part], candidates = c, append(candidates, c)
			}
			c.depth = max(c.depth, position)
			if n := len(c.crashes); n == 0 || c.crashes[n-1] != id {
				c.crashes = append(c.crashes, id)
			}
		})
	})
	return candidates
}

// unbegunCandidates yields the parts that may have caused the crash before the begin of an answer.
func (r *crashRow) unbegunCandidates(yield func(position int, part Part)) {
	for _, prompt := range r.suspects {
		for position, part := range prompt.positions() {
			if !slices.Contains(r.excluded, part) && !slices.Contains(r.cleared, part) {
				yield(position, part)
			}
		}
	}
}

// begunCandidates yields the parts of lostAfterBegin that may have caused the crash. The begin of an
// answer does not exclude them.
func (r *crashRow) begunCandidates(lostAfterBegin map[Part]bool, yield func(position int, part Part)) {
	for _, prompts := range [][]Prompt{r.suspects, r.begun} {
		for _, prompt := range prompts {
			for position, part := range prompt.positions() {
				if lostAfterBegin[part] && !slices.Contains(r.cleared, part) {
					yield(position, part)
				}
			}
		}
	}
}

// lostAfterBegin returns the parts of the requests that were lost after their answers had begun.
func (w *World) lostAfterBegin() map[Part]bool {
	lost := make(map[Part]bool)
	w.crashes.Each(func(_ CrashID, row *crashRow) {
		for _, prompt := range row.begun {
			for _, part := range prompt {
				lost[part] = true
			}
		}
	})
	return lost
}

// span returns from when and until when a part is quarantined.
func (w *World) span(c *candidate, settle time.Duration) (from, until time.Time) {
	var learned []time.Time
	last := time.Time{}
	for _, id := range c.crashes {
		row := w.crashes.Get(id)
		learned = append(learned, row.learnedAt)
		if row.happenedAt.After(last) {
			last = row.happenedAt
		}
	}
	slices.SortFunc(learned, time.Time.Compare)
	duration := shortQuarantine
	if len(c.crashes) >= provenCrashes {
		duration = longQuarantine
	}
	return learned[minCrashes-1].Add(settle), last.Add(duration)
}

// backendsOf returns the backend servers of crashes, at most maxLoggedBackends.
func backendsOf(crashes []CrashID) []string {
	var backends []string
	for _, id := range crashes[:min(len(crashes), maxLoggedBackends)] {
		backends = append(backends, id.backend)
	}
	return backends
}
