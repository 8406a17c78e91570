package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLeaderSendsOneSnapshotAtATime checks that members that lost their disks get the
// state part by part and one after the other. A leader that sent several whole snapshots
// at once exceeded its memory, and so did each of its successors.
func TestLeaderSendsOneSnapshotAtATime(t *testing.T) {
	c := qt.New(t)
	sim := newCluster(t, 5, 0, 21, func(c *cluster) { c.inParts = true })
	c.Assert(sim.waitUntilConverged(10*time.Second), qt.IsTrue)
	for range 200 {
		sim.propose(sim.leader())
		sim.step(time.Millisecond)
	}
	c.Assert(sim.waitUntilConverged(10*time.Second), qt.IsTrue)
	for _, n := range sim.nodes {
		n.world.CompactInParts(testLedger)
	}
	sim.step(10 * time.Millisecond)
	size := len(sim.stateAt(sim.leader().world.Applied(testLedger)))
	lost := 0
	for _, n := range sim.nodes {
		if n != sim.leader() && lost < 2 {
			sim.loseDisk(n)
			lost++
		}
	}
	sim.sentAtOnce = 0
	c.Assert(sim.waitUntilConverged(20*time.Second), qt.IsTrue, qt.Commentf("%v", sim.describe()))
	c.Assert(sim.sentAtOnce > 0, qt.IsTrue)
	c.Assert(sim.sentAtOnce < 2*size/snapshotParts, qt.IsTrue, qt.Commentf("%d bytes of %d", sim.sentAtOnce, size))
}

// TestRestartWhileSnapshotIsWritten checks that an instance that stops between two parts
// of its snapshot starts from its log.
func TestRestartWhileSnapshotIsWritten(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts int // durable when the instance stops
	}{{"no part", 0}, {"one part", 1}, {"two of three parts", 2}, {"all parts", 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sim := newCluster(t, 3, 0, 5, func(c *cluster) { c.inParts = true })
			c.Assert(sim.waitUntilConverged(10*time.Second), qt.IsTrue)
			sim.propose(sim.leader())
			c.Assert(sim.waitUntilConverged(time.Second), qt.IsTrue)
			n := sim.nodes[0]
			before := n.disk.log.snapshot.index
			n.world.CompactInParts(testLedger)
			for range test.parts {
				sim.runTick(n)
				sim.syncOldest(n)
			}
			c.Assert(n.disk.log.snapshot.index > before, qt.Equals, test.parts == snapshotParts)
			sim.start(n)
			sim.propose(sim.nodes[1])
			c.Assert(sim.waitUntilConverged(10*time.Second), qt.IsTrue, qt.Commentf("%v", sim.describe()))
		})
	}
}
