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

// rejectedParts returns the parts that are rejected.
func rejectedParts(w *World) []Part {
	var parts []Part
	for _, v := range w.View().Rejections() {
		parts = append(parts, v.Part())
	}
	return parts
}

// Whole requests.
var request, other = NewRequestPart("s", "/a", []byte("x")), NewRequestPart("s", "/b", []byte("x"))

// TestPoisonPartIsQuarantined guards against a part that crashes one backend server after
// the other (BUDGET), and against the rejection of sound parts in the same prompts.
func TestPoisonPartIsQuarantined(t *testing.T) {
	for _, test := range []struct {
		name     string
		steps    []observation
		wait     time.Duration // before the rejections are read
		rejected []Part
	}{
		{"no crash", nil, time.Minute, nil},
		{"two crashes", crashes(2, func(int) []Prompt { return []Prompt{{"first", "poison"}} }), 2 * time.Second, nil},
		{"poison second part, one first part", crashes(3, func(int) []Prompt { return []Prompt{{"first", "poison"}} }), 2 * time.Second, []Part{"poison"}},
		{"poison second part, other first parts", crashes(3, func(n int) []Prompt { return []Prompt{{unique(n), "poison"}} }), 2 * time.Second, []Part{"poison"}},
		{"sound requests beside it", crashes(4, func(n int) []Prompt { return []Prompt{{"first", unique(n)}, {"first", "poison"}} }), 2 * time.Second, []Part{"poison"}},
		{"poison first part", crashes(4, func(n int) []Prompt { return []Prompt{{"poison", unique(n)}} }), 2 * time.Second, []Part{"poison"}},
		{"poison first part, at once", crashes(3, func(n int) []Prompt { return []Prompt{{"poison", unique(n)}} }), settleTime, nil},
		{"two poison parts under one first part", crashes(6, func(n int) []Prompt { return []Prompt{{"first", Part(fmt.Sprint("poison", n%2))}} }), 2 * time.Second, []Part{"poison0", "poison1"}},
		{"two poison parts, few crashes", crashes(4, func(n int) []Prompt { return []Prompt{{"first", Part(fmt.Sprint("poison", n%2))}} }), 2 * time.Second, nil},
		{"answers began meanwhile", append(crashes(3, func(n int) []Prompt { return []Prompt{{"first", unique(n)}} }), observation{began: "first"}), 2 * time.Second, nil},
		{"answers began before", append([]observation{{began: "poison"}}, crashes(3, func(int) []Prompt { return []Prompt{{"first", "poison"}} })...), 2 * time.Second, []Part{"poison"}},
		{"whole request, its part excluded", append(crashes(3, func(int) []Prompt { return []Prompt{{request, "first"}} }), observation{began: "first"}), 2 * time.Second, []Part{request}},
		{"whole request without parts", crashes(3, func(int) []Prompt { return []Prompt{{request}} }), 2 * time.Second, []Part{request}},
		{"whole request, two crashes", crashes(2, func(int) []Prompt { return []Prompt{{request}} }), 2 * time.Second, nil},
		{"poison part in a request that is sent again", crashes(5, func(n int) []Prompt {
			return []Prompt{{[]Part{request, request, request, other, other}[n], "first", "poison"}}
		}), 2 * time.Second, []Part{"poison"}},
		{"answers to the request began meanwhile", append(crashes(3, func(int) []Prompt { return []Prompt{{request}} }), observation{began: request}), 2 * time.Second, nil},
		{"short quarantine over", crashes(3, func(int) []Prompt { return []Prompt{{"first", "poison"}} }), shortQuarantine + time.Second, nil},
		{"proven", crashes(5, func(int) []Prompt { return []Prompt{{"first", "poison"}} }), shortQuarantine + time.Second, []Part{"poison"}},
		{"long quarantine over", crashes(5, func(int) []Prompt { return []Prompt{{"first", "poison"}} }), longQuarantine + time.Second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := New(1)
			for n, s := range test.steps {
				now = now.Add(s.after)
				if s.began != "" {
					w.Exclude(now, s.began)
				} else {
					w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, s.suspects, nil))
				}
				w.Run(now)
			}
			now = now.Add(test.wait)
			w.Run(now)
			c.Assert(rejectedParts(w), qt.DeepEquals, test.rejected)
			_, sound := w.View().Rejects(Prompt{"first", "sound"})
			c.Assert(sound, qt.IsFalse)
		})
	}
}

// begunObservation is one step of a test: a crash with requests whose answers had begun or not, or an
// answer that begins or comes to its end on a part.
type begunObservation struct {
	suspects  []Prompt
	begun     []Prompt
	began     Prompt
	completed Part
	after     time.Duration // since the step before
}

