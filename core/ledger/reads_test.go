package ledger

// readRow is a pending read that must see every entry committed before it
// started.
type readRow struct {
	node             *node
	term, round      uint64
	committedEntries int
}

// startRead starts a read at an instance that considers itself the leader.
func (c *cluster) startRead(n *node) {
	if term, round, ok := n.world.ReadIndex(testLedger); ok && !n.paused {
		c.pendingReads = append(c.pendingReads, readRow{node: n, term: term, round: round, committedEntries: len(c.committed)})
	}
}

// checkReads fails if a read becomes ready at an instance that has not applied
// every entry committed before the read started.
func (c *cluster) checkReads() {
	var rest []readRow
	for _, r := range c.pendingReads {
		if r.node.paused {
			rest = append(rest, r)
			continue
		}
		ready, lost := r.node.world.ReadReady(testLedger, r.term, r.round)
		switch {
		case ready && r.node.world.Applied(testLedger) < uint64(r.committedEntries):
			c.t.Fatalf("a read at %s became ready with %d of %d entries applied", r.node.name, r.node.world.Applied(testLedger), r.committedEntries)
		case !ready && !lost:
			rest = append(rest, r)
		}
	}
	c.pendingReads = rest
}
