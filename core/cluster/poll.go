package cluster

import (
	"time"

	"papayaquay/core/table"
)

// Intervals between rounds of early answers, which are answers to polls that are
// not due yet. Many backend servers may join within a second, and each round
// answers every polling instance.
const (
	minRoundInterval     = 10 * time.Millisecond
	roundIntervalPerPoll = 300 * time.Microsecond // per waiting poll
	maxRoundInterval     = 150 * time.Millisecond
)

// pollRow is a poll of another instance that waits for an update.
type pollRow struct {
	callNumber uint64
	request    PollRequest
	due        time.Time
}

// polls holds the waiting polls by instance. A newer poll of an instance
// replaces its older one, since the instance no longer waits for that answer.
type polls struct {
	rows           *table.Table[string, pollRow]
	earliestDue    time.Time     // no poll is due earlier
	lastVersion    updateVersion // at the last tick
	updatesPending bool          // there may be an update for some polls
	lastRound      time.Time     // time of the last round of early answers
}

// updateVersion identifies the state whose changes answer polls early.
type updateVersion struct {
	directory      uint64 // urgent version
	config         uint64 // number
	initialMembers int    // count
}

// newPolls returns an empty table of polls.
func newPolls() *polls { return &polls{rows: table.New[string, pollRow]()} }

// add keeps a poll until there is an update or the poll is due. hasUpdate says
// that there is an update already.
func (p *polls) add(from string, row pollRow, hasUpdate bool) {
	p.rows.Put(from, row)
	p.updatesPending = p.updatesPending || hasUpdate
	if p.rows.Len() == 1 || row.due.Before(p.earliestDue) {
		p.earliestDue = row.due
	}
}

// roundInterval returns the time between two rounds of early answers.
func (p *polls) roundInterval() time.Duration {
	return min(max(minRoundInterval, time.Duration(p.rows.Len())*roundIntervalPerPoll), maxRoundInterval)
}

// answerReady removes the polls that can be answered and calls answer for each.
// It looks through the table only when a poll is due or there may be an update.
func (p *polls) answerReady(now time.Time, version updateVersion, hasUpdate func(*pollRow) bool, answer func(requesterKey, PollRequest)) {
	p.updatesPending = p.updatesPending || version != p.lastVersion
	p.lastVersion = version
	startsRound := p.updatesPending && !now.Before(p.lastRound.Add(p.roundInterval()))
	if p.rows.Len() == 0 || (now.Before(p.earliestDue) && !startsRound) {
		return
	}
	if startsRound {
		p.updatesPending, p.lastRound = false, now
	}
	next := time.Time{}
	p.rows.Each(func(from string, row *pollRow) {
		if now.Before(row.due) && !(startsRound && hasUpdate(row)) {
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

// next returns the time of the next round or due poll, and whether any poll
// waits.
func (p *polls) next() (time.Time, bool) {
	round := p.lastRound.Add(p.roundInterval())
	if p.updatesPending && round.Before(p.earliestDue) {
		return round, p.rows.Len() > 0
	}
	return p.earliestDue, p.rows.Len() > 0
}
