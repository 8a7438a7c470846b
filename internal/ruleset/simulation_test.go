package ruleset

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// walker is one host of a random walk: an instance and a daemon with its own copy of the council, each with a
// clock of its own that runs fast or slow by as much as the protocol allows for.
type walker struct {
	name           string
	holder         *LeaseHolder
	steward        *HostAgent
	council        *StateMachine
	applied        int // of the log
	process        int
	fast, offset   float64
	stalled, still float64 // until when the instance stands still, and the daemon
	writes         []write
}

// write is what was checked at a time and may be written up to a step later.
type write struct {
	at   float64
	part Allowance
	of   uint64 // the version that it is acted on by; 0 where it is not
}

func (w *walker) clock(now float64) float64 { return now*w.fast + w.offset }

// walk is many events at random, far beyond the depth of the exploration.
type walk struct {
	rng    *rand.Rand
	now    float64
	log    []LogEntry
	truth  *StateMachine // all of the log, at the moment of each commit
	hosts  []*walker
	later  []event
	ended  []ended
	allows float64
	counts map[string]int
	plant  planted
	calm   float64 // ms that each way takes where there is no trouble; 0: there is
}

type event struct {
	at float64
	do func()
}

// in does something after a random time, mostly soon and sometimes very late; sometimes never, or twice.
func (w *walk) in(do func()) {
	if w.calm > 0 {
		w.later = append(w.later, event{w.now + w.calm, do})
		return
	}
	for n := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.rng.Intn(10)]; n > 0; n-- {
		late := w.rng.ExpFloat64() * 20
		if w.rng.Intn(12) == 0 {
			late = w.rng.Float64() * 2500
		}
		w.later = append(w.later, event{w.now + late, do})
	}
}

func (w *walk) commit(e LogEntry) {
	old := w.truth.state.InForce
	o := w.truth.Apply(e)
	w.log = append(w.log, e)
	if o.Rejection != "" {
		w.counts["refused"]++
	}
	if o.PendingReason != "" {
		w.counts["waited"]++
	}
	if w.plant.early(w.truth) {
		o.Activated = w.truth.state.InForce.Number
	}
	if o.Activated > 0 {
		w.counts["in force"]++
		w.ended = append(w.ended, ended{w.now, w.allows, ConflictBoundMillis(&old.Rules), old.Number})
		w.allows = w.truth.state.InForce.Rules.Plans[0].CeilingRate
	}
}

func (w *walk) rules() *Rules {
	members := []string{"abcd", "abc", "ab.d", "a", "ab", ".bc"}
	r := small([]float64{12, 24, 48, 96, 192}[w.rng.Intn(5)], members[w.rng.Intn(len(members))])
	r.LeaseMillis = 100 + w.rng.Float64()*1500
	r.Fallback = Fallback{Fraction: w.rng.Float64(), DurationMillis: w.rng.Float64() * 3000}
	return r
}

// drive is one look at the clock by each that does not stand still.
func (w *walk) drive() {
	for _, s := range w.hosts {
		if s.still <= w.now {
			w.daemon(s)
		}
		if s.stalled <= w.now {
			w.instance(s)
		}
		// One that stands still, and goes on between two of its own lines, writes what May allows.
		if s.holder.MayAct(s.clock(w.now)) && len(s.holder.effective.Plans) > 0 {
			x := write{w.now, s.holder.effective.Plans[0].Allowance, 0}
			if s.holder.effective.Mode == ModeLeased {
				x.of = s.holder.effective.Version
			}
			s.writes = append(s.writes, x)
		}
		s.writes = slices.DeleteFunc(s.writes, func(x write) bool { return x.at+maxWriteDelayMillis < w.now })
	}
}

func (w *walk) daemon(s *walker) {
	for s.applied < len(w.log) && w.rng.Intn(3) > 0 {
		w.apply(s)
	}
	s.steward.SetTime(s.clock(w.now))
	s.steward.SetLeader(w.rng.Intn(2) == 0)
	for {
		d, more := s.steward.NextAction()
		if !more {
			return
		}
		switch d.Kind {
		case ActionSubmit:
			w.in(func() { w.commit(d.Entry) })
		case ActionReadState:
			steward, began, index := s.steward, s.clock(w.now), len(w.log)
			w.in(func() {
				if s.steward != steward || s.still > w.now {
					return
				}
				for s.applied < index {
					w.apply(s)
				}
				s.steward.SetTime(s.clock(w.now))
				s.steward.ReadConfirmed(began)
			})
		}
	}
}

func (w *walk) apply(s *walker) {
	s.council.Apply(w.log[s.applied])
	s.applied++
	w.plant.early(s.council)
	s.steward.SetTime(s.clock(w.now))
	s.steward.EntriesApplied()
}

func (w *walk) instance(s *walker) {
	s.holder.SetTime(s.clock(w.now))
	for {
		d, more := s.holder.NextAction()
		if !more {
			return
		}
		if d.Kind == ActionRequestLease {
			holder, process, asked, holds := s.holder, s.process, s.clock(w.now), s.holder.AckedStep()
			if w.plant == heldAtOnce {
				holds = s.holder.step
			}
			w.in(func() {
				if s.still > w.now || s.process != process { // a daemon knows which of its processes have ended
					return
				}
				s.steward.SetTime(s.clock(w.now))
				l, ok := s.steward.GrantLease(process, holds)
				if !ok {
					return
				}
				switch w.plant {
				case raisedAtOnce:
					l.TransitionComplete = true
				case notNarrowed:
					l.Pending = nil
				}
				w.in(func() {
					if s.holder != holder || s.stalled > w.now {
						return
					}
					s.holder.SetTime(s.clock(w.now))
					if w.plant == fromReceipt {
						l.AgeMillis, asked = 0, s.clock(w.now)
					}
					s.holder.ReceiveLease(l, asked)
				})
			})
		}
	}
}

