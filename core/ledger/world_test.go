package ledger

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// testLedger is the ledger that all tests of this package use.
const testLedger ID = "home/test"

// maxDeliveries limits the number of messages delivered in one step, where each
// delivery may cause further messages.
const maxDeliveries = 100_000

// diskRow is the content of one instance's disk.
type diskRow struct {
	number int // raised when the instance gets an empty disk
	term   uint64
	vote   ReplicaID
	log    entryLog
	parts  [][]byte // of the log's snapshot, if it has several

	pending [][]byte // parts of a snapshot that is not complete yet
}

// write applies a durable record.
func (d *diskRow) write(r Record) {
	switch r.Kind() {
	case RecordVote:
		d.term, d.vote = r.Term(), r.Vote()
	case RecordEntry:
		d.log.overwriteFrom(r.Entry())
	case RecordSnapshot:
		d.writeSnapshot(r.Snapshot())
	}
}

// writeSnapshot applies a durable snapshot or a part of one.
func (d *diskRow) writeSnapshot(s Snapshot) {
	if s.Part() == 0 {
		d.pending = nil
	}
	if s.Parts() <= 1 {
		d.log.compact(s, len(s.data))
		d.parts = nil
		return
	}
	d.pending = append(d.pending, s.data)
	if s.IsLast() {
		d.log.compact(s.withoutData(), 0)
		d.parts, d.pending = d.pending, nil
	}
}

// recordBatch is a batch of records that is not durable yet.
type recordBatch struct {
	sequence uint64
	records  []Record
}

// node is a simulated instance.
type node struct {
	name        string
	world       *World
	disk        diskRow
	batches     []recordBatch
	paused      bool
	partitioned bool
	restored    string // content of the parts of a snapshot that arrived so far
	state       uint64 // index of the last applied step
}

// cluster is a simulated cluster with one ledger.
type cluster struct {
	t            interface{ Fatalf(string, ...any) }
	now          time.Time
	nodes        []*node
	names        []string
	network      []Message
	committed    map[uint64]string // committed payload by index
	leaders      map[uint64]string // leader by term
	seed         uint64
	lastCommand  int
	inParts      bool      // snapshots are written and sent in parts
	sentAtOnce   int       // largest size of the snapshots that an instance sent in one tick
	lossesAtOnce int       // disks that a fault takes
	targetVoters int       // target number of voters; 0 means all
	pendingReads []readRow // reads that are not ready yet
}

// newCluster returns a cluster of size instances with empty disks.
func newCluster(t interface{ Fatalf(string, ...any) }, size, targetVoters int, seed uint64, options ...func(*cluster)) *cluster {
	c := &cluster{t: t, targetVoters: targetVoters, now: time.Unix(1000, 0), committed: make(map[uint64]string), leaders: make(map[uint64]string), seed: seed}
	for _, option := range options {
		option(c)
	}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("i%d", i))
	}
	for _, name := range c.names {
		n := &node{name: name}
		c.nodes = append(c.nodes, n)
		c.start(n)
	}
	return c
}

// start starts an instance with the content of its disk.
func (c *cluster) start(n *node) {
	c.seed++
	options := []Option{WithSeed(c.seed), WithVoters(c.targetVoters, func(instance string) string { return instance[1:] },
		func(string) bool { return false })}
	if c.inParts {
		options = append(options, WithExport(func(ID) Parts { return c.export(n) }))
	}
	n.world = New(n.name, options...)
	n.batches, n.paused, n.restored, n.state = nil, false, "", 0
	replica := ReplicaID(fmt.Sprintf("%s#%d", n.name, n.disk.number))
	n.world.Host(c.now, testLedger, replica, c.names,
		WithPersistedState(n.disk.term, n.disk.vote, n.disk.log.snapshot, append([]Entry(nil), n.disk.log.entries...)),
		WithSnapshotParts(n.disk.parts))
}

// snapshotParts is the number of parts of a snapshot in parts.
const snapshotParts = 3

// export returns the state of an instance in parts.
func (c *cluster) export(n *node) Parts {
	state := c.stateAt(n.state)
	return NewParts(snapshotParts, func(part int) ([]byte, error) {
		return []byte(state[len(state)*part/snapshotParts : len(state)*(part+1)/snapshotParts]), nil
	})
}

// runTick runs one tick of an instance and collects its output.
func (c *cluster) runTick(n *node) {
	if n.paused {
		return
	}
	n.world.Run(c.now)
	c.collectOutput(n)
}

