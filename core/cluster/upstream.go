package cluster

import (
	"log/slog"
	"slices"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/event"
	"papayaquay/core/table"
)

// Constants of the polls of control instances.
const (
	upstreamCount        = 2 // control instances that an instance polls
	pollMaxWait          = 500 * time.Millisecond
	pollTimeout          = 400 * time.Millisecond // in addition to pollMaxWait
	firstPollTimeout     = 300 * time.Millisecond // of the first poll, which is answered at once; doubled after each failure
	firstPollMaxTimeout  = 1200 * time.Millisecond
	upstreamRetryDelay   = 300 * time.Millisecond  // before another poll of an instance that did not answer
	upstreamMaxStaleness = 1200 * time.Millisecond // if an upstream's leader contact is older, another instance is polled too
)

// upstreamRow is a control instance that is polled.
type upstreamRow struct {
	epoch         uint64
	version       uint64
	polling       bool
	answered      bool      // it has answered since it was chosen
	leaderContact time.Time // last known contact with the leader of the control ledger
}

// isCurrent reports whether an upstream counts towards the limit. An upstream
// that is partitioned from the leader learns of no changes and doesn't count.
// One that has not answered yet counts, since it may be connected.
func (r *upstreamRow) isCurrent(now time.Time) bool {
	return !r.answered || now.Sub(r.leaderContact) <= upstreamMaxStaleness
}

// upstreams chooses and polls control instances.
type upstreams struct {
	self              string
	limit             int // of upstreams; 0 means all control instances
	logger            *slog.Logger
	rows              *table.Table[string, upstreamRow]
	failedAt          map[string]time.Time // last failed poll, by address
	firstPollFailures map[string]int       // consecutive first polls without an answer, by address
	poll              func(now time.Time, address string, row *upstreamRow, done func(call.Reply))
	forget            func(epoch uint64) // called with the epoch of a directory that is no longer polled
}

// newUpstreams returns an empty table of at most limit upstreams; 0 means that
// all control instances are polled.
func newUpstreams(self string, limit int, logger *slog.Logger) *upstreams {
	return &upstreams{self: self, limit: limit, logger: logger,
		rows: table.New[string, upstreamRow](), failedAt: make(map[string]time.Time), firstPollFailures: make(map[string]int)}
}

// run chooses upstreams among the candidates and polls those without a pending
// poll.
func (u *upstreams) run(now time.Time, candidates []string) {
	u.choose(now, candidates)
	u.rows.Each(func(address string, row *upstreamRow) {
		if !row.polling {
			row.polling = true
			u.poll(now, address, row, func(reply call.Reply) { u.pollEnded(reply, address) })
		}
	})
}

// choose adds candidates up to the limit. An upstream without recent leader
// contact is kept for its announcements of servers, but doesn't count.
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

// dropExtra drops the upstreams beyond the limit, first those without recent
// leader contact.
func (u *upstreams) dropExtra(now time.Time) {
	extra := u.rows.Len() - u.limit
	for _, outdated := range []bool{true, false} {
		u.rows.Each(func(address string, row *upstreamRow) {
			if extra > 0 && row.isCurrent(now) != outdated {
				u.drop(address)
				extra--
			}
		})
	}
}

// rotate returns the candidates in an order that differs between instances, so
// that their polls spread over the control instances.
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

// pollEnded records the end of a poll. An upstream that doesn't answer is
// dropped, so that another one can be chosen.
func (u *upstreams) pollEnded(reply call.Reply, address string) {
	row := u.rows.Get(address)
	if row == nil {
		return
	}
	row.polling = false
	if reply.Status() == call.StatusDone {
		delete(u.firstPollFailures, address)
		if !row.answered {
			event.UpstreamSelected.Log(u.logger, "control", address)
		}
		row.answered = true
		return
	}
	if row.answered {
		event.UpstreamUnreachable.Log(u.logger, "control", address)
	} else {
		u.firstPollFailures[address]++
	}
	u.drop(address)
}

// recordResponse records the versions and the staleness of a poll response. If the
// instance is no longer polled, its reports of stale servers are removed instead.
func (u *upstreams) recordResponse(now time.Time, address string, response PollResponse) {
	epoch := response.update.Epoch()
	row := u.rows.Get(address)
	if row == nil {
		u.forget(epoch)
		return
	}
	if row.epoch != epoch {
		u.forget(row.epoch) // the upstream was restarted
	}
	row.epoch, row.version = epoch, response.update.Version()
	row.leaderContact = now.Add(-response.staleness)
}

// drop stops polling an instance.
func (u *upstreams) drop(address string) {
	if row := u.rows.Get(address); row != nil {
		u.rows.Remove(address)
		u.forget(row.epoch)
	}
}

// firstTimeout returns the timeout of the first poll of an instance. It grows
// with each failure, so that an instance that is overloaded by the first polls
// of many others doesn't get even more of them.
func (u *upstreams) firstTimeout(address string) time.Duration {
	return min(firstPollTimeout<<min(u.firstPollFailures[address], 10), firstPollMaxTimeout)
}

// markFailed keeps an instance out of the choice for upstreamRetryDelay.
func (u *upstreams) markFailed(now time.Time, address string) { u.failedAt[address] = now }
