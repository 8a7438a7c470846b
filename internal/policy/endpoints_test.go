package policy

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// derivedState is the list of workers gone over from the first to the last, as it was before single changes
// were put in: the model of what is kept up.
type derivedState struct {
	ready, cold, near   []int
	warm                int
	able, rating        float64
	openTo              []float64
	distrusted, shedded int
}

func derivedStateOf(g *Engine) derivedState {
	l := derivedState{openTo: make([]float64, len(g.acceptingFraction))}
	for i := range g.workers {
		w := &g.workers[i]
		if !w.inEndpoints {
			continue
		}
		l.ready = append(l.ready, i)
		l.rating += (w.SizeRating - l.rating) / float64(len(l.ready))
		part := g.warmFraction(w.StartedAtMillis)
		if l.able += part; part >= 1 {
			l.warm++
		} else {
			l.cold = append(l.cold, i)
		}
		for k := range l.openTo {
			if w.overloaded || !g.rejectsClass(w, k) {
				l.openTo[k]++
			} else {
				l.shedded++
			}
		}
		if w.suspicion.value(g.now, suspicionDecayMillis) >= suspectThreshold {
			l.distrusted++
		}
	}
	for k := range l.openTo {
		l.openTo[k] /= float64(max(len(l.ready), 1))
	}
	l.near = append(l.near, l.ready...)
	slices.SortFunc(l.near, func(a, b int) int { return cmp.Compare(g.ranks[a], g.ranks[b]) })
	l.near = l.near[:g.subsetSize()]
	return l
}

// Guards against a list that is kept up by its changes and is another, if only by a bit, than a look at all
// workers gives.
func TestIncrementalListMatchesRebuild(t *testing.T) {
	var cold, shed, distrusted, lists, near int
	for seed := range int64(60) {
		replayRandomInputs(seed, func(g *Engine, list bool) {
			l := derivedStateOf(g)
			if !slices.Equal(g.ready, l.ready) || !slices.Equal(g.warming, l.cold) || !slices.Equal(g.subset,
				l.near) ||
				g.warmCount != l.warm || g.warmEquivalents != l.able || !slices.Equal(g.acceptingFraction, l.openTo) ||
				g.Stats().SuspectedWorkers != l.distrusted {
				t.Fatalf("seed %d: kept up %v, %v, %v, %v, %v, %v; gone over %+v", seed, g.ready, g.warming, g.subset,
					g.warmCount,
					g.warmEquivalents, g.acceptingFraction, l)
			}
			if rating, rated := g.sizeRating, g.sizeRatingKnown; g.meanSizeRating() != l.rating || rated &&
				rating != l.rating {
				t.Fatalf("seed %d: mean rating %v, gone over %v", seed, g.sizeRating, l.rating)
			} else {
				g.sizeRating, g.sizeRatingKnown = rating, rated // so that it is asked for in all states
			}
			for i := range g.workers {
				if w := &g.workers[i]; w.inEndpoints && w.warm == slices.Contains(l.cold, i) {
					t.Fatalf("seed %d: worker %d is warm: %v", seed, i, w.warm)
				}
			}
			if list {
				lists++
			}
			cold, shed = cold+len(l.cold), shed+l.shedded
			distrusted, near = distrusted+l.distrusted, near+len(l.near)
		}, func(g *Engine, _ Decision) {
			for i := range g.workers { // who is referred to
				refers := int32(0)
				for k := range g.requests {
					for _, s := range g.requests[k].attempts {
						if g.requests[k].live && s.worker == i {
							refers++
						}
					}
				}
				if g.WorkerUnreferenced(i) != (refers == 0) || g.workers[i].references != refers {
					t.Fatalf("seed %d: worker %d is referred to %d times, and vacant: %v", seed, i, refers,
						g.WorkerUnreferenced(i))
				}
			}
		})
	}
	if cold < 1000 || shed < 100 || distrusted < 100 || lists < 5000 || near < 1000 {
		t.Errorf("seen %d cold, %d turning away, %d suspected, %d lists, %d near", cold, shed, distrusted, lists,
			near)
	}
}

// Guards against a sum in one step that rounds otherwise than one by one.
func TestAddOnes(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 3000 {
		x, n := rng.Float64()*math.Exp2(float64(rng.Intn(18))), rng.Intn(3000)
		want := x
		for range n {
			want++
		}
		if got := addOnes(x, n); got != want {
			t.Fatalf("%v and %d ones: %v, want %v", x, n, got, want)
		}
	}
	if got := addOnes(0, 110000); got != 110000 {
		t.Errorf("from nought: %v", got)
	}
}

// Guards against a search that misses its place.
func TestIndexFromStart(t *testing.T) {
	for n := 1; n < 40; n++ {
		var all []int
		for i := range n {
			all = append(all, 3*i)
		}
		for i := range all {
			if at := indexFromStart(all, 3*i); at != i {
				t.Fatalf("of %d, place %d is found at %d", n, i, at)
			}
		}
	}
}

