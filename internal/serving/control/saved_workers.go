package control

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

const saveWorkersInterval = time.Second

// savedWorkersState keeps the known workers on disk, so that after a power loss a core can send edges the
// list before the workers have sent a heartbeat again. Nothing depends on it: a list that is old or lost is
// corrected by heartbeats and by the log.
type savedWorkersState struct {
	sequence uint64 // sum of the version vector that was saved last
	nextAt   time.Duration
	writing  bool
}

// restoreWorkers publishes the list that an earlier incarnation has saved, as records of this incarnation, so
// that receivers can attribute them. Workers are left out whose departure is in this replica's log, committed
// or not.
func (e *Engine) restoreWorkers(data []byte) {
	var batch wirepb.CatalogBatch
	if err := proto.Unmarshal(data, &batch); err != nil {
		e.logger.Warn("saved workers ignored: the file is damaged", zap.Error(err))
		return
	}
	uncommitted := e.uncommittedDepartures()
	e.stateView.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		for _, record := range batch.Records {
			if uncommitted[record.GetWorker().GetInstanceId()] || e.applySavedDeparture(record) {
				continue
			}
			held.Publish(now, record)
		}
		return len(batch.Records) > 0
	})
}

// uncommittedDepartures returns the workers whose departure is in the log after the commit index: it may have
// been acknowledged by an earlier leader.
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

// applySavedDeparture marks a saved record as draining if the worker's departure is committed. It returns
// true if the worker has deregistered.
func (e *Engine) applySavedDeparture(record *wirepb.Record) bool {
	departure := e.machine.Departure(record.GetWorker().GetInstanceId())
	if departure != nil && !record.Deleted && record.Version <= departure.Version {
		record.GetWorker().Draining = true
	}
	return departure.GetFinal()
}

// saveWorkers saves the list if it has changed.
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
	e.stateView.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		for _, record := range held.Since(now, &wirepb.VersionVector{}) {
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
