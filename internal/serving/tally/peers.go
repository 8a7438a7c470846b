package tally

import (
	"maps"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// peer is the state of another core as this replica knows it.
type peer struct {
	address       string
	zone          string
	incarnation   string        // "" until its first message
	previous      string        // incarnation before the current one; "" if it is unknown
	firstContact  time.Duration // when the first message of the current incarnation arrived
	received      Vector        // records that it holds, as far as known
	durable       Vector        // records on its disk, as far as known
	lastContact   time.Duration // when its last message arrived
	progressAt    time.Duration // when it last reported more of this replica's own records as durable
	late          bool          // it sends no messages, or has not made records durable in time
	lateSince     time.Duration // when it became late
	target        Vector        // what it held at targetSince, if this replica lacked some of that; nil if not
	targetSince   time.Duration
	stateReceived bool // it has sent a state message, which lists everything that it holds
	caughtUp      bool // this replica has received everything that its first state message listed
	shuttingDown  bool
}

// peerAt returns the peer at an address, and creates it if there is none.
func (r *Replica) peerAt(address string) *peer {
	p := r.peers[address]
	if p == nil {
		p = r.newPeer(address, "")
		r.peers[address] = p
	}
	return p
}

// newPeer returns a peer without known records, which is late until updateLateness finds that it is not.
func (r *Replica) newPeer(address, incarnation string) *peer {
	return &peer{
		address: address, incarnation: incarnation, received: Vector{}, durable: Vector{}, late: true,
		lateSince: r.active,
	}
}

// observe records the arrival of a message and returns the peer that sent it. A new incarnation of a peer
// starts without known records, since it may have lost those of the previous one. observe returns nil for a
// delayed message from the previous incarnation.
func (r *Replica) observe(message *wirepb.TallyMessage) *peer {
	p := r.peerAt(message.Address)
	if p.incarnation != message.Incarnation {
		if message.Incarnation == p.previous && r.active-p.firstContact < maxMessageDelay {
			return nil
		}
		previous := p.incarnation
		p = r.newPeer(message.Address, message.Incarnation)
		p.previous, p.firstContact = previous, r.active
		r.peers[message.Address] = p
	}
	p.zone = message.Zone
	p.lastContact = r.active
	p.shuttingDown = message.ShuttingDown
	return p
}

// advanceDurable records which records a peer has reported to be on its disk.
func (r *Replica) advanceDurable(p *peer, durable Vector) {
	if durable[r.options.Incarnation] > p.durable[r.options.Incarnation] {
		p.progressAt = r.active
	}
	p.durable.advance(durable)
	p.received.advance(durable)
}

// isActive reports whether a message from a peer has arrived within contactTimeout.
func (r *Replica) isActive(p *peer) bool {
	return p.incarnation != "" && r.active-p.lastContact <= contactTimeout
}

// updateLateness determines which peers are late.
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

// givenUp reports whether a peer has been late for giveUpTimeout. A peer is also late if its messages
// arrive but messages to it are lost, or if its disk is stalled.
func (r *Replica) givenUp(p *peer) bool { return p.late && r.active-p.lateSince >= giveUpTimeout }

// unreachable reports whether acknowledgements do not wait for a peer, because it is shutting down or has
// been given up.
func (r *Replica) unreachable(p *peer) bool { return p.shuttingDown || r.givenUp(p) }

// updateTarget determines which records of a peer this replica still has to receive. A target is kept
// until it is reached, so that its age distinguishes a replica that lags from one that receives a steady
// stream of new records.
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

// lags reports whether this replica has lacked records of a peer for at least a given time.
func (r *Replica) lags(p *peer, duration time.Duration) bool {
	return p.target != nil && r.active-p.targetSince >= duration
}
