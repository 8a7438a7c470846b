// Package bootclock reads the clock that counts from the machine's start. Leases are measured by it, as it
// goes on while a process is stopped and while the machine is suspended, and is never set.
package bootclock

import (
	"math"

	"golang.org/x/sys/unix"
)

// Nanos is the time since the machine's start, in ns. Where the clock can't be read it is the largest number:
// every lease has expired by then.
func Nanos() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return math.MaxInt64
	}
	return t.Nano()
}