// collectOutput takes the output of an instance and checks it: replies confirm
// only durable entries, committed entries agree with other instances, and each
// term has one leader.
func (c *cluster) collectOutput(n *node) {
	messages, records, sequence, committed := n.world.Output()
	if sequence != 0 {
		n.batches = append(n.batches, recordBatch{sequence: sequence, records: records})
	}
	for _, m := range messages {
		if m.Kind() == MessageAppendReply && !m.Reject() && m.Index() > n.disk.log.lastIndex() {
			c.t.Fatalf("%s confirmed %d, durable is %d", m.From(), m.Index(), n.disk.log.lastIndex())
		}
	}
	c.network = append(c.network, messages...)
	c.sentAtOnce = max(c.sentAtOnce, snapshotBytes(messages))
	for _, step := range committed {
		c.checkCommitted(n, step)
	}
	for _, s := range n.world.Statuses() {
		if s.Role() != RoleLeader {
			continue
		}
		if other := c.leaders[s.Term()]; other != "" && other != n.name {
			c.t.Fatalf("term %d has leaders %s and %s", s.Term(), other, n.name)
		}
		c.leaders[s.Term()] = n.name
	}
}

// snapshotBytes returns the size of the snapshots and parts that messages carry.
func snapshotBytes(messages []Message) int {
	bytes := 0
	for _, m := range messages {
		if m.Kind() == MessageSnapshot {
			bytes += len(m.Snapshot().Data())
		}
	}
	return bytes
}

// checkCommitted fails if an instance commits a different entry or restores a
// different state than another instance did.
func (c *cluster) checkCommitted(n *node, step Committed) {
	if s := step.Snapshot(); s.Index() > 0 {
		c.checkRestored(n, s)
		return
	}
	e := step.Entry()
	n.state = e.Index()
	payload := fmt.Sprintf("%d:%s", e.Kind(), e.Payload())
	if old, ok := c.committed[e.Index()]; ok && old != payload {
		c.t.Fatalf("%s committed %q at %d, before it was %q", n.name, payload, e.Index(), old)
	}
	c.committed[e.Index()] = payload
}

// checkRestored collects the parts of a snapshot and fails if its content is not the
// state that other instances had.
func (c *cluster) checkRestored(n *node, s Snapshot) {
	if s.Part() == 0 {
		n.restored = ""
	}
	n.restored += string(s.Data())
	if !s.IsLast() {
		return
	}
	n.state = s.Index()
	if want := c.stateAt(s.Index()); n.restored != want && !c.isInitial(s) {
		c.t.Fatalf("%s restored %q at %d, want %q", n.name, n.restored, s.Index(), want)
	}
}

// isInitial reports whether a snapshot is that of a new ledger.
func (c *cluster) isInitial(s Snapshot) bool { return s.Index() == 1 && len(s.Data()) == 0 }

// stateAt returns the expected state after the entry at index, as snapshot
// data.
func (c *cluster) stateAt(index uint64) string {
	text := ""
	for i := uint64(1); i <= index; i++ {
		text += c.committed[i] + ";"
	}
	return text
}

// syncOldest makes the oldest pending batch of an instance durable.
func (c *cluster) syncOldest(n *node) {
	if len(n.batches) == 0 || n.paused {
		return
	}
	for _, r := range n.batches[0].records {
		n.disk.write(r)
	}
	n.world.MarkDurable(n.batches[0].sequence)
	n.batches = n.batches[1:]
	c.collectOutput(n)
}

// deliver delivers message i of the network. If duplicate is true, the message
// stays in the network and may be delivered again.
func (c *cluster) deliver(i int, duplicate bool) {
	m := c.network[i]
	if !duplicate {
		c.network = append(c.network[:i], c.network[i+1:]...)
	}
	for _, n := range c.nodes {
		if n.name != m.Target() || n.paused || n.partitioned || c.node(m.Source()).partitioned {
			continue
		}
		n.world.Receive(c.now, m)
		c.runTick(n)
	}
}