// repeated returns n times the steps that the function returns.
func repeated(n int, steps func(n int) []begunObservation) []begunObservation {
	var all []begunObservation
	for i := range n {
		all = append(all, steps(i)...)
	}
	return all
}

// TestPartThatCrashesLaterIsQuarantined guards against a part that crashes backend servers after the
// first event of an answer (review/10, BUDGET), and against the rejection of sound parts of the
// requests that were lost with it.
func TestPartThatCrashesLaterIsQuarantined(t *testing.T) {
	const pause = 100 * time.Millisecond
	poison := func(int) []begunObservation {
		return []begunObservation{{began: Prompt{request, "first", "poison"}, after: pause}, {begun: []Prompt{{request, "first", "poison"}}}}
	}
	sound := func(n int) []begunObservation {
		return []begunObservation{{began: Prompt{request, "first", "poison"}, after: pause},
			{begun: []Prompt{{unique(n), "first", "popular"}, {request, "first", "poison"}}, suspects: []Prompt{{"first", "popular"}}},
			{completed: "first"}, {completed: "popular"}}
	}
	for _, test := range []struct {
		name     string
		steps    []begunObservation
		wait     time.Duration // before the rejections are read
		rejected []Part
	}{
		{"two crashes", repeated(2, poison), 3 * time.Second, nil},
		{"three crashes", repeated(3, poison), begunSettleTime, []Part{"poison"}},
		{"three crashes, at once", repeated(3, poison), begunSettleTime - 1, nil},
		{"sound requests beside it", repeated(5, sound), begunSettleTime, []Part{"poison"}},
		{"the begin is not always seen", repeated(6, func(n int) []begunObservation {
			if n%2 == 0 {
				return poison(n)
			}
			return []begunObservation{{suspects: []Prompt{{request, "first", "poison"}}, after: pause}, {completed: "first"}}
		}), begunSettleTime, []Part{"poison"}},
		{"whole request, its parts cleared", append(repeated(4, poison), begunObservation{completed: "poison"}, begunObservation{completed: "first"}), begunSettleTime, []Part{request}},
		{"whole request without parts", repeated(3, func(int) []begunObservation {
			return []begunObservation{{began: Prompt{request}, after: pause}, {begun: []Prompt{{request}}}}
		}), begunSettleTime, []Part{request}},
		{"answers came to their end meanwhile", append(repeated(5, poison), begunObservation{completed: request}, begunObservation{completed: "poison"}, begunObservation{completed: "first"}), begunSettleTime, nil},
		{"answers came to their end before", append([]begunObservation{{completed: "poison"}}, repeated(3, poison)...), begunSettleTime, []Part{"poison"}},
		{"servers that were killed together", repeated(9, func(n int) []begunObservation {
			return []begunObservation{{begun: []Prompt{{"first", unique(n / 3)}, {"first", unique(100 + n)}}}, {completed: "first"}}
		}), begunSettleTime, nil},
		{"one part crashes early, another later", append(crashesBegun(3, "early"), repeated(3, poison)...), begunSettleTime, []Part{"early", "poison"}},
		{"sound requests lost with a part that crashes early", repeated(4, func(int) []begunObservation {
			return []begunObservation{{suspects: []Prompt{{"first", "poison"}}, begun: []Prompt{{"first", "popular"}}, after: pause}}
		}), begunSettleTime, []Part{"poison"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := New(1)
			for n, s := range test.steps {
				now = now.Add(s.after)
				switch {
				case s.began != nil:
					for _, part := range s.began {
						w.Exclude(now, part)
					}
				case s.completed != "":
					w.Clear(now, s.completed)
				default:
					w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, s.suspects, nil).WithBegun(s.begun))
				}
				w.Run(now)
			}
			now = now.Add(test.wait)
			w.Run(now)
			c.Assert(rejectedParts(w), qt.DeepEquals, test.rejected)
		})
	}
}

// crashesBegun returns n crashes before the begin of answers on a part.
func crashesBegun(n int, part Part) []begunObservation {
	return repeated(n, func(int) []begunObservation {
		return []begunObservation{{suspects: []Prompt{{"other", part}}, after: time.Millisecond}}
	})
}

