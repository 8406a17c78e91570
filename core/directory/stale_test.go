package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRefreshesUnchangedServers checks which instances get an update for an
// announcement without changes.
func TestRefreshesUnchangedServers(t *testing.T) {
	for _, test := range []struct {
		name    string
		delay   time.Duration // between the two announcements
		leaving bool          // whether the second announcement says so
		detects bool          // whether the receiver detects stale servers itself
		want    int           // servers in the update
	}{
		{"receiver relies on upstreams to detect stale servers", 3 * time.Second, false, false, 0},
		{"receiver detects stale servers itself", 3 * time.Second, false, true, 1},
		{"receiver detects stale servers itself, refreshed recently", backendRefreshInterval / 2, false, true, 0},
		{"receiver relies on upstreams to detect stale servers, server leaves", 3 * time.Second, true, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := New(1, WithAnnouncements())
			w.Announce(now, backend("a", "x", 1, 1, false))
			u := w.Since(0, 0, test.detects)
			now = now.Add(test.delay)
			w.Announce(now, backend("a", "x", 1, 2, test.leaving))
			qt.Assert(t, w.Since(u.Epoch(), u.Version(), test.detects).Backends(), qt.HasLen, test.want)
		})
	}
}

// TestStaleServersReportedByUpstreams checks which servers are stale for an
// instance that polls two upstreams that receive announcements.
func TestStaleServersReportedByUpstreams(t *testing.T) {
	for _, test := range []struct {
		name    string
		first   bool // the server keeps announcing itself to the first upstream
		second  bool // the same for the second upstream
		polled  int  // upstreams polled in the second half of the test
		restart bool // the first upstream restarts just before the end
		stale   bool
	}{
		{"announced to both", true, true, 2, false, false},
		{"announced to one", false, true, 2, false, false},
		{"announced to none", false, false, 2, false, true},
		{"announced to one that is no longer polled", false, true, 1, false, true},
		{"one restarted and knows no server yet", true, false, 2, true, false},
		{"no upstream is polled", false, false, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			upstreams := []*World{New(1, WithAnnouncements()), New(2, WithAnnouncements())}
			versions := []uint64{0, 0}
			downstream := New(9)
			sequence := uint64(0)
			span := 3 * staleAfter
			for end := now.Add(span); now.Before(end); now = now.Add(expiryInterval) {
				sequence++
				for n, announces := range []bool{test.first, test.second} {
					if announces || sequence == 1 {
						upstreams[n].Announce(now, backend("a", "x", 1, sequence, false))
					}
					if test.restart && n == 0 && end.Sub(now) <= expiryInterval {
						upstreams[n] = New(7, WithAnnouncements())
						downstream.RemoveUpstream(1)
					}
					upstreams[n].Run(now)
					if n < test.polled || end.Sub(now) > span/2 {
						u := upstreams[n].Since(upstreams[n].Epoch(), versions[n], false)
						if test.restart && upstreams[n].Epoch() == 7 {
							u = upstreams[n].Since(1, versions[n], false)
						}
						downstream.Merge(now, u)
						versions[n] = u.Version()
						continue
					}
					downstream.RemoveUpstream(upstreams[n].Epoch())
				}
				downstream.Run(now)
			}
			servers := downstream.Servers(now)
			qt.Assert(t, servers, qt.HasLen, 1)
			qt.Assert(t, servers[0].Stale(), qt.Equals, test.stale)
		})
	}
}

// TestRemovesStaleServers checks that a server that stays stale is removed, both
// by an instance that receives announcements and by an instance that polls it.
func TestRemovesStaleServers(t *testing.T) {
	now := time.Unix(1000, 0)
	upstream, downstream := New(1, WithAnnouncements()), New(2)
	upstream.Announce(now, backend("a", "x", 1, 1, false))
	version := uint64(0)
	for end := now.Add(backendExpiry + 3*staleAfter); now.Before(end); now = now.Add(expiryInterval) {
		upstream.Run(now)
		u := upstream.Since(1, version, false)
		version = u.Version()
		downstream.Merge(now, u)
		downstream.Run(now)
	}
	qt.Assert(t, upstream.Servers(now), qt.HasLen, 0)
	qt.Assert(t, downstream.Servers(now), qt.HasLen, 0)
}
