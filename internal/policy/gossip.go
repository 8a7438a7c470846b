package policy

import (
	"math"
)

const (
	// reportIntervalMillis is the time between two reports to a peer. It is short against the demand window
	// (demandWindowMillis), so that reports miss little of a jump in demand.
	reportIntervalMillis = 400.0
	// silentAfterIntervals is the number of report intervals without a report after which a peer that has to
	// report counts as silent.
	silentAfterIntervals = 3.5
	// peerSuspicionMillis is the silence after which a peer is suspected to have ended.
	peerSuspicionMillis = 6000.0
	// lostPeerRetentionMillis is the time after peerSuspicionMillis during which the last demand that the peer
	// reported still counts.
	lostPeerRetentionMillis = 10000.0
	// peerExpiryIntervals is the number of report intervals without a message after which an exchange of
	// reports with a peer has expired; the next message begins a new one.
	peerExpiryIntervals = 2.0
	// reportIntakeFraction is the fraction of the peers' message intake (Settings.PeerMessagesPerSecond) that
	// reports may use. The rest absorbs jitter.
	reportIntakeFraction = 0.95
	// maxImmediateSetSize is the largest gateway set of a customer whose spending is reported at once rather
	// than once per interval.
	maxImmediateSetSize = 8
	// immediateIntakeFraction is the fraction of the intake for reports that is reserved for immediate
	// reports.
	immediateIntakeFraction = 0.1
	// immediateBurstMessages bounds how many immediate reports go out in a row: enough for a burst of a few
	// customers.
	immediateBurstMessages = 64.0
)

// reportsImmediately reports whether a customer's gateway set is so small that its spending is reported at
// once.
func (e *Engine) reportsImmediately(account *customerAccount) bool {
	return e.derived.immediatePerMilli > 0 && !e.handedOff && account.setSize > 1 &&
		account.setSize <= maxImmediateSetSize
}

// ReceiveReports applies a peer's report message. Its reports replace those of the peer's previous message,
// except that a message with a single report, which may be an immediate one, replaces only that customer's.
func (e *Engine) ReceiveReports(from int, reports []Report) {
	if from < 0 || from >= e.derived.gatewayCount || from == e.derived.gatewayIndex {
		return
	}
	peer := &e.peers[from]
	if peer.receivedAt = e.now; peer.silent {
		e.setPeerSilent(from, false, false)
	}
	// A single report may be an immediate one, sent between two periodic messages.
	if len(reports) != 1 || len(peer.lastReports) > e.derived.reportsPerMessage {
		peer.lastReports = peer.lastReports[:0]
	}
	for _, report := range reports {
		// peerDemand already includes what the decay has left of the peer's previous report.
		d := (report.DemandPerSecond - report.PreviousDemandPerSecond) / 1000
		if !(report.DemandPerSecond >= 0) || math.IsInf(d, 0) || !(report.PreviousDemandPerSecond >= 0) ||
			!(report.SpentUnits >= 0) ||
			report.Plan < 0 || report.Plan >= len(e.plans) {
			continue
		}
		peer.reportsReceivedAt = e.now
		peer.rememberReport(report)
		accountIndex, ok := e.accountByCustomer[uint32(report.Customer)]
		if !ok {
			if report.DemandPerSecond == 0 || e.remoteOnlyAccounts >= maxRemoteAccounts {
				continue
			}
			accountIndex = e.openAccount(report.Customer&math.MaxUint32, report.Plan)
			e.remoteOnlyAccounts++
		}
		account := &e.accounts[accountIndex]
		e.refill(account)
		account.quotaTokens = math.Max(account.quotaTokens-report.SpentUnits, 0)
		account.peerSpent += report.SpentUnits
		account.peerDemand = math.Max(account.peerDemand+d, 0)
		if report.DemandPerSecond > 0 {
			account.peerDemandAt = e.now
			if !account.hot {
				account.hot, account.coolSince = true, e.now
			}
		}
		e.updateShare(account)
	}
}

