package cluster

import (
	"testing"
	"time"

	"papayaquay/core/call"

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
