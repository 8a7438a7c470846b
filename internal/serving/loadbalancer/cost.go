package loadbalancer

import (
	"math"
	"time"
)

// Weights of the parts of a worker's cost. Costs are in milliseconds.
const (
	// peerPrefillTokensPerMillisecond converts the prompt tokens waiting for prefill at a worker to time, if the
	// other edges report them. It is roughly the rate at which an engine prefills.
	peerPrefillTokensPerMillisecond = 50.0
	// recomputeMillisPerToken is the cost of prefilling a shared token again, in addition to the time it takes.
	recomputeMillisPerToken = 0.08
	// crossRegionCostMillis is the cost of another region: the round trip, and the price of the bytes.
	crossRegionCostMillis = 140
	// crossZoneCostMillis is the cost of another zone of the edge's region: the round trip.
	crossZoneCostMillis = 4
	// inFlightCostMillis is the cost of each request in flight at an engine, which slows down decoding.
	inFlightCostMillis = 10.0
	// queuedCostMillis is the cost of each request that the worker reports to be in its queue.
	queuedCostMillis = 150.0
	// connectionBreakCostMillis is the cost of each recent connection break of a worker beyond toleratedBreaks.
	connectionBreakCostMillis = 100.0
	toleratedBreaks           = 1
	// saturatedCostMillis is the cost of a worker at its capacity, and of each request beyond the capacity.
	saturatedCostMillis = 2000
	// ejectedCostMillis is the cost of an ejected worker. It is so high that such a worker is hardly selected
	// while another one is below its capacity.
	ejectedCostMillis = 4000
	// tieBreakMillis bounds the random part of a cost, which keeps the edges from all selecting the same worker.
	tieBreakMillis = 2.0
	// plainServiceMillis is the approximate service time of a request to a worker that is not an engine.
	plainServiceMillis = 30.0
)

// costMillis estimates the cost of sending the request to a worker.
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

// prefillCostMillis estimates the cost of prefilling the prompt at a worker: the time of the prefill, the
// cost of prefilling shared tokens again, and the gaps in the request's stream while the worker prefills
// long prompts of other requests. For a long prompt only the time counts, so that it does not wait longer
// for a cached prefix.
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

// distanceCostMillis returns the cost of reaching a worker's zone.
func (b *Balancer) distanceCostMillis(candidate *Worker) float64 {
	switch {
	case candidate.Zone == b.zone:
		return 0
	case candidate.Region == b.region:
		return crossZoneCostMillis
	}
	return crossRegionCostMillis
}
