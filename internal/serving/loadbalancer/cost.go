package loadbalancer

import (
	"math"
	"time"
)

// Weights of the costs.
const (
	// peerPrefillTokensPerMillisecond converts the prompt tokens that other edges have waiting at a worker to
	// time: about what an engine prefills.
	peerPrefillTokensPerMillisecond = 50.0
	// recomputeMillisPerToken is the price of a shared token that is prefilled again, beside its time.
	recomputeMillisPerToken = 0.08
	crossRegionCostMillis   = 140 // the round trip, and the price of the bytes
	crossZoneCostMillis     = 4   // the round trip
	// inFlightCostMillis is for each request in flight at an engine: tokens are decoded more slowly.
	inFlightCostMillis = 10.0
	queuedCostMillis   = 150.0 // for each request that the worker reports in its queue
	// connectionBreakCostMillis is for each recent break of a worker's connections beyond toleratedBreaks.
	connectionBreakCostMillis = 100.0
	toleratedBreaks           = 1
	saturatedCostMillis       = 2000 // for a worker at its capacity, and for each request beyond
	// ejectedCostMillis is for an ejected worker: it is hardly selected while another one is below capacity.
	ejectedCostMillis = 4000
	// tieBreakMillis bounds the random part of a cost, so that edges do not all select the same worker.
	tieBreakMillis = 2.0
	// plainServiceMillis is about the time of a request that is no prompt.
	plainServiceMillis = 30.0
)

// costMillis estimates what it costs to send the request to a worker.
func (b *Balancer) costMillis(now time.Duration, request *Request, candidate *Worker) float64 {
	worker := b.state(candidate.Instance)
	cost := b.distanceCostMillis(candidate)
	peerInFlight, queued := worker.selfReport.at(now)
	prefillTokens := worker.prefillTokens
	if worker.peerLoad.known {
		peerInFlight, queued = worker.peerLoad.inFlight, 0
		prefillTokens += worker.peerLoad.prefillTokens
	}
	inFlight := float64(worker.inFlight) + peerInFlight
	if candidate.Engine {
		cost += b.prefillCostMillis(now, request, worker, candidate.Instance == request.affinity)
		if worker.peerLoad.known {
			cost += prefillTokens / peerPrefillTokensPerMillisecond
		} else {
			cost += worker.prefillQueue.waitMillis(now)
		}
		cost += inFlight * inFlightCostMillis
	} else {
		cost += plainServiceMillis * inFlight / math.Max(float64(candidate.Capacity), 1)
	}
	cost += queued * queuedCostMillis
	if capacity := float64(candidate.Capacity); capacity > 0 && inFlight >= capacity {
		cost += saturatedCostMillis * (1 + inFlight - capacity)
	}
	if worker.health.ejected(now) || candidate.PathSuspected {
		cost += ejectedCostMillis
	}
	excessBreaks := math.Max(0, worker.health.connectionBreaks.At(now)-toleratedBreaks)
	return cost + connectionBreakCostMillis*excessBreaks
}

// prefillCostMillis is what it costs that a worker prefills the prompt: its own time, the price of shared
// tokens that are prefilled again, and the gaps in its stream where the worker prefills others' long
// prompts. For a long prompt the time alone counts: it is not to wait longer for a cached prefix.
func (b *Balancer) prefillCostMillis(
	now time.Duration, request *Request, worker *workerState, hasAffinity bool,
) float64 {
	own, shared := worker.uncachedTokens(now, request.Parts, hasAffinity)
	if request.WithoutAffinity {
		own, shared = totalTokens(request.Parts), 0
	}
	cost := b.prefillModel.estimateMillis(own+shared, totalTokens(request.Parts))
	if request.long {
		return cost
	}
	gapCost := worker.prefillQueue.longShare.At(now) * request.maxStreamGapMillis()
	return cost + shared*recomputeMillisPerToken + gapCost
}

// distanceCostMillis is what it costs to reach a worker's zone.
func (b *Balancer) distanceCostMillis(candidate *Worker) float64 {
	switch {
	case candidate.Zone == b.zone:
		return 0
	case candidate.Region == b.region:
		return crossZoneCostMillis
	}
	return crossRegionCostMillis
}
