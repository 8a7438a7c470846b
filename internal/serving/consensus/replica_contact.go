package consensus

import (
	"maps"
	"time"
)

// forgetSighting is how long a replica that says nothing is remembered.
const forgetSighting = time.Minute

// sighting is when another replica was heard, by whatever it said.
type sighting struct{ first, last time.Duration }

// sightings are by replica. Each replica keeps them, whoever leads, so that a new leader knows who has been
// silent and who is new.
type sightings map[string]sighting

func (s sightings) note(id string, now time.Duration) {
	known, ok := s[id]
	if !ok {
		maps.DeleteFunc(s, func(_ string, old sighting) bool { return now-old.last > forgetSighting })
		known.first = now
	}
	known.last = now
	s[id] = known
}

// Sighted notes that another replica lives, by something that was no message of the consensus.
func (n *Node) Sighted(replica string, now time.Duration) { n.seen.note(replica, now) }

// lastSeen returns when a replica was heard last. One that this life has not heard has been silent since that
// began, for all that this life can know.
func (n *Node) lastSeen(id string) time.Duration {
	if known, ok := n.seen[id]; ok {
		return known.last
	}
	n.seen[id] = sighting{first: n.now, last: n.born}
	return n.born
}

func (n *Node) firstSeen(id string) time.Duration {
	if known, ok := n.seen[id]; ok {
		return known.first
	}
	return n.now
}
