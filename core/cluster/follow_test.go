package cluster

import (
	"fmt"
	"log/slog"
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
					if p.From() == test.at && r.Kind() == call.KindPoll {
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
			control := func(address string) bool { return s.node(address).kind == directory.RoleControl }
			s.cut = func(from, to string) bool { return control(from) && control(to) && inside(from) != inside(to) }
			var others []string
			for _, n := range s.nodes {
				if n.kind == directory.RoleControl && !inside(n.address) {
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

// TestNews checks that an entry hears of servers when something changes, not of
// each announcement, and that control instances hear that the servers are there.
func TestNews(t *testing.T) {
	const servers, span = 20, 10 * time.Second
	for _, test := range []struct {
		name string
		kind directory.Role
		most int // rows of servers in answers to one instance
		few  bool
	}{
		{"entry", directory.RoleEntry, 0, true},
		{"store", directory.RoleStore, 0, true},
		{"control", directory.RoleControl, 2 * servers * int(span/time.Second), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			beat := func(sequence uint64) {
				for i := range servers {
					s.announce("c1", fmt.Sprintf("b%d", i), sequence)
				}
			}
			s.run(4 * time.Second)
			beat(1)
			s.run(2 * time.Second)
			rows := make(map[string]int)
			s.sent = func(p Packet) {
				for _, r := range p.Replies() {
					if news, err := s.codec.PollResponse.Decode(r.Payload()); err == nil {
						rows[p.To()] += len(news.Update().Backends())
					}
				}
			}
			for sequence := uint64(2); sequence < 2+uint64(span/time.Second); sequence++ {
				beat(sequence)
				s.run(time.Second)
			}
			for _, n := range s.nodes {
				if n.kind == test.kind && n.address != "c1" {
					s.c.Check(rows[n.address] <= test.most, qt.IsTrue, qt.Commentf("%s: %d rows", n.address, rows[n.address]))
					s.c.Check(rows[n.address] == 0, qt.Equals, test.few)
				}
				for _, server := range n.snapshot.Servers() {
					s.c.Check(server.Stale(), qt.IsFalse, qt.Commentf("%s at %s", server.Backend().ID(), n.address))
				}
			}
		})
	}
}

// TestCrowd checks that followers that start together get one encoded answer, and
// that it is made anew when something urgent changed.
func TestCrowd(t *testing.T) {
	const entries = 60
	for _, test := range []struct {
		name    string
		arrive  bool // a server between the polls
		encoded int
	}{
		{"nothing changes", false, 1},
		{"a server comes", true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			s.announce("c0", "b0", 1)
			s.run(time.Second)
			encoded := 0
			news := s.codec.PollResponse
			w := s.node("c0").world
			w.codec.PollResponse = NewEncoding(func(n PollResponse) ([]byte, error) {
				encoded++
				return news.Encode(n)
			}, news.Decode)
			for i := range entries {
				node := directory.NewNode(fmt.Sprintf("x%d", i), "x", "z0", directory.RoleEntry, 1)
				w.news(askerKey{from: node.Address()}, NewPollRequest(node, 0, 0, 0, true))
				if test.arrive && i == entries/2 {
					s.announce("c0", "b1", 1)
					w.Step(s.now, s.node("c0").inbox)
					s.node("c0").inbox = nil
				}
			}
			s.c.Assert(encoded >= test.encoded && encoded < entries/4, qt.IsTrue, qt.Commentf("%d encoded", encoded))
		})
	}
}

// TestPatience checks that an instance that does not answer first polls is given
// more time with each, and the usual time once it answered.
func TestPatience(t *testing.T) {
	for _, test := range []struct {
		name   string
		missed int
		want   time.Duration
	}{
		{"never asked", 0, firstTimeout},
		{"missed once", 1, 2 * firstTimeout},
		{"missed often", 40, firstLongest},
	} {
		t.Run(test.name, func(t *testing.T) {
			u := newUpstreams("me", 1, slog.New(slog.DiscardHandler))
			u.left = func(uint64) {}
			for range test.missed {
				u.rows.Put("c", upstreamRow{asked: true})
				u.answered(call.NewReply(0, call.StatusUnsent, nil), "c")
			}
			qt.Assert(t, u.patience("c"), qt.Equals, test.want)
			u.rows.Put("c", upstreamRow{asked: true})
			u.answered(call.NewReply(0, call.StatusDone, nil), "c")
			qt.Assert(t, u.patience("c"), qt.Equals, firstTimeout)
		})
	}
}
