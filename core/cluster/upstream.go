package cluster

import (
	"log/slog"
	"slices"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/event"
	"papayaquay/core/table"
)

// Timing of the polls of control instances.
const (
	upstreamCount        = 2 // control instances that an instance follows
	pollMaxWait          = 500 * time.Millisecond
	pollTimeout          = 400 * time.Millisecond // beyond the hold
	firstPollTimeout     = 300 * time.Millisecond // of the first poll, which is answered at once; doubled with each failure
	firstPollMaxTimeout  = 1200 * time.Millisecond
	upstreamRetryDelay   = 300 * time.Millisecond  // before an instance that did not answer is asked again
	upstreamMaxStaleness = 1200 * time.Millisecond // out of touch with the leader for longer, another one is followed besides
)

// upstreamRow is a control instance that is followed.
type upstreamRow struct {
	epoch         uint64
	version       uint64
	polling       bool
	answered      bool      // answered at least once since it was chosen
	leaderContact time.Time // when it was surely in touch with the ledger's leader
}

// isCurrent reports whether an upstream counts for the width: one that is cut off
// from the leader hears of no change. One that did not answer yet may be sound.
func (r *upstreamRow) isCurrent(now time.Time) bool {
	return !r.answered || now.Sub(r.leaderContact) <= upstreamMaxStaleness
}

// upstreams is the sub-world that follows control instances.
type upstreams struct {
	self              string
	limit             int
	logger            *slog.Logger
	rows              *table.Table[string, upstreamRow]
	failedAt          map[string]time.Time
	firstPollFailures map[string]int // first polls in a row without an answer
	poll              func(now time.Time, address string, row *upstreamRow, done func(call.Reply))
	forget            func(epoch uint64) // told which directory is not followed any more
}

// newUpstreams returns the sub-world; width bounds the instances followed, 0
// meaning all.
func newUpstreams(self string, limit int, logger *slog.Logger) *upstreams {
	return &upstreams{self: self, limit: limit, logger: logger,
		rows: table.New[string, upstreamRow](), failedAt: make(map[string]time.Time), firstPollFailures: make(map[string]int)}
}

// run chooses upstreams among the candidates and polls those that are idle.
func (u *upstreams) run(now time.Time, candidates []string) {
	u.choose(now, candidates)
	u.rows.Each(func(address string, row *upstreamRow) {
		if !row.polling {
			row.polling = true
			u.poll(now, address, row, func(reply call.Reply) { u.pollEnded(reply, address) })
		}
	})
}

// choose fills the free places. An upstream that is out of touch with the leader
// is kept for what it hears of servers, but takes no place.
func (u *upstreams) choose(now time.Time, candidates []string) {
	current := 0
	u.rows.Each(func(address string, row *upstreamRow) {
		switch {
		case !slices.Contains(candidates, address) && !row.answered:
			u.drop(address)
		case row.isCurrent(now):
			current++
		}
	})
	if u.limit > 0 && current >= u.limit {
		u.dropExtra(now)
		return
	}
	for _, address := range u.rotate(candidates) {
		if u.limit > 0 && current >= u.limit {
			return
		}
		if address == u.self || u.rows.Get(address) != nil || now.Sub(u.failedAt[address]) < upstreamRetryDelay {
			continue
		}
		u.rows.Put(address, upstreamRow{})
		current++
	}
}

// dropExtra drops what is beyond the width, those out of touch first.
func (u *upstreams) dropExtra(now time.Time) {
	extra := u.rows.Len() - u.limit
	for _, stale := range []bool{true, false} {
		u.rows.Each(func(address string, row *upstreamRow) {
			if extra > 0 && row.isCurrent(now) != stale {
				u.drop(address)
				extra--
			}
		})
	}
}

// rotate returns the candidates in an order that differs between instances, so
// that they spread.
func (u *upstreams) rotate(candidates []string) []string {
	if len(candidates) == 0 {
		return nil
	}
	offset := 0
	for _, c := range u.self {
		offset = offset*31 + int(c)
	}
	first := (offset & 0xffff) % len(candidates)
	return append(slices.Clone(candidates[first:]), candidates[:first]...)
}

// pollEnded notes the end of a poll. An instance that does not answer makes
// place for another one.
func (u *upstreams) pollEnded(reply call.Reply, address string) {
	row := u.rows.Get(address)
	if row == nil {
		return
	}
	row.polling = false
	if reply.Status() == call.StatusDone {
		delete(u.firstPollFailures, address)
		if !row.answered {
			event.UpstreamFound.Log(u.logger, "control", address)
		}
		row.answered = true
		return
	}
	if row.answered {
		event.UpstreamLost.Log(u.logger, "control", address)
	} else {
		u.firstPollFailures[address]++
	}
	u.drop(address)
}

// recordResponse notes an answer. What one says that is not followed any more does not
// count for long.
func (u *upstreams) recordResponse(now time.Time, address string, response PollResponse) {
	epoch := response.update.Epoch()
	row := u.rows.Get(address)
	if row == nil {
		u.forget(epoch)
		return
	}
	if row.epoch != epoch {
		u.forget(row.epoch) // it was started again
	}
	row.epoch, row.version = epoch, response.update.Version()
	row.leaderContact = now.Add(-response.staleness)
}

// drop ends to follow an instance.
func (u *upstreams) drop(address string) {
	if row := u.rows.Get(address); row != nil {
		u.rows.Remove(address)
		u.forget(row.epoch)
	}
}

// firstTimeout returns how long the first answer of an instance is waited for. One that
// is overloaded by the first polls of many must not get more of them.
func (u *upstreams) firstTimeout(address string) time.Duration {
	return min(firstPollTimeout<<min(u.firstPollFailures[address], 10), firstPollMaxTimeout)
}

// markFailed keeps an instance out of the choice for a while.
func (u *upstreams) markFailed(now time.Time, address string) { u.failedAt[address] = now }