// replayRandomInputs brings a gateway a random history: lists whole and partial, of one entry and of many,
// workers that drain, go, come back, start anew and leave their places to others, and requests that end in
// all ways. told hears of each list, and of each period that may have passed, decided of each decision.
func replayRandomInputs(seed int64, told func(g *Engine, list bool), decided func(*Engine, Decision)) {
	rng := rand.New(rand.NewSource(seed))
	c := Settings{GatewayCount: []int{1, 3, 80}[seed%3], MaxRequestUnits: 8, MaxAttempts: 3,
		WorkersReportLoad: true,
		AllowGossip:       true, PeerMessagesPerSecond: 60, ReportsPerMessage: 8, WarmingCapacityFraction: 0.2,
		WarmUpMillis: 4000, TotalWeight: 1, WorstPlanWeight: 0.2,
		AllowHedging: seed%2 == 0, AllowCancel: seed%2 == 0, AllowRetryAfter: true, MaxRetryAfterMillis: 1000}
	if seed%4 == 1 {
		c.OverloadFactor, c.OverloadMillis = 3, 800
	}
	c.Products = []Product{{LatencyTargetMillis: 600, Value: 1}, {LatencyTargetMillis: 900, Value: 2,
		Idempotency: Deduplicated, DedupScope: DedupWithinZone,
		DedupWindowMillis: 800}}
	c.Plans = []Plan{{QuotaPerSecond: 4000, QuotaBurst: 2000, ValueFactor: 1}, {QuotaPerSecond: 900,
		QuotaBurst: 500, RateLimitPerSecond: 2000,
		RateLimitBurst: 4000, ValueFactor: 2}}
	g := New(c, seed)
	now, size := 1000.0, 3+rng.Intn(200)
	type sent struct {
		txn uint64
		n   int
		at  float64
	}
	var out []sent
	next, closed := uint64(0), map[uint64]bool{}
	pull := func() {
		for {
			before := g.nextReportAt
			d, ok := g.NextDecision()
			if g.nextReportAt != before {
				told(g, false)
			}
			if !ok {
				return
			}
			decided(g, d)
			switch d.Kind {
			case Submit:
				out = append(out, sent{d.RequestID, d.Attempt, now})
			case Reject, RejectUncertain:
				closed[d.RequestID] = true
			}
		}
	}
	places := make([]Endpoint, size)
	there := make([]bool, size)
	turns := make([]bool, size) // workers that turn requests away
	entry := func(i int) Endpoint {
		p := &places[i]
		p.Replaced = !there[i]
		switch what := rng.Intn(10); {
		case !there[i] || what == 0: // another worker, or the same started anew
			if p.Replaced && g.WorkerUnreferenced(i) || !p.Replaced {
				p.StartedAtMillis = 0
				if rng.Intn(2) == 0 {
					p.StartedAtMillis = now - rng.Float64()*5000
				}
			}
			p.Replaced = p.Replaced && g.WorkerUnreferenced(i)
			p.Worker, p.Zone, p.Cell, p.MachineKind = i, i%3, i%7, rng.Intn(6)
			p.SizeRating = []float64{0, 1, 1.5, rng.Float64()}[rng.Intn(4)]
			p.Active = true
		case what < 4:
			p.Active = !p.Active
		case what == 4:
			p.SizeRating = rng.Float64()
		}
		there[i] = true
		turns[i] = rng.Intn(8) == 0
		return *p
	}
	list := func(few int) {
		var l []Endpoint
		whole := rng.Intn(4) == 0
		for i := range places {
			if whole && rng.Intn(8) > 0 || !whole && rng.Intn(size) < few {
				l = append(l, entry(i))
			} else if whole {
				there[i] = there[i] && rng.Intn(2) == 0 // gone, its place another's or kept for it
			}
		}
		g.UpdateEndpoints(l, !whole)
		told(g, true)
	}
	g.AdvanceTo(now)
	list(size)
	for step := range 900 {
		now += rng.ExpFloat64() * 8
		if step%200 == 150 {
			now += 3000 * rng.Float64()
		}
		g.AdvanceTo(now)
		switch what := rng.Intn(20); {
		case what == 0:
			list(size)
		case what < 5:
			list(2)
		case what == 5:
			g.ReceiveReports(rng.Intn(c.GatewayCount), []Report{{Customer: uint64(rng.Intn(20)),
				DemandPerSecond: rng.Float64() * 900}})
		case what < 12 || len(out) == 0:
			next++
			customer := uint64(rng.Intn(20))
			g.AddRequest(Request{ID: next, Customer: customer, Product: rng.Intn(2), Plan: int(customer % 2),
				Units: 1 + rng.Float64(), SetSize: min(3, c.GatewayCount), TimeLeftMillis: 100 + 800*rng.Float64()})
		default:
			at := rng.Intn(len(out))
			s := out[at]
			out = append(out[:at], out[at+1:]...)
			o := Outcome(rng.Intn(int(NotSent) + 1))
			if slot, ok := g.byID[s.txn]; ok && turns[g.requests[slot].attempts[s.n].worker] {
				o = Overloaded
			} else if rng.Intn(10) < 8 {
				o = Succeeded
			}
			closed[s.txn] = closed[s.txn] || o == Succeeded
			g.ReportWorkerLoad(rng.Intn(size), WorkerLoad{InFlight: float64(rng.Intn(9)), Queued: -1, CPUFraction: -1})
			g.AttemptEnded(s.txn, s.n, o, now-s.at+30, closed[s.txn])
		}
		pull()
	}
}
