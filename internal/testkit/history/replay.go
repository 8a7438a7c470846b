package history

import (
	"fmt"
	"slices"

	"willowdeck/internal/testkit/invariants"
)

// Cast names what invariants.Rules numbers: the index of a name is its number there.
type Cast struct {
	Gatekeepers, Workers, Products, Plans []string
}

// InvariantsResult is the result of CheckInvariants.
type InvariantsResult struct {
	Result
	Rules  [6]int   // violations by rule; the index is the rule's number
	Unsaid int      // attempts whose end no record has: each counts as one that may have run
	Odd    []string // the first events that cannot be replayed, and why
	OddOf  int      // how many there were
}

// replay is the state of CheckInvariants on its way through a record.
type replay struct {
	*InvariantsResult
	checker      *invariants.Checker
	numbers      [4]map[string]int
	byTxn        map[string]*request
	first        int64
	requests     []*request // by the checker's number, from 1
	incarnations incarnations
	arrivals     map[arrival]bool
	starts       map[int]float64 // of workers
}

// request is a request that a client has sent.
type request struct {
	id       uint64
	attempts []attempt
	evidence []Event
}

// attempt is one attempt of a request.
type attempt struct {
	gatekeeper, worker string
	serial             uint64
	ended              bool
}

// CheckInvariants replays a record to internal/testkit/invariants, which stays the one place of the five
// rules: txns by what clients recorded (Asks with Product, Plan, Customer, Units, Peer and Expiry; Ends),
// submissions by gatekeepers (Sends, with Serial where one worker gets a txn more than once), runs by workers
// (Ran), ends of submissions by either (AttemptEnded), availability of workers by gateways (Notified; one
// that says active tells of the start, too), starts of workers (Began), and deaths. Times are ms from the
// record's first event. Where a worker has recorded how a submission ended, that counts, whatever its
// gatekeeper says of it later.
//
// What a record cannot give: a submission whose connection broke is known by its gatekeeper's word alone,
// so an AttemptEnded of a gateway that says NeverRan is believed unless a worker's record has the submission.
func CheckInvariants(r Record, cast Cast, rules invariants.Rules) InvariantsResult {
	var out InvariantsResult
	p := &replay{InvariantsResult: &out, checker: invariants.New(rules), byTxn: map[string]*request{},
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
	p.incarnations, p.arrivals = incarnationsOf(r), arrivals(r)
	for _, e := range r.Events {
		p.event(e)
		p.crashes(e)
	}
	p.checker.Close(millis(r.end()-p.first) + 1)
	breaks, counts := p.checker.Violations()
	out.Rules = counts
	for _, n := range counts {
		out.Count += n
	}
	for _, b := range breaks {
		k := Violation{At: p.first + nanos(b.At), Says: b.String()}
		if b.Txn > 0 && b.Txn <= uint64(len(p.requests)) {
			k.Rests = slices.Clone(p.requests[b.Txn-1].evidence)
			k.Says = fmt.Sprintf("%s (%s)", k.Says, k.Rests[0].Txn)
		}
		out.Violations = append(out.Violations, k)
	}
	for _, t := range p.requests {
		for _, s := range t.attempts {
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

// number returns the number of a name in the cast; an event that names another cannot be replayed.
func (p *replay) number(of int, name string, e Event) (int, bool) {
	n, known := p.numbers[of][name]
	if !known {
		p.unreplayable(e, "no "+castNames[of]+" "+name+" in the cast")
	}
	return n, known
}

// unreplayable records an event that the checker cannot be given.
func (p *replay) unreplayable(e Event, why string) {
	if p.OddOf++; len(p.Odd) < maxViolations {
		p.Odd = append(p.Odd, why+": "+e.String())
	}
}

// event replays one event.
func (p *replay) event(e Event) {
	at := millis(e.At - p.first)
	t := p.byTxn[e.Txn]
	switch e.Kind {
	case Began:
		if n, is := p.numbers[workers][e.Who]; is {
			p.checker.WorkerStarted(at, n)
			p.starts[n] = at
		}
		return
	case Notified:
		g, is := p.number(gatekeepers, e.Who, e)
		if w, too := p.number(workers, e.Worker, e); is && too {
			p.checker.AvailabilityNotified(at, g, w, e.Mode == Active)
			if since, cold := p.starts[w]; cold && e.Mode == Active {
				p.checker.StartNotified(g, w, since)
			}
		}
		return
	case Asks:
		p.requested(at, e, t)
		return
	case Sends, Ran, AttemptEnded, Ends:
	default:
		return
	}
	p.Seen++
	if t == nil {
		if e.Kind != Ends {
			p.unreplayable(e, "nobody has asked for the txn")
		}
		return
	}
	t.evidence = append(t.evidence, e)
	switch e.Kind {
	case Sends:
		p.sent(at, e, t)
	case Ran:
		if n := t.attempt(worker(e), e.Serial); n < 0 {
			p.unreplayable(e, "no gatekeeper has sent it")
		} else {
			p.checker.AttemptRan(at, t.id, n)
		}
	case AttemptEnded:
		p.attemptEnded(at, e, t)
	case Ends:
		p.answered(at, e, t)
	}
}

// sent replays an attempt that a gateway sent.
func (p *replay) sent(at float64, e Event, t *request) {
	g, is := p.number(gatekeepers, e.Who, e)
	w, too := p.number(workers, e.Worker, e)
	if !is || !too {
		return
	}
	p.checker.AttemptSent(at, g, t.id, w)
	t.attempts = append(t.attempts, attempt{e.Who, e.Worker, e.Serial, false})
}

// answered replays a request's final answer, or that its client left.
func (p *replay) answered(at float64, e Event, t *request) {
	switch e.Says {
	case Left:
		p.checker.ClientLeft(t.id)
	case Succeeded:
		p.checker.RequestAnswered(at, t.id, invariants.Succeeded)
	case Declined:
		p.checker.RequestAnswered(at, t.id, invariants.Declined)
	case Voided:
		p.checker.RequestAnswered(at, t.id, invariants.Voided)
	default:
		p.unreplayable(e, "no such answer")
	}
}

// crashes replays crashes of gateways: where the rig says so, else at the last line of a life that
// has a successor and no Gone, and again, for what was asked for meanwhile, when that one begins.
func (p *replay) crashes(e Event) {
	here := incarnation{e.Who, e.Incarnation}
	who, dead := e.Who, p.incarnations.endsAt(here, e.At) && !p.incarnations.exited[here]
	switch e.Kind {
	case Died:
		who, dead = e.Peer, true
	case Began:
		for _, o := range p.incarnations.byProcess[e.Who] {
			if o == here {
				break
			}
			dead = p.incarnations.lastAt[o] <= e.At && !p.incarnations.exited[o]
		}
	}
	if n, is := p.numbers[gatekeepers][who]; is && dead {
		p.checker.GatewayCrashed(n)
	}
}

// requested replays a request.
func (p *replay) requested(at float64, e Event, t *request) {
	p.Seen++
	if t != nil {
		p.unreplayable(e, "the txn is asked for again")
		return
	}
	g, is := p.number(gatekeepers, e.Peer, e)
	product, too := p.number(products, e.Product, e)
	plan, also := p.number(plans, e.Plan, e)
	if !is || !too || !also {
		return
	}
	if e.Expiry == 0 {
		p.unreplayable(e, "no expiry")
		return
	}
	t = &request{id: uint64(len(p.requests)) + 1, evidence: []Event{e}}
	p.requests = append(p.requests, t)
	p.byTxn[e.Txn] = t
	p.checker.RequestReceived(at, g, t.id, product, plan, int(e.Customer), e.Units, millis(e.Expiry-p.first))
}

// attempt returns the index of the attempt at a worker, the last one where they have no serials; -1 if none.
func (t *request) attempt(worker string, serial uint64) int {
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if s := t.attempts[i]; s.worker == worker && s.serial == serial {
			return i
		}
	}
	return -1
}

// attemptEnded replays the end of an attempt.
func (p *replay) attemptEnded(at float64, e Event, t *request) {
	n := t.attempt(worker(e), e.Serial)
	if n < 0 {
		p.unreplayable(e, "no gatekeeper has sent it")
		return
	}
	s := &t.attempts[n]
	byGatekeeper := e.Who == s.gatekeeper
	end := invariants.MayHaveRun
	switch {
	case e.Says == NeverRan && (!byGatekeeper || !p.arrivals[arrival{e.Txn, s.worker, e.Serial}]):
		end = invariants.NeverRan
	case e.Says == NeverRan, e.Says == MayRun:
	case e.Says == Answered:
		end = invariants.Answered
	default:
		p.unreplayable(e, "no such end")
		return
	}
	if s.ended && byGatekeeper { // the worker's own word stands
		return
	}
	s.ended = true
	p.checker.AttemptEnded(at, t.id, n, end)
}
