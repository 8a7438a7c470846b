package ruleset

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/crc64"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// tick is the unit of the exploration's time, ms: the step of the protocol, so that what was checked at one
// tick may be written up to the next.
const tick = maxWriteDelayMillis

// rules in short: one plan of a ceiling, and who is a member; a dot is a vacant place. A lease is just under
// two ticks and the fallback goes on for one, so that each runs out between ticks.
func small(ceiling float64, members string) *Rules {
	r := &Rules{Format: SupportedFormat, ConflictBoundMillis: DefaultConflictBoundMillis,
		LeaseMillis: 2*tick - 1, Fallback: Fallback{Fraction: 0.5, DurationMillis: tick},
		Plans: []Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling, CeilingDepth: ceiling,
			CreditSeconds: 1,
			RepayMillis:   2000}}}
	for _, m := range strings.Split(members, "") {
		if m == "." {
			r.Members = append(r.Members, Member{})
		} else {
			r.Members = append(r.Members, Member{Name: m, Host: "host-" + m})
		}
	}
	return r
}

// bare is rules by which one that is cut off has nothing of a ceiling.
func bare(ceiling float64, members string) *Rules {
	r := small(ceiling, members)
	r.Fallback.Fraction = 0
	return r
}

// planted is a break of the protocol that the exploration has to find.
type planted uint8

const (
	none          planted = iota
	fromReceipt           // the lease is counted from when the answer came
	raisedAtOnce          // parts go up before all others are off the former version
	enforcedEarly         // the council waits for nobody
	notNarrowed           // what waits is not told, so that fallbacks stay as they are
	heldAtOnce            // the daemon reports what an instance has heard, not what it surely goes by
	mixedAtOnce           // the council lets places change twice while the first is not settled
	plants
)

var plantedNames = [...]string{"none", "lease from receipt", "raised at once", "enforced early",
	"fallback not narrowed", "seen before the last write",
	"mixed at once"}

// early puts in force what waits, where that is the break.
func (p planted) early(c *StateMachine) bool {
	coming := c.state.Pending
	if coming == nil || p != enforcedEarly && (p != mixedAtOnce || coming.ConflictingPlan != "") {
		return false
	}
	c.activate(false)
	return true
}

// note is an answer on its way to an instance.
type note struct {
	there bool
	lease Lease
	asked float64
}

// site is one instance with its host's daemon. All that may be lost is.
type site struct {
	name    string
	holder  *LeaseHolder
	steward *HostAgent
	process int
	mail    note
	may     Allowance // the most that it might write by at this tick
	might   Allowance // and might have at the last
}

// ended is a version that is not in force any more.
type ended struct {
	at, allows, bound float64
	number            uint64
}

// world is one council with all of its sites; clone it to try what may come next.
type world struct {
	now     float64
	council *StateMachine
	sites   []site
	script  []*Rules
	said    int // proposals of the script that have been made
	crashes int // that may come still
	plant   planted
	ended   []ended // versions that are not in force any more
	allows  float64 // what the version in force does
	last    int     // the site that acted last, since all of them could see it
}

