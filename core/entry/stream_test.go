package entry

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/stream"

	qt "github.com/frankban/quicktest"
)

// TestStreamGoesOnAtItsVersion guards against streams that hold events of servers of two
// software versions, in one answer.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string      // of the servers, in the order of their ids; the first one begins the stream
		ended    AttemptStatus // of the first attempt
		want     []string      // versions that may get the second attempt; none if the request must fail
	}{
		{"a part was sent", []string{"v1", "v1", "v2", "v2", "v2"}, AttemptInterrupted, []string{"v1"}},
		{"nothing was sent", []string{"v1", "v1", "v2", "v2", "v2"}, AttemptLost, []string{"v1", "v2"}},
		{"not run", []string{"v1", "v1", "v2", "v2", "v2"}, AttemptNotRun, []string{"v1", "v2"}},
		{"no other server of the version", []string{"v1", "v2", "v2"}, AttemptInterrupted, nil},
		{"versions are not known", []string{"", "", ""}, AttemptInterrupted, []string{""}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := make(map[string]bool)
			for seed := range uint64(60) {
				now := time.Unix(1000, 0)
				servers := directory.New(1)
				announce := func(i int) {
					servers.Announce(now, member.NewBackend(fmt.Sprint(i), fmt.Sprintf("a%d:1", i), "z", member.ProtocolEngine, 8, 1, 1,
						member.WithServices("s"), member.WithVersion(test.versions[i])))
				}
				announce(0)
				w := New("z", func() *cluster.Snapshot { return cluster.NewSnapshot(nil, servers.Servers(now), cluster.Loads{}) }, WithSeed(seed))
				var last Decision
				r := NewRequest("r", "s", true, true, 3, now, now.Add(5*time.Second))
				w.Step(now, []Input{Submit(r, progress.New(), func(d Decision) { last = d }, func() {})})
				c.Assert(last.Action(), qt.Equals, ActionSend)
				for i := range test.versions[1:] {
					announce(i + 1)
				}
				w.Step(now, []Input{AttemptEnded(last.Number(), test.ended, LoadReport{})})
				if last.Action() == ActionSend {
					got[last.Backend().Version()] = true
					continue
				}
				c.Assert(last.Action(), qt.Equals, ActionFail)
			}
			c.Assert(got, qt.HasLen, len(test.want))
			for _, version := range test.want {
				c.Check(got[version], qt.IsTrue, qt.Commentf("version %q", version))
			}
		})
	}
}

// TestTakenUpStreamGoesOnAtItsVersion guards against streams that hold events of servers of two
// software versions, over several requests of their caller.
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	mixed, only := stream.NewVersionUse(true), stream.NewVersionUse(false)
	for _, test := range []struct {
		name    string
		use     stream.VersionUse
		begun   string          // version of which this instance sent a part, empty if it did not
		takesUp bool            // the caller has a part of the stream
		begunBy string          // request that the caller names
		answers []stream.Answer // of the search; none if nothing must be asked
		want    []string        // versions that may get the request; none if it must be rejected
	}{
		{"new stream", mixed, "", false, "", nil, []string{"v1", "v2"}},
		{"one version known here, begun by it", only, "", true, "first", []stream.Answer{stream.NewAnswer(stream.Deduced, "v1")}, []string{"v1"}},
		{"one version known here, begun by another", only, "", true, "first", []stream.Answer{stream.NewAnswer(stream.Recorded, "v2")}, []string{"v2"}},
		{"one version known here, no answer", only, "", true, "first", []stream.Answer{{}}, nil},
		{"one version known here, begun here", only, "v1", true, "first", nil, []string{"v1"}},
		{"begun here", mixed, "v1", true, "first", nil, []string{"v1"}},
		{"begun elsewhere, recorded", mixed, "", true, "first", []stream.Answer{stream.NewAnswer(stream.Recorded, "v2")}, []string{"v2"}},
		{"begun elsewhere, deduced", mixed, "", true, "first", []stream.Answer{stream.NewAnswer(stream.Deduced, "v1")}, []string{"v1"}},
		{"unknown", mixed, "", true, "first", []stream.Answer{{}}, nil},
		{"ambiguous", mixed, "", true, "first", []stream.Answer{stream.NewAnswer(stream.Ambiguous, "")}, nil},
		{"request not named", mixed, "", true, "", []stream.Answer{stream.NewAnswer(stream.Ambiguous, "")}, nil},
		{"request not named, one version", only, "", true, "", []stream.Answer{stream.NewAnswer(stream.Deduced, "v1")}, []string{"v1"}},
		{"version is gone", mixed, "", true, "first", []stream.Answer{stream.NewAnswer(stream.Recorded, "v0")}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := make(map[string]bool)
			for seed := range uint64(40) {
				now := time.Unix(1000, 0)
				servers := directory.New(1)
				announce := func(i int, version string) {
					servers.Announce(now, member.NewBackend(fmt.Sprint(i), fmt.Sprintf("a%d:1", i), "z", member.ProtocolEngine, 8, 1, 1,
						member.WithServices("s"), member.WithVersion(version)))
				}
				var asked []uint64
				w := New("z", func() *cluster.Snapshot {
					return cluster.NewSnapshot(nil, servers.Servers(now), cluster.Loads{}).WithVersions("s", test.use)
				}, WithSeed(seed), WithStreamSearch(func(number uint64, _ stream.Query) { asked = append(asked, number) }))
				var last Decision
				submit := func(id string, options ...RequestOption) {
					r := NewRequest(id, "s", true, true, 3, now, now.Add(5*time.Second), options...)
					w.Step(now, []Input{Submit(r, progress.New(), func(d Decision) { last = d }, func() {})})
				}
				if test.begun != "" {
					announce(9, test.begun)
					submit("first")
					c.Assert(last.Record(), qt.Equals, test.use.Mixed())
					w.Step(now, []Input{AnswerBegan(last.Number()), AttemptEnded(last.Number(), AttemptCallerGone, LoadReport{})})
				}
				for i, version := range []string{"v1", "v1", "v2", "v2"} {
					announce(i, version)
				}
				last = Decision{}
				if test.takesUp {
					submit("second", WithBegunStream(test.begunBy))
				} else {
					submit("second")
				}
				c.Assert(asked, qt.HasLen, len(test.answers))
				for i, answer := range test.answers {
					c.Assert(last.Action(), qt.Equals, Action(0))
					w.Step(now, []Input{StreamFound(asked[i], answer)})
				}
				if last.Action() == ActionSend {
					got[last.Backend().Version()] = true
					c.Assert(last.Record(), qt.Equals, test.use.Mixed() && !test.takesUp)
					continue
				}
				c.Assert(last.Action(), qt.Equals, ActionReject)
				c.Assert(w.Len(), qt.Equals, 0)
			}
			c.Assert(got, qt.HasLen, len(test.want), qt.Commentf("%v", got))
			for _, version := range test.want {
				c.Check(got[version], qt.IsTrue, qt.Commentf("version %q", version))
			}
		})
	}
}