// node returns an instance by name.
func (c *cluster) node(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// propose proposes a command at an instance; it has no effect if the instance
// does not lead.
func (c *cluster) propose(n *node) {
	if n.paused {
		return
	}
	c.lastCommand++
	if _, _, err := n.world.Propose(testLedger, fmt.Appendf(nil, "c%d", c.lastCommand)); err == nil {
		c.collectOutput(n)
	}
}

// checkLeases fails if two instances hold the lease at the same time.
func (c *cluster) checkLeases() {
	holder := ""
	for _, n := range c.nodes {
		if !n.paused && n.world.Leads(c.now, testLedger) {
			if holder != "" {
				c.t.Fatalf("%s and %s hold the lease", holder, n.name)
			}
			holder = n.name
		}
	}
}

// fullyReplicated reports whether every instance is a voter with its current
// replica and no former replica is a member, so that one more disk may be lost.
func (c *cluster) fullyReplicated() bool {
	for _, n := range c.nodes {
		if !n.world.Leads(c.now, testLedger) {
			continue
		}
		members := n.world.Statuses()[0].Members()
		if c.targetVoters > 0 {
			return c.hasTargetVoters(members)
		}
		for _, m := range members {
			other := c.node(m.Instance())
			if !m.Voter() || string(m.Replica()) != fmt.Sprintf("%s#%d", other.name, other.disk.number) {
				return false
			}
		}
		return len(members) == len(c.nodes)
	}
	return false
}

// hasTargetVoters reports whether the member list contains the target number of
// voters, all with their current disks.
func (c *cluster) hasTargetVoters(members []Member) bool {
	voters := 0
	for _, m := range members {
		other := c.node(m.Instance())
		present := string(m.Replica()) == fmt.Sprintf("%s#%d", other.name, other.disk.number)
		if m.Voter() && !present {
			return false
		}
		if m.Voter() {
			voters++
		}
	}
	return voters == c.targetVoters && len(members) == len(c.nodes)
}

// loseDisk restarts an instance with an empty disk.
func (c *cluster) loseDisk(n *node) {
	n.disk = diskRow{number: n.disk.number + 1}
	c.start(n)
}

// loseDisks restarts an instance and its neighbours, lossesAtOnce in all, with empty disks.
func (c *cluster) loseDisks(first *node) {
	for i, n := range c.nodes {
		for offset := range c.lossesAtOnce {
			if c.nodes[(i+offset)%len(c.nodes)] == first {
				c.loseDisk(n)
			}
		}
	}
}

// waitUntilConverged removes all faults and runs until all instances have
// applied the same log. It returns false after timeout.
func (c *cluster) waitUntilConverged(timeout time.Duration) bool {
	for _, n := range c.nodes {
		n.paused, n.partitioned = false, false
	}
	for end := c.now.Add(timeout); c.now.Before(end); {
		c.step(10 * time.Millisecond)
		if c.converged() {
			return true
		}
	}
	return false
}

// converged reports whether one instance leads and all instances have applied
// the same whole log.
func (c *cluster) converged() bool {
	if !c.fullyReplicated() {
		return false
	}
	last := uint64(0)
	for _, n := range c.nodes {
		s := n.world.Statuses()[0]
		if s.CommitIndex() != s.LastIndex() || n.world.Applied(testLedger) != s.LastIndex() || (last != 0 && s.LastIndex() != last) {
			return false
		}
		last = s.LastIndex()
	}
	return true
}

// step advances time and, without faults, runs all ticks, deliveries and syncs
// that are due.
func (c *cluster) step(by time.Duration) {
	c.now = c.now.Add(by)
	for _, n := range c.nodes {
		c.runTick(n)
	}
	for delivered := 0; len(c.network) > 0; delivered++ {
		if delivered > maxDeliveries {
			c.t.Fatalf("message exchange did not end: %v, next %+v", c.describe(), c.network[:min(len(c.network), 4)])
		}
		c.deliver(0, false)
		for _, n := range c.nodes {
			for len(n.batches) > 0 && !n.paused {
				c.syncOldest(n)
			}
		}
	}
	for _, n := range c.nodes {
		for len(n.batches) > 0 && !n.paused {
			c.syncOldest(n)
		}
	}
}

// TestSafety checks random schedules of lost, duplicated, reordered and delayed
// messages, restarts that lose unsynced records, pauses, partitions and lost
// disks. Either all instances vote, or three vote and the others are learners
// that replace lost voters.
func TestSafety(t *testing.T) {
	for _, test := range []struct {
		name   string
		sizes  []int
		target int
		losses int
	}{
		{"all vote", []int{3, 5}, 0, 1},
		{"three vote", []int{3, 4, 5}, 3, 1},
		{"five vote, two disks are lost at once", []int{5, 6, 7}, 5, 2},
	} {
		for _, inParts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, snapshots in parts %t", test.name, inParts), func(t *testing.T) {
				checkSafety(t, test.sizes, test.target, func(c *cluster) { c.inParts, c.lossesAtOnce = inParts, test.losses })
			})
		}
	}
}

// checkSafety runs random schedules on clusters of the given sizes.
func checkSafety(t *testing.T, sizes []int, targetVoters int, options func(*cluster)) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom(sizes).Draw(rt, "size")
		c := newCluster(rt, size, targetVoters, rapid.Uint64().Draw(rt, "seed"), options)
		if !c.waitUntilConverged(10 * time.Second) {
			rt.Fatalf("the ledger was not bootstrapped")
		}
		steps := rapid.IntRange(50, 400).Draw(rt, "steps")
		for range steps {
			c.randomAction(rt)
			c.checkLeases()
			c.checkReads()
		}
		before := len(c.committed)
		if !c.waitUntilConverged(60 * time.Second) {
			rt.Fatalf("the ledger did not recover: %+v", c.describe())
		}
		for i := 1; i <= before; i++ {
			if _, ok := c.committed[uint64(i)]; !ok {
				rt.Fatalf("entry %d was lost", i)
			}
		}
	})
}