func newWorld(plant planted, crashes int, script ...*Rules) *world {
	w := &world{council: NewStateMachine(), script: script[1:], crashes: crashes, plant: plant,
		allows: script[0].Plans[0].CeilingRate}
	if o := w.council.Apply(LogEntry{Type: EntryPropose, ID: "0", Rules: script[0]}); o.Activated != 1 {
		panic(o.Rejection)
	}
	seen := map[string]bool{}
	for _, r := range script {
		for _, m := range r.Members {
			if m.Name != "" && !seen[m.Name] {
				seen[m.Name] = true
				w.sites = append(w.sites, site{name: m.Name, holder: NewLeaseHolder(m.Name, Rules{}),
					steward: NewHostAgent("host-"+m.Name, w.council)})
			}
		}
	}
	for i := range w.sites {
		w.sites[i].steward.SetLeader(true) // whoever thinks that it leads may say that time has run out
		w.ask(i)
		w.deliver(i)
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	k := *w.council
	k.state.Superseded, k.state.RecentOutcomes, k.state.AckedSteps = slices.Clone(k.state.Superseded), nil,
		maps.Clone(k.state.AckedSteps)
	c.council = &k
	c.sites = slices.Clone(w.sites)
	c.ended = slices.Clone(w.ended)
	for i := range c.sites {
		h, s := *c.sites[i].holder, *c.sites[i].steward
		h.allowances = slices.Clone(h.allowances)
		s.machine = &k
		s.LeaseGrantor, s.expirations = s.LeaseGrantor.clone(), slices.Clone(s.expirations)
		c.sites[i].holder, c.sites[i].steward = &h, &s
	}
	return &c
}

// run has an instance look at its clock and take up what follows.
func (w *world) run(i int) {
	s := &w.sites[i]
	s.holder.SetTime(w.now)
	for {
		d, more := s.holder.NextAction()
		if !more {
			break
		}
		if d.Kind == ActionAdopt {
			w.record(i)
		}
	}
}

// record notes what an instance might write by.
func (w *world) record(i int) {
	if s := &w.sites[i]; s.holder.MayAct(w.now) && len(s.holder.effective.Plans) > 0 {
		s.may = s.may.max(s.holder.effective.Plans[0].Allowance)
	}
}

// ask has a daemon read and answer a question that its instance sends now.
func (w *world) ask(i int) {
	s := &w.sites[i]
	s.steward.SetTime(w.now)
	s.steward.ReadConfirmed(w.now)
	s.holder.SetTime(w.now)
	holds := s.holder.AckedStep()
	if w.plant == heldAtOnce {
		holds = s.holder.step
	}
	if l, ok := s.steward.GrantLease(s.process, holds); ok {
		switch w.plant {
		case raisedAtOnce:
			l.TransitionComplete = true
		case notNarrowed:
			l.Pending = nil
		}
		s.mail = note{true, l, w.now}
	}
}

func (w *world) deliver(i int) {
	s := &w.sites[i]
	s.holder.SetTime(w.now)
	if w.plant == fromReceipt {
		s.mail.asked, s.mail.lease.AgeMillis = w.now, 0
	}
	s.holder.ReceiveLease(s.mail.lease, s.mail.asked)
	w.run(i)
}

// enter has the council take an entry.
func (w *world) enter(e LogEntry) Outcome {
	old := w.council.state.InForce
	o := w.council.Apply(e)
	if w.plant.early(w.council) {
		o.Activated = w.council.state.InForce.Number
	}
	if o.Activated > 0 {
		w.ended = append(w.ended, ended{w.now, w.allows, ConflictBoundMillis(&old.Rules), old.Number})
		w.allows = w.council.state.InForce.Rules.Plans[0].CeilingRate
	}
	for i := range w.sites {
		w.sites[i].steward.SetTime(w.now)
		w.sites[i].steward.EntriesApplied()
	}
	return o
}

// can tells whether an action is to be tried. What sites do without the council changes nothing for the
// others, so it is tried in one order of sites alone.
func (w *world) can(action int) bool {
	if action < 3 {
		return action != 1 || w.said < len(w.script)
	}
	i := (action - 3) / 4
	switch (action - 3) % 4 {
	case 1:
		return i >= w.last && w.sites[i].mail.there
	case 3:
		return i >= w.last && w.crashes > 0
	}
	return i >= w.last
}

// step does one of the things that may come next; false where it changes nothing.
func (w *world) step(action int) (name string, done bool) {
	w.last = 0
	switch action {
	case 0:
		w.now += tick
		w.ended = slices.DeleteFunc(w.ended, func(e ended) bool { return w.now > e.at+e.bound })
		for i := range w.sites {
			s := &w.sites[i]
			s.might, s.may = s.may, Allowance{}
			w.record(i) // by one that stands still
			w.run(i)    // and by one that does not
			if s.mail.there && w.now >= s.mail.asked-s.mail.lease.AgeMillis+s.mail.lease.Version.Rules.LeaseMillis &&
				w.plant != fromReceipt {
				s.mail = note{} // it can do nothing any more
			}
		}
		return "tick", true
	case 1:
		w.said++
		o := w.enter(LogEntry{Type: EntryPropose, ID: fmt.Sprint(w.said), Base: w.council.state.InForce.Number,
			Rules: w.script[w.said-1]})
		return "propose" + o.Rejection, o.Rejection == ""
	case 2: // what the daemons have to say to the council gets there now
		any := false
		for i := range w.sites {
			s := w.sites[i].steward
			for {
				s.SetTime(w.now)
				d, more := s.NextAction()
				if !more {
					break
				}
				if d.Kind == ActionSubmit {
					any = true
					w.enter(d.Entry)
				}
			}
			for k := range s.expirations {
				s.expirations[k].lastSubmitMillis = math.Inf(-1) // it may be said again at any time
			}
			s.lastAckMillis, s.lastAckStep = math.Inf(-1), 0
		}
		return "submit", any
	}
	i := (action - 3) / 4
	s := &w.sites[i]
	w.last = i
	switch (action - 3) % 4 {
	case 0:
		w.ask(i)
		return "ask " + s.name, true
	case 1:
		w.deliver(i) // and it stays: it may come twice
		return "deliver " + s.name, true
	case 2:
		w.ask(i)
		w.deliver(i)
		return "hear " + s.name, true
	default:
		w.crashes--
		s.steward.ProcessExited(s.process)
		s.process++
		s.steward.ProcessStarted(s.process, false)
		s.holder, s.mail = NewLeaseHolder(s.name, Rules{}), note{}
		s.may, s.might = Allowance{}, Allowance{} // the daemon has seen it end, and with it all that it could write
		return "crash " + s.name, true
	}
}

// wrong tells what does not hold: what all might write by now is never more than the most that a version
// allows which is in force, or was until no longer ago than its bound.
func (w *world) wrong() string {
	var sum Allowance
	for _, s := range w.sites {
		sum = sum.plus(s.may.max(s.might))
	}
	allowed := w.allows
	for _, e := range w.ended {
		if w.now <= e.at+e.bound {
			allowed = max(allowed, e.allows)
		}
	}
	if sum.Rate > allowed*(1+roundingTolerance) || sum.Depth > allowed*(1+roundingTolerance) ||
		sum.Credit > allowed*(1+roundingTolerance) {
		return fmt.Sprintf("all write by %v of %v", sum, allowed)
	}
	for _, s := range w.sites {
		n := s.holder.effective.Version
		if s.holder.MayAct(w.now) && s.holder.effective.Mode == ModeLeased && n != w.council.state.InForce.Number &&
			!slices.ContainsFunc(w.ended, func(e ended) bool { return e.number == n }) {
			return fmt.Sprintf("%s acts on version %d still", s.name, n)
		}
	}
	return ""
}

// key is a world but for what can't matter: times are told from now, and those that are long past as one.
func (w *world) key(b []byte) []byte {
	num := func(v float64) { b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v))) }
	when := func(v, last float64) { num(math.Max(v-w.now, -last)) }
	small := func(v ...uint64) {
		for _, v := range v {
			b = append(b, byte(v))
		}
	}
	yes := func(all ...bool) {
		for _, v := range all {
			if b = append(b, 0); v {
				b[len(b)-1] = 1
			}
		}
	}
	part := func(p Allowance) { num(p.Rate); num(p.Credit) }
	lease := func(l *Lease) {
		small(l.Step, l.Version.Number)
		yes(l.TransitionComplete, l.Pending != nil)
	}
	st := w.council.State()
	small(st.Step, st.InForce.Number, uint64(w.said), uint64(w.crashes), uint64(len(st.Superseded)),
		uint64(w.last))
	if yes(st.Pending != nil); st.Pending != nil {
		small(st.Pending.Step)
	}
	for _, h := range st.Superseded {
		small(h.Step)
		yes(h.MayBeActive)
		part(h.Fallback.Allowances[0])
	}
	for _, e := range w.ended {
		when(e.at, 99*tick)
		num(e.allows)
	}
	for i := range w.sites {
		s := &w.sites[i]
		small(st.AckedSteps[s.steward.host], s.steward.lease.Step)
		part(s.may)
		part(s.might)
		if yes(s.mail.there); s.mail.there {
			lease(&s.mail.lease)
			when(s.mail.asked-s.mail.lease.AgeMillis, 99*tick)
		}
		h := s.holder
		small(uint64(h.mode), h.step, h.version.Number, h.ackedStep, h.nextAckStep)
		if h.mode != ModeNoLease {
			when(h.leaseExpiryMillis, 99*tick)
		}
		when(h.nextAckSinceMillis, tick)
		yes(h.adoptDue, h.pending != nil)
		for _, p := range h.allowances {
			part(p)
		}
		for _, id := range slices.Sorted(maps.Keys(s.steward.processes)) {
			p := s.steward.processes[id]
			yes(p.granted)
			small(p.ackedStep)
		}
	}
	for _, e := range w.sites[0].steward.expirations { // all see them at once
		small(e.step)
		when(e.startMillis, e.fallbackMillis)
	}
	return b
}

