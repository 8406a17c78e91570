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
	firstTimeout  = 300 * time.Millisecond // of the first poll, which is answered at once
	upstreamPause = 300 * time.Millisecond // before an instance that did not answer is asked again
)

// upstreamRow is a control instance that is followed.
type upstreamRow struct {
	epoch   uint64
	version uint64
	asked   bool
	known   bool // answered at least once since it was chosen
}

// upstreams is the sub-world that follows control instances.
type upstreams struct {
	self   string
	width  int
	logger *slog.Logger
	rows   *table.Table[string, upstreamRow]
	failed map[string]time.Time
	poll   func(now time.Time, address string, row *upstreamRow, done func(call.Reply))
}

// newUpstreams returns the sub-world; width bounds the instances followed, 0
// meaning all.
func newUpstreams(self string, width int, logger *slog.Logger) *upstreams {
	return &upstreams{self: self, width: width, logger: logger,
		rows: table.New[string, upstreamRow](), failed: make(map[string]time.Time)}
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

// choose fills the free places. Candidates are taken in an order that differs
// between instances, so that they spread.
func (u *upstreams) choose(now time.Time, candidates []string) {
	u.rows.Each(func(address string, row *upstreamRow) {
		if !slices.Contains(candidates, address) && !row.known {
			u.rows.Remove(address)
		}
	})
	offset := 0
	for _, c := range u.self {
		offset = offset*31 + int(c)
	}
	for i := range candidates {
		if u.width > 0 && u.rows.Len() >= u.width {
			return
		}
		address := candidates[(i+(offset&0xffff))%len(candidates)]
		if address == u.self || u.rows.Get(address) != nil || now.Sub(u.failed[address]) < upstreamPause {
			continue
		}
		u.rows.Put(address, upstreamRow{})
	}
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
		if !row.known {
			event.UpstreamFound.Log(u.logger, "control", address)
		}
		row.known = true
		return
	}
	if row.known {
		event.UpstreamLost.Log(u.logger, "control", address)
	}
	u.rows.Remove(address)
}

// lost keeps an instance out of the choice for a while.
func (u *upstreams) lost(now time.Time, address string) { u.failed[address] = now }
