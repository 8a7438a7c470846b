package policy

import (
	"math"
)

// This file exports, for forecasts, what an engine knows of regions, customers and its own capacity. It
// makes no decisions, and costs nothing unless it is called.

// UtilizationBounds are the upper bounds of the steps of a customer's utilization, demand over quota, by
// which Snapshot groups demand. A last step holds the demand above the last bound.
var UtilizationBounds = [...]float64{0.2, 0.4, 0.55, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10}

const (
	// MaxSnapshotSets bounds the gateway sets that a Snapshot lists. It holds the sum of the demand of all
	// others.
	MaxSnapshotSets = 64
	// snapshotAccountsPerStep bounds the customers that one call of WriteSnapshot examines, which takes 0.1
	// ms.
	snapshotAccountsPerStep = 500
)

// Snapshot is the state of one engine at one time.
type Snapshot struct {
	Regions []RegionSnapshot
	Plans   []PlanSnapshot
	// Sets is the demand of the customers by gateway set, for MaxSnapshotSets sets at most.
	Sets                     []GatewaySetSnapshot
	OtherSetsDemandPerSecond float64 // demand of customers of other sets
	Window                   float64
	InFlight                 int
	Pressure                 float64 // smoothed response time, as a fraction of the latency target
	SilentPeers              int     // peers that have to report and send nothing, but are not lost yet
	LostPeers                int
	// setIndex holds, by plan and first gateway, one more than the index in Sets of the last such set; 0 is
	// none.
	setIndex []int16
}

// RegionSnapshot is the state of the workers of one region.
type RegionSnapshot struct {
	Workers     int     // number of workers that are listed and active
	WarmWorkers float64 // their capacity, as a number of warm workers
	InFlight    int     // attempts in flight at them
}

// PlanSnapshot is the state of the customers of one plan.
type PlanSnapshot struct {
	// Customers is this gateway's part of the plan's customers: each counts as one over the number of gateways
	// in its set.
	Customers       float64 `json:"Customers"`
	DemandPerSecond float64 `json:"Demand"`
	// DemandByUtilization is the demand at this gateway by its customers' utilization at all their gateways.
	DemandByUtilization [len(UtilizationBounds) + 1]float64 `json:"Use"`
}

// GatewaySetSnapshot is the demand at this gateway of a plan's customers whose requests come through the
// Size gateways from FirstGateway on.
type GatewaySetSnapshot struct {
	Plan            int     `json:"Plan"`
	FirstGateway    int     `json:"First"`
	Size            int     `json:"Size"`
	DemandPerSecond float64 `json:"Demand"`
}

// WriteSnapshot writes a Snapshot into snapshot and reuses its memory. The first call has from at 0. Each
// call returns the from of the next one, 0 at the end. It works in steps so that nobody waits for long
// while it examines many customers.
func (e *Engine) WriteSnapshot(snapshot *Snapshot, from int) int {
	if from == 0 {
		e.snapshotWorkers(snapshot)
	}
	to := min(from+snapshotAccountsPerStep, len(e.accounts))
	for i := from; i < to; i++ {
		if account := &e.accounts[i]; account.live && account.setSize > 0 {
			e.snapshotAccount(account, snapshot)
		}
	}
	if to == len(e.accounts) {
		return 0
	}
	return to
}

// snapshotWorkers begins a snapshot with everything except the customers.
func (e *Engine) snapshotWorkers(snapshot *Snapshot) {
	*snapshot = Snapshot{Regions: snapshot.Regions[:0], Plans: snapshot.Plans[:0], Sets: snapshot.Sets[:0],
		Window:   e.window,
		InFlight: e.inFlight,
		Pressure: e.pressure, setIndex: snapshot.setIndex}
	for len(snapshot.setIndex) < len(e.plans)*e.derived.gatewayCount {
		snapshot.setIndex = append(snapshot.setIndex, 0)
	}
	clear(snapshot.setIndex)
	for i := range e.workers {
		worker := &e.workers[i]
		for len(snapshot.Regions) <= worker.Zone {
			snapshot.Regions = append(snapshot.Regions, RegionSnapshot{})
		}
		region := &snapshot.Regions[worker.Zone]
		if region.InFlight += worker.inFlight; worker.inEndpoints {
			region.Workers++
			region.WarmWorkers += e.warmFraction(worker.StartedAtMillis)
		}
	}
	for i := range e.peers {
		if peer := &e.peers[i]; peer.lost {
			snapshot.LostPeers++
		} else if peer.silent {
			snapshot.SilentPeers++
		}
	}
	for range e.plans {
		snapshot.Plans = append(snapshot.Plans, PlanSnapshot{})
	}
}

