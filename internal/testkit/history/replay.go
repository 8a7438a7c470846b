package history

import (
	"fmt"
	"slices"

	"willowdeck/internal/testkit/invariants"
)

// Cast names those whom invariants.Rules number: the place of a name is its number there.
type Cast struct {
	Gatekeepers, Workers, Products, Plans []string
}

// Judged is what Judge finds.
type Judged struct {
	Found
	Rules  [6]int   // breaks by rule; a rule's place is its number
	Unsaid int      // submissions of whose end no record speaks: each counts as one that may have run
	Odd    []string // the first events that judge cannot be told of, and why
	OddOf  int      // how many there were
}

// replay is one record on its way into judge.
type replay struct {
	*Judged
	j       *invariants.Checker
	numbers [4]map[string]int
	txns    map[string]*asked
	first   int64
	by      []*asked // by judge's number, from 1
	lives   lives
	came    map[arrival]bool
	starts  map[int]float64 // of workers
}

// asked is a txn that a client has asked for.
type asked struct {
	id    uint64
	subs  []submitted
	rests []Event
}

// submitted is one submission.
type submitted struct {
	gatekeeper, worker string
	serial             uint64
	ended              bool
}

// Judge tells a record to internal/testkit/invariants, which stays the one place of the five rules: txns by
// what clients
// recorded (Asks with Product, Plan, Customer, Units, Peer and Expiry; Ends), submissions by gatekeepers
// (Sends, with Serial where one worker gets a txn more than once), runs by workers (Ran), ends of
// submissions by either (Back), words on workers by gatekeepers (Told; one that says active tells of the
// start, too), starts of workers (Began), and deaths. Times are ms from the record's first event. Where a
// worker has recorded how a submission ended, that counts, whatever its gatekeeper says of it later.
//
// What a record cannot give: a submission whose connection broke is known by its gatekeeper's word alone,
// so a Back of a gatekeeper that says NeverRan is believed unless a worker's record has the submission.
func Judge(r Record, cast Cast, rules invariants.Rules) Judged {
	var out Judged
	p := &replay{Judged: &out, j: invariants.New(rules), txns: map[string]*asked{},
		starts: map[int]float64{}}
	for i, names := range [][]string{cast.Gatekeepers, cast.Workers, cast.Products, cast.Plans} {
		p.numbers[i] = map[string]int{}
		for n, name := range names {
			p.numbers[i][name] = n
		}
	}
	if len(r.Events) > 0 {
		p.first = r.Events[0].At
	}
	p.lives, p.came = livesOf(r), arrivals(r)
	for _, e := range r.Events {
		p.event(e)
		p.deaths(e)
	}
	p.j.Close(ms(r.end()-p.first) + 1)
	breaks, counts := p.j.Violations()
	out.Rules = counts
	for _, n := range counts {
		out.Count += n
	}
	for _, b := range breaks {
		k := Break{At: p.first + ns(b.At), Says: b.String()}
		if b.Txn > 0 && b.Txn <= uint64(len(p.by)) {
			k.Rests = slices.Clone(p.by[b.Txn-1].rests)
			k.Says = fmt.Sprintf("%s (%s)", k.Says, k.Rests[0].Txn)
		}
		out.Breaks = append(out.Breaks, k)
	}
	for _, t := range p.by {
		for _, s := range t.subs {
			if !s.ended {
				out.Unsaid++
			}
		}
	}
	return out
}

type arrival struct {
	txn, worker string
	serial      uint64
}

// arrivals gives the submissions that workers have recorded.
func arrivals(r Record) map[arrival]bool {
	m := map[arrival]bool{}
	for _, e := range r.Events {
		if e.Kind == Got || e.Kind == Ran {
			m[arrival{e.Txn, worker(e), e.Serial}] = true
		}
	}
	return m
}

// worker names the worker of an event: as the event does, else who wrote it.
func worker(e Event) string {
	if e.Worker != "" {
		return e.Worker
	}
	return e.Who
}

const (
	gatekeepers = iota
	workers
	products
	plans
)

var castNames = [...]string{"gatekeeper", "worker", "product", "plan"}

// number gives what judge calls one of the cast; one that is not in it is odd.
func (p *replay) number(of int, name string, e Event) (int, bool) {
	n, known := p.numbers[of][name]
	if !known {
		p.odd(e, "no "+castNames[of]+" "+name+" in the cast")
	}
	return n, known
}

func (p *replay) odd(e Event, why string) {
	if p.OddOf++; len(p.Odd) < mostKept {
		p.Odd = append(p.Odd, why+": "+e.String())
	}
}

