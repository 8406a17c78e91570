package cluster

import (
	"time"

	"papayaquay/core/table"
)

// Pauses between rounds of answers to polls that are not due. Many servers may
// come within a second, and each round is an answer to every follower.
const (
	minRoundInterval     = 10 * time.Millisecond
	roundIntervalPerPoll = 300 * time.Microsecond // the same for each follower
	maxRoundInterval     = 150 * time.Millisecond
)

// pollRow is a follower's poll that waits for news.
type pollRow struct {
	callNumber uint64 // of the call
	request    PollRequest
	due        time.Time
}

// polls is the sub-world of the polls that wait here, by follower: a newer poll
// of a follower replaces an older one, whose answer nobody waits for.
type polls struct {
	rows           *table.Table[string, pollRow]
	earliestDue    time.Time     // no poll is due before
	lastVersion    updateVersion // news at the last tick
	updatesPending bool          // there may be news for some polls
	lastRound      time.Time     // when polls were last answered for news
}

// updateVersion names the state of what may answer polls before they are due.
type updateVersion struct {
	directory      uint64
	config         uint64
	initialMembers int
}

// newPolls returns an empty sub-world.
func newPolls() *polls { return &polls{rows: table.New[string, pollRow]()} }

// add keeps a poll until there are news or it is due; fresh tells that there are
// news for it already.
func (p *polls) add(from string, row pollRow, hasUpdate bool) {
	p.rows.Put(from, row)
	p.updatesPending = p.updatesPending || hasUpdate
	if p.rows.Len() == 1 || row.due.Before(p.earliestDue) {
		p.earliestDue = row.due
	}
}

// roundInterval returns the time between two rounds of answers for news.
func (p *polls) roundInterval() time.Duration {
	return min(max(minRoundInterval, time.Duration(p.rows.Len())*roundIntervalPerPoll), maxRoundInterval)
}

// answerReady removes and visits the polls that can be answered. All of them are looked
// at only when one is due or there may be news.
func (p *polls) answerReady(now time.Time, version updateVersion, hasUpdate func(*pollRow) bool, answer func(requesterKey, PollRequest)) {
	p.updatesPending = p.updatesPending || version != p.lastVersion
	p.lastVersion = version
	answersUpdates := p.updatesPending && !now.Before(p.lastRound.Add(p.roundInterval()))
	if p.rows.Len() == 0 || (now.Before(p.earliestDue) && !answersUpdates) {
		return
	}
	if answersUpdates {
		p.updatesPending, p.lastRound = false, now
	}
	next := time.Time{}
	p.rows.Each(func(from string, row *pollRow) {
		if now.Before(row.due) && !(answersUpdates && hasUpdate(row)) {
			if next.IsZero() || row.due.Before(next) {
				next = row.due
			}
			return
		}
		requester, request := requesterKey{from: from, number: row.callNumber}, row.request
		p.rows.Remove(from)
		answer(requester, request)
	})
	p.earliestDue = next
}

// next returns the earliest deadline.
func (p *polls) next() (time.Time, bool) {
	round := p.lastRound.Add(p.roundInterval())
	if p.updatesPending && round.Before(p.earliestDue) {
		return round, p.rows.Len() > 0
	}
	return p.earliestDue, p.rows.Len() > 0
}
