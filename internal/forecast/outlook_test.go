package forecast

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/policy"
)

const nowMS = 1_800_000_000_000

// terms is a charter of two products and one plan.
func terms(n int) policy.Settings {
	return policy.Settings{GatewayCount: n, MaxRequestUnits: 1, MaxAttempts: 3, AllowGossip: true,
		PeerMessagesPerSecond: 200,
		ReportsPerMessage:     31, ColdCapacityFraction: 0.3, WarmUpMillis: 8000, TotalWeight: 1,
		Products: []policy.Product{
			{LatencyTargetMillis: 500, Value: 1}, {LatencyTargetMillis: 500, Value: 5,
				Idempotency: policy.NonIdempotent}},
		Plans: []policy.Plan{{QuotaPerSecond: 20, QuotaBurst: 40, ValueFactor: 1}}}
}

// words are those of n gatekeepers in three halls by turns, each asked by customers in sets of three, before
// four workers of each hall with two cores that take 20 ms and are used to a part.
func words(n int, use float64) (all []*Word) {
	halls := []string{"east", "north", "west"}
	q := servers{2, 20, 0.04}
	pace := 1 + 20 + q.wq(use)
	for i := range n {
		w := &Word{Form: Form, Name: fmt.Sprintf("g%d", i), Host: "h", Hall: halls[i%3], Group: "all", Number: i,
			Life: 7, Seq: 3, At: nowMS - int64(i), Span: 10000, Charter: terms(n),
			Products: []string{"check", "issue"}, Plans: []string{"basic"}, Window: 12, InHand: 3}
		perS := use * 12 * 2 / 0.02 / float64(n)
		w.Flows = []Flow{{Asked: 0.8 * perS, Units: 0.8 * perS, Settled: 0.8 * perS},
			{Asked: 0.2 * perS, Units: 0.2 * perS, Settled: 0.2 * perS}}
		w.Customers = []policy.PlanSnapshot{{Customers: perS / 10, DemandPerSecond: perS}}
		w.Customers[0].DemandByUtilization[3] = perS // at about half of their rate
		for k := range 3 {
			w.Sets = append(w.Sets, policy.GatewaySetSnapshot{FirstGateway: (i - k + n) % n, Size: 3,
				DemandPerSecond: perS / 3})
		}
		for _, h := range halls {
			x := Hall{Name: h, Workers: 4, Able: 4, InHand: 1, Busy: -1}
			for _, part := range []float64{0.8, 0.2} {
				x.Answers = append(x.Answers, Answers{PerS: part * perS / 3, Pace: pace, Spread: 0.2 * (pace - 1)})
			}
			w.Halls = append(w.Halls, x)
		}
		all = append(all, w)
	}
	return all
}

func rules() Rules {
	r := Usual
	r.Cores, r.Way = 2, 1
	return r
}

