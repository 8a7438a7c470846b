package control

import (
	"time"

	"willowdeck/internal/serving/catalog"
)

const (
	// missedHeartbeats is the number of heartbeat intervals after which a worker is silent if no core has
	// received a heartbeat from it.
	missedHeartbeats = 3.6

	// silentCoreTimeout is the time without a presence message after which a core is silent.
	silentCoreTimeout = 1500 * time.Millisecond

	// inconclusiveRetention is how long a silent worker is kept after its last heartbeat while its silence is
	// inconclusive.
	inconclusiveRetention = time.Minute

	// inconclusiveFraction is the fraction of a zone's workers above which their silence is inconclusive.
	inconclusiveFraction = 0.5

	// unlinkedEdgeRetention is how long the record of an edge is kept after its last link was lost.
	unlinkedEdgeRetention = 90 * time.Second

	// silentCoreRetention is how long the record of a core is kept after its last presence message.
	silentCoreRetention = 20 * time.Second
)

// expireRecords removes old heartbeats of workers from memory, and expired tombstones. A leader that has run
// without a stall for stabilizationTime also deletes the records of workers, edges and cores that are gone.
func (e *Engine) expireRecords() {
	now := e.now()
	e.workers.removeOld(now)
	e.stateView.WithCatalog(func(now time.Duration, records *catalog.Catalog) bool {
		records.ExpireTombstones(now)
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

// zoneCounts holds the number of a zone's workers, and of those of them that are silent.
type zoneCounts struct{ workers, silent int }

// expireWorkers deletes silent workers: those from which no core has received a heartbeat within the
// time-out of missedHeartbeats intervals. Silence is inconclusive if the core that received a worker's last
// heartbeat is silent itself, or if more than inconclusiveFraction of a zone's workers are silent at once:
// the cores may be partitioned from workers that are alive. Such workers are kept until
// inconclusiveRetention has passed since their last heartbeat, and edges detect by themselves which of them
// respond (similar to the documented panic threshold of Envoy's load balancing and the self-preservation
// mode of Eureka's registry). When the silence is no longer inconclusive, the time-out of a worker starts
// anew, since after a partition has healed the heartbeats of its workers arrive one after the other.
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

// lastWorkerContact returns when any core received a worker's last heartbeat, or when the worker's record was
// merged, whichever is later.
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
