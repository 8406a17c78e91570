package cluster

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/runner"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// Bounds that users require.
const (
	maxApplyTime   = 2 * time.Second         // until a configuration is in force everywhere
	maxCatchUpTime = 4600 * time.Millisecond // until a new instance has replaced a lost disk
)

// TestFirstStart checks that a first start creates both ledgers and that a
// configuration reaches every instance.
func TestFirstStart(t *testing.T) {
	s := newTestSystem(t, 4)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c1", 3), qt.Equals, call.StatusDone)
	s.run(maxApplyTime)
	for _, n := range s.instances {
		s.c.Check(n.snapshot.Config().Number(), qt.Equals, uint64(3), qt.Commentf(n.address))
	}
	voters := 0
	for _, m := range s.leader(directory.RoleStore).world.members() {
		if m.Voter() {
			voters++
		}
	}
	s.c.Assert(voters, qt.Equals, 3)
}

// TestHighestConfigNumberWins checks that the configuration with the highest
// number is in force, and that others are acknowledged without effect.
func TestHighestConfigNumberWins(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	for _, number := range []uint64{5, 3, 5, 9, 7} {
		s.c.Assert(s.configure("c0", number), qt.Equals, call.StatusDone)
	}
	status, content := s.document("c2")
	s.c.Assert(status, qt.Equals, call.StatusDone)
	s.c.Assert(content, qt.Equals, "9")
}

// TestPartitionedLeaderAnswersNoRead checks that a partitioned control instance
// answers no read, even if it led the ledger shortly before.
func TestPartitionedLeaderAnswersNoRead(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
	oldLeader := s.leader(directory.RoleControl)
	s.isLinkDown = func(from, to string) bool { return (from == oldLeader.address) != (to == oldLeader.address) }
	status, _ := s.document(oldLeader.address)
	s.c.Assert(status, qt.Not(qt.Equals), call.StatusDone)
	s.run(3 * time.Second)
	for _, n := range s.instances {
		if n.role == directory.RoleControl && n != oldLeader {
			s.c.Assert(s.configure(n.address, 6), qt.Equals, call.StatusDone)
		}
	}
}

// TestLeaveIsDurable checks that the leave of a server survives the loss of the
// control instance that acknowledged it, and that a late announcement does not
// bring the server back.
func TestLeaveIsDurable(t *testing.T) {
	for _, test := range []struct {
		name        string
		incarnation uint64
	}{
		{"with its incarnation", 1},
		{"without its incarnation", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			s.announce("c0", "b1", 1)
			s.run(time.Second)
			s.c.Assert(s.instance("e0").snapshot.Servers(), qt.HasLen, 1)
			acknowledged := false
			b := s.announce("c0", "b1", 2)
			if test.incarnation == 0 {
				b = b.WithIncarnation(0)
			}
			n := s.instance("c0")
			n.inbox = append(n.inbox, Leave(b, func(r call.Reply) { acknowledged = r.Status() == call.StatusDone }))
			for !acknowledged {
				s.run(tickStep)
			}
			n.down = true
			s.announce("c1", "b1", 3)
			s.run(maxApplyTime)
			s.c.Assert(s.instance("e0").snapshot.Servers(), qt.HasLen, 0)
			s.c.Assert(s.instance("e1").snapshot.Servers(), qt.HasLen, 0)
		})
	}
}

// TestLeaveSaidToOneInstance checks that an instance to which a server said in an answer that it
// is leaving does not list it any more, whatever the control instances say, until the server
// starts again.
func TestLeaveSaidToOneInstance(t *testing.T) {
	for _, test := range []struct{ at, other string }{{"e0", "e1"}, {"s0", "e0"}} {
		t.Run(test.at, func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			b := s.announce("c0", "b1", 1)
			s.run(time.Second)
			n := s.instance(test.at)
			n.inbox = append(n.inbox, ServerSaidLeaving("b1", b.Incarnation()))
			s.run(tickStep)
			s.c.Check(s.lists(test.at, "b1"), qt.IsFalse)
			s.announce("c0", "b1", 2)
			s.run(time.Second)
			s.c.Check(s.lists(test.at, "b1"), qt.IsFalse)
			s.c.Check(s.lists(test.other, "b1"), qt.IsTrue)
			c0 := s.instance("c0")
			c0.inbox = append(c0.inbox, Announce(b.WithIncarnation(b.Incarnation()+1)))
			s.run(time.Second)
			s.c.Check(s.lists(test.at, "b1"), qt.IsTrue)
		})
	}
}

