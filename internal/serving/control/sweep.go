package control

import (
	"time"

	"willowdeck/internal/serving/catalog"
)

const (
	missedHeartbeats = 3.6                     // heartbeat intervals of silence at all cores
	silentCore       = 1500 * time.Millisecond // of a core, after which what it may hear is not known
	doubtLife        = time.Minute             // that a silent worker is kept while its silence proves nothing
	doubtfulShare    = 0.5                     // of a zone's workers, above which their silence proves nothing
	edgeLife         = 90 * time.Second        // of an edge's record after its last link was lost
	coreLife         = 20 * time.Second        // of a core's record after it last spoke
)

// sweep is the leader's care: it drops workers that are gone, and edges and cores.
func (e *Engine) sweep() {
	now := e.now()
	e.workers.forgetOld(now)
	e.mirror.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		held.ExpireTombstones(now)
		return false
	})
	if !e.node.Acting() || !e.settled() {
		return
	}
	e.sweepWorkers(now)
	for _, entry := range e.mirror.EntriesOf(catalog.Edges) {
		edge := entry.Record.GetEdge()
		if !entry.Record.Deleted && !edge.GetLinked() && now-entry.ReceivedAt > edgeLife {
			e.publishDeletion(entry.Record, entry.Record.Order)
		}
	}
	for _, entry := range e.mirror.EntriesOf(catalog.Cores) {
		core := entry.Record.GetCore()
		if entry.Record.Deleted || core.GetReplica() == e.options.Identity || now-entry.ReceivedAt <= coreLife {
			continue
		}
		if heard, known := e.heardCores[core.GetAddress()]; !known || now-heard > coreLife {
			e.publishDeletion(entry.Record, entry.Record.Order)
		}
	}
}

// zoneSilence counts a zone's workers, and those that are silent.
type zoneSilence struct{ known, silent int }

// sweepWorkers drops workers that no core hears. Silence proves nothing where the core that heard a worker
// last is silent itself, or where most of a zone is silent at once: control may be what is cut off. Such
// workers stay for a while, and edges find out by themselves which of them answer (compare the panic
// threshold of Envoy's load balancing and the self-preservation of Eureka's registry, as their
// documentation has them). Once silence proves something again, a worker has as long to be heard as any
// other: the workers behind a cut that has healed are heard one after the other.
func (e *Engine) sweepWorkers(now time.Duration) {
	limit := time.Duration(missedHeartbeats * float64(e.options.HeartbeatEvery))
	zones := map[string]*zoneSilence{}
	var silent []*catalog.Entry
	for _, entry := range e.mirror.EntriesOf(catalog.Workers) {
		if entry.Record.Deleted {
			continue
		}
		zone := entry.Record.GetWorker().GetZone()
		if zones[zone] == nil {
			zones[zone] = &zoneSilence{}
		}
		zones[zone].known++
		if now-e.lastHeard(entry) > limit {
			zones[zone].silent++
			silent = append(silent, entry)
		}
	}
	for _, entry := range silent {
		worker := entry.Record.GetWorker()
		zone := zones[worker.GetZone()]
		if float64(zone.silent) > doubtfulShare*float64(zone.known) || e.heardBySilentCore(now, entry) {
			e.workers.doubtedAt[worker.GetInstanceId()] = now
		}
		silence := now - max(e.lastHeard(entry), e.workers.doubtedAt[worker.GetInstanceId()])
		if silence > limit || now-e.lastHeard(entry) > doubtLife {
			e.publishDeletion(entry.Record, entry.Record.Order)
		}
	}
}

func (e *Engine) lastHeard(entry *catalog.Entry) time.Duration {
	return max(e.workers.heard[entry.Record.GetWorker().GetInstanceId()].at, entry.ReceivedAt)
}

// heardBySilentCore reports whether the core that heard a worker last does not speak any more.
func (e *Engine) heardBySilentCore(now time.Duration, entry *catalog.Entry) bool {
	core := e.workers.heard[entry.Record.GetWorker().GetInstanceId()].core
	if core == "" {
		return false
	}
	heard, known := e.heardCores[core]
	return !known || now-heard > silentCore
}
