package emulator

import (
	"math"
	"math/rand"

	"willowdeck/internal/policy"
)

// baseline is a policy to compare with: one attempt for each transaction, and no gossip. It only runs here.
type baseline struct {
	sim              *simulation
	index            int
	rng              *rand.Rand
	nowMillis        float64
	endpoints        []policy.Endpoint
	transactions     map[uint64]*baselineTransaction
	decisions        []policy.Decision
	staticQuotas     map[int]*tokenBucket // by customer, like staticRateLimits
	staticRateLimits map[int]*tokenBucket
}

// baselineTransaction is a transaction of a baseline.
type baselineTransaction struct {
	request        policy.Request
	deadlineMillis float64
	attempts       int
}

// AdvanceTo sets the time.
func (b *baseline) AdvanceTo(now float64) { b.nowMillis = now }

// ReceiveReports ignores a peer's reports.
func (b *baseline) ReceiveReports(int, []policy.Report) {}

// ClientGone forgets a transaction.
func (b *baseline) ClientGone(id uint64) { delete(b.transactions, id) }

// NextDecision returns the next decision.
func (b *baseline) NextDecision() (policy.Decision, bool) {
	if len(b.decisions) == 0 {
		return policy.Decision{}, false
	}
	d := b.decisions[0]
	b.decisions = b.decisions[1:]
	return d, true
}

// UpdateEndpoints replaces the endpoint list, or some of its entries.
func (b *baseline) UpdateEndpoints(list []policy.Endpoint, partial bool) {
	if !partial {
		b.endpoints = append([]policy.Endpoint(nil), list...)
		return
	}
	for _, p := range list {
		for i := range b.endpoints {
			if b.endpoints[i].Worker == p.Worker {
				b.endpoints[i] = p
			}
		}
	}
}

// AddRequest decides on a new transaction.
func (b *baseline) AddRequest(a policy.Request) {
	transaction := &baselineTransaction{request: a, deadlineMillis: b.nowMillis + a.TimeLeftMillis}
	b.transactions[a.ID] = transaction
	if wait, ok := b.admit(a); !ok {
		b.finish(transaction, policy.Reject, wait)
		return
	}
	if x := b.chooseWorker(a); x >= 0 {
		b.submit(transaction, x)
		return
	}
	b.finish(transaction, policy.Reject, 100)
}

// submit decides on an attempt.
func (b *baseline) submit(transaction *baselineTransaction, worker int) {
	b.decisions = append(b.decisions, policy.Decision{Kind: policy.Submit, RequestID: transaction.request.ID,
		Worker: worker, Attempt: transaction.attempts,
		WaitMillis: transaction.deadlineMillis - b.nowMillis - 1})
	transaction.attempts++
}

// finish decides on a transaction's response.
func (b *baseline) finish(transaction *baselineTransaction, kind policy.DecisionKind, waitMillis float64) {
	b.decisions = append(b.decisions, policy.Decision{Kind: kind, RequestID: transaction.request.ID,
		WaitMillis: waitMillis})
	delete(b.transactions, transaction.request.ID)
}

// AttemptEnded decides after an attempt: one that certainly did not run is retried by the policies that see
// the state.
func (b *baseline) AttemptEnded(id uint64, _ int, o policy.Outcome, _ float64, closed bool) {
	transaction := b.transactions[id]
	if transaction == nil || closed || o == policy.Succeeded {
		delete(b.transactions, id)
		return
	}
	never := o == policy.ConnectFailed || o == policy.NotSent || o == policy.Overloaded
	again := b.sim.scenario.Policy == "seer" || b.sim.scenario.Policy == "late"
	if never && again && transaction.deadlineMillis-b.nowMillis > 5 &&
		transaction.attempts < b.sim.scenario.Gatekeepers.MaxAttempts {
		if x := b.chooseWorker(transaction.request); x >= 0 {
			b.submit(transaction, x)
			return
		}
	}
	if never || b.sim.scenario.Products[transaction.request.Product].Idempotency == "inquiry" {
		b.finish(transaction, policy.Reject, 0)
		return
	}
	b.finish(transaction, policy.RejectUncertain, 0)
}

// admit takes the units from quota and rate limit, as far as the policy sees them, or returns how long to
// wait.
func (b *baseline) admit(a policy.Request) (waitMillis float64, ok bool) {
	p, instances := &b.sim.scenario.Plans[a.Plan], 1.0
	quotas, rateLimits := b.sim.quotas, b.sim.rateLimits
	switch b.sim.scenario.Policy {
	case "open":
		return 0, true
	case "static":
		instances, quotas, rateLimits = float64(max(a.SetSize, 1)), b.staticQuotas, b.staticRateLimits
	}
	customer := int(a.Customer)
	depth := math.Max(p.QuotaBurst/instances, b.sim.scenario.maxUnits()) +
		p.CreditSeconds*p.QuotaPerSecond/instances
	quota := quotas[customer]
	if quota == nil {
		quota = &tokenBucket{tokens: depth, filledAtMillis: b.nowMillis}
		quotas[customer] = quota
	}
	if p.RateLimitPerSecond > 0 {
		rateLimit := rateLimits[customer]
		if rateLimit == nil { // a former incarnation may have used its share
			rateLimit = &tokenBucket{filledAtMillis: b.nowMillis}
			if instances == 1 {
				rateLimit.tokens = p.RateLimitBurst
			}
			rateLimits[customer] = rateLimit
		}
		if !rateLimit.take(b.nowMillis, p.RateLimitPerSecond/instances, p.RateLimitBurst/instances, a.Units) {
			return (a.Units - rateLimit.tokens) / p.RateLimitPerSecond * instances * 1000, false
		}
	}
	if b.sim.scenario.Policy == "late" {
		return b.sim.viewLate().admit(b.index, customer, p.QuotaPerSecond, depth, a.Units)
	}
	if !quota.take(b.nowMillis, p.QuotaPerSecond/instances, depth, a.Units) {
		return (a.Units - quota.tokens) / p.QuotaPerSecond * instances * 1000, false
	}
	return 0, true
}

// chooseWorker returns a random active worker, or for the policy that sees the true state the one with the
// lowest cost that is not cold; -1 where there is none.
func (b *baseline) chooseWorker(policy.Request) int {
	if b.sim.scenario.Policy == "late" {
		return b.sim.viewLate().chooseWorker(b)
	}
	if b.sim.scenario.Policy != "seer" {
		n := 0
		picked := -1
		for _, p := range b.endpoints {
			if p.Active {
				if n++; b.rng.Intn(n) == 0 {
					picked = p.Worker
				}
			}
		}
		return picked
	}
	best, leastCost, offset := -1, math.Inf(1), b.rng.Intn(len(b.sim.workers))
	for i := range b.sim.workers {
		candidate := b.sim.workers[(i+offset)%len(b.sim.workers)]
		view := b.sim.gatekeepers[b.index].endpoints[candidate.index]
		if !candidate.active() || candidate.unresponsive || candidate.capacityFraction() < 1 || !view.active ||
			view.incarnation != candidate.incarnation {
			continue
		}
		cost := (float64(candidate.busyCores+len(candidate.queue)+candidate.inbound) +
			1) * candidate.slowFactor * (1 + 20*candidate.failureRate + 20*candidate.lossRate)
		if cost < leastCost {
			best, leastCost = candidate.index, cost
		}
	}
	return best
}
