package policy

import (
	"reflect"
)

// This file holds the state that one process of a gateway hands off to its successor on the same machine.
// Both use the same clock.

// state returns the state of an account that a successor takes over.
func (account *customerAccount) state() CustomerState {
	return CustomerState{account.id, account.plan, account.setSize, account.firstGateway, account.requests,
		account.inFlight, account.silentPeers, account.shareTokens, account.quotaTokens, account.filledAt,
		account.peerDemand, account.peerSpent, account.silentPeerDemand, account.peerDemandAt,
		account.decayedDemand, account.recentDemand, account.lastRequestAt, account.coolSince,
		account.rateLimitFullAt, account.unreportedUnits, account.reportedDemand,
		account.reportedAt, account.previousReportedDemand, account.hot, account.uncollectedUnits, account.creditAt}
}

// HandoffState is all the state that a successor takes over. The host names the workers and machine kinds
// behind the indices.
type HandoffState struct {
	Settings            Settings // the settings that the state was computed with
	AtMillis            float64
	StartedAtMillis     float64
	RateLimitBaseMillis float64
	Customers           []CustomerState
	Workers             []WorkerState
	Kinds               []MachineKindState
	Peers               []PeerState

	Window, Pressure, WindowCutAtMillis   float64
	ResponseMillis, MeanWorkerLoad        float64
	WarmWorkUnits, WarmWorkUnitsPerWorker float64
	WarmWorkAtMillis                      float64
	SlowRequests, SlowRequestsAtMillis    float64
	LostRequests, LostRequestsAtMillis    float64
	ShortDeadlineSuccess, AttemptMillis   []float64 // by plan
	NextReportAtMillis                    float64
}

// CustomerState is the state of one customer. Demand is in units a millisecond.
type CustomerState struct {
	ID                                       uint64
	Plan, SetSize, FirstGateway              int
	Requests, InFlight, SilentPeers          int
	ShareTokens, QuotaTokens, FilledAtMillis float64
	PeerDemand, PeerSpentUnits               float64
	SilentPeerDemand, PeerDemandAtMillis     float64
	OwnDemand, RecentDemand                  float64
	LastRequestAtMillis, CoolSinceMillis     float64
	RateLimitFullAtMillis, UnreportedUnits   float64
	ReportedDemand, ReportedAtMillis         float64
	PreviousReportedDemand                   float64
	Hot                                      bool
	UncollectedRepayment, CreditAtMillis     float64
}

// WorkerState is the state of one worker.
type WorkerState struct {
	Worker                                int
	StartedAtMillis                       float64
	ResponseMillis, ResponseAtMillis      float64
	ReportedLoad, ReportedLoadAtMillis    float64
	ReceivedAtMillis                      float64
	Suspicion, SuspicionAtMillis          float64
	Rejections, RejectionsAtMillis        []float64 // by class of request
	Overloaded                            bool
	SlowStartAtMillis, SlowStartDebtUnits float64
}

// MachineKindState is the state of one kind of machine.
type MachineKindState struct {
	MachineKind               int
	ResponseMillis, Responses float64
}

// PeerState is the state of one peer.
type PeerState struct {
	ReceivedAtMillis, ReportedAtMillis, ReportDueSinceMillis, ReportsReceivedAtMillis float64
	Silent, Lost                                                                      bool
	LastReports                                                                       []Report
}

