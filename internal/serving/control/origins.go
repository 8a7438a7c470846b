package control

import (
	"maps"
	"sync/atomic"
	"time"
)

// originTable records when each core's present incarnation last sent a presence message. Records of a silent
// core may be out of date: no other core corrects what it has published of the edges that were linked to it.
type originTable struct {
	lastContact map[string]time.Duration            // by the incarnation, which its records name as their origin
	silent      atomic.Pointer[map[string]struct{}] // incarnations; not modified once published
}

// newOriginTable returns an empty table.
func newOriginTable() originTable { return originTable{lastContact: map[string]time.Duration{}} }

// observe records a presence message of an incarnation.
func (t *originTable) observe(now time.Duration, incarnation string) {
	if incarnation != "" {
		t.lastContact[incarnation] = now
	}
}

// publish makes available which origins are silent. If this core is not in sync itself none counts as silent:
// this core may be the one that is partitioned.
func (t *originTable) publish(now time.Duration, inSync bool) {
	silent := map[string]struct{}{}
	maps.DeleteFunc(t.lastContact, func(_ string, at time.Duration) bool {
		return now-at > unlinkedEdgeRetention
	})
	for incarnation, at := range t.lastContact {
		if inSync && now-at > silentCoreTimeout {
			silent[incarnation] = struct{}{}
		}
	}
	t.silent.Store(&silent)
}

// OriginSilent reports whether the core that published records with this origin is silent. It is safe for
// concurrent use.
func (e *Engine) OriginSilent(origin string) bool {
	silent := e.origins.silent.Load()
	if silent == nil {
		return false
	}
	_, found := (*silent)[origin]
	return found
}
