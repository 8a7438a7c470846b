package proxy

import (
	"time"

	"willowdeck/internal/gateway/transport"
)

// clock gives the policy's time: Unix ms at the start, and from there on by the monotonic clock. So the start
// times of workers' processes, which discovery reports as Unix ms, can be compared with it.
type clock struct {
	start      time.Time
	unixMillis float64 // at start
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, unixMillis: float64(now.UnixMicro()) / 1000}
}

// now gives the time, Unix ms.
func (c clock) now() float64 {
	return c.unixMillis + float64(time.Since(c.start))/float64(time.Millisecond)
}

// time converts a time of this clock, with its monotonic reading.
func (c clock) time(millis float64) time.Time {
	return c.start.Add(transport.Millis(millis - c.unixMillis))
}
