package proxy

import "willowdeck/internal/policy"

// PeerReplaced tells the policy that another instance, which knows nothing, has a peer's number now.
func (d *Dispatcher) PeerReplaced(peer int) {
	d.lockPolicy()
	d.policy.PeerRestarted(peer)
	d.flushAndUnlock()
}

// ReceiveReports takes a peer's reports; restarted marks the first ones of a new incarnation.
func (d *Dispatcher) ReceiveReports(peer int, reports []policy.Report, restarted bool) {
	d.lockPolicy()
	if restarted {
		d.policy.PeerRestarted(peer)
	}
	if d.ruleset.settings.QuotaWithoutGossip { // the peer is alive, but its reports are not used
		reports = nil
	}
	d.policy.ReceiveReports(peer, reports)
	d.flushAndUnlock()
}
