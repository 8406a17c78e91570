package directory

import (
	"testing"
	"time"

	"papayaquay/core/member"

	qt "github.com/frankban/quicktest"
)

// backend returns an announcement.
func backend(id, address string, incarnation, sequence uint64, leaving bool) member.Backend {
	return member.NewBackend(id, address, "z", member.ProtocolEngine, 8, incarnation, sequence,
		member.WithServices("s"), member.WithLeaving(leaving))
}

// TestAnnounce checks which servers may take work after announcements that come
// late, doubled or from a new start at the same address.
func TestAnnounce(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []member.Backend
		want  []string
	}{
		{"ready", []member.Backend{backend("a", "x", 1, 1, false)}, []string{"a"}},
		{"leaving", []member.Backend{backend("a", "x", 1, 1, false), backend("a", "x", 1, 2, true)}, nil},
		{"late word of a leaving server", []member.Backend{backend("a", "x", 1, 2, true), backend("a", "x", 1, 1, false)}, nil},
		{"newer word does not undo leaving", []member.Backend{backend("a", "x", 1, 1, true), backend("a", "x", 1, 9, false)}, nil},
		{"new start under the same id", []member.Backend{backend("a", "x", 1, 9, true), backend("a", "x", 2, 1, false)}, []string{"a"}},
		{"late word of an earlier start", []member.Backend{backend("a", "x", 2, 1, false), backend("a", "y", 1, 9, false)}, []string{"a"}},
		{"address used again", []member.Backend{backend("a", "x", 1, 9, false), backend("b", "x", 2, 1, false)}, []string{"b"}},
		{"late word of who had the address", []member.Backend{backend("b", "x", 2, 1, false), backend("a", "x", 1, 9, false)}, []string{"b"}},
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

// TestSince checks that updates bring a second directory to the same state,
// whatever it had before.
func TestSince(t *testing.T) {
	now := time.Unix(1000, 0)
	w, other := New(1), New(2)
	w.UpdateNode(now, NewNode("c", "c", "z", RoleControl, 1))
	w.Announce(now, backend("a", "x", 1, 1, false))
	u := w.Since(0, 0, false)
	other.Merge(now, u)
	qt.Assert(t, other.Servers(now), qt.HasLen, 1)
	qt.Assert(t, other.Nodes(RoleControl), qt.HasLen, 1)
	w.MarkLeaving(now, "a", 1)
	next := w.Since(u.Epoch(), u.Version(), false)
	qt.Assert(t, next.Nodes(), qt.HasLen, 0)
	other.Merge(now, next)
	qt.Assert(t, other.Servers(now), qt.HasLen, 0)
	qt.Assert(t, w.Since(7, next.Version(), false).Backends(), qt.HasLen, 1)
}

// TestLeader checks that the highest term counts and that an instance that
// gave up its lead is not named.
func TestLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	w := New(1)
	w.UpdateNode(now, NewNode("a", "a", "z", RoleStore, 1, WithRevision(1), WithTerm(3)))
	w.UpdateNode(now, NewNode("b", "b", "z", RoleStore, 1, WithRevision(1), WithTerm(4)))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "b")
	w.UpdateNode(now, NewNode("b", "b", "z", RoleStore, 1, WithRevision(2)))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "a")
	w.UpdateNode(now, NewNode("b", "b", "z", RoleStore, 1, WithRevision(1), WithTerm(4)))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "a")
	w.Run(now.Add(2 * nodeExpiry))
	qt.Assert(t, w.Leader(RoleStore), qt.Equals, "")
}
