package policy

import (
	"math"
	"slices"
)

// This file saves the decaying state, and restores it after a crash: quotas, demand, and the reports of
// peers. Rate limits are restored from the crash state only. The state of workers is not saved, as
// restoring it does harm.

const (
	// CheckpointIntervalMillis is how long the host waits between two checkpoints. What was spent after the
	// last one is not known after a crash.
	CheckpointIntervalMillis = 100.0

	// checkpointRowsPerChunk bounds the customers, or peers' reports, in one chunk of a checkpoint, which
	// takes some microseconds under the host's lock.
	checkpointRowsPerChunk = 128
	// maxCheckpointCustomers bounds the customers of a checkpoint: 2 MB as the host writes it.
	maxCheckpointCustomers = 1 << 14
	// maxCreditIntervalMillis is the longest time between two collections from a customer with an outstanding
	// debt; see internal/borrowing.
	maxCreditIntervalMillis = 2000.0
	// maxCheckpointAgeMillis is the age beyond which a checkpoint is not used. After that time a customer is
	// cold again, and hardly any of its demand is left.
	maxCheckpointAgeMillis = 5000.0
)

// Checkpoint writes the next chunk of the decaying state into handoff. from is the position that the
// previous call returned, 0 at first. It returns the next position, or 0 once the checkpoint is complete.
// It changes nothing in the engine, and allocates nothing once handoff is large enough. Customers beyond
// maxCheckpointCustomers are left out, and have no saved state after a crash.
func (e *Engine) Checkpoint(handoff *HandoffState, from int, now float64) int {
	// This is the first chunk, or the number of gateways has changed since that: begin again.
	if from == 0 || len(handoff.Peers) != len(e.peers) {
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

// RestoreCheckpoint applies the checkpoint of an earlier run, after RestoreCrashState, and returns how many
// customers it restores. It restores none from a checkpoint of other settings or older than
// maxCheckpointAgeMillis, and none while quotas work without gossip or part of a plan's rate limit is
// withheld. Customers whose requests have already arrived are left unchanged. peersDropLastReport says that
// the peers know this run as a new one and drop the demand that the last message of the earlier run
// reported. That demand is reported again. The peers still count what is left of all earlier reports.
//
// Demand is decayed by the checkpoint's age. Stores are not refilled for the time since the checkpoint,
// unless there are no peers: the refill was the peers' to spend. The units that the earlier run may have
// spent after the checkpoint are subtracted, as estimated from its demand, and a share holds no more than
// in an engine that has just started. The repayments that may have been collected after the checkpoint are
// subtracted too: the ledger of credit survives a crash and has them as paid.
func (e *Engine) RestoreCheckpoint(handoff HandoffState, peersDropLastReport bool) (customers int) {
	age := e.now - handoff.AtMillis
	if len(handoff.Peers) != len(e.peers) || len(handoff.ShortDeadlineSuccess) != len(e.plans) ||
		len(handoff.AttemptMillis) != len(e.plans) ||
		!(age >= 0 && age <= maxCheckpointAgeMillis) || e.settings.QuotaWithoutGossip ||
		slices.ContainsFunc(e.settings.Plans, func(plan Plan) bool { return plan.WithheldFraction > 0 }) {
		return 0
	}
	if handoff.StartedAtMillis <= handoff.AtMillis { // the restored demand was measured from then on
		e.startedAt = math.Min(e.startedAt, handoff.StartedAtMillis)
	}
	e.restoreReportTurn(&handoff)
	e.restorePlans(&handoff)
	receivedSinceStart := e.restorePeers(&handoff)
	e.countSilentPeers()
	// The earlier run may have reported to its peers after the checkpoint.
	mayHaveReported := handoff.NextReportAtMillis <= handoff.AtMillis+CheckpointIntervalMillis
	// Peers drop the demand reported from this time on, which is that of the last message.
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

// restoreReportTurn restores the schedule of this gateway's reports, so that it keeps its turn among the
// peers: the next report comes a whole number of report intervals after the time that the checkpoint holds.
func (e *Engine) restoreReportTurn(handoff *HandoffState) {
	if handoff.NextReportAtMillis > handoff.AtMillis &&
		handoff.NextReportAtMillis <= handoff.AtMillis+e.derived.reportIntervalMillis {
		turns := math.Max(math.Ceil((e.now-handoff.NextReportAtMillis)/e.derived.reportIntervalMillis), 0)
		e.nextReportAt = handoff.NextReportAtMillis + turns*e.derived.reportIntervalMillis
	}
}

// restorePlans restores the measured values of each plan if they are within bounds.
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
		// The reports that the peer sent during the outage could not arrive, so it does not count as silent for
		// them.
		if saved.ReportDueSinceMillis > 0 {
			saved.ReportDueSinceMillis = e.now
		}
		last := slices.DeleteFunc(slices.Clone(saved.LastReports), func(report Report) bool {
			return !(report.DemandPerSecond >= 0 && report.DemandPerSecond <= math.MaxInt32) || report.Plan < 0 ||
				report.Plan >= len(e.plans)
		})
		if e.peers[i].receivedAt > 0 { // it has sent something in this run
			receivedSinceStart = append(receivedSinceStart, i)
		}
		e.peers[i] = peerRecord{saved.ReceivedAtMillis, saved.ReportedAtMillis, saved.ReportDueSinceMillis,
			saved.ReportsReceivedAtMillis,
			saved.Silent, saved.Lost, last}
	}
	return receivedSinceStart
}

// restoreCustomer restores one customer of a checkpoint, and reports whether it did.
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
		// A customer that the crash state does not list is assumed to have spent its rate limit at the crash
		// state's base time.
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

// restoreStores sets an account's tokens from a checkpoint, less what may have been spent or collected
// since then.
func (e *Engine) restoreStores(account *customerAccount, saved *CustomerState, checkpointAt float64) {
	plan := &e.plans[account.plan]
	// The refill during the outage was the peers' to spend, if there are any.
	refillMillis := checkpointAt - saved.FilledAtMillis
	if account.setSize == 1 {
		refillMillis = e.now - saved.FilledAtMillis
	}
	unseenUnits := saved.OwnDemand * math.Exp((saved.LastRequestAtMillis-checkpointAt)/plan.demandWindowMillis) *
		math.Min(e.now-checkpointAt, CheckpointIntervalMillis)
	maxShareTokens := e.storeDepth(plan, account.sharePerMilli)
	if !e.isSparse(account) { // never more than in an engine that has just started
		maxShareTokens = math.Min(maxShareTokens, math.Max(e.initialShareTokens(account), 0))
	}
	account.shareTokens = spendDown(math.Min(saved.ShareTokens+refillMillis*account.sharePerMilli,
		maxShareTokens), unseenUnits)
	account.quotaTokens = spendDown(math.Min(saved.QuotaTokens+refillMillis*plan.ratePerMilli,
		e.storeDepth(plan, plan.ratePerMilli)), unseenUnits)
	if units := e.possiblyRepaid(account, checkpointAt); units > 0 { // as in CollectRepayment
		account.shareTokens = math.Max(account.shareTokens-units, -e.storeDepth(plan, plan.ratePerMilli))
		account.uncollectedUnits += units
		account.collectFromQuota()
	}
}

// plausible reports whether a saved customer's values are possible: no demand or spending below 0 (a share
// may be overdrawn), and no time after the checkpoint's.
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

// possiblyRepaid returns the units that may have been collected from a customer's refill, to repay its
// debts, after a checkpoint taken at checkpointAt. They are collected again, as otherwise a crash would
// undo the repayment.
func (e *Engine) possiblyRepaid(account *customerAccount, checkpointAt float64) float64 {
	span := checkpointAt + CheckpointIntervalMillis - account.creditAt
	// A customer without credit, or without a collection for longer than this, has no outstanding debt.
	if e.settings.Plans[account.plan].CreditSeconds <= 0 || account.setSize == 0 ||
		span > maxCreditIntervalMillis {
		return 0
	}
	return e.repaymentRate(account) * span
}

// spendDown returns what is left of a store after spending the units: not less than 0, or than the store if
// that is below 0 already.
func spendDown(store, units float64) float64 { return math.Max(store-units, math.Min(store, 0)) }
