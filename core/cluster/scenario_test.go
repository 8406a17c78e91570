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

// Bounds that the users state for their sites.
const (
	applyBound   = 2 * time.Second         // for a change to be in force everywhere
	catchUpBound = 4600 * time.Millisecond // for a newcomer to replace a lost disk
)

// TestStart checks that a first start founds both ledgers and that a change
// reaches every instance.
func TestStart(t *testing.T) {
	s := newTestSystem(t, 4)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c1", 3), qt.Equals, call.StatusDone)
	s.run(applyBound)
	for _, n := range s.nodes {
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

// TestNumbers checks that the highest number is in force and that others are
// acknowledged without effect.
func TestNumbers(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	for _, number := range []uint64{5, 3, 5, 9, 7} {
		s.c.Assert(s.configure("c0", number), qt.Equals, call.StatusDone)
	}
	status, content := s.document("c2")
	s.c.Assert(status, qt.Equals, call.StatusDone)
	s.c.Assert(content, qt.Equals, "9")
}

// TestCutRead checks that a control instance that is cut off answers no read,
// though it led a moment ago.
func TestCutRead(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
	old := s.leader(directory.RoleControl)
	s.cut = func(from, to string) bool { return (from == old.address) != (to == old.address) }
	status, _ := s.document(old.address)
	s.c.Assert(status, qt.Not(qt.Equals), call.StatusDone)
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		if n.kind == directory.RoleControl && n != old {
			s.c.Assert(s.configure(n.address, 6), qt.Equals, call.StatusDone)
		}
	}
}

// TestDeparture checks that a server's leaving survives the loss of the control
// instance that acknowledged it, and that a late announcement changes nothing.
func TestDeparture(t *testing.T) {
	for _, test := range []struct {
		name        string
		incarnation uint64
	}{
		{"with its start", 1},
		{"without its start", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			s.announce("c0", "b1", 1)
			s.run(time.Second)
			s.c.Assert(s.node("e0").snapshot.Servers(), qt.HasLen, 1)
			acknowledged := false
			b := s.announce("c0", "b1", 2)
			if test.incarnation == 0 {
				b = b.WithIncarnation(0)
			}
			n := s.node("c0")
			n.inbox = append(n.inbox, Leave(b, func(r call.Reply) { acknowledged = r.Status() == call.StatusDone }))
			for !acknowledged {
				s.run(tickStep)
			}
			n.down = true
			s.announce("c1", "b1", 3)
			s.run(applyBound)
			s.c.Assert(s.node("e0").snapshot.Servers(), qt.HasLen, 0)
			s.c.Assert(s.node("e1").snapshot.Servers(), qt.HasLen, 0)
		})
	}
}

// TestReplacedDisk checks that a lost disk is replaced by the instance that
// comes back without it, one after the other, and that nothing acknowledged is
// lost.
func TestReplacedDisk(t *testing.T) {
	for _, kind := range []directory.Role{directory.RoleControl, directory.RoleStore} {
		t.Run(kind.String(), func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
			s.c.Assert(s.submit("e0", "job", 3), qt.Equals, call.StatusDone)
			for _, n := range s.nodes {
				if n.kind != kind {
					continue
				}
				n.down = true
				s.run(time.Second)
				n.disk = testDisk{nonce: n.disk.nonce + 1}
				s.boot(n, false)
				s.run(catchUpBound)
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

// TestReplacedInstance checks that a newcomer at another address takes the
// place of an instance that is gone.
func TestReplacedInstance(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.submit("e0", "job", 3), qt.Equals, call.StatusDone)
	for i, address := range []string{"s0", "s1", "s2"} {
		s.node(address).down = true
		fresh := s.add(fmt.Sprintf("s%d", 7+i), directory.RoleStore, s.node(address).zone)
		s.boot(fresh, false)
		s.run(catchUpBound)
	}
	p, status := s.page("e1", "job", 0)
	s.c.Assert(status, qt.Equals, call.StatusDone)
	s.c.Assert(p.Total(), qt.Equals, 3)
}

// TestRetire checks that an instance is emptied only when enough others stay.
func TestRetire(t *testing.T) {
	for _, test := range []struct {
		name   string
		stores int
		status call.Status
	}{
		{"too few would be left", 3, call.StatusRejected},
		{"another one takes over", 4, call.StatusDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, test.stores)
			s.run(5 * time.Second)
			leader := s.leader(directory.RoleStore).address
			s.c.Assert(s.ask("c0", call.KindRetire, call.TargetJobs, []byte(leader)).Status(), qt.Equals, test.status)
			s.run(catchUpBound)
			done := s.ask("c0", call.KindRetired, call.TargetJobs, []byte(leader)).Payload()
			s.c.Assert(len(done) == 1 && done[0] == 1, qt.Equals, test.status == call.StatusDone)
		})
	}
}

// TestItems checks that items run once the servers are known, that results keep
// their positions, and that a new leader of the ledger runs what is left.
func TestItems(t *testing.T) {
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
	next := s.leader(directory.RoleStore)
	s.c.Assert(next.attempts, qt.HasLen, 2)
	next.inbox = append(next.inbox, AttemptEnded(runner.NewAttemptReport(next.attempts[0].Number(), runner.AttemptRejected, nil, 0)))
	s.run(500 * time.Millisecond)
	p, _ = s.page("e1", "job", 0)
	s.c.Assert(p.Results(), qt.HasLen, 2)
	s.c.Assert(p.Results()[0].ID(), qt.Equals, "job-1")
	s.c.Assert(p.Results()[1].Status(), qt.Equals, batch.ItemDeadLettered)
}

// TestUnknownJob checks that a job is called unknown only by an instance that
// surely knows all jobs.
func TestUnknownJob(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	_, status := s.page("e0", "nothing", 0)
	s.c.Assert(status, qt.Equals, call.StatusUnknown)
	old := s.leader(directory.RoleStore)
	s.cut = func(from, to string) bool {
		return (from == old.address) != (to == old.address) && s.node(from).kind == directory.RoleStore && s.node(to).kind == directory.RoleStore
	}
	s.c.Assert(s.submit("e0", "later", 1), qt.Equals, call.StatusDone)
	_, status = s.page("e1", "later", 0)
	s.c.Assert(status, qt.Equals, call.StatusDone)
}

// TestBound checks the bound on waiting tokens over all instances.
func TestBound(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.submit("e0", "a", 60), qt.Equals, call.StatusDone)
	s.c.Assert(s.submit("e1", "b", 60), qt.Equals, call.StatusRejected)
	s.c.Assert(s.submit("e1", "c", 40), qt.Equals, call.StatusDone)
	s.c.Assert(s.submit("e0", "a", 60), qt.Equals, call.StatusDone)
}

