package control

import (
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// handleCatalog merges records of another core. Records of workers with a committed departure are corrected.
func (e *Engine) handleCatalog(batch *wirepb.CatalogBatch) {
	var changed []*catalog.Entry
	e.stateView.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		changed = held.Merge(now, batch.Records, batch.Vector)
		return len(changed) > 0
	})
	for _, entry := range changed {
		if departure := e.machine.Departure(entry.Record.GetWorker().GetInstanceId()); departure != nil {
			e.applyDeparture(departure)
		}
	}
}

// publish writes a record of this core to the catalog and sends it to the other cores. It returns false if
// the catalog has a newer one.
func (e *Engine) publish(record *wirepb.Record) bool {
	var published *wirepb.Record
	e.stateView.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		published = held.Publish(now, record)
		return published != nil
	})
	if published == nil {
		return false
	}
	e.broadcast(catalogEnvelope([]*wirepb.Record{published}, nil))
	return true
}

// catalogEnvelope returns a message with records, and the sender's version vector if the records are
// complete.
func catalogEnvelope(records []*wirepb.Record, vector *wirepb.VersionVector) *wirepb.Envelope {
	batch := &wirepb.CatalogBatch{Records: records, Vector: vector}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Catalog{Catalog: batch}}
}

// publishDeletion publishes the deletion of a record.
func (e *Engine) publishDeletion(record *wirepb.Record, order uint64) {
	e.publish(&wirepb.Record{Key: record.Key, Version: order, Deleted: true, Value: record.Value})
}
