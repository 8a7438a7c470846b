package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

const forgetCore = 30 * time.Second // after it last spoke, unless something else names it

// Links returns the internal addresses of the cores to speak to, in order: those that have a seat or wait for
// one, those that the settings name, those that the catalog knows, and those that have spoken lately.
func (e *Engine) Links() []string {
	wanted := map[string]bool{}
	for _, replica := range e.node.Peers() {
		wanted[e.options.AddressOf(consensus.Address(replica))] = true
	}
	for _, host := range e.options.Seeds {
		wanted[e.options.AddressOf(host)] = true
	}
	for _, entry := range e.mirror.EntriesOf(catalog.Cores) {
		if !entry.Record.Deleted {
			wanted[entry.Record.GetCore().GetAddress()] = true
		}
	}
	for address, heard := range e.heardCores {
		if e.now()-heard < forgetCore {
			wanted[address] = true
		} else {
			delete(e.heardCores, address)
		}
	}
	delete(wanted, e.options.Address)
	delete(wanted, "")
	addresses := make([]string, 0, len(wanted))
	for address := range wanted {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (e *Engine) broadcast(envelope *wirepb.Envelope) {
	for _, address := range e.Links() {
		e.environment.Send(address, envelope)
	}
}

func (e *Engine) takeCatalog(batch *wirepb.CatalogBatch) {
	var changed []*catalog.Entry
	e.mirror.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		changed = held.Merge(now, batch.Records, batch.Vector)
		return len(changed) > 0
	})
	for _, entry := range changed {
		if departure := e.machine.Departure(entry.Record.GetWorker().GetInstanceId()); departure != nil {
			e.applyDeparture(departure)
		}
	}
}

// publish writes a record and hands it to the other cores.
func (e *Engine) publish(record *wirepb.Record) bool {
	var published *wirepb.Record
	e.mirror.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		published = held.Publish(now, record)
		return published != nil
	})
	if published == nil {
		return false
	}
	e.broadcast(catalogEnvelope([]*wirepb.Record{published}, nil))
	return true
}

func catalogEnvelope(records []*wirepb.Record, vector *wirepb.VersionVector) *wirepb.Envelope {
	batch := &wirepb.CatalogBatch{Records: records, Vector: vector}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Catalog{Catalog: batch}}
}

// tellPresence tells the other cores that this one lives, what it holds, and which workers it hears.
func (e *Engine) tellPresence() {
	e.tellSelf()
	presence := &wirepb.Presence{
		Node:   e.selfRecord(),
		Vector: e.mirror.Position().Vector,
		Heard:  e.workers.heardLately(e.now(), presenceInterval),
		Life:   e.options.Life,
	}
	e.broadcast(&wirepb.Envelope{Body: &wirepb.Envelope_Presence{Presence: presence}})
}

func (e *Engine) selfRecord() *wirepb.CoreNode {
	return &wirepb.CoreNode{
		Replica: e.options.Identity, Address: e.options.Address, Zone: e.options.Zone, Region: e.options.Region,
	}
}

// tellSelf keeps this core's own record in the catalog.
func (e *Engine) tellSelf() {
	own := e.selfRecord()
	record := &wirepb.Record{
		Key: catalog.CoreKey(e.options.Identity), Order: 1, Value: &wirepb.Record_Core{Core: own},
	}
	if held := e.mirror.Get(record.Key); held != nil {
		if !held.Record.Deleted && proto.Equal(held.Record.GetCore(), own) {
			return
		}
		record.Order = held.Record.Order + 1
	}
	e.publish(record)
}

// takePresence hands over what the other core lacks (the repair that hinted handoff stands for: the hint is
// the vector), and notes which workers it hears.
func (e *Engine) takePresence(presence *wirepb.Presence) {
	now := e.now()
	address := presence.Node.GetAddress()
	e.heardCores[address] = now
	e.writers.heard(now, presence.Life)
	e.node.Sighted(presence.Node.GetReplica(), now)
	for _, heard := range presence.Heard {
		e.workers.hear(heard.InstanceId, address, now-time.Duration(heard.AgeMs)*time.Millisecond)
	}
	var missing []*wirepb.Record
	var vector *wirepb.VersionVector
	e.mirror.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		missing = held.Since(now, presence.Vector)
		vector = held.Vector()
		return false
	})
	if len(missing) > 0 {
		e.environment.Send(address, catalogEnvelope(missing, vector))
	}
}
