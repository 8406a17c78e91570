package usage

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestUpdateForCursor checks what a reader with a mark hears of a change.
func TestUpdateForCursor(t *testing.T) {
	one, two := NewLoad(1, 0), NewLoad(2, 3)
	for _, test := range []struct {
		name   string
		before map[string]Load // shown when the reader came first
		after  map[string]Load
		mark   func(Cursor) Cursor
		whole  bool
		want   map[string]Load
	}{
		{"nothing changed", map[string]Load{"a": one}, map[string]Load{"a": one}, nil, false, map[string]Load{}},
		{"one changed", map[string]Load{"a": one, "b": one}, map[string]Load{"a": one, "b": two}, nil, false, map[string]Load{"b": two}},
		{"one without load", map[string]Load{"a": one, "b": one}, map[string]Load{"a": one}, nil, false, map[string]Load{"b": {}}},
		{"new server", map[string]Load{"a": one}, map[string]Load{"a": one, "b": two}, nil, false, map[string]Load{"b": two}},
		{"first read", map[string]Load{"a": one}, map[string]Load{"a": one, "b": two}, func(Cursor) Cursor { return Cursor{} }, true, map[string]Load{"a": one, "b": two}},
		{"another board", map[string]Load{"a": one, "b": one}, map[string]Load{"a": one}, func(m Cursor) Cursor { return NewCursor(m.Epoch()+7, m.Version()) }, true, map[string]Load{"a": one}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := NewLoadTable(40)
			b.Replace(test.before)
			cursor := b.Since(Cursor{}).Cursor()
			if test.mark != nil {
				cursor = test.mark(cursor)
			}
			b.Replace(test.after)
			update := b.Since(cursor)
			c.Assert(update.Full(), qt.Equals, test.whole)
			c.Assert(maps.Equal(update.Loads(), test.want), qt.IsTrue, qt.Commentf("%v", update.Loads()))
		})
	}
}

// TestReadersFollowLoadTable checks that readers that come at any time see what the board
// shows, however many servers come and go.
func TestReadersFollowLoadTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewLoadTable(1)
		type reader struct {
			mark  Cursor
			loads map[string]Load
		}
		readers := []*reader{{loads: make(map[string]Load)}, {loads: make(map[string]Load)}}
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			loads := make(map[string]Load)
			first := rapid.IntRange(0, 3*maxUnloadedRows).Draw(t, "first")
			for i := range rapid.IntRange(0, 400).Draw(t, "servers") {
				loads[fmt.Sprint(first+i)] = NewLoad(1+i%3, i%2)
			}
			b.Replace(loads)
			r := rapid.SampledFrom(readers).Draw(t, "reader")
			update := b.Since(r.mark)
			update.Apply(r.loads)
			r.mark = update.Cursor()
			if !maps.Equal(r.loads, loads) {
				t.Fatalf("reader has %d servers, %d are shown", len(r.loads), len(loads))
			}
		}
	})
}