// TestReplacedDisk checks that instances that lose their disks one after the
// other and restart without them lose nothing that was acknowledged.
func TestReplacedDisk(t *testing.T) {
	for _, role := range []directory.Role{directory.RoleControl, directory.RoleStore} {
		t.Run(role.String(), func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
			s.c.Assert(s.submit("e0", "job", 3), qt.Equals, call.StatusDone)
			for _, n := range s.instances {
				if n.role != role {
					continue
				}
				n.down = true
				s.run(time.Second)
				n.disk = testDisk{nonce: n.disk.nonce + 1}
				s.start(n, false)
				s.run(maxCatchUpTime)
			}
			status, content := s.document("c1")
			s.c.Assert(status, qt.Equals, call.StatusDone)
			s.c.Assert(content, qt.Equals, "5")
			p, status := s.page("e1", "job", 0)
			s.c.Assert(status, qt.Equals, call.StatusDone)
			s.c.Assert(p.Total(), qt.Equals, 3)
		})
	}
}

// TestReplacedInstance checks that a new instance at another address replaces a
// lost one.
func TestReplacedInstance(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.submit("e0", "job", 3), qt.Equals, call.StatusDone)
	for i, address := range []string{"s0", "s1", "s2"} {
		s.instance(address).down = true
		replacement := s.add(fmt.Sprintf("s%d", 7+i), directory.RoleStore, s.instance(address).dataCentre)
		s.start(replacement, false)
		s.run(maxCatchUpTime)
	}
	p, status := s.page("e1", "job", 0)
	s.c.Assert(status, qt.Equals, call.StatusDone)
	s.c.Assert(p.Total(), qt.Equals, 3)
}

// TestRetire checks that an instance is emptied only if enough others remain.
func TestRetire(t *testing.T) {
	for _, test := range []struct {
		name   string
		stores int
		status call.Status
	}{
		{"too few would remain", 3, call.StatusRejected},
		{"another one takes over", 4, call.StatusDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, test.stores)
			s.run(5 * time.Second)
			leader := s.leader(directory.RoleStore).address
			s.c.Assert(s.call("c0", call.KindRetire, call.TargetJobs, []byte(leader)).Status(), qt.Equals, test.status)
			s.run(maxCatchUpTime)
			done := s.call("c0", call.KindRetired, call.TargetJobs, []byte(leader)).Payload()
			s.c.Assert(len(done) == 1 && done[0] == 1, qt.Equals, test.status == call.StatusDone)
		})
	}
}

// TestItemsSurviveLeaderLoss checks that items run once servers are known, that
// results keep their positions, and that a new leader of the ledger runs the
// remaining items.
func TestItemsSurviveLeaderLoss(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
	s.announce("c0", "b1", 1)
	s.run(time.Second)
	s.c.Assert(s.submit("e0", "job", 3), qt.Equals, call.StatusDone)
	s.run(500 * time.Millisecond)
	leader := s.leader(directory.RoleStore)
	s.c.Assert(leader.attempts, qt.HasLen, 3)
	leader.inbox = append(leader.inbox, AttemptEnded(runner.NewAttemptReport(leader.attempts[1].Number(), runner.AttemptDone, []byte("one"), 4)))
	s.run(500 * time.Millisecond)
	p, _ := s.page("e0", "job", 0)
	s.c.Assert(p.Results(), qt.HasLen, 1)
	s.c.Assert(p.Results()[0].ID(), qt.Equals, "job-1")
	leader.down = true
	s.run(4 * time.Second)
	newLeader := s.leader(directory.RoleStore)
	s.c.Assert(newLeader.attempts, qt.HasLen, 2)
	newLeader.inbox = append(newLeader.inbox, AttemptEnded(runner.NewAttemptReport(newLeader.attempts[0].Number(), runner.AttemptRejected, nil, 0)))
	s.run(500 * time.Millisecond)
	p, _ = s.page("e1", "job", 0)
	s.c.Assert(p.Results(), qt.HasLen, 2)
	s.c.Assert(p.Results()[0].ID(), qt.Equals, "job-1")
	s.c.Assert(p.Results()[1].Status(), qt.Equals, batch.ItemDeadLettered)
}

// TestUnknownJob checks that a job is reported as unknown only by a leader of the
// jobs ledger that a quorum has confirmed, and not by a partitioned old leader.
func TestUnknownJob(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	_, status := s.page("e0", "nothing", 0)
	s.c.Assert(status, qt.Equals, call.StatusUnknown)
	oldLeader := s.leader(directory.RoleStore)
	s.isLinkDown = func(from, to string) bool {
		return (from == oldLeader.address) != (to == oldLeader.address) && s.instance(from).role == directory.RoleStore && s.instance(to).role == directory.RoleStore
	}
	s.c.Assert(s.submit("e0", "later", 1), qt.Equals, call.StatusDone)
	_, status = s.page("e1", "later", 0)
	s.c.Assert(status, qt.Equals, call.StatusDone)
}

