package policy

import (
	"math"
)

const (
	// gatewaysPerWorker is the least number of gateways, on average, whose random subsets include a given
	// worker. With that many subsets the load on the workers evens out.
	gatewaysPerWorker = 25.0
	// maxWorkersExamined bounds the workers that are examined if the first two draws are not good enough. It
	// is also the least size of a subset, so that the subset of a small fleet is all of its workers.
	maxWorkersExamined = 16
	// slowWorkerTargetFraction is a fraction of the latency target, or of the time left if that is shorter. If
	// the best drawn worker is expected to respond more slowly than that, more workers are examined.
	slowWorkerTargetFraction = 0.25
	// workerResponseGain is the weight of the newest response in a worker's mean response time.
	workerResponseGain = 0.1
	// workerResponseDecayMillis is the time constant with which a worker's mean response time returns to that
	// of its machine kind. It is about as long as a slow period of a worker lasts.
	workerResponseDecayMillis = 15000.0
	// fleetResponseGain is the weight of the newest response in the mean response times of the fleet and of a
	// machine kind. It is smaller than workerResponseGain because these means cover many more responses.
	fleetResponseGain = 0.025
	// loadReportWeight is the fraction by which a worker's cost rises if it reports twice the mean load. It is
	// low because load reports are late and noisy.
	loadReportWeight = 0.25
	// loadReportDecayMillis is the time constant with which a load report loses its weight. It is as long as a
	// few responses.
	loadReportDecayMillis = 1000.0
	// maxCPUFraction caps the CPU fraction from which a worker's queue length is estimated. Above it the CPU
	// fraction says nothing more about the queue.
	maxCPUFraction = 0.9
)

// workerRecord is the state that is kept of a worker.
type workerRecord struct {
	Endpoint
	inEndpoints                bool
	inFlight                   int
	responseMillis, responseAt float64 // smoothed response time, and when it was updated
	// requests in flight from all gateways by its last load report, and the time of that
	reportedLoad, reportedLoadAt float64
	receivedAt                   float64
	suspicion                    decayingScore
	rejections                   []decayingScore // by request class; nil if it has not rejected any
	overloaded                   bool            // it is assumed to reject all request classes
	// While the worker is warming up: units that remain until this gateway's next turn (see hasTurn), and the
	// time when they were computed.
	slowStartDebt, slowStartAt float64
	warm                       bool  // it counts as warm
	suspect                    bool  // it is in Engine.suspects
	references                 int32 // attempts of open requests that were sent to it
}

// machineKind holds the mean response time and the number of responses of all workers of a kind of machine.
type machineKind struct{ responseMillis, responses float64 }

// ReportWorkerLoad records the load that a worker reported with a response. Invalid values are ignored.
func (e *Engine) ReportWorkerLoad(workerIndex int, load WorkerLoad) {
	if !e.derived.workersReportLoad || workerIndex < 0 || workerIndex >= len(e.workers) {
		return
	}
	inFlight := load.InFlight
	if !(inFlight >= 0) && load.CPUFraction >= 0 { // mean number in an M/M/1 queue of this utilization
		busy := math.Min(load.CPUFraction, maxCPUFraction)
		inFlight = busy / (1 - busy)
	}
	if inFlight >= 0 && inFlight < math.MaxInt32 {
		e.workers[workerIndex].reportedLoad, e.workers[workerIndex].reportedLoadAt = inFlight, e.now
		e.meanLoad += fleetResponseGain * (inFlight - e.meanLoad)
	}
}

// expectedResponseMillis returns the expected response time of a worker: its own mean as far as that is
// recent, otherwise that of its machine kind. Among many gateways each one sees a given worker only once in
// many seconds, but its machine kind often.
func (e *Engine) expectedResponseMillis(worker *workerRecord) float64 {
	usual := e.machineKinds[worker.MachineKind].responseMillis
	if usual == 0 {
		// No worker of this kind has responded yet: the fleet's mean is scaled by the listed size.
		if usual = e.responseMillis; worker.SizeRating > 0 {
			usual *= e.meanSizeRating() / worker.SizeRating
		}
	}
	if worker.responseMillis == 0 {
		return usual
	}
	return usual + (worker.responseMillis-usual)*math.Exp((worker.responseAt-e.now)/workerResponseDecayMillis)
}

// recordResponse adds the time of a complete response to the mean response times of its worker, of its
// machine kind and of the fleet.
func (e *Engine) recordResponse(worker *workerRecord, responseMillis float64) {
	if e.responseMillis == 0 {
		e.responseMillis = responseMillis
	}
	// A single slow response must not make a worker look slow for long. So its mean is first decayed towards
	// that of its machine kind, for the time since its last response.
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

// chooseWorker draws two workers at random and selects the one with the lower cost (power of two choices).
// More workers are examined only if neither is eligible, or if the better one is suspect or responds
// slowly. It returns -1 if no worker is eligible.
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
	// Draws find a warming worker too rarely to use even its small capacity. So one warming worker at which
	// this gateway has a turn is examined as well.
	for i, from := 0, e.rng.Intn(len(e.warming)+1); i < len(e.warming); i++ {
		if w := e.warming[(from+i)%len(e.warming)]; e.hasTurn(&e.workers[w]) {
			examine(w)
			break
		}
	}
	// Examining more workers avoids queues at slow workers while fast ones have room, and finds others than
	// the workers that fail, are silent or reject this class. At most maxWorkersExamined are examined: if many
	// gateways all chose the same best worker, they would overload it.
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

// subsetSize returns how many of the ready workers this gateway draws from. Without subsets each of
// hundreds of gateways would send to a given worker only once in many seconds, over a new connection each
// time.
func (e *Engine) subsetSize() int {
	part := int(math.Ceil(float64(len(e.ready)) * gatewaysPerWorker / float64(e.derived.gatewayCount)))
	return min(max(part, maxWorkersExamined), len(e.ready))
}

// eligible reports whether a request may be sent to a ready worker. A worker is excluded while an attempt
// of the request is in flight at it, and after such an attempt as long as there are more ready workers than
// attempts. A deduplicated request that may have run stays within its deduplication scope. A warming worker
// needs a turn of this gateway (see hasTurn).
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
		scope := e.products[request.product].dedupScope
		if scope == DedupWithinZone && firstUncertain.zone != worker.Zone || scope == DedupWithinCell &&
			firstUncertain.cell != worker.Cell {
			return false
		}
	}
	return e.warmFraction(worker.StartedAtMillis) >= 1 || !e.handedOff && e.hasTurn(worker)
}

// workerCost returns the expected cost of sending a request to a worker: lower is better.
func (e *Engine) workerCost(request *requestState, workerIndex int) float64 {
	worker := &e.workers[workerIndex]
	// A load report only raises a worker's cost, and only while it is recent. If gateways preferred low load,
	// all of them would choose the least loaded worker at once, and a worker that fails fast always reports
	// little load.
	busier := loadReportWeight * math.Max(worker.reportedLoad/math.Max(e.meanLoad, 1)-1, 0) *
		math.Exp((worker.reportedLoadAt-e.now)/loadReportDecayMillis)
	return float64(worker.inFlight+1) * math.Max(e.expectedResponseMillis(worker), 1) *
		(1 + e.suspicionOf(request, workerIndex) + busier)
}
