// Package invariants checks the five rules over a run. It is told facts in the order of time, by whoever saw
// them, and keeps books of its own; it knows nothing of how gatekeepers decide and shares no code with
// them.
package invariants

import (
	"fmt"
	"math"
)

// Repeat is what a second run of a product would do.
type Repeat uint8

// The kinds of products.
const (
	Inquiry Repeat = iota
	Referenced
	Once
)

// Product is what the rules need of a product.
type Product struct {
	Repeat Repeat
	Work   float64             // of a txn, in those that Capacity counts; 0 is one
	Window float64             // ms in which workers drop a repeat
	Same   func(a, b int) bool // whether two workers share their memory of references; nil: all do
}

// Plan is what the rules need of a plan: its hard ceiling, units a second and units at once; 0 is none.
type Plan struct{ Ceiling, Depth float64 }

// Rules are the rules' figures, times in ms.
type Rules struct {
	Products  []Product
	Plans     []Plan
	Overlap   bool    // submissions of a txn may be out together
	Slack     float64 // by which a final answer may be late
	Grace     float64 // after a drain is told
	Capacity  float64 // units of mean work a second that a warm worker does
	ColdFrom  float64 // the part of it that one does that has just started
	WarmUp    float64 // until it does all
	Tips      float64 // times what it can do at a moment that a cold worker bears
	TipsAfter float64 // for so long
}

// toldMost is the part of what a cold worker got before it fell, from gatekeepers that knew of its start, up
// to which the fall breaks no rule.
const toldMost = 2.0 / 3

// ceilingSlack is how much of a ceiling's rate is let pass besides, ms: news takes as long.
const ceilingSlack = 150.0

// End tells what the end of a submission proves.
type End uint8

// The ends.
const (
	NeverRan End = iota // proven
	MayHaveRun
	Answered
)

// Final is a final answer.
type Final uint8

// The final answers.
const (
	Settled Final = iota
	Declined
	Voided
)

// Break is one rule broken.
type Break struct {
	Rule       int
	At         float64
	Gatekeeper int
	Txn        uint64
	Says       string
}

func (b Break) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, gatekeeper %d, txn %d: %s", b.Rule, b.At, b.Gatekeeper, b.Txn,
		b.Says)
}

type submission struct {
	worker int
	at     float64
	out    bool
	mayRun bool // since it ended
	ran    bool
}

type txn struct {
	gatekeeper, product, plan, customer int
	units, expiry                       float64
	subs                                []submission
	final, excused                      bool
	runs                                int
}

type cold struct {
	started float64
	fallen  bool
	knows   map[int]bool // gatekeepers that have been told of the start
	sent    []sent
}

type sent struct {
	at, work float64
	knew     bool
}

type store struct{ level, at float64 }

// Judge keeps the books of one run.
type Judge struct {
	rules   Rules
	txns    map[uint64]*txn
	told    map[[2]int]float64 // gatekeeper and worker: since when it is told not to send there
	cold    map[int]*cold
	spent   map[int]*store // by customer
	breaks  []Break
	counts  [6]int
	falls   int
	nearest float64
	waits   []uint64 // txns by the order in which they were taken, until they are looked at
}

// mostKept bounds the breaks that are kept whole; all are counted.
const mostKept = 100

// New makes a judge.
func New(r Rules) *Judge {
	return &Judge{rules: r, txns: map[uint64]*txn{}, told: map[[2]int]float64{}, cold: map[int]*cold{},
		spent: map[int]*store{}}
}

// Breaks gives the first breaks, and how many there were by rule.
func (j *Judge) Breaks() (first []Break, counts [6]int) { return j.breaks, j.counts }

func (j *Judge) broken(rule int, at float64, gatekeeper int, id uint64, format string, args ...any) {
	if j.counts[rule]++; len(j.breaks) < mostKept {
		j.breaks = append(j.breaks, Break{rule, at, gatekeeper, id, fmt.Sprintf(format, args...)})
	}
}

// Taken tells that a gatekeeper has a whole txn, whose client waits until a moment.
func (j *Judge) Taken(at float64, gatekeeper int, id uint64, product, plan, customer int, units,
	expiry float64) {
	j.txns[id] = &txn{gatekeeper: gatekeeper, product: product, plan: plan, customer: customer, units: units,
		expiry: expiry}
	j.waits = append(j.waits, id)
	for len(j.waits) > 0 && j.look(at, j.waits[0]) {
		j.waits = j.waits[1:]
	}
}