// TestWaitingTokenLimit checks the limit of waiting tokens over all instances.
func TestWaitingTokenLimit(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.submit("e0", "a", 60), qt.Equals, call.StatusDone)
	s.c.Assert(s.submit("e1", "b", 60), qt.Equals, call.StatusRejected)
	s.c.Assert(s.submit("e1", "c", 40), qt.Equals, call.StatusDone)
	s.c.Assert(s.submit("e0", "a", 60), qt.Equals, call.StatusDone)
}

// TestLoadTotals checks that every entry instance gets the load of the others:
// from the leader of the jobs ledger if there are few store instances, else from
// the store instance that collects its reports. It must do so after the loss of
// either one.
func TestLoadTotals(t *testing.T) {
	for _, test := range []struct {
		name   string
		stores int
	}{
		{"reported to the leader", 3},
		{"reported to a collector", maxDirectStores + 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, test.stores)
			s.run(5 * time.Second)
			report := func() {
				for i, address := range []string{"e0", "e1"} {
					n := s.instance(address)
					n.inbox = append(n.inbox, UsageChanged(usage.NewReport(map[string]int{"b1": i + 2})))
				}
			}
			check := func() {
				report()
				s.run(500 * time.Millisecond)
				s.c.Assert(s.instance("e0").snapshot.Load("b1").Online(), qt.Equals, 3)
				s.c.Assert(s.instance("e1").snapshot.Load("b1").Online(), qt.Equals, 2)
			}
			check()
			s.leader(directory.RoleStore).down = true
			s.run(3 * time.Second)
			check()
			if address := s.instance("e0").world.collector(s.now); address != "" && len(s.instances) > 8 {
				s.instance(address).down = true
				s.run(3 * time.Second)
				check()
			}
		})
	}
}

// TestLeaseLapseKeepsAttempts checks that a leader of the jobs ledger whose
// lease lapses briefly continues its attempts. If it started them anew, partial
// output that was proposed before the lapse and committed after it would not
// match the new attempts.
func TestLeaseLapseKeepsAttempts(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
	s.announce("c0", "b1", 1)
	s.run(time.Second)
	s.c.Assert(s.submit("e0", "job", 1), qt.Equals, call.StatusDone)
	s.run(500 * time.Millisecond)
	leader := s.leader(directory.RoleStore)
	first := leader.attempts[0]
	s.isLinkDown = func(from, to string) bool { return from[0] == 's' && to[0] == 's' }
	leader.inbox = append(leader.inbox, AttemptEnded(runner.NewAttemptReport(first.Number(), runner.AttemptPartial, []byte("one"), 30)))
	s.run(850 * time.Millisecond) // longer than the lease, shorter than an election timeout
	s.c.Assert(leader.world.ledgers.Leads(s.now, JobsLedger), qt.IsFalse)
	s.isLinkDown = func(string, string) bool { return false }
	s.run(500 * time.Millisecond)
	s.c.Assert(s.leader(directory.RoleStore), qt.Equals, leader)
	s.c.Assert(leader.attempts, qt.HasLen, 1)
	leader.inbox = append(leader.inbox, AttemptEnded(runner.NewAttemptReport(first.Number(), runner.AttemptDone, []byte("two"), 40)))
	s.run(500 * time.Millisecond)
	p, _ := s.page("e0", "job", 0)
	s.c.Assert(p.Results(), qt.HasLen, 1)
	s.c.Assert(string(p.Results()[0].Text()), qt.Equals, "one\ntwo")
}

// TestCallsOfTwoLifetimesHaveDifferentNumbers checks that a reply to a call of an instance
// before its restart cannot be taken for that to a later call. It would acknowledge a
// change that was never made, or give the results of a job other content.
func TestCallsOfTwoLifetimesHaveDifferentNumbers(t *testing.T) {
	for _, test := range []struct {
		instance string
	}{{"e0"}, {"c0"}, {"s0"}} {
		t.Run(test.instance, func(t *testing.T) {
			s := newTestSystem(t, 3)
			lifetimes := make(map[uint64]uint64) // by number of a call
			n := s.instance(test.instance)
			s.onSend = func(p Packet) {
				if p.From() != test.instance {
					return
				}
				for _, r := range p.Requests() {
					first, sent := lifetimes[r.Number()]
					s.c.Assert(!sent || first == n.starts, qt.IsTrue, qt.Commentf("number %d in lifetimes %d and %d", r.Number(), first, n.starts))
					lifetimes[r.Number()] = n.starts
				}
			}
			for range 3 {
				s.run(2 * time.Second)
				s.start(n, false)
			}
			s.run(2 * time.Second)
			s.c.Assert(len(lifetimes) > 0, qt.IsTrue)
		})
	}
}
