package ruleset

import (
	"math"
)

// Mode is by what a gatekeeper goes.
type Mode uint8

// The modes. Any but Leased has no new credit, and quotas at the slice that needs no word of peers; all keep
// the operators' words.
const (
	Bare   Mode = iota // nothing of a ceiling is surely its own: nothing passes under one
	CutOff             // it has lost touch: of ceilings what its version's fallback leaves it
	Leased             // its version
)

var modeNames = [...]string{"bare", "cut off", "leased"}

func (m Mode) String() string { return modeNames[m] }

// PlanTerms are what a gatekeeper goes by in one plan.
type PlanTerms struct {
	Plan         // as the version has it, for all gatekeepers
	Part Part    // what this one may let through, of all
	Of   float64 // by this its even part of a ceiling is multiplied to be that, 0 to 1; 1 where there is none
	Line float64 // and by this its even part of the credit line
}

// Terms are what a gatekeeper goes by from when it has adopted them.
type Terms struct {
	Version uint64 // 0: what it was born with
	Step    uint64 // of the council's word that they rest on
	Mode    Mode
	Me, N   int // its place and how many there are; Me is -1 where it has none, and no ceiling's part
	Plans   []PlanTerms
	Credit  bool // it may lend anew
	Words   []Word
	Until   float64 // ms, by its own clock, for which they hold at first; see Holder.May
	// Raised: its share has grown since the terms before, as others have less or are no more. They may have
	// spent theirs just now, so that what it has more counts as spent: it fills at its rate. So it is at the
	// first lease of a life, unless this one knows what the one before it had spent under the same version.
	Raised bool
}

// Kind is what a Decision asks of the host.
type Kind uint8

// The kinds.
const (
	Adopt  Kind = iota + 1 // Terms: go by them from now on
	Ask                    // the daemon, for its word; the time is Asked's
	Submit                 // Entry to the council's log
	Read                   // what the council says, once a quorum has confirmed that it is the latest
	Wake                   // call Clock again at time At
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind  Kind
	Terms Terms   // Adopt
	Entry Entry   // Submit
	At    float64 // Wake
}

// Counts are what a holder has met.
type Counts struct {
	Late    int64 // words that were older than what it had, or whose time was up
	Bad     int64 // words with an age that is none, or longer than any is good for
	Foreign int64 // words of rules in force that this program does not know whole
	Strange int64 // words of pending ones that it does not
	Lapses  int64 // times that it lost touch
}

// Holder decides what one gatekeeper goes by. It trusts nothing but its own clock: what was in force when its
// daemon began to read may be acted on until a lease after that moment: Gray and Cheriton 1989, with a
// quorum's read (Ongaro 2014, 6.4) for the grant, so that nobody keeps books of who holds a lease. It is not
// safe for concurrent use.
type Holder struct {
	name    string
	now     float64
	mode    Mode
	step    uint64
	version Version
	me      int
	own     []Part // by plan, what it may let through while it is leased
	raised  bool   // some of it has grown since it last adopted terms
	coming  *Rules // what waits, as far as it is known here
	then    int    // this one's place by it
	strange bool   // and is not known whole, so that no part of it is either
	until   float64
	stale   bool    // what is adopted is not what holds now
	till    float64 // what was adopted last may be acted on
	terms   Terms
	asked   float64 // when it last asked
	holds   uint64  // surely gone by; see Holds
	next    uint64  // and this too
	since   float64 // a step after this moment
	slept   float64 // the time that it has asked to be woken at
	counts  Counts
}

// NewHolder makes one for the gatekeeper of a name, that goes by what it was born with, bare, until it hears.
// Of those rules a plan has to have a ceiling where the council's rules give it one.
func NewHolder(name string, born Rules) *Holder {
	h := &Holder{name: name, version: Version{Rules: born}, until: math.Inf(-1), till: math.Inf(-1), stale: true,
		asked: math.Inf(-1), slept: math.Inf(-1)}
	h.me = Place(&born, name)
	h.own = make([]Part, len(born.Plans))
	return h
}

// Clock sets the time of what follows, ms. The clock has to go on while the process stands still.
func (h *Holder) Clock(now float64) {
	h.now = math.Max(h.now, now)
	if h.next > h.holds && !h.stale && h.now >= h.since+bound(0) {
		h.holds, h.asked = h.next, math.Inf(-1) // the daemon is told at once, as a change may wait for it
	}
	h.lapse()
}

// lapse ends what has run out.
func (h *Holder) lapse() {
	mode := h.mode
	if mode == Leased && h.now >= h.until {
		mode = CutOff
		h.counts.Lapses++
	}
	if mode == CutOff && h.now >= h.until+h.version.Rules.Fallback.For {
		mode = Bare
	}
	if mode != h.mode {
		h.mode = mode
		h.change()
	}
}

func (h *Holder) change() { h.stale, h.till = true, math.Inf(-1) }

// part is what it may let through of a plan as it stands now.
func (h *Holder) part(plan int) Part {
	if plan >= len(h.own) {
		return Part{}
	}
	r := &h.version.Rules
	switch h.mode {
	case Leased:
		return h.own[plan]
	case CutOff:
		p := h.own[plan].least(Cut(r, plan, h.me))
		if h.strange {
			return Share(r, plan, -1)
		}
		if h.coming != nil {
			p = p.least(Share(h.coming, plan, h.then))
		}
		return p
	}
	return Share(r, plan, -1)
}

