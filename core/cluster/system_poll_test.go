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

// TestPollRateWhenIdle checks that an instance without updates polls each of its
// control instances once per maximum wait. This includes a store instance
// without a replica of the jobs ledger.
func TestPollRateWhenIdle(t *testing.T) {
	const span = 5 * time.Second
	for _, test := range []struct {
		name string
		at   string
	}{
		{"entry", "e0"},
		{"store with a replica", "s0"},
		{"store without a replica", "s6"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 7)
			s.run(10 * time.Second)
			polls := 0
			s.onSend = func(p Packet) {
				for _, r := range p.Requests() {
					if p.From() == test.at && r.Kind() == call.KindPoll {
						polls++
					}
				}
			}
			s.run(span)
			s.c.Assert(polls > 0, qt.IsTrue)
			s.c.Assert(polls <= 2*upstreamCount*int(span/pollMaxWait), qt.IsTrue, qt.Commentf("%d polls in %v", polls, span))
		})
	}
}

// TestReplacesPartitionedUpstreams checks that an instance whose upstreams are
// all partitioned from the other control instances gets a configuration from
// others in time, and that it polls no more upstreams than before once the
// partition has ended.
func TestReplacesPartitionedUpstreams(t *testing.T) {
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
			started := s.now
			isolated := s.node(test.at).world.upstreams.rows.Keys()
			s.c.Assert(isolated, qt.HasLen, upstreamCount)
			inside := func(address string) bool { return slices.Contains(isolated, address) }
			isControl := func(address string) bool { return s.node(address).role == directory.RoleControl }
			s.isLinkDown = func(from, to string) bool { return isControl(from) && isControl(to) && inside(from) != inside(to) }
			var others []string
			for _, n := range s.nodes {
				if n.role == directory.RoleControl && !inside(n.address) {
					others = append(others, n.address)
				}
			}
			for s.configure(others[0], 7) != call.StatusDone {
				s.c.Assert(s.now.Before(started.Add(10*time.Second)), qt.IsTrue) // a new leader may be needed
			}
			s.run(maxApplyTime)
			s.c.Assert(s.node(test.at).snapshot.Config(), qt.IsNotNil)
			s.c.Assert(s.node(test.at).snapshot.Config().Number(), qt.Equals, uint64(7))
			s.isLinkDown = func(string, string) bool { return false }
			s.run(5 * time.Second)
			s.c.Assert(s.node(test.at).world.upstreams.rows.Len(), qt.Equals, upstreamCount)
		})
	}
}

// TestAnnouncementsSentToControlOnly checks that entry and store instances get
// updates about a server only when something changes, and that control instances
// get its announcements. No instance may consider the servers stale.
func TestAnnouncementsSentToControlOnly(t *testing.T) {
	const servers, span = 20, 10 * time.Second
	for _, test := range []struct {
		name    string
		role    directory.Role
		maxRows int // rows of servers in answers to one instance
		none    bool
	}{
		{"entry", directory.RoleEntry, 0, true},
		{"store", directory.RoleStore, 0, true},
		{"control", directory.RoleControl, 2 * servers * int(span/time.Second), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			announceAll := func(sequence uint64) {
				for i := range servers {
					s.announce("c1", fmt.Sprintf("b%d", i), sequence)
				}
			}
			s.run(4 * time.Second)
			announceAll(1)
			s.run(2 * time.Second)
			rows := make(map[string]int)
			s.onSend = func(p Packet) {
				for _, r := range p.Replies() {
					if response, err := s.codec.PollResponse.Decode(r.Payload()); err == nil {
						rows[p.To()] += len(response.Update().Backends())
					}
				}
			}
			for sequence := uint64(2); sequence < 2+uint64(span/time.Second); sequence++ {
				announceAll(sequence)
				s.run(time.Second)
			}
			for _, n := range s.nodes {
				if n.role == test.role && n.address != "c1" {
					s.c.Check(rows[n.address] <= test.maxRows, qt.IsTrue, qt.Commentf("%s: %d rows", n.address, rows[n.address]))
					s.c.Check(rows[n.address] == 0, qt.Equals, test.none)
				}
				for _, server := range n.snapshot.Servers() {
					s.c.Check(server.Stale(), qt.IsFalse, qt.Commentf("%s at %s", server.Backend().ID(), n.address))
				}
			}
		})
	}
}

// TestSharesFullResponse checks that instances that start together get one
// encoded response, and that it is encoded again after an urgent change.
func TestSharesFullResponse(t *testing.T) {
	const entries = 60
	for _, test := range []struct {
		name    string
		join    bool // a server joins between the polls
		encoded int
	}{
		{"nothing changes", false, 1},
		{"a server joins", true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			s.announce("c0", "b0", 1)
			s.run(time.Second)
			encoded := 0
			encoding := s.codec.PollResponse
			w := s.node("c0").world
			w.codec.PollResponse = NewEncoding(func(n PollResponse) ([]byte, error) {
				encoded++
				return encoding.Encode(n)
			}, encoding.Decode)
			for i := range entries {
				node := directory.NewInstance(fmt.Sprintf("x%d", i), "x", "z0", directory.RoleEntry, 1)
				w.answerPoll(requesterKey{from: node.Address()}, NewPollRequest(node, 0, 0, 0, true))
				if test.join && i == entries/2 {
					s.announce("c0", "b1", 1)
					w.Step(s.now, s.node("c0").inbox)
					s.node("c0").inbox = nil
				}
			}
			s.c.Assert(encoded >= test.encoded && encoded < entries/4, qt.IsTrue, qt.Commentf("%d encoded", encoded))
		})
	}
}

// TestFirstPollTimeout checks that the timeout of first polls grows with each
// failure, and that it is reset by an answer.
func TestFirstPollTimeout(t *testing.T) {
	for _, test := range []struct {
		name     string
		failures int
		want     time.Duration
	}{
		{"no failure", 0, firstPollTimeout},
		{"one failure", 1, 2 * firstPollTimeout},
		{"many failures", 40, firstPollMaxTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			u := newUpstreams("me", 1, slog.New(slog.DiscardHandler))
			u.forget = func(uint64) {}
			for range test.failures {
				u.rows.Put("c", upstreamRow{polling: true})
				u.pollEnded(call.NewReply(0, call.StatusUnsent, nil), "c")
			}
			qt.Assert(t, u.firstTimeout("c"), qt.Equals, test.want)
			u.rows.Put("c", upstreamRow{polling: true})
			u.pollEnded(call.NewReply(0, call.StatusDone, nil), "c")
			qt.Assert(t, u.firstTimeout("c"), qt.Equals, firstPollTimeout)
		})
	}
}
