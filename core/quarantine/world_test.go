package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// observation is one step of a test: a crash with suspect prompts, or an answer that
// begins on a part.
type observation struct {
	suspects []Prompt
	began    Part
	after    time.Duration // since the step before
}

// crashes returns n crashes under the prompts that suspects returns.
func crashes(n int, suspects func(n int) []Prompt) []observation {
	var steps []observation
	for i := range n {
		steps = append(steps, observation{suspects: suspects(i), after: 50 * time.Millisecond})
	}
	return steps
}

// unique returns a part that no other prompt has.
func unique(n int) Part { return Part(fmt.Sprint("unique", n)) }

// TestDeadlyPartIsQuarantined guards against a part that crashes one backend server after
// the other (BUDGET), and against the rejection of sound parts in the same prompts.
func TestDeadlyPartIsQuarantined(t *testing.T) {
	for _, test := range []struct {
		name     string
		steps    []observation
		wait     time.Duration // before the verdicts are read
		rejected []Part
	}{
		{"no crash", nil, time.Minute, nil},
		{"two crashes", crashes(2, func(int) []Prompt { return []Prompt{{"first", "deadly"}} }), 2 * time.Second, nil},
		{"deadly second part, one first part", crashes(3, func(int) []Prompt { return []Prompt{{"first", "deadly"}} }), 2 * time.Second, []Part{"deadly"}},
		{"deadly second part, other first parts", crashes(3, func(n int) []Prompt { return []Prompt{{unique(n), "deadly"}} }), 2 * time.Second, []Part{"deadly"}},
		{"sound requests beside it", crashes(4, func(n int) []Prompt { return []Prompt{{"first", unique(n)}, {"first", "deadly"}} }), 2 * time.Second, []Part{"deadly"}},
		{"deadly first part", crashes(4, func(n int) []Prompt { return []Prompt{{"deadly", unique(n)}} }), 2 * time.Second, []Part{"deadly"}},
		{"deadly first part, at once", crashes(3, func(n int) []Prompt { return []Prompt{{"deadly", unique(n)}} }), settleTime, nil},
		{"two deadly parts under one first part", crashes(6, func(n int) []Prompt { return []Prompt{{"first", Part(fmt.Sprint("deadly", n%2))}} }), 2 * time.Second, []Part{"deadly0", "deadly1"}},
		{"two deadly parts, few crashes", crashes(4, func(n int) []Prompt { return []Prompt{{"first", Part(fmt.Sprint("deadly", n%2))}} }), 2 * time.Second, nil},
		{"answers began meanwhile", append(crashes(3, func(n int) []Prompt { return []Prompt{{"first", unique(n)}} }), observation{began: "first"}), 2 * time.Second, nil},
		{"answers began before", append([]observation{{began: "deadly"}}, crashes(3, func(int) []Prompt { return []Prompt{{"first", "deadly"}} })...), 2 * time.Second, []Part{"deadly"}},
		{"short quarantine over", crashes(3, func(int) []Prompt { return []Prompt{{"first", "deadly"}} }), shortQuarantine + time.Second, nil},
		{"proven", crashes(5, func(int) []Prompt { return []Prompt{{"first", "deadly"}} }), shortQuarantine + time.Second, []Part{"deadly"}},
		{"long quarantine over", crashes(5, func(int) []Prompt { return []Prompt{{"first", "deadly"}} }), longQuarantine + time.Second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := New(1)
			for n, s := range test.steps {
				now = now.Add(s.after)
				if s.began != "" {
					w.Acquit(now, s.began)
				} else {
					w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, s.suspects, nil))
				}
				w.Run(now)
			}
			now = now.Add(test.wait)
			w.Run(now)
			var rejected []Part
			for _, v := range w.View().Verdicts() {
				rejected = append(rejected, v.Part())
			}
			c.Assert(rejected, qt.DeepEquals, test.rejected)
			_, sound := w.View().Rejects(Prompt{"first", "sound"})
			c.Assert(sound, qt.IsFalse)
		})
	}
}

