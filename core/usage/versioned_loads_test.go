package usage

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestUpdateForCursor checks the update that a reader gets for its cursor after
// the loads changed.
func TestUpdateForCursor(t *testing.T) {
	one, two := NewLoad(1, 0), NewLoad(2, 3)
	for _, test := range []struct {
		name   string
		before map[string]Load // when the reader read first
		after  map[string]Load
		cursor func(Cursor) Cursor
		full   bool
		want   map[string]Load
	}{
		{"nothing changed", map[string]Load{"a": one}, map[string]Load{"a": one}, nil, false, map[string]Load{}},
		{"one changed", map[string]Load{"a": one, "b": one}, map[string]Load{"a": one, "b": two}, nil, false, map[string]Load{"b": two}},
		{"one without load", map[string]Load{"a": one, "b": one}, map[string]Load{"a": one}, nil, false, map[string]Load{"b": {}}},
		{"new server", map[string]Load{"a": one}, map[string]Load{"a": one, "b": two}, nil, false, map[string]Load{"b": two}},
		{"first read", map[string]Load{"a": one}, map[string]Load{"a": one, "b": two}, func(Cursor) Cursor { return Cursor{} }, true, map[string]Load{"a": one, "b": two}},
		{"cursor of another epoch", map[string]Load{"a": one, "b": one}, map[string]Load{"a": one}, func(c Cursor) Cursor { return NewCursor(c.Epoch()+7, c.Version()) }, true, map[string]Load{"a": one}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			versioned := NewVersionedLoads(40)
			versioned.Replace(test.before)
			cursor := versioned.Since(Cursor{}).Cursor()
			if test.cursor != nil {
				cursor = test.cursor(cursor)
			}
			versioned.Replace(test.after)
			update := versioned.Since(cursor)
			c.Assert(update.Full(), qt.Equals, test.full)
			c.Assert(maps.Equal(update.Loads(), test.want), qt.IsTrue, qt.Commentf("%v", update.Loads()))
		})
	}
}

// TestUpdatesBringReadersUpToDate checks that readers that poll at random times
// have the current loads after each update, even if so many servers appear and
// disappear that the rows are compacted.
func TestUpdatesBringReadersUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versioned := NewVersionedLoads(1)
		type reader struct {
			cursor Cursor
			loads  map[string]Load
		}
		readers := []*reader{{loads: make(map[string]Load)}, {loads: make(map[string]Load)}}
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			loads := make(map[string]Load)
			first := rapid.IntRange(0, 3*maxUnloadedRows).Draw(t, "first")
			for i := range rapid.IntRange(0, 400).Draw(t, "servers") {
				loads[fmt.Sprint(first+i)] = NewLoad(1+i%3, i%2)
			}
			versioned.Replace(loads)
			r := rapid.SampledFrom(readers).Draw(t, "reader")
			update := versioned.Since(r.cursor)
			update.Apply(r.loads)
			r.cursor = update.Cursor()
			if !maps.Equal(r.loads, loads) {
				t.Fatalf("reader has %d servers, want %d", len(r.loads), len(loads))
			}
		}
	})
}
