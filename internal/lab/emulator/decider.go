package emulator

import (
	"math/rand"

	"willowdeck/internal/policy"
)

// decider decides for an instance: the policy itself, or a baseline that takes the same calls.
type decider interface {
	AdvanceTo(now float64)
	UpdateEndpoints(list []policy.Endpoint, partial bool)
	AddRequest(a policy.Request)
	AttemptEnded(id uint64, n int, o policy.Outcome, took float64, closed bool)
	ClientGone(id uint64)
	ReceiveReports(from int, reports []policy.Report)
	NextDecision() (policy.Decision, bool)
}

// newDecider returns the decider of an instance.
func (sim *simulation) newDecider(index int, seed int64) decider {
	var decider decider
	if sim.scenario.Policy == "willowdeck" || sim.scenario.Policy == "deep" {
		decider = policy.New(sim.scenario.policySettings(index), seed)
	} else {
		decider = &baseline{sim: sim, index: index, rng: rand.New(rand.NewSource(seed)),
			transactions: map[uint64]*baselineTransaction{},
			staticQuotas: map[int]*tokenBucket{}, staticRateLimits: map[int]*tokenBucket{}}
	}
	if sim.wrapDecider != nil {
		decider = sim.wrapDecider(index, decider)
	}
	return decider
}