// look drops a txn of which nothing more can come, and finds one that was never answered. It tells
// whether it is done with it.
func (j *Judge) look(at float64, id uint64) bool {
	t := j.txns[id]
	if at <= t.expiry+j.rules.Slack {
		return false
	}
	if !t.final && !t.excused {
		j.broken(1, at, t.gatekeeper, id, "no final answer by its expiry at %.1f", t.expiry)
		t.excused = true
	}
	if at < t.expiry+j.longest() {
		return false
	}
	delete(j.txns, id)
	return true
}

// longest is how long after its expiry a txn's submissions may still run.
func (j *Judge) longest() float64 {
	most := 10000.0
	for _, p := range j.rules.Products {
		most = math.Max(most, p.Window)
	}
	return most
}

// Sent tells that a submission has been written whole.
func (j *Judge) Sent(at float64, gatekeeper int, id uint64, worker int) {
	t := j.txns[id]
	if t == nil {
		j.broken(1, at, gatekeeper, id, "sent to worker %d, and never taken", worker)
		return
	}
	if t.final {
		j.broken(1, at, gatekeeper, id, "sent to worker %d after its final answer", worker)
	}
	j.repeats(at, gatekeeper, id, t, worker)
	if since, told := j.told[[2]int{gatekeeper, worker}]; told && at > since+j.rules.Grace {
		j.broken(3, at, gatekeeper, id, "sent to worker %d, told to drain or gone at %.1f", worker, since)
	}
	j.warms(at, gatekeeper, id, t, worker)
	if len(t.subs) == 0 {
		j.ceiling(at, gatekeeper, id, t)
	}
	t.subs = append(t.subs, submission{worker: worker, at: at, out: true})
}

// repeats checks rule 2 for one more submission.
func (j *Judge) repeats(at float64, gatekeeper int, id uint64, t *txn, worker int) {
	p := &j.rules.Products[t.product]
	for i := range t.subs {
		s := &t.subs[i]
		if s.out && !j.rules.Overlap {
			j.broken(2, at, gatekeeper, id, "submission %d is out when %d is sent", i, len(t.subs))
		}
		if !s.out && !s.mayRun {
			continue
		}
		switch {
		case p.Repeat == Once:
			j.broken(2, at, gatekeeper, id, "once-only: %d may have run when %d is sent", i, len(t.subs))
		case p.Repeat == Referenced && at > s.at+p.Window+j.rules.Slack:
			j.broken(2, at, gatekeeper, id, "referenced: %d may have run %.1f ms before, past the window", i, at-s.at)
		case p.Repeat == Referenced && p.Same != nil && !p.Same(s.worker, worker):
			j.broken(2, at, gatekeeper, id, "referenced: %d may have run outside the group of worker %d", i, worker)
		}
	}
}

// warms checks rule 4: a cold worker falls when all gatekeepers together send it more than N + 2 root N + 2
// txns of mean work in the time that it bears too much, N being what it bears then; two standard deviations
// of what comes by chance. The rule is broken by a fall of which most came from those who knew of the start.
func (j *Judge) warms(at float64, gatekeeper int, id uint64, t *txn, worker int) {
	c := j.cold[worker]
	if c == nil || c.fallen || at >= c.started+j.rules.WarmUp {
		return
	}
	for len(c.sent) > 0 && c.sent[0].at <= at-j.rules.TipsAfter {
		c.sent = c.sent[1:]
	}
	work := j.rules.Products[t.product].Work
	if work <= 0 {
		work = 1
	}
	c.sent = append(c.sent, sent{at, work, c.knows[gatekeeper]})
	sum, knew := 0.0, 0.0
	for _, s := range c.sent {
		if sum += s.work; s.knew {
			knew += s.work
		}
	}
	part := j.rules.ColdFrom + (1-j.rules.ColdFrom)*(at-c.started)/j.rules.WarmUp
	n := j.rules.Tips * part * j.rules.Capacity * j.rules.TipsAfter / 1000
	most := n + 2*math.Sqrt(n) + 2
	j.nearest = math.Max(j.nearest, sum/most)
	if sum <= most {
		return
	}
	j.falls, c.fallen = j.falls+1, true
	if knew > toldMost*sum {
		j.broken(4, at, gatekeeper, id, "worker %d, started at %.1f, got %.1f of mean work in %v ms, bears %.1f",
			worker, c.started, sum, j.rules.TipsAfter, most)
	}
}

