package policy

import (
	"math"
	"reflect"
)

// This file holds what a gatekeeper leaves to the process that takes its place on the same machine. Times are
// those of the clock that both go by.

// Estate is all that a successor takes over. The host names the workers and kinds for it.
type HandoffState struct {
	Settings            Settings // in which all is reckoned
	AtMillis            float64
	StartedAtMillis     float64
	RateLimitBaseMillis float64
	Customers           []CustomerState
	Workers             []WorkerState
	Kinds               []MachineKindState
	Peers               []PeerState

	Window, Pressure, WindowCutAtMillis, ResponseMillis, MeanWorkerLoad    float64
	WarmWorkUnits, WarmWorkUnitsPerWorker, WarmWorkAtMillis                float64
	SlowRequests, SlowRequestsAtMillis, LostRequests, LostRequestsAtMillis float64
	ShortDeadlineSuccess, AttemptMillis                                    []float64 // by plan
	NextReportAtMillis                                                     float64
}

// Customer is what is known of one customer, in the module's own units.
type CustomerState struct {
	ID                                                                                               uint64
	Plan, SetSize, FirstGateway, Requests, InFlight, SilentPeers                                     int
	ShareTokens, QuotaTokens, FilledAtMillis                                                         float64
	PeerDemand, PeerSpentUnits, SilentPeerDemand, PeerDemandAtMillis                                 float64
	OwnDemand, RecentDemand, LastRequestAtMillis, CoolSinceMillis                                    float64
	RateLimitFullAtMillis, UnreportedUnits, ReportedDemand, ReportedAtMillis, PreviousReportedDemand float64
	Hot                                                                                              bool
	UncollectedRepayment, CreditAtMillis                                                             float64
}

// Standing is what is known of one worker.
type WorkerState struct {
	Worker                                                                              int
	StartedAtMillis                                                                     float64
	ResponseMillis, ResponseAtMillis, ReportedLoad, ReportedLoadAtMillis, HeardAtMillis float64
	Suspicion, SuspicionAtMillis                                                        float64
	Rejections, RejectionsAtMillis                                                      []float64
	Overloaded                                                                          bool
	SlowStartAtMillis, SlowStartDebtUnits                                               float64
}

// Pace is what is known of a kind of machine.
type MachineKindState struct {
	MachineKind               int
	ResponseMillis, Responses float64
}

// Hearing is what is known of one peer.
type PeerState struct {
	HeardAtMillis, ReportedAtMillis, ReportDueSinceMillis, ReportsHeardAtMillis float64
	Silent, Lost                                                                bool
	LastReports                                                                 []Report
}

