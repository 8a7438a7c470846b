package control

import (
	"maps"
	"sync/atomic"
	"time"
)

// writerTable holds when each core's present life last spoke. The records that a silent core has written may
// be out of date: nobody else takes back what it has said of the edges that were linked to it.
type originTable struct {
	lastContact map[string]time.Duration            // by the life that its records name as their origin
	silent    atomic.Pointer[map[string]struct{}] // lives; not changed once published
}

func newOriginTable() originTable { return originTable{lastContact: map[string]time.Duration{}} }

func (t *originTable) observe(now time.Duration, incarnation string) {
	if incarnation != "" {
		t.lastContact[incarnation] = now
	}
}

// publish makes known which writers are silent. Where this core is not sure of its own footing, none counts
// as silent: it is this core that is cut off, and the others go on.
func (t *originTable) publish(now time.Duration, inSync bool) {
	silent := map[string]struct{}{}
	maps.DeleteFunc(t.lastContact, func(_ string, at time.Duration) bool { return now-at > unlinkedEdgeRetention })
	for incarnation, at := range t.lastContact {
		if inSync && now-at > silentCoreTimeout {
			silent[incarnation] = struct{}{}
		}
	}
	t.silent.Store(&silent)
}

// SilentWriter reports whether the core that wrote records with this origin does not speak any more. It is
// safe for concurrent use.
func (e *Engine) OriginSilent(origin string) bool {
	silent := e.origins.silent.Load()
	if silent == nil {
		return false
	}
	_, found := (*silent)[origin]
	return found
}
