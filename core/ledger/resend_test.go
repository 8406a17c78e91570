package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRejectionsDoNotResendEverything checks that a leader does not send its
// entries again for each rejected message. A follower that lost the first
// messages in flight rejects all messages that follow; each rejection once could
// make the leader send everything again.
func TestRejectionsDoNotResendEverything(t *testing.T) {
	const entries = 200
	for _, test := range []struct {
		name string
		lost int // number of lost messages, from the first one
	}{
		{"nothing lost", 0},
		{"the first lost", 1},
		{"half of them lost", entries / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, 0, 1)
			qt.Assert(t, c.waitUntilConverged(10*time.Second), qt.IsTrue)
			leader := c.leader()
			lagging := c.nodes[0]
			if lagging == leader {
				lagging = c.nodes[1]
			}
			var delayed []Message
			for range entries {
				c.propose(leader)
				c.runTick(leader)
				rest := c.network[:0:0]
				for _, m := range c.network {
					if m.Target() == lagging.name {
						delayed = append(delayed, m)
					} else {
						rest = append(rest, m)
					}
				}
				c.network = rest
			}
			c.network = append(c.network, delayed[test.lost:]...)
			sent := 0
			for range 200 {
				for _, m := range c.network {
					if m.Kind() == MessageAppend && m.Target() == lagging.name {
						sent += len(m.Entries())
					}
				}
				network := c.network
				c.network = nil
				for _, m := range network {
					if n := c.node(m.Target()); n != nil {
						n.world.Receive(c.now, m)
						c.runTick(n)
					}
				}
				for _, n := range c.nodes {
					for len(n.batches) > 0 {
						c.syncOldest(n)
					}
				}
				c.now = c.now.Add(10 * time.Millisecond)
				for _, n := range c.nodes {
					c.runTick(n)
				}
			}
			qt.Assert(t, lagging.world.Statuses()[0].LastIndex(), qt.Equals, leader.world.Statuses()[0].LastIndex())
			if sent > 4*entries {
				t.Fatalf("%d entries were sent to replicate %d", sent, entries)
			}
		})
	}
}
