package edge

import (
	"math/rand"
	"slices"
	"sync"
	"time"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/loadreport"
	"willowdeck/internal/serving/retrybudget"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/slowstart"
	"willowdeck/internal/serving/wirepb"
)

// noWorkerRetryAfter is stated to a client where no worker is known that may get its request.
const noWorkerRetryAfter = 400 * time.Millisecond

// decisions is what the requests of an edge share to decide by: the load balancer, the limits of workers that
// are warming up, and the retry budgets. It is safe for concurrent use.
type decisions struct {
	bounds settings.Bounds
	paths  *pathMonitor

	mu           sync.Mutex // guards what follows
	balancer     *loadbalancer.Balancer
	peerLoads    *loadreport.Peers
	slowStart    *slowstart.Limiter
	retryBudgets map[string]*retrybudget.Budget // by service
	random       *rand.Rand
}

func newDecisions(config *settings.Settings, paths *pathMonitor, random *rand.Rand) *decisions {
	return &decisions{
		paths:        paths,
		bounds:       config.Bounds,
		balancer:     loadbalancer.New(config.Zone, config.Region, random),
		peerLoads:    loadreport.New(),
		slowStart:    slowstart.New(config.NodeName),
		retryBudgets: map[string]*retrybudget.Budget{},
		random:       random,
	}
}

// drawService draws the service of a request by the route's weights, among the services with workers where
// there are any.
func (d *decisions) drawService(table *routingTable, route *configuration.Route) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	splits := route.Backends()
	total, served := 0.0, 0.0
	for _, split := range splits {
		total += split.Weight
		if len(table.workersByService[split.Backend]) > 0 {
			served += split.Weight
		}
	}
	draw := d.random.Float64() * total
	if served > 0 {
		draw = d.random.Float64() * served
	}
	chosen := splits[0].Backend
	for _, split := range splits {
		if split.Weight <= 0 || served > 0 && len(table.workersByService[split.Backend]) == 0 {
			continue
		}
		chosen = split.Backend
		if draw -= split.Weight; draw < 0 {
			break
		}
	}
	return chosen
}

// choose selects a worker of the service in one of the regions (none: in any) for a request and counts the
// request as sent there. Workers in excluded, by instance, are left out. Where no worker may get it, ok is
// false and retryAfter says when to come back. assigned is what other edges may be notified of.
func (d *decisions) choose(
	now time.Duration, table *routingTable, service string, regions []string,
	request *loadbalancer.Request, excluded map[string]bool,
) (chosen worker, assigned loadbalancer.PrefillNotice, retryAfter time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var candidates []worker
	for _, candidate := range table.workersByService[service] {
		if !excluded[candidate.Instance] && allowed(regions, candidate.Region) {
			candidates = append(candidates, candidate)
		}
	}
	retryAfter = noWorkerRetryAfter
	for i := range candidates {
		candidates[i].PathSuspected = d.paths.suspected(candidates[i].Zone)
	}
	d.updatePeerLoads(now, table, candidates)
	for len(candidates) > 0 {
		index := d.balancer.Choose(now, request, balancerWorkers(candidates))
		candidate := candidates[index]
		admitted, wait := d.admitWarming(now, table, service, candidate)
		if admitted {
			return candidate, d.balancer.RecordSent(now, request, candidate.Instance), 0, true
		}
		retryAfter = min(retryAfter, wait)
		candidates = slices.Delete(candidates, index, index+1)
	}
	return worker{}, loadbalancer.PrefillNotice{}, retryAfter, false
}

// updatePeerLoads brings the loads that other edges report of the candidates into the balancer. d.mu must be
// held.
func (d *decisions) updatePeerLoads(now time.Duration, table *routingTable, candidates []worker) {
	for i := range candidates {
		instance := candidates[i].Instance
		load, known := d.peerLoads.Total(now, instance, table.linkedPeers)
		d.balancer.SetPeerLoad(instance, load.InFlight, load.PrefillTokens, known && table.linkedPeers > 0)
	}
}

// admitWarming admits a request to a worker, by this edge's share of the worker's rate while that warms up.
// Where it is not admitted, wait is how long until the next one may be. d.mu must be held.
func (d *decisions) admitWarming(
	now time.Duration, table *routingTable, service string, w worker,
) (admitted bool, wait time.Duration) {
	config := table.services[service]
	if now >= w.warmingUntil || config == nil || config.WarmupRequestsPerSecond <= 0 {
		return true, 0
	}
	if table.edgeCount == 0 {
		return false, noWorkerRetryAfter // no share of the rate is safe while the number of edges is not known
	}
	limits := slowstart.Limits{
		PerSecond: config.WarmupRequestsPerSecond,
		Overshoot: d.bounds.SlowStartOvershoot, Slack: d.bounds.SlowStartSlack,
	}
	wait, admitted = d.slowStart.Admit(now, w.Instance, limits, table.edgeCount, table.demands)
	return admitted, wait
}

// balancerWorkers returns the workers in the form that the balancer takes.
func balancerWorkers(workers []worker) []loadbalancer.Worker {
	list := make([]loadbalancer.Worker, len(workers))
	for i := range workers {
		list[i] = workers[i].Worker
	}
	return list
}

// retryBudget returns the budget of a service, which it creates for a new one. d.mu must be held.
func (d *decisions) retryBudget(service string) *retrybudget.Budget {
	budget := d.retryBudgets[service]
	if budget == nil {
		budget = retrybudget.New(d.bounds.RetryBudgetRatio, d.bounds.RetryBudgetSlack, d.bounds.RetryBudgetWindow)
		budget.WithholdSlack(d.bounds.RetryBudgetWindow) // after the start of the process
		d.retryBudgets[service] = budget
	}
	return budget
}

// recordRequest counts a client's request in its service's retry budget.
func (d *decisions) recordRequest(now time.Duration, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudget(service).RecordRequest(now)
}

// allowRetry takes a retry out of a service's budget. edges is how many share its slack.
func (d *decisions) allowRetry(now time.Duration, service string, edges int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget(service).AllowRetry(now, edges)
}

// demandReports returns what this edge reports of the demand for workers that are warming up.
func (d *decisions) demandReports(now time.Duration, table *routingTable) []*wirepb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slowStart.DemandReports(now, table.edgeCount, table.demands)
}

// retain forgets the workers and edges that are not in the table.
func (d *decisions) retain(table *routingTable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Retain(func(instance string) bool {
		_, known := table.addresses[instance]
		return known
	})
	linked := map[string]bool{}
	for _, peer := range table.peers {
		if peer.Linked {
			linked[peer.Name] = true
		}
	}
	d.peerLoads.Retain(func(edge string) bool { return linked[edge] })
}
