package ledger

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// testLedger is the ledger of all tests here.
const testLedger ID = "home/test"

// maxExchange bounds the messages that follow from each other at one time.
const maxExchange = 100_000

// diskRow is what the disk of one instance holds.
type diskRow struct {
	nonce int
	term  uint64
	vote  ReplicaID
	log   entryLog
}

// write applies a durable record.
func (d *diskRow) write(r Record) {
	switch r.Kind() {
	case RecordVote:
		d.term, d.vote = r.Term(), r.Vote()
	case RecordEntry:
		d.log.put(r.Entry())
	case RecordSnapshot:
		d.log.compact(r.Snapshot())
	}
}

// pendingSync is a batch of records that is not durable yet.
type pendingSync struct {
	sequence uint64
	records  []Record
}

// node is one simulated instance.
type node struct {
	name   string
	world  *World
	disk   diskRow
	syncs  []pendingSync
	frozen bool
	cut    bool
}

// cluster is a simulated system with one ledger.
type cluster struct {
	t       interface{ Fatalf(string, ...any) }
	now     time.Time
	nodes   []*node
	names   []string
	network []Message
	chosen  map[uint64]string // payload committed at each index
	leaders map[uint64]string // leader of each term
	seed    uint64
	next    int
	target  int       // voters to keep, 0 for all
	reads   []readRow // barrier reads that wait
}

// newCluster returns a cluster of size fresh instances.
func newCluster(t interface{ Fatalf(string, ...any) }, size, target int, seed uint64) *cluster {
	c := &cluster{t: t, target: target, now: time.Unix(1000, 0), chosen: make(map[uint64]string), leaders: make(map[uint64]string), seed: seed}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("i%d", i))
	}
	for _, name := range c.names {
		n := &node{name: name}
		c.nodes = append(c.nodes, n)
		c.boot(n)
	}
	return c
}

// boot starts an instance from its disk.
func (c *cluster) boot(n *node) {
	c.seed++
	n.world = New(n.name, WithSeed(c.seed), WithVoters(c.target, func(instance string) string { return instance[1:] },
		func(string) bool { return false }))
	n.syncs, n.frozen = nil, false
	replica := ReplicaID(fmt.Sprintf("%s#%d", n.name, n.disk.nonce))
	n.world.Host(c.now, testLedger, replica, c.names,
		WithPersistedState(n.disk.term, n.disk.vote, n.disk.log.snapshot, append([]Entry(nil), n.disk.log.entries...)))
}

// run runs one tick of an instance and collects its output.
func (c *cluster) run(n *node) {
	if n.frozen {
		return
	}
	n.world.Run(c.now)
	c.collect(n)
}