// HandOff returns the state that a successor takes over. From then on this engine only finishes its open
// requests: it admits none, sends nothing to warming workers and no reports to peers, because the successor
// uses the gateway's part of all these.
func (e *Engine) HandOff() HandoffState {
	e.handedOff = true
	for i := range e.requests { // reserved units may still be used here, so the successor gets them as spent
		if request := &e.requests[i]; request.live && request.reserved {
			hadPendingBody, stage := request.bodyPending, request.clearance
			request.bodyPending = false
			e.charge(request)
			request.bodyPending, request.clearance = hadPendingBody, stage
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
		if e.workers[i].inEndpoints {
			handoff.Workers = append(handoff.Workers, e.workerState(i))
		}
	}
	for i, kind := range e.machineKinds {
		handoff.Kinds = append(handoff.Kinds, MachineKindState{i, kind.responseMillis, kind.responses})
	}
	for i := range e.peers {
		peer := &e.peers[i]
		handoff.Peers = append(handoff.Peers, PeerState{peer.receivedAt, peer.reportedAt, peer.reportDueSince,
			peer.reportsReceivedAt, peer.silent, peer.lost,
			append([]Report(nil), peer.lastReports...)})
	}
	for i := range e.plans {
		handoff.ShortDeadlineSuccess = append(handoff.ShortDeadlineSuccess, e.plans[i].shortDeadlineSuccess)
		handoff.AttemptMillis = append(handoff.AttemptMillis, e.plans[i].attemptMillis)
	}
	return handoff
}

// workerState returns the state of a worker that a successor takes over.
func (e *Engine) workerState(index int) WorkerState {
	worker := &e.workers[index]
	saved := WorkerState{Worker: index, StartedAtMillis: worker.StartedAtMillis,
		ResponseMillis:   worker.responseMillis,
		ResponseAtMillis: worker.responseAt, ReportedLoad: worker.reportedLoad,
		ReportedLoadAtMillis: worker.reportedLoadAt,
		ReceivedAtMillis:     worker.receivedAt, Suspicion: worker.suspicion.score,
		SuspicionAtMillis: worker.suspicion.updatedAt,
		Overloaded:        worker.overloaded,
		SlowStartAtMillis: worker.slowStartAt, SlowStartDebtUnits: worker.slowStartDebt}
	saved.Rejections, saved.RejectionsAtMillis = make([]float64, len(e.acceptingFraction)), make([]float64,
		len(e.acceptingFraction))
	for k, score := range worker.rejections {
		saved.Rejections[k], saved.RejectionsAtMillis[k] = score.score, score.updatedAt
	}
	return saved
}

// RestoreHandoff applies the state that a predecessor on this machine has handed off, before the first
// request, and converts it from the predecessor's settings to those of this engine. State that does not fit
// is ignored. The worker of a WorkerState, and a machine kind, are this engine's own indices.
func (e *Engine) RestoreHandoff(handoff HandoffState) {
	if len(handoff.ShortDeadlineSuccess) != len(e.plans) || handoff.AtMillis > e.now+stallMillis {
		return
	}
	if own := e.settings; !reflect.DeepEqual(own, handoff.Settings) {
		if !e.Reconfigure(handoff.Settings) {
			return
		}
		defer e.Reconfigure(own)
	}
	if len(handoff.Peers) != len(e.peers) {
		return
	}
	e.restoreEstimates(&handoff)
	for i := range handoff.Workers {
		e.restoreWorker(&handoff.Workers[i])
	}
	for i, saved := range handoff.Peers {
		e.peers[i] = peerRecord{saved.ReceivedAtMillis, saved.ReportedAtMillis, saved.ReportDueSinceMillis,
			saved.ReportsReceivedAtMillis, saved.Silent, saved.Lost, saved.LastReports}
	}
	e.countSilentPeers()
	for i := range handoff.Customers {
		e.restoreAccount(&handoff.Customers[i])
	}
	e.rebuildReady()
}

// restoreEstimates restores the predecessor's estimates of the fleet as a whole.
func (e *Engine) restoreEstimates(handoff *HandoffState) {
	e.rateLimitBase, e.startedAt = handoff.RateLimitBaseMillis, handoff.StartedAtMillis
	e.window, e.windowCutAt = handoff.Window, handoff.WindowCutAtMillis
	e.pressure, e.responseMillis = handoff.Pressure, handoff.ResponseMillis
	e.meanLoad = handoff.MeanWorkerLoad
	e.warmUnits, e.warmUnitsPerWorker = handoff.WarmWorkUnits, handoff.WarmWorkUnitsPerWorker
	e.warmUnitsAt = handoff.WarmWorkAtMillis
	e.slowRequests = decayingScore{handoff.SlowRequests, handoff.SlowRequestsAtMillis}
	e.lostRequests = decayingScore{handoff.LostRequests, handoff.LostRequestsAtMillis}
	e.nextReportAt = handoff.NextReportAtMillis
	for i := range e.plans {
		e.plans[i].shortDeadlineSuccess = handoff.ShortDeadlineSuccess[i]
		e.plans[i].attemptMillis = handoff.AttemptMillis[i]
		e.plans[i].deriveRate()
	}
	for _, saved := range handoff.Kinds {
		if saved.MachineKind < len(e.machineKinds) {
			e.machineKinds[saved.MachineKind] = machineKind{saved.ResponseMillis, saved.Responses}
		}
	}
}

// restoreWorker restores the predecessor's state of a worker. If the worker has restarted since then, it is
// another process, and its present state as a warming worker is kept.
func (e *Engine) restoreWorker(saved *WorkerState) {
	if saved.Worker >= len(e.workers) || e.workers[saved.Worker].StartedAtMillis != saved.StartedAtMillis ||
		len(saved.Rejections) != len(e.plans)*len(e.products) ||
		len(saved.RejectionsAtMillis) != len(saved.Rejections) {
		return
	}
	worker := &e.workers[saved.Worker]
	worker.responseMillis, worker.responseAt = saved.ResponseMillis, saved.ResponseAtMillis
	worker.reportedLoad, worker.reportedLoadAt = saved.ReportedLoad, saved.ReportedLoadAtMillis
	worker.receivedAt = saved.ReceivedAtMillis
	worker.suspicion = decayingScore{saved.Suspicion, saved.SuspicionAtMillis}
	worker.overloaded = saved.Overloaded
	worker.slowStartAt, worker.slowStartDebt = saved.SlowStartAtMillis, saved.SlowStartDebtUnits
	clear(worker.rejections)
	for i := range saved.Rejections {
		if saved.Rejections[i] != 0 {
			e.rejectionsOf(worker)[i] = decayingScore{saved.Rejections[i], saved.RejectionsAtMillis[i]}
		}
	}
	e.suspect(worker)
}

// restoreAccount restores the predecessor's state of a customer that is not known here yet.
func (e *Engine) restoreAccount(saved *CustomerState) {
	if !e.fitsSets(saved) {
		return
	}
	if _, known := e.accountByCustomer[uint32(saved.ID)]; known {
		return
	}
	account := &e.accounts[e.openAccount(saved.ID, saved.Plan)]
	account.setSize, account.firstGateway = saved.SetSize, saved.FirstGateway
	account.requests, account.hot = saved.Requests, saved.Hot
	account.shareTokens, account.quotaTokens = saved.ShareTokens, saved.QuotaTokens
	account.filledAt = saved.FilledAtMillis
	account.peerDemand, account.peerDemandAt = saved.PeerDemand, saved.PeerDemandAtMillis
	account.peerSpent = saved.PeerSpentUnits
	account.silentPeers, account.silentPeerDemand = saved.SilentPeers, saved.SilentPeerDemand
	account.decayedDemand, account.recentDemand = saved.OwnDemand, saved.RecentDemand
	account.lastRequestAt, account.coolSince = saved.LastRequestAtMillis, saved.CoolSinceMillis
	account.rateLimitFullAt = saved.RateLimitFullAtMillis
	account.unreportedUnits = saved.UnreportedUnits
	account.reportedDemand, account.reportedAt = saved.ReportedDemand, saved.ReportedAtMillis
	account.previousReportedDemand = saved.PreviousReportedDemand
	account.predecessorInFlight, account.inFlight = saved.InFlight, saved.InFlight
	account.uncollectedUnits, account.creditAt = saved.UncollectedRepayment, saved.CreditAtMillis
	if account.setSize == 0 {
		e.remoteOnlyAccounts++
	}
	e.updateShare(account)
}

// fitsSets reports whether a customer's plan and gateway set exist under the settings in force.
func (e *Engine) fitsSets(saved *CustomerState) bool {
	return saved.Plan >= 0 && saved.Plan < len(e.plans) && saved.SetSize >= 0 &&
		saved.SetSize <= e.derived.gatewayCount && saved.FirstGateway >= 0 &&
		saved.FirstGateway < e.derived.gatewayCount
}

// PredecessorEnded records that the predecessor has ended: none of its attempts is in flight any more.
func (e *Engine) PredecessorEnded() {
	for i := range e.accounts {
		account := &e.accounts[i]
		account.inFlight, account.predecessorInFlight = account.inFlight-account.predecessorInFlight, 0
	}
}
