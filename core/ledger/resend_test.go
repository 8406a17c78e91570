package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestResend checks what a leader sends to a follower that lacks the start of
// many messages under way: each of those is refused, and each refusal must not
// have everything sent again.
func TestResend(t *testing.T) {
	const entries = 200
	for _, test := range []struct {
		name string
		lost int // of the first messages
	}{
		{"nothing lost", 0},
		{"the first lost", 1},
		{"half of them lost", entries / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, 0, 1)
			qt.Assert(t, c.settle(10*time.Second), qt.IsTrue)
			leader := c.leader()
			behind := c.nodes[0]
			if behind == leader {
				behind = c.nodes[1]
			}
			var late []Message
			for range entries {
				c.propose(leader)
				c.run(leader)
				rest := c.network[:0:0]
				for _, m := range c.network {
					if m.Target() == behind.name {
						late = append(late, m)
					} else {
						rest = append(rest, m)
					}
				}
				c.network = rest
			}
			c.network = append(c.network, late[test.lost:]...)
			sent := 0
			for range 200 {
				for _, m := range c.network {
					if m.Kind() == MessageAppend && m.Target() == behind.name {
						sent += len(m.Entries())
					}
				}
				network := c.network
				c.network = nil
				for _, m := range network {
					if n := c.node(m.Target()); n != nil {
						n.world.Receive(c.now, m)
						c.run(n)
					}
				}
				for _, n := range c.nodes {
					for len(n.syncs) > 0 {
						c.sync(n)
					}
				}
				c.now = c.now.Add(10 * time.Millisecond)
				for _, n := range c.nodes {
					c.run(n)
				}
			}
			qt.Assert(t, behind.world.Statuses()[0].LastIndex(), qt.Equals, leader.world.Statuses()[0].LastIndex())
			if sent > 4*entries {
				t.Fatalf("%d entries were sent to bring %d", sent, entries)
			}
		})
	}
}
