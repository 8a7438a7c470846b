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
	Scenario       string             `json:"Scenario"`
	Policy         string             `json:"Policy"`
	Seed           int64              `json:"Seed"`
	Score          float64            `json:"Score"`          // value served, as a fraction of the value offered within quotas
	Offered        float64            `json:"Offered"`        // value, within quotas
	Served         float64            `json:"Served"`         // value
	Asked          int64              `json:"Asked"`          // transactions that clients meant to send
	Tries          int64              `json:"Tries"`          // requests of clients, with retries
	Settled        int64              `json:"Settled"`        // transactions
	Late           int64              `json:"Late"`           // completed transactions that missed the latency target
	Declined       int64              `json:"Declined"`       // requests
	Voided         int64              `json:"Voided"`         // requests whose transaction may have run
	Failed         int64              `json:"Failed"`         // transactions that their clients gave up
	Lost           int64              `json:"Lost"`           // requests that found no instance, or died with it
	Crashed        int64              `json:"Crashed"`        // those of them that died with it
	Recalled       int64              `json:"Recalled"`       // customers restored from checkpoints by restarted instances
	Silent         int64              `json:"Silent"`         // requests that timed out while an instance stalled
	Submissions    int64              `json:"Submissions"`    // to workers
	Full           int64              `json:"Full"`           // attempts that a worker rejected
	OverUnits      float64            `json:"OverUnits"`      // units served beyond quotas
	OverCost       float64            `json:"OverCost"`       // their cost in value
	Messages       int64              `json:"Messages"`       // to peers, apart from borrowing
	CreditMessages int64              `json:"CreditMessages"` // to peers, of borrowing
	Lent           float64            `json:"Lent"`           // units borrowed
	RepaidLate     float64            `json:"RepaidLate"`     // units repaid after their time
	Stray          int64              `json:"Stray"`          // decisions on transactions that are not in flight
	Events         int64              `json:"Events"`
	Mean           float64            `json:"Mean"` // of the latency, from when the client meant to send
	P50            float64            `json:"P50"`
	P99            float64            `json:"P99"`
	P999           float64            `json:"P999"`
	Breaks         [6]int             `json:"Breaks"`    // violations by rule, 1 to 5
	RefuseAll      int                `json:"RefuseAll"` // instances that rejected all requests, 15 or more, for 4 s
	Falls          int                `json:"Falls"`     // cold workers that were overloaded, known as started or not
	NearFall       float64            `json:"NearFall"`  // highest load of a cold worker, as a fraction of what overloads it
	Products       []Part             `json:"Products"`  // of the value within quotas
	Plans          []Part             `json:"Plans"`     // of the value within quotas
	Starved        float64            `json:"Starved"`   // fraction of that value, of customers who got less than starvedAt of theirs
	First          []invariants.Break `json:"First"`     // the first violations
	Seconds        []Second           `json:"Seconds"`
}

// starvedAt is the part of what a customer asks within its quota under which it counts as starved.
const starvedAt = 0.1

// Part is the value that was asked within quotas of one product or plan, and what was served of it in time.
type Part struct {
	Name    string  `json:"Name"`
	Asked   int64   `json:"Asked"` // also beyond quotas; not counted for customers
	Offered float64 `json:"Offered"`
	Served  float64 `json:"Served"`
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
	At      int       `json:"At"` // since the start
	Settled int       `json:"Settled"`
	P99     float64   `json:"P99"`     // of the latency
	Most    float64   `json:"Most"`    // of the latency
	Offered float64   `json:"Offered"` // value
	Served  float64   `json:"Served"`  // value
	Inside  float64   `json:"Inside"`  // of Served, what was within quotas, before the cost of what was beyond
	Ran     []float64 `json:"Ran"`     // transactions that workers ran, by region

	hist *hdrhistogram.Histogram // latency; nil after the run
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
	r.First, r.Breaks = w.judge.Breaks()
	r.Falls, r.NearFall = w.judge.Falls()
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
