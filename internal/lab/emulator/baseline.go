package emulator

import (
	"math"
	"math/rand"

	"willowdeck/internal/policy"
)

// newBrain makes what decides at an instance.
func (w *world) newBrain(num int, seed int64) brain {
	var b brain
	if w.s.Policy == "willowdeck" || w.s.Policy == "deep" {
		b = policy.New(w.s.charter(num), seed)
	} else {
		b = &baseline{w: w, num: num, rng: rand.New(rand.NewSource(seed)), txns: map[uint64]*plain{},
			slices: map[int]*bucket{}, caps: map[int]*bucket{}}
	}
	if w.wrap != nil {
		b = w.wrap(num, b)
	}
	return b
}

// baseline is a policy to compare with: one submission a txn, and no talk. It is not meant to run anywhere.
type baseline struct {
	w      *world
	num    int
	rng    *rand.Rand
	now    float64
	list   []policy.Endpoint
	txns   map[uint64]*plain
	due    []policy.Decision
	slices map[int]*bucket // by customer
	caps   map[int]*bucket
}

type plain struct {
	a      policy.Request
	expiry float64
	subs   int
}

func (b *baseline) AdvanceTo(now float64)               { b.now = now }
func (b *baseline) ReceiveReports(int, []policy.Report) {}
func (b *baseline) ClientGone(id uint64)                { delete(b.txns, id) }
func (b *baseline) NextDecision() (policy.Decision, bool) {
	if len(b.due) == 0 {
		return policy.Decision{}, false
	}
	d := b.due[0]
	b.due = b.due[1:]
	return d, true
}

func (b *baseline) UpdateEndpoints(list []policy.Endpoint, partial bool) {
	if !partial {
		b.list = append([]policy.Endpoint(nil), list...)
		return
	}
	for _, p := range list {
		for i := range b.list {
			if b.list[i].Worker == p.Worker {
				b.list[i] = p
			}
		}
	}
}

func (b *baseline) AddRequest(a policy.Request) {
	t := &plain{a: a, expiry: b.now + a.TimeLeftMillis}
	b.txns[a.ID] = t
	if wait, ok := b.admits(a); !ok {
		b.final(t, policy.Reject, wait)
		return
	}
	if x := b.choose(a); x >= 0 {
		b.submit(t, x)
		return
	}
	b.final(t, policy.Reject, 100)
}

func (b *baseline) submit(t *plain, x int) {
	b.due = append(b.due, policy.Decision{Kind: policy.Submit, RequestID: t.a.ID, Worker: x, Attempt: t.subs,
		WaitMillis: t.expiry - b.now - 1})
	t.subs++
}

func (b *baseline) final(t *plain, k policy.DecisionKind, wait float64) {
	b.due = append(b.due, policy.Decision{Kind: k, RequestID: t.a.ID, WaitMillis: wait})
	delete(b.txns, t.a.ID)
}

func (b *baseline) AttemptEnded(id uint64, _ int, o policy.Outcome, _ float64, closed bool) {
	t := b.txns[id]
	if t == nil || closed || o == policy.Succeeded {
		delete(b.txns, id)
		return
	}
	never := o == policy.ConnectFailed || o == policy.NotSent || o == policy.Overloaded
	again := b.w.s.Policy == "seer" || b.w.s.Policy == "late"
	if never && again && t.expiry-b.now > 5 && t.subs < b.w.s.Gatekeepers.MaxSubmissions {
		if x := b.choose(t.a); x >= 0 {
			b.submit(t, x)
			return
		}
	}
	if never || b.w.s.Products[t.a.Product].Repeat == "inquiry" {
		b.final(t, policy.Reject, 0)
		return
	}
	b.final(t, policy.RejectUncertain, 0)
}

// admits tells whether a quota, and a ceiling, have the units, as far as the policy sees them.
func (b *baseline) admits(a policy.Request) (wait float64, ok bool) {
	p, parts := &b.w.s.Plans[a.Plan], 1.0
	stores, caps := b.w.seen, b.w.truth
	switch b.w.s.Policy {
	case "open":
		return 0, true
	case "static":
		parts, stores, caps = float64(max(a.SetSize, 1)), b.slices, b.caps
	}
	c := int(a.Customer)
	holds := math.Max(p.Burst/parts, b.w.s.largest()) + p.Credit*p.Rate/parts
	s := stores[c]
	if s == nil {
		s = &bucket{level: holds, at: b.now}
		stores[c] = s
	}
	if p.Ceiling > 0 {
		m := caps[c]
		if m == nil { // a life before this one may have spent its part
			m = &bucket{at: b.now}
			if parts == 1 {
				m.level = p.CeilingDepth
			}
			caps[c] = m
		}
		if !m.take(b.now, p.Ceiling/parts, p.CeilingDepth/parts, a.Units) {
			return (a.Units - m.level) / p.Ceiling * parts * 1000, false
		}
	}
	if b.w.s.Policy == "late" {
		return b.w.sees().admits(b.num, c, p.Rate, holds, a.Units)
	}
	if !s.take(b.now, p.Rate/parts, holds, a.Units) {
		return (a.Units - s.level) / p.Rate * parts * 1000, false
	}
	return 0, true
}

// choose picks a worker: a random one of the list, or for the policy that sees all the one that would be done
// first and is not cold.
func (b *baseline) choose(policy.Request) int {
	if b.w.s.Policy == "late" {
		return b.w.sees().choose(b)
	}
	if b.w.s.Policy != "seer" {
		n := 0
		pick := -1
		for _, p := range b.list {
			if p.Active {
				if n++; b.rng.Intn(n) == 0 {
					pick = p.Worker
				}
			}
		}
		return pick
	}
	best, least, from := -1, math.Inf(1), b.rng.Intn(len(b.w.workers))
	for i := range b.w.workers {
		x := b.w.workers[(i+from)%len(b.w.workers)]
		told := b.w.gks[b.num].told[x.at]
		if !x.listed() || x.silent || x.warmth() < 1 || !told.active || told.life != x.life {
			continue
		}
		cost := (float64(x.busy+len(x.waiting)+x.coming) + 1) * x.slow * (1 + 20*x.fails + 20*x.loses)
		if cost < least {
			best, least = x.at, cost
		}
	}
	return best
}
