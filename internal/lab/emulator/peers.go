package emulator

import (
	"willowdeck/internal/policy"
)

// sendReports sends a message to a peer. It may get lost, or be cut off.
func (g *gatekeeper) sendReports(d policy.Decision) {
	sim := g.sim
	sim.result.PeerMessages++
	to := sim.gatekeepers[d.Peer]
	lost := sim.networkRand.Float64() < sim.scenario.Network.PeerLoss
	if delayMillis := sim.drawDelay(sim.scenario.Network.PeerMillis); !lost && !g.isolated && !to.isolated &&
		sim.connected(sim.scenario.region(g.index), sim.scenario.region(to.index)) {
		reports, from := append([]policy.Report(nil), d.Reports...), g.index
		incarnation := g.incarnation
		sim.schedule(delayMillis, func() {
			to.input(func(b decider) {
				to.receiveReports(b, from, incarnation,
					reports)
			})
		})
	}
}

// receiveReports takes a peer's message. Where incarnations are exchanged it drops one of a former
// incarnation.
func (g *gatekeeper) receiveReports(b decider, from, incarnation int, reports []policy.Report) {
	if g.sim.scenario.Gatekeepers.Retained&RetainIncarnations != 0 {
		if incarnation < g.peerIncarnations[from] {
			return
		}
		if engine, ok := b.(*policy.Engine); ok && g.peerIncarnations[from] > 0 &&
			incarnation > g.peerIncarnations[from] {
			engine.PeerRestarted(from)
		}
		g.peerIncarnations[from] = incarnation
	}
	b.ReceiveReports(from, reports)
}
