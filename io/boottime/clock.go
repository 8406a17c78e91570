// Package boottime reads the clock that goes on while a machine is suspended.
// Leases are measured by it: the monotonic clock of the runtime stops then, so
// a leader that wakes would still take its lease for valid.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time after the Unix
// epoch. Times of one machine can be compared; they say nothing elsewhere.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // kernels without the clock, before 2.6.39
	}
	return time.Unix(t.Sec, t.Nsec)
}
