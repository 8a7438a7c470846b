package lifecycle

import "net/netip"

// setMembers applies the number of gateways and their peers' addresses. applyToDispatcher does the same for
// the dispatcher: before the peers where there are fewer, so that no message goes to one that has left, and
// after them otherwise. Reload or the ruleset client calls it, never both.
func (g *Gateway) setMembers(size int, peers []netip.AddrPort, applyToDispatcher func()) {
	shrinks := int64(size) < g.memberCount.Load()
	if shrinks {
		applyToDispatcher()
	}
	if len(peers) > 0 && g.peers != nil { // a single gateway has no addresses, and none to send to
		for _, replaced := range g.peers.SetAddresses(peers) {
			g.dispatcher.PeerReplaced(replaced)
		}
	}
	if !shrinks {
		applyToDispatcher()
	}
	if int64(size) != g.memberCount.Load() {
		g.frontend.SetInstanceCount(size)
		if g.authServer != nil {
			g.authServer.SetInstances(size)
		}
		g.memberCount.Store(int64(size))
	}
	if g.reporter != nil {
		g.reporter.setMembers(peers, size)
	}
}
