package relay

import (
	"time"

	"willowdeck/internal/bootclock"
)

// nowMillis is the time by which ages are counted: milliseconds since the machine's boot. It goes on while
// the process is stalled and while the machine sleeps.
func nowMillis() float64 { return float64(bootclock.Nanos()) / 1e6 }

// toDuration converts milliseconds.
func toDuration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
