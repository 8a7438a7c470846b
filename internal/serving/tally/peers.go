package tally

import (
	"maps"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// peer is what a replica knows of another core.
type peer struct {
	address      string
	zone         string
	incarnation  string // "" until its first message
	received     Vector // what it holds
	durable      Vector // what is on its disk
	lastHeard    time.Duration
	target       Vector // what it holds and this replica lacked at targetSince; nil where nothing is lacking
	targetSince  time.Duration
	shuttingDown bool
}

// peerAt returns the peer at an address, which is created where there is none.
func (r *Replica) peerAt(address string) *peer {
	p := r.peers[address]
	if p == nil {
		p = &peer{address: address, received: Vector{}, durable: Vector{}}
		r.peers[address] = p
	}
	return p
}

// observe records the sender of a message. A new incarnation may have lost what the previous one held.
func (r *Replica) observe(message *wirepb.TallyMessage) *peer {
	p := r.peerAt(message.Address)
	if p.incarnation != message.Incarnation {
		*p = peer{address: message.Address, incarnation: message.Incarnation, received: Vector{}, durable: Vector{}}
	}
	p.zone = message.Zone
	p.lastHeard = r.active
	p.shuttingDown = message.ShuttingDown
	return p
}

// heardRecently reports whether a peer has sent messages within the silence time-out.
func (r *Replica) heardRecently(p *peer) bool {
	return p.incarnation != "" && r.active-p.lastHeard <= silenceTimeout
}

// responsive reports whether acknowledgements wait for the copy of a peer: it is heard, stays, and has made
// durable what was sent to it a while ago. A peer that is heard but cannot be reached, or whose disk is
// stalled, is not responsive.
func (r *Replica) responsive(p *peer) bool {
	return r.heardRecently(p) && !p.shuttingDown && p.durable[r.options.Incarnation] >= r.overdue
}

// updateTarget notes what this replica still has to receive of a peer's records. A target stays until it is
// reached, so that the age of a target tells a replica that lags from one that receives a steady stream.
func (r *Replica) updateTarget(p *peer) {
	held := r.set.Vector()
	if p.target != nil && held.covers(p.target) {
		p.target = nil
	}
	if p.target == nil && !held.covers(p.received) {
		p.target = maps.Clone(p.received)
		p.targetSince = r.active
	}
}

// lags reports whether this replica has lacked records of a peer for a time.
func (r *Replica) lags(p *peer, since time.Duration) bool {
	return p.target != nil && r.active-p.targetSince >= since
}