// Retire gives what a successor takes over. From then on this gatekeeper only ends the txns in hand: it lets
// nothing in, sends nothing to cold workers and tells peers nothing, as its parts of all these are another's.
func (e *Engine) HandOff() HandoffState {
	e.handedOff = true
	for i := range e.requests { // what is kept may yet be sent on from here: to the successor it is spent
		if request := &e.requests[i]; request.live && request.reserved {
			coming, pass := request.bodyPending, request.clearance
			request.bodyPending = false
			e.charge(request)
			request.bodyPending, request.clearance = coming, pass
		}
	}
	handoff := HandoffState{Settings: e.settings, AtMillis: e.now, StartedAtMillis: e.startedAt,
		RateLimitBaseMillis: e.rateLimitBase, Window: e.window,
		Pressure: e.pressure, WindowCutAtMillis: e.windowCutAt, ResponseMillis: e.responseMillis,
		MeanWorkerLoad: e.meanLoad, WarmWorkUnits: e.warmUnits, WarmWorkUnitsPerWorker: e.warmUnitsPerWorker,
		WarmWorkAtMillis: e.warmUnitsAt, SlowRequests: e.slowRequests.score,
		SlowRequestsAtMillis: e.slowRequests.updatedAt, LostRequests: e.lostRequests.score,
		LostRequestsAtMillis: e.lostRequests.updatedAt,
		NextReportAtMillis:   e.nextReportAt}
	for i := range e.accounts {
		if account := &e.accounts[i]; account.live {
			handoff.Customers = append(handoff.Customers, account.state())
		}
	}
	for i := range e.workers {
		worker := &e.workers[i]
		if !worker.listed {
			continue
		}
		saved := WorkerState{Worker: i, StartedAtMillis: worker.StartedAtMillis,
			ResponseMillis:   worker.responseMillis,
			ResponseAtMillis: worker.responseAt, ReportedLoad: worker.reportedLoad,
			ReportedLoadAtMillis: worker.reportedLoadAt,
			HeardAtMillis:        worker.heardAt, Suspicion: worker.suspicion.score,
			SuspicionAtMillis: worker.suspicion.updatedAt,
			Overloaded:        worker.overloaded,
			SlowStartAtMillis: worker.slowStartAt, SlowStartDebtUnits: worker.slowStartDebt}
		saved.Rejections, saved.RejectionsAtMillis = make([]float64, len(e.acceptingFraction)), make([]float64,
			len(e.acceptingFraction))
		for k, score := range worker.rejections {
			saved.Rejections[k], saved.RejectionsAtMillis[k] = score.score, score.updatedAt
		}
		handoff.Workers = append(handoff.Workers, saved)
	}
	for i, kind := range e.machineKinds {
		handoff.Kinds = append(handoff.Kinds, MachineKindState{i, kind.responseMillis, kind.responses})
	}
	for i := range e.peers {
		peer := &e.peers[i]
		handoff.Peers = append(handoff.Peers, PeerState{peer.heardAt, peer.reportedAt, peer.reportDueSince,
			peer.reportsHeardAt, peer.silent, peer.lost,
			append([]Report(nil), peer.lastReports...)})
	}
	for i := range e.plans {
		handoff.ShortDeadlineSuccess, handoff.AttemptMillis = append(handoff.ShortDeadlineSuccess,
			e.plans[i].shortDeadlineSuccess),
			append(handoff.AttemptMillis, e.plans[i].attemptMillis)
	}
	return handoff
}

