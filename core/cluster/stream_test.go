package cluster

import (
	"testing"
	"time"

	"papayaquay/core/member"
	"papayaquay/core/stream"

	qt "github.com/frankban/quicktest"
)

// announceVersion announces a backend server of a software version.
func (s *testSystem) announceVersion(at, id, version string, sequence uint64) {
	n := s.instance(at)
	n.inbox = append(n.inbox, Announce(member.NewBackend(id, id+":80", "z0", member.ProtocolEngine, 8, 1, sequence,
		member.WithServices("s"), member.WithVersion(version))))
}

// findStream asks an instance which version began a stream.
func (s *testSystem) findStream(at string, id stream.ID) stream.Answer {
	var found *stream.Answer
	n := s.instance(at)
	n.inbox = append(n.inbox, FindStream(stream.NewQuery(id, "s"), func(a stream.Answer) { found = &a }))
	for range 1000 {
		if s.run(tickStep); found != nil {
			return *found
		}
	}
	s.c.Fatalf("no answer to a query at %s", at)
	return stream.Answer{}
}

// TestStreamIsFoundAfterFaults checks that any entry instance finds out which version began a
// stream, whatever happened to the instances that recorded it.
func TestStreamIsFoundAfterFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart []string // instances that lose their memory
		down    []string
		want    stream.Certainty
	}{
		{"no fault", nil, nil, stream.Recorded},
		{"all entry instances restarted", []string{"e0", "e1"}, nil, stream.Recorded},
		{"a control instance is down", []string{"e0", "e1"}, []string{"c0"}, stream.Recorded},
		{"another control instance is down", []string{"e0", "e1"}, []string{"c1"}, stream.Recorded},
		{"a control instance lost its memory", []string{"e0", "e1", "c2"}, nil, stream.Recorded},
		{"all control instances lost their memory", []string{"c0", "c1", "c2"}, nil, stream.Recorded},
		{"all instances lost their memory", []string{"e0", "e1", "c0", "c1", "c2"}, nil, stream.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			s.announceVersion("c0", "b0", "v1", 1)
			s.announceVersion("c1", "b1", "v2", 1)
			s.run(time.Second)
			s.c.Assert(s.instance("e0").snapshot.Versions("s").Mixed(), qt.IsTrue)
			recorded := false
			e0 := s.instance("e0")
			e0.inbox = append(e0.inbox, RecordStream(stream.NewRecord(1, 1, "v2"), true, func() { recorded = true }))
			s.run(50 * time.Millisecond)
			s.c.Assert(recorded, qt.IsTrue)
			for _, address := range test.down {
				s.instance(address).down = true
			}
			for _, address := range test.restart {
				s.start(s.instance(address), false)
			}
			s.run(3 * time.Second)
			answer := s.findStream("e1", 1)
			s.c.Check(answer.Certainty(), qt.Equals, test.want)
			if test.want == stream.Recorded {
				s.c.Check(answer.Version(), qt.Equals, "v2")
			}
		})
	}
}

// TestUnrecordedStream checks what follows for a stream without a record, before and during a
// release and after the old version has left.
func TestUnrecordedStream(t *testing.T) {
	s := newTestSystem(t, 0)
	sequence := uint64(0)
	announce := func(d time.Duration, versions ...string) {
		for end := s.now.Add(d); s.now.Before(end); {
			sequence++
			for _, version := range versions {
				s.announceVersion("c0", "b-"+version, version, sequence)
			}
			s.run(time.Second)
		}
	}
	check := func(mixed bool, certainty stream.Certainty, version string) {
		s.c.Helper()
		s.c.Check(s.instance("e0").snapshot.Versions("s").Mixed(), qt.Equals, mixed)
		answer := s.findStream("e0", 7)
		s.c.Check(answer.Certainty(), qt.Equals, certainty)
		s.c.Check(answer.Version(), qt.Equals, version)
	}
	announce(40*time.Second, "v1")
	check(false, stream.Deduced, "v1")
	announce(2*time.Second, "v1", "v2")
	check(true, stream.Deduced, "v1")
	announce(stream.Retention, "v1", "v2")
	check(true, stream.Unknown, "")
	b := member.NewBackend("b-v1", "b-v1:80", "z0", member.ProtocolEngine, 8, 1, sequence+1, member.WithServices("s"), member.WithVersion("v1"))
	s.leave("c0", b)
	announce(stream.Retention+2*time.Second, "v2")
	check(true, stream.Deduced, "v2")
	announce(stream.Retention, "v2")
	check(false, stream.Deduced, "v2")
}

