package loadbalancer

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

// Balancer selects workers for one edge.
type Balancer struct {
	zone, region string // of the edge
	random       *rand.Rand
	prefillModel prefillModel
	workers      map[string]*workerState // by instance
}

// New returns a balancer for an edge in a zone of a region. random must not be used concurrently with its
// methods.
func New(zone, region string, random *rand.Rand) *Balancer {
	return &Balancer{
		zone: zone, region: region, random: random,
		prefillModel: newPrefillModel(), workers: map[string]*workerState{},
	}
}

// Retain removes the state of the workers for which wanted returns false, unless requests of this edge are in
// flight there.
func (b *Balancer) Retain(wanted func(instance string) bool) {
	for instance, worker := range b.workers {
		if !wanted(instance) && worker.inFlight == 0 {
			delete(b.workers, instance)
		}
	}
}

// state returns the state of a worker. It creates the state of a new worker.
func (b *Balancer) state(instance string) *workerState {
	worker := b.workers[instance]
	if worker == nil {
		worker = newWorkerState()
		b.workers[instance] = worker
	}
	return worker
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there are no candidates.
func (b *Balancer) Choose(now time.Duration, request *Request, candidates []Worker) int {
	request.affinity = b.affinityInstance(now, request, candidates)
	request.long = b.isLong(request)
	var ranks map[string]int
	if request.long {
		ranks = longPromptRanks(candidates)
	}
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		cost := b.costMillis(now, request, &candidates[i])
		cost += longRankCostMillis * float64(ranks[candidates[i].Instance])
		cost += b.random.Float64() * tieBreakMillis
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// RecordSent records that a request is sent to a worker. It returns a notice of the prefill for the other
// edges.
func (b *Balancer) RecordSent(now time.Duration, request *Request, instance string) PrefillNotice {
	worker := b.state(instance)
	worker.inFlight++
	own, shared := worker.uncachedTokens(now, request.Parts, instance == request.affinity)
	request.pendingTokens = own + shared
	request.uncachedTokens = request.pendingTokens
	request.sentAt = now
	request.queueMillis = worker.prefillQueue.waitMillis(now)
	worker.prefillTokens += request.pendingTokens
	request.partsBefore = worker.cacheParts(now, request.Parts)
	request.prefillMillis = b.prefillModel.estimateMillis(request.pendingTokens, totalTokens(request.Parts))
	worker.prefillQueue.add(now, request.prefillMillis, request.long)
	return PrefillNotice{Instance: instance, PrefillMillis: request.prefillMillis, Long: request.long}
}

// RecordFirstToken records that a worker has prefilled a request's prompt, and updates the prefill model
// with the time that it took.
func (b *Balancer) RecordFirstToken(now time.Duration, request *Request, instance string) {
	b.ReleasePrefill(request, instance)
	if len(request.Parts) == 0 {
		return
	}
	queueTime := time.Duration(request.queueMillis * float64(time.Millisecond))
	prefillTime := now - request.sentAt - queueTime
	b.prefillModel.observe(max(prefillTime, 0), request.uncachedTokens, totalTokens(request.Parts))
}

// ReleasePrefill subtracts a request's uncached tokens from those that wait for prefill at a worker, either
// after the prefill or because the request ends there before it. A second call has no effect.
func (b *Balancer) ReleasePrefill(request *Request, instance string) {
	worker := b.state(instance)
	worker.prefillTokens = math.Max(0, worker.prefillTokens-request.pendingTokens)
	request.pendingTokens = 0
}

// RecordNotExecuted reverts the changes of RecordSent for a prompt that its worker will not prefill: the
// request did not reach the worker, or was rejected without being executed. The request counts as in flight
// until Release.
func (b *Balancer) RecordNotExecuted(now time.Duration, request *Request, instance string) {
	b.ReleasePrefill(request, instance)
	worker := b.state(instance)
	worker.uncacheParts(request.sentAt, request.partsBefore)
	worker.prefillQueue.remove(now, request.prefillMillis, request.long)
	request.prefillMillis, request.partsBefore = 0, nil
}

// Release records that a request is no longer in flight at a worker.
func (b *Balancer) Release(instance string) {
	worker := b.state(instance)
	worker.inFlight = max(worker.inFlight-1, 0)
}

// RecordSelfReport records the load that a worker reports itself: numbers of running and of queued requests.
func (b *Balancer) RecordSelfReport(now time.Duration, instance string, running, waiting float64) {
	worker := b.state(instance)
	worker.selfReport = selfReport{
		received: true, receivedAt: now, waiting: waiting,
		peerInFlight: math.Max(0, running+waiting-float64(worker.inFlight)),
	}
}

// SetPeerLoad sets the load of a worker that the other edges report. known is false if too few of them have
// reported; if it is true, their reports are used in place of the worker's own report.
func (b *Balancer) SetPeerLoad(instance string, inFlight, prefillTokens float64, known bool) {
	b.state(instance).peerLoad = peerLoad{known: known, inFlight: inFlight, prefillTokens: prefillTokens}
}

// InstanceLoad is the load that the requests of this edge put on a worker.
type InstanceLoad struct {
	Instance      string
	InFlight      int     // requests in flight
	PrefillTokens float64 // uncached prompt tokens of the requests without a first token yet
}

// OwnLoads returns the load of each worker with requests of this edge in flight, sorted by instance.
func (b *Balancer) OwnLoads() []InstanceLoad {
	var loads []InstanceLoad
	for instance, worker := range b.workers {
		if worker.inFlight > 0 {
			loads = append(loads, InstanceLoad{
				Instance: instance, InFlight: worker.inFlight, PrefillTokens: worker.prefillTokens,
			})
		}
	}
	slices.SortFunc(loads, func(x, y InstanceLoad) int { return strings.Compare(x.Instance, y.Instance) })
	return loads
}