// Resume takes over what a predecessor on this machine has left, before the first txn, and has it changed to
// this charter from the one that it went by. What does not fit is not taken. The worker of a Standing, and a
// kind, are this gatekeeper's own indices.
func (e *Engine) RestoreHandoff(handoff HandoffState) {
	if len(handoff.ShortDeadlineSuccess) != len(e.plans) || handoff.AtMillis > e.now+stallMillis {
		return
	}
	if mine := e.settings; !reflect.DeepEqual(mine, handoff.Settings) {
		if !e.Reconfigure(handoff.Settings) {
			return
		}
		defer e.Reconfigure(mine)
	}
	if len(handoff.Peers) != len(e.peers) {
		return
	}
	e.rateLimitBase = handoff.RateLimitBaseMillis
	e.startedAt, e.window, e.pressure, e.windowCutAt, e.responseMillis = handoff.StartedAtMillis, handoff.Window,
		handoff.Pressure, handoff.WindowCutAtMillis,
		handoff.ResponseMillis
	e.meanLoad, e.warmUnits, e.warmUnitsPerWorker, e.warmUnitsAt = handoff.MeanWorkerLoad, handoff.WarmWorkUnits,
		handoff.WarmWorkUnitsPerWorker,
		handoff.WarmWorkAtMillis
	e.slowRequests, e.lostRequests, e.nextReportAt = decayingScore{handoff.SlowRequests,
		handoff.SlowRequestsAtMillis}, decayingScore{handoff.LostRequests,
		handoff.LostRequestsAtMillis}, handoff.NextReportAtMillis
	for i := range e.plans {
		e.plans[i].shortDeadlineSuccess, e.plans[i].attemptMillis = handoff.ShortDeadlineSuccess[i],
			handoff.AttemptMillis[i]
		e.plans[i].deriveRate()
	}
	for _, saved := range handoff.Kinds {
		if saved.MachineKind < len(e.machineKinds) {
			e.machineKinds[saved.MachineKind] = machineKind{saved.ResponseMillis, saved.Responses}
		}
	}
	for _, saved := range handoff.Workers {
		if saved.Worker >= len(e.workers) || e.workers[saved.Worker].StartedAtMillis != saved.StartedAtMillis ||
			len(saved.Rejections) != len(e.plans)*len(e.products) ||
			len(saved.RejectionsAtMillis) != len(saved.Rejections) {
			continue // what started anew since is another process, cold, and keeps what is known of that
		}
		worker := &e.workers[saved.Worker]
		worker.responseMillis, worker.responseAt, worker.reportedLoad, worker.reportedLoadAt,
			worker.heardAt = saved.ResponseMillis, saved.ResponseAtMillis, saved.ReportedLoad,
			saved.ReportedLoadAtMillis, saved.HeardAtMillis
		worker.suspicion, worker.overloaded, worker.slowStartAt, worker.slowStartDebt =
			decayingScore{saved.Suspicion, saved.SuspicionAtMillis}, saved.Overloaded,
			saved.SlowStartAtMillis, saved.SlowStartDebtUnits
		clear(worker.rejections)
		for i := range saved.Rejections {
			if saved.Rejections[i] != 0 {
				e.rejectionsOf(worker)[i] = decayingScore{saved.Rejections[i], saved.RejectionsAtMillis[i]}
			}
		}
		e.markSuspect(worker)
	}
	for i, saved := range handoff.Peers {
		e.peers[i] = peerRecord{saved.HeardAtMillis, saved.ReportedAtMillis, saved.ReportDueSinceMillis,
			saved.ReportsHeardAtMillis,
			saved.Silent, saved.Lost, saved.LastReports}
	}
	e.countSilentPeers()
	for _, saved := range handoff.Customers {
		if saved.Plan < 0 || saved.Plan >= len(e.plans) || saved.SetSize < 0 ||
			saved.SetSize > e.derived.gatewayCount || saved.FirstGateway < 0 ||
			saved.FirstGateway >= e.derived.gatewayCount {
			continue
		}
		if _, known := e.accountByCustomer[uint32(saved.ID)]; known {
			continue
		}
		account := &e.accounts[e.openAccount(saved.ID, saved.Plan)]
		account.setSize, account.firstGateway, account.requests, account.silentPeers, account.shareTokens,
			account.quotaTokens = saved.SetSize, saved.FirstGateway, saved.Requests, saved.SilentPeers,
			saved.ShareTokens, saved.QuotaTokens
		account.filledAt, account.peerDemand, account.peerSpent, account.silentPeerDemand, account.peerDemandAt =
			saved.FilledAtMillis, saved.PeerDemand, saved.PeerSpentUnits,
			saved.SilentPeerDemand, saved.PeerDemandAtMillis
		account.decayedDemand, account.recentDemand, account.lastRequestAt, account.coolSince = saved.OwnDemand,
			saved.RecentDemand, saved.LastRequestAtMillis,
			saved.CoolSinceMillis
		account.rateLimitFullAt, account.unreportedUnits, account.reportedDemand,
			account.reportedAt = saved.RateLimitFullAtMillis, saved.UnreportedUnits, saved.ReportedDemand,
			saved.ReportedAtMillis
		account.previousReportedDemand, account.hot, account.predecessorInFlight, account.inFlight,
			account.uncollectedUnits, account.creditAt = saved.PreviousReportedDemand, saved.Hot, saved.InFlight,
			saved.InFlight,
			saved.UncollectedRepayment, saved.CreditAtMillis
		if account.setSize == 0 {
			e.remoteOnlyAccounts++
		}
		e.updateShare(account)
	}
	e.rebuildReady()
}

// Alone tells that the predecessor has ended: none of its submissions is out any more.
func (e *Engine) PredecessorEnded() {
	for i := range e.accounts {
		account := &e.accounts[i]
		account.inFlight, account.predecessorInFlight = account.inFlight-account.predecessorInFlight, 0
	}
}

