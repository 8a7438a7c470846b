package emulator

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/invariants"
)

// Result is the outcome of one run.
type Result struct {
	Scenario           string                 `json:"Scenario"`
	Policy             string                 `json:"Policy"`
	Seed               int64                  `json:"Seed"`
	Score              float64                `json:"Score"`          // Served over Offered
	Offered            float64                `json:"Offered"`        // value, within quotas
	Served             float64                `json:"Served"`         // value
	Transactions       int64                  `json:"Asked"`          // transactions that clients meant to send
	Requests           int64                  `json:"Tries"`          // requests of clients, with retries
	Completed          int64                  `json:"Settled"`        // transactions
	Late               int64                  `json:"Late"`           // completed after the latency target
	Rejected           int64                  `json:"Declined"`       // requests
	Uncertain          int64                  `json:"Voided"`         // requests whose transaction may have run
	Abandoned          int64                  `json:"Failed"`         // transactions that their clients gave up
	Unreachable        int64                  `json:"Lost"`           // requests without an instance
	DiedInFlight       int64                  `json:"Crashed"`        // those of them that died with it
	RestoredCustomers  int64                  `json:"Recalled"`       // customers restored from checkpoints
	StallTimeouts      int64                  `json:"Silent"`         // requests to a stalled instance
	Attempts           int64                  `json:"Submissions"`    // to workers
	WorkerRejections   int64                  `json:"Full"`           // attempts that a worker rejected
	OverQuotaUnits     float64                `json:"OverUnits"`      // units served beyond quotas
	OverQuotaCost      float64                `json:"OverCost"`       // their cost in value
	PeerMessages       int64                  `json:"Messages"`       // to peers, apart from borrowing
	BorrowingMessages  int64                  `json:"CreditMessages"` // to peers, of borrowing
	BorrowedUnits      float64                `json:"Lent"`           // units borrowed
	LateRepaidUnits    float64                `json:"RepaidLate"`     // units repaid after their time
	StrayDecisions     int64                  `json:"Stray"`          // on transactions not in flight
	Events             int64                  `json:"Events"`
	MeanMillis         float64                `json:"Mean"` // of the latency, from when the client meant to send
	P50Millis          float64                `json:"P50"`
	P99Millis          float64                `json:"P99"`
	P999Millis         float64                `json:"P999"`
	Violations         [6]int                 `json:"Breaks"`    // violations by rule, 1 to 5
	RejectingInstances int                    `json:"RefuseAll"` // see recordRejection
	WarmingOverloads   int                    `json:"Falls"`     // cold workers that were overloaded
	HighestWarmingLoad float64                `json:"NearFall"`  // of a cold worker; 1 is overload
	Products           []Segment              `json:"Products"`  // of the value within quotas
	Plans              []Segment              `json:"Plans"`     // of the value within quotas
	StarvedFraction    float64                `json:"Starved"`   // of customers below starvedBelow
	FirstViolations    []invariants.Violation `json:"First"`     // the first violations
	Seconds            []Second               `json:"Seconds"`
}

// Segment is the value that was offered within quotas for one product, plan or customer, and what was served
// in time.
type Segment struct {
	Name         string  `json:"Name"`
	Transactions int64   `json:"Asked"` // also beyond quotas; not counted for customers
	Offered      float64 `json:"Offered"`
	Served       float64 `json:"Served"`
}

// ServedShare returns the share that was served; 1 where nothing was offered.
func (s Segment) ServedShare() float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.Served / s.Offered
}

// WorstServed returns the segment with the lowest share, the first of equals.
func WorstServed(segments []Segment) Segment {
	return slices.MinFunc(segments, func(a, b Segment) int {
		return cmp.Compare(a.ServedShare(),
			b.ServedShare())
	})
}

// Second is the outcome of the transactions that were meant to be sent in one second.
type Second struct {
	Index             int       `json:"At"` // since the start
	Completed         int       `json:"Settled"`
	P99Millis         float64   `json:"P99"`     // of the latency
	MaxMillis         float64   `json:"Most"`    // of the latency
	Offered           float64   `json:"Offered"` // value
	Served            float64   `json:"Served"`  // value
	ServedWithinQuota float64   `json:"Inside"`  // of Served, before the cost of what was beyond quotas
	RunsByRegion      []float64 `json:"Ran"`     // transactions that workers ran, by region

	hist *hdrhistogram.Histogram // latency; nil after the run
}

// newResult returns an empty result.
func newResult(s *Scenario, seed int64) *Result {
	r := &Result{Scenario: s.Name, Policy: s.Policy, Seed: seed,
		Seconds: make([]Second, int(math.Ceil(s.Seconds)))}
	for _, p := range s.Products {
		r.Products = append(r.Products, Segment{Name: p.Name})
	}
	for _, p := range s.Plans {
		r.Plans = append(r.Plans, Segment{Name: p.Name})
	}
	return r
}

