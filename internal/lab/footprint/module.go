package footprint

import (
	"fmt"
	"math/rand"
	"net/netip"
	"time"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
)

const (
	// peers' messages that a gatekeeper takes in a second, as the settings on hand have it
	intake          = 60.0
	usualSet        = 20 // gatekeepers of a customer's set
	setElementBytes = 9  // ahead of a message that says which life it is of
	seed            = 7
)

// list is discovery's list of so many workers, over 14 zones.
func list(n int) endpoints.List {
	l := endpoints.List{Version: 1, Snapshot: true}
	for i := range n {
		l.Workers = append(l.Workers, endpoints.Worker{Name: fmt.Sprintf("worker-%06d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
			Zone:    fmt.Sprintf("zone-%02d", i%14), Cell: i / 38, Kind: "std-4", Weight: 1, Active: true,
			StartedMillis: 1.7e12 + float64(i)})
	}
	return l
}

// policySettings of so many gatekeepers, routes and plans. Each plan's customers may have 2 units a second.
func policySettings(gatekeepers, routes, plans int) policy.Settings {
	c := policy.Settings{GatewayCount: gatekeepers, MaxRequestUnits: 1, MaxAttempts: 3, AllowHedging: true,
		AllowCancel: true, AllowRetryAfter: true, MaxRetryAfterMillis: 2000, AllowGossip: true,
		PeerMessagesPerSecond: intake,
		ReportsPerMessage:     gossip.MaxReports, WarmingCapacityFraction: 0.2, WarmUpMillis: 10000, TotalWeight: 1}
	for range routes {
		c.Products = append(c.Products, policy.Product{LatencyTargetMillis: 1000, Value: 1,
			DedupWindowMillis: 5000})
	}
	for range plans {
		c.Plans = append(c.Plans, policy.Plan{QuotaPerSecond: 2, QuotaBurst: 20, ValueFactor: 1,
			ExcessCostFraction: 1})
	}
	return c
}

func endpointLists(n int) []policy.Endpoint {
	var all []policy.Endpoint
	for i := range n {
		all = append(all, policy.Endpoint{Worker: i, Zone: i % 14, Cell: i / 38, Active: true})
	}
	return all
}

// play is a module that is driven without sockets: what it submits is settled at once.
type play struct {
	g       *policy.Engine
	now     float64
	id      uint64
	reports int
	bytes   int
	longest time.Duration // of one pull of all decisions
	telling []float64     // ms of each pull that told peers
	buf     []byte
}

func newPlay(c policy.Settings, workers int) *play {
	p := &play{g: policy.New(c, seed), now: 1000}
	p.g.AdvanceTo(p.now)
	p.g.UpdateEndpoints(endpointLists(workers), false)
	p.pull()
	return p
}

// pull takes all decisions that there are now.
func (p *play) pull() {
	start, before := time.Now(), p.reports
	for {
		d, ok := p.g.NextDecision()
		if !ok {
			break
		}
		switch d.Kind {
		case policy.Submit:
			p.g.AttemptEnded(d.RequestID, d.Attempt, policy.Succeeded, 20, true)
		case policy.SendReports:
			p.reports++
			p.buf = gossip.Append(p.buf[:0], d.Reports)
			p.bytes += len(p.buf) + setElementBytes
		}
	}
	spent := time.Since(start)
	if p.longest = max(p.longest, spent); p.reports > before {
		p.telling = append(p.telling, float64(spent.Nanoseconds())/1e6)
	}
}

func (p *play) at(now float64) {
	p.now = now
	p.g.AdvanceTo(now)
}

func (p *play) txn(customer uint64, set, first int) {
	p.id++
	p.g.AddRequest(policy.Request{ID: p.id, Customer: customer, Units: 1, SetSize: set, FirstGateway: first,
		TimeLeftMillis: 3000})
	p.pull()
}

// customers measures a module that so many have come to, at the fleet that is coming.
func customers(n int) ([]Value, error) {
	const gatekeepers, workers = 7900, 200
	rng := rand.New(rand.NewSource(seed))
	all := make([]uint64, 0, n)
	there := map[uint64]bool{}
	for len(all) < n { // numbers below 2^33, as the protocol has them, each once
		if k := rng.Uint64() >> 31; !there[k] {
			there[k] = true
			all = append(all, k)
		}
	}
	c := policySettings(gatekeepers, 3, usualPlans)
	var p *play
	touch := func() float64 {
		start := time.Now()
		for i, k := range all {
			if i%100 == 0 {
				p.at(p.now + 0.001)
			}
			p.txn(k, usualSet, 0)
		}
		return float64(time.Since(start).Nanoseconds()) / float64(n)
	}
	_, bare := keeps(func() *play { return newPlay(c, workers) })
	var firsts []float64
	_, kept := keeps(func() *play {
		p = newPlay(c, workers)
		firsts = append(firsts, touch())
		return p
	})
	var again []float64
	for range 3 {
		again = append(again, touch())
	}
	kinds := p.g.Stats().Customers
	p.longest = 0
	p.at(p.now + policy.ModelParametersOf(c).ReportIntervalMillis)
	p.pull()
	return []Value{{"gatekeeper", "kept over customers", "B", kept - bare},
		{"gatekeeper", "first txn over customers", "ns", median(firsts)},
		{"gatekeeper", "next txn over customers", "ns", min(again[0], again[1], again[2])},
		{"gatekeeper", "turn of a period over customers", "ms", float64(p.longest.Nanoseconds()) / 1e6},
		{"gatekeeper", "customers that share an account with another, over customers", "customers",
			float64(n - kinds)}}, nil
}

// routes measures what a module keeps of a worker for routes that are classes of their own, by plan.
func routes(n int) ([]Value, error) {
	const workers = 200
	c := policySettings(20, n, usualPlans)
	start := func(listed int) *policy.Engine {
		g := policy.New(c, seed)
		g.AdvanceTo(1000)
		g.UpdateEndpoints(endpointLists(listed), false)
		return g
	}
	_, kept := keeps(func() *policy.Engine { return start(0) })
	_, more := keeps(func() *policy.Engine { return start(workers) })
	made := took(func() { start(0) })
	return []Value{{"gatekeeper", "kept over routes, no worker listed", "B", kept},
		{"gatekeeper", "start of a module over routes", "ms", made},
		{"gatekeeper", "kept for a worker over routes", "B", (more - kept) / workers}}, nil
}

// workers measures the turn of a period, in which the list is gone over, and what is kept.
func workers(n int) ([]Value, error) {
	var p *play
	_, kept := keeps(func() *play { p = newPlay(policySettings(20, 3, usualPlans), n); return p })
	p.txn(1, usualSet, 0)
	var turns []float64
	for range rounds {
		p.longest = 0
		p.at(p.now + 500)
		p.pull()
		turns = append(turns, float64(p.longest.Nanoseconds())/1e6)
	}
	return []Value{{"gatekeeper", "kept over workers", "B", kept},
		{"gatekeeper", "turn of a period over workers", "ms", median(turns)}}, nil
}

// reportCosts measures what gatekeepers tell each other, in a fleet of so many: 76 txns a second of customers
// that ask for more than their part, with sets of usualSet, and of all.
func reportCosts(n int) ([]Value, error) {
	c := policySettings(n, 3, 1)
	m := policy.ModelParametersOf(c)
	g, kept := keeps(func() *policy.Engine { return policy.New(c, seed) })
	_ = g.Stats()
	table, heard := keeps(func() *incarnation.Tracker {
		t := incarnation.NewTracker()
		for i := range n {
			t.Observe(i, incarnation.MessageID{Incarnation: 1, Sequence: 1})
		}
		return t
	})
	_ = table.Latest(nil, 1)
	values := []Value{{"gatekeeper", "period of words over gatekeepers", "s", m.ReportIntervalMillis / 1000},
		{"gatekeeper", "silence until a peer is unheard over gatekeepers", "s", m.SilentAfterMillis / 1000},
		{"gatekeeper", "kept over gatekeepers", "B", kept + heard}}
	for _, set := range []int{min(usualSet, n), n} {
		p := newPlay(c, 200)
		rng := rand.New(rand.NewSource(seed))
		const customers, txnsPerS = 50, 76.0
		end := p.now + 4*m.ReportIntervalMillis
		p.reports, p.bytes, p.telling = 0, 0, nil
		start := p.now
		for p.now < end {
			p.at(p.now + 1000/txnsPerS)
			k := rng.Intn(customers)
			p.txn(uint64(k), set, (n-k%set)%n)
		}
		s := (p.now - start) / 1000
		kind := fmt.Sprintf("sets of %d", usualSet)
		if set == n {
			kind = "sets of all"
		}
		values = append(values, Value{"gatekeeper", "messages told over gatekeepers, " + kind, "1/s",
			float64(p.reports) / s},
			Value{"gatekeeper", "bytes told over gatekeepers, " + kind, "B/s", float64(p.bytes) / s},
			Value{"gatekeeper", "turn of words over gatekeepers, " + kind, "ms", median(p.telling)})
		if set == n {
			break
		}
	}
	return values, nil
}

// All are the kinds that are measured.
func All() []Element {
	fleet := []int{20, 100, 300, 1000, 3000, 7900}
	return []Element{
		{"answer", "members", fleet, func(n int) ([]Value, error) {
			return answer("members", rules(n, usualPlans, 0, 0))
		}},
		{"answer", "plans", []int{5, 16, 64, 256}, func(n int) ([]Value, error) {
			return answer("plans", rules(20, n, 0, 0))
		}},
		{"answer", "words", []int{16, 64, 256, 1024, 4096}, func(n int) ([]Value, error) {
			return answer("words", rules(20, usualPlans, n, 0))
		}},
		{"change", "members", []int{20, 50, 100, 200, 500, 1000, 3000, 7900}, change},
		{"fleet's file", "members", []int{20, 50, 100, 200, 500, 1000, 3000, 7900}, fleetFile},
		{"hop", "members", fleet, hops},
		{"configuration", "peers", fleet, func(n int) ([]Value, error) { return read("peers", n, 5, 3, 0) }},
		{"configuration", "plans", []int{1, 8, 32, 64}, func(n int) ([]Value, error) {
			return read("plans", 20, n, 3, 0)
		}},
		{"configuration", "routes", []int{10, 100, 1000, 10000, 150000}, func(n int) ([]Value, error) {
			return read("routes", 20, 5, n, 0)
		}},
		{"configuration", "workers", []int{200, 2000, 20000, 110000}, func(n int) ([]Value, error) {
			return read("workers", 20, 5, 3, n)
		}},
		{"module", "routes", []int{3, 30, 300, 3000}, routes},
		{"module", "workers", []int{200, 2000, 20000, 110000}, workers},
		{"module", "customers", []int{1000, 10000, 50000, 150000, 490000}, customers},
		{"words", "gatekeepers", []int{20, 60, 100, 300, 1000, 3000, 7900}, reportCosts},
	}
}
