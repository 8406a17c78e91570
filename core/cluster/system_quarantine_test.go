package cluster

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/quarantine"

	qt "github.com/frankban/quicktest"
)

// TestEntriesShareCrashEvidence guards against entry instances that each send requests
// with a part that crashed backend servers under the requests of others (BUDGET).
func TestEntriesShareCrashEvidence(t *testing.T) {
	const contactTime = 3 * time.Second // within which all instances in contact must know
	prompt := quarantine.Prompt{"s/first", "s/poison"}
	for _, test := range []struct {
		name    string
		disturb func(s *testSystem) // after the crashes were reported
		restore func(s *testSystem)
		began   bool // an answer begins on the part
		rejects bool
	}{
		{"calm", func(*testSystem) {}, func(*testSystem) {}, false, true},
		{"an answer begins", func(*testSystem) {}, func(*testSystem) {}, true, false},
		{"control instance is lost", func(s *testSystem) { s.instance("c1").down = true }, func(*testSystem) {}, false, true},
		{"all control instances restart", func(s *testSystem) {
			for _, address := range s.seeds {
				s.start(s.instance(address), false)
			}
		}, func(s *testSystem) { s.run(contactTime) }, false, true},
		{"entry was cut off", func(s *testSystem) {
			s.isLinkDown = func(from, to string) bool { return from == "e1" || to == "e1" }
			s.run(contactTime)
		}, func(s *testSystem) { s.isLinkDown = func(string, string) bool { return false } }, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(10 * time.Second)
			for n := range 5 {
				entry := s.instance(fmt.Sprint("e", n%2))
				crash := quarantine.NewCrash(quarantine.NewCrashID(fmt.Sprint("b", n), 1), 0, []quarantine.Prompt{prompt}, nil)
				entry.inbox = append(entry.inbox, ServerCrashed(crash))
				s.run(100 * time.Millisecond)
			}
			if test.began {
				entry := s.instance("e0")
				entry.inbox = append(entry.inbox, AnswerBegan([]quarantine.Part{"s/poison", "s/first"}))
			}
			test.disturb(s)
			test.restore(s)
			s.run(contactTime)
			for _, address := range []string{"e0", "e1"} {
				_, rejects := s.instance(address).snapshot.Quarantine().Rejects(quarantine.Prompt{"s/other", "s/poison"})
				s.c.Check(rejects, qt.Equals, test.rejects, qt.Commentf("%s", address))
				_, rejects = s.instance(address).snapshot.Quarantine().Rejects(quarantine.Prompt{"s/first", "s/sound"})
				s.c.Check(rejects, qt.IsFalse)
			}
		})
	}
}

// TestEvidenceRateWhenIdle checks that instances without new evidence exchange it once
// per maximum wait.
func TestEvidenceRateWhenIdle(t *testing.T) {
	const span = 10 * time.Second
	s := newTestSystem(t, 3)
	s.run(10 * time.Second)
	entry := s.instance("e0")
	entry.inbox = append(entry.inbox, ServerCrashed(quarantine.NewCrash(quarantine.NewCrashID("b", 1), 0, []quarantine.Prompt{{"s/1"}}, nil)))
	s.run(time.Second)
	calls := 0
	s.onSend = func(p Packet) {
		for _, r := range p.Requests() {
			if p.From() == "e0" && r.Kind() == call.KindEvidence {
				calls++
			}
		}
	}
	s.run(span)
	s.c.Assert(calls > 0, qt.IsTrue)
	s.c.Assert(calls <= upstreamCount*(int(span/evidenceMaxWait)+1), qt.IsTrue, qt.Commentf("%d calls", calls))
}