// second returns the second of a time in milliseconds; later ones count for the last.
func (r *Result) second(at float64) *Second {
	i := min(max(int(at/1000), 0), len(r.Seconds)-1)
	return &r.Seconds[i]
}

// record records a latency.
func (s *Second) record(latencyMillis float64) {
	if s.hist == nil {
		s.hist = hdrhistogram.New(1, maxLatencyMicros, 2)
	}
	_ = s.hist.RecordValue(int64(math.Max(latencyMillis*1000, 1)))
	s.Completed++
	s.MaxMillis = math.Max(s.MaxMillis, latencyMillis)
}

// starvedBelow is the share of the value offered within its quota below which a customer counts as starved.
const starvedBelow = 0.1

// finish computes the figures that are known only at the end.
func (sim *simulation) finish() {
	result := sim.result
	sim.sumBorrowing()
	if result.Offered > 0 {
		result.Score = result.Served / result.Offered
	}
	result.Events = sim.eventCount
	ms := func(q float64) float64 { return float64(sim.latency.ValueAtQuantile(q)) / 1000 }
	result.MeanMillis = sim.latency.Mean() / 1000
	result.P50Millis, result.P99Millis, result.P999Millis = ms(50), ms(99), ms(99.9)
	result.FirstViolations, result.Violations = sim.judge.Violations()
	result.WarmingOverloads, result.HighestWarmingLoad = sim.judge.Overloads()
	for _, i := range slices.Sorted(maps.Keys(sim.customerSegments)) {
		p := sim.customerSegments[i]
		if result.Offered > 0 && p.Offered > 0 && p.ServedShare() < starvedBelow {
			result.StarvedFraction += p.Offered / result.Offered
		}
	}
	for i := range result.Seconds {
		s := &result.Seconds[i]
		if s.Index = i; s.hist != nil {
			s.P99Millis = float64(s.hist.ValueAtQuantile(99)) / 1000
			s.hist = nil
		}
	}
}

// recordRun records that a worker has run a transaction.
func (sim *simulation) recordRun(worker *worker) {
	second := sim.result.second(sim.nowMillis)
	for len(second.RunsByRegion) <= sim.scenario.region(worker.index) {
		second.RunsByRegion = append(second.RunsByRegion, 0)
	}
	second.RunsByRegion[sim.scenario.region(worker.index)]++
}

// recordCompleted records the value of a completed transaction.
func (sim *simulation) recordCompleted(c *client) {
	latencyMillis := sim.nowMillis - c.firstSentMillis
	_ = sim.latency.RecordValue(int64(math.Max(latencyMillis*1000, 1)))
	product, plan := &sim.scenario.Products[c.arrival.Product], &sim.scenario.Plans[c.arrival.Plan]
	value := sim.valueOf(c.arrival)
	if latencyMillis > product.LatencyTargetMillis {
		sim.result.Late++
		value *= product.LateValueFraction
	}
	// What may be borrowed is within the quota, as it is paid back: a store as deep as both.
	depth := math.Max(plan.QuotaBurst, sim.scenario.maxUnits()) + plan.CreditSeconds*plan.QuotaPerSecond
	quota := sim.servedQuotas[c.arrival.Customer]
	if quota == nil {
		quota = &tokenBucket{tokens: depth, filledAtMillis: sim.nowMillis}
		sim.servedQuotas[c.arrival.Customer] = quota
	}
	if !quota.take(sim.nowMillis, plan.QuotaPerSecond, depth, c.arrival.Units) {
		sim.result.OverQuotaUnits += c.arrival.Units
		sim.result.OverQuotaCost += value * plan.ExcessCostFraction
		value *= plan.ExcessValueFraction - plan.ExcessCostFraction
	} else {
		sim.result.second(c.firstSentMillis).ServedWithinQuota += value
		sim.eachSegment(c.arrival, func(product *Segment) { product.Served += value })
	}
	sim.result.Served += value
	sim.result.second(c.firstSentMillis).Served += value
	sim.result.second(c.firstSentMillis).record(latencyMillis)
}

// eachSegment visits the segments that a transaction belongs to.
func (sim *simulation) eachSegment(arrival workload.Arrival, visit func(*Segment)) {
	visit(&sim.result.Products[arrival.Product])
	visit(&sim.result.Plans[arrival.Plan])
	visit(sim.customerSegments[arrival.Customer])
}

// valueOf returns the value of a transaction that is served in time.
func (sim *simulation) valueOf(arrival workload.Arrival) float64 {
	return sim.scenario.Products[arrival.Product].Value * sim.scenario.Plans[arrival.Plan].ValueFactor
}
