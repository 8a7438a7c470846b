package control

import (
	"slices"
	"strings"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// workerTable records when the last heartbeat of each worker incarnation was received, and by which core. Its
// maps have instance ids as keys.
type workerTable struct {
	contacts       map[string]workerContact // last heartbeat at any core
	inconclusiveAt map[string]time.Duration // when the silence of the worker was last inconclusive
	localContacts  map[string]time.Duration // time of the last heartbeat at this core
}

// workerContact is the last heartbeat of a worker that any core is known to have received.
type workerContact struct {
	at   time.Duration
	core string // internal address of the core that received it; "": this core
}

// newWorkerTable returns an empty table.
func newWorkerTable() workerTable {
	return workerTable{
		contacts: map[string]workerContact{}, localContacts: map[string]time.Duration{},
		inconclusiveAt: map[string]time.Duration{},
	}
}

// observe records a heartbeat that a core has received.
func (t *workerTable) observe(instance, core string, at time.Duration) {
	if known, ok := t.contacts[instance]; !ok || at >= known.at {
		t.contacts[instance] = workerContact{at: at, core: core}
	}
}

// observeLocal records a heartbeat that this core has received.
func (t *workerTable) observeLocal(instance string, at time.Duration) {
	t.observe(instance, "", at)
	t.localContacts[instance] = at
}

// recentLocalContacts returns the ages of the last heartbeats that this core has received within the given
// duration and another 100 ms, sorted by instance id.
func (t *workerTable) recentLocalContacts(now, within time.Duration) []*wirepb.HeartbeatAge {
	var recent []*wirepb.HeartbeatAge
	for instance, at := range t.localContacts {
		if age := now - at; age < within+100*time.Millisecond {
			recent = append(recent, &wirepb.HeartbeatAge{InstanceId: instance, AgeMs: uint32(age / time.Millisecond)})
		}
	}
	slices.SortFunc(
		recent,
		func(x, y *wirepb.HeartbeatAge) int { return strings.Compare(x.InstanceId, y.InstanceId) },
	)
	return recent
}

// removeOld removes the workers from which no core has received a heartbeat for workerContactRetention.
func (t *workerTable) removeOld(now time.Duration) {
	for instance, contact := range t.contacts {
		if now-contact.at > workerContactRetention {
			delete(t.contacts, instance)
			delete(t.localContacts, instance)
			delete(t.inconclusiveAt, instance)
		}
	}
}
