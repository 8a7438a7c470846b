// Package forecast projects what the loss of a hall would cost if its neighbours served its customers, from
// the words that gatekeepers say of themselves. It is free of I/O and reads no clock: the same words give the
// same outlook, byte for byte. Why it reckons as it does: docs/outlook-design.md.
package forecast

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	"willowdeck/internal/policy"
)

const (
	Form         = 1       // of a word; one of another is not taken
	LongestWord  = 1 << 18 // bytes; 40 plans x 20 products and 64 sets have some 100,000
	LongestWords = 1 << 25 // bytes of what one daemon tells another; 300 usual words have 3 million
	MostHalls    = 32      // that are told apart
	mostProducts = 32
	mostPlans    = 64
	mostKeepers  = 10000 // gatekeepers of a group: as many as agreed rules may name
	longestName  = 128   // bytes
	mostFigure   = 1e12  // any of them; more is no measure of anything here
	MostAhead    = 2000  // ms that a word's clock may be ahead of its hearer's
)

// Flow is what became of txns, a second.
type Flow struct {
	Asked, Units            float64 // units are what was asked for, whatever became of it
	Settled, Late           float64 // late is the part of what was settled that came after its SLA time
	Declined, Voided, Other float64 // other: the client left, or a clearance lapsed
}

// Hall is what one gatekeeper sees of the workers of a hall.
type Hall struct {
	Name    string
	Workers int     // on its list, and taking txns
	Able    float64 // in warm workers
	InHand  int     // its own submissions
	Busy    float64 // part of the cores in use, by workers' own word; below nought where they say nothing
	Answers []Answers
}

// Answers are those of a hall's workers to one product's submissions.
type Answers struct {
	PerS   float64
	Pace   float64 // ms of an answer, on average
	Spread float64 // standard deviation of that, ms
	Wasted float64 // a second, that were run or may have been and settled nothing
}

// Credit is what a plan's customers may borrow at this gatekeeper without asking others, and have borrowed at
// it, units.
type Credit struct{ Rights, Open float64 }

// Word is what one gatekeeper says of itself and of what it sees.
type Word struct {
	Form    int
	Name    string
	Host    string // whose daemon keeps it
	Hall    string // where it stands
	Group   string // which gatekeepers it shares quotas with: a digest of their addresses
	Number  int    // its place among them
	Life    uint32 // grows with each start of its process
	Seq     uint64 // of this word in that life
	Version uint64 // of the rules that it goes by; 0 where they are those of its start
	At      int64  // when it was measured, Unix ms by its own clock
	Span    float64
	Charter policy.Settings // but for its own number

	Products, Plans []string
	Flows           []Flow // by plan, and product in it
	Customers       []policy.PlanSnapshot
	Sets            []policy.GatewaySetSnapshot
	Others          float64 // demand of customers of sets beyond the most that are told
	Halls           []Hall
	Credit          []Credit // by plan; empty where none is lent
	Window, Press   float64
	InHand          int
	Silent, Gone    int                         // peers
	Reasons         [policy.ReasonCount]float64 // final answers a second, by why
}

// Append encodes a word.
func Append(b []byte, w *Word) ([]byte, error) {
	text, err := json.Marshal(w)
	if err != nil {
		return b, err
	}
	if len(text) > LongestWord {
		return b, fmt.Errorf("word: %d bytes, over %d", len(text), LongestWord)
	}
	return append(b, text...), nil
}

// ErrForm tells that a word was said by another version of the program.
var ErrForm = errors.New("said by another version of the program")

// Decode reads a word and checks it. An error names the figure at fault.
func Decode(raw []byte) (*Word, error) {
	if len(raw) > LongestWord {
		return nil, fmt.Errorf("word: %d bytes, over %d", len(raw), LongestWord)
	}
	var form struct{ Form int }
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, fmt.Errorf("word: %w", err)
	}
	if form.Form != Form {
		return nil, fmt.Errorf("form: %d, not %d: %w", form.Form, Form, ErrForm)
	}
	w := &Word{}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(w); err != nil {
		return nil, fmt.Errorf("word: %w", err)
	}
	return w, w.Check()
}

