package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// newSpec returns a job whose items have ten tokens each.
func newSpec(id string, items, limit int) JobSpec {
	var list []Item
	for i := range items {
		list = append(list, NewItem(fmt.Sprint(id, i), "/p", nil, []byte("body"), 10))
	}
	now := time.Unix(1000, 0)
	return NewJobSpec(id, "r", "h", list, WithTimes(now, now.Add(time.Second), now.Add(time.Minute)), WithLimits(limit, 3))
}

// TestApply checks the replies to commands and the tokens that wait afterwards.
func TestApply(t *testing.T) {
	done := func(job string, item int) ItemOutput {
		return NewFinalItemOutput(job, NewResult(item, ItemDone, nil), 0)
	}
	for _, test := range []struct {
		name     string
		commands []Command
		reply    Reply // of the last command
		waiting  int
	}{
		{"accepted", []Command{Submit(newSpec("a", 3, 0))}, ReplyOK, 30},
		{"accepted once", []Command{Submit(newSpec("a", 3, 0)), Submit(newSpec("a", 3, 0))}, ReplyOK, 30},
		{"too many tokens", []Command{Submit(newSpec("a", 3, 50)), Submit(newSpec("b", 3, 50))}, ReplyQueueFull, 30},
		{"room after a result", []Command{Submit(newSpec("a", 3, 50)), Store([]ItemOutput{done("a", 0)}), Submit(newSpec("b", 3, 50))}, ReplyOK, 50},
		{"resubmitted while full", []Command{Submit(newSpec("a", 3, 30)), Submit(newSpec("a", 3, 30))}, ReplyOK, 30},
		{"finished twice", []Command{Submit(newSpec("a", 3, 0)), Store([]ItemOutput{done("a", 0), done("a", 0)})}, ReplyOK, 20},
		{"cancelled", []Command{Submit(newSpec("a", 3, 0)), Cancel("a")}, ReplyOK, 0},
		{"cancelled twice", []Command{Submit(newSpec("a", 3, 0)), Cancel("a"), Cancel("a")}, ReplyOK, 0},
		{"finished after cancellation", []Command{Submit(newSpec("a", 3, 0)), Cancel("a"), Store([]ItemOutput{done("a", 1)})}, ReplyOK, 0},
		{"cancellation of an unknown job", []Command{Cancel("a")}, ReplyUnknownJob, 0},
		{"open jobs do not expire", []Command{Submit(newSpec("a", 1, 0)), Expire(time.Unix(9000, 0)), Cancel("a")}, ReplyOK, 0},
		{"cancelled jobs expire", []Command{Submit(newSpec("a", 1, 0)), Cancel("a"), Expire(time.Unix(9000, 0)), Cancel("a")}, ReplyUnknownJob, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			var reply Reply
			for _, c := range test.commands {
				reply = s.Apply(c)
			}
			qt.Assert(t, reply, qt.Equals, test.reply)
			qt.Assert(t, s.WaitingTokens("r"), qt.Equals, test.waiting)
		})
	}
}

// TestPartialOutput checks that partial outputs are joined in order and that output
// that does not continue the stored output changes nothing.
func TestPartialOutput(t *testing.T) {
	for _, test := range []struct {
		name    string
		outputs []ItemOutput
		text    string // of the result, empty while the item waits
	}{
		{"whole", []ItemOutput{NewFinalItemOutput("a", NewResult(0, ItemDone, []byte("x")), 0)}, "x"},
		{"in parts", []ItemOutput{NewPartialItemOutput("a", 0, []byte("x"), 0, 3), NewPartialItemOutput("a", 0, []byte("y"), 3, 5),
			NewFinalItemOutput("a", NewResult(0, ItemDone, []byte("z")), 5)}, "x\ny\nz"},
		{"all in parts", []ItemOutput{NewPartialItemOutput("a", 0, []byte("x"), 0, 3), NewFinalItemOutput("a", NewResult(0, ItemDone, nil), 3)}, "x"},
		{"partial output stored twice", []ItemOutput{NewPartialItemOutput("a", 0, []byte("x"), 0, 3), NewPartialItemOutput("a", 0, []byte("x"), 0, 3),
			NewFinalItemOutput("a", NewResult(0, ItemDone, []byte("z")), 3)}, "x\nz"},
		{"begun anew", []ItemOutput{NewPartialItemOutput("a", 0, []byte("x"), 0, 3), NewPartialItemOutput("a", 0, []byte("y"), 0, 2).AsReplacement(),
			NewFinalItemOutput("a", NewResult(0, ItemDone, []byte("z")), 2)}, "y\nz"},
		{"begun anew and whole", []ItemOutput{NewPartialItemOutput("a", 0, []byte("x"), 0, 3),
			NewFinalItemOutput("a", NewResult(0, ItemDone, []byte("z")), 0).AsReplacement()}, "z"},
		{"gap", []ItemOutput{NewPartialItemOutput("a", 0, []byte("x"), 0, 3), NewFinalItemOutput("a", NewResult(0, ItemDone, []byte("z")), 4)}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			s.Apply(Submit(newSpec("a", 1, 0)))
			s.Apply(Store(test.outputs))
			j, _ := s.Job("a")
			qt.Assert(t, j.IsWaiting(0), qt.Equals, test.text == "")
			if test.text != "" {
				qt.Assert(t, string(j.Results()[0].Text()), qt.Equals, test.text)
			}
		})
	}
}

