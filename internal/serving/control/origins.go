package control

import (
	"maps"
	"sync/atomic"
	"time"
)

// originTable records when each incarnation of a core last sent a presence message. The records of a silent
// core may be out of date: no other core corrects its records of the edges that were linked to it.
type originTable struct {
	own         string                   // this core's incarnation
	lastContact map[string]time.Duration // by incarnation, which is the origin of the core's records
	inSync      bool                     // this core was in sync when the origins were judged last
	inSyncSince time.Duration            // valid if inSync is set

	isSilent atomic.Pointer[func(origin string) bool] // nil: the origins were not judged yet
}

// newOriginTable returns an empty table of the core with that incarnation.
func newOriginTable(own string) originTable {
	return originTable{own: own, lastContact: map[string]time.Duration{}}
}

// observe records that a presence message of an incarnation has arrived.
func (t *originTable) observe(now time.Duration, incarnation string) {
	if incarnation != "" {
		t.lastContact[incarnation] = now
	}
}

// publish judges which origins are silent, for OriginSilent: those without a recent presence message. One
// that this core has never heard, or not for long, is silent only once this core has been in sync for as
// long as a core may take to be heard. If this core is not in sync, no origin is silent: it may be
// partitioned itself.
func (t *originTable) publish(now time.Duration, inSync bool) {
	if inSync && !t.inSync {
		t.inSyncSince = now
	}
	t.inSync = inSync
	maps.DeleteFunc(t.lastContact, func(_ string, at time.Duration) bool {
		return now-at > unlinkedEdgeRetention
	})
	recent := map[string]bool{t.own: true}
	for incarnation, at := range t.lastContact {
		recent[incarnation] = now-at <= silentCoreTimeout
	}
	unknownSilent := inSync && now-t.inSyncSince > silentCoreTimeout
	isSilent := func(origin string) bool {
		heard, known := recent[origin]
		return inSync && !heard && (known || unknownSilent)
	}
	t.isSilent.Store(&isSilent)
}

// OriginSilent reports whether the core that published records with this origin is silent. It is safe for
// concurrent use.
func (e *Engine) OriginSilent(origin string) bool {
	isSilent := e.origins.isSilent.Load()
	return isSilent != nil && (*isSilent)(origin)
}
