package ledger

// readRow is a read that must see all that was committed when it came.
type readRow struct {
	node        *node
	term, round uint64
	committed   int
}

// read starts a barrier read at an instance that takes itself for the leader.
func (c *cluster) read(n *node) {
	if term, round, ok := n.world.ReadIndex(testLedger); ok && !n.frozen {
		c.reads = append(c.reads, readRow{node: n, term: term, round: round, committed: len(c.chosen)})
	}
}

// checkReads fails if a read passes at an instance that lacks what was
// committed before the read came.
func (c *cluster) checkReads() {
	var rest []readRow
	for _, r := range c.reads {
		if r.node.frozen {
			rest = append(rest, r)
			continue
		}
		passed, lost := r.node.world.ReadReady(testLedger, r.term, r.round)
		switch {
		case passed && r.node.world.Applied(testLedger) < uint64(r.committed):
			c.t.Fatalf("a read at %s passed with %d of %d entries", r.node.name, r.node.world.Applied(testLedger), r.committed)
		case !passed && !lost:
			rest = append(rest, r)
		}
	}
	c.reads = rest
}