// TestRefutedCrashesDoNotCount guards against parts that are rejected because a cut link
// looked like crashes.
func TestRefutedCrashesDoNotCount(t *testing.T) {
	for _, test := range []struct {
		name    string
		refuted int // of five crashes
		rejects bool
	}{
		{"none", 0, true},
		{"some", 2, true},
		{"too many", 3, false},
		{"all", 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w, other := New(1), New(2)
			for n := range 5 {
				w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, []Prompt{{"deadly"}}, nil))
			}
			other.Merge(now, w.Since(now, 0))
			for n := range test.refuted {
				w.Refute(now, NewCrashID(fmt.Sprint("b", n), 1))
			}
			w.Refute(now, NewCrashID("unknown", 1))
			other.Merge(now, w.LocalSince(now, 5))
			now = now.Add(firstPartSettleTime)
			for _, world := range []*World{w, other} {
				world.Run(now)
				_, rejects := world.View().Rejects(Prompt{"deadly"})
				c.Check(rejects, qt.Equals, test.rejects)
				c.Check(world.View().Crashed(NewCrashID("b0", 1)), qt.Equals, test.refuted == 0)
				c.Check(world.View().Crashed(NewCrashID("b4", 1)), qt.Equals, test.refuted < 5)
			}
		})
	}
}

// TestEvidenceOfManyInstances checks that instances that each saw one crash reach the
// same verdict, in whatever order and how often they tell each other.
func TestEvidenceOfManyInstances(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var worlds []*World
	for n := range 5 {
		w := New(uint64(n + 1))
		w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, []Prompt{{"first", "deadly"}}, nil))
		worlds = append(worlds, w)
	}
	for range 2 {
		for _, from := range worlds {
			for _, to := range worlds {
				to.Merge(now, from.Since(now, 0))
			}
		}
	}
	now = now.Add(settleTime)
	for _, w := range worlds {
		w.Run(now)
		verdict, ok := w.View().Rejects(Prompt{"other", "deadly"})
		c.Assert(ok, qt.IsTrue)
		c.Assert(verdict.Crashes(), qt.Equals, 5)
		c.Assert(w.LocalSince(now, w.LocalVersion()), qt.HasLen, 0)
		version := w.Version()
		w.Merge(now, worlds[0].Since(now, 0))
		c.Assert(w.Version(), qt.Equals, version)
	}
}

// TestJudgementsAreBounded checks that a burst of evidence does not cause a judgement for
// each crash, and that none is forgotten.
func TestJudgementsAreBounded(t *testing.T) {
	const burst, step = 100, time.Millisecond
	c := qt.New(t)
	now := time.Unix(1000, 0)
	w := New(1)
	judgements := 0
	for n := range burst {
		w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, []Prompt{{"first", "deadly"}}, nil))
		if w.Run(now) {
			judgements++
		}
		now = now.Add(step)
	}
	c.Assert(judgements <= 1+int(burst*step/judgeInterval), qt.IsTrue, qt.Commentf("%d judgements", judgements))
	for next, ok := w.Next(); ok && next.Before(now.Add(settleTime)); next, ok = w.Next() {
		w.Run(next)
	}
	verdict, ok := w.View().Rejects(Prompt{"deadly"})
	c.Assert(ok, qt.IsTrue)
	c.Assert(verdict.Crashes(), qt.Equals, burst)
}

// TestBoundedTable checks that the number of crashes and of prompts is bounded.
func TestBoundedTable(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	w := New(1)
	for n := range 3 * maxCrashes {
		w.Report(now.Add(time.Duration(n)*time.Millisecond), NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, []Prompt{{"a", unique(n)}}, nil))
	}
	for n := range 3 * maxPromptsPerCrash {
		w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", 3*maxCrashes-1), 1), 0, []Prompt{{"a", unique(n)}}, nil))
	}
	all := w.Since(now, 0)
	c.Assert(all, qt.HasLen, maxCrashes)
	for _, crash := range all {
		c.Assert(len(crash.Suspects()) <= maxPromptsPerCrash, qt.IsTrue)
	}
}
