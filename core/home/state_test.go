package home

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/outcome"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// start is the time of the first command in tests.
var start = time.UnixMilli(1_000_000)

// job is the key of the test job.
var job = NewKey("acc", "job")

// items returns n different items.
func items(n int) []Item {
	var list []Item
	for i := range n {
		list = append(list, NewItem(fmt.Sprintf("item %d", i), 4))
	}
	return list
}

// submitted returns a state with a job of n items.
func submitted(n int, once bool) *State {
	s := New()
	s.Apply(NewCommand(CommandSubmit, job, start, WithService("s"), WithAtMostOnce(once), WithItems(n, 0, items(n))))
	return s
}

// lease leases up to limit items.
func lease(s *State, owner string, number uint64, limit int, at, until time.Time) []LeasedItem {
	return s.Apply(NewCommand(CommandLease, Key{}, at, WithOwner(owner, until), WithNumber(number), WithLimit(limit))).Leased()
}

// done returns the completion of item i with a text.
func done(i int, text string) Completion {
	return NewCompletion(job, i, NewAnswer(outcome.OK, text, 1, "", "b", start))
}

// TestSubmit sends parts of a job in many ways.
func TestSubmit(t *testing.T) {
	part := func(total, offset int, list []Item, service string) Command {
		return NewCommand(CommandSubmit, job, start, WithService(service), WithItems(total, offset, list))
	}
	other := []Item{NewItem("other", 4)}
	for _, test := range []struct {
		name     string
		commands []Command
		code     outcome.Code
		received int
	}{
		{"whole", []Command{part(4, 0, items(4), "s")}, outcome.OK, 4},
		{"in parts", []Command{part(4, 0, items(2), "s"), part(4, 2, items(4)[2:], "s")}, outcome.OK, 4},
		{"part twice", []Command{part(4, 0, items(2), "s"), part(4, 0, items(2), "s")}, outcome.OK, 2},
		{"overlapping part", []Command{part(4, 0, items(2), "s"), part(4, 0, items(3), "s")}, outcome.OK, 3},
		{"gap", []Command{part(4, 2, items(2), "s")}, outcome.Refused, 0},
		{"other items", []Command{part(4, 0, items(2), "s"), part(4, 1, other, "s")}, outcome.Refused, 2},
		{"other service", []Command{part(4, 0, items(2), "s"), part(4, 2, items(2), "z")}, outcome.Refused, 2},
		{"too many", []Command{part(2, 0, items(3), "s")}, outcome.Refused, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := New()
			var reply Reply
			for _, command := range test.commands {
				reply = s.Apply(command)
			}
			c.Assert(reply.Code(), qt.Equals, test.code)
			c.Assert(reply.Status().Received(), qt.Equals, test.received)
		})
	}
}

// TestLeases checks what becomes of leased items.
func TestLeases(t *testing.T) {
	later := start.Add(time.Minute)
	for _, test := range []struct {
		name   string
		once   bool
		act    func(s *State)
		want   JobStatus
		second string // text of item 0 at the end
	}{
		{"completed", false, func(s *State) {
			s.Apply(NewCommand(CommandComplete, Key{}, start, WithCompletions([]Completion{done(0, "x"), done(0, "y")})))
		}, NewJobStatus(job, "s", 3, 3, 1, 1, 0, false), "x"},
		{"released", false, func(s *State) {
			s.Apply(NewCommand(CommandRelease, Key{}, start, WithOwner("o", start), WithCompletions([]Completion{done(0, "")})))
		}, NewJobStatus(job, "s", 3, 3, 1, 0, 0, false), ""},
		{"released by another", false, func(s *State) {
			s.Apply(NewCommand(CommandRelease, Key{}, start, WithOwner("z", start), WithCompletions([]Completion{done(0, "")})))
		}, NewJobStatus(job, "s", 3, 3, 2, 0, 0, false), ""},
		{"run out", false, func(s *State) { s.Apply(NewCommand(CommandExpire, Key{}, later)) },
			NewJobStatus(job, "s", 3, 3, 0, 0, 0, false), ""},
		{"run out, not to be repeated", true, func(s *State) { s.Apply(NewCommand(CommandExpire, Key{}, later)) },
			NewJobStatus(job, "s", 3, 3, 0, 2, 2, false), ""},
		{"late answer of a lost owner", true, func(s *State) {
			s.Apply(NewCommand(CommandExpire, Key{}, later))
			s.Apply(NewCommand(CommandComplete, Key{}, later, WithCompletions([]Completion{done(0, "late")})))
		}, NewJobStatus(job, "s", 3, 3, 0, 2, 2, false), ""},
		{"cancelled", false, func(s *State) { s.Apply(NewCommand(CommandCancel, job, start)) },
			NewJobStatus(job, "s", 3, 3, 2, 0, 0, true), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := submitted(3, test.once)
			c.Assert(lease(s, "o", 1, 2, start, start.Add(time.Second)), qt.HasLen, 2)
			test.act(s)
			c.Assert(s.JobStatus(job).Status(), qt.Equals, test.want)
			if results := s.Results(job, 0, 1).Results(); len(results) > 0 {
				c.Assert(results[0].Answer().Text(), qt.Equals, test.second)
			}
		})
	}
}