func (p *replay) event(e Event) {
	at := ms(e.At - p.first)
	t := p.txns[e.Txn]
	switch e.Kind {
	case Began:
		if n, is := p.numbers[workers][e.Who]; is {
			p.j.WorkerStarted(at, n)
			p.starts[n] = at
		}
		return
	case Told:
		g, is := p.number(gatekeepers, e.Who, e)
		if w, too := p.number(workers, e.Worker, e); is && too {
			p.j.AvailabilityNotified(at, g, w, e.Mode == Active)
			if since, cold := p.starts[w]; cold && e.Mode == Active {
				p.j.StartNotified(g, w, since)
			}
		}
		return
	case Asks:
		p.asks(at, e, t)
		return
	case Sends, Ran, Back, Ends:
	default:
		return
	}
	p.Seen++
	if t == nil {
		if e.Kind != Ends {
			p.odd(e, "nobody has asked for the txn")
		}
		return
	}
	t.rests = append(t.rests, e)
	switch e.Kind {
	case Sends:
		g, is := p.number(gatekeepers, e.Who, e)
		w, too := p.number(workers, e.Worker, e)
		if !is || !too {
			return
		}
		p.j.AttemptSent(at, g, t.id, w)
		t.subs = append(t.subs, submitted{e.Who, e.Worker, e.Serial, false})
	case Ran:
		if n := t.sub(worker(e), e.Serial); n < 0 {
			p.odd(e, "no gatekeeper has sent it")
		} else {
			p.j.AttemptRan(at, t.id, n)
		}
	case Back:
		p.back(at, e, t)
	case Ends:
		switch e.Says {
		case Left:
			p.j.ClientLeft(t.id)
		case Settled:
			p.j.RequestAnswered(at, t.id, invariants.Settled)
		case Declined:
			p.j.RequestAnswered(at, t.id, invariants.Declined)
		case Voided:
			p.j.RequestAnswered(at, t.id, invariants.Voided)
		default:
			p.odd(e, "no such answer")
		}
	}
}

// deaths tells of gatekeepers that were killed: where the rig says so, else at the last line of a life that
// has a successor and no Gone, and again, for what was asked for meanwhile, when that one begins.
func (p *replay) deaths(e Event) {
	here := life{e.Who, e.Life}
	who, dead := e.Who, p.lives.over(here, e.At) && !p.lives.gone[here]
	switch e.Kind {
	case Died:
		who, dead = e.Peer, true
	case Began:
		for _, o := range p.lives.by[e.Who] {
			if o == here {
				break
			}
			dead = p.lives.last[o] <= e.At && !p.lives.gone[o]
		}
	}
	if n, is := p.numbers[gatekeepers][who]; is && dead {
		p.j.GatewayCrashed(n)
	}
}

// asks tells of a txn.
func (p *replay) asks(at float64, e Event, t *asked) {
	p.Seen++
	if t != nil {
		p.odd(e, "the txn is asked for again")
		return
	}
	g, is := p.number(gatekeepers, e.Peer, e)
	product, too := p.number(products, e.Product, e)
	plan, also := p.number(plans, e.Plan, e)
	if !is || !too || !also {
		return
	}
	if e.Expiry == 0 {
		p.odd(e, "no expiry")
		return
	}
	t = &asked{id: uint64(len(p.by)) + 1, rests: []Event{e}}
	p.by = append(p.by, t)
	p.txns[e.Txn] = t
	p.j.RequestReceived(at, g, t.id, product, plan, int(e.Customer), e.Units, ms(e.Expiry-p.first))
}

// sub finds the submission to a worker, the last of them where they have no serials.
func (t *asked) sub(worker string, serial uint64) int {
	for i := len(t.subs) - 1; i >= 0; i-- {
		if s := t.subs[i]; s.worker == worker && s.serial == serial {
			return i
		}
	}
	return -1
}

// back tells of the end of a submission.
func (p *replay) back(at float64, e Event, t *asked) {
	n := t.sub(worker(e), e.Serial)
	if n < 0 {
		p.odd(e, "no gatekeeper has sent it")
		return
	}
	s := &t.subs[n]
	byGatekeeper := e.Who == s.gatekeeper
	end := invariants.MayHaveRun
	switch {
	case e.Says == NeverRan && (!byGatekeeper || !p.came[arrival{e.Txn, s.worker, e.Serial}]):
		end = invariants.NeverRan
	case e.Says == NeverRan, e.Says == MayRun:
	case e.Says == Answered:
		end = invariants.Answered
	default:
		p.odd(e, "no such end")
		return
	}
	if s.ended && byGatekeeper { // the worker's own word stands
		return
	}
	s.ended = true
	p.j.AttemptEnded(at, t.id, n, end)
}
