package policy

import (
	"math"
)

const (
	// suspicionDecayMillis is the time constant of a worker's suspicion score: about as long as a restart or a
	// short overload lasts.
	suspicionDecayMillis = 3000.0
	// maxSuspicion bounds the suspicion score, so that a worker is tried again within about three time
	// constants.
	maxSuspicion = 12.0
	// suspectThreshold is the suspicion score from which on a drawn worker is not good enough and more workers
	// are examined.
	suspectThreshold = 1.0
	// rejectionDecayMillis is the time constant of a worker's rejections of one request class. It is longer
	// than that of suspicion because a worker sees few requests of one class.
	rejectionDecayMillis = 15000.0
	// rejectionThreshold is the rejection score above which a worker counts as rejecting a request class.
	rejectionThreshold = 0.5
	// rareVisitWeight is the weight of a failure for each suspicion time constant that passes between two
	// visits to a worker, so that failures weigh more where visits are rare.
	rareVisitWeight = 4.0
	// minAcceptingFraction is the least fraction of the workers that must accept a request class for its
	// responses to count as a measure of the fleet.
	minAcceptingFraction = 0.5
	// silentWorkerTargetFraction is the fraction of the latency target for which a worker must have sent
	// nothing to count as silent.
	silentWorkerTargetFraction = 0.35
	// abandonAfterResponses is the number of mean response times, summed over its attempts in flight, that a
	// silent worker may take before the attempts are abandoned and made again at other workers.
	abandonAfterResponses = 10.0
	// workerFaultResponses is the time, in mean response times, from which on a silent or timed-out attempt
	// counts as its worker's fault and not as that of a short deadline.
	workerFaultResponses = 5.0
	// slowRequestResponses is the age, in mean response times, from which on an attempt is either slow or has
	// lost its response, if its worker goes on answering other requests.
	slowRequestResponses = 8.0
	// lostRequestDecayMillis is the time constant of the counts of these slow and lost attempts (slowRequests
	// and lostRequests).
	lostRequestDecayMillis = 10000.0
)

// rejectionsOf returns a worker's rejection scores by request class for the caller to change, and adds the
// worker to the suspects.
func (e *Engine) rejectionsOf(worker *workerRecord) []decayingScore {
	if worker.rejections == nil {
		worker.rejections = make([]decayingScore, len(e.acceptingFraction))
	}
	e.suspect(worker)
	return worker.rejections
}

// suspect adds a worker to those whose suspicion and rejections refreshReady examines.
func (e *Engine) suspect(worker *workerRecord) {
	if !worker.suspect {
		worker.suspect = true
		e.suspects = append(e.suspects, worker.Worker)
	}
}

// decayingScore is a score that decays exponentially.
type decayingScore struct{ score, updatedAt float64 }

// value returns the score decayed to now with a time constant in ms.
func (score *decayingScore) value(now, timeConstant float64) float64 {
	if score.score == 0 {
		return 0
	}
	return score.score * math.Exp((score.updatedAt-now)/timeConstant)
}

// add raises the decayed score, up to maxSuspicion.
func (score *decayingScore) add(amount, now, timeConstant float64) {
	score.score, score.updatedAt = math.Min(score.value(now, timeConstant)+amount, maxSuspicion), now
}

// suspicionOf returns the suspicion score of a worker for a request: the worker's own, plus its rejections
// of the request's class.
func (e *Engine) suspicionOf(request *requestState, workerIndex int) float64 {
	worker := &e.workers[workerIndex]
	d := worker.suspicion.value(e.now, suspicionDecayMillis)
	if worker.rejections != nil {
		d += worker.rejections[e.classOf(request)].value(e.now, rejectionDecayMillis)
	}
	return d
}

// WorkerResponded records that a worker has begun to respond, so that it does not count as silent.
func (e *Engine) WorkerResponded(workerIndex int) {
	if workerIndex >= 0 && workerIndex < len(e.workers) {
		e.workers[workerIndex].receivedAt = e.now
	}
}

