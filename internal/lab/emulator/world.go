// Package emulator is the emulator: clients, gatekeepers that run the module itself, workers and the network
// between them, as discrete events in virtual time. One seed gives one run, to the last bit.
package emulator

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand"

	"github.com/HdrHistogram/hdrhistogram-go"

	"willowdeck/internal/forecast"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// brain is what decides at a gatekeeper: the module, or a baseline that takes the same calls.
type brain interface {
	AdvanceTo(now float64)
	UpdateEndpoints(list []policy.Endpoint, partial bool)
	AddRequest(a policy.Request)
	AttemptEnded(id uint64, n int, o policy.Outcome, took float64, closed bool)
	ClientGone(id uint64)
	ReceiveReports(from int, reports []policy.Report)
	NextDecision() (policy.Decision, bool)
}

// event is something that happens at a moment; of two at one moment the one that was planned first goes
// first.
type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// world is one run.
type world struct {
	s       *Scenario
	seed    int64
	now     float64
	queue   events
	seq     uint64
	count   int64
	gks     []*gatekeeper
	workers []*worker
	judge   *invariants.Judge
	net     *rand.Rand // delays and losses
	work    *rand.Rand // service times and what goes wrong in them
	res     *Result
	lat     *hdrhistogram.Histogram
	ids     uint64
	inside  []bool // by arrival: within its customer's quota, were all seen at once
	store   map[int]*bucket
	truth   map[int]*bucket // ceilings, for the baseline that sees all
	seen    map[int]*bucket // and quotas
	sight   *sight          // what is seen late; nil where nothing goes by it
	wrap    func(int, brain) brain
	cutOff  map[int]bool // halls whose links are down

	customers map[int]*Part // what became of each customer's value
}

// bucket is a store that fills.
type bucket struct{ level, at float64 }

// take fills a store and takes units from it, where it has them.
func (b *bucket) take(now, rate, depth, units float64) bool {
	b.level = math.Min(b.level+(now-b.at)*rate/1000, depth)
	b.at = now
	if b.level < units-1e-9 {
		return false
	}
	b.level -= units
	return true
}

// in plans something.
func (w *world) in(ms float64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + math.Max(ms, 0), w.seq, do})
}

// dawn is what gatekeepers' clocks show at the start, ms. Guards against times near nought, which the module
// takes for never: no real clock shows them, and peers that fell silent were not seen to.
const dawn = 1e9

// clock is the time as gatekeepers see it.
func (w *world) clock() float64 { return w.now + dawn }

// draw spreads a delay: never nothing, and now and then several times as long.
func (w *world) draw(ms float64) float64 { return ms * (0.5 + 0.5*w.net.ExpFloat64()) }

// Run plays a scenario with one seed. ctx ends it early, with an error and no result.
func Run(ctx context.Context, s *Scenario, seed int64) (*Result, error) {
	return run(ctx, s, seed, nil)
}

// RunWords plays a scenario, and gives the words that its gatekeepers say at a moment, in seconds.
func RunWords(ctx context.Context, s *Scenario, seed int64, atS float64) (*Result, []*forecast.Word, error) {
	var words []*forecast.Word
	r, err := playFrom(ctx, s, seed, nil, func(w *world) {
		for _, g := range w.gks {
			g.meter = forecast.NewMeter(s.charter(g.num), 1)
		}
		for at := 0.0; at < atS*1000; at += markEach {
			w.in(at, func() {
				for _, g := range w.gks {
					if m, ok := g.brain.(*policy.Engine); ok && g.up {
						t := m.Stats()
						g.meter.Mark(w.clock(), &t)
					}
				}
			})
		}
		w.in(atS*1000-1e-3, func() {
			for _, g := range w.gks {
				if g.up {
					words = append(words, g.word())
				}
			}
		})
	})
	return r, words, err
}

// markEach is how often meters are told the time, ms.
const markEach = 200

