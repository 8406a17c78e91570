package cluster

import (
	"testing"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/member"

	qt "github.com/frankban/quicktest"
)

// TestEarlyForeignAnnouncement guards against announcements of another writer that hide a server, and
// come before there is a configuration (scenario "early", LOST).
func TestEarlyForeignAnnouncement(t *testing.T) {
	server := func(id, service string, incarnation, sequence uint64) member.Backend {
		return member.NewBackend(id, "b:80", "z0", member.ProtocolEngine, 8, incarnation, sequence, member.WithServices(service))
	}
	for _, test := range []struct {
		name    string
		foreign member.Backend
		leave   bool
	}{
		{"higher sequence number", server("b", "elsewhere", 1, 4711), false},
		{"higher incarnation", server("b", "elsewhere", 2, 1), false},
		{"another server at the address", server("x", "elsewhere", 2, 1), false},
		{"the server leaves", server("b", "elsewhere", 1, 4711), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			s.instance("c0").inbox = append(s.instance("c0").inbox, Announce(server("b", "s", 1, 1)))
			s.run(time.Second)
			if test.leave {
				s.c.Check(s.leave("c1", test.foreign), qt.Equals, call.StatusRejected)
			} else {
				s.instance("c1").inbox = append(s.instance("c1").inbox, Announce(test.foreign))
			}
			s.run(time.Second)
			s.c.Assert(s.configure("c0", 3), qt.Equals, call.StatusDone)
			s.instance("c1").inbox = append(s.instance("c1").inbox, Announce(server("b", "s", 1, 2)))
			s.run(time.Second)
			runs := false
			for _, found := range s.instance("e0").snapshot.Servers() {
				runs = runs || found.Backend().Runs("s")
			}
			s.c.Check(runs, qt.IsTrue)
		})
	}
}

// TestPartialAnnouncement guards against announcements that lack a field on which nothing rests and take
// the place of a server that sends all (review/6, LOST).
func TestPartialAnnouncement(t *testing.T) {
	server := func(id string, incarnation, sequence uint64, partial, leaving bool) member.Backend {
		return member.NewBackend(id, "b:80", "z0", member.ProtocolEngine, 8, incarnation, sequence, member.WithServices("s"),
			member.WithPartial(partial), member.WithLeaving(leaving))
	}
	for _, test := range []struct {
		name   string
		whole  bool // the server sends whole announcements
		second member.Backend
		leave  bool
		id     string // of the server that is used afterwards, empty for none
	}{
		{"another id at the address", true, server("x", 2, 1, true, false), false, "b"},
		{"later start", true, server("b", 2, 1, true, false), false, "b"},
		{"higher sequence number", true, server("b", 1, 4711, true, false), false, "b"},
		{"the server leaves", true, server("b", 1, 4711, true, true), true, "b"},
		{"whole, another id at the address", true, server("x", 2, 1, false, false), false, "x"},
		{"the server's announcements lack it too", false, server("b", 2, 1, true, false), false, "b"},
		{"the server's announcements lack it too, it leaves", false, server("b", 1, 4711, true, true), true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			s.c.Assert(s.configure("c0", 3), qt.Equals, call.StatusDone)
			c0 := s.instance("c0")
			c0.inbox = append(c0.inbox, Announce(server("b", 1, 1, !test.whole, false)))
			s.run(time.Second)
			if test.leave {
				s.leave("c0", test.second)
			} else {
				c0.inbox = append(c0.inbox, Announce(test.second))
			}
			s.run(time.Second)
			c0.inbox = append(c0.inbox, Announce(server("b", 1, 2, !test.whole, false)))
			s.run(time.Second)
			used := ""
			for _, found := range s.instance("e0").snapshot.Servers() {
				used = found.Backend().ID()
			}
			s.c.Check(used, qt.Equals, test.id)
			if known, _ := c0.world.directory.Backend("b"); test.whole {
				s.c.Check(known.Incarnation(), qt.Equals, uint64(1))
				s.c.Check(known.Sequence(), qt.Equals, uint64(2)) // its own last announcement counts
			}
		})
	}
}

// TestForeignAnnouncement guards against announcements of another writer that hide a server: they
// name a service that the configuration doesn't.
func TestForeignAnnouncement(t *testing.T) {
	server := func(id, service string, incarnation, sequence uint64, leaving bool) member.Backend {
		return member.NewBackend(id, "b:80", "z0", member.ProtocolEngine, 8, incarnation, sequence, member.WithServices(service), member.WithLeaving(leaving))
	}
	for _, test := range []struct {
		name    string
		foreign member.Backend
		leave   bool // it says that the server leaves
		hidden  bool // the server gets no requests afterwards
	}{
		{"higher sequence number", server("b", "elsewhere", 1, 4711, false), false, false},
		{"higher incarnation", server("b", "elsewhere", 2, 1, false), false, false},
		{"another server at the address", server("x", "elsewhere", 2, 1, false), false, false},
		{"the server leaves", server("b", "elsewhere", 1, 4711, true), true, false},
		{"own announcement, the server leaves", server("b", "s", 1, 4711, true), true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			s.c.Assert(s.configure("c0", 3), qt.Equals, call.StatusDone)
			s.run(time.Second)
			s.instance("c0").inbox = append(s.instance("c0").inbox, Announce(server("b", "s", 1, 1, false)))
			s.run(time.Second)
			if test.leave {
				status := s.leave("c1", test.foreign)
				s.c.Check(status, qt.Equals, map[bool]call.Status{true: call.StatusDone, false: call.StatusRejected}[test.hidden])
			} else {
				s.instance("c1").inbox = append(s.instance("c1").inbox, Announce(test.foreign))
			}
			s.run(time.Second)
			runs := false
			for _, found := range s.instance("e0").snapshot.Servers() {
				runs = runs || found.Backend().Runs("s")
			}
			s.c.Check(runs, qt.Equals, !test.hidden)
		})
	}
}