// endReportInterval does the work that is due at the end of each report interval. It marks silent peers,
// marks customers as hot or cold, updates their shares, collects the demand to report, and closes the
// accounts of idle customers.
func (e *Engine) endReportInterval() {
	e.updateSilentPeers()
	e.refreshReady()
	for i := range e.plans {
		e.plans[i].deriveRate()
	}
	clear(e.hotPrefix)
	e.changedAccounts = e.changedAccounts[:0]
	for i := range e.accounts {
		if e.accounts[i].live {
			e.updateDemand(int32(i))
		}
	}
	for i := range e.hotPrefix[1:] {
		e.hotPrefix[i+1] += e.hotPrefix[i]
	}
}

// updateSilentPeers marks peers as silent or lost that have not reported for too long.
func (e *Engine) updateSilentPeers() {
	for i := range e.peers {
		peer := &e.peers[i]
		silentMillis := e.now - math.Max(peer.receivedAt, peer.reportDueSince)
		switch {
		case peer.reportDueSince == 0 || i == e.derived.gatewayIndex:
		case !peer.silent && silentMillis > silentAfterIntervals*e.derived.reportIntervalMillis:
			e.setPeerSilent(i, true, false)
		case peer.silent && !peer.lost && silentMillis > peerSuspicionMillis+lostPeerRetentionMillis:
			e.setPeerSilent(i, true, true)
		}
	}
}

// updateDemand marks an account as hot or cold by its demand and updates its share. It collects a report of
// a hot account, and closes one that is idle and whose stores are full.
func (e *Engine) updateDemand(index int32) {
	account := &e.accounts[index]
	e.refill(account)
	ownDemand, idleMillis, coldShare := e.ownDemand(account), e.now-account.lastRequestAt, e.coldShare(account)
	if ownDemand > coldShare || account.setSize == 0 && idleMillis < e.derived.coolDownMillis {
		account.coolSince = e.now
	}
	// A single request is too little to estimate demand from. It counts only where the initial share cannot
	// hold the largest request: the share then depends on the demand that peers report.
	if !account.hot && ownDemand > hotDemandFraction*coldShare && coldShare > 0 && (account.requests > 1 ||
		e.initialShareTokens(account) < e.derived.maxRequestUnits) {
		account.hot = true
	}
	inUse := account.peerDemandAt > 0 && e.now-account.peerDemandAt < e.derived.coolDownMillis
	if account.hot && e.now-account.coolSince > e.derived.coolDownMillis && !inUse {
		account.hot = false
		account.peerDemand, account.silentPeerDemand, account.silentPeers = 0, 0, 0
	}
	e.updateShare(account)
	if account.hot {
		e.collectReport(index)
		return
	}
	account.unreportedUnits = 0
	plan := &e.plans[account.plan]
	if idleMillis > e.derived.coolDownMillis && account.inFlight == 0 &&
		account.shareTokens >= e.initialShareTokens(account)-1e-9 && account.rateLimitFullAt <= e.now &&
		!inUse && account.quotaTokens >= e.storeDepth(plan, plan.ratePerMilli)-1e-9 {
		e.closeAccount(index)
	}
}

// nextImmediateReport returns the next message that reports spending at once to the peers of a small
// gateway set. Where such messages would exceed the peers' intake, the spending is left to the next
// periodic report.
func (e *Engine) nextImmediateReport() (Decision, bool) {
	for ; len(e.immediateAccounts) > 0; e.immediateAccounts, e.immediateSent = append(e.immediateAccounts[:0],
		e.immediateAccounts[1:]...), 0 {
		account, at := &e.accounts[e.immediateAccounts[0]], e.derived.immediatePerMilli
		if !account.live || !e.reportsImmediately(account) || e.immediateSent == 0 && gcraWait(e.immediateFullAt,
			e.now, at, immediateBurstMessages, float64(account.setSize)) > 0 {
			continue
		}
		if e.immediateSent++; e.immediateSent == 1 {
			e.immediateFullAt = math.Max(e.immediateFullAt, e.now) + float64(account.setSize)/at
			e.setReported(account)
		}
		if e.immediateSent < account.setSize {
			return e.immediateReport(account, e.immediateSent), true
		}
		account.unreportedUnits = 0
	}
	return Decision{}, false
}