func bytesOf(t *testing.T, o *Outlook) string {
	t.Helper()
	b, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func costOf(t *testing.T, o *Outlook, l Loss) *Cost {
	t.Helper()
	for i := range o.Losses {
		if o.Losses[i].Loss.Same(l) {
			return &o.Losses[i]
		}
	}
	t.Fatalf("no %v of %v: %v", l.Kind, l.Halls, o.Unknown)
	return nil
}

// Guards against answers that hang on the order in which words came, on a map's, or on older words beside.
func TestSameBytes(t *testing.T) {
	all := words(9, 0.7)
	want := bytesOf(t, Project(all, rules()))
	text := string(AppendText(nil, Project(all, rules())))
	rng := rand.New(rand.NewSource(1))
	for range 20 {
		mixed := slices.Clone(all)
		older := *all[rng.Intn(9)]
		older.Seq, older.Flows = 2, []Flow{{Asked: 1e6}, {}}
		mixed = append(mixed, &older)
		rng.Shuffle(len(mixed), func(i, k int) { mixed[i], mixed[k] = mixed[k], mixed[i] })
		if got := bytesOf(t, Project(mixed, rules())); got != want {
			t.Fatalf("another order:\n%s\n%s", got, want)
		}
		if got := string(AppendText(nil, Project(mixed, rules()))); got != text {
			t.Fatalf("another text:\n%s\n%s", got, text)
		}
	}
}

// What a loss costs: nothing much where the others have room, what they have no room for where they have not.
func TestCosts(t *testing.T) {
	east := Loss{Whole, []string{"east"}}
	for _, c := range []struct {
		use         float64
		loss        Loss
		least, most float64 // part of the value that is lost
		missing     string
	}{
		{0.3, east, -0.001, 0.01, ""},
		// Two thirds of the workers for 0.9 of what all can do: of each ten txns two or three are declined, most
		// of them of the product that has 0.44 of the value.
		{0.9, east, 0.12, 0.25, "workers: "},
		{0.9, Loss{Whole, []string{"east", "north"}}, 0.33, 0.66, "workers: "},
		{0.9, Loss{Keepers, []string{"east"}}, -0.001, 0.05, ""},
		{0.6, Loss{Links, []string{"east"}}, -0.001, 0.02, ""}, // each hall's gatekeepers have workers of their own
		{0.45, Loss{Slowed, []string{"east"}}, 0.12, 0.25, "workers: "},
	} {
		o := Project(words(9, c.use), rules())
		cost := costOf(t, o, c.loss)
		part := cost.After.Lost / o.Now.Value
		if part < c.least || part > c.most {
			t.Errorf("use %v, %v of %v: %.3f of the value lost, not from %v to %v", c.use, c.loss.Kind, c.loss.Halls,
				part, c.least, c.most)
		}
		if c.missing != "" && !strings.Contains(strings.Join(cost.Missing, "\n"), c.missing) {
			t.Errorf("%v of %v: missing are %v", c.loss.Kind, c.loss.Halls, cost.Missing)
		}
		if n := len(o.Losses); n != 24 {
			t.Errorf("%d losses, not four kinds of three halls and three pairs", n)
		}
	}
	// Workers' own word on how busy they are stands for what operators did not state.
	all := words(9, 0.9)
	for _, w := range all {
		for i := range w.Halls {
			w.Halls[i].Busy = 0.9
		}
	}
	r := rules()
	r.Cores = 0
	o := Project(all, r)
	if part := costOf(t, o, east).After.Lost / o.Now.Value; part < 0.12 || part > 0.25 {
		t.Errorf("by how busy workers are: %.3f of the value lost", part)
	}
}

// Nothing that is not known is taken as nought: it is named.
func TestNamed(t *testing.T) {
	all := words(9, 0.5)
	whole := Project(all, rules()).Now.Value
	all[2].At -= 20000
	all[4].Charter.Plans = []policy.Plan{{QuotaPerSecond: 21, QuotaBurst: 40, ValueFactor: 1}}
	all = slices.Delete(all, 7, 8)
	o := Project(all, rules())
	if len(o.Old) != 1 || o.Old[0].Name != "g2" || o.Old[0].Age < 19900 {
		t.Errorf("old: %v", o.Old)
	}
	if len(o.Other) != 1 || !strings.Contains(o.Other[0], "g4") {
		t.Errorf("other: %v", o.Other)
	}
	if len(o.Unheard) != 1 || !strings.Contains(o.Unheard[0], "number 2 4 7 of 9") || o.Scaled != 1.5 {
		t.Errorf("unheard: %v, scaled %v", o.Unheard, o.Scaled)
	}
	if math.Abs(o.Now.Value/whole-1) > 0.01 {
		t.Errorf("value %v of %v: those unheard are to count as the others do", o.Now.Value, whole)
	}
	text := string(AppendText(nil, o))
	for _, s := range []string{"too old: g2", "g4: goes by other", "number 2 4 7 of 9",
		"loss of hall: east and north"} {
		if !strings.Contains(text, s) {
			t.Errorf("%q is not in the text:\n%s", s, text)
		}
	}
	r := rules()
	r.Cores = 0
	if o := Project(words(9, 0.5), r); len(o.Losses) != 0 || len(o.Unknown) != 1 ||
		!strings.Contains(o.Unknown[0], "worker_cores") || o.Now.Halls[0].Use != -1 {
		t.Errorf("without cores: %v, %d losses", o.Unknown, len(o.Losses))
	}
	all = words(9, 0.5)
	all[0].Hall = "eest"
	if o := Project(all, rules()); len(o.Unknown) != 1 || !strings.Contains(o.Unknown[0], "hall eest") ||
		len(o.Losses) == 0 {
		t.Errorf("a hall that no worker stands in: %v", o.Unknown)
	}
	if o := Project(nil, r); len(o.Unknown) != 1 {
		t.Errorf("without words: %v", o)
	}
}

// A set that is lost whole has its customers served by others only where operators say so; clients that go
// round a set reach the next that lives, and use up tries on the way.
func TestHeirs(t *testing.T) {
	all := words(9, 0.5)
	for i, w := range all { // each customer comes through one gatekeeper
		w.Sets = []policy.GatewaySetSnapshot{{FirstGateway: i, Size: 1, DemandPerSecond: 1}}
	}
	r := rules()
	for _, elsewhere := range []bool{true, false} {
		r.Elsewhere = elsewhere
		o := Project(all, r)
		c := costOf(t, o, Loss{Keepers, []string{"west"}})
		part := c.First.Lost / o.Now.Value
		if elsewhere && part > 0.01 || !elsewhere && math.Abs(part-1.0/3) > 0.01 {
			t.Errorf("elsewhere %v: %.3f of the value lost", elsewhere, part)
		}
		if len(c.Missing) == 0 || !strings.HasPrefix(c.Missing[0], "gatekeepers: ") || c.Orphans == 0 {
			t.Errorf("missing: %v, orphans %v", c.Missing, c.Orphans)
		}
	}
	o := &Outlook{Rules: rules(), Scaled: 1}
	o.Rules.Tries = 3
	f := o.gather(o.sift(words(9, 0.5)))
	s := f.stage(Loss{Whole, []string{"east", "north"}})
	// A set of three in a row has one of each hall, and from east the next is north: the third try finds west.
	if got, none, late := f.heirs(0, s); len(got[0]) != 1 || got[0][0] != (heir{2, 1, 2, 1}) ||
		none[0]+late[0] > 0 {
		t.Errorf("heirs of east: %v, none %v, too late %v", got, none, late)
	}
	f.rules.Tries = 2
	s = f.stage(Loss{Whole, []string{"east", "north"}})
	if got, none, late := f.heirs(0, s); len(got[0]) != 0 || none[0] != 0 || late[0] != 1 {
		t.Errorf("with two tries, heirs of east: %v, none %v, too late %v", got, none, late)
	}
}

// Loans fill in for what quotas keep back until shares have moved, up to the line.
func TestCredit(t *testing.T) {
	all := words(9, 0.5)
	for _, w := range all {
		w.Customers[0].Customers *= 0.55 // so that each asks about as much as it may
	}
	without := costOf(t, Project(all, rules()), Loss{Keepers, []string{"east"}})
	open := 0.0
	for _, w := range all {
		w.Credit = []Credit{{Rights: 80, Open: 20}}
		open += 80
	}
	with := costOf(t, Project(all, rules()), Loss{Keepers, []string{"east"}})
	if without.First.Lost <= 0 || without.First.Credit != 0 || with.First.Credit <= 0 ||
		with.First.Credit > open*2/3 || with.First.Lost >= without.First.Lost {
		t.Errorf("lost %v without credit, %v with %v units of it", without.First.Lost, with.First.Lost,
			with.First.Credit)
	}
}

// A word that makes no sense is refused by the figure at fault, and one of another form by that.
func TestBadWords(t *testing.T) {
	for _, c := range []struct {
		change func(*Word)
		says   string
	}{
		{func(w *Word) { w.Form = 2 }, "form: 2, not 1"},
		{func(w *Word) { w.Hall = "" }, "hall"},
		{func(w *Word) { w.Name = "a\nb" }, "control character"},
		{func(w *Word) { w.Name = strings.Repeat("x", 200) }, "over 128 bytes"},
		{func(w *Word) { w.Number = 9 }, "number: 9 of 9"},
		{func(w *Word) { w.Flows[1].Asked = -1 }, "flows[1]: -1"},
		{func(w *Word) { w.Flows = w.Flows[:1] }, "flows: 1 for 2 products x 1 plans"},
		{func(w *Word) { w.Halls[2].Answers[0].Pace = 1e300 }, "halls[2].answers[0]: 1e+300"},
		{func(w *Word) { w.Halls[1].Name = "" }, "halls[1]"},
		{func(w *Word) { w.Sets[0].FirstGateway = 99 }, "sets[0]"},
		{func(w *Word) { w.Customers[0].DemandByUtilization[2] = -4 }, "customers[0].use: -4"},
		{func(w *Word) { w.Charter.Plans[0].QuotaPerSecond = -4 }, "charter.plans[0]: -4"},
		{func(w *Word) { w.Charter.Products[1].LatencyTargetMillis = -1 }, "charter.products[1]: -1"},
		{func(w *Word) { w.Window = -1 }, "window: -1"},
		{func(w *Word) { w.Credit = []Credit{{}, {}} }, "credit: 2 for 1 plans"},
		{func(w *Word) { w.At = 0 }, "at: 0"},
		{func(w *Word) { w.Reasons[1] = math.Inf(1) }, ""},
	} {
		w := words(9, 0.5)[0]
		c.change(w)
		if c.says == "" {
			if _, err := Append(nil, w); err == nil {
				t.Error("what is no number was encoded")
			}
			continue
		}
		b, err := json.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%v, not %q", err, c.says)
		}
	}
	b, _ := json.Marshal(words(9, 0.5)[0])
	if _, err := Decode(b); err != nil {
		t.Error(err)
	}
	for text, says := range map[string]string{`{"Form":1,"Window":NaN}`: "word:",
		`{"Form":1,"Extra":1}`: "Extra", "": "word:", strings.Repeat(" ", LongestWord+1): "over"} {
		if _, err := Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%.20q: %v", text, err)
		}
	}
}