// explore tries all orders of actions up to a depth, and gives the shortest that ends in a wrong state, the
// states that it has met, and how deep it came before they were too many.
func explore(first *world, depth, most int) (trace []string, wrong string, states, reached int) {
	type met struct {
		from int32
		by   string
	}
	var all []met
	type edge struct {
		w  *world
		at int32
	}
	seen := map[[2]uint64]bool{}
	front := []edge{{first, 0}}
	all = append(all, met{-1, ""})
	var raw []byte
	actions := 3 + 4*len(first.sites)
	for d := 1; d <= depth; d++ {
		var next []edge
		for _, e := range front {
			for a := range actions {
				if !e.w.can(a) {
					continue
				}
				w := e.w.clone()
				name, ok := w.step(a)
				if !ok {
					continue
				}
				raw = w.key(raw[:0])
				h := hashed(raw)
				if seen[h] {
					continue
				}
				seen[h] = true
				at := int32(len(all))
				all = append(all, met{e.at, name})
				if bad := w.wrong(); bad != "" {
					for ; at > 0; at = all[at].from {
						trace = append(trace, all[at].by)
					}
					slices.Reverse(trace)
					return trace, bad, len(all), d
				}
				next = append(next, edge{w, at})
			}
			if len(all) > most {
				return nil, "", len(all), d - 1
			}
		}
		front = next
	}
	return nil, "", len(all), depth
}

