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
	followWidth   = 2 // control instances that an instance follows
	followHold    = 500 * time.Millisecond
	followTimeout = 400 * time.Millisecond // beyond the hold
	firstTimeout  = 300 * time.Millisecond // of the first poll, which is answered at once; doubled with each failure
	firstLongest  = 1200 * time.Millisecond
	upstreamPause = 300 * time.Millisecond  // before an instance that did not answer is asked again
	upstreamAge   = 1200 * time.Millisecond // out of touch with the leader for longer, another one is followed besides
)

// upstreamRow is a control instance that is followed.
type upstreamRow struct {
	epoch   uint64
	version uint64
	asked   bool
	known   bool      // answered at least once since it was chosen
	inTouch time.Time // when it was surely in touch with the ledger's leader
}

// current reports whether an upstream counts for the width: one that is cut off
// from the leader hears of no change. One that did not answer yet may be sound.
func (r *upstreamRow) current(now time.Time) bool {
	return !r.known || now.Sub(r.inTouch) <= upstreamAge
}

// upstreams is the sub-world that follows control instances.
type upstreams struct {
	self   string
	width  int
	logger *slog.Logger
	rows   *table.Table[string, upstreamRow]
	failed map[string]time.Time
	missed map[string]int // first polls in a row without an answer
	poll   func(now time.Time, address string, row *upstreamRow, done func(call.Reply))
	left   func(epoch uint64) // told which directory is not followed any more
}

// newUpstreams returns the sub-world; width bounds the instances followed, 0
// meaning all.
func newUpstreams(self string, width int, logger *slog.Logger) *upstreams {
	return &upstreams{self: self, width: width, logger: logger,
		rows: table.New[string, upstreamRow](), failed: make(map[string]time.Time), missed: make(map[string]int)}
}

// run chooses upstreams among the candidates and polls those that are idle.
func (u *upstreams) run(now time.Time, candidates []string) {
	u.choose(now, candidates)
	u.rows.Each(func(address string, row *upstreamRow) {
		if !row.asked {
			row.asked = true
			u.poll(now, address, row, func(reply call.Reply) { u.answered(reply, address) })
		}
	})
}

// choose fills the free places. An upstream that is out of touch with the leader
// is kept for what it hears of servers, but takes no place.
func (u *upstreams) choose(now time.Time, candidates []string) {
	current := 0
	u.rows.Each(func(address string, row *upstreamRow) {
		switch {
		case !slices.Contains(candidates, address) && !row.known:
			u.drop(address)
		case row.current(now):
			current++
		}
	})
	if u.width > 0 && current >= u.width {
		u.shed(now)
		return
	}
	for _, address := range u.order(candidates) {
		if u.width > 0 && current >= u.width {
			return
		}
		if address == u.self || u.rows.Get(address) != nil || now.Sub(u.failed[address]) < upstreamPause {
			continue
		}
		u.rows.Put(address, upstreamRow{})
		current++
	}
}

// shed drops what is beyond the width, those out of touch first.
func (u *upstreams) shed(now time.Time) {
	extra := u.rows.Len() - u.width
	for _, stale := range []bool{true, false} {
		u.rows.Each(func(address string, row *upstreamRow) {
			if extra > 0 && row.current(now) != stale {
				u.drop(address)
				extra--
			}
		})
	}
}

// order returns the candidates in an order that differs between instances, so
// that they spread.
func (u *upstreams) order(candidates []string) []string {
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

// answered notes the end of a poll. An instance that does not answer makes
// place for another one.
func (u *upstreams) answered(reply call.Reply, address string) {
	row := u.rows.Get(address)
	if row == nil {
		return
	}
	row.asked = false
	if reply.Status() == call.StatusDone {
		delete(u.missed, address)
		if !row.known {
			event.UpstreamSelected.Log(u.logger, "control", address)
		}
		row.known = true
		return
	}
	if row.known {
		event.UpstreamUnreachable.Log(u.logger, "control", address)
	} else {
		u.missed[address]++
	}
	u.drop(address)
}

// heard notes an answer. What one says that is not followed any more does not
// count for long.
func (u *upstreams) heard(now time.Time, address string, news PollResponse) {
	epoch := news.update.Epoch()
	row := u.rows.Get(address)
	if row == nil {
		u.left(epoch)
		return
	}
	if row.epoch != epoch {
		u.left(row.epoch) // it was started again
	}
	row.epoch, row.version = epoch, news.update.Version()
	row.inTouch = now.Add(-news.staleness)
}

// drop ends to follow an instance.
func (u *upstreams) drop(address string) {
	if row := u.rows.Get(address); row != nil {
		u.rows.Remove(address)
		u.left(row.epoch)
	}
}

// patience returns how long the first answer of an instance is waited for. One that
// is overloaded by the first polls of many must not get more of them.
func (u *upstreams) patience(address string) time.Duration {
	return min(firstTimeout<<min(u.missed[address], 10), firstLongest)
}

// lost keeps an instance out of the choice for a while.
func (u *upstreams) lost(now time.Time, address string) { u.failed[address] = now }
