package emulator

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"willowdeck/internal/testkit/invariants"
)

// Result is what became of one run.
type Result struct {
	Scenario, Policy string
	Seed             int64
	Score            float64 // value served, of what was offered within quotas
	Offered, Served  float64 // values
	Asked            int64   // txns that clients meant to send
	Tries            int64   // with those that came again
	Settled, Late    int64   // txns
	Declined, Voided int64   // tries
	Failed           int64   // txns given up by their clients
	Lost, Crashed    int64   // tries that found no gatekeeper, and those of them that died with it
	Recalled         int64   // customers of copies that returned gatekeepers went by
	Silent           int64   // tries left by their clients while a gatekeeper stood still
	Submissions      int64
	Full             int64 // turned away by a worker
	OverUnits        float64
	OverCost         float64 // value that what passed beyond quotas costs
	Messages         int64   // to peers, but for those of credit
	CreditMessages   int64
	Lent, RepaidLate float64 // units borrowed, and paid back after their time
	Stray            int64   // decisions on txns that are not in hand
	Events           int64
	Mean             float64
	P50, P99, P999   float64 // ms from the moment the client meant to send
	Breaks           [6]int  // by rule
	RefuseAll        int     // gatekeepers that turned away all that they got, 15 or more, for 4 s on end
	Falls            int     // cold workers pushed over, whoever knew that they had started
	NearFall         float64 // how near the one came to it that got the most for what it bears; 1 is there
	Products, Plans  []Part  // of the value within quotas
	Starved          float64 // part of that value, of customers who got under starvedAt of theirs
	First            []invariants.Violation
	Seconds          []Second
}

// starvedAt is the part of what a customer asks within its quota under which it counts as starved.
const starvedAt = 0.1

// Part is the value that was asked within quotas of one product or plan, and what was served of it in time.
type Part struct {
	Name            string
	Asked           int64 // txns, beyond quotas too; of customers not counted
	Offered, Served float64
}

// Share is the part that was served; 1 where nothing was asked.
func (p Part) Share() float64 {
	if p.Offered == 0 {
		return 1
	}
	return p.Served / p.Offered
}

// Worst gives the one of which the least part was served; the first of those where nothing was asked.
func Worst(all []Part) Part {
	return slices.MinFunc(all, func(a, b Part) int { return cmp.Compare(a.Share(), b.Share()) })
}

// Second is what became of the txns that were meant to be sent in one second.
type Second struct {
	At, Settled     int
	P99, Most       float64
	Offered, Served float64   // values
	Inside          float64   // of Served, what was within quotas, before what goes beyond them is paid for
	Ran             []float64 // txns run in it, by hall of worker
	hist            *hdrhistogram.Histogram
}

func newResult(s *Scenario, seed int64) *Result {
	r := &Result{Scenario: s.Name, Policy: s.Policy, Seed: seed,
		Seconds: make([]Second, int(math.Ceil(s.Seconds)))}
	for _, p := range s.Products {
		r.Products = append(r.Products, Part{Name: p.Name})
	}
	for _, p := range s.Plans {
		r.Plans = append(r.Plans, Part{Name: p.Name})
	}
	return r
}

func (r *Result) second(at float64) *Second {
	i := min(max(int(at/1000), 0), len(r.Seconds)-1)
	return &r.Seconds[i]
}

func (s *Second) add(took float64) {
	if s.hist == nil {
		s.hist = hdrhistogram.New(1, 600e6, 2)
	}
	_ = s.hist.RecordValue(int64(math.Max(took*1000, 1)))
	s.Settled++
	s.Most = math.Max(s.Most, took)
}

// finish reckons what is known at the end only.
func (w *world) finish() {
	r := w.res
	w.lent()
	if r.Offered > 0 {
		r.Score = r.Served / r.Offered
	}
	r.Events = w.count
	ms := func(q float64) float64 { return float64(w.lat.ValueAtQuantile(q)) / 1000 }
	r.Mean = w.lat.Mean() / 1000
	r.P50, r.P99, r.P999 = ms(50), ms(99), ms(99.9)
	r.First, r.Breaks = w.judge.Violations()
	r.Falls, r.NearFall = w.judge.Overloads()
	for _, i := range slices.Sorted(maps.Keys(w.customers)) {
		p := w.customers[i]
		if r.Offered > 0 && p.Offered > 0 && p.Share() < starvedAt {
			r.Starved += p.Offered / r.Offered
		}
	}
	for i := range r.Seconds {
		s := &r.Seconds[i]
		if s.At = i; s.hist != nil {
			s.P99 = float64(s.hist.ValueAtQuantile(99)) / 1000
			s.hist = nil
		}
	}
}
