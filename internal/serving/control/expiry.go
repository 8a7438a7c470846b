package control

import (
	"time"

	"willowdeck/internal/serving/catalog"
)

const (
	missedHeartbeats      = 3.6                     // heartbeat intervals without a heartbeat at any core
	silentCoreTimeout     = 1500 * time.Millisecond // without a presence message, until a core counts as silent
	inconclusiveRetention = time.Minute             // of a silent worker while its silence is inconclusive
	inconclusiveFraction  = 0.5                     // of a zone; more silent workers are inconclusive
	unlinkedEdgeRetention = 90 * time.Second        // of an edge's record after its last link was lost
	silentCoreRetention   = 20 * time.Second        // of a core's record after its last presence message
)

// expireRecords removes contacts that are too old. The leader also deletes the records of workers, edges and
// cores that are gone.
func (e *Engine) expireRecords() {
	now := e.now()
	e.workers.removeOld(now)
	e.stateView.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		held.ExpireTombstones(now)
		return false
	})
	if !e.node.IsEstablishedLeader() || !e.stabilized() {
		return
	}
	e.expireWorkers(now)
	for _, entry := range e.stateView.EntriesOf(catalog.Edges) {
		edge := entry.Record.GetEdge()
		if !entry.Record.Deleted && !edge.GetLinked() && now-entry.ReceivedAt > unlinkedEdgeRetention {
			e.publishDeletion(entry.Record, entry.Record.Version)
		}
	}
	for _, entry := range e.stateView.EntriesOf(catalog.Cores) {
		core := entry.Record.GetCore()
		if entry.Record.Deleted || core.GetReplica() == e.options.Identity ||
			now-entry.ReceivedAt <= silentCoreRetention {
			continue
		}
		lastContact, known := e.coreContacts[core.GetAddress()]
		if !known || now-lastContact > silentCoreRetention {
			e.publishDeletion(entry.Record, entry.Record.Version)
		}
	}
}

// zoneCounts counts a zone's workers, and those of them that are silent.
type zoneCounts struct{ workers, silent int }

// expireWorkers deletes workers whose heartbeats reach no core. Silence is inconclusive if the core that
// received a worker's last heartbeat is silent itself, or if most of a zone is silent at once: the control
// side may be what is partitioned. Such workers are kept for inconclusiveRetention, and edges find out by
// themselves which of them respond (compare the panic threshold of Envoy's load balancing and the
// self-preservation of Eureka's registry, as their documentation has them). Once silence is conclusive again,
// a worker has the full time-out from then on, since heartbeats from behind a healed partition arrive one
// after the other.
func (e *Engine) expireWorkers(now time.Duration) {
	limit := time.Duration(missedHeartbeats * float64(e.options.WorkerHeartbeatInterval))
	zones := map[string]*zoneCounts{}
	var silent []*catalog.Entry
	for _, entry := range e.stateView.EntriesOf(catalog.Workers) {
		if entry.Record.Deleted {
			continue
		}
		zone := entry.Record.GetWorker().GetZone()
		if zones[zone] == nil {
			zones[zone] = &zoneCounts{}
		}
		zones[zone].workers++
		if now-e.lastWorkerContact(entry) > limit {
			zones[zone].silent++
			silent = append(silent, entry)
		}
	}
	for _, entry := range silent {
		worker := entry.Record.GetWorker()
		zone := zones[worker.GetZone()]
		if float64(zone.silent) > inconclusiveFraction*float64(zone.workers) || e.lastSeenBySilentCore(now, entry) {
			e.workers.inconclusiveAt[worker.GetInstanceId()] = now
		}
		silence := now - max(e.lastWorkerContact(entry), e.workers.inconclusiveAt[worker.GetInstanceId()])
		if silence > limit || now-e.lastWorkerContact(entry) > inconclusiveRetention {
			e.publishDeletion(entry.Record, entry.Record.Version)
		}
	}
}

// lastWorkerContact returns when a worker's last heartbeat came to any core, or its record was merged.
func (e *Engine) lastWorkerContact(entry *catalog.Entry) time.Duration {
	return max(e.workers.contacts[entry.Record.GetWorker().GetInstanceId()].at, entry.ReceivedAt)
}

// lastSeenBySilentCore reports whether the core that received a worker's last heartbeat is silent.
func (e *Engine) lastSeenBySilentCore(now time.Duration, entry *catalog.Entry) bool {
	core := e.workers.contacts[entry.Record.GetWorker().GetInstanceId()].core
	if core == "" {
		return false
	}
	lastContact, known := e.coreContacts[core]
	return !known || now-lastContact > silentCoreTimeout
}