// trouble is something at random: a proposal, a stall, a crash of an instance or of a daemon.
func (w *walk) trouble() {
	s := w.hosts[w.rng.Intn(len(w.hosts))]
	switch w.rng.Intn(14) {
	case 0, 1, 2, 3, 4, 5:
		w.commit(LogEntry{Type: EntryPropose, ID: fmt.Sprint(len(w.log)), Base: w.truth.state.InForce.Number,
			Rules: w.rules()})
	case 6:
		w.commit(LogEntry{Type: EntryWithdraw, ID: fmt.Sprint(len(w.log)), Base: w.truth.state.InForce.Number})
	case 7, 8, 9:
		s.stalled = w.now + w.rng.Float64()*4000
	case 10:
		s.still = w.now + w.rng.Float64()*4000
	case 11, 12:
		s.steward.ProcessExited(s.process)
		s.process++
		s.holder, s.stalled, s.writes = NewLeaseHolder(s.name, Rules{}), 0, nil
		s.steward.ProcessStarted(s.process, false)
	default: // the daemon comes back with what its disk has: a snapshot, or nothing
		raw, err := s.council.Snapshot()
		if s.council = NewStateMachine(); err != nil || s.council.Restore(raw) != nil {
			panic("snapshot")
		}
		if w.rng.Intn(2) == 0 {
			s.council, s.applied = NewStateMachine(), 0
		}
		s.steward, s.still = NewHostAgent("host-"+s.name, s.council), 0
		s.steward.ProcessStarted(s.process, true)
		s.steward.SetTime(s.clock(w.now))
		s.steward.EntriesApplied()
	}
}

// people makes a host of each name.
func (w *walk) people(names string) {
	for _, n := range strings.Split(names, "") {
		s := &walker{name: n, holder: NewLeaseHolder(n, Rules{}), council: NewStateMachine(),
			fast: 1 + (2*w.rng.Float64()-1)*maxClockDrift, offset: w.rng.Float64() * 1e6}
		s.steward = NewHostAgent("host-"+n, s.council)
		s.steward.ProcessStarted(0, false)
		w.hosts = append(w.hosts, s)
	}
}

// pass does what is due.
func (w *walk) pass() {
	for i := 0; i < len(w.later); i++ {
		if e := w.later[i]; e.at <= w.now {
			w.later = slices.Delete(w.later, i, i+1)
			i--
			e.do()
		}
	}
}

// walked walks for a time in ms; it gives what is wrong.
func walked(seed int64, until float64, plant planted) (string, map[string]int) {
	w := &walk{rng: rand.New(rand.NewSource(seed)), truth: NewStateMachine(), counts: map[string]int{},
		plant: plant}
	w.people("abcd")
	w.commit(LogEntry{Type: EntryPropose, ID: "first", Rules: w.rules()})
	for next := 1000.0; w.now < until; w.now += w.rng.ExpFloat64() * 20 {
		w.pass()
		if w.now > next {
			w.trouble()
			next = w.now + w.rng.ExpFloat64()*[]float64{100, 1000, 4000}[w.rng.Intn(3)]
		}
		w.drive()
		var sum Allowance
		w.ended = slices.DeleteFunc(w.ended, func(e ended) bool { return w.now > e.at+e.bound })
		for _, s := range w.hosts {
			var most Allowance
			for _, x := range s.writes {
				most = most.max(x.part)
				if x.of > 0 && x.of != w.truth.state.InForce.Number && !slices.ContainsFunc(w.ended, func(e ended) bool {
					return e.number == x.of
				}) {
					return fmt.Sprintf("at %.0f %s acts on version %d still", w.now, s.name, x.of), w.counts
				}
			}
			sum = sum.plus(most)
		}
		allowed := w.allows
		for _, e := range w.ended {
			allowed = math.Max(allowed, e.allows)
		}
		if sum.Rate > allowed*(1+roundingTolerance) || sum.Credit > allowed*(1+roundingTolerance) {
			return fmt.Sprintf("at %.0f all write by %v of %v", w.now, sum, allowed), w.counts
		}
		w.counts["moments"]++
		if allowed > 0 && sum.Rate >= allowed*(1-roundingTolerance) {
			w.counts["full"]++
		}
	}
	// Once all copies have the whole log they are the same.
	want, _ := w.truth.Snapshot()
	for _, s := range w.hosts {
		for s.applied < len(w.log) {
			w.apply(s)
		}
		if got, _ := s.council.Snapshot(); !bytes.Equal(got, want) {
			return fmt.Sprintf("the council of %s is another:\n%s\n%s", s.name, got, want), w.counts
		}
	}
	return "", w.counts
}

func TestWalks(t *testing.T) {
	all := map[string]int{}
	for seed := range int64(*walks) {
		wrong, counts := walked(seed, 60000, none)
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for k, n := range counts {
			all[k] += n
		}
	}
	t.Logf("%d walks of a minute: %v", *walks, all)
	if all["full"] < all["moments"]/10 || all["waited"] == 0 || all["in force"] < *walks {
		t.Errorf("walks in which too little happens: %v", all)
	}
}

// Chance finds all breaks but the last, which takes places that swap twice within a lease.
func TestWalksFindPlantedBreaks(t *testing.T) {
	for p := fromReceipt; p < mixedAtOnce; p++ {
		found := false
		for seed := int64(0); seed < 40 && !found; seed++ {
			wrong, _ := walked(seed, 60000, p)
			if found = wrong != ""; found {
				t.Logf("%s: seed %d: %s", plantedNames[p], seed, wrong)
			}
		}
		if !found {
			t.Errorf("%s: not found", plantedNames[p])
		}
	}
}
