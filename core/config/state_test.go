package config

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChanges applies changes in order and checks each verdict.
func TestChanges(t *testing.T) {
	now := time.UnixMilli(1000)
	ref := NewRef(KindModel, "m")
	set := func(operation string, basedOn uint64) Change {
		return NewChange(operation, "me", ref, NewSpec(WithVersion(operation)), basedOn, now)
	}
	for _, test := range []struct {
		name     string
		changes  []Change
		verdicts []ChangeResult
	}{
		{"create and change", []Change{set("a", 0), set("b", 1)}, []ChangeResult{NewChangeResult(true, 1, ""), NewChangeResult(true, 2, "")}},
		{"equal numbers", []Change{set("a", 0), set("b", 1), set("c", 1)}, []ChangeResult{NewChangeResult(true, 1, ""), NewChangeResult(true, 2, ""), NewChangeResult(false, 2, reasonNewer)}},
		{"created twice", []Change{set("a", 0), set("b", 0)}, []ChangeResult{NewChangeResult(true, 1, ""), NewChangeResult(false, 1, reasonNewer)}},
		{"resent after others", []Change{set("a", 0), set("b", 1), set("a", 0)}, []ChangeResult{NewChangeResult(true, 1, ""), NewChangeResult(true, 2, ""), NewChangeResult(true, 1, "")}},
		{"resent conflict", []Change{set("a", 0), set("b", 0), set("b", 0)}, []ChangeResult{NewChangeResult(true, 1, ""), NewChangeResult(false, 1, reasonNewer), NewChangeResult(false, 1, reasonNewer)}},
		{"deleted and created", []Change{set("a", 0), NewDeletion("d", "me", ref, 1, now), set("b", 0)}, []ChangeResult{NewChangeResult(true, 1, ""), NewChangeResult(true, 2, ""), NewChangeResult(true, 3, "")}},
		{"deleted while missing", []Change{NewDeletion("d", "me", ref, 0, now)}, []ChangeResult{NewChangeResult(false, 0, reasonMissing)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := New()
			for i, change := range test.changes {
				c.Assert(s.Apply(change), qt.Equals, test.verdicts[i])
			}
		})
	}
}

// TestView advances views by changes in any order; no view goes back.
func TestView(t *testing.T) {
	c := qt.New(t)
	s := New()
	for n := range 30 {
		ref := NewRef(KindModel, fmt.Sprintf("m%d", n%3))
		s.Apply(NewChange(fmt.Sprint(n), "me", ref, NewSpec(WithVersion(fmt.Sprint(n))), uint64(max(n-2, 0)), time.UnixMilli(1)))
	}
	for _, from := range []uint64{0, 7, 29, 30} {
		view := NewView(0, nil)
		early, ok := s.ChangedSince(0)
		c.Assert(ok, qt.IsTrue)
		view = view.Advance(from, early[:from])
		changed, ok := s.ChangedSince(from)
		c.Assert(ok, qt.IsTrue)
		newest := view.Advance(30, changed)
		c.Assert(newest.Advance(from, early[:from]), qt.Equals, newest)
		o, found := newest.Get(NewRef(KindModel, "m2"))
		c.Assert(found, qt.IsTrue)
		c.Assert(o.Spec().Version(), qt.Equals, "29")
	}
}
