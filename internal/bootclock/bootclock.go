// Package bootclock reads the time since the machine's start (CLOCK_BOOTTIME). Lease expiries use this clock
// because it advances while a process is stopped and while the machine is suspended, and can't be set.
package bootclock

import (
	"math"

	"golang.org/x/sys/unix"
)

// Nanos returns the time since the machine's start, in ns. If the clock can't be read it returns the largest
// int64, so that every lease counts as expired.
func Nanos() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return math.MaxInt64
	}
	return t.Nano()
}
