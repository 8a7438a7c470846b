package tally

// Read returns the total of a tally. It contains all adds that this replica has acknowledged. ok is false
// while the replica may lack adds that other cores acknowledged a while ago: after a start until it has heard
// of all cores that can be reached, and while it has not received what a peer holds.
func (r *Replica) Read(name string) (total uint64, ok bool) {
	r.advanceTime()
	if !r.current() {
		return 0, false
	}
	return r.set.Total(name), true
}

// current reports whether reads may be answered.
func (r *Replica) current() bool {
	if !r.peersNamed {
		return false
	}
	for _, p := range r.peers {
		if !r.currentWith(p) {
			return false
		}
	}
	return true
}

// currentWith reports whether a peer does not keep reads from being answered.
func (r *Replica) currentWith(p *peer) bool {
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
