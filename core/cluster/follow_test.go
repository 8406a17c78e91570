package cluster

import (
	"slices"
	"testing"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"

	qt "github.com/frankban/quicktest"
)

// TestIdlePolls checks that an instance without news polls its control instances
// once each hold, whatever it is: also a store instance beyond those that hold the
// jobs ledger.
func TestIdlePolls(t *testing.T) {
	const span = 5 * time.Second
	for _, test := range []struct {
		name string
		at   string
	}{
		{"entry", "e0"},
		{"store that founded the ledger", "s0"},
		{"store without a replica", "s6"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 7)
			s.run(10 * time.Second)
			polls := 0
			s.sent = func(p Packet) {
				for _, r := range p.Requests() {
					if p.From() == test.at && r.Kind() == call.KindFollow {
						polls++
					}
				}
			}
			s.run(span)
			s.c.Assert(polls > 0, qt.IsTrue)
			s.c.Assert(polls <= 2*followWidth*int(span/followHold), qt.IsTrue, qt.Commentf("%d polls in %v", polls, span))
		})
	}
}

// TestCutUpstreams checks that an entry whose control instances are all cut off
// from the others takes a change from others in time, and follows no more than
// before once the cut is over.
func TestCutUpstreams(t *testing.T) {
	for _, test := range []struct {
		name string
		at   string
	}{
		{"entry", "e0"},
		{"other entry", "e1"},
		{"store", "s0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSizedSystem(t, 5, 3)
			s.run(10 * time.Second)
			began := s.now
			isolated := s.node(test.at).world.upstreams.rows.Keys()
			s.c.Assert(isolated, qt.HasLen, followWidth)
			inside := func(address string) bool { return slices.Contains(isolated, address) }
			control := func(address string) bool { return s.node(address).kind == directory.KindControl }
			s.cut = func(from, to string) bool { return control(from) && control(to) && inside(from) != inside(to) }
			var others []string
			for _, n := range s.nodes {
				if n.kind == directory.KindControl && !inside(n.address) {
					others = append(others, n.address)
				}
			}
			for s.configure(others[0], 7) != call.StatusDone {
				s.c.Assert(s.now.Before(began.Add(10*time.Second)), qt.IsTrue) // a new leader may be needed
			}
			s.run(applyBound)
			s.c.Assert(s.node(test.at).snapshot.Config(), qt.IsNotNil)
			s.c.Assert(s.node(test.at).snapshot.Config().Number(), qt.Equals, uint64(7))
			s.cut = func(string, string) bool { return false }
			s.run(5 * time.Second)
			s.c.Assert(s.node(test.at).world.upstreams.rows.Len(), qt.Equals, followWidth)
		})
	}
}
