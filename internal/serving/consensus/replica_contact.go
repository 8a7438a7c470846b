package consensus

import (
	"maps"
	"time"
)

// replicaContactRetention is how long the contact of a silent replica is remembered.
const replicaContactRetention = time.Minute

// replicaContact is when the first and the last message of another replica arrived, of whatever kind.
type replicaContact struct{ first, last time.Duration }

// replicaContacts are by replica identity. Followers record them as well, so that a new leader knows which
// replicas have been silent and which are new.
type replicaContacts map[string]replicaContact

// observe records a message, and removes contacts that are too old when a new replica appears.
func (s replicaContacts) observe(id string, now time.Duration) {
	known, ok := s[id]
	if !ok {
		maps.DeleteFunc(s, func(_ string, old replicaContact) bool {
			return now-old.last > replicaContactRetention
		})
		known.first = now
	}
	known.last = now
	s[id] = known
}

// ObserveReplica records that another replica is alive, on the evidence of a message that is not one of this
// package.
func (n *Node) ObserveReplica(replica string, now time.Duration) {
	n.replicaContacts.observe(replica, now)
}

// lastContact returns when the last message of a replica arrived. One that has sent nothing to this
// incarnation counts as silent since this incarnation began.
func (n *Node) lastContact(id string) time.Duration {
	if known, ok := n.replicaContacts[id]; ok {
		return known.last
	}
	n.replicaContacts[id] = replicaContact{first: n.now, last: n.startedAt}
	return n.startedAt
}

// firstContact returns when the first message of a replica arrived.
func (n *Node) firstContact(id string) time.Duration {
	if known, ok := n.replicaContacts[id]; ok {
		return known.first
	}
	return n.now
}
