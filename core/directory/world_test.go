package directory

import (
	"testing"
	"time"

	"papayaquay/core/member"

	qt "github.com/frankban/quicktest"
)

// backend returns an announcement of a backend server.
func backend(id, address string, incarnation, sequence uint64, leaving bool) member.Backend {
	return member.NewBackend(id, address, "z", member.ProtocolEngine, 8, incarnation, sequence,
		member.WithServices("s"), member.WithLeaving(leaving))
}

// TestServersAfterAnnouncements checks which servers may take work after announcements
// that arrive late or come from a new start at the same address.
func TestServersAfterAnnouncements(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []member.Backend
		want  []string
	}{
		{"ready", []member.Backend{backend("a", "x", 1, 1, false)}, []string{"a"}},
		{"leaving", []member.Backend{backend("a", "x", 1, 1, false), backend("a", "x", 1, 2, true)}, nil},
		{"late announcement of a leaving server", []member.Backend{backend("a", "x", 1, 2, true), backend("a", "x", 1, 1, false)}, nil},
		{"newer announcement does not undo leaving", []member.Backend{backend("a", "x", 1, 1, true), backend("a", "x", 1, 9, false)}, nil},
		{"new start under the same id", []member.Backend{backend("a", "x", 1, 9, true), backend("a", "x", 2, 1, false)}, []string{"a"}},
		{"late announcement of an earlier start", []member.Backend{backend("a", "x", 2, 1, false), backend("a", "y", 1, 9, false)}, []string{"a"}},
		{"address reused", []member.Backend{backend("a", "x", 1, 9, false), backend("b", "x", 2, 1, false)}, []string{"b"}},
		{"late announcement of the previous server at the address", []member.Backend{backend("b", "x", 2, 1, false), backend("a", "x", 1, 9, false)}, []string{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := New(1)
			for _, b := range test.steps {
				w.Announce(now, b)
			}
			var got []string
			for _, s := range w.Servers(now) {
				got = append(got, s.Backend().ID())
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestSinceReplicatesDirectory checks that full and incremental updates bring
// a second directory to the same state, and that another epoch gives a full update.
func TestSinceReplicatesDirectory(t *testing.T) {
	now := time.Unix(1000, 0)
	w, downstream := New(1), New(2)
	w.UpdateInstance(now, NewInstance("c", "c", "z", RoleControl, 1))
	w.Announce(now, backend("a", "x", 1, 1, false))
	u := w.Since(0, 0, false)
	downstream.Merge(now, u)
	qt.Assert(t, downstream.Servers(now), qt.HasLen, 1)
	qt.Assert(t, downstream.Instances(RoleControl), qt.HasLen, 1)
	w.MarkLeaving(now, "a", 1)
	next := w.Since(u.Epoch(), u.Version(), false)
	qt.Assert(t, next.Instances(), qt.HasLen, 0)
	downstream.Merge(now, next)
	qt.Assert(t, downstream.Servers(now), qt.HasLen, 0)
	qt.Assert(t, w.Since(7, next.Version(), false).Backends(), qt.HasLen, 1)
}

// TestLeaderHasHighestTerm checks that the leader with the highest term is
// returned, and not an instance that stopped being the leader.
func TestLeaderHasHighestTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	w := New(1)
	w.UpdateInstance(now, NewInstance("a", "a", "z", RoleStore, 1, WithRevision(1), WithTerm(3)))
	w.UpdateInstance(now, NewInstance("b", "b", "z", RoleStore, 1, WithRevision(1), WithTerm(4)))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "b")
	w.UpdateInstance(now, NewInstance("b", "b", "z", RoleStore, 1, WithRevision(2)))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "a")
	w.UpdateInstance(now, NewInstance("b", "b", "z", RoleStore, 1, WithRevision(1), WithTerm(4)))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "a")
	w.Run(now.Add(2 * nodeExpiry))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "")
}
