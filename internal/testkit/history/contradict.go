package history

import (
	"cmp"
	"slices"

	"willowdeck/internal/ruleset"
)

// Stance is what a gateway acts on: a version and a mode, one of Leased, Fallback and Bare.
type Stance struct {
	Version uint64
	Mode    string
}

// Clash reports whether two gateways contradict each other by what they act on. The one with the lower
// version is the first; two of the same version are passed too, in the order of their modes.
type Clash func(first, second Stance) bool

// Plainly is a Clash by rules alone. Two leases clash where the later version changes a ceiling, a credit
// line, the members or a bar. A fallback does not know of what came after it, so it clashes only where its
// part of its slice of a ceiling is more than a slice of the other version's, or where that has other
// members; one that goes by no version clashes with none. Versions without rules here clash with all
// others.
func Plainly(rules map[uint64]ruleset.Rules) Clash {
	return func(first, second Stance) bool {
		if first.Version == second.Version || first.Mode == Bare || second.Mode == Bare {
			return false
		}
		a, known := rules[first.Version]
		b, too := rules[second.Version]
		if !known || !too || !slices.Equal(a.Members, b.Members) {
			return true
		}
		if first.Mode == Fallback || second.Mode == Fallback {
			return first.Mode == Fallback && beyond(a, b) || second.Mode == Fallback && beyond(b, a)
		}
		return !slices.Equal(limits(a), limits(b)) || !slices.Equal(bars(a), bars(b))
	}
}

// Leases is a Clash of two leases that contradict: together more may pass than the later version allows. What
// a fallback may not do is seen in what workers are sent.
func Leases(rules map[uint64]ruleset.Rules) Clash {
	return func(first, second Stance) bool {
		a, known := rules[first.Version]
		b, too := rules[second.Version]
		leased := first.Mode == Leased && second.Mode == Leased
		if !leased || first.Version == second.Version || !known || !too {
			return false
		}
		s := ruleset.AllowanceSet{Members: a.Members}
		for i := range a.Plans {
			s.Allowances = append(s.Allowances, ruleset.LeasedAllowance(&a, i, 0))
		}
		return ruleset.ConflictingPlan([]ruleset.AllowanceSet{s}, &b) != ""
	}
}

// beyond tells whether the fallback of rules lets more through of some plan than others do.
func beyond(fallback, others ruleset.Rules) bool {
	part := fallback.Fallback.Fraction
	for _, p := range fallback.Plans {
		i := slices.IndexFunc(others.Plans, func(q ruleset.Plan) bool { return q.Name == p.Name })
		if i < 0 || others.Plans[i].CeilingRate == 0 {
			continue
		}
		q := others.Plans[i]
		if p.CeilingRate == 0 || p.CeilingRate*part > q.CeilingRate || p.CeilingDepth*part > q.CeilingDepth {
			return true
		}
	}
	return false
}

// limits returns the hard limits and credit lines, by plan.
func limits(r ruleset.Rules) []ruleset.Plan {
	var out []ruleset.Plan
	for _, p := range r.Plans {
		out = append(out, ruleset.Plan{Name: p.Name, CeilingRate: p.CeilingRate, CeilingDepth: p.CeilingDepth,
			CreditSeconds: p.CreditSeconds * p.Rate, RepayMillis: p.RepayMillis})
	}
	slices.SortFunc(out, func(a, b ruleset.Plan) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// bars returns the workers that nothing may be sent to, by region and name.
func bars(r ruleset.Rules) []ruleset.WorkerOverride {
	var out []ruleset.WorkerOverride
	for _, w := range r.WorkerOverrides {
		if w.Barred || w.Drained {
			out = append(out, ruleset.WorkerOverride{Worker: w.Worker, Region: w.Region, Barred: w.Barred,
				Drained: w.Drained})
		}
	}
	slices.SortFunc(out, func(a, b ruleset.WorkerOverride) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Worker, b.Worker))
	})
	return out
}

// Contradictions is the result of Contradiction.
type Contradictions struct {
	Result
	Longest float64 // milliseconds for which two gateways acted on contradicting versions
	Of      []Event // with which these two spans began
	Lag     float64 // milliseconds by which an attempt came after its gateway had left the version that it names
	Spans   int     // in which a gateway acted on one version in one mode
	Unnamed int     // attempts at workers that name no version, or no gateway that can be found
}

