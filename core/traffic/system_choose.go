package traffic

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// chooseTarget returns the backend server for the next attempt, or nil if none has a free
// slot. It compares the scores of a few random candidates and of the candidate with the
// warm prefix cache.
func (w *World) chooseTarget(now time.Time, row *requestRow) *targetRow {
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
		score := t.score(defaultFirstTokenSeconds) + scoreOffsetSeconds
		if t == warm {
			score *= affinityScoreFactor
		}
		if !t.target.SameDataCentre() {
			score *= remoteScoreFactor
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

// candidates returns the backend servers that can run the request. It prefers servers in
// this data centre, then servers in other data centres, then servers where an attempt of
// the request failed.
func (w *World) candidates(now time.Time, row *requestRow, onlyWithFreeSlot bool) []*targetRow {
	var local, remote, failed []*targetRow
	w.targets.Each(func(id string, t *targetRow) {
		if !t.inSnapshot || now.Before(t.ejectedUntil) || !t.target.Backend().Runs(row.request.service) {
			return
		}
		if onlyWithFreeSlot && t.freeSlots(w.policy) <= 0 {
			return
		}
		switch {
		case slices.Contains(row.failedBackends, id):
			failed = append(failed, t)
		case t.target.SameDataCentre():
			local = append(local, t)
		default:
			remote = append(remote, t)
		}
	})
	if len(local) > 0 {
		return local
	}
	if len(remote) > 0 {
		return remote
	}
	return failed
}

// warmTarget returns the candidate that requests with the same prompt prefix prefer, by
// rendezvous hashing. It returns nil if that server is busy or the prompt is short.
func (w *World) warmTarget(row *requestRow, candidates []*targetRow) *targetRow {
	if w.policy.noAffinity || len(row.request.prompt) < affinityPrefixBytes {
		return nil
	}
	prefix := row.request.prompt[:affinityPrefixBytes]
	var warm *targetRow
	var weight uint64
	for _, t := range candidates {
		h := xxhash.Sum64String(t.target.Backend().ID() + "\x00" + prefix)
		if warm == nil || h > weight {
			warm, weight = t, h
		}
	}
	if used := float64(warm.target.Usage().Online().Load()); used > maxAffinityUtilization*warm.concurrencyLimit {
		return nil
	}
	return warm
}