// TestRestartedEntryRecordsFirst guards against an entry instance that was started just before a
// second version came and begins streams on both without a record (review/9, ORDER).
func TestRestartedEntryRecordsFirst(t *testing.T) {
	for _, test := range []struct {
		name   string
		before time.Duration // from the start of the instance to the second version
		must   map[string]bool
	}{
		{"started after the second version", -time.Second, map[string]bool{"v1": true, "v2": true}},
		{"started just before", 2 * time.Second, map[string]bool{"v1": true, "v2": true}},
		{"started long before", 8 * time.Second, map[string]bool{"v1": false, "v2": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			start := func() { s.start(s.instance("e0"), false) }
			announce := func(d time.Duration, versions ...string) {
				for end := s.now.Add(d); s.now.Before(end); {
					for _, version := range versions {
						s.announceVersion("c0", "b-"+version, version, uint64(s.now.UnixMilli()))
					}
					s.run(500 * time.Millisecond)
				}
			}
			announce(34*time.Second, "v1")
			if test.before > 0 {
				start()
				announce(test.before, "v1")
			}
			announce(time.Second, "v1", "v2")
			if test.before < 0 {
				start()
				announce(time.Second, "v1", "v2")
			}
			for version, must := range test.must {
				s.c.Check(s.instance("e0").snapshot.Versions("s").MustRecord(version), qt.Equals, must, qt.Commentf(version))
			}
			s.c.Check(s.instance("e1").snapshot.Versions("s").MustRecord("v1"), qt.IsFalse)
			s.c.Check(s.instance("e1").snapshot.Versions("s").MustRecord("v2"), qt.IsTrue)
		})
	}
}

// TestRequiredRecord checks when a record counts as confirmed that other instances must not miss,
// and that they find it whichever of them answer.
func TestRequiredRecord(t *testing.T) {
	for _, test := range []struct {
		name     string
		required bool
		down     []string
		want     bool
	}{
		{"all instances are up", true, nil, true},
		{"a control instance is down", true, []string{"c0"}, true},
		{"two control instances are down", true, []string{"c0", "c1"}, false},
		{"two control instances are down, not required", false, []string{"c0", "c1"}, true},
		{"all control instances are down, not required", false, []string{"c0", "c1", "c2"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			s.announceVersion("c0", "b0", "v1", 1)
			s.run(6 * time.Second)
			s.announceVersion("c0", "b1", "v2", 1)
			s.run(time.Second)
			s.c.Assert(s.instance("e0").snapshot.Versions("s").MustRecord("v2"), qt.IsTrue)
			s.c.Assert(s.instance("e0").snapshot.Versions("s").MustRecord("v1"), qt.IsFalse)
			for _, address := range test.down {
				s.instance(address).down = true
			}
			s.run(3 * time.Second)
			recorded := false
			e0 := s.instance("e0")
			e0.inbox = append(e0.inbox, RecordStream(stream.NewRecord(1, 1, "v2"), test.required, func() { recorded = true }))
			s.run(time.Second)
			s.c.Check(recorded, qt.Equals, test.want)
			if test.required && test.want {
				answer := s.findStream("e1", 1)
				s.c.Check(answer.Certainty(), qt.Equals, stream.Recorded)
				s.c.Check(answer.Version(), qt.Equals, "v2")
			}
		})
	}
}