// word is what a gatekeeper says of itself.
func (g *gatekeeper) word() *forecast.Word {
	s := g.w.s
	hall := func(z int) string { return fmt.Sprintf("hall%d", z) }
	w := &forecast.Word{Name: fmt.Sprintf("g%d", g.num), Host: "emulated", Hall: hall(s.hall(g.num)),
		Group: "emulated", Number: g.num, Charter: s.charter(g.num)}
	w.Charter.GatewayIndex = 0
	for _, p := range s.Products {
		w.Products = append(w.Products, p.Name)
	}
	for _, p := range s.Plans {
		w.Plans = append(w.Plans, p.Name)
	}
	m, ok := g.brain.(*policy.Engine)
	if !ok {
		return w
	}
	var sight policy.Snapshot
	t := m.Stats()
	for at := m.WriteSnapshot(&sight, 0); at > 0; {
		at = m.WriteSnapshot(&sight, at)
	}
	g.meter.Tell(w, g.w.clock(), &t, &sight, hall)
	if g.lender != nil {
		g.lender.book.Plans(w.Lent)
	}
	return w
}

// ran notes that a worker has run a txn.
func (w *world) ran(x *worker) {
	s := w.res.second(w.now)
	for len(s.Ran) <= w.s.hall(x.at) {
		s.Ran = append(s.Ran, 0)
	}
	s.Ran[w.s.hall(x.at)]++
}

// run lets a test put something between the world and the gatekeepers' brains.
func run(ctx context.Context, s *Scenario, seed int64, wrap func(int, brain) brain) (*Result, error) {
	return playFrom(ctx, s, seed, wrap, func(*world) {})
}

func playFrom(ctx context.Context, s *Scenario, seed int64, wrap func(int, brain) brain,
	begin func(*world)) (*Result, error) {
	all, err := s.Arrivals(seed)
	if err != nil {
		return nil, err
	}
	source := rand.New(rand.NewSource(seed))
	w := &world{
		s:         s,
		seed:      seed,
		judge:     invariants.New(s.rules()),
		net:       rand.New(rand.NewSource(source.Int63())),
		work:      rand.New(rand.NewSource(source.Int63())),
		lat:       hdrhistogram.New(1, 600e6, 3),
		store:     map[int]*bucket{},
		cutOff:    map[int]bool{},
		truth:     map[int]*bucket{},
		seen:      map[int]*bucket{},
		wrap:      wrap,
		customers: map[int]*Part{},
	}
	w.res = newResult(s, seed)
	for i := range s.Workers.Count {
		w.workers = append(w.workers, &worker{w: w, at: i, slow: 1, life: 1})
	}
	for i := range s.Gatekeepers.Count {
		w.gks = append(w.gks, &gatekeeper{w: w, num: i, source: rand.New(rand.NewSource(source.Int63()))})
	}
	begin(w)
	for _, g := range w.gks {
		if g.start(); s.Gatekeepers.Keeps&KeepCopies != 0 {
			g.copies()
		}
	}
	w.plan(all)
	w.faults()
	end := s.Seconds * 1000
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > end+w.settle() {
			break
		}
		w.now = e.at
		e.do()
		if w.count++; w.count%4096 == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	w.judge.Close(end + w.settle())
	w.finish()
	return w.res, nil
}

// settle is how long after the last arrival txns may still be on their way.
func (w *world) settle() float64 {
	most := 0.0
	for _, p := range w.s.Products {
		most = math.Max(most, p.SLAMS)
	}
	return most*w.s.Clients.Waits*float64(w.s.Clients.Retries+1) + 5000
}

