package policy

import (
	"math"
	"slices"
)

// This file holds what is restored after a crash of the state that fades: quotas, demand, and what peers have
// reported. Rate limits are the crash state's alone. What was known of workers is not kept, as it does harm.

const (
	// CheckpointIntervalMillis is how long the host waits between two checkpoints: what was spent since the last
	// one is not known after a crash.
	CheckpointIntervalMillis = 100.0

	// checkpointRowsPerChunk bounds the customers, or peers' reports, in a piece of a checkpoint: some
	// microseconds under the host's lock.
	checkpointRowsPerChunk = 128
	// maxCheckpointCustomers bounds a checkpoint: 2 MB as the host writes it.
	maxCheckpointCustomers = 1 << 14
	// maxCreditIntervalMillis is the time between two looks at a customer that owes anything, at most; see
	// internal/borrowing.
	maxCreditIntervalMillis = 2000.0
	// maxCheckpointAgeMillis is the age beyond which a checkpoint is not used: by then a customer is cold again,
	// and no demand is left to speak of.
	maxCheckpointAgeMillis = 5000.0
)

// Checkpoint writes the next piece of the state that fades into handoff, from the place that the piece
// before has returned, 0 at first, and returns the next place; 0 says that the checkpoint is complete. It
// changes nothing in the engine, and once handoff has grown to what is known it allocates nothing.
// Customers beyond maxCheckpointCustomers are left out: they are as after any start.
func (e *Engine) Checkpoint(handoff *HandoffState, from int, now float64) int {
	if from == 0 || len(handoff.Peers) != len(e.peers) { // other gateways than at its beginning: anew
		from, handoff.AtMillis, handoff.StartedAtMillis, handoff.NextReportAtMillis = 0, math.Max(now, e.now),
			e.startedAt, e.nextReportAt
		if cap(handoff.Peers) < len(e.peers) {
			handoff.Peers = make([]PeerState, len(e.peers))
		}
		handoff.Customers, handoff.Peers, handoff.ShortDeadlineSuccess, handoff.AttemptMillis =
			handoff.Customers[:0], handoff.Peers[:len(e.peers)],
			handoff.ShortDeadlineSuccess[:0], handoff.AttemptMillis[:0]
		for i := range e.plans {
			handoff.ShortDeadlineSuccess, handoff.AttemptMillis = append(handoff.ShortDeadlineSuccess,
				e.plans[i].shortDeadlineSuccess),
				append(handoff.AttemptMillis, e.plans[i].attemptMillis)
		}
	}
	rows := 0
	for ; from < len(e.peers) && rows < checkpointRowsPerChunk; from++ {
		peer, saved := &e.peers[from], &handoff.Peers[from]
		*saved = PeerState{peer.receivedAt, peer.reportedAt, peer.reportDueSince, peer.reportsReceivedAt,
			peer.silent,
			peer.lost, append(saved.LastReports[:0], peer.lastReports...)}
		rows += 1 + len(peer.lastReports)
	}
	for accountOffset := from - len(e.peers); accountOffset >= 0 && accountOffset < len(e.accounts) &&
		rows < checkpointRowsPerChunk; accountOffset++ {
		if from, rows = from+1, rows+1; e.accounts[accountOffset].live &&
			len(handoff.Customers) < maxCheckpointCustomers {
			handoff.Customers = append(handoff.Customers, e.accounts[accountOffset].state())
		}
	}
	if from < len(e.peers)+len(e.accounts) {
		return from
	}
	return 0
}

// RestoreCheckpoint takes the checkpoint of an earlier run, after RestoreCrashState, and returns how many
// customers it restores: none of a checkpoint of other settings, or older than maxCheckpointAgeMillis, and
// none while quotas go without gossip or a fraction is withheld. Customers whose requests have arrived
// meanwhile are left alone. peersDropLastReport says that peers know this run for a new one and drop what the
// last message reported: that is reported again, while what is left of all else is known to them.
//
// Demand has decayed by the checkpoint's age. Stores have not refilled since, unless there are no peers: the
// refill was theirs to give. What the earlier run may have spent after the checkpoint is taken from them, by
// the demand that it saw, and a share holds no more than that of an engine that knows nothing. So is what
// credit may have collected after the checkpoint: its ledger outlives a crash, and has that as paid.
func (e *Engine) RestoreCheckpoint(handoff HandoffState, peersDropLastReport bool) (customers int) {
	age := e.now - handoff.AtMillis
	if len(handoff.Peers) != len(e.peers) || len(handoff.ShortDeadlineSuccess) != len(e.plans) ||
		len(handoff.AttemptMillis) != len(e.plans) ||
		!(age >= 0 && age <= maxCheckpointAgeMillis) || e.settings.QuotaWithoutGossip ||
		slices.ContainsFunc(e.settings.Plans, func(plan Plan) bool { return plan.WithheldFraction > 0 }) {
		return 0
	}
	if handoff.StartedAtMillis <= handoff.AtMillis { // what it has seen of demand is as old as that
		e.startedAt = math.Min(e.startedAt, handoff.StartedAtMillis)
	}
	e.restoreReportTurn(&handoff)
	e.restorePlans(&handoff)
	receivedSinceStart := e.restorePeers(&handoff)
	e.countSilentPeers()
	// The earlier run may have reported to its peers after the checkpoint.
	mayHaveReported := handoff.NextReportAtMillis <= handoff.AtMillis+CheckpointIntervalMillis
	// Peers drop what was reported from then on: that of the last message.
	peersDropFrom := math.Inf(1)
	if peersDropLastReport {
		peersDropFrom = handoff.NextReportAtMillis - e.derived.reportIntervalMillis - 1
	}
	for i := range handoff.Customers {
		if e.restoreCustomer(&handoff.Customers[i], handoff.AtMillis, peersDropFrom, mayHaveReported) {
			customers++
		}
	}
	for _, i := range receivedSinceStart {
		if e.peers[i].silent {
			e.setPeerSilent(i, false, false)
		}
	}
	return customers
}

