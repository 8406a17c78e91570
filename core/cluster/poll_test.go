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
		{"few followers", 10, newsPause},
		{"many", 200, 200 * newsEach},
		{"very many", 2000, newsPauseTo},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPolls()
			now := time.Unix(1000, 0)
			news := uint64(0)
			answers := 0
			heard := make(map[string]uint64)
			add := func(from string) {
				row := pollRow{following: NewPollRequest(nodeNamed(from), 1, heard[from], 0, true), due: now.Add(10 * span)}
				p.add(from, row, heard[from] < news)
			}
			tick := func() {
				p.take(now, newsMark{urgent: news}, func(row *pollRow) bool { return row.following.version < news },
					func(asker askerKey, _ PollRequest) {
						answers++
						heard[asker.from] = news
						add(asker.from)
					})
				now = now.Add(time.Millisecond)
			}
			for i := range test.followers {
				add(fmt.Sprint(i))
			}
			for range span / time.Millisecond {
				news++
				tick()
			}
			rounds := int(span/test.pause) + 1
			c.Assert(answers <= rounds*test.followers, qt.IsTrue, qt.Commentf("%d answers, %d rounds", answers, rounds))
			for range test.pause/time.Millisecond + 1 {
				tick()
			}
			for from, version := range heard {
				c.Assert(version, qt.Equals, news, qt.Commentf(from))
			}
			c.Assert(heard, qt.HasLen, test.followers)
		})
	}
}

// nodeNamed returns an entry with an address.
func nodeNamed(address string) directory.Node {
	return directory.NewNode(address, address, "z", directory.RoleEntry, 1)
}
