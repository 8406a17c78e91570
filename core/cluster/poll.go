package cluster

import (
	"time"

	"papayaquay/core/table"
)

// pollKey identifies a follower's poll.
type pollKey struct {
	from   string
	number uint64
}

// pollRow is a poll that waits for news.
type pollRow struct {
	following Following
	due       time.Time
	urgent    uint64 // version of urgent news when the poll came
}

// polls is the sub-world of the polls that wait here.
type polls struct {
	rows *table.Table[pollKey, pollRow]
}

// newPolls returns an empty sub-world.
func newPolls() *polls { return &polls{rows: table.New[pollKey, pollRow]()} }

// add keeps a poll until there are news or it is due. A newer poll of the same
// follower replaces an older one, whose answer nobody waits for.
func (p *polls) add(key pollKey, row pollRow) {
	p.rows.Each(func(other pollKey, _ *pollRow) {
		if other.from == key.from {
			p.rows.Remove(other)
		}
	})
	p.rows.Put(key, row)
}

// take removes and visits the polls that can be answered.
func (p *polls) take(now time.Time, news func(*pollRow) bool, answer func(pollKey, Following)) {
	p.rows.Each(func(key pollKey, row *pollRow) {
		if now.Before(row.due) && !news(row) {
			return
		}
		following := row.following
		p.rows.Remove(key)
		answer(key, following)
	})
}

// next returns the earliest deadline.
func (p *polls) next() (time.Time, bool) {
	var next time.Time
	p.rows.Each(func(_ pollKey, row *pollRow) {
		if next.IsZero() || row.due.Before(next) {
			next = row.due
		}
	})
	return next, !next.IsZero()
}