// The formulas, against what is known or played.
func TestQueues(t *testing.T) {
	for _, c := range []struct{ k, use, wq float64 }{ // M/M/k, in services, by Erlang's C
		{1, 0.8, 4}, {2, 0.8, 1.778}, {4, 0.9, 1.969}, {8, 0.7, 0.105}} {
		q := servers{c.k, 1, 1}
		if got := q.wq(c.use); math.Abs(got-c.wq) > 0.1*c.wq+0.02 {
			t.Errorf("%v cores, use %v: waits %v, not %v", c.k, c.use, got, c.wq)
		}
		rate := c.use * c.k
		if s := service(c.k, 1, 1+q.wq(c.use), rate); math.Abs(s-1) > 1e-6 {
			t.Errorf("%v cores, use %v: a txn takes %v, not 1", c.k, c.use, s)
		}
	}
	// Two sorts, one of which may fill half of a window of four: Erlang's loss for the one alone.
	one := admits([]flowing{{0.02, 1}}, 4, 100, nil)
	if want := 1 - 0.0952; math.Abs(one[0]-want) > 0.001 { // B(4, 2)
		t.Errorf("lets in %v, not %v", one[0], want)
	}
	two := admits([]flowing{{0.02, 1}, {0.02, 0.5}}, 4, 100, nil)
	if two[0] <= two[1] || two[0] >= 1 {
		t.Errorf("lets in %v", two)
	}
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct{ rate, depth, demand float64 }{{20, 40, 25}, {20, 10, 19}, {20, 20, 20}} {
		level, lost, asked, held := c.depth, 0.0, 0.0, 0.0
		for range 400000 {
			if level = math.Min(level+rng.ExpFloat64()/c.demand*c.rate, c.depth); level >= 1 {
				level--
			} else {
				lost++
			}
			asked++
			held += level
		}
		s := store{c.rate, c.depth, c.demand, c.demand}
		if got := s.short(); math.Abs(got-lost/asked) > 0.02 {
			t.Errorf("%+v: short by %v, played %v", c, got, lost/asked)
		}
		if a, b := s.shortFor(5, 1), s.shortFor(500, 1); a >= b || b > s.short()+1e-9 || s.shortFor(5, 0.2) <= a {
			t.Errorf("%+v: short by %v over 5 s, %v over 500, %v over 5 from a fifth of its depth", c, a, b,
				s.shortFor(5, 0.2))
		}
		if got := s.level(); math.Abs(got-held/asked/c.depth) > 0.1 {
			t.Errorf("%+v: holds %v of its depth, played %v", c, got, held/asked/c.depth)
		}
	}
}

