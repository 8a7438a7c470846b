package drain

import (
	"slices"
	"time"
)

// durationsPerRoute is how many durations of a route are kept: the longest of them is exceeded by few
// requests.
const durationsPerRoute = 32

// recentDurations holds the last durations of a route's responses.
type recentDurations struct {
	durations [durationsPerRoute]time.Duration
	count     int // recorded; the oldest are overwritten
}

func (r *recentDurations) add(duration time.Duration) {
	r.durations[r.count%durationsPerRoute] = duration
	r.count++
}

// longest returns the longest duration that is kept. There must be one.
func (r *recentDurations) longest() time.Duration {
	return slices.Max(r.durations[:min(r.count, durationsPerRoute)])
}
