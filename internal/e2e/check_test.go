package e2e

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"willowdeck/internal/borrowing/audit"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/testkit/invariants"
)

// What the checks let pass beside what is promised.
const (
	// bunched is by how many ms a machine that does other work, with all these processes on it, sets the line
	// of an act apart from the act: a stretch without a core, on either side. Ceilings pass as much more as
	// their rate gives in it, an answer may come so much after its expiry, and a worker's line names a version
	// so much after its gatekeeper has left it.
	bunched = 500.0
	// hearsay is the units that the quota alone lets pass beyond its rate and burst, as stores go by hearsay
	// and those that start again have theirs full: that of internal/borrowing/rig, for the same plan.
	hearsay = 68.0
	// granted is how many ms of a ceiling's rate internal/testkit/invariants lets pass by itself.
	granted = 150.0
)

// evidence is a record and what the checks know beside it.
type evidence struct {
	history.Record
	members []string
	rules   map[uint64]ruleset.Rules // by version
}

// verdict is what one check has found.
type verdict struct {
	history.Result
	says string // figures
}

// checks are all that must hold, by name.
var checks = []struct {
	name string
	run  func(*evidence) verdict
}{
	{"five rules", fiveRules}, {"contradiction", contradiction}, {"versions", versions}, {"ledger", books},
	{"window of credit", window}, {"ceiling", ceilings}, {"words", words}, {"heard twice", heardTwice},
}

// gathered reads the record of a run.
func (p *party) gathered() *evidence {
	p.t.Helper()
	r, err := history.Read(p.records)
	p.must(err)
	e := &evidence{Record: r, rules: map[uint64]ruleset.Rules{}}
	for _, m := range p.entered {
		e.members = append(e.members, m.Name)
	}
	for _, o := range r.Events {
		if o.Kind == history.Decided && o.Says == "" {
			rules, known := p.known[o.Digest]
			if !known {
				p.t.Errorf("nobody has proposed %v", o)
			}
			e.rules[o.Version] = rules
		}
	}
	e.number()
	return e
}

// number gives submissions the places that gatekeeper and worker agree on. A gatekeeper counts also those
// that it has decided on and not sent, and the worker those alone that have come. Of several of a txn to one
// worker a line of that worker is held to be of the last one before it of which its gatekeeper does not say
// that it has never run.
func (e *evidence) number() {
	type way struct{ txn, worker string }
	type sent struct {
		at     int64
		serial uint64 // as the gatekeeper says
		never  bool
		came   int // the worker's serial and one; 0: it has not
	}
	all := map[way][]*sent{}
	for i := range e.Events {
		o := &e.Events[i]
		w := way{o.Txn, o.Worker}
		switch o.Kind {
		case history.Sends:
			all[w] = append(all[w], &sent{at: o.At, serial: o.Serial})
		case history.AttemptEnded:
			for _, s := range all[w] {
				s.never = s.never || s.serial == o.Serial && o.Says == history.NeverRan
			}
		}
	}
	for i := range e.Events {
		o := &e.Events[i]
		of := all[way{o.Txn, o.Worker}]
		switch o.Kind {
		case history.Sends, history.AttemptEnded:
			o.Serial = uint64(slices.IndexFunc(of, func(s *sent) bool { return s.serial == o.Serial }))
		case history.Got, history.Ran:
			came := int(o.Serial) + 1
			best := slices.IndexFunc(of, func(s *sent) bool { return s.came == came })
			for j, s := range of {
				if (best < 0 || of[best].came != came && (of[best].never || !s.never)) && s.came == 0 && s.at <= o.At {
					best = j
				}
			}
			if best >= 0 {
				of[best].came, o.Serial = came, uint64(best)
			}
		}
	}
}

// span is a time.
type span struct{ from, to int64 }

// away gives for each gatekeeper when it stood still, and when it was there at all.
func (e *evidence) away() (still, there map[string][]span) {
	still, there = map[string][]span{}, map[string][]span{}
	type life struct {
		who string
		n   uint32
	}
	at := map[life]int{}
	end := e.Events[len(e.Events)-1].At
	over := func(who string, i int, t int64) {
		if all := there[who]; i < len(all) && all[i].to == end {
			all[i].to = t
		}
	}
	last := func(who string) int { return len(there[who]) - 1 }
	wakes := func(who string, t int64) { // also one that is killed as it stands still
		if all := still[who]; len(all) > 0 && all[len(all)-1].to == end {
			all[len(all)-1].to = t
		}
	}
	for _, o := range e.Events {
		switch o.Kind {
		case history.Began:
			at[life{o.Who, o.Incarnation}] = len(there[o.Who])
			there[o.Who] = append(there[o.Who], span{o.At, end})
		case history.Gone:
			over(o.Who, at[life{o.Who, o.Incarnation}], o.At)
		case history.Died:
			if i := last(o.Peer); i >= 0 {
				over(o.Peer, i, o.At)
			}
			wakes(o.Peer, o.At)
		case history.Stalls:
			still[o.Peer] = append(still[o.Peer], span{o.At, end})
		case history.Wakes:
			wakes(o.Peer, o.At)
		}
	}
	return still, there
}

