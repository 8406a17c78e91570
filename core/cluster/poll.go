package cluster

import (
	"time"

	"papayaquay/core/table"
)

// pollRow is a follower's poll that waits for news.
type pollRow struct {
	number    uint64 // of the call
	following Following
	due       time.Time
	urgent    uint64 // version of urgent news when the poll came
}

// polls is the sub-world of the polls that wait here, by follower: a newer poll
// of a follower replaces an older one, whose answer nobody waits for.
type polls struct {
	rows   *table.Table[string, pollRow]
	due    time.Time // no poll is due before
	looked newsMark  // news at the last look at all polls
}

// newsMark names the state of what may answer polls before they are due.
type newsMark struct {
	urgent   uint64
	number   uint64
	founders int
}

// newPolls returns an empty sub-world.
func newPolls() *polls { return &polls{rows: table.New[string, pollRow]()} }

// add keeps a poll for which there are no news yet until there are or it is due.
func (p *polls) add(from string, row pollRow) {
	p.rows.Put(from, row)
	if p.rows.Len() == 1 || row.due.Before(p.due) {
		p.due = row.due
	}
}

// take removes and visits the polls that can be answered. All of them are looked
// at only when one is due or there may be news.
func (p *polls) take(now time.Time, mark newsMark, news func(*pollRow) bool, answer func(askerKey, Following)) {
	if p.rows.Len() == 0 || (now.Before(p.due) && mark == p.looked) {
		return
	}
	p.looked = mark
	next := time.Time{}
	p.rows.Each(func(from string, row *pollRow) {
		if now.Before(row.due) && !news(row) {
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
func (p *polls) next() (time.Time, bool) { return p.due, p.rows.Len() > 0 }
