package tally

import (
	"testing"
	"time"
)

// maxShutdownTime is for how long a core may run on after SIGTERM while nothing is disturbed: until its peers
// know that it stops and have reported what they have made durable, with a margin.
const maxShutdownTime = 1500 * time.Millisecond

// TestShutdownDuringAdds checks that a core that is asked to stop does not wait for the end of the adds that
// other cores go on recording.
func TestShutdownDuringAdds(t *testing.T) {
	for seed := range int64(8) {
		w := newWorld(seed, plantedFault{})
		w.run(8 * time.Second)
		began, stopped := w.now, time.Duration(0)
		w.machines[seed%coreCount].beginStop(func() { stopped = w.now })
		w.run(shutdownGrace)
		if took := stopped - began; stopped == 0 || took > maxShutdownTime {
			t.Errorf("seed %d: a core stops %v after SIGTERM (0 s: not at all)", seed, max(0, took))
		}
		for _, violation := range w.violations {
			t.Error(violation)
		}
	}
}
