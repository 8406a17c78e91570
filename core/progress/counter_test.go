package progress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLook checks that silence adds up between reads.
func TestLook(t *testing.T) {
	for _, test := range []struct {
		name  string
		reads []int // before each look, a second apart
		want  time.Duration
		moved bool
	}{
		{"nothing", []int{0, 0, 0}, 3 * time.Second, false},
		{"always", []int{1, 2, 1}, 0, true},
		{"once", []int{1, 0, 0}, 2 * time.Second, true},
		{"again", []int{0, 0, 1, 0}, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			counter := New()
			watch := NewIdleTimer(counter)
			for _, reads := range test.reads {
				for range reads {
					counter.Increment()
				}
				watch.Update(time.Second)
			}
			qt.Assert(t, watch.Idle(), qt.Equals, test.want)
			qt.Assert(t, watch.HasRead(), qt.Equals, test.moved)
		})
	}
}
