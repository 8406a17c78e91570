package cluster

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/directory"

	qt "github.com/frankban/quicktest"
)

// TestPollAnswerRounds checks that an update in each millisecond causes a
// bounded number of answers to each polling instance, and that the last update
// reaches all of them within one interval.
func TestPollAnswerRounds(t *testing.T) {
	const span = time.Second
	for _, test := range []struct {
		name     string
		pollers  int
		interval time.Duration
	}{
		{"few pollers", 10, minRoundInterval},
		{"many", 200, 200 * roundIntervalPerPoll},
		{"very many", 2000, maxRoundInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPolls()
			now := time.Unix(1000, 0)
			newest := uint64(0)
			answers := 0
			received := make(map[string]uint64)
			add := func(from string) {
				row := pollRow{request: NewPollRequest(nodeNamed(from), 1, received[from], 0, true), due: now.Add(10 * span)}
				p.add(from, row, received[from] < newest)
			}
			tick := func() {
				p.answerReady(now, updateVersion{directory: newest}, func(row *pollRow) bool { return row.request.version < newest },
					func(requester requesterKey, _ PollRequest) {
						answers++
						received[requester.from] = newest
						add(requester.from)
					})
				now = now.Add(time.Millisecond)
			}
			for i := range test.pollers {
				add(fmt.Sprint(i))
			}
			for range span / time.Millisecond {
				newest++
				tick()
			}
			rounds := int(span/test.interval) + 1
			c.Assert(answers <= rounds*test.pollers, qt.IsTrue, qt.Commentf("%d answers, %d rounds", answers, rounds))
			for range test.interval/time.Millisecond + 1 {
				tick()
			}
			for from, version := range received {
				c.Assert(version, qt.Equals, newest, qt.Commentf(from))
			}
			c.Assert(received, qt.HasLen, test.pollers)
		})
	}
}

// nodeNamed returns an entry instance with an address.
func nodeNamed(address string) directory.Instance {
	return directory.NewInstance(address, address, "z", directory.RoleEntry, 1)
}