// recordRejection records that a worker rejected a request as overloaded. The worker counts as overloaded
// for all requests only once it has rejected more than one plan and more than one product, where there are
// several: some workers reject one plan or product although they have capacity. A plan that some workers
// reject may use only the other workers' part of the window.
func (e *Engine) recordRejection(worker *workerRecord, request *requestState) {
	e.rejectionsOf(worker)[e.classOf(request)].add(1, e.now, rejectionDecayMillis)
	plan, product := len(e.plans) == 1, len(e.products) == 1
	for i := range worker.rejections {
		if e.rejectsClass(worker, i) {
			plan = plan || i/len(e.products) != request.plan
			product = product || i%len(e.products) != request.product
		}
	}
	worker.overloaded = plan && product
}

// rejectsClass reports whether a worker is assumed to reject a request class.
func (e *Engine) rejectsClass(worker *workerRecord, class int) bool {
	return worker.rejections != nil && worker.rejections[class].value(e.now,
		rejectionDecayMillis) > rejectionThreshold
}

// checkSilentWorkers checks the attempts in flight of an open request for silent workers and lost
// responses.
func (e *Engine) checkSilentWorkers(request *requestState) {
	if !request.live || request.answered || request.bodyPending {
		return
	}
	product := &e.products[request.product]
	// Without this the next scan could come only after the deadline.
	e.nextScanAt = math.Min(e.nextScanAt, math.Max(request.deadline, e.now+deadlineMarginMillis))
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.inFlight || attempt.abandoned {
			continue
		}
		worker, startedAt := &e.workers[attempt.worker], math.Max(attempt.sentAt, e.stalledUntil)
		if worker.receivedAt >= attempt.sentAt {
			// Handles responses that get lost although their worker is healthy. A request that merely takes long
			// would take as long again, so it is repeated only while more attempts of this age turn out to be lost
			// than slow, and only once.
			dueAt := startedAt + math.Max(silentWorkerTargetFraction*product.latencyTargetMillis,
				slowRequestResponses*math.Max(e.responseMillis, worker.responseMillis))
			switch losingResponses := e.lostRequests.value(e.now, lostRequestDecayMillis) > e.slowRequests.value(e.now,
				lostRequestDecayMillis)+1; {
			case losingResponses && e.now >= dueAt && len(request.attempts) == 1:
				attempt.abandoned, request.wantsAttempt = true, true
			case losingResponses && e.now < dueAt:
				e.nextScanAt = math.Min(e.nextScanAt, math.Max(dueAt, e.now+scanIntervalMillis))
			}
			continue
		}
		e.nextScanAt = math.Min(e.nextScanAt,
			math.Max(startedAt+silentWorkerTargetFraction*product.latencyTargetMillis, e.now+scanIntervalMillis))
		ageMillis := e.now - startedAt
		overdueResponses := ageMillis * float64(worker.inFlight) / math.Max(e.responseMillis, 1)
		if ageMillis < silentWorkerTargetFraction*product.latencyTargetMillis {
			continue
		}
		// Handles workers that accept requests and answer none: a hung process, a lost region, a broken link. The
		// attempt's place in the congestion window is freed well before the request is sent to another worker, as
		// sending one again that is only slow wastes the work done so far.
		if overdueResponses > workerFaultResponses {
			e.countInFlight(attempt, false)
		}
		if !attempt.counted && !attempt.abandoned && overdueResponses > abandonAfterResponses {
			attempt.abandoned, request.wantsAttempt = true, true
			e.recordFailure(worker, ageMillis)
		}
	}
}

// recordFailure records a failure of a worker. Its weight is 1 where this gateway visits each worker often.
// Among many gateways the suspicion would have decayed before the next visit, and each visit would lose a
// request. There the weight is higher by the number of suspicion time constants between two visits, but at
// most the number of mean response times that the failure took.
func (e *Engine) recordFailure(worker *workerRecord, responseMillis float64) {
	visits := warmWorkWindowMillis * float64(len(e.ready)) / math.Max(e.warmWorkUnits(), 1)
	weight := math.Min(rareVisitWeight*visits/suspicionDecayMillis, responseMillis/math.Max(e.responseMillis, 1))
	worker.suspicion.add(math.Max(weight, 1), e.now, suspicionDecayMillis)
	e.suspect(worker)
}
