package consensus

import (
	"maps"
	"time"
)

// forgetSighting is how long a replica that says nothing is remembered.
const replicaContactRetention = time.Minute

// sighting is when another replica was heard, by whatever it said.
type replicaContact struct{ first, last time.Duration }

// sightings are by replica. Each replica keeps them, whoever leads, so that a new leader knows who has been
// silent and who is new.
type replicaContacts map[string]replicaContact

func (s replicaContacts) observe(id string, now time.Duration) {
	known, ok := s[id]
	if !ok {
		maps.DeleteFunc(s, func(_ string, old replicaContact) bool { return now-old.last > replicaContactRetention })
		known.first = now
	}
	known.last = now
	s[id] = known
}

// Sighted notes that another replica lives, by something that was no message of the consensus.
func (n *Node) ObserveReplica(replica string, now time.Duration) {
	n.replicaContacts.observe(replica, now)
}

// lastSeen returns when a replica was heard last. One that this life has not heard has been silent since that
// began, for all that this life can know.
func (n *Node) lastContact(id string) time.Duration {
	if known, ok := n.replicaContacts[id]; ok {
		return known.last
	}
	n.replicaContacts[id] = replicaContact{first: n.now, last: n.startedAt}
	return n.startedAt
}

func (n *Node) firstContact(id string) time.Duration {
	if known, ok := n.replicaContacts[id]; ok {
		return known.first
	}
	return n.now
}