// Check finds the first figure of a word that makes no sense.
func (w *Word) Check() error {
	c := &w.Charter
	np, nq := len(c.Products), len(c.Plans)
	switch {
	case w.Form != Form:
		return fmt.Errorf("form: %d, not %d", w.Form, Form)
	case w.Name == "" || w.Hall == "" || w.Group == "":
		return errors.New("name, hall, group: one is empty")
	case len(w.Name) > longestName || len(w.Host) > longestName || len(w.Hall) > longestName ||
		len(w.Group) > longestName:
		return fmt.Errorf("name, host, hall, group: one is over %d bytes", longestName)
	case strings.ContainsAny(w.Name+w.Host+w.Hall+w.Group, "\n\r\x00"):
		return errors.New("name, host, hall, group: one has a control character")
	case c.GatewayCount < 1 || c.GatewayCount > mostKeepers || w.Number < 0 || w.Number >= c.GatewayCount:
		return fmt.Errorf("number: %d of %d gatekeepers", w.Number, c.GatewayCount)
	case np < 1 || np > mostProducts || nq < 1 || nq > mostPlans:
		return fmt.Errorf("charter: %d products and %d plans", np, nq)
	case len(w.Products) != np || len(w.Plans) != nq:
		return fmt.Errorf("products, plans: %d and %d names for %d and %d", len(w.Products), len(w.Plans), np, nq)
	case len(w.Flows) != np*nq:
		return fmt.Errorf("flows: %d for %d products x %d plans", len(w.Flows), np, nq)
	case len(w.Customers) != nq:
		return fmt.Errorf("customers: %d for %d plans", len(w.Customers), nq)
	case len(w.Sets) > policy.MaxSnapshotSets:
		return fmt.Errorf("sets: %d, over %d", len(w.Sets), policy.MaxSnapshotSets)
	case len(w.Halls) > MostHalls:
		return fmt.Errorf("halls: %d, over %d", len(w.Halls), MostHalls)
	case len(w.Credit) != 0 && len(w.Credit) != nq:
		return fmt.Errorf("credit: %d for %d plans", len(w.Credit), nq)
	case w.At <= 0:
		return fmt.Errorf("at: %d", w.At)
	case w.InHand < 0 || w.Silent < 0 || w.Gone < 0:
		return errors.New("in hand, silent, gone: one is below nought")
	}
	return w.figures()
}

// figures checks what is measured, and the charter's amounts.
func (w *Word) figures() error {
	var err error
	is := func(v float64, key string, at ...any) {
		if err == nil && (!(v >= 0) || v > mostFigure) {
			err = fmt.Errorf("%s: %v is below nought, no number or beyond all measure", fmt.Sprintf(key, at...), v)
		}
	}
	is(w.Span, "span")
	is(w.Window, "window")
	is(w.Press, "press")
	is(w.Others, "others")
	for i, r := range w.Reasons {
		is(r, "reasons[%d]", i)
	}
	for i := range w.Flows {
		f := &w.Flows[i]
		for _, v := range []float64{f.Asked, f.Units, f.Settled, f.Late, f.Declined, f.Voided, f.Other} {
			is(v, "flows[%d]", i)
		}
	}
	for i := range w.Customers {
		p := &w.Customers[i]
		is(p.Customers, "customers[%d].customers", i)
		is(p.DemandPerSecond, "customers[%d].demand", i)
		for _, v := range p.DemandByUtilization {
			is(v, "customers[%d].use", i)
		}
	}
	for i, s := range w.Sets {
		is(s.DemandPerSecond, "sets[%d].demand", i)
		if err == nil && (s.Plan < 0 || s.Plan >= len(w.Plans) || s.Size < 1 || s.Size > w.Charter.GatewayCount ||
			s.FirstGateway < 0 || s.FirstGateway >= w.Charter.GatewayCount) {
			err = fmt.Errorf("sets[%d]: plan %d, %d gatekeepers from %d on", i, s.Plan, s.Size, s.FirstGateway)
		}
	}
	for i, h := range w.Halls {
		is(h.Able, "halls[%d].able", i)
		if err == nil && (h.Name == "" || len(h.Name) > longestName || h.Workers < 0 || h.InHand < 0 ||
			len(h.Answers) != len(w.Products) || !(h.Busy <= 1)) {
			err = fmt.Errorf("halls[%d]: no name, a count below nought, or not an answer for each product", i)
		}
		for k, a := range h.Answers {
			for _, v := range []float64{a.PerS, a.Pace, a.Spread, a.Wasted} {
				is(v, "halls[%d].answers[%d]", i, k)
			}
		}
	}
	for i, c := range w.Credit {
		is(c.Rights, "credit[%d].rights", i)
		is(c.Open, "credit[%d].open", i)
	}
	for i, p := range w.Charter.Products {
		for _, v := range []float64{p.LatencyTargetMillis, p.Value, p.LateValueFraction, p.DedupWindowMillis} {
			is(v, "charter.products[%d]", i)
		}
	}
	for i, p := range w.Charter.Plans {
		for _, v := range []float64{p.QuotaPerSecond, p.QuotaBurst, p.RateLimitPerSecond, p.RateLimitBurst,
			p.ValueFactor, p.ExcessValueFraction,
			p.ExcessCostFraction, p.CreditSeconds, p.RepayWithinMillis, p.WithheldFraction} {
			is(v, "charter.plans[%d]", i)
		}
		if p.MaxInFlight < 0 {
			is(-1, "charter.plans[%d].open", i)
		}
	}
	for _, v := range []float64{w.Charter.MaxRequestUnits, w.Charter.PeerMessagesPerSecond,
		w.Charter.ColdCapacityFraction,
		w.Charter.WarmUpMillis, w.Charter.OverloadFactor, w.Charter.OverloadMillis, w.Charter.TotalWeight,
		w.Charter.WorstPlanWeight,
		w.Charter.MaxRetryAfterMillis} {
		is(v, "charter")
	}
	return err
}

// Newer tells whether a word was said after another of the same gatekeeper. Lives wrap, as serial numbers.
func (w *Word) Newer(o *Word) bool {
	if w.Life != o.Life {
		return int32(w.Life-o.Life) > 0
	}
	return w.Seq > o.Seq
}

// round4 keeps four significant digits, so that what is said is no finer than what it rests on.
func round4(v float64) float64 {
	if math.Abs(v) < 1e-6 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	p := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*p) / p
}
