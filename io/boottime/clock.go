// Package boottime reads the clock that continues while a machine is suspended.
// Leases use it because Go's monotonic clock stops during a suspension: after the
// suspension, a leader would still consider an expired lease valid.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the Unix epoch plus the time since the machine booted. Only times
// of the same machine since the same boot can be compared.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // Linux before 2.6.39 does not have the clock
	}
	return time.Unix(t.Sec, t.Nsec)
}