// judged is the record as the judge is told it. Workers were there long before, so that they do not start at
// its beginning. No answer is owed to a client whose gatekeeper stood still or was not there while it waited.
func (e *evidence) judged() (r history.Record, excused int) {
	still, there := e.away()
	r = history.Record{Files: e.Files}
	for _, o := range e.Events {
		if o.Kind == history.Began && o.Incarnation == 1 && o.Who[0] == 'w' {
			continue
		}
		r.Events = append(r.Events, o)
		if o.Kind != history.Asks {
			continue
		}
		left := slices.ContainsFunc(still[o.Peer], func(s span) bool {
			return s.from <= o.Expiry && s.to+int64(bunched*1e6) >= o.At
		})
		if left = left || !slices.ContainsFunc(there[o.Peer], func(s span) bool {
			return s.from <= o.At && s.to >= o.Expiry
		}); left {
			o.Kind, o.Says = history.Ends, history.Left
			r.Events = append(r.Events, o)
			excused++
		}
	}
	return r, excused
}

func fiveRules(e *evidence) verdict {
	r, excused := e.judged()
	_, _, names := cast(1, 1)
	n := float64(len(e.members))
	// A cold worker falls by three times what it bears, and a warm one gets its part of the load.
	rules := invariants.Rules{Slack: bunched, Grace: bunched, Capacity: perS / workers,
		WarmingFraction: coldFrom,
		WarmUp:          warmUp, OverloadFactor: 3, OverloadWindow: 1500,
		Products: []invariants.Product{{Repeat: invariants.Inquiry},
			{Repeat: invariants.Referenced, Window: 5000}, {Repeat: invariants.Once}}, Plans: []invariants.Plan{{},
			{RateLimit: ceiling * n, Depth: (depth + ceiling*(bunched-granted)/1000) * n}, {}}}
	j := history.CheckInvariants(r, history.Cast{Gatekeepers: e.members, Workers: names, Products: productNames,
		Plans: planNames}, rules)
	v := verdict{j.Result,
		fmt.Sprintf("by rule %v, %d txns excused, %d submissions of whose end nobody writes, "+
			"%d odd", j.Rules[1:], excused, j.Unsaid, j.OddOf)}
	if j.OddOf > 0 {
		v.says += ", the first: " + j.Odd[0]
	}
	return v
}

func contradiction(e *evidence) verdict {
	first := e.rules[1]
	bound := ruleset.ConflictBoundMillis(&first)
	// What is sent bare is sent by no version. What a link that was cut or slow has held says nothing of when
	// its gatekeeper has sent it: its own line does.
	bare, at := map[[2]string]bool{}, map[[2]string]int64{}
	bent := e.bent()
	var r history.Record
	held := 0
	for _, o := range e.Events {
		if o.Kind == history.Got && slices.ContainsFunc(bent[o.Who], func(s span) bool {
			return s.from <= o.At && s.to >= at[[2]string{o.Txn, o.Worker}]
		}) {
			held++
			continue
		}
		if o.Kind == history.Sends {
			at[[2]string{o.Txn, o.Worker}] = o.At
		}
		r.Events = append(r.Events, o)
	}
	for i := range r.Events {
		switch o := &r.Events[i]; {
		case o.Kind == history.Sends && o.Mode == history.Bare:
			bare[[2]string{o.Txn, o.Worker}], o.Version = true, 0
		case o.Kind == history.Sends:
			delete(bare, [2]string{o.Txn, o.Worker})
		case o.Kind == history.Got && bare[[2]string{o.Txn, o.Worker}]:
			o.Version = 0
		}
	}
	c := history.Contradiction(r, history.Leases(e.rules), bound, bunched)
	return verdict{c.Result, fmt.Sprintf("longest %.0f of %.0f ms, a submission %.0f ms after its version, "+
		"%d spans, %d submissions unnamed, %d held by links", c.Longest, bound, c.Lag, c.Spans, c.Unnamed, held)}
}

// bent gives for each worker when the links to it were cut or shaped, and the time after in which what they
// held comes out.
func (e *evidence) bent() map[string][]span {
	out := map[string][]span{}
	wrong := map[[3]string]int{} // direction and what, to its place
	for _, o := range e.Events {
		f := strings.Fields(strings.ReplaceAll(o.Says, ",", ""))
		if o.Kind != history.Faults || len(f) < 6 || f[3] != "fleet" && f[5] != "fleet" {
			continue
		}
		w, what := f[3], f[2]
		if w == "fleet" {
			w = f[5]
		}
		begins := what == "cut" || what == "shape" && f[len(f)-1] != "plain"
		if what == "heal" {
			what = "cut"
		}
		key := [3]string{f[3], f[5], what}
		if i, open := wrong[key]; open {
			out[w][i].to = o.At + int64(bunched*1e6)
			delete(wrong, key)
		}
		if begins {
			wrong[key] = len(out[w])
			out[w] = append(out[w], span{o.At, math.MaxInt64})
		}
	}
	return out
}

