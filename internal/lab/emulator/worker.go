package emulator

import (
	"math"
	"math/rand"
	"slices"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// worker is a machine that runs txns: some cores before one queue. Its process may end and start anew.
type worker struct {
	w       *world
	at      int
	life    int
	since   float64 // start of its process; 0 long ago
	dead    bool
	drains  bool
	silent  bool
	slow    float64
	fails   float64
	loses   float64
	busy    int
	coming  int // submissions on their way here
	waiting []*submission
	inHand  []*submission // what its cores run
}

func (x *worker) listed() bool { return !x.dead && !x.drains }

func (x *worker) posting(fresh bool) policy.Endpoint {
	since := x.since
	if since > 0 {
		since += dawn
	}
	return policy.Endpoint{Worker: x.at, Zone: x.w.s.hall(x.at), Active: x.listed(), StartedAtMillis: since,
		Replaced: fresh}
}

// warmth is the part of its capacity that it has now.
func (x *worker) warmth() float64 {
	c := &x.w.s.Workers
	if x.since <= 0 || x.w.now >= x.since+c.WarmUpS*1000 {
		return 1
	}
	return c.ColdFrom + (1-c.ColdFrom)*(x.w.now-x.since)/(c.WarmUpS*1000)
}

// take is a submission's arrival.
func (x *worker) take(s *submission) {
	x.coming--
	switch {
	case !x.w.reach(s.g, x):
	case x.life != s.wlife || x.dead:
		s.answer(policy.ConnectionLost, invariants.MayHaveRun)
	case x.silent:
	case x.busy < x.w.s.Workers.Cores:
		x.run(s)
	case len(x.waiting) < x.w.s.Workers.Queue:
		x.waiting = append(x.waiting, s)
	default:
		x.w.res.Full++
		s.answer(policy.Overloaded, invariants.NeverRan)
	}
}

// run has a core run a submission.
func (x *worker) run(s *submission) {
	w, c := x.w, &x.w.s.Workers
	x.busy++
	life := x.life
	took := c.ServiceMS * s.work * x.slow / x.warmth()
	if c.Exponential {
		took *= w.work.ExpFloat64()
	} else {
		took *= math.Exp(c.Spread * w.work.NormFloat64())
	}
	fails, loses := w.work.Float64() < x.fails, w.work.Float64() < x.loses
	if fails {
		took *= w.work.Float64() // and half of these have had their effect by then
	}
	half := w.work.Float64() < 0.5
	w.in(took, func() {
		if x.life != life || x.dead {
			return // the process died with it: kill has told
		}
		x.busy--
		x.inHand = slices.DeleteFunc(x.inHand, func(o *submission) bool { return o == s })
		if !fails || half {
			w.judge.Ran(w.now, s.t.id, s.sent)
			w.ran(x)
		}
		switch {
		case x.silent || loses:
		case fails:
			s.answer(policy.Failed, invariants.MayHaveRun)
		default:
			s.answer(policy.Succeeded, invariants.Answered)
		}
		x.next()
	})
	x.inHand = append(x.inHand, s)
}

// next has a free core take the next one that waits.
func (x *worker) next() {
	for x.busy < x.w.s.Workers.Cores && len(x.waiting) > 0 && !x.silent {
		s := x.waiting[0]
		x.waiting = x.waiting[1:]
		if s.over { // withdrawn: its connection has ended before it began
			continue
		}
		x.run(s)
	}
}

// kill ends the process: what it had breaks off.
func (x *worker) kill() {
	if x.dead {
		return
	}
	x.dead = true
	for _, s := range append(x.inHand, x.waiting...) {
		if !s.over {
			s.answer(policy.ConnectionLost, invariants.MayHaveRun)
		}
	}
	x.inHand, x.waiting, x.busy = nil, nil, 0
	x.spread()
}

// start begins a new process, cold.
func (x *worker) start() {
	x.life++
	x.dead, x.drains, x.silent, x.busy, x.since = false, false, false, 0, x.w.now
	x.waiting, x.inHand = nil, nil
	x.w.judge.Started(x.w.now, x.at)
	x.spread()
}

// spread tells every gatekeeper how the worker stands.
func (x *worker) spread() {
	for _, g := range x.w.gks {
		g.hear(x)
	}
}

// faults plans what goes wrong.
func (w *world) faults() {
	rng := rand.New(rand.NewSource(w.seed ^ 0x5DEECE66D))
	for i := range w.s.Faults {
		f := w.s.Faults[i]
		workers, gks := part(f.Part, len(w.workers), rng), part(f.Part, len(w.gks), rng)
		if len(f.Halls) > 0 {
			workers, gks = w.s.of(f.Halls, len(w.workers)), w.s.of(f.Halls, len(w.gks))
		}
		each := func(on, off func(*worker)) {
			w.span(f, workers, func(i int) { on(w.workers[i]) },
				func(i int) { off(w.workers[i]) })
		}
		all := func(on, off func(*gatekeeper)) {
			w.span(f, gks, func(i int) { on(w.gks[i]) },
				func(i int) { off(w.gks[i]) })
		}
		switch f.Kind {
		case "drain":
			each(func(x *worker) {
				x.drains = true
				x.spread()
				life := x.life
				w.in(w.s.Workers.DrainS*1000, func() {
					if x.life == life {
						x.kill()
					}
				})
			}, (*worker).start)
		case "kill":
			each((*worker).kill, (*worker).start)
		case "slow":
			each(func(x *worker) { x.slow *= f.Factor }, func(x *worker) { x.slow /= f.Factor })
		case "fail":
			each(func(x *worker) { x.fails = f.Factor }, func(x *worker) { x.fails = 0 })
		case "lose":
			each(func(x *worker) { x.loses = f.Factor }, func(x *worker) { x.loses = 0 })
		case "silent":
			each(func(x *worker) { x.silent = true }, func(x *worker) {
				x.silent = false
				x.next()
			})
		case "cut":
			all(func(g *gatekeeper) { g.cut = true }, func(g *gatekeeper) { g.cut = false })
		case "stall":
			all((*gatekeeper).hold, (*gatekeeper).release)
		case "hall", "keepers":
			if f.Kind == "hall" {
				each((*worker).kill, (*worker).start)
			}
			all((*gatekeeper).kill, func(g *gatekeeper) { w.in(w.s.Gatekeepers.StartMS, g.again) })
		case "links":
			w.span(f, f.Halls, func(h int) { w.cutOff[h] = true }, func(h int) { delete(w.cutOff, h) })
		case "restart":
			all((*gatekeeper).kill, func(g *gatekeeper) { w.in(w.s.Gatekeepers.StartMS, g.again) })
		case "roll":
			for k, i := range gks {
				g := w.gks[i]
				w.in((f.FromS+(f.ToS-f.FromS)*float64(k)/float64(max(len(gks), 1)))*1000, func() {
					g.kill()
					w.in(w.s.Gatekeepers.StartMS, g.again)
				})
			}
		}
	}
}

// of gives those of n that stand in halls.
func (s *Scenario) of(halls []int, n int) (all []int) {
	for i := range n {
		if slices.Contains(halls, s.hall(i)) {
			all = append(all, i)
		}
	}
	return all
}

// joined tells whether the links between two halls are up.
func (w *world) joined(a, b int) bool { return a == b || !w.cutOff[a] && !w.cutOff[b] }

func (w *world) reach(g *gatekeeper, x *worker) bool {
	return w.joined(w.s.hall(g.num), w.s.hall(x.at))
}

// way draws the time of one way between a gatekeeper and a worker.
func (w *world) way(g *gatekeeper, x *worker) float64 {
	if w.s.Network.AcrossMS > 0 && w.s.hall(g.num) != w.s.hall(x.at) {
		return w.draw(w.s.Network.WorkerMS) + w.s.Network.AcrossMS
	}
	return w.draw(w.s.Network.WorkerMS)
}

// span has something begin for each of some at the start of a fault, and end at its end.
func (w *world) span(f Fault, of []int, on, off func(int)) {
	w.in(f.FromS*1000, func() {
		for _, i := range of {
			on(i)
		}
	})
	w.in(f.ToS*1000, func() {
		for _, i := range of {
			off(i)
		}
	})
}

// again starts a gatekeeper that is down.
func (g *gatekeeper) again() {
	if !g.up {
		g.start()
	}
}