// A meter counts what it is told as rates over its span, and takes no memory for it.
func TestMeter(t *testing.T) {
	c := terms(3)
	m := NewMeter(c, 5)
	var tally policy.Stats
	now := 1e9
	for range 30 { // 30 s; only the last ten count
		for range 10 {
			now += 100
			m.Mark(now, &tally)
			m.Asked(0, 1, 2)
			m.Ended(0, 1, Settled, 600)
			m.Answered(1, 1, policy.Succeeded, 30, false)
			m.Said(1, policy.WorkerLoad{CPUFraction: 0.5})
			tally.FinalByReason[policy.ReasonQuota]++
		}
	}
	m.Answered(1, 0, policy.TimedOut, 500, false)
	w := Word{Name: "a", Hall: "h", Group: "g", Charter: c, Products: []string{"x", "y"}, Plans: []string{"p"}}
	sight := policy.Snapshot{Plans: make([]policy.PlanSnapshot, 1), Regions: make([]policy.RegionSnapshot, 2)}
	sight.Regions[1].Workers = 1
	m.Tell(&w, now, &tally, &sight, func(z int) string { return fmt.Sprint("hall", z) })
	if err := w.Check(); err != nil {
		t.Fatal(err)
	}
	f := w.Flows[1]
	if w.Span > 12500 || w.Span < 8000 || math.Abs(f.Asked-10) > 0.2 || math.Abs(f.Units-20) > 0.4 ||
		math.Abs(f.Settled-10) > 0.2 || f.Late != f.Settled || math.Abs(w.Reasons[policy.ReasonQuota]-10) > 0.2 {
		t.Errorf("span %v, flow %+v, reasons %v", w.Span, f, w.Reasons)
	}
	if len(w.Halls) != 1 || w.Halls[0].Name != "hall1" || w.Halls[0].Busy != 0.5 ||
		math.Abs(w.Halls[0].Answers[1].Pace-30) > 1e-6 || w.Halls[0].Answers[0].Wasted <= 0 {
		t.Errorf("halls %+v", w.Halls)
	}
	if n := testing.AllocsPerRun(100, func() {
		m.Asked(0, 0, 1)
		m.Ended(0, 0, Declined, 3)
		m.Answered(0, 0, policy.Succeeded, 3, false)
		now += 2000
		m.Mark(now, &tally)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
	m = nil // where no word is told
	m.Asked(0, 0, 1)
	m.Ended(0, 0, Settled, 1)
	m.Answered(0, 0, policy.Succeeded, 1, false)
}

// Guards against words whose figures are no gatekeeper's, though within bounds, that take a core for ever.
func TestBoundedWork(t *testing.T) {
	c := terms(mostKeepers)
	c.Products, c.Plans = nil, nil
	var products, plans []string
	for i := range mostProducts {
		c.Products = append(c.Products, policy.Product{LatencyTargetMillis: 500, Value: float64(i),
			Idempotency: policy.NonIdempotent})
		products = append(products, fmt.Sprint("p", i))
	}
	for i := range mostPlans {
		c.Plans = append(c.Plans, policy.Plan{QuotaPerSecond: 1e9, QuotaBurst: 1e9, ValueFactor: float64(i + 1)})
		plans = append(plans, fmt.Sprint("q", i))
	}
	var all []*Word
	for i, w := range words(6, 0.9) {
		w.Charter, w.Products, w.Plans = c, products, plans
		w.Flows, w.Sets = make([]Flow, len(products)*len(plans)), nil
		w.Customers = make([]policy.PlanSnapshot, len(plans))
		for k := range w.Flows {
			w.Flows[k] = Flow{Asked: 1e8, Units: 1e8, Settled: 1e8}
		}
		for k := range w.Customers {
			w.Customers[k] = policy.PlanSnapshot{Customers: 5, DemandPerSecond: 1e8}
			w.Customers[k].DemandByUtilization[4+k%9] = 1e8
		}
		for k := range policy.MaxSnapshotSets {
			w.Sets = append(w.Sets, policy.GatewaySetSnapshot{Plan: k, Size: mostKeepers, DemandPerSecond: 1e8})
		}
		for h := range w.Halls {
			w.Halls[h].Answers = make([]Answers, len(products))
			for k := range w.Halls[h].Answers {
				w.Halls[h].Answers[k] = Answers{PerS: 1e8, Pace: 21, Spread: 4}
			}
		}
		w.Number = i * 700
		if err := w.Check(); err != nil {
			t.Fatal(err)
		}
		all = append(all, w)
	}
	began := time.Now()
	if o := Project(all, rules()); len(o.Losses) == 0 {
		t.Errorf("nothing is foretold: %v", o.Unknown)
	}
	if took := time.Since(began); took > 30*time.Second { // about one
		t.Errorf("took %v", took)
	} else {
		t.Log(took)
	}
}

// FuzzDecode holds that no text makes a word that the projection chokes on.
func FuzzDecode(f *testing.F) {
	b, _ := json.Marshal(words(3, 0.5)[0])
	f.Add(b)
	f.Add([]byte(`{"Form":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if w, err := Decode(raw); err == nil {
			if _, err := json.Marshal(Project([]*Word{w}, rules())); err != nil {
				t.Error(err)
			}
		}
	})
}

func BenchmarkMeter(b *testing.B) {
	m := NewMeter(terms(3), 1)
	b.ReportAllocs()
	for b.Loop() {
		m.Asked(0, 1, 1)
		m.Answered(0, 1, policy.Succeeded, 20, false)
		m.Ended(0, 1, Settled, 20)
	}
}

func BenchmarkProject(b *testing.B) {
	for _, n := range []int{21, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := words(n, 0.9)
			for b.Loop() {
				Project(all, rules())
			}
		})
	}
}
