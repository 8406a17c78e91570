package progress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleTime checks that idle time adds up between reads.
func TestIdleTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		reads   []int // before each update, a second apart
		want    time.Duration
		hasRead bool
	}{
		{"no reads", []int{0, 0, 0}, 3 * time.Second, false},
		{"reads in each interval", []int{1, 2, 1}, 0, true},
		{"one read", []int{1, 0, 0}, 2 * time.Second, true},
		{"read after idle time", []int{0, 0, 1, 0}, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			counter := New()
			timer := NewIdleTimer(counter)
			for _, reads := range test.reads {
				for range reads {
					counter.Increment()
				}
				timer.Update(time.Second)
			}
			qt.Assert(t, timer.Idle(), qt.Equals, test.want)
			qt.Assert(t, timer.HasRead(), qt.Equals, test.hasRead)
		})
	}
}
