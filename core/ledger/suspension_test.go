package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLeaseAfterSuspension checks that a leader that was suspended no longer
// holds its lease when it resumes, if the clock counts the time of the
// suspension. With a clock that stops during a suspension it would still answer
// reads while another leader exists.
func TestLeaseAfterSuspension(t *testing.T) {
	for _, test := range []struct {
		name   string
		counts bool
		holds  bool
	}{
		{"the clock counts the suspension", true, false},
		{"the clock stops during the suspension", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, 0, 1)
			qt.Assert(t, c.waitUntilConverged(10*time.Second), qt.IsTrue)
			suspended := c.leader()
			suspendedAt := c.now
			suspended.paused = true
			for range 500 {
				c.step(10 * time.Millisecond)
			}
			qt.Assert(t, c.leader() != nil && c.leader() != suspended, qt.IsTrue)
			now := suspendedAt
			if test.counts {
				now = c.now
			}
			qt.Assert(t, suspended.world.Leads(now, testLedger), qt.Equals, test.holds)
			_, _, ok := suspended.world.ReadIndex(testLedger)
			qt.Assert(t, ok, qt.IsTrue)
			ready, _ := suspended.world.ReadReady(testLedger, suspended.world.Statuses()[0].Term(), 1<<40)
			qt.Assert(t, ready, qt.IsFalse)
		})
	}
}
