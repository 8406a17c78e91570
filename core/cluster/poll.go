package cluster

import (
	"time"

	"papayaquay/core/table"
)

// Pauses between rounds of answers to polls that are not due. Many servers may
// come within a second, and each round is an answer to every follower.
const (
	newsPause   = 10 * time.Millisecond
	newsEach    = 300 * time.Microsecond // the same for each follower
	newsPauseTo = 150 * time.Millisecond
)

// pollRow is a follower's poll that waits for news.
type pollRow struct {
	number    uint64 // of the call
	following PollRequest
	due       time.Time
}

// polls is the sub-world of the polls that wait here, by follower: a newer poll
// of a follower replaces an older one, whose answer nobody waits for.
type polls struct {
	rows    *table.Table[string, pollRow]
	due     time.Time // no poll is due before
	looked  newsMark  // news at the last tick
	pending bool      // there may be news for some polls
	round   time.Time // when polls were last answered for news
}

// newsMark names the state of what may answer polls before they are due.
type newsMark struct {
	urgent   uint64
	number   uint64
	founders int
}

// newPolls returns an empty sub-world.
func newPolls() *polls { return &polls{rows: table.New[string, pollRow]()} }

// add keeps a poll until there are news or it is due; fresh tells that there are
// news for it already.
func (p *polls) add(from string, row pollRow, fresh bool) {
	p.rows.Put(from, row)
	p.pending = p.pending || fresh
	if p.rows.Len() == 1 || row.due.Before(p.due) {
		p.due = row.due
	}
}

// pause returns the time between two rounds of answers for news.
func (p *polls) pause() time.Duration {
	return min(max(newsPause, time.Duration(p.rows.Len())*newsEach), newsPauseTo)
}

// take removes and visits the polls that can be answered. All of them are looked
// at only when one is due or there may be news.
func (p *polls) take(now time.Time, mark newsMark, news func(*pollRow) bool, answer func(askerKey, PollRequest)) {
	p.pending = p.pending || mark != p.looked
	p.looked = mark
	fresh := p.pending && !now.Before(p.round.Add(p.pause()))
	if p.rows.Len() == 0 || (now.Before(p.due) && !fresh) {
		return
	}
	if fresh {
		p.pending, p.round = false, now
	}
	next := time.Time{}
	p.rows.Each(func(from string, row *pollRow) {
		if now.Before(row.due) && !(fresh && news(row)) {
			if next.IsZero() || row.due.Before(next) {
				next = row.due
			}
			return
		}
		asker, following := askerKey{from: from, number: row.number}, row.following
		p.rows.Remove(from)
		answer(asker, following)
	})
	p.due = next
}

// next returns the earliest deadline.
func (p *polls) next() (time.Time, bool) {
	round := p.round.Add(p.pause())
	if p.pending && round.Before(p.due) {
		return round, p.rows.Len() > 0
	}
	return p.due, p.rows.Len() > 0
}
