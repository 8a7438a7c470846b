package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// warmingFleet plays a fleet of gateways, each with the module alone, before workers of which most start
// cold, and keeps when which cold worker was sent to.
type warmingFleet struct {
	charter Settings
	told    Settings // to gateways
	rng     *rand.Rand
	now     float64
	queue   eventQueue
	gks     []*Engine
	since   []float64 // of workers
	up      []bool
	sent    [][]float64 // by worker, since it started
	most    float64     // sum over any window, of what the rule allows
	where   string
	falls   int
	settled int
	ids     uint64
	slow    float64 // how much longer all take
	surge   float64 // of the load
}

type fleetEvent struct {
	at float64
	do func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

const ableTo = 10.0 // requests a second of a warm worker

func (f *warmingFleet) after(ms float64, do func()) { heap.Push(&f.queue, fleetEvent{f.now + ms, do}) }

// warmFractionOf is what the settings guarantee of a worker now.
func (f *warmingFleet) warmFractionOf(i int) float64 {
	c := &f.charter
	if age := f.now - f.since[i]; f.since[i] > 0 && age < c.WarmUpMillis {
		return c.WarmingCapacityFraction + (1-c.WarmingCapacityFraction)*age/c.WarmUpMillis
	}
	return 1
}

// drainDecisions takes a gateway's decisions.
func (f *warmingFleet) drainDecisions(at int) {
	g := f.gks[at]
	for d, ok := g.NextDecision(); ok; d, ok = g.NextDecision() {
		if d.Kind != Submit {
			continue
		}
		f.countAttempt(d.Worker)
		w, life := d.Worker, f.since[d.Worker]
		took := math.Min(f.rng.ExpFloat64()*100/f.warmFractionOf(w)*f.slow, 1400)
		if !f.up[w] {
			took = 200
		}
		f.after(took, func() {
			o := Succeeded
			if !f.up[w] || f.since[w] != life {
				o = ConnectionLost
			}
			if f.gks[at] == g {
				f.settled++
				g.AdvanceTo(f.now)
				g.AttemptEnded(d.RequestID, d.Attempt, o, took, o == Succeeded)
				f.drainDecisions(at)
			}
		})
	}
}

// countAttempt books one call to a worker, and holds the sum over the window that ends with it to the rule.
func (f *warmingFleet) countAttempt(w int) {
	c := &f.charter
	if f.since[w] == 0 || f.now >= f.since[w]+c.WarmUpMillis {
		return
	}
	all := append(f.sent[w], f.now)
	for all[0] <= f.now-c.OverloadMillis {
		all = all[1:]
	}
	f.sent[w] = all
	n := c.OverloadFactor * f.warmFractionOf(w) * ableTo * c.OverloadMillis / 1000
	if of := float64(len(all)) / (n + 2*math.Sqrt(n) + 2); of > f.most {
		f.most = of
		f.where = fmt.Sprintf("worker %d got %d in %v ms, N is %.1f, %.1f s after its start", w, len(all),
			c.OverloadMillis, n, (f.now-f.since[w])/1000)
	}
	if float64(len(all)) > n+2*math.Sqrt(n)+2 {
		f.falls++
	}
}

func (f *warmingFleet) endpoint(w int) Endpoint {
	return Endpoint{Worker: w, Active: f.up[w], StartedAtMillis: f.since[w]}
}

// restartGateway has a gateway begin anew, knowing nothing but the list, or what its earlier run has handed
// over.
func (f *warmingFleet) restartGateway(at int, from *Engine) {
	c := f.told
	c.GatewayIndex = at
	g := New(c, f.rng.Int63())
	f.gks[at] = g
	g.AdvanceTo(f.now)
	var list []Endpoint
	for w := range f.up {
		list = append(list, f.endpoint(w))
	}
	if g.UpdateEndpoints(list, false); from != nil {
		from.AdvanceTo(f.now)
		g.RestoreHandoff(from.HandOff())
		g.PredecessorEnded()
	}
	f.drainDecisions(at)
	var beat func()
	beat = func() {
		if f.gks[at] == g {
			g.AdvanceTo(f.now)
			f.drainDecisions(at)
			f.after(400, beat)
		}
	}
	f.after(f.rng.Float64()*400, beat)
}

// startWorkers begins new processes of workers, and tell lets all know how some stand.
func (f *warmingFleet) startWorkers(of ...int) {
	for _, w := range of {
		f.up[w], f.since[w], f.sent[w] = true, f.now, nil
	}
	f.publishEndpoints(of...)
}

func (f *warmingFleet) publishEndpoints(of ...int) {
	for at := range f.gks {
		f.after(f.rng.Float64()*300, func() {
			var list []Endpoint
			for _, w := range of {
				list = append(list, f.endpoint(w))
			}
			f.gks[at].AdvanceTo(f.now)
			f.gks[at].UpdateEndpoints(list, true)
			f.drainDecisions(at)
		})
	}
}

func (f *warmingFleet) killWorkers(of ...int) {
	for _, w := range of {
		f.up[w] = false
	}
	f.publishEndpoints(of...)
}

// simulateFleet brings requests at part of what the warm workers can do, unevenly by gateway.
func simulateFleet(n, workers int, seed int64, c Settings, seconds, load float64,
	day func(f *warmingFleet)) *warmingFleet {
	f := &warmingFleet{charter: c, told: c, rng: rand.New(rand.NewSource(seed)), now: 1e6, gks: make([]*Engine,
		n),
		since: make([]float64, workers), up: make([]bool, workers), sent: make([][]float64, workers),
		slow: 1, surge: 1}
	for w := range f.up {
		f.up[w] = true
	}
	day(f)
	for at := range f.gks {
		f.restartGateway(at, nil)
	}
	var next func()
	next = func() {
		x := f.rng.Float64()
		at := int(x * x * float64(n)) // some see several times the mean
		f.ids++
		f.gks[at].AdvanceTo(f.now)
		f.gks[at].AddRequest(Request{ID: f.ids, Customer: uint64(f.rng.Intn(500)), Units: 1, SetSize: n,
			TimeLeftMillis: 1500})
		f.drainDecisions(at)
		can := 0.0
		for w := range f.up {
			if f.up[w] && f.warmFractionOf(w) == 1 {
				can++
			}
		}
		f.after(f.rng.ExpFloat64()*1000/(f.surge*load*ableTo*math.Max(can, 2)), next)
	}
	f.after(0, next)
	for end := f.now + seconds*1000; len(f.queue) > 0 && f.now < end; {
		x := heap.Pop(&f.queue).(fleetEvent)
		f.now = x.at
		x.do()
	}
	return f
}

func firstWorkers(n int) (all []int) {
	for w := range n {
		all = append(all, w)
	}
	return all
}

var coldDays = map[string]func(f *warmingFleet){
	"most return at once, one behind them": func(f *warmingFleet) {
		f.after(3000, func() { f.killWorkers(firstWorkers(35)...) })
		f.after(3500, func() { f.startWorkers(firstWorkers(34)...) })
		f.after(8500, func() { f.startWorkers(34) })
	},
	"all gateways restart, again and again": func(f *warmingFleet) {
		f.after(1000, func() { f.killWorkers(firstWorkers(20)...) })
		f.after(2000, func() { f.startWorkers(firstWorkers(20)...) })
		for i := range 8 {
			f.after(3000+700*float64(i), func() {
				for at := range f.gks {
					f.restartGateway(at, nil)
				}
			})
		}
	},
	"all gateways hand over, again and again": func(f *warmingFleet) {
		f.after(1000, func() { f.killWorkers(firstWorkers(20)...) })
		f.after(2000, func() { f.startWorkers(firstWorkers(20)...) })
		for i := range 8 {
			f.after(3000+700*float64(i), func() {
				for at := range f.gks {
					f.restartGateway(at, f.gks[at])
				}
			})
		}
	},
	"all slow, and a surge": func(f *warmingFleet) {
		f.after(1000, func() { f.killWorkers(firstWorkers(30)...) })
		f.after(1500, func() { f.startWorkers(firstWorkers(30)...) })
		f.after(3500, func() { f.slow = 8 })
		f.after(5500, func() { f.slow = 1 })
		f.after(6500, func() { f.surge = 1.5 })
	},
	"in steps": func(f *warmingFleet) {
		for i := range 5 {
			f.after(2000+1500*float64(i), func() { f.killWorkers(firstWorkers(35)[i*7 : i*7+7]...) })
			f.after(2800+1500*float64(i), func() { f.startWorkers(firstWorkers(35)[i*7 : i*7+7]...) })
		}
	},
}

func slowStartSettings(n int, tips float64) Settings {
	return settingsFor(Idempotent, func(c *Settings) {
		c.GatewayCount, c.WarmUpMillis, c.WarmingCapacityFraction, c.AllowGossip = n, 18000, 0.1, false
		c.OverloadFactor, c.OverloadMillis = tips, 1000
		c.Plans[0] = Plan{ValueFactor: 1}
	})
}

// Guards against turns at cold workers that add up: of all gateways together no window of the settings'
// length has more than N + 2 root N + 2 of them, also for two, twenty, thirty and three hundred, after mass
// restarts and hand-overs, and when most workers have just been lost or have just become warm.
func TestWarmingTurnsAddUp(t *testing.T) {
	for _, n := range []int{2, 20, 30, 300} {
		for name, day := range coldDays {
			for _, tips := range []float64{2, 3} {
				t.Run(fmt.Sprint(n, " ", name, " ", tips), func(t *testing.T) {
					for seed := range int64(3) {
						f := simulateFleet(n, 40, seed, slowStartSettings(n, tips), 12, 0.65, day)
						if f.falls > 0 {
							t.Errorf("seed %d: %d times beyond: %s", seed, f.falls, f.where)
						}
						t.Logf("%.2f %s", f.most, f.where)
					}
				})
			}
		}
	}
}

// What the sum is held to is broken by gateways that take their parts for more than they are.
func TestWarmingTurnsDetectOverload(t *testing.T) {
	for _, n := range []int{2, 20, 30, 300} {
		c := slowStartSettings(n, 2)
		c.WarmUpMillis = 30000
		f := simulateFleet(n, 40, 1, c, 8, 2, func(f *warmingFleet) {
			f.told.WarmingCapacityFraction, f.told.OverloadFactor = 1, 20 // as warm ones, for all that is told of them
			f.after(1000, func() { f.killWorkers(firstWorkers(20)...) })
			f.after(1500, func() { f.startWorkers(firstWorkers(20)...) })
		})
		if f.falls == 0 {
			t.Errorf("%d gateways without a budget come only to %.2f: %s", n, f.most, f.where)
		}
	}
}

// Guards against a budget by the work of those that are gone: nine in ten of the workers are lost at once,
// and a cold one comes. It gets its part of what each of those left does, not of what all had done.
func TestWarmingTurnsAfterRegionLoss(t *testing.T) {
	h := newHost(t, settingsFor(Idempotent, func(c *Settings) { c.GatewayCount, c.Plans[0] = 1, Plan{} }), 1, 20)
	cold := 0
	serve := func(perS, seconds float64) {
		for end := h.now + 1000*seconds; h.now < end; {
			h.advanceTo(h.now + 1000/perS)
			s := h.submit(Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 500})
			if len(s.attempts) > 0 && s.attempts[0].Worker == 20 {
				cold++
			}
			h.endAttempt(s, 0, Succeeded, 20)
		}
	}
	serve(400, 6) // twenty a second each
	var list []Endpoint
	for w := 2; w < 20; w++ {
		list = append(list, Endpoint{Worker: w})
	}
	h.engine.UpdateEndpoints(append(list, Endpoint{Worker: 20, Active: true, StartedAtMillis: h.now}), true)
	h.engine.workers[0].suspicion.add(5, h.now, suspicionDecayMillis) // so that whoever else may be used is
	h.engine.workers[1].suspicion.add(5, h.now, suspicionDecayMillis)
	serve(40, 1)
	if cold < 2 || cold > 6 { // a fifth of twenty, and a little more at the end of the second
		t.Errorf("%d went to the cold one in its first second", cold)
	}
}

