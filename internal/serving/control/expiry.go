package control

import (
	"time"

	"willowdeck/internal/serving/catalog"
)

const (
	missedHeartbeats = 3.6                     // heartbeat intervals of silence at all cores
	silentCoreTimeout       = 1500 * time.Millisecond // of a core, after which what it may hear is not known
	inconclusiveRetention        = time.Minute             // that a silent worker is kept while its silence proves nothing
	inconclusiveFraction    = 0.5                     // of a zone's workers, above which their silence proves nothing
	unlinkedEdgeRetention         = 90 * time.Second        // of an edge's record after its last link was lost
	silentCoreRetention         = 20 * time.Second        // of a core's record after it last spoke
)

// sweep is the leader's care: it drops workers that are gone, and edges and cores.
func (e *Engine) expireRecords() {
	now := e.now()
	e.workers.removeOld(now)
	e.mirror.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		held.Expire(now)
		return false
	})
	if !e.node.IsEstablishedLeader() || !e.settled() {
		return
	}
	e.expireWorkers(now)
	for _, entry := range e.mirror.Of(catalog.Edges) {
		edge := entry.Record.GetEdge()
		if !entry.Record.Deleted && !edge.GetLinked() && now-entry.Merged > unlinkedEdgeRetention {
			e.publishDeletion(entry.Record, entry.Record.Order)
		}
	}
	for _, entry := range e.mirror.Of(catalog.Cores) {
		core := entry.Record.GetCore()
		if entry.Record.Deleted || core.GetReplica() == e.options.Identity || now-entry.Merged <= silentCoreRetention {
			continue
		}
		if lastContact, known := e.coreContacts[core.GetAddress()]; !known || now-lastContact > silentCoreRetention {
			e.publishDeletion(entry.Record, entry.Record.Order)
		}
	}
}

// zoneSilence counts a zone's workers, and those that are silent.
type zoneCounts struct{ workers, silent int }

// sweepWorkers drops workers that no core hears. Silence proves nothing where the core that heard a worker
// last is silent itself, or where most of a zone is silent at once: control may be what is cut off. Such
// workers stay for a while, and edges find out by themselves which of them answer (compare the panic
// threshold of Envoy's load balancing and the self-preservation of Eureka's registry, as their
// documentation has them). Once silence proves something again, a worker has as long to be heard as any
// other: the workers behind a cut that has healed are heard one after the other.
func (e *Engine) expireWorkers(now time.Duration) {
	limit := time.Duration(missedHeartbeats * float64(e.options.WorkerHeartbeatInterval))
	zones := map[string]*zoneCounts{}
	var silent []*catalog.Entry
	for _, entry := range e.mirror.Of(catalog.Workers) {
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
			e.publishDeletion(entry.Record, entry.Record.Order)
		}
	}
}

func (e *Engine) lastWorkerContact(entry *catalog.Entry) time.Duration {
	return max(e.workers.contacts[entry.Record.GetWorker().GetInstanceId()].at, entry.Merged)
}

// heardBySilentCore reports whether the core that heard a worker last does not speak any more.
func (e *Engine) lastSeenBySilentCore(now time.Duration, entry *catalog.Entry) bool {
	core := e.workers.contacts[entry.Record.GetWorker().GetInstanceId()].core
	if core == "" {
		return false
	}
	lastContact, known := e.coreContacts[core]
	return !known || now-lastContact > silentCoreTimeout
}
