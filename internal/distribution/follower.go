package distribution

import (
	"errors"
	"math"
	"math/rand"
	"slices"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// What a follower goes by. Times in ms.
const (
	drift       = 2e-4       // by which a clock runs fast or slow, as accord has it
	freshLease  = 1000.0     // of rules, until they have been read: accord's default
	asksPer     = 10         // questions in a lease
	answerPart  = 0.2        // of a lease that an answer is waited for; then the next one above is asked
	stalePart   = 1.0 / 3    // of a lease: what a council's own daemon says is younger, or it lies still
	stalestPart = 2.0 / 3    // and what any relay says
	againLeases = 30.0       // until the one above that is preferred is tried again: 20 to 40 with jitter
	mostBusy    = 10000.0    // that one waits for a whole, whatever it was told
	mostPast    = 64         // questions that an answer may still come to: two leases' worth and more
	mostBases   = 4          // states kept as bases for deltas: versions in force and pending, and those before
	mostHosts   = 16384      // whose facts are kept; of more, those of the lowest steps go
	mostDepth   = 16         // relays one above the other; more are a ring
	mostState   = MostAnswer // bytes of keys and values of a state
	mostEntries = 32768      // of a state or delta: members, words and plans of the largest rules, and as many
	oneRead     = 1.0        // by which clocks may count one read's beginning as two
	never       = -math.MaxFloat64
)

// out is a question that has no answer yet.
type out struct {
	is    bool
	asked float64
	seen  []HostStep
	quiet bool
}

// past is a question that an answer may still come to.
type past struct {
	number   uint64
	upstream int
	asked    float64
}

// Follower follows those above: it asks one of them at a fixed rate, takes what they say, and goes over to
// another where one lies still. It is not safe for concurrent use.
type Follower struct {
	c            Config
	rng          *rand.Rand
	now, start   float64
	lease, every float64

	order   []int     // upstreams as preferred
	at      int       // in order: the one that is asked
	other   int       // in order: the one that was asked beside it last
	asks    []out     // by upstream
	ready   []int     // in order: to be asked now
	next    float64   // when the next question is due
	tried   int       // in a row without a word, since the last slot
	byTurns bool      // the last slot was another's than the current one's
	barren  bool      // none of them had a word in a whole row, and none has since
	doubt   bool      // what the current one says is old
	again   float64   // when the preferred one is to be tried again
	fresh   []float64 // by upstream, when the read began that it told of last

	has     bool
	lost    bool // the lease has run out
	news    bool
	v       View
	own     int64 // highest index of discovery's list that is known below
	bases   []*versioned.State
	empty   bool // the last delta could not be applied: the next question says that there is nothing
	quiet   float64
	process int
	holds   uint64

	facts map[string]uint64
	up    map[string]bool // those that the current upstream has not answered yet
	life  uint64          // of the current upstream
	slept float64
	last  uint64 // number of a question
	asked []past // the latest
	n     Counts
}

// NewFollower makes one at a time, ms, of the clock that all further times are of. The clock has to go on
// while the process stands still.
func NewFollower(c Config, now float64) *Follower {
	f := &Follower{c: c, rng: rand.New(rand.NewSource(c.Seed)), now: now, start: now, lease: c.Lease,
		v: View{Begun: never, Index: -1}, own: -1, slept: never, facts: map[string]uint64{},
		up: map[string]bool{}}
	if !(f.lease > 0) {
		f.lease = freshLease
	}
	f.last = f.rng.Uint64() >> 1 // what came for a former life is none of this one's
	f.order = f.rng.Perm(max(c.Upstream, 1))
	f.asks, f.fresh = make([]out, len(f.order)), slices.Repeat([]float64{never}, len(f.order))
	f.pace()
	f.next = now + f.rng.Float64()*f.every // many may start at once
	return f
}

func (f *Follower) pace() {
	per := f.c.PerLease
	if per <= 0 {
		per = asksPer
	}
	if f.every = f.c.Every; !(f.every > 0) {
		f.every = f.lease / float64(per)
	}
}

// Base gives states that a copy on disk had: deltas may be against them, and they are no proof that anything
// is in force. Either may be nil.
func (f *Follower) Base(rules, pending *versioned.State) {
	f.keep(pending)
	f.keep(rules)
}

// keep has a state at hand as a base, the latest first.
func (f *Follower) keep(s *versioned.State) {
	if s == nil {
		return
	}
	f.bases = slices.DeleteFunc(f.bases, func(o *versioned.State) bool { return o.ID() == s.ID() })
	f.bases = slices.Insert(f.bases, 0, s)
	if len(f.bases) > mostBases {
		f.bases = slices.Delete(f.bases, mostBases, len(f.bases))
	}
}

// find gives the state of a mark, if it is at hand.
func (f *Follower) find(m versioned.VersionID) *versioned.State {
	for _, s := range f.bases {
		if s.ID() == m {
			return s
		}
	}
	return nil
}

// Clock sets the time of what follows, ms.
func (f *Follower) Clock(now float64) {
	f.now = math.Max(f.now, now)
	if f.has && !f.lost && f.now >= f.v.Begun+f.lease {
		f.lost, f.news = true, true
		f.n.Lost++
	}
}

// Tell has facts go up with the next questions, until one above has them.
func (f *Follower) Tell(all []HostStep) {
	for _, h := range all {
		known, there := f.facts[h.Host]
		if h.Step <= known {
			continue
		}
		if !there && len(f.facts) >= mostHosts {
			f.n.Dropped++
			f.forget()
		}
		f.facts[h.Host], f.up[h.Host] = h.Step, true
	}
}

// forget drops the fact of the lowest step.
func (f *Follower) forget() {
	least := lowest(f.facts)
	delete(f.facts, least)
	delete(f.up, least)
}

// lowest is the host of the lowest step, most likely one that is gone. Where it is not, it makes a change
// wait.
func lowest(facts map[string]uint64) string {
	least := ""
	for h, step := range facts {
		if l := facts[least]; least == "" || step < l || step == l && h < least {
			least = h
		}
	}
	return least
}

// Index tells the highest index of discovery's list that is known here and below; below nought: none.
func (f *Follower) Index(highest int64) { f.own = highest }

// Holds tells a gatekeeper's process id and what it holds, which its questions to its daemon carry. It has
// to be told before the first Next, as the daemon books what it answers under that id. Where it holds more
// than it said last it asks at once, as a change may wait for that.
func (f *Follower) Holds(process int, step uint64) {
	if step > f.holds {
		f.next = math.Min(f.next, f.now)
	}
	f.process, f.holds = process, step
}

// View gives what is known; false where there is nothing whose lease still runs. One that answers others
// offers it to its Source after each Heard, as a renewal makes it younger.
func (f *Follower) View() (View, bool) {
	v := f.v
	v.Index = max(v.Index, f.own)
	return v, f.has && !f.lost && f.now < f.v.Begun+f.lease
}

// Bases gives what is to be kept on disk: the latest states, whether or not they may be gone by.
func (f *Follower) Bases() (rules, pending *versioned.State) {
	if f.has {
		return f.v.Rules, f.v.Pending
	}
	for _, s := range f.bases {
		return s, nil
	}
	return nil, nil
}

// Current gives the upstream that is asked now.
func (f *Follower) Current() int { return f.order[f.at] }

// Counts gives what it has met.
func (f *Follower) Counts() Counts { return f.n }

// Next gives what follows; call it until there is nothing more.
func (f *Follower) Next() (Decision, bool) {
	if f.news {
		f.news = false
		return Decision{Kind: News}, true
	}
	f.plan()
	if len(f.ready) > 0 {
		at := f.ready[0]
		f.ready = f.ready[1:]
		return f.ask(at), true
	}
	wake := f.next
	if o := f.asks[f.Current()]; o.is { // its answer, or its end, is what comes next
		wake = o.asked + f.within()
	}
	if f.has && !f.lost {
		wake = math.Min(wake, f.v.Begun+f.lease)
	}
	if wake == f.slept {
		return Decision{}, false
	}
	f.slept = wake
	return Decision{Kind: Wake, At: wake}, true
}

// within is how long an answer is waited for, ms.
func (f *Follower) within() float64 { return f.lease * answerPart }

// plan finds whom to ask now.
func (f *Follower) plan() {
	for _, u := range f.order {
		if o := &f.asks[u]; o.is && f.now >= o.asked+f.within() {
			f.Failed(u, o.asked)
		}
	}
	if f.now < f.next || len(f.ready) > 0 || f.asks[f.Current()].is {
		return
	}
	if f.next += f.every; f.next <= f.now { // it stood still, or an answer was slow: none is caught up with
		f.next = f.now + f.every
	}
	f.tried = 0
	f.ready = append(f.ready, f.at)
	beside := -1
	switch {
	case f.at != 0 && f.now >= f.again:
		beside = 0
		f.again = f.now + f.lease*againLeases*(2+2*f.rng.Float64())/3
	case f.doubt && !f.barren && len(f.order) > 1:
		if f.other = (f.other + 1) % len(f.order); f.other == f.at {
			f.other = (f.other + 1) % len(f.order)
		}
		beside = f.other
		if f.byTurns = f.lost && !f.byTurns; f.byTurns { // none holds: one in a slot, and the rate stays the same
			f.ready = f.ready[:0]
		} else if f.lost {
			beside = -1
		}
	}
	if beside >= 0 && !f.asks[f.order[beside]].is {
		f.ready = append(f.ready, beside)
	}
}

// ask makes the question to one in the order. Beside the current one it asks for no version.
func (f *Follower) ask(at int) Decision {
	u := f.order[at]
	a := &Ask{Form: Form, Cluster: f.c.Cluster, From: f.c.Name, Interest: f.c.Interest, Step: f.v.Step,
		Index: f.own, Process: f.process, Holds: f.holds, Quiet: at != f.at || f.now < f.quiet}
	if rules, pending := f.Bases(); !f.empty {
		a.Rules, a.Pending = rules.ID(), pending.ID()
	}
	if at == f.at {
		hosts := make([]string, 0, len(f.up))
		for h := range f.up {
			hosts = append(hosts, h)
		}
		slices.Sort(hosts)
		for _, h := range hosts[:min(len(hosts), MostTold)] {
			a.Seen = append(a.Seen, HostStep{Host: h, Step: f.facts[h]})
		}
	}
	f.last++
	a.Number = f.last
	f.asks[u] = out{is: true, asked: f.now, seen: a.Seen, quiet: a.Quiet}
	if f.asked = append(f.asked, past{f.last, u, f.now}); len(f.asked) > mostPast {
		f.asked = slices.Delete(f.asked, 0, 1)
	}
	f.n.Asked++
	return Decision{Kind: AskOf, Upstream: u, Ask: a, Within: f.within()}
}

// Failed tells that a question, sent at a time, gets no answer.
func (f *Follower) Failed(upstream int, asked float64) {
	if upstream < 0 || upstream >= len(f.asks) || !f.asks[upstream].is || f.asks[upstream].asked != asked {
		return
	}
	f.asks[upstream] = out{}
	f.n.Failed++
	f.pass(upstream)
}

// pass goes over to the next upstream where the current one is of no use. All are asked once in a row; if
// none is of use, one is asked in each slot from then on, so that the rate stays the same where all are gone.
func (f *Follower) pass(upstream int) {
	if upstream != f.Current() || len(f.order) == 1 {
		return
	}
	f.turn((f.at + 1) % len(f.order))
	if f.tried++; f.tried >= len(f.order) {
		f.barren = true
	} else if !f.barren && !f.asks[f.Current()].is {
		f.ready = append(f.ready[:0], f.at)
	}
}

// turn has another upstream be the current one. It is told all facts: what the one before it knew may not
// have gone further.
func (f *Follower) turn(at int) {
	if at == f.at {
		return
	}
	if f.at == 0 {
		f.again = f.now + f.lease*againLeases*(2+2*f.rng.Float64())/3
	}
	f.at, f.doubt, f.life = at, false, 0
	f.n.Switched++
	f.retell()
}

func (f *Follower) retell() {
	for h := range f.facts {
		f.up[h] = true
	}
}

// Heard takes the answer of an upstream to a question that was sent at a time. Clock has to be told of a
// later one first, and Next pulled after.
func (f *Follower) Heard(upstream int, asked float64, a *Answer) {
	if upstream < 0 || upstream >= len(f.asks) || a == nil || !(asked <= f.now) {
		f.n.Bad++
		return
	}
	var o out
	if f.asks[upstream].is && f.asks[upstream].asked == asked {
		o, f.asks[upstream] = f.asks[upstream], out{}
	}
	if !f.mine(upstream, asked, a.Number) {
		f.n.Bad++
		return
	}
	if a.Form != Form || a.Cluster != f.c.Cluster {
		f.n.Foreign++
		f.pass(upstream)
		return
	}
	if !(a.Age >= 0) || a.Age > math.MaxFloat32 || !(a.Busy >= 0) || a.Depth < 0 || a.Depth >= mostDepth {
		f.n.Bad++
		f.pass(upstream)
		return
	}
	if upstream == f.Current() {
		f.heldUp(o, a)
	}
	if a.Step == 0 {
		f.n.Empty++
		f.pass(upstream)
		return
	}
	f.weigh(upstream, asked-a.Age, a)
	if f.word(asked-a.Age, a, o.quiet) {
		f.tried, f.barren = 0, false
	} else {
		f.pass(upstream)
	}
}

// mine tells whether an answer is one to the question that was sent at a time.
func (f *Follower) mine(upstream int, asked float64, number uint64) bool {
	return number == 0 || slices.ContainsFunc(f.asked, func(p past) bool {
		return p.number == number && p.upstream == upstream && p.asked == asked
	})
}

// heldUp books which facts the current upstream has. One of another life has forgotten what it was told.
func (f *Follower) heldUp(o out, a *Answer) {
	if a.Life != f.life {
		f.life = a.Life
		f.retell()
	}
	for _, h := range o.seen {
		if f.facts[h.Host] == h.Step {
			delete(f.up, h.Host)
		}
	}
}

// weigh goes over to one that is fresher than a current one whose words are old, and back to the preferred
// one once it is well.
func (f *Follower) weigh(upstream int, begun float64, a *Answer) {
	at := slices.Index(f.order, upstream)
	stale := math.Min(f.lease*stalePart+float64(a.Depth)*f.every, f.lease*stalestPart)
	f.fresh[upstream] = begun
	switch {
	case at == f.at:
		f.doubt = a.Age > stale
	case at == 0 && a.Age <= stale && a.Step >= f.v.Step,
		f.doubt && a.Step >= f.v.Step && begun > f.fresh[f.Current()]+f.every:
		f.turn(at)
	}
}

// word takes what was said, whole or not at all; false where another had better be asked.
func (f *Follower) word(begun float64, a *Answer, quiet bool) bool {
	switch {
	// A clock that ran slow says too little of an age, by no more than the drift over a lease.
	case !f.c.Booked && begun < f.start+3*drift*f.lease:
		f.n.Before++
		return true
	case f.has && (a.Step < f.v.Step || a.Step == f.v.Step && begun < f.v.Begun-oneRead):
		f.n.Late++
		if a.Step == f.v.Step && a.Settled && !f.v.Settled && f.same(a) { // it stays true
			f.v.Settled, f.news = true, true
		}
		return true
	case f.has && a.Step == f.v.Step && !f.same(a),
		f.has && a.Rules.Number < f.v.Rules.ID().Number, a.Rules.IsNone(),
		!a.Pending.IsNone() && a.Pending.Number != a.Rules.Number+1:
		f.n.Bad++
		return false
	}
	rules, pending, sound := f.made(a, quiet)
	if rules == nil {
		return sound
	}
	lease := f.lease // of the rules that are told, which may be longer than that of those before
	if !f.has || rules.ID() != f.v.Rules.ID() {
		if l := ruleset.StateLeaseMillis(rules); l > 0 {
			lease = l
		}
	}
	if begun+lease <= f.now {
		f.n.Lapsed++
		return true
	}
	if f.has && a.Step == f.v.Step {
		f.n.Renewed++
	} else {
		f.n.Taken++
		f.news = true
	}
	settled := a.Settled || f.has && a.Step == f.v.Step && f.v.Settled
	if !f.has || settled != f.v.Settled || f.lost {
		f.news = true
	}
	f.v = View{Step: a.Step, Settled: settled, Begun: math.Max(f.v.Begun, begun), Rules: rules, Pending: pending,
		Index: a.Index, Depth: a.Depth + 1}
	f.has, f.lost, f.empty = true, false, false
	f.keep(pending)
	f.keep(rules)
	if lease != f.lease {
		f.lease = lease
		f.pace()
	}
	return true
}

// same tells whether an answer names the states that are gone by.
func (f *Follower) same(a *Answer) bool {
	return a.Rules == f.v.Rules.ID() && a.Pending == f.v.Pending.ID()
}

// made gives the states that an answer names: those at hand, or made by its deltas. Without rules there are
// none, and sound tells whether the one above did as it should.
func (f *Follower) made(a *Answer, quiet bool) (rules, pending *versioned.State, sound bool) {
	if rules = f.find(a.Rules); rules == nil {
		if a.RulesDelta == nil {
			switch {
			case a.Busy > 0:
				f.n.Busy++
				f.quiet = f.now + f.rng.Float64()*math.Min(a.Busy, mostBusy)
			case !quiet:
				f.n.Missing++
				return nil, nil, false
			}
			return nil, nil, true
		}
		if rules, sound = f.apply(f.find(a.RulesDelta.From), a.RulesDelta, a.Rules); rules == nil {
			return nil, nil, sound
		}
	}
	if a.Pending.IsNone() {
		return rules, nil, true
	}
	if pending = f.find(a.Pending); pending != nil {
		return rules, pending, true
	}
	if a.PendingDelta == nil {
		if !quiet {
			f.n.Missing++
			f.empty = true
		}
		return nil, nil, quiet
	}
	if pending, sound = f.apply(rules, a.PendingDelta, a.Pending); pending == nil {
		return nil, nil, sound
	}
	return rules, pending, true
}

// apply makes a state of a delta, or counts why not and has the next question say that there is nothing. A
// delta against a state that is gone here is sound: it may have been asked for before.
func (f *Follower) apply(base *versioned.State, d *versioned.Delta, to versioned.VersionID) (
	s *versioned.State, sound bool) {
	if d.To != to || len(d.Set)+len(d.Delete) > mostEntries || d.Bytes() > mostState {
		f.n.Bad++
		f.empty = true
		return nil, false
	}
	s, err := base.Apply(d)
	switch {
	case errors.Is(err, versioned.ErrBaseMismatch):
		f.n.Base++
		sound = true
	case err != nil:
		f.n.Digest++
	case s.Bytes() > mostState || s.Len() > mostEntries:
		f.n.Bad++
	case d.From.IsNone():
		f.n.Wholes++
		return s, true
	default:
		f.n.Deltas++
		return s, true
	}
	f.empty = true
	return nil, sound
}
