package distribution

import (
	"fmt"
	"math"
	"slices"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// What a Source's Bounds are where they are 0, and what of it is fixed.
const (
	keptVersions = 16       // at 5,600 changes a day four minutes' worth; longer away, and it is the whole
	keptParts    = 2048     // a region's hosts, of some 3 KB each
	keptIndices  = 4        // of 2.5 MB at 7,900 members
	keptAskers   = 8192     // a region's hosts and relays, four times over
	wholeRate    = 16 << 20 // bytes a second: a tenth of a link of a gigabit and some
	wholeBurst   = 4 << 20  // bytes: a zone's 564 parts of 4 KB and a few relays' wholes
	indexFor     = 10000.0  // ms for which one's word on discovery's list counts
	indexEach    = 1000.0   // ms between two looks at all of them for the highest
	busyLeast    = 100.0    // ms
	busyWindow   = 1000.0   // ms in which those without room are counted
	mostNameSize = 200      // bytes of a cluster's or asker's name
)

// kept is a state from which deltas are made, with what finds parts of it.
type kept struct {
	state *versioned.State
	index *ruleset.StateIndex
}

func (k *kept) part(in ruleset.Interest) *ruleset.StateSubset {
	if k.index == nil {
		k.index = ruleset.NewStateIndex(k.state)
	}
	return k.index.Subset(in)
}

// part is what one interest needs of a view.
type part struct {
	rules, pending *ruleset.StateSubset
	coming         *versioned.Delta // of pending against rules
}

// teller is what one asker has said of discovery's list.
type teller struct {
	index int64
	at    float64
}

type pair struct{ from, to versioned.VersionID }

// Source answers those below by a view, which is a council's own or a Follower's. It is not safe for
// concurrent use.
type Source struct {
	name, cluster string
	b             Bounds
	has           bool
	v             View
	versions      []*kept // the latest first
	parts         map[ruleset.Interest]*part
	former        map[ruleset.Interest]*part // of the view before, which most have
	deltas        map[pair]*versioned.Delta
	facts         map[string]uint64
	news          map[string]bool
	askers        map[string]teller
	highest       int64   // of their indices
	looked        float64 // when that was last gone over
	room, filled  float64 // bytes of wholes that may be served, and as of when
	waiting       float64 // those told to wait within the window that began at
	window        float64
	n             SourceCounts
}

// NewSource makes one that knows nothing yet.
func NewSource(name, cluster string, b Bounds) *Source {
	preset := func(v *int, to int) {
		if *v <= 0 {
			*v = to
		}
	}
	preset(&b.Versions, keptVersions)
	b.Versions = max(b.Versions, 2) // the one in force, and one that waits
	preset(&b.Parts, keptParts)
	preset(&b.Askers, keptAskers)
	preset(&b.Hosts, mostHosts)
	if !(b.WholeRate > 0) {
		b.WholeRate = wholeRate
	}
	if !(b.WholeBurst > 0) {
		b.WholeBurst = wholeBurst
	}
	if b.Life == 0 {
		b.Life = 1
	}
	return &Source{name: name, cluster: cluster, b: b, v: View{Index: -1}, parts: map[ruleset.Interest]*part{},
		deltas: map[pair]*versioned.Delta{}, facts: map[string]uint64{}, news: map[string]bool{},
		askers: map[string]teller{}, highest: -1, looked: never, room: b.WholeBurst, filled: never, window: never}
}

// Offer gives it the view to answer by. One of a lower step, or of the same and an older read, is passed
// over.
func (s *Source) Offer(v View) {
	if v.Rules == nil || s.has && (v.Step < s.v.Step || v.Step == s.v.Step && v.Begun < s.v.Begun) {
		return
	}
	if !s.has || v.Rules.ID() != s.v.Rules.ID() || v.Pending.ID() != s.v.Pending.ID() {
		s.former, s.parts = s.parts, map[ruleset.Interest]*part{}
		clear(s.deltas)
		s.keep(v.Pending)
		s.keep(v.Rules)
	}
	if s.has {
		v.Begun = math.Max(v.Begun, s.v.Begun)
	}
	s.has, s.v = true, v
}

func (s *Source) keep(state *versioned.State) {
	if state == nil {
		return
	}
	k := &kept{state: state}
	if i := slices.IndexFunc(s.versions, func(o *kept) bool { return o.state.ID() == state.ID() }); i >= 0 {
		k = s.versions[i]
		s.versions = slices.Delete(s.versions, i, i+1)
	}
	s.versions = slices.Insert(s.versions, 0, k)
	if len(s.versions) > s.b.Versions {
		s.versions = slices.Delete(s.versions, s.b.Versions, len(s.versions))
	}
	for _, o := range s.versions[min(keptIndices, len(s.versions)):] { // seldom asked for, and made anew then
		o.index = nil
	}
}

// of gives the kept state of a mark.
func (s *Source) of(m versioned.VersionID) *kept {
	for _, k := range s.versions {
		if k.state.ID() == m {
			return k
		}
	}
	return nil
}

// part gives what an interest needs of the view.
func (s *Source) part(in ruleset.Interest) *part {
	if p := s.parts[in]; p != nil {
		return p
	}
	p := &part{rules: s.of(s.v.Rules.ID()).part(in)}
	if s.v.Pending != nil {
		p.pending = s.of(s.v.Pending.ID()).part(in)
		p.coming = s.delta(p.rules, p.pending)
	}
	if len(s.parts) < s.b.Parts { // of more, each is made anew
		s.parts[in] = p
	}
	return p
}

func (s *Source) delta(from, to *ruleset.StateSubset) *versioned.Delta {
	key := pair{from.Mark(), to.Mark()}
	d := s.deltas[key]
	if d == nil {
		d = to.DeltaFrom(from)
		if len(s.deltas) < s.b.Parts {
			s.deltas[key] = d
		}
	}
	return d
}

// base gives what an asker has by its marks, if it can be made here: what it needed of a version that is
// kept.
func (s *Source) base(m versioned.VersionID, in ruleset.Interest) *ruleset.StateSubset {
	if m.IsNone() {
		return nil
	}
	if p := s.former[in]; p != nil {
		for _, o := range []*ruleset.StateSubset{p.rules, p.pending} {
			if o.Mark() == m {
				return o
			}
		}
	}
	for _, k := range s.versions {
		if k.state.ID().Number == m.Number {
			if p := k.part(in); p.Mark() == m {
				return p
			}
		}
	}
	return nil
}

// Answer answers a question at a time, ms, by the clock of the view's Begun, taken after the question came.
// What it gives is not to be changed. An error is for one who asks what can't be answered, and names the
// reason.
func (s *Source) Answer(a *Ask, now float64) (*Answer, error) {
	s.n.Asks++
	if err := s.check(a); err != nil {
		s.n.Refused++
		return nil, err
	}
	s.hear(a, now)
	r := &Answer{Form: Form, Cluster: s.cluster, From: s.name, Life: s.b.Life, Index: -1, Number: a.Number}
	if !s.has {
		return r, nil
	}
	p := s.part(a.Interest)
	r.Depth, r.Step, r.Settled = s.v.Depth, s.v.Step, s.v.Settled
	r.Age, r.Index = math.Max(now-s.v.Begun, 0), max(s.v.Index, s.Highest(now))
	r.Rules, r.Pending = p.rules.Mark(), p.pending.Mark()
	if r.Rules == a.Rules && (r.Pending.IsNone() || r.Pending == a.Pending) || a.Quiet {
		s.n.Renewals++
		return r, nil
	}
	if r.Rules != a.Rules && r.Rules != a.Pending {
		switch base := s.base(a.Rules, a.Interest); {
		case base != nil:
			r.RulesDelta = s.delta(base, p.rules)
			s.n.Deltas++
		case s.spend(p.rules.Bytes(), now):
			r.RulesDelta = s.delta(nil, p.rules)
			s.n.Wholes++
			s.n.WholeSize += int64(p.rules.Bytes())
		default:
			r.Busy = s.busy(p.rules.Bytes())
			s.n.Busy++
			return r, nil
		}
	}
	if r.Pending != a.Pending {
		r.PendingDelta = p.coming
	}
	return r, nil
}

func (s *Source) check(a *Ask) error {
	switch {
	case a.Form != Form:
		return fmt.Errorf("form: %d is not known here", a.Form)
	case a.Cluster != s.cluster:
		return fmt.Errorf("cluster: %q is not this one", a.Cluster)
	case a.From == "" || len(a.From) > mostNameSize:
		return fmt.Errorf("from: a name has 1 to %d bytes, not %d", mostNameSize, len(a.From))
	case len(a.Seen) > MostTold:
		return fmt.Errorf("seen: %d are more than %d", len(a.Seen), MostTold)
	}
	return a.Interest.Check()
}

// hear takes what a question says beside what it asks.
func (s *Source) hear(a *Ask, now float64) {
	for _, h := range a.Seen {
		known, there := s.facts[h.Host]
		if h.Step <= known || h.Host == "" || len(h.Host) > mostNameSize {
			continue
		}
		if !there && len(s.facts) >= s.b.Hosts {
			s.n.Dropped++
			least := lowest(s.facts)
			delete(s.facts, least)
			delete(s.news, least)
		}
		s.facts[h.Host], s.news[h.Host] = h.Step, true
		s.n.Seen++
	}
	if a.Index >= 0 {
		if _, there := s.askers[a.From]; !there && len(s.askers) >= s.b.Askers {
			for who, t := range s.askers {
				if now-t.at > indexFor {
					delete(s.askers, who)
				}
			}
		}
		if _, there := s.askers[a.From]; there || len(s.askers) < s.b.Askers {
			s.askers[a.From] = teller{a.Index, now}
			s.highest = max(s.highest, a.Index)
		}
	}
}

// spend takes room for a whole state. The last one may take more than there is, so that any size fits.
func (s *Source) spend(size int, now float64) bool {
	if s.filled != never {
		s.room = math.Min(s.room+(now-s.filled)/1000*s.b.WholeRate, s.b.WholeBurst)
	}
	s.filled = now
	if now-s.window > busyWindow {
		s.window, s.waiting = now, 0
	}
	if s.room <= 0 {
		return false
	}
	s.room -= float64(size)
	return true
}

// busy is for how long one is to ask for no whole: until those that wait could all have theirs, ms.
func (s *Source) busy(size int) float64 {
	s.waiting++
	return busyLeast + 1000*(s.waiting*float64(size)-s.room)/s.b.WholeRate
}

// Told gives what those below have said anew since it was last called: to Follower.Tell, or to the council.
func (s *Source) Told() []HostStep {
	all := make([]HostStep, 0, len(s.news))
	for h := range s.news {
		all = append(all, HostStep{Host: h, Step: s.facts[h]})
	}
	clear(s.news)
	return byHost(all)
}

// Facts gives all that those below have said.
func (s *Source) Facts() []HostStep {
	all := make([]HostStep, 0, len(s.facts))
	for h, step := range s.facts {
		all = append(all, HostStep{Host: h, Step: step})
	}
	return byHost(all)
}

func byHost(all []HostStep) []HostStep {
	slices.SortFunc(all, func(a, b HostStep) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return all
}

// Highest gives the highest index of discovery's list that those below have told lately; below nought: none.
func (s *Source) Highest(now float64) int64 {
	if now-s.looked > indexEach {
		s.looked, s.highest = now, -1
		for _, t := range s.askers {
			if now-t.at <= indexFor {
				s.highest = max(s.highest, t.index)
			}
		}
	}
	return s.highest
}

// SourceCounts are what a Source has met.
type SourceCounts struct {
	Asks      int64
	Renewals  int64 // answers with nothing but step, marks and age
	Deltas    int64
	Wholes    int64
	WholeSize int64 // bytes of them
	Busy      int64
	Refused   int64 // questions of another form or cluster, or with an interest that is none
	Seen      int64 // facts that were news
	Dropped   int64 // facts on hosts beyond the bound
}

// Counts gives what it has met.
func (s *Source) Counts() SourceCounts { return s.n }
