package control

import (
	"maps"
	"sync/atomic"
	"time"
)

// writerTable holds when each core's present life last spoke. The records that a silent core has written may
// be out of date: nobody else takes back what it has said of the edges that were linked to it.
type writerTable struct {
	lastHeard map[string]time.Duration            // by the life that its records name as their origin
	silent    atomic.Pointer[map[string]struct{}] // lives; not changed once published
}

func newWriterTable() writerTable { return writerTable{lastHeard: map[string]time.Duration{}} }

func (t *writerTable) heard(now time.Duration, life string) {
	if life != "" {
		t.lastHeard[life] = now
	}
}

// publish makes known which writers are silent. Where this core is not sure of its own footing, none counts
// as silent: it is this core that is cut off, and the others go on.
func (t *writerTable) publish(now time.Duration, sure bool) {
	silent := map[string]struct{}{}
	maps.DeleteFunc(t.lastHeard, func(_ string, at time.Duration) bool { return now-at > edgeLife })
	for life, at := range t.lastHeard {
		if sure && now-at > silentCore {
			silent[life] = struct{}{}
		}
	}
	t.silent.Store(&silent)
}

// SilentWriter reports whether the core that wrote records with this origin does not speak any more. It is
// safe for concurrent use.
func (e *Engine) SilentWriter(origin string) bool {
	silent := e.writers.silent.Load()
	if silent == nil {
		return false
	}
	_, found := (*silent)[origin]
	return found
}
