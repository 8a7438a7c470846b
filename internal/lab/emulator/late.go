package emulator

import "math"

// sight is what the policy that sees the true state late goes by: all workers, and all that was spent of
// quotas at any gatekeeper, as they were when news of the list that comes latest was sent (Network.ListMS).
// What a gatekeeper has spent itself it knows at once.
type sight struct {
	w      *world
	late   float64    // ms
	each   float64    // between two looks, ms
	looks  [][]glance // by worker; the oldest first
	stores map[int]*lateStore
}

// glance is a worker as it was at a moment.
type glance struct {
	up                bool
	load, slow, risks float64
	warmth            float64
}

// looksBack is how many looks fall into the time by which the state is seen late.
const looksBack = 8

// lateStore is a customer's quota as it is seen late: a store that all has been taken from that is old
// enough, and what has been spent since.
type lateStore struct {
	bucket
	since []spend
}

type spend struct {
	at, units float64
	by        int // gatekeeper
}

// sees gives the world's sight, which looks from the world's start on.
func (w *world) sees() *sight {
	if w.sight == nil {
		w.sight = &sight{w: w, late: w.s.Network.ListMS, each: math.Max(w.s.Network.ListMS/looksBack, 1),
			stores: map[int]*lateStore{}}
		w.sight.look()
	}
	return w.sight
}

// look keeps how the workers stand, and plans the next look.
func (v *sight) look() {
	now := make([]glance, len(v.w.workers))
	for i, x := range v.w.workers {
		now[i] = glance{up: x.listed() && !x.silent, load: float64(x.busy + len(x.waiting) + x.coming),
			slow: x.slow, risks: x.fails + x.loses, warmth: x.warmth()}
	}
	if v.looks = append(v.looks, now); len(v.looks) > int(v.late/v.each)+1 {
		v.looks = v.looks[1:]
	}
	v.w.in(v.each, v.look)
}

// admits tells whether a gatekeeper finds the units in a quota, and else for how long to wait, ms.
func (v *sight) admits(num, customer int, rate, depth, units float64) (wait float64, ok bool) {
	now := v.w.now
	s := v.stores[customer]
	if s == nil {
		s = &lateStore{bucket: bucket{level: depth, at: now - v.late}}
		v.stores[customer] = s
	}
	for len(s.since) > 0 && s.since[0].at <= now-v.late {
		s.take(s.since[0].at, rate, depth, s.since[0].units) // what goes beyond takes nothing: it is paid for
		s.since = s.since[1:]
	}
	level := math.Min(s.level+(now-v.late-s.at)*rate/1000, depth) // others have spent what came since
	for _, p := range s.since {
		if p.by == num {
			level -= p.units
		}
	}
	if level < units-1e-9 {
		return (units - level) / rate * 1000, false
	}
	s.since = append(s.since, spend{now, units, num})
	return 0, true
}

// choose picks the better of two workers that were well and as warm as chance asks, or else any that the list
// has; below nought there is none.
func (v *sight) choose(b *baseline) int {
	old, told := v.looks[0], v.w.gks[b.num].told
	best, other, met := -1, -1, 0
	for _, i := range b.rng.Perm(len(old)) {
		if !told[i].active {
			continue
		}
		other = i
		if g := &old[i]; !g.up || b.rng.Float64() > g.warmth {
			continue
		}
		if best < 0 || old[i].cost() < old[best].cost() {
			best = i
		}
		if met++; met == 2 {
			break
		}
	}
	if best < 0 {
		return other
	}
	return best
}

// cost orders workers: those with more in hand, slower ones and such that fail come last.
func (g *glance) cost() float64 { return (g.load + 1) * g.slow * (1 + 20*g.risks) }