// span is a time for which one gateway acts on one stance.
type span struct {
	Stance
	began    Event
	from, to int64   // nanoseconds
	lastUse  int64   // when the gateway last sent by it for certain; 0: never
	stalls   []int64 // start and end of each stall, in turn
}

// actor is one incarnation of a process.
type actor struct {
	spans        []*span
	open         bool  // the last span goes on
	stalledSince int64 // nanoseconds; 0: not stalled
}

// leave ends the open span.
func (a *actor) leave(at int64) {
	if a.open {
		a.open = false
		a.spans[len(a.spans)-1].to = at
	}
}

// contradictionCheck is the state of Contradiction on its way through a record.
type contradictionCheck struct {
	*Contradictions
	step         float64
	incarnations incarnations
	actors       map[incarnation]*actor
	order        []*actor
	sender       map[arrival]incarnation // by what was sent to whom; its serial is not asked for
}

func (p *contradictionCheck) actor(l incarnation) *actor {
	a := p.actors[l]
	if a == nil {
		a = &actor{}
		p.actors[l], p.order = a, append(p.order, a)
	}
	return a
}

// Contradiction finds pairs of gatekeepers that act on contradicting versions for longer than bound ms, and
// submissions (as gatekeepers and workers have recorded them) that name a version on which their gatekeeper
// does not act, and has not for more than step ms. step is what may lie between a decision and the worker's
// line of it.
//
// A gatekeeper acts on a version from its Acts to its next one, or to the end of its life: its Gone, the
// rig's Died, else its last line where a later life follows, else the record's end. One that stands still
// (Stalls, Wakes) acts to the start of that, unless it sends by the version after it, or keeps to it for
// more than step after it: then all of the time counts.
func Contradiction(r Record, clash Clash, bound, step float64) Contradictions {
	var c Contradictions
	p := &contradictionCheck{&c, step, incarnationsOf(r), map[incarnation]*actor{}, nil,
		map[arrival]incarnation{}}
	for _, e := range r.Events {
		p.event(e)
	}
	var all []*span
	for _, a := range p.order {
		if a.open && a.stalledSince > 0 {
			s := a.spans[len(a.spans)-1]
			s.stalls = append(s.stalls, a.stalledSince, r.end())
		}
		a.leave(r.end())
		for _, s := range a.spans {
			s.trim(nanos(step))
			all = append(all, s)
		}
	}
	c.overlaps(all, clash, bound)
	return c
}

func (p *contradictionCheck) event(e Event) {
	here := incarnation{e.Who, e.Incarnation}
	a := p.actor(here)
	switch e.Kind {
	case Acts:
		p.Seen++
		s := Stance{e.Version, e.Mode}
		if !a.open || a.spans[len(a.spans)-1].Stance != s {
			a.leave(e.At)
			a.spans, a.open = append(a.spans, &span{Stance: s, began: e, from: e.At}), true
		}
	case Died:
		d := p.actor(p.incarnations.resolve(e.Peer, e.PeerIncarnation, e.At))
		d.leave(e.At)
		d.stalledSince = 0
	case Stalls:
		p.actor(p.incarnations.resolve(e.Peer, e.PeerIncarnation, e.At)).stalledSince = e.At
	case Wakes:
		if w := p.actor(p.incarnations.resolve(e.Peer, e.PeerIncarnation, e.At)); w.stalledSince > 0 {
			if w.open {
				s := w.spans[len(w.spans)-1]
				s.stalls = append(s.stalls, w.stalledSince, e.At)
			}
			w.stalledSince = 0
		}
	case Sends:
		p.sender[arrival{txn: e.Txn, worker: e.Worker}] = here
		p.sent([]incarnation{here}, e, 0)
	case Got:
		from := []incarnation{{e.Peer, e.PeerIncarnation}}
		if e.Peer == "" {
			from[0] = p.sender[arrival{txn: e.Txn, worker: worker(e)}]
		} else if e.PeerIncarnation == 0 {
			from = p.incarnations.byProcess[e.Peer]
		}
		if e.Version == 0 || e.Peer == "" && from[0].process == "" {
			p.Seen++
			p.Unnamed++
		} else {
			p.sent(from, e, p.step)
		}
	}
	if p.incarnations.endsAt(here, e.At) {
		a.leave(e.At)
	}
}