// Residue is what a former life of this gatekeeper has left that did not end in peace.
type CrashState struct {
	RateLimitBaseMillis              float64 // ceilings of all other customers are taken as spent at this time
	RateLimits                       []SpentRateLimit
	Window, Pressure, ResponseMillis float64 // nought where they are not known, or too old to go by
}

// Spent says when a customer's slice of its ceiling is full again.
type SpentRateLimit struct {
	Customer     uint64
	Plan         int
	FullAtMillis float64
}

// Remember takes a former life's residue, before the first txn. What it does not know, or what does not fit
// this charter, is as after any start.
func (e *Engine) RestoreCrashState(crash CrashState) {
	e.rateLimitBase = math.Min(crash.RateLimitBaseMillis, e.rateLimitBase)
	for _, spent := range crash.RateLimits {
		if _, known := e.accountByCustomer[uint32(spent.Customer)]; known || spent.Plan < 0 ||
			spent.Plan >= len(e.plans) ||
			e.remoteOnlyAccounts >= maxRemoteAccounts {
			// later than true, for all that are not known
			e.rateLimitBase = math.Max(e.rateLimitBase, spent.FullAtMillis)
			continue
		}
		e.accounts[e.openAccount(spent.Customer, spent.Plan)].rateLimitFullAt = spent.FullAtMillis
		e.remoteOnlyAccounts++ // its first txn fills the rest in
	}
	if crash.Window > 0 && crash.ResponseMillis > 0 && crash.Pressure >= 0 {
		e.window, e.pressure, e.responseMillis = math.Max(e.window, crash.Window), crash.Pressure,
			crash.ResponseMillis
	}
}

// Pressure tells how pressed the gatekeeper is, as a residue has it.
func (e *Engine) Congestion() (window, press, pace float64) {
	return e.window, e.pressure, e.responseMillis
}

// Residue gives what is spent of ceilings, for a life after this one.
func (e *Engine) CrashState() (base float64, all []SpentRateLimit) {
	for i := range e.accounts {
		account := &e.accounts[i]
		if full := e.rateLimitFullAt(account); account.live && full > e.now {
			all = append(all, SpentRateLimit{account.id, account.plan, full})
		}
	}
	return e.rateLimitBase, all
}

// Resize tells that there are so many gatekeepers from now on.
func (e *Engine) SetGatewayCount(n int) {
	if settings := e.settings; n != e.derived.gatewayCount && n > settings.GatewayIndex {
		settings.GatewayCount = n
		e.Reconfigure(settings)
	}
}