// nextPeriodicReport packs the next message to the current peer (reportPeer): this gateway's demand of the
// customers that the peer shares and whose demand has changed, or an empty message if there are none.
// Packing starts at a random position. Reports that do not fit into the messages of this interval are left
// out.
func (e *Engine) nextPeriodicReport() (Decision, bool) {
	n, to, peer := e.derived.gatewayCount, e.reportPeer, &e.peers[e.reportPeer]
	// The peer has sent reports lately and expects messages, even if this gateway has no hot customer that it
	// shares.
	awaitsMessage := peer.reportsReceivedAt > 0 &&
		e.now-peer.reportsReceivedAt < peerExpiryIntervals*e.derived.reportIntervalMillis
	if to == e.derived.gatewayIndex || e.messagesToPeer >= e.derived.messagesPerPeer ||
		e.hotPrefix[to]+e.hotPrefix[to+n] == 0 && !awaitsMessage {
		return Decision{}, false
	}
	e.reportBuffer = e.reportBuffer[:0]
	for ; e.changedExamined < len(e.changedAccounts) &&
		len(e.reportBuffer) < e.derived.reportsPerMessage; e.changedExamined++ {
		if account := &e.accounts[e.changedAccounts[(e.changedOffset+e.changedExamined)%len(
			e.changedAccounts)]]; e.sharesCustomer(account, to) {
			e.reportBuffer = append(e.reportBuffer, account.demandReport())
		}
	}
	if len(e.reportBuffer) == 0 && e.messagesToPeer > 0 {
		return Decision{}, false
	}
	if e.now-peer.reportedAt > peerExpiryIntervals*e.derived.reportIntervalMillis {
		peer.reportDueSince = e.now
	}
	peer.reportedAt, e.messagesToPeer = e.now, e.messagesToPeer+1
	return Decision{Kind: SendReports, Peer: to, Reports: e.reportBuffer}, true
}

// PeerRestarted records that a peer has restarted without the state of its earlier run, and subtracts the
// demand that the earlier run reported last. The new run reports its demand from 0 on, so that otherwise
// both would be counted.
func (e *Engine) PeerRestarted(from int) {
	if from < 0 || from >= e.derived.gatewayCount || from == e.derived.gatewayIndex {
		return
	}
	peer := &e.peers[from]
	if peer.silent {
		e.setPeerSilent(from, false, false)
	}
	for _, report := range peer.lastReports {
		if accountIndex, ok := e.accountByCustomer[uint32(report.Customer)]; ok {
			account := &e.accounts[accountIndex]
			e.refill(account)
			account.peerDemand = math.Max(account.peerDemand-report.DemandPerSecond/1000*math.Exp(
				(peer.receivedAt-e.now)/e.plans[account.plan].demandWindowMillis), 0)
			e.updateShare(account)
		}
	}
	peer.lastReports = peer.lastReports[:0]
}

// peerRecord is the state that is kept of another gateway.
type peerRecord struct {
	// receivedAt is the time of the last message from the peer, reportedAt that of the last one to it.
	// reportDueSince is the time since which it has to report each interval; 0 if it does not have to.
	receivedAt, reportedAt, reportDueSince float64
	reportsReceivedAt                      float64 // time of the last message that held reports
	// silent: it has to report and sends nothing. lost: it has been silent for so long that its demand no
	// longer counts.
	silent, lost bool
	// Reports of its last message. Their demand counts without decay while the peer is silent and not lost.
	lastReports []Report
}

// rememberReport stores a peer's last report of a customer.
func (peer *peerRecord) rememberReport(report Report) {
	for i := range peer.lastReports {
		if peer.lastReports[i].Customer == report.Customer {
			peer.lastReports[i] = report
			return
		}
	}
	peer.lastReports = append(peer.lastReports, report)
}

// demandReport returns this gateway's report of a customer.
func (account *customerAccount) demandReport() Report {
	return Report{account.id, account.plan, account.reportedDemand * 1000, account.previousReportedDemand * 1000,
		account.unreportedUnits}
}