// collect takes the output of a tick and checks what was committed.
func (c *cluster) collect(n *node) {
	messages, records, sequence, committed := n.world.Output()
	if sequence != 0 {
		n.syncs = append(n.syncs, pendingSync{sequence: sequence, records: records})
	}
	for _, m := range messages {
		if m.Kind() == MessageAppendReply && !m.Reject() && m.Index() > n.disk.log.lastIndex() {
			c.t.Fatalf("%s confirmed %d, durable is %d", m.From(), m.Index(), n.disk.log.lastIndex())
		}
	}
	c.network = append(c.network, messages...)
	for _, step := range committed {
		c.check(n, step)
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

// check fails if an instance commits something else than another one did.
func (c *cluster) check(n *node, step Committed) {
	if s := step.Snapshot(); s.Index() > 0 {
		if got, want := string(s.Data()), c.summary(s.Index()); got != want {
			c.t.Fatalf("%s restored %q at %d, want %q", n.name, got, s.Index(), want)
		}
		return
	}
	e := step.Entry()
	payload := fmt.Sprintf("%d:%s", e.Kind(), e.Payload())
	if old, ok := c.chosen[e.Index()]; ok && old != payload {
		c.t.Fatalf("%s committed %q at %d, before it was %q", n.name, payload, e.Index(), old)
	}
	c.chosen[e.Index()] = payload
}

// summary returns the state after index, for snapshots.
func (c *cluster) summary(index uint64) string {
	text := ""
	for i := uint64(1); i <= index; i++ {
		text += c.chosen[i] + ";"
	}
	return text
}

// sync makes the oldest pending batch of an instance durable.
func (c *cluster) sync(n *node) {
	if len(n.syncs) == 0 || n.frozen {
		return
	}
	for _, r := range n.syncs[0].records {
		n.disk.write(r)
	}
	n.world.MarkDurable(n.syncs[0].sequence)
	n.syncs = n.syncs[1:]
	c.collect(n)
}

// deliver hands message i of the network to its target.
func (c *cluster) deliver(i int, keep bool) {
	m := c.network[i]
	if !keep {
		c.network = append(c.network[:i], c.network[i+1:]...)
	}
	for _, n := range c.nodes {
		if n.name != m.Target() || n.frozen || n.cut || c.node(m.Source()).cut {
			continue
		}
		n.world.Receive(c.now, m)
		c.run(n)
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

// propose appends a command at an instance if it leads.
func (c *cluster) propose(n *node) {
	if n.frozen {
		return
	}
	c.next++
	if _, _, err := n.world.Propose(testLedger, fmt.Appendf(nil, "c%d", c.next)); err == nil {
		c.collect(n)
	}
}

// checkLeases fails if two instances may answer reads at the same time.
func (c *cluster) checkLeases() {
	holder := ""
	for _, n := range c.nodes {
		if !n.frozen && n.world.Leads(c.now, testLedger) {
			if holder != "" {
				c.t.Fatalf("%s and %s hold the lease", holder, n.name)
			}
			holder = n.name
		}
	}
}

// healthy reports whether every instance is a voter under its present replica
// and no former replica is left, so that one more disk may be lost.
func (c *cluster) healthy() bool {
	for _, n := range c.nodes {
		if !n.world.Leads(c.now, testLedger) {
			continue
		}
		members := n.world.Statuses()[0].Members()
		if c.target > 0 {
			return c.fullStrength(members)
		}
		for _, m := range members {
			other := c.node(m.Instance())
			if !m.Voter() || string(m.Replica()) != fmt.Sprintf("%s#%d", other.name, other.disk.nonce) {
				return false
			}
		}
		return len(members) == len(c.nodes)
	}
	return false
}

// fullStrength reports whether the target number of voters have their disks.
func (c *cluster) fullStrength(members []Member) bool {
	voters := 0
	for _, m := range members {
		other := c.node(m.Instance())
		present := string(m.Replica()) == fmt.Sprintf("%s#%d", other.name, other.disk.nonce)
		if m.Voter() && !present {
			return false
		}
		if m.Voter() {
			voters++
		}
	}
	return voters == c.target && len(members) == len(c.nodes)
}

// loseDisk restarts an instance with an empty disk.
func (c *cluster) loseDisk(n *node) {
	n.disk = diskRow{nonce: n.disk.nonce + 1}
	c.boot(n)
}

// settle heals everything and runs until all instances have the same log.
func (c *cluster) settle(bound time.Duration) bool {
	for _, n := range c.nodes {
		n.frozen, n.cut = false, false
	}
	for end := c.now.Add(bound); c.now.Before(end); {
		c.step(10 * time.Millisecond)
		if c.settled() {
			return true
		}
	}
	return false
}

// settled reports whether one instance leads and all applied its whole log.
func (c *cluster) settled() bool {
	if !c.healthy() {
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

// step advances time and lets everything happen without faults.
func (c *cluster) step(by time.Duration) {
	c.now = c.now.Add(by)
	for _, n := range c.nodes {
		c.run(n)
	}
	for delivered := 0; len(c.network) > 0; delivered++ {
		if delivered > maxExchange {
			c.t.Fatalf("messages never come to rest: %v, next %+v", c.describe(), c.network[:min(len(c.network), 4)])
		}
		c.deliver(0, false)
		for _, n := range c.nodes {
			for len(n.syncs) > 0 && !n.frozen {
				c.sync(n)
			}
		}
	}
	for _, n := range c.nodes {
		for len(n.syncs) > 0 && !n.frozen {
			c.sync(n)
		}
	}
}

// TestSafety runs random schedules of lost, doubled, crossed and delayed
// messages, restarts that lose unsynced records, freezes, cuts and lost disks,
// with all instances as voters or with three of them and learners that take the
// place of lost ones.
func TestSafety(t *testing.T) {
	for _, test := range []struct {
		name   string
		sizes  []int
		target int
	}{
		{"all vote", []int{3, 5}, 0},
		{"three vote", []int{3, 4, 5}, 3},
	} {
		t.Run(test.name, func(t *testing.T) { checkSafety(t, test.sizes, test.target) })
	}
}

// checkSafety checks random schedules of clusters with the given sizes.
func checkSafety(t *testing.T, sizes []int, target int) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom(sizes).Draw(rt, "size")
		c := newCluster(rt, size, target, rapid.Uint64().Draw(rt, "seed"))
		if !c.settle(10 * time.Second) {
			rt.Fatalf("the ledger did not form")
		}
		steps := rapid.IntRange(50, 400).Draw(rt, "steps")
		for range steps {
			c.act(rt)
			c.checkLeases()
			c.checkReads()
		}
		before := len(c.chosen)
		if !c.settle(60 * time.Second) {
			rt.Fatalf("the ledger did not recover: %+v", c.describe())
		}
		for i := 1; i <= before; i++ {
			if _, ok := c.chosen[uint64(i)]; !ok {
				rt.Fatalf("entry %d was lost", i)
			}
		}
	})
}

// act does one random thing.
func (c *cluster) act(rt *rapid.T) {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(rt, "node")]
	switch action := rapid.IntRange(0, 103).Draw(rt, "action"); {
	case action >= 100:
		c.read(n)
	case action < 30:
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 80).Draw(rt, "ms")) * time.Millisecond)
		for _, n := range c.nodes {
			c.run(n)
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
		c.sync(n)
	case action < 90:
		c.propose(n)
	case action < 92:
		c.boot(n)
	case action < 94:
		n.frozen = !n.frozen
	case action < 96:
		n.cut = !n.cut
	case action < 97:
		if c.healthy() {
			c.loseDisk(n)
		}
	default:
		if applied := n.world.Applied(testLedger); applied > 0 && !n.frozen {
			n.world.Compact(testLedger, applied, []byte(c.summary(applied)))
			c.collect(n)
		}
	}
}