// A turn that nothing came for lapses, and the next one is to be earned anew.
func TestWarmingTurnExpires(t *testing.T) {
	h := newHost(t, settingsFor(Idempotent, func(c *Settings) {
		c.Plans[0], c.OverloadFactor, c.OverloadMillis, c.MaxRequestUnits = Plan{}, 3, 1000, 3
	}), 1, 1)
	h.advanceTo(h.now + 1e5) // the averages are of their whole time
	h.engine.UpdateEndpoints([]Endpoint{{Worker: 1, Active: true, StartedAtMillis: h.now}}, true)
	w, warm := &h.engine.workers[1], &h.engine.workers[0]
	for at, want := range []struct {
		after, earns float64
		turn         bool
	}{
		{0, 0, false}, {900, 1000, true}, // more than it needs: all beyond it is let go
		{900, 0, true}, {101, 0, false}, {1, 0, false}, {900, 1000, true}, {1001, 0, false},
	} {
		h.advanceTo(h.now + want.after)
		if want.earns > 0 {
			h.engine.recordWarmWork(warm, want.earns)
			h.engine.hasTurn(w)
			h.advanceTo(h.now + 50) // a middling request of two units at 0.2 of 1.5 x 0.2 units a ms
		}
		if h.engine.hasTurn(w) != want.turn || w.slowStartDebt < 0 {
			t.Fatalf("step %d: turn %v, debt %v", at, !want.turn, w.slowStartDebt)
		}
	}
	h.engine.recordWarmWork(warm, 1000)
	h.advanceTo(h.now + 100)
	if s := h.newRequest(7, 1); !h.engine.hasTurn(w) && s.attempts[0].Worker != 1 {
		t.Error("a turn went without being used")
	}
	was := h.engine.warmUnitsPerWorker
	h.engine.UpdateEndpoints([]Endpoint{{Worker: 0}}, true)
	if h.engine.recordWarmWork(warm, 100); h.engine.warmUnitsPerWorker > was {
		t.Error("what one that is gone answers late brings turns nearer")
	}
	w.slowStartDebt, w.slowStartAt = 0, h.now
	h.advanceTo(h.now + 1e5)
	h.engine.derived.turnMillis = 0
	if !h.engine.hasTurn(w) {
		t.Error("it lapses where the settings say nothing of it")
	}
}

// A worker that is first heard of while it may not be sent to is as cold as any once it may. Guards against
// all gateways' turns at once.
func TestWarmingBeforeActive(t *testing.T) {
	at := 0
	for seed := range int64(100) {
		h := newHost(t, manyGatewaySettings(300, nil), seed, 10)
		h.advanceTo(h.now + 3000)
		h.engine.UpdateEndpoints([]Endpoint{{Worker: 10, StartedAtMillis: h.now, Replaced: true}}, true)
		h.engine.UpdateEndpoints([]Endpoint{{Worker: 10, StartedAtMillis: h.now, Active: true}}, true)
		if h.engine.hasTurn(&h.engine.workers[10]) {
			at++
		}
	}
	if at > 5 {
		t.Errorf("it is the turn of %d of 100 at once", at)
	}
}
