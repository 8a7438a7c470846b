package policy // which worker gets a txn

import "math"

// choose draws two workers at random and takes the one that own counts favour. More are looked at only if
// neither may be used or the better one is distrusted or answers slowly.
func (e *Engine) chooseWorker(request *requestState) int {
	if len(e.ready) == 0 {
		return -1
	}
	best, cost := -1, math.Inf(1)
	examine := func(w int) {
		if e.eligible(request, w) {
			if c := e.workerCost(request, w); c < cost {
				best, cost = w, c
			}
		}
	}
	for range 2 {
		examine(e.subset[e.rng.Intn(len(e.subset))])
	}
	// What cold ones can do is little, and goes unused where they are looked at seldom: one whose turn it is.
	for i, from := 0, e.rng.Intn(len(e.warming)+1); i < len(e.warming); i++ {
		if w := e.warming[(from+i)%len(e.warming)]; e.hasTurn(&e.workers[w]) {
			examine(w)
			break
		}
	}
	// Guards against jams at slow workers while fast ones have room, and covers workers that fail, are silent or
	// turn such txns away. Many gatekeepers alike could run as a herd, so no more than widest are looked at.
	slowMillis := slowWorkerTargetFraction * math.Min(e.products[request.product].latencyTargetMillis,
		request.deadline-e.now)
	if best >= 0 && e.suspicionOf(request, best) < suspectThreshold &&
		e.expectedResponseMillis(&e.workers[best]) < slowMillis {
		return best
	}
	for i := range min(len(e.ready), maxWorkersExamined) {
		if len(e.ready) > maxWorkersExamined {
			i = e.rng.Intn(len(e.ready))
		}
		examine(e.ready[i])
	}
	return best
}

// aperture is how many of the listed workers a gatekeeper draws from. Guards against hundreds of gatekeepers
// that each see each worker once in many seconds, over a new connection each time.
func (e *Engine) subsetSize() int {
	part := int(math.Ceil(float64(len(e.ready)) * gatewaysPerWorker / float64(e.derived.gatewayCount)))
	return min(max(part, maxWorkersExamined), len(e.ready))
}

// usable tells whether the rules let a txn go to a listed worker.
func (e *Engine) eligible(request *requestState, workerIndex int) bool {
	worker := &e.workers[workerIndex]
	for i := range request.attempts {
		if request.attempts[i].worker == workerIndex && (request.attempts[i].inFlight ||
			len(e.ready) > len(request.attempts)) {
			return false
		}
	}
	if e.products[request.product].idempotency == Deduplicated && (request.mayHaveRun || request.inFlight > 0) {
		firstUncertain := &request.firstUncertain
		for i := len(request.attempts) - 1; i >= 0 && !request.mayHaveRun; i-- {
			if request.attempts[i].inFlight {
				firstUncertain = &request.attempts[i]
			}
		}
		group := e.products[request.product].dedupScope
		if group == DedupWithinZone && firstUncertain.zone != worker.Zone || group == DedupWithinCell &&
			firstUncertain.cell != worker.Cell {
			return false
		}
	}
	return e.warmFraction(worker.StartedAtMillis) >= 1 || !e.handedOff && e.hasTurn(worker)
}

func (e *Engine) workerCost(request *requestState, workerIndex int) float64 {
	worker := &e.workers[workerIndex]
	// A report only speaks against a worker, and while it is fresh: gatekeepers that all go for the one that has
	// little to do would run as a herd, and a worker that fails fast always has.
	busier := loadReportWeight * math.Max(worker.reportedLoad/math.Max(e.meanLoad, 1)-1, 0) *
		math.Exp((worker.reportedLoadAt-e.now)/loadReportDecayMillis)
	return float64(worker.inFlight+1) * math.Max(e.expectedResponseMillis(worker), 1) *
		(1 + e.suspicionOf(request, workerIndex) + busier)
}

// doubt notes a failure at a worker: by one where this gatekeeper sees each worker often. Among many
// gatekeepers it would forget before it comes there again, and lose a txn each time; then the failure weighs
// as often as the distrust fades between two visits, but no more than the usual answers that it took.
func (e *Engine) recordFailure(worker *workerRecord, responseMillis float64) {
	visits := warmWorkWindowMillis * float64(len(e.ready)) / math.Max(e.warmWorkUnits(), 1)
	weight := math.Min(rareVisitWeight*visits/suspicionDecayMillis, responseMillis/math.Max(e.responseMillis, 1))
	worker.suspicion.add(math.Max(weight, 1), e.now, suspicionDecayMillis)
	e.markSuspect(worker)
}
