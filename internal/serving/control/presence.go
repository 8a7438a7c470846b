package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// coreContactRetention is how long a core is connected to after its last presence message, unless another
// source names it.
const coreContactRetention = 30 * time.Second

// broadcastPresence tells the other cores that this one is alive, what its catalog contains, and which
// workers it has recently received heartbeats from.
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

// selfRecord returns this core's own entry of the catalog.
func (e *Engine) selfRecord() *wirepb.CoreNode {
	return &wirepb.CoreNode{
		Replica: e.options.Identity, Address: e.options.Address, Zone: e.options.Zone, Region: e.options.Region,
	}
}

// publishSelf keeps this core's own record in the catalog up to date.
func (e *Engine) publishSelf() {
	own := e.selfRecord()
	record := &wirepb.Record{
		Key: catalog.CoreKey(e.options.Identity), Version: 1, Value: &wirepb.Record_Core{Core: own},
	}
	if held := e.stateView.Get(record.Key); held != nil {
		if !held.Record.Deleted && proto.Equal(held.Record.GetCore(), own) {
			return
		}
		record.Version = held.Record.Version + 1
	}
	e.publish(record)
}

// handlePresence records the contact of another core and of its workers, and sends it the records that its
// version vector lacks (anti-entropy; the vector does the work of hinted handoff).
func (e *Engine) handlePresence(presence *wirepb.Presence) {
	now := e.now()
	address := presence.Node.GetAddress()
	e.coreContacts[address] = now
	e.origins.observe(now, presence.Incarnation)
	e.node.ObserveReplica(presence.Node.GetReplica(), now)
	for _, heard := range presence.HeartbeatAges {
		e.workers.observe(heard.InstanceId, address, now-time.Duration(heard.AgeMs)*time.Millisecond)
	}
	var missing []*wirepb.Record
	var vector *wirepb.VersionVector
	e.stateView.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		missing = held.Since(now, presence.Vector)
		vector = held.Vector()
		return false
	})
	if len(missing) > 0 {
		e.environment.Send(address, catalogEnvelope(missing, vector))
	}
}