// restoreReportTurn keeps this gateway's turn among the peers.
func (e *Engine) restoreReportTurn(handoff *HandoffState) {
	if handoff.NextReportAtMillis > handoff.AtMillis &&
		handoff.NextReportAtMillis <= handoff.AtMillis+e.derived.reportIntervalMillis {
		turns := math.Max(math.Ceil((e.now-handoff.NextReportAtMillis)/e.derived.reportIntervalMillis), 0)
		e.nextReportAt = handoff.NextReportAtMillis + turns*e.derived.reportIntervalMillis
	}
}

// restorePlans restores what is measured of each plan, as far as it is within bounds.
func (e *Engine) restorePlans(handoff *HandoffState) {
	for i := range e.plans {
		success, attemptMillis := handoff.ShortDeadlineSuccess[i], handoff.AttemptMillis[i]
		if success >= 0 && success <= 1 && attemptMillis >= 0 && attemptMillis <= math.MaxInt32 {
			e.plans[i].shortDeadlineSuccess, e.plans[i].attemptMillis = success, attemptMillis
			e.plans[i].deriveRate()
		}
	}
}

// restorePeers restores the records of the peers, and returns those that have sent something in this run.
func (e *Engine) restorePeers(handoff *HandoffState) (receivedSinceStart []int) {
	for i, saved := range handoff.Peers {
		if i == e.derived.gatewayIndex || !(saved.ReceivedAtMillis <= handoff.AtMillis &&
			saved.ReportsReceivedAtMillis <= handoff.AtMillis &&
			saved.ReportedAtMillis <= handoff.AtMillis) {
			continue
		}
		if saved.ReportDueSinceMillis > 0 { // what it sent while nobody received is not its silence
			saved.ReportDueSinceMillis = e.now
		}
		last := slices.DeleteFunc(slices.Clone(saved.LastReports), func(report Report) bool {
			return !(report.DemandPerSecond >= 0 && report.DemandPerSecond <= math.MaxInt32) || report.Plan < 0 ||
				report.Plan >= len(e.plans)
		})
		if e.peers[i].receivedAt > 0 { // in this run
			receivedSinceStart = append(receivedSinceStart, i)
		}
		e.peers[i] = peerRecord{saved.ReceivedAtMillis, saved.ReportedAtMillis, saved.ReportDueSinceMillis,
			saved.ReportsReceivedAtMillis,
			saved.Silent, saved.Lost, last}
	}
	return receivedSinceStart
}

