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

// attribute derives the rejections from the crashes. It also returns when the rejections change
// next without new evidence, zero for never.
//
// A crash has one cause, but all parts of the suspect prompts are candidates. A part
// further back in the prompts is more specific: a crash is attributed to the last part
// that shares it with another crash, and among parts at the same position to the one with
// the most crashes. So the first part of a prompt is blamed only for crashes under prompts
// that have nothing else in common. A whole request is blamed last: if a part crashes
// servers, other requests with it do so too.
func (w *World) attribute(now time.Time) (*View, time.Time) {
	view := &View{suspects: make(map[Part]bool), crashed: w.crashedServers()}
	explained := make(map[CrashID]bool)
	next := time.Time{}
	for _, a := range w.candidateParts() {
		view.suspects[a.part] = true
		crashes := slices.DeleteFunc(a.crashes, func(id CrashID) bool { return explained[id] })
		if len(crashes) < explainingCrashes {
			continue
		}
		for _, id := range crashes {
			explained[id] = true
		}
		if len(crashes) < minCrashes {
			continue
		}
		from, until := w.span(a, crashes)
		rejection := Rejection{part: a.part, crashes: len(crashes), until: until, left: until.Sub(now), backends: backendsOf(crashes)}
		change := until
		switch {
		case now.Before(from):
			change = from
		case now.Before(until):
			view.rejections = append(view.rejections, rejection)
		default:
			continue
		}
		if next.IsZero() || change.Before(next) {
			next = change
		}
	}
	return view, next
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

// candidateParts returns the candidates in the order in which crashes are attributed to
// them.
func (w *World) candidateParts() []*candidate {
	byPart := make(map[Part]*candidate)
	var parts []*candidate
	w.crashes.Each(func(id CrashID, row *crashRow) {
		if row.refuted {
			return
		}
		for _, prompt := range row.suspects {
			for depth, part := range prompt.positions() {
				if slices.Contains(row.excluded, part) {
					continue
				}
				a := byPart[part]
				if a == nil {
					a = &candidate{part: part, depth: -1}
					byPart[part], parts = a, append(parts, a)
				}
				a.depth = max(a.depth, depth)
				if n := len(a.crashes); n == 0 || a.crashes[n-1] != id {
					a.crashes = append(a.crashes, id)
				}
			}
		}
	})
	slices.SortFunc(parts, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	})
	return parts
}

// span returns from when and until when a part is quarantined for the given crashes.
func (w *World) span(a *candidate, crashes []CrashID) (from, until time.Time) {
	var learned []time.Time
	last := time.Time{}
	for _, id := range crashes {
		row := w.crashes.Get(id)
		learned = append(learned, row.learnedAt)
		if row.happenedAt.After(last) {
			last = row.happenedAt
		}
	}
	slices.SortFunc(learned, time.Time.Compare)
	settle := settleTime
	if a.depth <= 0 {
		settle = firstPartSettleTime
	}
	duration := shortQuarantine
	if len(crashes) >= provenCrashes {
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