// TestSoundPartsAreBlamedLast guards against the rejection of a part that sound requests share in place of
// the one that crashes servers, while no sound request begins to be answered (scenario "shared", LOST).
func TestSoundPartsAreBlamedLast(t *testing.T) {
	prompt := func(int) []Prompt { return []Prompt{{"first", "poison", "last"}} }
	for _, test := range []struct {
		name     string
		steps    []observation
		begun    bool // the answers had begun
		sound    []Part
		rejected []Part
	}{
		{"not known", crashes(8, prompt), false, nil, []Part{"last"}},
		{"the others were sound", crashes(8, prompt), false, []Part{"first", "last"}, []Part{"poison"}},
		{"the others were sound, crashes after the begin", crashes(8, prompt), true, []Part{"first", "last"}, []Part{"poison"}},
		{"all were sound", crashes(8, prompt), false, []Part{"first", "poison", "last"}, []Part{"last"}},
		{"the whole request comes last", crashes(8, func(int) []Prompt { return []Prompt{{request, "first", "last"}} }), false, []Part{"first", "last"}, []Part{"last"}},
		{"two poison parts", crashes(8, func(n int) []Prompt { return []Prompt{{"first", Part(fmt.Sprint("poison", n%2)), "last"}} }), false,
			[]Part{"first", "last"}, []Part{"poison0", "poison1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := New(1)
			for n, s := range test.steps {
				now = now.Add(s.after)
				crash := NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, s.suspects, nil)
				if test.begun {
					crash = NewCrash(crash.ID(), 0, nil, nil).WithBegun(s.suspects)
				}
				w.Report(now, crash)
			}
			for _, part := range test.sound {
				w.MarkSound(now, part)
			}
			now = now.Add(begunSettleTime)
			w.Run(now)
			c.Assert(rejectedParts(w), qt.DeepEquals, test.rejected)
		})
	}
}

// TestRecentParts checks which parts are remembered, for how long and how many.
func TestRecentParts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := NewRecent()
	r.Add(now, Prompt{request, "first", "second"})
	for part, want := range map[Part]bool{request: false, "first": true, "second": true, "third": false} {
		c.Check(r.Has(now.Add(recentRetention), part), qt.Equals, want, qt.Commentf(string(part)))
	}
	c.Check(r.Has(now.Add(recentRetention+1), "first"), qt.IsFalse)
	for n := range 3 * maxRecentParts {
		r.Add(now, Prompt{unique(n)})
	}
	c.Check(r.parts.Len() <= maxRecentParts, qt.IsTrue)
	c.Check(r.Has(now, unique(3*maxRecentParts-1)), qt.IsTrue)
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
				w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, []Prompt{{"poison"}}, nil))
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
				_, rejects := world.View().Rejects(Prompt{"poison"})
				c.Check(rejects, qt.Equals, test.rejects)
				c.Check(world.View().Crashed(NewCrashID("b0", 1)), qt.Equals, test.refuted == 0)
				c.Check(world.View().Crashed(NewCrashID("b4", 1)), qt.Equals, test.refuted < 5)
			}
		})
	}
}

// TestEvidenceOfManyInstances checks that instances that each saw one crash reach the
// same rejection, in whatever order and how often they tell each other.
func TestEvidenceOfManyInstances(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var worlds []*World
	for n := range 5 {
		w := New(uint64(n + 1))
		w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, []Prompt{{"first", "poison"}}, nil))
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
		rejection, ok := w.View().Rejects(Prompt{"other", "poison"})
		c.Assert(ok, qt.IsTrue)
		c.Assert(rejection.Crashes(), qt.Equals, 5)
		c.Assert(w.LocalSince(now, w.LocalVersion()), qt.HasLen, 0)
		version := w.Version()
		w.Merge(now, worlds[0].Since(now, 0))
		c.Assert(w.Version(), qt.Equals, version)
	}
}

// TestAttributionsAreBounded checks that a burst of evidence does not cause a attribution for
// each crash, and that none is forgotten.
func TestAttributionsAreBounded(t *testing.T) {
	const burst, step = 100, time.Millisecond
	c := qt.New(t)
	now := time.Unix(1000, 0)
	w := New(1)
	attributions := 0
	for n := range burst {
		w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, []Prompt{{"first", "poison"}}, nil))
		if w.Run(now) {
			attributions++
		}
		now = now.Add(step)
	}
	c.Assert(attributions <= 1+int(burst*step/attributionInterval), qt.IsTrue, qt.Commentf("%d attributions", attributions))
	for next, ok := w.Next(); ok && next.Before(now.Add(settleTime)); next, ok = w.Next() {
		w.Run(next)
	}
	rejection, ok := w.View().Rejects(Prompt{"poison"})
	c.Assert(ok, qt.IsTrue)
	c.Assert(rejection.Crashes(), qt.Equals, burst)
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