// restoreCustomer takes over one customer of a checkpoint, and tells whether it has.
func (e *Engine) restoreCustomer(saved *CustomerState, checkpointAt, peersDropFrom float64,
	mayHaveReported bool) bool {
	if !saved.plausible(checkpointAt) || !e.fitsSets(saved) || saved.SilentPeers < 0 ||
		saved.SilentPeers > e.derived.gatewayCount {
		return false
	}
	accountIndex, known := e.accountByCustomer[uint32(saved.ID)]
	if known && (e.accounts[accountIndex].setSize > 0 || e.accounts[accountIndex].plan != saved.Plan) ||
		!known && saved.SetSize == 0 && e.remoteOnlyAccounts >= maxRemoteAccounts {
		return false
	}
	if !known {
		accountIndex = e.openAccount(saved.ID&math.MaxUint32, saved.Plan)
		e.remoteOnlyAccounts++
	}
	account, plan := &e.accounts[accountIndex], &e.plans[saved.Plan]
	if account.setSize, account.firstGateway = saved.SetSize, saved.FirstGateway; account.setSize > 0 {
		// What is not in the crash state is as full as its base says.
		if e.remoteOnlyAccounts--; plan.rateLimitPerMilli > 0 {
			account.rateLimitFullAt = math.Max(account.rateLimitFullAt, e.rateLimitBase+plan.fullRefillMillis())
		}
	}
	elapsedMillis := e.now - saved.FilledAtMillis
	decay := math.Exp(-elapsedMillis / plan.demandWindowMillis)
	account.requests, account.hot, account.silentPeers = max(saved.Requests, 0), saved.Hot, saved.SilentPeers
	account.peerDemand, account.peerDemandAt = saved.PeerDemand*decay, saved.PeerDemandAtMillis
	account.peerSpent = saved.PeerSpentUnits * math.Exp(-elapsedMillis/peerSpendWindowMillis)
	account.silentPeerDemand = saved.SilentPeerDemand
	account.decayedDemand, account.recentDemand = saved.OwnDemand, saved.RecentDemand
	account.lastRequestAt, account.coolSince = saved.LastRequestAtMillis, saved.CoolSinceMillis
	account.filledAt = e.now
	if saved.ReportedAtMillis < peersDropFrom {
		account.reportedDemand, account.reportedAt = saved.ReportedDemand, saved.ReportedAtMillis
		account.previousReportedDemand = saved.PreviousReportedDemand
	}
	if !mayHaveReported {
		account.unreportedUnits = saved.UnreportedUnits
	}
	e.updateShare(account)
	account.uncollectedUnits, account.creditAt = saved.UncollectedRepayment, saved.CreditAtMillis
	e.restoreStores(account, saved, checkpointAt)
	return true
}

// restoreStores sets an account's tokens by a checkpoint: less what may have been spent or collected since
// then.
func (e *Engine) restoreStores(account *customerAccount, saved *CustomerState, checkpointAt float64) {
	plan := &e.plans[account.plan]
	// What was refilled during the outage was the peers' to give, if there are any.
	refillMillis := checkpointAt - saved.FilledAtMillis
	if account.setSize == 1 {
		refillMillis = e.now - saved.FilledAtMillis
	}
	unseenUnits := saved.OwnDemand * math.Exp((saved.LastRequestAtMillis-checkpointAt)/plan.demandWindowMillis) *
		math.Min(e.now-checkpointAt, CheckpointIntervalMillis)
	maxShareTokens := e.storeDepth(plan, account.sharePerMilli)
	if !e.isSparse(account) { // never more than an engine has that knows nothing
		maxShareTokens = math.Min(maxShareTokens, math.Max(e.initialShareTokens(account), 0))
	}
	account.shareTokens = spendDown(math.Min(saved.ShareTokens+refillMillis*account.sharePerMilli,
		maxShareTokens), unseenUnits)
	account.quotaTokens = spendDown(math.Min(saved.QuotaTokens+refillMillis*plan.ratePerMilli,
		e.storeDepth(plan, plan.ratePerMilli)), unseenUnits)
	if units := e.possiblyRepaid(account, checkpointAt); units > 0 { // as CollectRepayment does
		account.shareTokens = math.Max(account.shareTokens-units, -e.storeDepth(plan, plan.ratePerMilli))
		account.uncollectedUnits += units
		account.collectFromQuota()
	}
}

// plausible tells whether a saved customer's figures can be true: no demand or spending under 0 (a share may
// be overdrawn), and no time after the checkpoint's.
func (saved *CustomerState) plausible(checkpointAt float64) bool {
	figures := [...]float64{saved.ShareTokens, saved.QuotaTokens, saved.PeerDemand, saved.PeerSpentUnits,
		saved.SilentPeerDemand, saved.OwnDemand, saved.RecentDemand, saved.UnreportedUnits, saved.ReportedDemand,
		saved.PreviousReportedDemand, saved.UncollectedRepayment}
	for i, v := range figures {
		if !(math.Abs(v) <= math.MaxInt32) || v < 0 && i > 0 {
			return false
		}
	}
	times := [...]float64{saved.FilledAtMillis, saved.PeerDemandAtMillis, saved.LastRequestAtMillis,
		saved.CoolSinceMillis, saved.ReportedAtMillis, saved.CreditAtMillis}
	for _, v := range times {
		if !(v >= 0 && v <= checkpointAt) {
			return false
		}
	}
	return true
}

// possiblyRepaid returns the units that credit may have collected of a customer's refill after a checkpoint
// of that time. Guards against a crash that undoes it.
func (e *Engine) possiblyRepaid(account *customerAccount, at float64) float64 {
	span := at + CheckpointIntervalMillis - account.creditAt
	// nothing was owed
	if e.settings.Plans[account.plan].CreditSeconds <= 0 || account.setSize == 0 ||
		span > maxCreditIntervalMillis {
		return 0
	}
	return e.repaymentRate(account) * span
}

// spendDown returns what is left of a store after so many units, or as little as there was.
func spendDown(store, units float64) float64 { return math.Max(store-units, math.Min(store, 0)) }
