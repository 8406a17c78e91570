package usage

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestBoard checks what a reader with a mark hears of a change.
func TestBoard(t *testing.T) {
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
			mark := b.Since(Cursor{}).Cursor()
			if test.mark != nil {
				mark = test.mark(mark)
			}
			b.Replace(test.after)
			change := b.Since(mark)
			c.Assert(change.Full(), qt.Equals, test.whole)
			c.Assert(maps.Equal(change.Loads(), test.want), qt.IsTrue, qt.Commentf("%v", change.Loads()))
		})
	}
}

// TestBoardReaders checks that readers that come at any time see what the board
// shows, however many servers come and go.
func TestBoardReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewLoadTable(1)
		type reader struct {
			mark  Cursor
			loads map[string]Load
		}
		readers := []*reader{{loads: make(map[string]Load)}, {loads: make(map[string]Load)}}
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			shown := make(map[string]Load)
			first := rapid.IntRange(0, 3*maxIdleRows).Draw(t, "first")
			for i := range rapid.IntRange(0, 400).Draw(t, "servers") {
				shown[fmt.Sprint(first+i)] = NewLoad(1+i%3, i%2)
			}
			b.Replace(shown)
			r := rapid.SampledFrom(readers).Draw(t, "reader")
			change := b.Since(r.mark)
			change.Apply(r.loads)
			r.mark = change.Cursor()
			if !maps.Equal(r.loads, shown) {
				t.Fatalf("reader has %d servers, %d are shown", len(r.loads), len(shown))
			}
		}
	})
}