// randomAction performs one random action on a random instance.
func (c *cluster) randomAction(rt *rapid.T) {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(rt, "node")]
	switch action := rapid.IntRange(0, 103).Draw(rt, "action"); {
	case action >= 100:
		c.startRead(n)
	case action < 30:
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 80).Draw(rt, "ms")) * time.Millisecond)
		for _, n := range c.nodes {
			c.runTick(n)
		}
	case action < 60:
		for range rapid.IntRange(1, 6).Draw(rt, "count") {
			if len(c.network) > 0 {
				i := rapid.IntRange(0, len(c.network)-1).Draw(rt, "message")
				c.deliver(i, rapid.IntRange(0, 9).Draw(rt, "double") == 0)
			}
		}
	case action < 64:
		if len(c.network) > 0 {
			i := rapid.IntRange(0, len(c.network)-1).Draw(rt, "lost")
			c.network = append(c.network[:i], c.network[i+1:]...)
		}
	case action < 80:
		c.syncOldest(n)
	case action < 90:
		c.propose(n)
	case action < 92:
		c.start(n)
	case action < 94:
		n.paused = !n.paused
	case action < 96:
		n.partitioned = !n.partitioned
	case action < 97:
		if c.fullyReplicated() {
			c.loseDisks(n)
		}
	default:
		if applied := n.world.Applied(testLedger); applied > 0 && !n.paused && c.inParts {
			n.world.CompactInParts(testLedger)
		} else if applied > 0 && !n.paused {
			n.world.Compact(testLedger, applied, []byte(c.stateAt(applied)))
			c.collectOutput(n)
		}
	}
}

// describe returns the states of all instances for failure messages.
func (c *cluster) describe() []string {
	var lines []string
	for _, n := range c.nodes {
		s := n.world.Statuses()[0]
		lines = append(lines, fmt.Sprintf("%s %s term %d commit %d last %d leader %s members %v", s.Replica(), s.Role(), s.Term(), s.CommitIndex(), s.LastIndex(), s.Leader(), s.Members()))
	}
	return lines
}

// leader returns the instance that holds the lease.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.world.Leads(c.now, testLedger) {
			return n
		}
	}
	return nil
}

// TestRecoversFromSingleFault checks that a cluster elects a leader within the
// given time after a single fault and then converges.
func TestRecoversFromSingleFault(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(c *cluster)
		bound time.Duration
	}{
		{"leader paused", func(c *cluster) { c.leader().paused = true }, 2 * time.Second},
		{"leader partitioned", func(c *cluster) { c.leader().partitioned = true }, 2 * time.Second},
		{"leader restarted", func(c *cluster) { c.start(c.leader()) }, 3 * time.Second},
		{"leader lost its disk", func(c *cluster) { c.loseDisk(c.leader()) }, 3 * time.Second},
		{"leadership transferred", func(c *cluster) { c.leader().world.TransferLeadership(c.now) }, time.Second},
		{"follower lost its disk", func(c *cluster) {
			for _, n := range c.nodes {
				if n != c.leader() {
					c.loseDisk(n)
					return
				}
			}
		}, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sim := newCluster(t, 3, 0, 7)
			c.Assert(sim.waitUntilConverged(10*time.Second), qt.IsTrue)
			sim.propose(sim.leader())
			c.Assert(sim.waitUntilConverged(time.Second), qt.IsTrue)
			test.fault(sim)
			begin := sim.now
			for sim.leader() == nil || sim.leader().paused || sim.leader().partitioned {
				sim.step(10 * time.Millisecond)
				c.Assert(sim.now.Sub(begin) <= test.bound, qt.IsTrue, qt.Commentf("%v", sim.describe()))
			}
			c.Assert(sim.waitUntilConverged(20*time.Second), qt.IsTrue, qt.Commentf("%v", sim.describe()))
		})
	}
}

// TestSecondLossAfterRepair checks that a cluster survives the loss of one disk
// after another if it converges between the losses.
func TestSecondLossAfterRepair(t *testing.T) {
	c := qt.New(t)
	sim := newCluster(t, 3, 0, 11)
	c.Assert(sim.waitUntilConverged(10*time.Second), qt.IsTrue)
	for round := range 6 {
		sim.propose(sim.leader())
		c.Assert(sim.waitUntilConverged(20*time.Second), qt.IsTrue)
		sim.loseDisk(sim.nodes[round%3])
		c.Assert(sim.waitUntilConverged(30*time.Second), qt.IsTrue, qt.Commentf("round %d: %v", round, sim.describe()))
	}
}