// immediateReport returns the message to the gateway that is ahead places after this one in a customer's
// gateway set.
func (e *Engine) immediateReport(account *customerAccount, ahead int) Decision {
	place := (e.derived.gatewayIndex - account.firstGateway + e.derived.gatewayCount) % e.derived.gatewayCount
	to := (account.firstGateway + (place+ahead)%account.setSize) % e.derived.gatewayCount
	e.reportBuffer = append(e.reportBuffer[:0], account.demandReport())
	return Decision{Kind: SendReports, Peer: to, Reports: e.reportBuffer}
}

// collectReport counts a hot customer in hotPrefix for the gateways of its set. If the customer had
// requests in the last interval or has unreported units, its demand is collected for the next reports.
func (e *Engine) collectReport(accountIndex int32) {
	account := &e.accounts[accountIndex]
	e.hotPrefix[account.firstGateway]++
	e.hotPrefix[account.firstGateway+account.setSize]--
	if account.setSize > 0 && (e.now-account.lastRequestAt <= e.derived.reportIntervalMillis ||
		account.unreportedUnits > 0) {
		e.changedAccounts = append(e.changedAccounts, accountIndex)
		e.setReported(account)
	}
}

// setReported records the current demand as reported now, and what the decay has left of the demand
// reported before.
func (e *Engine) setReported(account *customerAccount) {
	account.previousReportedDemand = account.reportedDemand *
		math.Exp((account.reportedAt-e.now)/e.plans[account.plan].demandWindowMillis)
	account.reportedDemand, account.reportedAt = e.ownDemand(account), e.now
}

// silentPeersOf returns the number of silent peers in a customer's set.
func (e *Engine) silentPeersOf(account *customerAccount) int {
	return e.silentPrefix[account.firstGateway+account.setSize] - e.silentPrefix[account.firstGateway]
}

// sharesCustomer reports whether a peer is in a customer's gateway set, so that the customer's requests can
// come through it too.
func (e *Engine) sharesCustomer(account *customerAccount, peer int) bool {
	return (peer-account.firstGateway+e.derived.gatewayCount)%e.derived.gatewayCount < account.setSize
}

// setPeerSilent records whether a peer that has to report is silent, and whether it is lost after a longer
// silence. While it is silent and not lost, the demand of its last message counts without decay.
func (e *Engine) setPeerSilent(from int, silent, isLost bool) {
	peer := &e.peers[from]
	wasKept := peer.silent && !peer.lost
	peer.silent, peer.lost = silent, isLost
	// Without gossip all peers count as silent alike, so no demand is moved between peerDemand and
	// silentPeerDemand.
	if keep := silent && !isLost; keep != wasKept && !e.settings.QuotaWithoutGossip {
		for _, report := range peer.lastReports {
			accountIndex, ok := e.accountByCustomer[uint32(report.Customer)]
			if !ok {
				continue
			}
			account := &e.accounts[accountIndex]
			e.refill(account)
			if d := report.DemandPerSecond / 1000; keep {
				account.peerDemand = math.Max(account.peerDemand-d*math.Exp(
					(peer.receivedAt-e.now)/e.plans[account.plan].demandWindowMillis), 0)
				account.silentPeerDemand += d
				account.silentPeers++
			} else {
				account.silentPeerDemand = math.Max(account.silentPeerDemand-d, 0)
				account.silentPeers = max(account.silentPeers-1, 0)
			}
		}
	}
	e.countSilentPeers()
}

// countSilentPeers updates the prefix sums of silent peers over the ring of gateways.
func (e *Engine) countSilentPeers() {
	for i := range e.silentPrefix[1:] {
		e.silentPrefix[i+1] = e.silentPrefix[i]
		peer := &e.peers[i%e.derived.gatewayCount]
		if peer.silent && !peer.lost || e.settings.QuotaWithoutGossip &&
			i%e.derived.gatewayCount != e.derived.gatewayIndex {
			e.silentPrefix[i+1]++
		}
	}
}