// describe returns the states of all instances, for failures.
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

// TestRecovery checks what each single fault leads to.
func TestRecovery(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(c *cluster)
		bound time.Duration
	}{
		{"leader killed", func(c *cluster) { c.leader().frozen = true }, 2 * time.Second},
		{"leader cut off", func(c *cluster) { c.leader().cut = true }, 2 * time.Second},
		{"leader restarted", func(c *cluster) { c.boot(c.leader()) }, 3 * time.Second},
		{"disk of the leader lost", func(c *cluster) { c.loseDisk(c.leader()) }, 3 * time.Second},
		{"lead handed over", func(c *cluster) { c.leader().world.TransferLeadership(c.now) }, time.Second},
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
			x := newCluster(t, 3, 0, 7)
			c.Assert(x.settle(10*time.Second), qt.IsTrue)
			x.propose(x.leader())
			c.Assert(x.settle(time.Second), qt.IsTrue)
			test.fault(x)
			begin := x.now
			for x.leader() == nil || x.leader().frozen || x.leader().cut {
				x.step(10 * time.Millisecond)
				c.Assert(x.now.Sub(begin) <= test.bound, qt.IsTrue, qt.Commentf("%v", x.describe()))
			}
			c.Assert(x.settle(20*time.Second), qt.IsTrue, qt.Commentf("%v", x.describe()))
		})
	}
}

// TestSecondLossAfterRepair loses one disk after the other, each right after
// the repair of the one before.
func TestSecondLossAfterRepair(t *testing.T) {
	c := qt.New(t)
	x := newCluster(t, 3, 0, 11)
	c.Assert(x.settle(10*time.Second), qt.IsTrue)
	for round := range 6 {
		x.propose(x.leader())
		c.Assert(x.settle(20*time.Second), qt.IsTrue)
		x.loseDisk(x.nodes[round%3])
		c.Assert(x.settle(30*time.Second), qt.IsTrue, qt.Commentf("round %d: %v", round, x.describe()))
	}
}
