package tally

// Read returns the total of a tally, which includes all adds that this replica has acknowledged. ok is
// false while the replica may lack adds that other cores acknowledged some time ago: after a start until
// it has caught up with all cores that can be reached, and while it has lacked records of a peer for
// maxLag.
func (r *Replica) Read(name string) (total uint64, ok bool) {
	r.advanceTime()
	if !r.canAnswerReads() {
		return 0, false
	}
	return r.set.Total(name), true
}

// canAnswerReads reports whether reads may be answered.
func (r *Replica) canAnswerReads() bool {
	if !r.peersSet {
		return false
	}
	for _, p := range r.peers {
		if !r.peerAllowsReads(p) {
			return false
		}
	}
	return true
}

// peerAllowsReads reports whether one peer allows reads to be answered, because this replica does not lag
// behind it or does not wait for it. After the start it waits until readGrace for a first message from the
// peer, and until catchUpLimit for the records in the peer's first state.
func (r *Replica) peerAllowsReads(p *peer) bool {
	switch {
	case p.incarnation == "":
		return r.active >= readGrace
	case !r.isActive(p) || r.givenUp(p):
		return true
	case !p.caughtUp && r.active < catchUpLimit:
		return false
	}
	return !r.lags(p, maxLag)
}
