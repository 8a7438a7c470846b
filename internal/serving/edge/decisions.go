package edge

import (
	"math"
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

// noWorkerWait is what a client is told to wait where no worker is known that may get its request.
const noWorkerWait = 400 * time.Millisecond

// decisions guards what the requests of an edge share: the choice of workers, shares of cold ones, and the
// budget.
type decisions struct {
	mu       sync.Mutex
	bounds   settings.Bounds
	balancer *loadbalancer.Balancer
	peers    *loadreport.Peers
	paths    *paths
	shares   *slowstart.Limiter
	budgets  map[string]*retrybudget.Budget // by service
	random   *rand.Rand
}

func newDecisions(config *settings.Settings, paths *paths, random *rand.Rand) *decisions {
	return &decisions{
		paths:    paths,
		bounds:   config.Bounds,
		balancer: loadbalancer.New(config.Zone, config.Region, random),
		peers:    loadreport.New(),
		shares:   slowstart.New(config.NodeName),
		budgets:  map[string]*retrybudget.Budget{},
		random:   random,
	}
}

// service draws the service of a request by the route's weights, among those with workers where there are
// any.
func (d *decisions) service(t *table, route *configuration.Route) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	splits := route.Backends()
	sum, served := 0.0, 0.0
	for _, split := range splits {
		sum += split.Weight
		if len(t.workers[split.Backend]) > 0 {
			served += split.Weight
		}
	}
	draw := d.random.Float64() * sum
	if served > 0 {
		draw = d.random.Float64() * served
	}
	chosen := splits[0].Backend
	for _, split := range splits {
		if split.Weight <= 0 || served > 0 && len(t.workers[split.Backend]) == 0 {
			continue
		}
		chosen = split.Backend
		if draw -= split.Weight; draw < 0 {
			break
		}
	}
	return chosen
}

// choose picks a worker of the service for a request, and counts it as sent. Workers in excluded are left
// out. Where none may get it, the returned wait says when to come back.
func (d *decisions) choose(
	now time.Duration, t *table, service string, route *configuration.Route, request *loadbalancer.Request,
	excluded map[string]bool,
) (chosen worker, sent loadbalancer.PrefillNotice, wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var candidates []worker
	for _, candidate := range t.workers[service] {
		if !excluded[candidate.Instance] && allowed(route, candidate.Region) {
			candidates = append(candidates, candidate)
		}
	}
	wait = noWorkerWait
	for i := range candidates {
		candidates[i].PathSuspected = d.paths.suspected(candidates[i].Zone)
	}
	d.tellBalancer(now, t, candidates)
	for len(candidates) > 0 {
		index := d.balancer.Choose(now, request, plain(candidates))
		candidate := candidates[index]
		admitted, shortest := d.admitCold(now, t, service, candidate)
		if admitted {
			return candidate, d.balancer.RecordSent(now, request, candidate.Instance), 0, true
		}
		wait = min(wait, shortest)
		candidates = slices.Delete(candidates, index, index+1)
	}
	return worker{}, loadbalancer.PrefillNotice{}, wait, false
}

// tellBalancer brings what the other edges say of the candidates.
func (d *decisions) tellBalancer(now time.Duration, t *table, candidates []worker) {
	for i := range candidates {
		instance := candidates[i].Instance
		load, known := d.peers.Total(now, instance, len(t.peers))
		d.balancer.SetPeerLoad(instance, load.InFlight, load.PrefillTokens, known && len(t.peers) > 0)
	}
}

func (d *decisions) takeLoads(now time.Duration, report *wirepb.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.Record(now, report)
}

// takePrompt notes a prompt that another edge has sent.
func (d *decisions) takePrompt(now time.Duration, notice *wirepb.PromptNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordPeerPrefill(now, loadbalancer.PrefillNotice{
		Instance: notice.InstanceId, PrefillMillis: float64(notice.ReadMs), Long: notice.Long,
	})
}

// loadReport returns what this edge has in hand, at most at so many workers.
func (d *decisions) loadReport(most int) *wirepb.LoadReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := &wirepb.LoadReport{}
	for _, load := range d.balancer.OwnLoads() {
		if len(report.Loads) == most {
			break
		}
		report.Loads = append(report.Loads, &wirepb.WorkerLoad{
			InstanceId: load.Instance, InHand: uint32(load.InFlight), UnreadTokens: uint32(load.PrefillTokens),
		})
	}
	return report
}

// admitCold asks the cold share where the worker is cold.
func (d *decisions) admitCold(now time.Duration, t *table, service string, w worker) (bool, time.Duration) {
	told := t.services[service]
	if now >= w.coldUntil || told == nil || told.WarmupRequestsPerSecond <= 0 {
		return true, 0
	}
	if t.edges == 0 {
		return false, noWorkerWait // how many edges share the cold rate is not known: none of it can be used
	}
	limits := slowstart.Limits{
		PerSecond: told.WarmupRequestsPerSecond,
		Overshoot: d.bounds.SlowStartOvershoot, Slack: d.bounds.SlowStartSlack,
	}
	wait, ok := d.shares.Admit(now, w.Instance, limits, t.edges, t.demands)
	return ok, wait
}

func allowed(route *configuration.Route, region string) bool {
	return len(route.AllowedRegions) == 0 || slices.Contains(route.AllowedRegions, region)
}

func plain(workers []worker) []loadbalancer.Worker {
	list := make([]loadbalancer.Worker, len(workers))
	for i := range workers {
		list[i] = workers[i].Worker
	}
	return list
}

func (d *decisions) budget(service string) *retrybudget.Budget {
	budget := d.budgets[service]
	if budget == nil {
		budget = retrybudget.New(d.bounds.RetryBudgetRatio, d.bounds.RetryBudgetSlack, d.bounds.RetryBudgetWindow)
		d.budgets[service] = budget
	}
	return budget
}

func (d *decisions) countRequest(now time.Duration, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).RecordRequest(now)
}

func (d *decisions) allowRepeat(now time.Duration, service string, edges int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).AllowRetry(now, edges)
}

func (d *decisions) firstToken(now time.Duration, request *loadbalancer.Request, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordFirstToken(now, request, instance)
	d.balancer.RecordSuccess(now, instance)
}

// firstTokenGone notes that a request leaves a worker before its prompt was read.
func (d *decisions) firstTokenGone(request *loadbalancer.Request, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.ReleasePrefill(request, instance)
}

func (d *decisions) done(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Release(instance)
}

// alive notes that a worker can be reached.
func (d *decisions) alive(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordSuccess(now, instance)
}

func (d *decisions) broke(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordConnectionBreak(now, instance)
}

// dead notes that a worker does not answer probes, of this edge's or, by hearsay, of another's. It returns
// whether that was known already.
func (d *decisions) dead(now time.Duration, instance string, hearsay bool) (known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.RecordUnresponsive(now, instance, hearsay)
}

// gone notes that a worker is no longer at its address.
func (d *decisions) gone(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordReplaced(now, instance)
}

func (d *decisions) failed(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordFailure(now, instance)
}

func (d *decisions) load(now time.Duration, instance string, running, waiting float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !math.IsNaN(running) && !math.IsNaN(waiting) {
		d.balancer.RecordSelfReport(now, instance, running, waiting)
	}
}

func (d *decisions) keep(t *table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Retain(func(instance string) bool { return t.instances[instance] })
	names := map[string]bool{}
	for _, peer := range t.peers {
		names[peer.name] = true
	}
	d.peers.Retain(func(edge string) bool { return names[edge] })
}

func (d *decisions) reports(now time.Duration, t *table) []*wirepb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shares.DemandReports(now, t.edges, t.demands)
}
