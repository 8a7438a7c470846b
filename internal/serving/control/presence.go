package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// coreContactRetention is how long this core stays connected to another one after its last presence message
// if no other source lists it (see Links).
const coreContactRetention = 30 * time.Second

// broadcastPresence sends the other cores a presence message: this core is alive, its catalog has this
// version vector, and it has recently received heartbeats from these workers.
func (e *Engine) broadcastPresence() {
	e.publishSelf()
	presence := &wirepb.Presence{
		Node:          e.selfRecord(),
		Vector:        e.stateView.Position().Vector,
		HeartbeatAges: e.workers.recentLocalContacts(e.now(), presenceInterval),
		Incarnation:   e.options.Incarnation,
	}
	e.broadcast(&wirepb.Envelope{Body: &wirepb.Envelope_Presence{Presence: presence}})
}

// selfRecord returns the description of this core for the catalog and for presence messages.
func (e *Engine) selfRecord() *wirepb.CoreNode {
	return &wirepb.CoreNode{
		Replica: e.options.Identity, Address: e.options.Address, Zone: e.options.Zone, Region: e.options.Region,
	}
}

// publishSelf publishes this core's own record if the catalog lacks it or has a different one.
func (e *Engine) publishSelf() {
	own := e.selfRecord()
	record := &wirepb.Record{
		Key: catalog.CoreKey(e.options.Identity), Version: 1, Value: &wirepb.Record_Core{Core: own},
	}
	if existing := e.stateView.Get(record.Key); existing != nil {
		if !existing.Record.Deleted && proto.Equal(existing.Record.GetCore(), own) {
			return
		}
		record.Version = existing.Record.Version + 1
	}
	e.publish(record)
}

// handlePresence records that another core is alive and when it received heartbeats of workers, and sends
// it the records that its version vector lacks. This anti-entropy replaces hinted handoff: a record that
// could not be delivered is sent once the receiver's vector shows that it is missing.
func (e *Engine) handlePresence(presence *wirepb.Presence) {
	now := e.now()
	address := presence.Node.GetAddress()
	e.coreContacts[address] = now
	e.origins.observe(now, presence.Incarnation)
	e.node.ObserveReplica(presence.Node.GetReplica(), now)
	for _, heartbeat := range presence.HeartbeatAges {
		e.workers.observe(heartbeat.InstanceId, address, now-time.Duration(heartbeat.AgeMs)*time.Millisecond)
	}
	var missing []*wirepb.Record
	var vector *wirepb.VersionVector
	e.stateView.WithCatalog(func(now time.Duration, records *catalog.Catalog) bool {
		missing = records.Since(now, presence.Vector)
		vector = records.Vector()
		return false
	})
	if len(missing) > 0 {
		e.environment.Send(address, catalogEnvelope(missing, vector))
	}
}