// TestSums checks that every entry hears what the others run, with few store
// instances from the leader of the jobs ledger and with many through the store
// instance that collects its reports, also after the loss of that or the leader.
func TestSums(t *testing.T) {
	for _, test := range []struct {
		name   string
		stores int
	}{
		{"to the leader", 3},
		{"collected", collectAbove + 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, test.stores)
			s.run(5 * time.Second)
			report := func() {
				for i, address := range []string{"e0", "e1"} {
					n := s.node(address)
					n.inbox = append(n.inbox, UsageChanged(usage.NewReport(map[string]int{"b1": i + 2})))
				}
			}
			check := func() {
				report()
				s.run(500 * time.Millisecond)
				s.c.Assert(s.node("e0").snapshot.Load("b1").Online(), qt.Equals, 3)
				s.c.Assert(s.node("e1").snapshot.Load("b1").Online(), qt.Equals, 2)
			}
			check()
			s.leader(directory.RoleStore).down = true
			s.run(3 * time.Second)
			check()
			if address := s.node("e0").world.collector(s.now); address != "" && len(s.nodes) > 8 {
				s.node(address).down = true
				s.run(3 * time.Second)
				check()
			}
		})
	}
}

// TestLeaseGap checks that a leader of the jobs ledger whose lease lapses for a
// moment goes on with its attempts: output that was proposed before and is
// committed afterwards must still fit what follows.
func TestLeaseGap(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
	s.announce("c0", "b1", 1)
	s.run(time.Second)
	s.c.Assert(s.submit("e0", "job", 1), qt.Equals, call.StatusDone)
	s.run(500 * time.Millisecond)
	leader := s.leader(directory.RoleStore)
	first := leader.attempts[0]
	s.cut = func(from, to string) bool { return from[0] == 's' && to[0] == 's' }
	leader.inbox = append(leader.inbox, AttemptEnded(runner.NewAttemptReport(first.Number(), runner.AttemptPartial, []byte("one"), 30)))
	s.run(850 * time.Millisecond) // longer than the lease, shorter than an election timeout
	s.c.Assert(leader.world.ledgers.Leads(s.now, JobsLedger), qt.IsFalse)
	s.cut = func(string, string) bool { return false }
	s.run(500 * time.Millisecond)
	s.c.Assert(s.leader(directory.RoleStore), qt.Equals, leader)
	s.c.Assert(leader.attempts, qt.HasLen, 1)
	leader.inbox = append(leader.inbox, AttemptEnded(runner.NewAttemptReport(first.Number(), runner.AttemptDone, []byte("two"), 40)))
	s.run(500 * time.Millisecond)
	p, _ := s.page("e0", "job", 0)
	s.c.Assert(p.Results(), qt.HasLen, 1)
	s.c.Assert(string(p.Results()[0].Text()), qt.Equals, "one\ntwo")
}