// Falls tells how many cold workers were pushed over, whoever knew of them, and how near to that the one came
// that got the most for what it bears: 1 is there.
func (j *Judge) Falls() (n int, nearest float64) { return j.falls, j.nearest }

// ceiling checks rule 5 for a first submission, which takes the txn's units.
func (j *Judge) ceiling(at float64, gatekeeper int, id uint64, t *txn) {
	p := j.rules.Plans[t.plan]
	if p.Ceiling <= 0 {
		return
	}
	most := p.Depth + p.Ceiling*ceilingSlack/1000
	s := j.spent[t.customer]
	if s == nil {
		s = &store{level: most, at: at}
		j.spent[t.customer] = s
	}
	s.level = math.Min(s.level+(at-s.at)*p.Ceiling/1000, most) - t.units
	if s.at = at; s.level < -1e-6 {
		j.broken(5, at, gatekeeper, id, "customer %d is %.2f units beyond its ceiling", t.customer, -s.level)
		s.level = 0
	}
}

// Ended tells that submission n of a txn is no longer out, and what its end proves.
func (j *Judge) Ended(_ float64, id uint64, n int, e End) {
	if t := j.txns[id]; t != nil && n < len(t.subs) {
		s := &t.subs[n]
		s.out = false
		s.mayRun = s.ran || e != NeverRan
	}
}

// Ran tells that a worker has run submission n of a txn.
func (j *Judge) Ran(at float64, id uint64, n int) {
	t := j.txns[id]
	if t == nil || n >= len(t.subs) {
		return
	}
	t.subs[n].ran = true
	if t.runs++; t.runs > 1 && j.rules.Products[t.product].Repeat == Once {
		j.broken(2, at, t.gatekeeper, id, "once-only, and run %d times", t.runs)
	}
}

// Answered tells that a txn has got a final answer.
func (j *Judge) Answered(at float64, id uint64, f Final) {
	t := j.txns[id]
	if t == nil {
		return
	}
	switch {
	case t.final:
		j.broken(1, at, t.gatekeeper, id, "a second final answer")
	case at > t.expiry+j.rules.Slack && !t.excused:
		j.broken(1, at, t.gatekeeper, id, "answered %.1f ms after its expiry", at-t.expiry)
	}
	t.final = true
	if f != Declined || j.rules.Products[t.product].Repeat != Once {
		return
	}
	for i := range t.subs {
		if s := &t.subs[i]; s.out || s.mayRun {
			j.broken(2, at, t.gatekeeper, id, "once-only, declined when %d may have run", i)
		}
	}
}

// Left tells that a txn's client waits no longer, or has lost its gatekeeper: no answer is owed.
func (j *Judge) Left(id uint64) {
	if t := j.txns[id]; t != nil {
		t.excused = true
	}
}

// Crashed tells that a gatekeeper has died: no answer is owed by it, and all that it had out may have
// run. What a new process in its place is told begins anew.
func (j *Judge) Crashed(gatekeeper int) {
	for _, t := range j.txns {
		if t.gatekeeper != gatekeeper {
			continue
		}
		t.excused = true
		for i := range t.subs {
			if s := &t.subs[i]; s.out {
				s.out, s.mayRun = false, true
			}
		}
	}
	for k := range j.told {
		if k[0] == gatekeeper {
			delete(j.told, k)
		}
	}
}

// Told tells what a gatekeeper has been told of a worker: whether it may send there.
func (j *Judge) Told(at float64, gatekeeper, worker int, active bool) {
	k := [2]int{gatekeeper, worker}
	if _, known := j.told[k]; active {
		delete(j.told, k)
	} else if !known {
		j.told[k] = at
	}
}

// Started tells that a worker's process has started, cold.
func (j *Judge) Started(at float64, worker int) {
	j.cold[worker] = &cold{started: at, knows: map[int]bool{}}
}

// Knows tells that a gatekeeper has been told when a worker's process started.
func (j *Judge) Knows(gatekeeper, worker int, started float64) {
	if c := j.cold[worker]; c != nil && c.started == started {
		c.knows[gatekeeper] = true
	}
}

// Close looks at all txns for the last time.
func (j *Judge) Close(at float64) {
	for _, id := range j.waits {
		j.look(at, id)
	}
}
