package emulator

import (
	"math"

	"willowdeck/internal/policy"
)

// What an instance may retain over its death (GatekeeperSpec.Retained is a sum of them). Each is an upper
// bound of what a checkpoint or a peer could bring: no real instance could retain state so complete and so
// fresh.
const (
	RetainRateLimits = 1 << iota // use of rate limits
	RetainQuotas                 // levels of quota shares, demand, and what peers reported
	RetainWorkers                // state, response times and slow start of workers
	RetainPressure               // concurrency window, response time and pressure
	// quotas of a checkpoint that is up to 100 ms old, as the gateway restores them
	RetainCheckpoints
	RetainIncarnations // no state: peers learn of the restart, as instances of a host do
	RetainSlowStart    // slow start of workers that are not warm, alone
)

// scheduleCheckpoints has the instance take checkpoints for ever, each instance at a phase of its own.
func (g *gatekeeper) scheduleCheckpoints() {
	_, phase := math.Modf(float64(g.index) * math.Phi)
	var again func()
	again = func() {
		if engine, ok := g.decider.(*policy.Engine); ok && g.up && !g.stalled {
			from := engine.Checkpoint(&g.checkpoint, 0, g.sim.nowMillis)
			for from > 0 { // it is taken in parts
				from = engine.Checkpoint(&g.checkpoint, from, g.sim.nowMillis)
			}
			g.checkpointedIncarnations = append(g.checkpointedIncarnations[:0], g.peerIncarnations...)
		}
		g.sim.schedule(policy.CheckpointIntervalMillis, again)
	}
	g.sim.schedule(phase*policy.CheckpointIntervalMillis, again)
}

// retained returns what is left of the former incarnation's state at a new one's start.
func (g *gatekeeper) retained(state policy.HandoffState) policy.HandoffState {
	retained := g.sim.scenario.Gatekeepers.Retained
	if retained&RetainQuotas == 0 {
		started := g.sim.clockMillis()
		if retained&RetainRateLimits != 0 {
			started = state.StartedAtMillis // rate limits of unknown customers are full
		}
		state.StartedAtMillis, state.RateLimitBaseMillis = g.sim.clockMillis(), started
		for i := range state.Peers {
			state.Peers[i] = policy.PeerState{}
		}
		for i := range state.ShortDeadlineSuccess { // as after a start
			state.ShortDeadlineSuccess[i] = 1
		}
		state.NextReportAtMillis = g.sim.clockMillis() + g.sim.scenario.reportPeriodMillis()*g.seeds.Float64()
	}
	state.Customers = g.retainedCustomers(state)
	if retained&RetainWorkers == 0 {
		g.forgetWorkers(&state)
	}
	if retained&RetainPressure == 0 {
		state.Window, state.Pressure, state.WindowCutAtMillis, state.ResponseMillis, state.MeanWorkerLoad = 0, 0,
			0, 0, 0
		state.SlowRequests, state.LostRequests = 0, 0
	}
	return state
}

// retainedCustomers returns what is known of customers after a restart.
func (g *gatekeeper) retainedCustomers(state policy.HandoffState) []policy.CustomerState {
	retained := g.sim.scenario.Gatekeepers.Retained
	var customers []policy.CustomerState
	for _, c := range state.Customers {
		switch {
		case retained&RetainRateLimits == 0 && retained&RetainQuotas == 0:
			continue
		case retained&RetainQuotas == 0: // as of one known from peers alone: its first request fills in the rest
			c = policy.CustomerState{ID: c.ID, Plan: c.Plan, FirstGateway: c.FirstGateway,
				RateLimitFullAtMillis: c.RateLimitFullAtMillis, QuotaTokens: math.Inf(1),
				FilledAtMillis: state.AtMillis, LastRequestAtMillis: state.AtMillis, CoolSinceMillis: state.AtMillis}
		case retained&RetainRateLimits == 0:
			if p := g.sim.scenario.Plans[c.Plan]; p.RateLimitPerSecond > 0 { // taken as used up, as after any start
				c.RateLimitFullAtMillis = g.sim.clockMillis() + p.RateLimitBurst/p.RateLimitPerSecond*1000
			}
		}
		customers = append(customers, c)
	}
	return customers
}

// forgetWorkers leaves of the workers their slow start, where that is retained: all else is as of workers
// that were just added.
func (g *gatekeeper) forgetWorkers(state *policy.HandoffState) {
	retained := g.sim.scenario.Gatekeepers.Retained
	if state.Kinds = nil; retained&RetainSlowStart == 0 {
		state.Workers = nil
	}
	for i, worker := range state.Workers {
		state.Workers[i] = policy.WorkerState{Worker: worker.Worker, StartedAtMillis: worker.StartedAtMillis,
			ReceivedAtMillis: g.sim.clockMillis(), SlowStartAtMillis: worker.SlowStartAtMillis,
			SlowStartDebtUnits: worker.SlowStartDebtUnits, Rejections: make([]float64, len(worker.Rejections)),
			RejectionsAtMillis: make([]float64, len(worker.RejectionsAtMillis))}
	}
	state.WarmWorkUnits, state.WarmWorkAtMillis = 0, state.AtMillis
}