// TestLaterVersionNeedsRecord guards against streams that are concluded to have begun on the
// earlier version, because the entry that began them on the later one had no contact to the
// instances that keep records.
func TestLaterVersionNeedsRecord(t *testing.T) {
	for _, test := range []struct {
		name        string
		versions    []string // of the servers
		use         stream.VersionUse
		resumable   bool
		first       bool          // whether the record must be confirmed before the first attempt is sent
		ended       AttemptStatus // of the first attempt
		second      []string      // versions that may get the second attempt
		secondFirst bool          // the same for the second attempt
	}{
		{"later version, recorded and lost", []string{"v2"}, stream.NewVersionUse(true, "v2"), true, true, AttemptLost, []string{"v1", "v2"}, true},
		{"later version, not recorded", []string{"v2"}, stream.NewVersionUse(true, "v2"), true, true, AttemptUnrecorded, []string{"v1"}, false},
		{"earlier version", []string{"v1"}, stream.NewVersionUse(true, "v2"), true, false, AttemptUnreachable, []string{"v1", "v2"}, true},
		{"no later version", []string{"v2"}, stream.NewVersionUse(true), true, false, AttemptUnreachable, []string{"v1", "v2"}, true},
		{"stream that cannot be taken up", []string{"v2"}, stream.NewVersionUse(true, "v2"), false, false, AttemptUnreachable, []string{"v1", "v2"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := make(map[string]bool)
			for seed := range uint64(60) {
				now := time.Unix(1000, 0)
				servers := directory.New(1)
				announce := func(id, version string) {
					servers.Announce(now, member.NewBackend(id, id+":1", "z", member.ProtocolEngine, 8, 1, 1, member.WithServices("s"), member.WithVersion(version)))
				}
				for i, version := range test.versions {
					announce(fmt.Sprint("first", i), version)
				}
				w := New("z", func() *cluster.Snapshot {
					return cluster.NewSnapshot(nil, servers.Servers(now), cluster.Loads{}).WithVersions("s", test.use)
				}, WithSeed(seed))
				var last Decision
				r := NewRequest("r", "s", true, test.resumable, 3, now, now.Add(5*time.Second))
				w.Step(now, []Input{Submit(r, progress.New(), func(d Decision) { last = d }, func() {})})
				c.Assert(last.Action(), qt.Equals, ActionSend)
				c.Assert(last.RecordFirst(), qt.Equals, test.first)
				firstVersion := last.Backend().Version()
				for i := range 2 {
					announce(fmt.Sprint("v1", i), "v1")
					announce(fmt.Sprint("v2", i), "v2")
				}
				w.Step(now, []Input{AttemptEnded(last.Number(), test.ended, LoadReport{})})
				c.Assert(last.Action(), qt.Equals, ActionSend)
				got[last.Backend().Version()] = true
				if version := last.Backend().Version(); version != firstVersion {
					c.Assert(last.RecordFirst(), qt.Equals, test.secondFirst, qt.Commentf("second attempt at %s", version))
				}
			}
			c.Assert(got, qt.HasLen, len(test.second), qt.Commentf("%v", got))
			for _, version := range test.second {
				c.Check(got[version], qt.IsTrue, qt.Commentf("version %q", version))
			}
		})
	}
}
