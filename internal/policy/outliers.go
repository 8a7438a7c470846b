package policy

import (
	"math"
)

const (
	// suspicionDecayMillis is the time constant of suspicion of a worker: about what a restart or a short jam
	// lasts.
	suspicionDecayMillis = 3000.0
	// maxSuspicion bounds it, so that a worker is tried again within about three time constants.
	maxSuspicion = 12.0
	// suspectThreshold is the suspicion from which on a draw is not good enough and more workers are examined.
	suspectThreshold = 1.0
	// rejectionDecayMillis is the time constant of a worker's rejections of one class of request, which is seen
	// rarely.
	rejectionDecayMillis = 15000.0
	// rejectionThreshold is the score above which a worker counts as one that rejects that class.
	rejectionThreshold = 0.5
	// rareVisitWeight is how much heavier a failure weighs for each time constant between visits to a worker.
	rareVisitWeight = 4.0
	// minAcceptingFraction of the workers has to accept a class for its responses to speak of the fleet.
	minAcceptingFraction = 0.5
	// silentWorkerTargetFraction of the latency target is how long a worker must have sent nothing to count as
	// silent.
	silentWorkerTargetFraction = 0.35
	// abandonAfterResponses is how many mean responses a silent worker owes, over all its attempts, before these
	// are made again elsewhere.
	abandonAfterResponses = 10.0
	// workerFaultResponses is the time, in mean responses, from which on a silent or timed-out attempt is its
	// worker's fault and not that of a short deadline.
	workerFaultResponses = 5.0
	// slowRequestResponses is the age, in mean responses, from which on an attempt at a worker that goes on
	// answering others is either long or lost.
	slowRequestResponses = 8.0
	// lostRequestDecayMillis is the time constant over which it is counted which of the two they were.
	lostRequestDecayMillis = 10000.0
)

// rejectionsOf returns a worker's rejections, by class of request, to be changed.
func (e *Engine) rejectionsOf(worker *workerRecord) []decayingScore {
	if worker.rejections == nil {
		worker.rejections = make([]decayingScore, len(e.acceptingFraction))
	}
	e.suspect(worker)
	return worker.rejections
}

// suspect puts a worker among those whose suspicion and rejections refreshReady examines.
func (e *Engine) suspect(worker *workerRecord) {
	if !worker.suspect {
		worker.suspect = true
		e.suspects = append(e.suspects, worker.Worker)
	}
}

// decayingScore is a score that decays exponentially.
type decayingScore struct{ score, updatedAt float64 }

// value returns the score as it has decayed by now, with the time constant fade in ms.
func (score *decayingScore) value(now, fade float64) float64 {
	if score.score == 0 {
		return 0
	}
	return score.score * math.Exp((score.updatedAt-now)/fade)
}

// add raises the score, up to maxSuspicion.
func (score *decayingScore) add(by, now, fade float64) {
	score.score, score.updatedAt = math.Min(score.value(now, fade)+by, maxSuspicion), now
}

// suspicionOf returns the suspicion of a worker for a request: that of the worker, and that it rejects the
// class.
func (e *Engine) suspicionOf(request *requestState, workerIndex int) float64 {
	worker := &e.workers[workerIndex]
	d := worker.suspicion.value(e.now, suspicionDecayMillis)
	if worker.rejections != nil {
		d += worker.rejections[e.classOf(request)].value(e.now, rejectionDecayMillis)
	}
	return d
}

// WorkerResponded tells that a worker has begun to respond, so that it does not count as silent.
func (e *Engine) WorkerResponded(workerIndex int) {
	if workerIndex >= 0 && workerIndex < len(e.workers) {
		e.workers[workerIndex].receivedAt = e.now
	}
}

// recordRejection records that a worker rejected a request as overloaded. It counts as overloaded for all
// requests only once it has rejected more than one plan and product, as far as there are more. Guards
// against workers that reject one of them though they have capacity. A plan that some of the workers reject
// gets the others' part of the window.
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

// rejectsClass tells whether a worker is assumed to reject a class of request.
func (e *Engine) rejectsClass(worker *workerRecord, sort int) bool {
	return worker.rejections != nil && worker.rejections[sort].value(e.now,
		rejectionDecayMillis) > rejectionThreshold
}

// checkSilentWorkers looks for attempts of an open request at silent workers.
func (e *Engine) checkSilentWorkers(request *requestState) {
	if !request.live || request.answered || request.bodyPending {
		return
	}
	product := &e.products[request.product]
	// The next scan may be later than the deadline.
	e.nextScanAt = math.Min(e.nextScanAt, math.Max(request.deadline, e.now+deadlineMarginMillis))
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.inFlight || attempt.abandoned {
			continue
		}
		worker, startedAt := &e.workers[attempt.worker], math.Max(attempt.sentAt, e.stalledUntil)
		if worker.receivedAt >= attempt.sentAt {
			// Guards against answers that get lost though their worker is well. A request that is only long would be
			// long again, so it acts only while more of such age were never answered than late, once a request.
			dueAt := startedAt + math.Max(silentWorkerTargetFraction*product.latencyTargetMillis,
				slowRequestResponses*math.Max(e.responseMillis, worker.responseMillis))
			switch losesResponses := e.lostRequests.value(e.now, lostRequestDecayMillis) > e.slowRequests.value(e.now,
				lostRequestDecayMillis)+1; {
			case losesResponses && e.now >= dueAt && len(request.attempts) == 1:
				attempt.abandoned, request.wantsAttempt = true, true
			case losesResponses && e.now < dueAt:
				e.nextScanAt = math.Min(e.nextScanAt, math.Max(dueAt, e.now+scanIntervalMillis))
			}
			continue
		}
		e.nextScanAt = math.Min(e.nextScanAt,
			math.Max(startedAt+silentWorkerTargetFraction*product.latencyTargetMillis, e.now+scanIntervalMillis))
		ageMillis := e.now - startedAt
		owedResponses := ageMillis * float64(worker.inFlight) / math.Max(e.responseMillis, 1)
		if ageMillis < silentWorkerTargetFraction*product.latencyTargetMillis {
			continue
		}
		// Guards against workers that take requests and answer none: a hang, a lost region, a cut link. The place
		// of such a request is free for others well before it is moved, as moving one that is only slow wastes its
		// work.
		if owedResponses > workerFaultResponses {
			e.countInFlight(attempt, false)
		}
		if !attempt.counted && !attempt.abandoned && owedResponses > abandonAfterResponses {
			attempt.abandoned, request.wantsAttempt = true, true
			e.recordFailure(worker, ageMillis)
		}
	}
}

// recordFailure records a failure at a worker. It weighs one where this gateway visits each worker often.
// Among many gateways suspicion would be gone before the next visit, and each visit would lose a request;
// there it weighs more, by the number of time constants between two visits, but no more than the mean
// responses that the failure took.
func (e *Engine) recordFailure(worker *workerRecord, responseMillis float64) {
	visits := warmWorkWindowMillis * float64(len(e.ready)) / math.Max(e.warmWorkUnits(), 1)
	weight := math.Min(rareVisitWeight*visits/suspicionDecayMillis, responseMillis/math.Max(e.responseMillis, 1))
	worker.suspicion.add(math.Max(weight, 1), e.now, suspicionDecayMillis)
	e.suspect(worker)
}
