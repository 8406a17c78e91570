package cluster

import (
	"testing"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// TestLimitReachesAllEntries checks that the limit that a backend server named to one
// entry instance reaches the others, with the requests of all, and that its end does too.
func TestLimitReachesAllEntries(t *testing.T) {
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
			report := func(address string, limit float64, sent int) {
				n := s.instance(address)
				n.inbox = append(n.inbox, UsageChanged(usage.NewReport(nil).WithLimited(map[string]usage.LimitedUse{
					"b1": usage.NewLimitedUse(usage.NewLimit(limit, 1), 0, usage.NewSent(sent, sent))})))
			}
			s.instance("e1").inbox = append(s.instance("e1").inbox, UsageChanged(usage.NewReport(map[string]int{"b1": 1})))
			report("e0", 2.5, 3)
			s.run(500 * time.Millisecond)
			s.c.Assert(s.instance("e1").snapshot.Load("b1").Limit(), qt.Equals, usage.NewLimit(2.5, 1))
			s.c.Assert(s.instance("e1").snapshot.Load("b1").Sent().Burst(), qt.Equals, 3)
			s.c.Assert(s.instance("e0").snapshot.Load("b1").Sent().Burst(), qt.Equals, 0)
			report("e1", 2.5, 4)
			s.run(500 * time.Millisecond)
			s.c.Assert(s.instance("e0").snapshot.Load("b1").Sent().Burst(), qt.Equals, 4)
			report("e1", 0, 4)
			s.run(unconfirmedLimitAge + 500*time.Millisecond)
			s.c.Assert(s.instance("e0").snapshot.Load("b1").Limit().PerSecond(), qt.Equals, 0.0)
		})
	}
}

// TestItemsKeepLimits checks that items take at most their share of the limit that a backend
// server names, and that they count for the entry instances.
func TestItemsKeepLimits(t *testing.T) {
	s := newTestSystem(t, 3)
	s.run(4 * time.Second)
	s.c.Assert(s.configure("c0", 5), qt.Equals, call.StatusDone)
	s.announce("c0", "b1", 1)
	s.run(time.Second)
	s.c.Assert(s.submit("e0", "first", 1), qt.Equals, call.StatusDone)
	s.run(500 * time.Millisecond)
	leader := s.leader(directory.RoleStore)
	s.c.Assert(leader.attempts, qt.HasLen, 1)
	leader.inbox = append(leader.inbox, ItemAnswered("b1", usage.NewLimit(0.5, leader.attempts[0].Backend().Incarnation())))
	s.run(500 * time.Millisecond)
	s.c.Assert(s.submit("e0", "more", 20), qt.Equals, call.StatusDone)
	s.run(500 * time.Millisecond)
	s.c.Assert(leader.attempts, qt.HasLen, int(usage.NewLimit(0.5, 0).Room(maxItemShare, usage.Sent{})))
	s.instance("e0").inbox = append(s.instance("e0").inbox, UsageChanged(usage.NewReport(map[string]int{"b2": 1})))
	s.run(500 * time.Millisecond)
	s.c.Assert(s.instance("e0").snapshot.Load("b1").Sent().Burst(), qt.Equals, len(leader.attempts))
}
