package control

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// saveWorkersInterval is the shortest time between two writes of the list of workers.
const saveWorkersInterval = time.Second

// savedWorkersState is the state of saving the list of known workers on disk. After a power loss, a core
// sends the saved list to edges before the workers have sent heartbeats again. The list may be old or lost:
// heartbeats and the replicated log correct it.
type savedWorkersState struct {
	sequence uint64        // sum of the sequences in the version vector of the list that was saved last
	nextAt   time.Duration // earliest time of the next write
	writing  bool
}

// restoreWorkers adds the list that an earlier incarnation has saved to the catalog, with this incarnation
// as the origin of its records, so that receivers can attribute them. It leaves out workers whose final
// departure is committed, and workers with any departure in the uncommitted part of this replica's log.
func (e *Engine) restoreWorkers(data []byte) {
	var batch wirepb.CatalogBatch
	if err := proto.Unmarshal(data, &batch); err != nil {
		e.logger.Warn("saved workers ignored: the file is corrupt", zap.Error(err))
		return
	}
	uncommitted := e.uncommittedDepartures()
	e.stateView.WithCatalog(func(now time.Duration, records *catalog.Catalog) bool {
		for _, record := range batch.Records {
			if uncommitted[record.GetWorker().GetInstanceId()] || e.applySavedDeparture(record) {
				continue
			}
			records.Publish(now, record)
		}
		return len(batch.Records) > 0
	})
}

// uncommittedDepartures returns the workers whose departure is in the log after the commit index that this
// replica knows: an earlier leader may have committed and acknowledged it.
func (e *Engine) uncommittedDepartures() map[string]bool {
	departures := map[string]bool{}
	for _, entry := range e.node.UncommittedEntries() {
		var command wirepb.Command
		if entry.Kind != wirepb.EntryKind_ENTRY_COMMAND || proto.Unmarshal(entry.Data, &command) != nil {
			continue
		}
		if departure := command.GetDeparture(); departure != nil {
			departures[departure.InstanceId] = true
		}
	}
	return departures
}

// applySavedDeparture marks a saved record as draining if the worker's departure is committed and the
// record is not newer. It returns true if the worker has deregistered.
func (e *Engine) applySavedDeparture(record *wirepb.Record) bool {
	departure := e.machine.Departure(record.GetWorker().GetInstanceId())
	if departure != nil && !record.Deleted && record.Version <= departure.Version {
		record.GetWorker().Draining = true
	}
	return departure.GetFinal()
}

// saveWorkers saves the list of known workers if the catalog has changed since the last time, at most once
// per saveWorkersInterval.
func (e *Engine) saveWorkers() {
	if e.savedWorkers.writing || e.now() < e.savedWorkers.nextAt {
		return
	}
	sum := uint64(0)
	for _, sequence := range e.stateView.Position().Vector.GetSequences() {
		sum += sequence
	}
	if sum == e.savedWorkers.sequence {
		return
	}
	var batch wirepb.CatalogBatch
	e.stateView.WithCatalog(func(now time.Duration, records *catalog.Catalog) bool {
		for _, record := range records.Since(now, &wirepb.VersionVector{}) {
			if record.GetWorker() != nil {
				batch.Records = append(batch.Records, record)
			}
		}
		return false
	})
	data, err := proto.Marshal(&batch)
	if err != nil {
		e.logger.Error("cannot save the workers", zap.Error(err))
		return
	}
	e.savedWorkers.sequence = sum
	e.savedWorkers.nextAt = e.now() + saveWorkersInterval
	e.savedWorkers.writing = true
	e.environment.SaveWorkers(data, func() { e.savedWorkers.writing = false })
}
