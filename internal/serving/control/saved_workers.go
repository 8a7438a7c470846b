package control

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

const saveWorkersInterval = time.Second

// savedWorkers keeps the known workers on disk, so that a core that has lost power can tell the edges of
// them before they have sent a heartbeat again. Nothing depends on it: a list that is old, or lost, is made
// good by heartbeats and by the log.
type savedWorkersState struct {
	sequence uint64 // of the catalog's state that was saved last
	nextAt     time.Duration
	writing     bool
}

// loadSavedWorkers takes over the list that an earlier life has saved, as writes of this life: those who
// are told of them need to know their writer. Workers are left out whose leaving this replica's log holds,
// whether it is known to be committed or not.
func (e *Engine) restoreWorkers(data []byte) {
	var batch wirepb.CatalogBatch
	if err := proto.Unmarshal(data, &batch); err != nil {
		e.logger.Warn("saved workers left alone: the file is damaged", zap.Error(err))
		return
	}
	uncommitted := e.uncommittedDepartures()
	e.mirror.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		for _, record := range batch.Records {
			if uncommitted[record.GetWorker().GetInstanceId()] || e.applySavedDeparture(record) {
				continue
			}
			held.Publish(now, record)
		}
		return len(batch.Records) > 0
	})
}

// unconfirmedDepartures returns the workers whose leaving stands in the log behind what is known to be
// committed: it may have been acknowledged.
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

// departed reports whether a saved record is of a worker that has deregistered, and marks those that are
// leaving.
func (e *Engine) applySavedDeparture(record *wirepb.Record) bool {
	departure := e.machine.Departure(record.GetWorker().GetInstanceId())
	if departure != nil && !record.Deleted && record.Order <= departure.Order {
		record.GetWorker().Draining = true
	}
	return departure.GetFinal()
}

// saveWorkers writes the list where it has changed.
func (e *Engine) saveWorkers() {
	if e.savedWorkers.writing || e.now() < e.savedWorkers.nextAt {
		return
	}
	sum := uint64(0)
	for _, sequence := range e.mirror.Position().Vector.GetSequences() {
		sum += sequence
	}
	if sum == e.savedWorkers.sequence {
		return
	}
	var batch wirepb.CatalogBatch
	e.mirror.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
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
