package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRefresh checks who is told of an announcement that says nothing new.
func TestRefresh(t *testing.T) {
	for _, test := range []struct {
		name   string
		after  time.Duration // of the second announcement
		leaves bool          // in it
		judges bool          // the asker judges silence by itself
		want   int
	}{
		{"follower", 3 * time.Second, false, false, 0},
		{"instance that judges", 3 * time.Second, false, true, 1},
		{"instance that judges, told just now", serverRefresh / 2, false, true, 0},
		{"follower, the server leaves", 3 * time.Second, true, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := New(1, WithAnnouncements())
			w.Announce(now, backend("a", "x", 1, 1, false))
			u := w.Since(0, 0, test.judges)
			now = now.Add(test.after)
			w.Announce(now, backend("a", "x", 1, 2, test.leaves))
			qt.Assert(t, w.Since(u.Epoch(), u.Version(), test.judges).Backends(), qt.HasLen, test.want)
		})
	}
}

// TestSilence checks what a follower of two instances that hear announcements
// takes for silent.
func TestSilence(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  bool // the first instance goes on hearing the server
		second bool
		follow int  // instances still followed after a while
		again  bool // the first one is started again just before the end
		silent bool
	}{
		{"heard by both", true, true, 2, false, false},
		{"heard by one", false, true, 2, false, false},
		{"heard by none", false, false, 2, false, true},
		{"heard by one that is not followed any more", false, true, 1, false, true},
		{"one was started again and knows no server yet", true, false, 2, true, false},
		{"no instance is followed", false, false, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			hearers := []*World{New(1, WithAnnouncements()), New(2, WithAnnouncements())}
			versions := []uint64{0, 0}
			follower := New(9)
			sequence := uint64(0)
			span := 3 * silentAfter
			for end := now.Add(span); now.Before(end); now = now.Add(forgetEvery) {
				sequence++
				for n, hears := range []bool{test.first, test.second} {
					if hears || sequence == 1 {
						hearers[n].Announce(now, backend("a", "x", 1, sequence, false))
					}
					if test.again && n == 0 && end.Sub(now) <= forgetEvery {
						hearers[n] = New(7, WithAnnouncements())
						follower.RemoveUpstream(1)
					}
					hearers[n].Run(now)
					if n < test.follow || end.Sub(now) > span/2 {
						u := hearers[n].Since(hearers[n].Epoch(), versions[n], false)
						if test.again && hearers[n].Epoch() == 7 {
							u = hearers[n].Since(1, versions[n], false)
						}
						follower.Merge(now, u)
						versions[n] = u.Version()
						continue
					}
					follower.RemoveUpstream(hearers[n].Epoch())
				}
				follower.Run(now)
			}
			servers := follower.Servers(now)
			qt.Assert(t, servers, qt.HasLen, 1)
			qt.Assert(t, servers[0].Stale(), qt.Equals, test.silent)
		})
	}
}

// TestForgotten checks that a server that stays silent is forgotten in the end,
// by who hears announcements and by who is told.
func TestForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	hearer, follower := New(1, WithAnnouncements()), New(2)
	hearer.Announce(now, backend("a", "x", 1, 1, false))
	version := uint64(0)
	for end := now.Add(backendExpiry + 3*silentAfter); now.Before(end); now = now.Add(forgetEvery) {
		hearer.Run(now)
		u := hearer.Since(1, version, false)
		version = u.Version()
		follower.Merge(now, u)
		follower.Run(now)
	}
	qt.Assert(t, hearer.Servers(now), qt.HasLen, 0)
	qt.Assert(t, follower.Servers(now), qt.HasLen, 0)
}