func versions(e *evidence) verdict {
	v := history.Versions(e.Record)
	v.Seen = min(v.Seen, v.Reads)
	return verdict{v.Result, fmt.Sprintf("%d in force, %d reads, porcupine: %q", v.InForce, v.Reads, v.Checker)}
}

func books(e *evidence) verdict {
	a := audit.Check(e.Record, func(history.Event) audit.CreditLine {
		return audit.CreditLine{Units: lentRate * lentS, RepayMillis: repayS * 1000}
	}, func(who string) string { return who[1:] }, bunched)
	says := fmt.Sprintf("lent %.1f, repaid %.1f, earned %.1f, handed %.1f, debts moved %.1f, on their way for "+
		"up to %.0f ms, forgotten %.1f, %.0f%% of the line at once", a.Lent, a.Repaid, a.Earned, a.RightsMoved,
		a.DebtMoved,
		a.LongestTransitMillis, a.DebtForgotten, 100*a.PeakDrawnShare)
	v := verdict{history.Result{Count: a.ViolationCount, Seen: a.Events}, says}
	for _, s := range a.Violations {
		at := 0.0
		_, _ = fmt.Sscanf(s, "%f ms", &at)
		v.Violations = append(v.Violations, history.Violation{At: int64(at * 1e6), Says: s})
	}
	if a.DebtForgotten > 0 {
		v.Count++
	}
	return v
}

func window(e *evidence) verdict {
	w := history.Window(e.Record, history.Got, func(o history.Event) history.Limit {
		if o.Plan != "lent" {
			return history.Limit{}
		}
		return history.Limit{Rate: lentRate, Depth: lentAll + lentRate*lentS + hearsay}
	})
	w.Seen = min(w.Seen, w.Customers)
	return verdict{w.Result, fmt.Sprintf("%.0f%% of what may pass at once", 100*w.Most)}
}

// ceilings holds what workers got against the ceiling in force, or any that was within what is promised for
// the time until nobody goes by it any more. Who goes by no version sends nothing under a ceiling.
func ceilings(e *evidence) verdict {
	type turn struct {
		at int64
		history.Limit
	}
	var turns []turn
	known := map[uint64]bool{}
	for _, o := range e.Events {
		if o.Kind == history.Decided && o.Says == "" && !known[o.Version] {
			known[o.Version] = true
			q := e.rules[o.Version].Plans[1]
			turns = append(turns, turn{o.At, history.Limit{Rate: q.CeilingRate, Depth: q.CeilingDepth}})
		}
	}
	n := 0
	w := history.RateLimit(e.Record, history.Got, func(o history.Event) (l history.Limit) {
		if o.Plan != "capped" {
			return l
		}
		n++
		for _, t := range slices.Backward(turns) {
			if t.at > o.At {
				continue
			}
			if t.Rate > l.Rate {
				l = t.Limit
			}
			if t.at < o.At-int64(ruleset.DefaultConflictBoundMillis*1e6) {
				break
			}
		}
		return l
	}, bunched)
	w.Seen = n
	asks := e.asks()
	for _, o := range e.Events {
		if o.Kind == history.Sends && o.Mode == history.Bare && asks[o.Txn].Plan == "capped" {
			w.Count++
			w.Violations = append(w.Violations, history.Violation{At: o.At, Says: "sent bare under a ceiling",
				Rests: []history.Event{o}})
		}
	}
	return verdict{w.Result, fmt.Sprintf("%d units, %.0f%% of what may pass at once", n, 100*w.Most)}
}

// words finds what was sent to a worker by rules that say that nothing is to be.
func words(e *evidence) verdict {
	var v verdict
	for _, o := range e.Events {
		if o.Kind != history.Sends {
			continue
		}
		for _, w := range e.rules[o.Version].WorkerOverrides {
			if w.Worker == o.Worker && (w.Barred || w.Drained) {
				v.Count++
				v.Violations = append(v.Violations, history.Violation{At: o.At, Says: "sent against the operators' word",
					Rests: []history.Event{o}})
			}
		}
		if len(e.rules[o.Version].WorkerOverrides) > 0 {
			v.Seen++
		}
	}
	v.says = fmt.Sprintf("%d sent by rules with a word", v.Seen)
	return v
}

// heardTwice looks at what is taken of peers. A message's name has all by which its serials are counted.
func heardTwice(e *evidence) verdict {
	var r history.Record
	for _, o := range e.Events {
		if o.Kind == history.Takes {
			o.Peer = fmt.Sprint(o.Peer, o.Customer, o.Base, o.Says)
			o.Kind = history.Received
			r.Events = append(r.Events, o)
		}
	}
	return verdict{history.ReceivedTwice(r), fmt.Sprintf("%d hand-overs of rights and debts", len(r.Events))}
}