// sent holds one submission against what its gatekeeper, in one of some lives, goes by. late is by how many
// ms the line may be later than what it speaks of.
func (p *contradictionCheck) sent(from []incarnation, e Event, late float64) {
	if p.Seen++; e.Version == 0 {
		return
	}
	var s *span
	goes := false
	for _, l := range from {
		a := p.actors[l]
		if a == nil {
			continue
		}
		for i, o := range slices.Backward(a.spans) {
			if o.Version != e.Version || o.Mode == Bare {
				continue
			}
			if goes = a.open && i == len(a.spans)-1; goes || s == nil || o.to > s.to {
				s = o
			}
			break
		}
		if goes {
			break
		}
	}
	if s == nil {
		p.violate(e.At, []Event{e}, "%s names version %d, and its gatekeeper has not acted on it", e.Who,
			e.Version)
		return
	}
	if s.lastUse = max(s.lastUse, e.At-nanos(late)); goes {
		return
	}
	lag := millis(e.At - s.to)
	if p.Lag = max(p.Lag, lag); lag > p.step {
		p.violate(e.At, []Event{s.began, e}, "%s names version %d %.3f ms after %s has left it, step is %v ms",
			e.Who, e.Version, lag, s.began.Who, p.step)
	}
}

// trim sets the end of a span to where its gatekeeper has stopped acting on it.
func (s *span) trim(step int64) {
	end := s.to
	for i := len(s.stalls) - 2; i >= 0; i -= 2 {
		if s.lastUse > s.stalls[i+1] || end-s.stalls[i+1] > step {
			break
		}
		end = s.stalls[i]
	}
	s.to = max(end, s.lastUse)
}

// memoized returns clash for stances in either order, which asks for each pair once.
func memoized(clash Clash) func(a, b Stance) bool {
	known := map[[2]Stance]bool{}
	return func(first, second Stance) bool {
		if first.Version > second.Version || first.Version == second.Version && first.Mode > second.Mode {
			first, second = second, first
		}
		pair := [2]Stance{first, second}
		contradict, found := known[pair]
		if !found {
			contradict = clash(first, second)
			known[pair] = contradict
		}
		return contradict
	}
}

// overlap records for how long two contradicting spans overlap, s being the one that began last, and a
// violation where that is longer than bound milliseconds. Spans of one incarnation do not contradict.
func (c *Contradictions) overlap(earlier, s *span, bound float64) {
	if earlier.began.Who == s.began.Who && earlier.began.Incarnation == s.began.Incarnation {
		return
	}
	duration := millis(min(earlier.to, s.to) - s.from)
	if duration > c.Longest {
		c.Longest, c.Of = duration, []Event{earlier.began, s.began}
	}
	if duration > bound {
		c.violate(s.from, []Event{earlier.began, s.began},
			"%s by version %d (%s) and %s by %d (%s) contradict each other for %.3f ms, bound is %v ms",
			earlier.began.Who, earlier.Version, earlier.Mode, s.began.Who, s.Version, s.Mode, duration, bound)
	}
}

// overlaps finds spans of two gatekeepers that contradict each other.
func (c *Contradictions) overlaps(all []*span, clash Clash, bound float64) {
	slices.SortFunc(all, func(a, b *span) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.began.Who, b.began.Who),
			cmp.Compare(a.began.Incarnation, b.began.Incarnation))
	})
	c.Spans = len(all)
	at := map[Stance][]*span{} // those not known to have ended
	var stances []Stance       // in the order of their first
	contradict := memoized(clash)
	for _, s := range all {
		for _, o := range stances {
			if o == s.Stance || !contradict(o, s.Stance) {
				continue
			}
			at[o] = slices.DeleteFunc(at[o], func(o *span) bool { return o.to <= s.from })
			for _, earlier := range at[o] {
				c.overlap(earlier, s, bound)
			}
		}
		if at[s.Stance] == nil {
			stances = append(stances, s.Stance)
		}
		at[s.Stance] = append(at[s.Stance], s)
	}
}