// snapshotAccount adds a customer to a snapshot.
func (e *Engine) snapshotAccount(account *customerAccount, snapshot *Snapshot) {
	plan, own := &snapshot.Plans[account.plan], e.ownDemand(account)*1000
	plan.Customers += 1 / float64(account.setSize)
	plan.DemandPerSecond += own
	utilization, step := 0.0, 0
	if rate := e.plans[account.plan].ratePerMilli * 1000; rate > 0 {
		if utilization = own * float64(account.setSize) / rate; account.hot {
			utilization = e.totalDemand(account) * 1000 / rate
		}
	}
	for step < len(UtilizationBounds) && utilization > UtilizationBounds[step] {
		step++
	}
	plan.DemandByUtilization[step] += own
	first, size := account.firstGateway, account.setSize
	if size == e.derived.gatewayCount {
		first = 0 // all gateways, whichever is the first
	}
	at := &snapshot.setIndex[(account.plan*e.derived.gatewayCount+first)%len(snapshot.setIndex)]
	if i := int(*at) - 1; i >= 0 {
		if set := &snapshot.Sets[i]; set.Size == size && set.FirstGateway == first && set.Plan == account.plan {
			set.DemandPerSecond += own
			return
		}
	}
	if len(snapshot.Sets) == MaxSnapshotSets {
		snapshot.OtherSetsDemandPerSecond += own
		return
	}
	// Sets of different sizes with the same first gateway may be listed more than once. Readers add them up.
	snapshot.Sets = append(snapshot.Sets, GatewaySetSnapshot{account.plan, first, size, own})
	*at = int16(len(snapshot.Sets))
}

// ModelParameters are the parameters of the engine that forecasts use, derived from the settings as for
// decisions.
type ModelParameters struct {
	ReportIntervalMillis float64 // between two reports to a peer
	SilentAfterMillis    float64 // silence after which a peer counts as silent
	// LostAfterMillis is the silence after which a peer is suspected to have ended. LostHoldMillis is the time
	// after that during which its demand still counts.
	LostAfterMillis, LostHoldMillis float64
	FloorFraction                   float64 // part of a rate that is divided evenly among the gateways
	// mean response time over the latency target above which the window shrinks
	LatencyTargetFraction float64
	// fraction of the window that requests of a product (first index) and plan may fill
	WindowFraction     [][]float64
	MinWindowPerWorker float64 // least attempts in flight of one gateway for each worker
	ImmediateReports   bool    // spending is reported at once to small gateway sets
	// by plan: reports of a customer's spending arrive too late to be used
	QuotaUnseen []bool
	// by plan: admitting beyond a quota earns more than it costs
	AllowsExcess []bool
	// MinTimeLeftResponses is the time left, in mean response times, below which a request is rejected.
	// RetryAfterTargets is the time until it may be retried, in latency targets.
	MinTimeLeftResponses, RetryAfterTargets float64
}

// ModelParametersOf returns the parameters of gateways with these settings.
func ModelParametersOf(settings Settings) ModelParameters {
	e := New(settings, 0)
	model := ModelParameters{ReportIntervalMillis: e.derived.reportIntervalMillis,
		SilentAfterMillis: silentAfterIntervals * e.derived.reportIntervalMillis,
		LostAfterMillis:   peerSuspicionMillis, LostHoldMillis: lostPeerRetentionMillis,
		FloorFraction: floorFraction, LatencyTargetFraction: targetPressureFraction * e.derived.latencySlackFactor,
		WindowFraction:       e.windowFraction,
		MinTimeLeftResponses: minTimeLeftResponses, RetryAfterTargets: overloadRetryTargetFraction,
		MinWindowPerWorker: minWindowPerWorker / math.Max(float64(e.derived.gatewayCount), 1),
		ImmediateReports:   e.derived.immediatePerMilli > 0}
	for i := range e.plans {
		model.QuotaUnseen, model.AllowsExcess = append(model.QuotaUnseen, e.plans[i].sparse),
			append(model.AllowsExcess,
				e.plans[i].allowsExcess)
	}
	return model
}

// ReserveMillis returns how many ms of its peers' spending a gateway reserves from the whole quota, for a
// gateway set of that size.
func (model *ModelParameters) ReserveMillis(size int) float64 {
	if model.ImmediateReports && size <= maxImmediateSetSize {
		return immediateReportDelayMillis
	}
	return unreportedSpendIntervals * model.ReportIntervalMillis
}

// ReportSpanMillis returns the time in ms that a gateway's last reports to a gateway set of that size cover
// on average: one interval, and with immediate reports also the current interval so far, which is half of
// one on average.
func (model *ModelParameters) ReportSpanMillis(size int) float64 {
	if model.ImmediateReports && size <= maxImmediateSetSize {
		return 1.5 * model.ReportIntervalMillis
	}
	return model.ReportIntervalMillis
}

// LeastWindow returns the least congestion window of a gateway with so many warm workers.
func (model *ModelParameters) LeastWindow(warmWorkers float64) float64 {
	return minWindowFor(model.MinWindowPerWorker * math.Max(warmWorkers, 1))
}
