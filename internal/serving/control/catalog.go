package control

import (
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// handleCatalog merges catalog records that another core has sent. A changed record of a worker whose
// departure is committed is updated to match the departure.
func (e *Engine) handleCatalog(batch *wirepb.CatalogBatch) {
	var changed []*catalog.Entry
	e.stateView.WithCatalog(func(now time.Duration, records *catalog.Catalog) bool {
		changed = records.Merge(now, batch.Records, batch.Vector)
		return len(changed) > 0
	})
	for _, entry := range changed {
		if departure := e.machine.Departure(entry.Record.GetWorker().GetInstanceId()); departure != nil {
			e.applyDeparture(departure)
		}
	}
}

// publish writes a record to the catalog, with this core's incarnation as its origin, and sends it to the
// other cores. It returns false if the catalog already has a version of the record that is at least as new.
func (e *Engine) publish(record *wirepb.Record) bool {
	var published *wirepb.Record
	e.stateView.WithCatalog(func(now time.Duration, records *catalog.Catalog) bool {
		published = records.Publish(now, record)
		return published != nil
	})
	if published == nil {
		return false
	}
	e.broadcast(catalogEnvelope([]*wirepb.Record{published}, nil))
	return true
}

// catalogEnvelope returns a message with catalog records. vector is the sender's version vector, or nil if
// the receiver may lack other records too.
func catalogEnvelope(records []*wirepb.Record, vector *wirepb.VersionVector) *wirepb.Envelope {
	batch := &wirepb.CatalogBatch{Records: records, Vector: vector}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Catalog{Catalog: batch}}
}

// publishDeletion publishes a tombstone, with the given version, for a record.
func (e *Engine) publishDeletion(record *wirepb.Record, version uint64) {
	e.publish(&wirepb.Record{Key: record.Key, Version: version, Deleted: true, Value: record.Value})
}