// hashed is 128 bits of a key: of some million states none is taken for another.
func hashed(raw []byte) [2]uint64 {
	a, b := fnv.New64a(), crc64.New(crcTable)
	a.Write(raw)
	b.Write(raw)
	return [2]uint64{a.Sum64(), b.Sum64()}
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// scripts are sequences of versions with something to go wrong in each.
var scripts = []struct {
	name  string
	rules []*Rules
}{
	{"down below the fallback, then up", []*Rules{small(96, "ab"), small(24, "ab"), small(96, "ab")}},
	{"down as far as the fallback, then up", []*Rules{small(96, "ab"), small(48, "ab"), small(96, "ab")}},
	{"one more, then alone", []*Rules{small(96, "a"), small(96, "ab"), small(96, "a")}},
	{"one more, then one less", []*Rules{small(96, "ab"), small(96, "abc"), small(96, "a.c")}},
	{"one for the other, twice", []*Rules{bare(96, "ab"), bare(40, ".b"), bare(40, "a")}},
	{"three to two, and up", []*Rules{small(96, "abc"), small(96, "ab"), small(192, "ab")}},
}

var walks = flag.Int("walks", 250, "at random, of a minute each")

var mostStates = flag.Int("states", 50000, "that the exploration may meet in each script")

func TestExplored(t *testing.T) {
	for _, s := range scripts {
		start := time.Now()
		trace, wrong, states, depth := explore(newWorld(none, 1, s.rules...), 40, *mostStates)
		t.Logf("%s: %d states, all up to %d actions, %v", s.name, states, depth, time.Since(start))
		if wrong != "" {
			t.Errorf("%s: %s after %s", s.name, wrong, strings.Join(trace, ", "))
		}
	}
}

// Each break of the protocol is found: guards against an exploration that can't fail.
func TestPlantedBreaksAreFound(t *testing.T) {
	for p := fromReceipt; p < plants; p++ {
		found := false
		for _, s := range scripts {
			start := time.Now()
			trace, wrong, states, _ := explore(newWorld(p, 0, s.rules...), 40, 30000)
			if wrong != "" {
				found = true
				t.Logf("%s: %s: %s after %s (%d states, %v)", plantedNames[p], s.name, wrong, strings.Join(trace, ", "),
					states, time.Since(start))
				break
			}
		}
		if !found {
			t.Errorf("%s: not found", plantedNames[p])
		}
	}
}
