package policy // what peers are told, what is heard from them, and what is forgotten

import "math"

// Hear takes a peer's reports. A message says nought of the customers that it does not name.
func (e *Engine) ReceiveReports(from int, reports []Report) {
	if from < 0 || from >= e.derived.gatewayCount || from == e.derived.gatewayIndex {
		return
	}
	peer := &e.peers[from]
	if peer.heardAt = e.now; peer.silent {
		e.setPeerSilent(from, false, false)
	}
	// one may be told at once, between two periods
	if len(reports) != 1 || len(peer.lastReports) > e.derived.reportsPerMessage {
		peer.lastReports = peer.lastReports[:0]
	}
	for _, report := range reports {
		// what is known of it is in the sum already
		d := (report.DemandPerSecond - report.PreviousDemandPerSecond) / 1000
		if !(report.DemandPerSecond >= 0) || math.IsInf(d, 0) || !(report.PreviousDemandPerSecond >= 0) ||
			!(report.SpentUnits >= 0) ||
			report.Plan < 0 || report.Plan >= len(e.plans) {
			continue
		}
		peer.reportsHeardAt = e.now
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

// sweep looks for silent peers, turns customers hot and cold, renews their shares, gathers what is to be
// reported, and drops the idle customers.
func (e *Engine) endReportInterval() {
	for i := range e.peers {
		peer := &e.peers[i]
		silentMillis := e.now - math.Max(peer.heardAt, peer.reportDueSince)
		switch {
		case peer.reportDueSince == 0 || i == e.derived.gatewayIndex:
		case !peer.silent && silentMillis > silentAfterIntervals*e.derived.reportIntervalMillis:
			e.setPeerSilent(i, true, false)
		case peer.silent && !peer.lost && silentMillis > peerSuspicionMillis+lostPeerHoldMillis:
			e.setPeerSilent(i, true, true)
		}
	}
	e.refreshReady()
	for i := range e.plans {
		e.plans[i].deriveRate()
	}
	clear(e.hotPrefix)
	e.changedAccounts = e.changedAccounts[:0]
	for i := range e.accounts {
		account := &e.accounts[i]
		if !account.live {
			continue
		}
		e.refill(account)
		ownDemand, idleMillis, coldShare := e.ownDemand(account), e.now-account.lastRequestAt, e.coldShare(account)
		if ownDemand > coldShare || account.setSize == 0 && idleMillis < e.derived.coolDownMillis {
			account.coolSince = e.now
		}
		// One txn makes no demand, unless the slice cannot hold it: then all that is known is what peers say.
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
			e.collectReport(int32(i))
			continue
		}
		account.unreportedUnits = 0
		plan := &e.plans[account.plan]
		if idleMillis > e.derived.coolDownMillis && account.inFlight == 0 &&
			account.shareTokens >= e.initialShareTokens(account)-1e-9 && account.rateLimitFullAt <= e.now &&
			!inUse && account.quotaTokens >= e.storeDepth(plan, plan.ratePerMilli)-1e-9 {
			e.closeAccount(int32(i))
		}
	}
	for i := range e.hotPrefix[1:] {
		e.hotPrefix[i+1] += e.hotPrefix[i]
	}
}

// promptly gives the next message that tells a small set at once what was sent on. Where that comes too often
// for the peers' intake it waits for the period's.
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
			e.markReported(account)
		}
		if e.immediateSent < account.setSize {
			return e.immediateReport(account, e.immediateSent), true
		}
		account.unreportedUnits = 0
	}
	return Decision{}, false
}

// report packs the next message of own demands for the customers that a peer shares: those with news, or a
// bare word that there is none. What the period's messages cannot hold is left out, from a random place on.
func (e *Engine) nextPeriodicReport() (Decision, bool) {
	n, to, peer := e.derived.gatewayCount, e.reportPeer, &e.peers[e.reportPeer]
	// it spoke of customers, maybe not known here
	asks := peer.reportsHeardAt > 0 &&
		e.now-peer.reportsHeardAt < peerLapseIntervals*e.derived.reportIntervalMillis
	if to == e.derived.gatewayIndex || e.messagesToPeer >= e.derived.messagesPerPeer ||
		e.hotPrefix[to]+e.hotPrefix[to+n] == 0 && !asks {
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
	if e.now-peer.reportedAt > peerLapseIntervals*e.derived.reportIntervalMillis {
		peer.reportDueSince = e.now
	}
	peer.reportedAt, e.messagesToPeer = e.now, e.messagesToPeer+1
	return Decision{Kind: SendReports, Peer: to, Reports: e.reportBuffer}, true
}
