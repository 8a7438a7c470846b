package tally

import (
	"maps"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// peer is what a replica knows of another core.
type peer struct {
	address       string
	zone          string
	incarnation   string        // "" until its first message
	previous      string        // incarnation before this one, if it was known
	followedAt    time.Duration // when this incarnation followed the previous one
	received      Vector        // what it holds
	durable       Vector        // what is on its disk
	lastContact   time.Duration
	progressAt    time.Duration // when it last made more of the own records durable
	late          bool          // it is silent, or lacks durable records that were sent to it a while ago
	lateSince     time.Duration // since when it is late
	target        Vector        // what it holds and this replica lacked at targetSince, or nil
	targetSince   time.Duration
	stateReceived bool // it has sent a state, which says all that it holds
	caughtUp      bool // what its first state named has arrived
	shuttingDown  bool
}

// peerAt returns the peer at an address, which is created where there is none.
func (r *Replica) peerAt(address string) *peer {
	p := r.peers[address]
	if p == nil {
		p = r.newPeer(address, "")
		r.peers[address] = p
	}
	return p
}

// newPeer returns a peer of which nothing is known.
func (r *Replica) newPeer(address, incarnation string) *peer {
	return &peer{
		address: address, incarnation: incarnation, received: Vector{}, durable: Vector{}, late: true,
		lateSince: r.active,
	}
}

// observe records the sender of a message. A new incarnation may have lost what the previous one held. It
// returns nil for a late message of the previous incarnation.
func (r *Replica) observe(message *wirepb.TallyMessage) *peer {
	p := r.peerAt(message.Address)
	if p.incarnation != message.Incarnation {
		if message.Incarnation == p.previous && r.active-p.followedAt < maxMessageDelay {
			return nil
		}
		previous := p.incarnation
		p = r.newPeer(message.Address, message.Incarnation)
		p.previous, p.followedAt = previous, r.active
		r.peers[message.Address] = p
	}
	p.zone = message.Zone
	p.lastContact = r.active
	p.shuttingDown = message.ShuttingDown
	return p
}

// advanceDurable records what a peer has on its disk.
func (r *Replica) advanceDurable(p *peer, durable Vector) {
	if durable[r.options.Incarnation] > p.durable[r.options.Incarnation] {
		p.progressAt = r.active
	}
	p.durable.advance(durable)
	p.received.advance(durable)
}

// isActive reports whether a peer has sent messages within the contact time-out.
func (r *Replica) isActive(p *peer) bool {
	return p.incarnation != "" && r.active-p.lastContact <= contactTimeout
}

// updateLateness records which peers are late.
func (r *Replica) updateLateness() {
	for _, p := range r.peers {
		lacking := p.durable[r.options.Incarnation] < r.overdue && r.active-p.progressAt >= confirmTimeout
		late := !r.isActive(p) || lacking
		if late && !p.late {
			p.lateSince = r.active
		}
		p.late = late
	}
}

// givenUp reports whether a peer has been late for too long. One that is heard but cannot be reached, or
// whose disk is stalled, is late as well.
func (r *Replica) givenUp(p *peer) bool { return p.late && r.active-p.lateSince >= giveUpTimeout }

// unreachable reports whether acknowledgements do not wait for the copy of a peer.
func (r *Replica) unreachable(p *peer) bool { return p.shuttingDown || r.givenUp(p) }

// updateTarget notes what this replica still has to receive of a peer's records. A target stays until it is
// reached, so that the age of a target tells a replica that lags from one that receives a steady stream.
func (r *Replica) updateTarget(p *peer) {
	held := r.set.Vector()
	if p.target != nil && held.covers(p.target) {
		p.target = nil
		p.caughtUp = p.stateReceived
	}
	if p.target == nil && !held.covers(p.received) {
		p.target = maps.Clone(p.received)
		p.targetSince = r.active
	}
	if p.target == nil && p.stateReceived {
		p.caughtUp = true
	}
}

// lags reports whether this replica has lacked records of a peer for a time.
func (r *Replica) lags(p *peer, since time.Duration) bool {
	return p.target != nil && r.active-p.targetSince >= since
}