// TestResentCommands applies each command twice: the second copy has no effect.
func TestResentCommands(t *testing.T) {
	key := NewKey("acc", "k")
	for _, test := range []struct {
		name    string
		command Command
		check   func(c *qt.C, first, second Reply)
	}{
		{"answer", NewCommand(CommandPutAnswer, key, start, WithAnswer(NewAnswer(outcome.OK, "x", 1, "", "", start))),
			func(c *qt.C, first, second Reply) { c.Assert(second.Answer(), qt.Equals, first.Answer()) }},
		{"start", NewCommand(CommandStart, key, start, WithNumber(7), WithDeadline(start)),
			func(c *qt.C, _, second Reply) { c.Assert(second.Code(), qt.Equals, outcome.OK) }},
		{"suspect", NewCommand(CommandCountCrash, Key{}, start, WithFingerprint(9), WithNumber(7)),
			func(c *qt.C, _, second Reply) { c.Assert(second.Count(), qt.Equals, 1) }},
		{"lease", NewCommand(CommandLease, Key{}, start, WithOwner("o", start.Add(time.Second)), WithNumber(1), WithLimit(2)),
			func(c *qt.C, first, second Reply) { c.Assert(second.Leased(), qt.HasLen, len(first.Leased())) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := submitted(3, false)
			test.check(c, s.Apply(test.command), s.Apply(test.command))
			c.Assert(s.JobStatus(job).Status().Leased() <= 2, qt.IsTrue)
		})
	}
}

// TestCounts runs random commands and checks that the counts agree with the
// items and that no answer changes.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const size = 12
		s := submitted(size, rapid.Bool().Draw(rt, "once"))
		now := start
		answers := make(map[int]string)
		numbers := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			owner := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner")
			item := rapid.IntRange(0, size-1).Draw(rt, "item")
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0, 1:
				numbers[owner]++
				lease(s, owner, numbers[owner], rapid.IntRange(0, 5).Draw(rt, "limit"), now, now.Add(2*time.Second))
			case 2:
				s.Apply(NewCommand(CommandComplete, Key{}, now, WithCompletions([]Completion{done(item, fmt.Sprint(now))})))
			case 3:
				s.Apply(NewCommand(CommandRelease, Key{}, now, WithOwner(owner, now), WithCompletions([]Completion{done(item, "")})))
			case 4:
				s.Apply(NewCommand(CommandExpire, Key{}, now))
			}
			checkCounts(rt, s, answers)
		}
	})
}

// checkCounts compares the status of the test job with its columns.
func checkCounts(rt *rapid.T, s *State, answers map[int]string) {
	row := s.jobs.Get(job)
	counts := map[ItemState]int{}
	for i, state := range row.states {
		counts[state]++
		if (state == ItemLeased) != (row.held[i] != 0) {
			rt.Fatalf("item %d is in state %d and held by lease %d", i, state, row.held[i])
		}
		if state == ItemDone {
			text := row.answers[i].code.String() + row.answers[i].text
			if old, ok := answers[i]; ok && old != text {
				rt.Fatalf("item %d changed its answer", i)
			}
			answers[i] = text
		}
	}
	open := 0
	for _, l := range row.leases {
		open += l.open
	}
	if counts[ItemLeased] != row.leased || counts[ItemDone] != row.done || open != row.leased {
		rt.Fatalf("counts %v, leased %d, done %d, open %d", counts, row.leased, row.done, open)
	}
}
