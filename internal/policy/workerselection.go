package policy

import (
	"math"
)

const (
	// gatewaysPerWorker is how many gateways select from each worker on average, at least; over so many the
	// random subsets even out.
	gatewaysPerWorker = 25.0
	// maxWorkersExamined bounds the workers examined where the first two draws are not good enough, and is the
	// least size of a subset: all workers of a small fleet.
	maxWorkersExamined = 16
	// slowWorkerTargetFraction of the latency target, or of the time left: more workers are examined where the
	// best draw responds more slowly.
	slowWorkerTargetFraction = 0.25
	// workerResponseGain is the weight of the newest response in a worker's mean response time.
	workerResponseGain = 0.1
	// workerResponseDecayMillis is the time constant with which that goes back to the mean of its machine kind,
	// about as long as slow spells last.
	workerResponseDecayMillis = 15000.0
	// fleetResponseGain is the weight of the newest response in the means of the fleet and of a machine kind,
	// which have many more responses.
	fleetResponseGain = 0.025
	// loadReportWeight is what a report of twice the usual load adds to a worker's cost; reports are late and
	// noisy.
	loadReportWeight = 0.25
	// loadReportDecayMillis is the time constant with which a load report fades: some responses' time.
	loadReportDecayMillis = 1000.0
	// maxCPUFraction is the use of its cores beyond which a report says no more of a worker's queue.
	maxCPUFraction = 0.9
)

// workerRecord is what is known of a worker.
type workerRecord struct {
	Endpoint
	inEndpoints                  bool
	inFlight                     int
	responseMillis, responseAt   float64 // smoothed response time, and when it was updated
	reportedLoad, reportedLoadAt float64 // its requests in flight by its last report, of all gateways, and when
	receivedAt                   float64
	suspicion                    decayingScore
	rejections                   []decayingScore // by class of request; nil while it has rejected none
	overloaded                   bool            // it rejects every class
	// while it is warming up: units until this gateway's next turn, and when they were computed
	slowStartDebt, slowStartAt float64
	warm                       bool  // it counts as warm
	suspect                    bool  // it is in Engine.suspects
	references                 int32 // attempts of open requests that were sent to it
}

// machineKind is what is known of all workers of a kind of machine.
type machineKind struct{ responseMillis, responses float64 }

// ReportWorkerLoad takes the load that a worker reported with a response. Figures that make no sense change
// nothing.
func (e *Engine) ReportWorkerLoad(workerIndex int, load WorkerLoad) {
	if !e.derived.workersReportLoad || workerIndex < 0 || workerIndex >= len(e.workers) {
		return
	}
	held := load.InFlight
	if !(held >= 0) && load.CPUFraction >= 0 { // of a queue that is as busy
		busy := math.Min(load.CPUFraction, maxCPUFraction)
		held = busy / (1 - busy)
	}
	if held >= 0 && held < math.MaxInt32 {
		e.workers[workerIndex].reportedLoad, e.workers[workerIndex].reportedLoadAt = held, e.now
		e.meanLoad += fleetResponseGain * (held - e.meanLoad)
	}
}

// expectedResponseMillis returns the expected response time of a worker: its own as far as that is recent,
// else that of its machine kind. Among many gateways each sees a worker once in many seconds, and a machine
// kind often.
func (e *Engine) expectedResponseMillis(worker *workerRecord) float64 {
	usual := e.machineKinds[worker.MachineKind].responseMillis
	if usual == 0 {
		if usual = e.responseMillis; worker.SizeRating > 0 { // until the kind is seen, the list's word on its size
			usual *= e.meanSizeRating() / worker.SizeRating
		}
	}
	if worker.responseMillis == 0 {
		return usual
	}
	return usual + (worker.responseMillis-usual)*math.Exp((worker.responseAt-e.now)/workerResponseDecayMillis)
}

// recordResponse adds the time of a complete response to the means of its worker, of its machine kind and
// of the fleet.
func (e *Engine) recordResponse(worker *workerRecord, responseMillis float64) {
	if e.responseMillis == 0 {
		e.responseMillis = responseMillis
	}
	// one slow answer must not make a worker look slow for long
	worker.responseMillis, worker.responseAt = e.expectedResponseMillis(worker), e.now
	worker.responseMillis += workerResponseGain * (responseMillis - worker.responseMillis)
	e.responseMillis += fleetResponseGain * (responseMillis - e.responseMillis)
	kind := &e.machineKinds[worker.MachineKind]
	kind.responses++
	kind.responseMillis += math.Max(fleetResponseGain, 1/kind.responses) * (responseMillis - kind.responseMillis)
}

// classOf returns the index of a request's class: its pair of plan and product.
func (e *Engine) classOf(request *requestState) int {
	return request.plan*len(e.products) + request.product
}

// chooseWorker draws two workers at random and takes the one with the lower cost (power of two choices).
// More are examined only if neither is eligible, or the better one is suspect or responds slowly. It
// returns -1 if no worker is eligible.
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
	// The small capacity of warming workers goes unused where they are examined rarely: one whose turn it is.
	for i, from := 0, e.rng.Intn(len(e.warming)+1); i < len(e.warming); i++ {
		if w := e.warming[(from+i)%len(e.warming)]; e.hasTurn(&e.workers[w]) {
			examine(w)
			break
		}
	}
	// Guards against jams at slow workers while fast ones have room, and covers workers that fail, are silent or
	// turn such requests away. Many gateways alike could run as a herd, so no more than maxWorkersExamined are
	// looked at.
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

// subsetSize returns how many of the ready workers this gateway draws from. Guards against hundreds of
// gateways that each see each worker once in many seconds, over a new connection each time.
func (e *Engine) subsetSize() int {
	part := int(math.Ceil(float64(len(e.ready)) * gatewaysPerWorker / float64(e.derived.gatewayCount)))
	return min(max(part, maxWorkersExamined), len(e.ready))
}

// eligible tells whether the rules let a request go to a ready worker.
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

// workerCost returns the expected cost of sending a request to a worker: lower is better.
func (e *Engine) workerCost(request *requestState, workerIndex int) float64 {
	worker := &e.workers[workerIndex]
	// A load report only counts against a worker, and while it is fresh: gateways that all choose the one with
	// little load would be a herd, and a worker that fails fast always has little.
	busier := loadReportWeight * math.Max(worker.reportedLoad/math.Max(e.meanLoad, 1)-1, 0) *
		math.Exp((worker.reportedLoadAt-e.now)/loadReportDecayMillis)
	return float64(worker.inFlight+1) * math.Max(e.expectedResponseMillis(worker), 1) *
		(1 + e.suspicionOf(request, workerIndex) + busier)
}
