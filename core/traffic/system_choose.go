package traffic

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
		if !t.target.SameDataCentre() {
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
		case t.target.SameDataCentre():
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
