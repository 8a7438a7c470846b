package consensus

import (
	"maps"
	"time"
)

// replicaContactRetention is the minimum time for which the contact of a silent replica is kept.
const replicaContactRetention = time.Minute

// replicaContact holds the times at which the first and the last message of another replica arrived. Messages
// of all kinds count.
type replicaContact struct{ first, last time.Duration }

// replicaContacts holds the contact of each other replica, by identity. Followers record contacts as well, so
// that a new leader knows which replicas have been silent and which are new.
type replicaContacts map[string]replicaContact

// observe records a message. The first message of a replica also removes the contacts that are older than
// replicaContactRetention.
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

// ObserveReplica records that another replica is alive. The caller calls it for messages that it does not
// pass to Step.
func (n *Node) ObserveReplica(replica string, now time.Duration) {
	n.replicaContacts.observe(replica, now)
}

// lastContact returns when the last message of a replica arrived. A replica that has sent nothing to this
// incarnation counts as silent since this incarnation began.
func (n *Node) lastContact(id string) time.Duration {
	if known, ok := n.replicaContacts[id]; ok {
		return known.last
	}
	n.replicaContacts[id] = replicaContact{first: n.now, last: n.startedAt}
	return n.startedAt
}

// firstContact returns when the first message of a replica arrived, or the current time if none has arrived.
func (n *Node) firstContact(id string) time.Duration {
	if known, ok := n.replicaContacts[id]; ok {
		return known.first
	}
	return n.now
}
