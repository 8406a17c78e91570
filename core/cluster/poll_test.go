package cluster

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/directory"

	qt "github.com/frankban/quicktest"
)

// TestRounds checks that news that come in every millisecond cost each follower a
// bounded number of answers, and that the last ones reach all within the pause.
func TestRounds(t *testing.T) {
	const span = time.Second
	for _, test := range []struct {
		name      string
		followers int
		pause     time.Duration
	}{
		{"few followers", 10, minRoundInterval},
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
			for i := range test.followers {
				add(fmt.Sprint(i))
			}
			for range span / time.Millisecond {
				newest++
				tick()
			}
			rounds := int(span/test.pause) + 1
			c.Assert(answers <= rounds*test.followers, qt.IsTrue, qt.Commentf("%d answers, %d rounds", answers, rounds))
			for range test.pause/time.Millisecond + 1 {
				tick()
			}
			for from, version := range received {
				c.Assert(version, qt.Equals, newest, qt.Commentf(from))
			}
			c.Assert(received, qt.HasLen, test.followers)
		})
	}
}

// nodeNamed returns an entry with an address.
func nodeNamed(address string) directory.Node {
	return directory.NewNode(address, address, "z", directory.RoleEntry, 1)
}