// Heard takes a daemon's word that came on a question that was sent at a time by this one's clock, ms: read
// before it was sent. Clock has to be told of a later one first, and Next pulled before anything is decided.
func (h *Holder) Heard(l Lease, asked float64) {
	r := &l.Version.Rules
	switch {
	case !(l.Age >= 0) || !(asked <= h.now):
		h.counts.Bad++
		return
	case l.Step < h.step || l.Version.Number < h.version.Number:
		h.counts.Late++
		return
	case l.Foreign != "": // what it has is not in force any more, and what is can't be gone by
		h.counts.Foreign++
		if l.Version.Number > h.version.Number && h.mode == Leased {
			h.until = math.Min(h.until, h.now)
			h.lapse()
		}
		return
	}
	until := asked - l.Age + r.Lease
	if until <= h.now {
		h.counts.Late++
		return
	}
	if l.Version.Number > h.version.Number {
		h.take(l)
	}
	if l.Settled {
		h.raise()
	}
	if h.mode != Leased {
		h.mode = Leased
		h.change()
	}
	if l.Step > h.step {
		h.step = l.Step
		h.coming, h.strange = l.Pending, l.Strange != ""
		if h.coming != nil {
			h.then = Place(h.coming, h.name)
		}
		h.next, h.since = l.Step, h.now
	}
	if l.Strange != "" {
		h.counts.Strange++
	}
	if h.until = math.Max(h.until, until); !h.stale {
		h.till = h.until
	}
}

// take goes over to another version: down at once, and up only when it has settled.
func (h *Holder) take(l Lease) {
	r := &l.Version.Rules
	me := Place(r, h.name)
	own := make([]Part, len(r.Plans))
	for i := range own {
		had := Share(r, i, -1)
		if i < len(h.own) {
			had = h.part(i)
		}
		own[i] = had.least(Share(r, i, me))
	}
	h.version, h.me, h.own, h.until = l.Version, me, own, math.Inf(-1)
	h.change()
}

// raise gives it all of its share: nobody acts on another version any more.
func (h *Holder) raise() {
	for i := range h.own {
		if s := Share(&h.version.Rules, i, h.me); h.own[i] != s {
			h.own[i], h.raised = s, true
			h.change()
		}
	}
}

// Asked notes that the daemon has been asked at a time.
func (h *Holder) Asked(now float64) { h.asked = math.Max(h.asked, now) }

// Next gives what follows; call it until there is nothing more.
func (h *Holder) Next() (Decision, bool) {
	if h.stale {
		h.stale, h.slept = false, math.Inf(-1)
		switch h.mode {
		case Leased:
			h.till = h.until
		case CutOff:
			h.till = h.until + h.version.Rules.Fallback.For
		case Bare:
			h.till = math.Inf(1)
		}
		if h.next > h.holds {
			h.since = h.now // from here on, and not from when it was heard
		}
		h.terms, h.raised = h.draw(), false
		return Decision{Kind: Adopt, Terms: h.terms}, true
	}
	ask := h.asked + every(h.version.Rules.Lease)
	if h.now >= ask {
		h.asked, h.slept = h.now, math.Inf(-1)
		return Decision{Kind: Ask}, true
	}
	at := math.Min(ask, h.till)
	if h.next > h.holds {
		at = math.Min(at, h.since+bound(0))
	}
	if at == h.slept {
		return Decision{}, false
	}
	h.slept = at
	return Decision{Kind: Wake, At: at}, true
}

// draw makes the terms as they stand.
func (h *Holder) draw() Terms {
	r := &h.version.Rules
	t := Terms{Version: h.version.Number, Step: h.step, Mode: h.mode, Me: h.me, N: len(r.Members),
		Words: r.Words, Until: h.till, Credit: h.mode == Leased,
		Raised: h.raised}
	for i, p := range r.Plans {
		q, even := PlanTerms{Plan: p, Part: h.part(i), Of: 1}, Share(r, i, 0)
		if p.CeilingRate > 0 {
			q.Of = math.Min(q.Part.Rate/even.Rate, q.Part.Depth/even.Depth)
		}
		if even.Credit > 0 {
			q.Line = q.Part.Credit / even.Credit
		}
		t.Plans = append(t.Plans, q)
	}
	return t
}

// Current gives the terms last adopted.
func (h *Holder) Current() Terms { return h.terms }

// May tells whether the terms last adopted may be acted on at a time, ms. To be asked at each decision and
// once more before the write. There the terms have to be those of the decision still, or it is made anew.
// Where it is false, Clock and Next say by what to go.
func (h *Holder) May(now float64) bool { return now < h.till }

// Holds gives the step that all this one does from now on rests on, with what it had decided before and might
// not have written yet: the daemon is told it with each question.
func (h *Holder) Holds() uint64 { return h.holds }

// Counts gives what it has met.
func (h *Holder) Counts() Counts { return h.counts }
// Until gives the time up to which the terms last adopted may be acted on, ms; it moves on with each word
// that they are still in force. See May.
func (h *Holder) Until() float64 { return h.till }
