package emulator

import (
	"container/heap"
	"context"
	"math"
	"math/rand"

	"github.com/HdrHistogram/hdrhistogram-go"

	"willowdeck/internal/forecast"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// maxLatencyMicros is the largest latency that a histogram records, in microseconds.
const maxLatencyMicros = 600e6

// simulation is one run. It has one goroutine, which runs the events in order; they own all state.
type simulation struct {
	scenario        *Scenario
	seed            int64
	nowMillis       float64
	queue           eventQueue
	eventSequence   uint64
	eventCount      int64
	gatekeepers     []*gatekeeper
	workers         []*worker
	judge           *invariants.Checker
	networkRand     *rand.Rand // source of delays and losses
	workRand        *rand.Rand // source of service times and failures
	result          *Result
	latency         *hdrhistogram.Histogram
	lastID          uint64
	withinQuota     []bool // by arrival: whether an ideal quota of its customer had the units
	servedQuotas    map[int]*tokenBucket
	rateLimits      map[int]*tokenBucket // by customer: true rate limits, for baselines
	quotas          map[int]*tokenBucket // by customer: true quotas, for baselines
	lateView        *lateView            // nil unless a baseline uses it
	wrapDecider     func(int, decider) decider
	isolatedRegions map[int]bool // regions whose links are down

	customerSegments map[int]*Segment // by customer
}

// Run plays a scenario with one seed. Cancelling ctx ends it early, with an error and no result.
func Run(ctx context.Context, scenario *Scenario, seed int64) (*Result, error) {
	return runWrapped(ctx, scenario, seed, nil)
}

// RunReports plays a scenario, and also returns the reports that its instances give for a forecast at a
// moment.
func RunReports(ctx context.Context, scenario *Scenario, seed int64, atSeconds float64) (*Result,
	[]*forecast.Report, error) {
	var reports []*forecast.Report
	result, err := simulate(ctx, scenario, seed, nil, func(sim *simulation) {
		for _, g := range sim.gatekeepers {
			g.meter = forecast.NewMeter(scenario.policySettings(g.index), 1)
		}
		for atMillis := 0.0; atMillis < atSeconds*1000; atMillis += meterIntervalMillis {
			sim.schedule(atMillis, func() {
				for _, g := range sim.gatekeepers {
					if engine, ok := g.decider.(*policy.Engine); ok && g.up {
						stats := engine.Stats()
						g.meter.Snapshot(sim.clockMillis(), &stats)
					}
				}
			})
		}
		sim.schedule(atSeconds*1000-1e-3, func() {
			for _, g := range sim.gatekeepers {
				if g.up {
					reports = append(reports, g.report())
				}
			}
		})
	})
	return result, reports, err
}

// runWrapped runs a scenario; wrap, if not nil, lets a test replace the instances' deciders.
func runWrapped(ctx context.Context, scenario *Scenario, seed int64, wrap func(int,
	decider) decider) (*Result, error) {
	return simulate(ctx, scenario, seed, wrap, func(*simulation) {})
}

// simulate runs a scenario; begin is called before the instances start.
func simulate(ctx context.Context, scenario *Scenario, seed int64, wrap func(int, decider) decider,
	begin func(*simulation)) (*Result, error) {
	arrivals, err := scenario.Arrivals(seed)
	if err != nil {
		return nil, err
	}
	sim := newSimulation(scenario, seed)
	sim.wrapDecider = wrap
	begin(sim)
	for _, g := range sim.gatekeepers {
		if g.start(); scenario.Gatekeepers.Retained&RetainCheckpoints != 0 {
			g.scheduleCheckpoints()
		}
	}
	sim.scheduleArrivals(arrivals)
	sim.scheduleFaults()
	if err := sim.runEvents(ctx); err != nil {
		return nil, err
	}
	sim.finish()
	return sim.result, nil
}

// newSimulation returns a run at its start, with its workers and instances not yet started.
func newSimulation(scenario *Scenario, seed int64) *simulation {
	seeds := rand.New(rand.NewSource(seed))
	sim := &simulation{
		scenario:         scenario,
		seed:             seed,
		judge:            invariants.New(scenario.invariantRules()),
		networkRand:      rand.New(rand.NewSource(seeds.Int63())),
		workRand:         rand.New(rand.NewSource(seeds.Int63())),
		latency:          hdrhistogram.New(1, maxLatencyMicros, 3),
		servedQuotas:     map[int]*tokenBucket{},
		isolatedRegions:  map[int]bool{},
		rateLimits:       map[int]*tokenBucket{},
		quotas:           map[int]*tokenBucket{},
		customerSegments: map[int]*Segment{},
	}
	sim.result = newResult(scenario, seed)
	for i := range scenario.Workers.Count {
		sim.workers = append(sim.workers, &worker{sim: sim, index: i, slowFactor: 1, incarnation: 1})
	}
	for i := range scenario.Gatekeepers.Count {
		sim.gatekeepers = append(sim.gatekeepers, &gatekeeper{sim: sim, index: i,
			seeds: rand.New(rand.NewSource(seeds.Int63()))})
	}
	return sim
}

// runEvents runs the events until the last transaction has ended.
func (sim *simulation) runEvents(ctx context.Context) error {
	endMillis := sim.scenario.Seconds*1000 + sim.drainMillis()
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		if next.atMillis > endMillis {
			break
		}
		sim.nowMillis = next.atMillis
		next.run()
		if sim.eventCount++; sim.eventCount%4096 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	sim.judge.Close(endMillis)
	return nil
}

// drainMillis returns how long after the last arrival transactions may still be in flight.
func (sim *simulation) drainMillis() float64 {
	maxTarget := 0.0
	for _, p := range sim.scenario.Products {
		maxTarget = math.Max(maxTarget, p.LatencyTargetMillis)
	}
	return maxTarget*sim.scenario.Clients.TimeoutFactor*float64(sim.scenario.Clients.Retries+1) + 5000
}

// schedule schedules an event after a delay.
func (sim *simulation) schedule(delayMillis float64, run func()) {
	sim.eventSequence++
	heap.Push(&sim.queue, event{sim.nowMillis + math.Max(delayMillis, 0), sim.eventSequence, run})
}

// clockOffsetMillis is the time of the instances' clocks at the start. The policy takes times near zero for
// "never", which no real clock shows.
const clockOffsetMillis = 1e9

// clockMillis returns the time of the instances' clocks.
func (sim *simulation) clockMillis() float64 { return sim.nowMillis + clockOffsetMillis }

// scheduleArrivals records what is offered, and schedules the arrivals. Each schedules the next, so that the
// event queue stays small.
func (sim *simulation) scheduleArrivals(arrivals []workload.Arrival) {
	quotas := map[int]*tokenBucket{}
	for _, arrival := range arrivals {
		sim.result.Products[arrival.Product].Transactions++
		sim.result.Plans[arrival.Plan].Transactions++
		p := &sim.scenario.Plans[arrival.Plan]
		quota := quotas[arrival.Customer]
		if quota == nil {
			quota = &tokenBucket{tokens: math.Max(p.QuotaBurst, sim.scenario.maxUnits()),
				filledAtMillis: arrival.AtMillis}
			quotas[arrival.Customer] = quota
		}
		within := quota.take(arrival.AtMillis, p.QuotaPerSecond, math.Max(p.QuotaBurst, sim.scenario.maxUnits()),
			arrival.Units)
		sim.withinQuota = append(sim.withinQuota, within)
		if within {
			sim.result.Offered += sim.valueOf(arrival)
			sim.result.second(arrival.AtMillis).Offered += sim.valueOf(arrival)
		}
		if sim.customerSegments[arrival.Customer] == nil {
			sim.customerSegments[arrival.Customer] = &Segment{}
		}
		if within {
			sim.eachSegment(arrival, func(p *Segment) { p.Offered += sim.valueOf(arrival) })
		}
	}
	var next func(i int)
	next = func(i int) {
		if i == len(arrivals) {
			return
		}
		sim.schedule(arrivals[i].AtMillis-sim.nowMillis, func() {
			(&client{sim: sim, arrival: arrivals[i], firstSentMillis: arrivals[i].AtMillis}).send()
			next(i + 1)
		})
	}
	next(0)
	sim.result.Transactions = int64(len(arrivals))
}