// plan has the arrivals come, each planning the next: what is ahead stays small.
func (w *world) plan(all []workload.Arrival) {
	quotas := map[int]*bucket{}
	for _, a := range all {
		w.res.Products[a.Product].Asked++
		w.res.Plans[a.Plan].Asked++
		p := &w.s.Plans[a.Plan]
		b := quotas[a.Customer]
		if b == nil {
			b = &bucket{level: math.Max(p.Burst, w.s.largest()), at: a.AtMillis}
			quotas[a.Customer] = b
		}
		in := b.take(a.AtMillis, p.Rate, math.Max(p.Burst, w.s.largest()), a.Units)
		w.inside = append(w.inside, in)
		if in {
			w.res.Offered += w.worth(a)
			w.res.second(a.AtMillis).Offered += w.worth(a)
		}
		if w.customers[a.Customer] == nil {
			w.customers[a.Customer] = &Part{}
		}
		if in {
			w.parts(a, func(p *Part) { p.Offered += w.worth(a) })
		}
	}
	var next func(i int)
	next = func(i int) {
		if i == len(all) {
			return
		}
		w.in(all[i].AtMillis-w.now, func() {
			(&client{w: w, a: all[i], first: all[i].AtMillis}).try()
			next(i + 1)
		})
	}
	next(0)
	w.res.Asked = int64(len(all))
}

// parts gives all that a txn is a part of.
func (w *world) parts(a workload.Arrival, each func(*Part)) {
	each(&w.res.Products[a.Product])
	each(&w.res.Plans[a.Plan])
	each(w.customers[a.Customer])
}

func (w *world) worth(a workload.Arrival) float64 {
	return w.s.Products[a.Product].Value * w.s.Plans[a.Plan].Factor
}

// client is one txn as its client sees it, through all its tries.
type client struct {
	w     *world
	a     workload.Arrival
	first float64 // when it meant to send it
	tries int
}

// try sends the txn to a gatekeeper of its customer's set.
func (c *client) try() {
	w := c.w
	c.tries++
	w.res.Tries++
	n, spread := len(w.gks), w.s.spread(c.a.Plan)
	firstOf := int(uint64(c.a.Customer+1) * 0x9E3779B97F4A7C15 >> 33 % uint64(n))
	g := w.gks[(firstOf+(c.a.SetOffset+c.tries-1)%spread)%n]
	until := w.now + w.s.Products[c.a.Product].SLAMS*w.s.Clients.Waits
	w.in(w.draw(w.s.Network.ClientMS), func() { g.arrive(c, firstOf, until) })
}

// answered is what the client gets, or finds out.
func (c *client) answered(k answerKind, wait float64) {
	w := c.w
	switch k {
	case settled:
		w.res.Settled++
		w.settled(c)
		return
	case declined:
		w.res.Declined++
	case voided:
		w.res.Voided++
	case refused:
		w.res.Lost++
	}
	if c.tries > w.s.Clients.Retries || k == voided && w.s.Products[c.a.Product].Repeat == "once" {
		w.res.Failed++
		return
	}
	if wait <= 0 {
		wait = w.net.Float64() * w.s.Clients.BackMS
	}
	w.in(wait, c.try)
}

// settled books what a settled txn is worth.
func (w *world) settled(c *client) {
	took := w.now - c.first
	_ = w.lat.RecordValue(int64(math.Max(took*1000, 1)))
	p, q := &w.s.Products[c.a.Product], &w.s.Plans[c.a.Plan]
	worth := w.worth(c.a)
	if took > p.SLAMS {
		w.res.Late++
		worth *= p.Late
	}
	// What may be borrowed is within the quota, as it is paid back: a store as deep as both.
	holds := math.Max(q.Burst, w.s.largest()) + q.Credit*q.Rate
	b := w.store[c.a.Customer]
	if b == nil {
		b = &bucket{level: holds, at: w.now}
		w.store[c.a.Customer] = b
	}
	if !b.take(w.now, q.Rate, holds, c.a.Units) {
		w.res.OverUnits += c.a.Units
		w.res.OverCost += worth * q.Fee
		worth *= q.Excess - q.Fee
	} else {
		w.res.second(c.first).Inside += worth
		w.parts(c.a, func(p *Part) { p.Served += worth })
	}
	w.res.Served += worth
	w.res.second(c.first).Served += worth
	w.res.second(c.first).add(took)
}

type answerKind uint8

const (
	settled answerKind = iota
	declined
	voided
	refused // no gatekeeper there, or it died
	silent  // no answer in time
)