// Recharter tells that another charter is in force from now on: other rates and depths of the same plans,
// another number of gatekeepers, another part withheld. It is false, and nothing changes, where more of
// it differs. This one keeps its place, and so do the others that stay; those beyond the number have ended.
// Customers' parts follow their sets, as their txns say.
//
// No store holds more by the change. What was spent of a ceiling stays spent, in units: one that grows fills
// at its new pace from what there was, one that shrinks holds at most its new depth less what is spent, and
// a new one holds nothing. Where a part is withheld, all that is spent counts against the rest; where it is
// given free again, what was not spent of it is there.
func (e *Engine) Reconfigure(settings Settings) bool {
	gatewayCount := max(settings.GatewayCount, 1)
	if settings.GatewayIndex != e.derived.gatewayIndex || gatewayCount <= settings.GatewayIndex ||
		len(settings.Plans) != len(e.plans) ||
		len(settings.Products) != len(e.products) {
		return false
	}
	for i := gatewayCount; i < e.derived.gatewayCount; i++ {
		e.setPeerSilent(i, false, false) // nothing is held for those that are no more
	}
	// sets may change, and customers not known here be spent at those that had been theirs
	if gatewayCount != e.derived.gatewayCount {
		e.rateLimitBase = e.now
	}
	for i := range e.accounts {
		if account := &e.accounts[i]; account.live {
			e.refill(account)
			// its next txn says what its set is now
			if account.setSize > 0 && (account.firstGateway >= gatewayCount || account.setSize > gatewayCount) {
				account.rateLimitFullAt = math.Max(account.rateLimitFullAt,
					e.now+e.plans[account.plan].fullRefillMillis())
			}
			account.setSize, account.firstGateway = min(account.setSize, gatewayCount),
				account.firstGateway%gatewayCount
		}
	}
	// for what follows from the charter
	fresh, previousPlans, previousSettings := New(settings, 0), e.plans, e.settings
	if e.initialPlans == nil {
		e.initialPlans = previousSettings.Plans
	}
	for i := range fresh.plans {
		fresh.plans[i].shortDeadlineSuccess, fresh.plans[i].attemptMillis = previousPlans[i].shortDeadlineSuccess,
			previousPlans[i].attemptMillis
		fresh.plans[i].deriveRate()
		fresh.plans[i].restrict(&settings, settings.Plans[i].WithheldFraction)
		fresh.plans[i].recordedRatePerMilli = minPositive(fresh.plans[i].rateLimitPerMilli,
			e.initialPlans[i].RateLimitPerSecond/1000)
		e.advanceRateLimitBase(&fresh.plans[i], previousSettings.Plans[i], settings.Plans[i])
	}
	if settings.QuotaWithoutGossip { // what would be told of demand is not what is asked
		fresh.derived.gossip, fresh.derived.immediatePerMilli = false, 0
	}
	// What the others have spent in between is not known, unless all of it is as after a start.
	unknown := (previousSettings.QuotaWithoutGossip || settings.QuotaWithoutGossip) && !e.startedEmpty
	switch {
	case settings.QuotaWithoutGossip && !previousSettings.QuotaWithoutGossip:
		e.startedEmpty = len(e.accountByCustomer) == 0
	case !settings.QuotaWithoutGossip && previousSettings.QuotaWithoutGossip && !e.startedEmpty:
		e.gossipResumedAt = e.now
	}
	copy(fresh.peers, e.peers)
	e.settings, e.derived, e.plans, e.peers, e.silentPrefix, e.hotPrefix = settings, fresh.derived, fresh.plans,
		fresh.peers, fresh.silentPrefix, fresh.hotPrefix
	e.countSilentPeers()
	for i := range e.accounts {
		if account := &e.accounts[i]; account.live {
			plan := &e.plans[account.plan]
			account.rateLimitFullAt = e.rescaledFullAt(account, &previousPlans[account.plan],
				previousSettings.Plans[account.plan], settings.Plans[account.plan])
			if unknown {
				account.hot, account.peerDemand, account.silentPeerDemand, account.silentPeers,
					account.quotaTokens = false, 0, 0, 0, 0
			}
			e.updateShare(account)
			account.shareTokens, account.quotaTokens = math.Min(account.shareTokens, e.storeDepth(plan,
				account.sharePerMilli)), math.Min(account.quotaTokens, e.storeDepth(plan, plan.ratePerMilli))
		}
	}
	for i := range e.requests {
		// its clearance lapses
		if request := &e.requests[i]; request.live && request.clearance == clearanceGranted &&
			e.plans[request.plan].blocked() {
			request.deadline = math.Min(request.deadline, e.now)
			e.pending = append(e.pending, int32(i))
		}
	}
	e.rebuildReady()
	e.window = math.Max(e.window, e.minWindow())
	return true
}

// narrow leaves a plan what is this gatekeeper's own. Where its quota goes without words all peers count as
// unheard: the split leaves each gatekeeper an even part of alpha x rate, which is the cold slice.
func (plan *planParams) restrict(settings *Settings, withheld float64) {
	plan.rateLimitBurst *= 1 - withheld
	if withheld < 1 { // one that is shut still fills
		plan.rateLimitPerMilli *= 1 - withheld
	}
	if settings.QuotaWithoutGossip {
		plan.sparse, plan.allowsExcess = false, false
		plan.ratePerMilli, plan.targetInFlight = plan.ratePerMilli*coldShareFraction,
			plan.targetInFlight*coldShareFraction
		plan.deriveRate()
	}
}