// TestPage checks that a page keeps its size limit and has at least one result if
// there is one.
func TestPage(t *testing.T) {
	big := make([]byte, MaxPageBytes*2/3)
	s := New()
	s.Apply(Submit(newSpec("a", 4, 0)))
	for i := range 3 {
		s.Apply(Store([]ItemOutput{NewFinalItemOutput("a", NewResult(i, ItemDone, big), 0)}))
	}
	j, _ := s.Job("a")
	for _, test := range []struct {
		after, results, next int
	}{{0, 1, 1}, {2, 1, 3}, {3, 0, 3}, {9, 0, 9}} {
		p := j.Page(test.after)
		qt.Check(t, p.Results(), qt.HasLen, test.results)
		qt.Check(t, p.Next(), qt.Equals, test.next)
		qt.Check(t, p.Total(), qt.Equals, 4)
	}
	body, ok := j.ItemBody("a3")
	qt.Check(t, ok && string(body) == "body", qt.IsTrue)
	_, ok = j.ItemBody("a0")
	qt.Check(t, ok, qt.IsFalse)
}

// TestResultPositions checks with random commands that results keep their positions,
// that no item has two results, and that a restored state equals the original.
func TestResultPositions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New()
		var seen []Result
		s.Apply(Submit(newSpec("a", 5, 0)))
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			item := rapid.IntRange(-1, 6).Draw(rt, "item")
			from := uint64(rapid.IntRange(0, 3).Draw(rt, "from"))
			status := ItemStatus(rapid.IntRange(0, 2).Draw(rt, "status"))
			output := NewFinalItemOutput("a", NewResult(item, status, []byte("x")), from)
			if status == 0 {
				output = NewPartialItemOutput("a", item, []byte("x"), from, from+1)
			}
			s.Apply(Store([]ItemOutput{output}))
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				var jobs []Job
				for _, j := range s.Export() {
					jobs = append(jobs, RestoreJob(j.Spec(), j.Cancelled(), j.Results(), j.PartialOutputs()))
				}
				s = Restore(jobs, nil)
			}
			j, _ := s.Job("a")
			for i, r := range seen {
				if j.Results()[i].Item() != r.Item() || j.Results()[i].Status() != r.Status() {
					rt.Fatalf("the result at position %d changed", i)
				}
			}
			seen = j.Results()
			items := make(map[int]bool)
			for _, r := range seen {
				if items[r.Item()] {
					rt.Fatalf("item %d has two results", r.Item())
				}
				items[r.Item()] = true
			}
			if s.WaitingTokens("r") != 10*(5-len(seen)) {
				rt.Fatalf("%d tokens wait with %d results", s.WaitingTokens("r"), len(seen))
			}
		}
	})
}

// TestBytesOfItems checks that the memory of an item counts wherever in the item its size is.
func TestBytesOfItems(t *testing.T) {
	const size = 1 << 20
	long := strings.Repeat("x", size)
	for _, test := range []struct {
		name string
		item Item
	}{
		{"body", NewItem("i", "/", nil, []byte(long), 1)},
		{"path", NewItem("i", long, nil, nil, 1)},
		{"id", NewItem(long, "/", nil, nil, 1)},
		{"value of a header", NewItem("i", "/", []Header{NewHeader("a", long)}, nil, 1)},
		{"name of a header", NewItem("i", "/", []Header{NewHeader(long, "a")}, nil, 1)},
		{"many headers", NewItem("i", "/", make([]Header, size/headerOverhead), nil, 1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := New()
			state.Apply(Submit(NewJobSpec("j", "r", "h", []Item{test.item})))
			qt.Assert(t, state.Bytes() >= size, qt.IsTrue, qt.Commentf("%d", state.Bytes()))
		})
	}
}