// shut tells whether nothing passes under a plan's ceiling.
func (plan *planParams) blocked() bool {
	return plan.rateLimitPerMilli > 0 && plan.rateLimitBurst <= 0 || plan.rateLimitPerMilli <= 0 &&
		plan.rateLimitBurst > 0
}

// lesser gives the lower one of two rates, of which 0 is none.
func minPositive(a, b float64) float64 {
	if a > 0 && b > 0 {
		return math.Min(a, b)
	}
	return math.Max(a, b)
}

// rebase sees that customers that are not known find no more in a ceiling that grows, or is new, than those
// that are. It falls on all plans: there is one base.
func (e *Engine) advanceRateLimitBase(plan *planParams, from, to Plan) {
	had := from.RateLimitBurst
	if from.RateLimitPerSecond <= 0 {
		had = 0
	}
	if to.RateLimitPerSecond > 0 && to.RateLimitBurst > had {
		e.rateLimitBase = math.Max(e.rateLimitBase, e.now-had/to.RateLimitPerSecond*1000)
	}
}

// respent is the moment at which a customer's slice of a ceiling that has changed is full again.
func (e *Engine) rescaledFullAt(account *customerAccount, previous *planParams, from, to Plan) float64 {
	plan := &e.plans[account.plan]
	if to.RateLimitPerSecond <= 0 {
		return account.rateLimitFullAt
	}
	units := to.RateLimitBurst
	if from.RateLimitPerSecond > 0 {
		spent := math.Max(account.rateLimitFullAt-e.now, 0) * previous.rateLimitPerMilli
		units = math.Min(spent+math.Max(to.RateLimitBurst-from.RateLimitBurst, 0), to.RateLimitBurst)
	}
	// it may have been opened meanwhile, and then has not been taken as spent
	if previous.blocked() && account.setSize > 0 {
		units = math.Max(units, to.RateLimitBurst-math.Max(e.now-e.rateLimitBase, 0)*to.RateLimitPerSecond/1000)
	}
	return e.now + units/plan.rateLimitPerMilli
}

// Recall tells that submission n of a txn, the newest, never began: what it was decided by had run out. The
// txn is decided on anew, the first time as if it had just come; what it took stays taken. It is false where
// that can't be, and the submission has Ended as NotSent.
func (e *Engine) RetractAttempt(id uint64, attemptIndex int) bool {
	slot, ok := e.byID[id]
	if !ok || attemptIndex < 0 || attemptIndex != len(e.requests[slot].attempts)-1 ||
		!e.requests[slot].attempts[attemptIndex].inFlight {
		return false
	}
	request := &e.requests[slot]
	e.endAttempt(request, &request.attempts[attemptIndex])
	e.releaseReferences(request.attempts[attemptIndex:])
	request.attempts = request.attempts[:attemptIndex]
	if attemptIndex == 0 {
		e.releaseReservation(request)
	}
	if e.plans[request.plan].blocked() { // also one that was cleared, or has been sent before
		request.deadline = math.Min(request.deadline, e.now)
	}
	e.pending = append(e.pending, slot)
	return true
}

// spentFor is how long a slice of a plan's ceiling that is spent takes to be full, ms; 0 where there is none.
func (plan *planParams) fullRefillMillis() float64 {
	if plan.rateLimitPerMilli <= 0 {
		return 0
	}
	return plan.rateLimitBurst / plan.rateLimitPerMilli
}

// Returned tells that a peer has started anew, knowing nothing: what its former life told counts no more. It
// will tell its demand from nought on, and both would be counted.
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
				(peer.heardAt-e.now)/e.plans[account.plan].demandWindowMillis), 0)
			e.updateShare(account)
		}
	}
	peer.lastReports = peer.lastReports[:0]
}
