package distribution

import (
	"fmt"
	"strings"
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// rules are some that so many gatekeepers agree on, two on a host.
func rules(members int, ceiling float64) ruleset.Rules {
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		Fallback:            ruleset.Fallback{Fraction: 0.5, DurationMillis: 500},
		Plans: []ruleset.Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling,
			CeilingDepth: ceiling}}}
	for i := range members {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("g%d", i), Host: fmt.Sprintf("h%d", i/2),
			Peers: fmt.Sprintf("127.0.%d.%d:9000", i/250, i%250)})
	}
	return r
}

func state(t testing.TB, number uint64, r ruleset.Rules) *versioned.State {
	t.Helper()
	s, err := ruleset.VersionToState(&ruleset.Version{Number: number, Rules: r})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// told has a follower ask until it has something to say, and passes its questions to sources by way of their
// encoding. It gives the decisions other than Wake.
func told(t testing.TB, f *Follower, now float64, above ...*Source) (all []Decision) {
	t.Helper()
	f.Clock(now)
	for {
		d, ok := f.Next()
		if !ok {
			return all
		}
		if d.Kind == Wake {
			continue
		}
		all = append(all, d)
		if d.Kind == AskOf {
			raw, err := d.Ask.Bytes()
			if err != nil {
				t.Fatal(err)
			}
			a, err := ReadAsk(raw)
			if err != nil {
				t.Fatal(err)
			}
			r, err := above[d.Upstream].Answer(a, now)
			if err != nil {
				t.Fatal(err)
			}
			if raw, err = r.Bytes(); err != nil {
				t.Fatal(err)
			}
			if r, err = ReadAnswer(raw); err != nil {
				t.Fatal(err)
			}
			f.Heard(d.Upstream, now, r)
		}
	}
}

// A version goes once, whole and then as a delta; a renewal carries none; a chain adds up the ages.
func TestChain(t *testing.T) {
	root := NewSource("root", "c", Bounds{})
	mid, low := NewSource("mid", "c", Bounds{}), NewSource("low", "c", Bounds{})
	fm := NewFollower(Config{Name: "mid", Cluster: "c", Upstream: 1, Interest: ruleset.Interest{All: true}}, 0)
	fl := NewFollower(Config{Name: "low", Cluster: "c", Upstream: 1,
		Interest: ruleset.Interest{Host: "h3", Around: 1}}, 0)
	v1, v2 := state(t, 1, rules(20, 96)), state(t, 2, rules(20, 48))
	root.Offer(View{Step: 2, Begun: 500, Rules: v1, Index: 7})
	now := 500.0
	step := func(n int) {
		for range n {
			now += 50
			told(t, fm, now, root)
			if v, ok := fm.View(); ok {
				mid.Offer(v)
			}
			told(t, fl, now, mid)
			if v, ok := fl.View(); ok {
				low.Offer(v)
			}
		}
	}
	step(6)
	v, ok := fl.View()
	if !ok || v.Step != 2 || v.Begun != 500 || v.Depth != 2 || v.Index != 7 {
		t.Fatalf("%+v %v", v, ok)
	}
	got, err := ruleset.VersionFromState(v.Rules)
	if err != nil || len(got.Rules.Members) != 20 || ruleset.MemberIndex(&got.Rules, "g5") != 5 ||
		ruleset.MemberIndex(&got.Rules, "g8") != 8 || ruleset.MemberIndex(&got.Rules, "g9") != -1 {
		t.Fatalf("%v %+v", err, got.Rules.Members)
	}
	root.Offer(View{Step: 3, Begun: now, Rules: v1, Pending: v2, Index: 7})
	step(6)
	if v, _ = fl.View(); v.Step != 3 || v.Pending.ID().Number != 2 {
		t.Fatalf("%+v", v)
	}
	root.Offer(View{Step: 4, Begun: now, Rules: v2, Index: 7})
	step(6)
	if v, _ = fl.View(); v.Step != 4 || v.Pending != nil || v.Rules.ID().Number != 2 {
		t.Fatalf("%+v", v)
	}
	if n := fl.Counts(); n.Wholes != 1 || n.Deltas != 1 || n.Bad+n.Base+n.Digest+n.Missing != 0 {
		t.Errorf("%+v", n)
	}
	if n := mid.Counts(); n.Wholes != 1 || n.Renewals < 3 {
		t.Errorf("%+v", n)
	}
	fl.Tell([]HostStep{{Host: "h3", Step: 4}})
	step(6)
	if all := mid.Told(); len(all) != 1 || all[0].Host != "h3" || all[0].Step != 4 {
		t.Errorf("%+v", all)
	}
	if now += 5000; len(told(t, fl, now, mid)) == 0 {
		t.Error("nothing asked")
	}
	if _, ok := fl.View(); ok {
		t.Error("it goes by what is over")
	}
}

// follower is one with two upstreams that has heard of version 1 at step 2, as of 950 of 1,000 ms.
func follower(t *testing.T) (*Follower, *versioned.State) {
	t.Helper()
	f := NewFollower(
		Config{Name: "f", Cluster: "c", Upstream: 2, Interest: ruleset.Interest{All: true}, Seed: 1},
		500,
	)
	v1 := state(t, 1, rules(6, 96))
	f.Clock(1000)
	f.Heard(f.Current(), 1000, &Answer{Form: Form, Cluster: "c", Step: 2, Age: 50, Rules: v1.ID(), Life: 1,
		RulesDelta: versioned.FullDelta(v1), Index: -1})
	if v, ok := f.View(); !ok || v.Begun != 950 || v.Rules.ID() != v1.ID() {
		t.Fatalf("%+v %v %+v", v, ok, f.Counts())
	}
	return f, v1
}

// What can't be gone by is counted by its reason, and changes nothing.
func TestRefused(t *testing.T) {
	v2, other := state(t, 2, rules(6, 48)), state(t, 1, rules(6, 12))
	_, v1 := follower(t)
	r := rules(6, 48)
	r.LeaseMillis = 100
	short := state(t, 2, r)
	spoilt := versioned.Diff(v1, v2)
	spoilt.Set = spoilt.Set[1:]
	for _, c := range []struct {
		name   string
		change func(a *Answer)
		count  func(n Counts) int64
		bare   bool // the next question says that there is nothing
	}{
		{"another form", func(a *Answer) { a.Form = 2 }, func(n Counts) int64 { return n.Foreign }, false},
		{"another cluster", func(a *Answer) { a.Cluster = "d" }, func(n Counts) int64 { return n.Foreign }, false},
		{"an age that is none", func(a *Answer) { a.Age = -1 }, func(n Counts) int64 { return n.Bad }, false},
		{"nothing known", func(a *Answer) { a.Step = 0 }, func(n Counts) int64 { return n.Empty }, false},
		{"a lower step", func(a *Answer) { a.Step = 1 }, func(n Counts) int64 { return n.Late }, false},
		{"an older read of the same", func(a *Answer) { a.Step, a.Age, a.Rules = 2, 160, v1.ID() },
			func(n Counts) int64 { return n.Late }, false},
		{"a lease that is over", func(a *Answer) {
			a.Age, a.Rules, a.RulesDelta = 120, short.ID(), versioned.FullDelta(short)
		}, func(n Counts) int64 { return n.Lapsed }, false},
		{"a ring of relays", func(a *Answer) { a.Depth = mostDepth }, func(n Counts) int64 { return n.Bad }, false},
		{"read before this life", func(a *Answer) { a.Age = 601 }, func(n Counts) int64 { return n.Before }, false},
		{"other rules at the same step", func(a *Answer) { a.Step, a.Rules = 2, other.ID() },
			func(n Counts) int64 { return n.Bad }, false},
		{"a pending one more at the same step", func(a *Answer) {
			a.Step, a.Rules, a.Pending = 2, v1.ID(), v2.ID()
		}, func(n Counts) int64 { return n.Bad }, false},
		{"a lower version", func(a *Answer) { a.Rules.Number = 0 }, func(n Counts) int64 { return n.Bad }, false},
		{"no version", func(a *Answer) { a.Rules = versioned.VersionID{} }, func(n Counts) int64 { return n.Bad },
			false},
		{"a pending one that does not follow", func(a *Answer) { a.Pending = v2.ID() },
			func(n Counts) int64 { return n.Bad }, false},
		{"a version without a delta", func(a *Answer) { a.RulesDelta = nil },
			func(n Counts) int64 { return n.Missing }, false},
		{"a delta of another mark", func(a *Answer) { a.Rules.Digest[0]++ },
			func(n Counts) int64 { return n.Bad }, true},
		{"a delta against another state", func(a *Answer) { a.RulesDelta = versioned.Diff(other, v2) },
			func(n Counts) int64 { return n.Base }, true},
		{"a spoilt delta", func(a *Answer) { a.RulesDelta = spoilt },
			func(n Counts) int64 { return n.Digest }, true},
		{"a spoilt pending one", func(a *Answer) {
			v3 := state(t, 3, rules(6, 24))
			a.Pending, a.PendingDelta = v3.ID(), versioned.Diff(v2, v3)
			a.PendingDelta.Set = nil
		}, func(n Counts) int64 { return n.Digest }, true},
		{"no room", func(a *Answer) { a.RulesDelta, a.Busy = nil, 3000 },
			func(n Counts) int64 { return n.Busy }, false},
	} {
		f, v1 := follower(t)
		a := &Answer{Form: Form, Cluster: "c", Step: 3, Age: 10, Life: 1, Rules: v2.ID(),
			RulesDelta: versioned.Diff(v1, v2), Index: -1}
		before, _ := f.View()
		c.change(a)
		f.Clock(1100)
		f.Heard(f.Current(), 1100, a)
		if after, ok := f.View(); !ok || after != before {
			t.Errorf("%s: %+v", c.name, after)
		}
		if n := f.Counts(); c.count(n) != 1 {
			t.Errorf("%s: %+v", c.name, n)
		}
		asks := asked(f, 1200)
		if len(asks) == 0 || asks[0].Rules.IsNone() != c.bare {
			t.Errorf("%s: asks %+v", c.name, asks)
		}
		f.Clock(1300) // and the same unspoilt is taken
		f.Heard(f.Current(), 1300, &Answer{Form: Form, Cluster: "c", Step: 3, Age: 10, Life: 1, Rules: v2.ID(),
			RulesDelta: versioned.FullDelta(v2), Index: -1})
		if v, ok := f.View(); !ok || v.Step != 3 {
			t.Errorf("%s: then %+v", c.name, v)
		}
	}
}

// An answer that came for a later question than its own is refused: it would be taken for younger than it is.
func TestAnswersAnotherQuestion(t *testing.T) {
	f, v1 := follower(t)
	s := NewSource("s", "c", Bounds{})
	s.Offer(View{Step: 3, Begun: 990, Rules: v1, Index: -1})
	a := asked(f, 1200)[0]
	r, err := s.Answer(a, 1200)
	if err != nil || r.Number == 0 || r.Number != a.Number {
		t.Fatalf("%v %+v", err, r)
	}
	f.Heard(f.Current(), 1200, r)
	if v, _ := f.View(); v.Step != 3 || v.Begun != 990 {
		t.Fatalf("%+v", v)
	}
	b := asked(f, 1300)[0]
	f.Heard(f.Current(), 1300, r) // the former one, doubled
	if v, _ := f.View(); v.Begun != 990 || f.Counts().Bad != 1 || a.Number == b.Number {
		t.Errorf("%+v %+v", v, f.Counts())
	}
}

// asked gives the questions that a follower puts at a time.
func asked(f *Follower, now float64) (all []*Ask) {
	f.Clock(now)
	for {
		d, ok := f.Next()
		if !ok {
			return all
		}
		if d.Kind == AskOf {
			all = append(all, d.Ask)
		}
	}
}

// Rules of a longer lease than those before are heard of though the former lease is too short for the way.
func TestLongerLease(t *testing.T) {
	f := NewFollower(Config{Name: "f", Cluster: "c", Upstream: 1, Interest: ruleset.Interest{All: true},
		Lease: 100}, 0)
	v := state(t, 1, rules(6, 96))
	f.Clock(1000)
	f.Heard(0, 1000, &Answer{Form: Form, Cluster: "c", Step: 2, Age: 300, Rules: v.ID(), Life: 1,
		RulesDelta: versioned.FullDelta(v), Index: -1})
	if got, ok := f.View(); !ok || got.Begun != 700 || f.lease != 1000 || f.every != 100 {
		t.Errorf("%+v %v, lease %v", got, ok, f.lease)
	}
}

// One above that spoils what it sends is left at once, and questions still come at their rate.
func TestLeavesOneThatSpoils(t *testing.T) {
	f, v1 := follower(t)
	v2 := state(t, 2, rules(6, 48))
	first := f.Current()
	good := &Answer{Form: Form, Cluster: "c", Step: 3, Age: 10, Life: 1, Rules: v2.ID(),
		RulesDelta: versioned.Diff(v1, v2), Index: -1}
	for all, left := range map[bool]bool{false: true, true: false} {
		f, _ = follower(t)
		n := 0
		for now := 1000.0; now < 2000; now += 5 {
			f.Clock(now)
			for {
				d, ok := f.Next()
				if !ok {
					break
				}
				if d.Kind != AskOf {
					continue
				}
				a := *good
				if n++; all || d.Upstream == first {
					a.RulesDelta = &versioned.Delta{From: d.Ask.Rules, To: v2.ID(), Delete: []string{"rules"}}
				}
				f.Heard(d.Upstream, now, &a)
			}
		}
		v, _ := f.View()
		if (v.Step == 3) != left || n > 2*10+2 {
			t.Errorf("all %v: step %d, %d questions in a lease, %+v", all, v.Step, n, f.Counts())
		}
	}
}

// A delta that comes late, after another way has brought a later version, and one that comes twice.
func TestLateAndTwice(t *testing.T) {
	f, v1 := follower(t)
	v2, v3 := state(t, 2, rules(6, 48)), state(t, 3, rules(6, 24))
	say := func(step uint64, v *versioned.State, d *versioned.Delta) {
		f.Heard(f.Current(), 1100, &Answer{Form: Form, Cluster: "c", Step: step, Age: 10, Life: 1, Rules: v.ID(),
			RulesDelta: d, Index: -1})
	}
	f.Clock(1100)
	say(3, v2, versioned.Diff(v1, v2))
	say(3, v2, versioned.Diff(v1, v2)) // twice: a renewal
	say(4, v3, versioned.Diff(v1, v3)) // made for what it had when it asked, which it has still
	say(3, v2, versioned.Diff(v1, v2)) // late
	if v, _ := f.View(); v.Step != 4 || v.Rules.ID() != v3.ID() {
		t.Errorf("%+v", v)
	}
	if n := f.Counts(); n.Taken != 3 || n.Renewed != 1 || n.Late != 1 || n.Base+n.Digest+n.Bad != 0 {
		t.Errorf("%+v", n)
	}
}

// A pending version that comes in force is not sent again, and its withdrawal sends nothing.
func TestPendingComes(t *testing.T) {
	s := NewSource("s", "c", Bounds{})
	f, v1 := follower(t)
	v2 := state(t, 2, rules(6, 24))
	s.Offer(View{Step: 3, Begun: 1000, Rules: v1, Pending: v2, Index: -1})
	told(t, f, 1200, s, s)
	s.Offer(View{Step: 4, Begun: 1200, Rules: v2, Index: -1})
	told(t, f, 1400, s, s)
	if v, _ := f.View(); v.Step != 4 || v.Rules.ID() != v2.ID() || v.Pending != nil {
		t.Errorf("%+v", v)
	}
	if n := s.Counts(); n.Wholes+n.Deltas != 0 {
		t.Errorf("it was sent again: %+v", n)
	}
}

// drive has a follower live for a time with upstreams that answer or not, and gives how often each was asked.
func drive(t *testing.T, f *Follower, from, until float64, above []*Source,
	alive func(u int, now float64) bool, view func(now float64) View) []int {
	t.Helper()
	n := make([]int, len(above))
	for now := from; now < until; now += 5 {
		f.Clock(now)
		for {
			d, ok := f.Next()
			if !ok {
				break
			}
			if d.Kind != AskOf {
				continue
			}
			n[d.Upstream]++
			if !alive(d.Upstream, now) {
				continue
			}
			above[d.Upstream].Offer(view(now))
			r, err := above[d.Upstream].Answer(d.Ask, now)
			if err != nil {
				t.Fatal(err)
			}
			f.Heard(d.Upstream, now, r)
		}
	}
	return n
}

// One that lies still is left within a fifth of a lease and the lease never runs out; questions come at the
// same rate. The preferred one is gone back to once it answers.
func TestLeavesOneThatLiesStill(t *testing.T) {
	f, v1 := follower(t)
	above := []*Source{NewSource("a", "c", Bounds{}), NewSource("b", "c", Bounds{})}
	fresh := func(now float64) View { return View{Step: 2, Begun: now - 20, Rules: v1, Index: -1} }
	first := f.Current()
	still := func(u int, now float64) bool { return u != first || now < 3000 || now > 20000 }
	drive(t, f, 1000, 3000, above, still, fresh)
	if f.Current() != first || f.Counts().Switched != 0 {
		t.Fatalf("%+v", f.Counts())
	}
	left := 0.0
	for now := 3000.0; now < 20000; now += 5 {
		drive(t, f, now, now+5, above, still, fresh)
		if left == 0 && f.Current() != first {
			left = now
		}
		if _, ok := f.View(); !ok {
			t.Fatalf("at %.0f the lease is over", now)
		}
	}
	if left == 0 || left > 3000+100+200+5 {
		t.Errorf("left at %.0f", left)
	}
	drive(t, f, 20000, 65000, above, still, fresh)
	if f.Current() != first {
		t.Errorf("not back: %+v", f.Counts())
	}
	n := drive(t, f, 65000, 75000, above, still, fresh)
	if n[first] < 99 || n[first] > 101 || n[1-first] != 0 {
		t.Errorf("%v questions in ten leases", n)
	}
}

// One that answers, and whose words are old as it is cut off from above, is left by its age.
func TestLeavesOneThatIsCutOff(t *testing.T) {
	f, v1 := follower(t)
	above := []*Source{NewSource("a", "c", Bounds{}), NewSource("b", "c", Bounds{})}
	first := f.Current()
	all := func(int, float64) bool { return true }
	for now := 1000.0; now < 9000; now += 5 {
		for u, s := range above {
			begun := now - 20
			if u == first && now > 3000 {
				begun = 3000
			}
			s.Offer(View{Step: 2, Begun: begun, Rules: v1, Index: -1})
		}
		drive(t, f, now, now+5, above, all, func(float64) View { return View{} })
		if v, ok := f.View(); !ok || v.Age(now) > 600 {
			t.Fatalf("at %.0f: %v, %.0f old", now, ok, v.Age(now))
		}
	}
	if f.Current() == first {
		t.Errorf("not left: %+v", f.Counts())
	}
}

// Where nobody answers, or all refuse at once, questions come at the rate at which they always do.
func TestConstantWork(t *testing.T) {
	for _, fast := range []bool{false, true} {
		f := NewFollower(Config{Name: "f", Cluster: "c", Upstream: 3, Seed: 2}, 0)
		n := 0
		for now := 0.0; now < 10000; now += 5 {
			f.Clock(now)
			for {
				d, ok := f.Next()
				if !ok {
					break
				}
				if d.Kind == AskOf {
					if n++; fast {
						f.Failed(d.Upstream, now)
					}
				}
			}
		}
		if n < 40 || n > 3*100+3 {
			t.Errorf("fast %v: %d questions in ten leases", fast, n)
		}
	}
}

// Facts go up until one above has answered a question that had them; all of them go again to another one,
// and to one that has begun anew.
func TestFactsGoUp(t *testing.T) {
	f, v1 := follower(t)
	above := []*Source{NewSource("a", "c", Bounds{Life: 5}), NewSource("b", "c", Bounds{Life: 6})}
	view := func(now float64) View { return View{Step: 2, Begun: now - 20, Rules: v1, Index: -1} }
	first, dead := f.Current(), -1
	alive := func(u int, now float64) bool { return u != dead }
	var all []HostStep
	for i := range MostTold + 10 {
		all = append(all, HostStep{Host: fmt.Sprintf("h%05d", i), Step: uint64(1 + i%3)})
	}
	f.Tell(all)
	f.Tell([]HostStep{{Host: "h00002", Step: 1}}) // older: no news
	drive(t, f, 1000, 1500, above, alive, view)
	if got := above[first].Facts(); len(got) != len(all) || got[2].Step != 3 {
		t.Fatalf("%d facts", len(got))
	}
	if n := len(above[first].Told()); n != len(all) || len(above[first].Told()) != 0 {
		t.Errorf("%d told", n)
	}
	if a := asked(f, 1700); len(a) != 1 || len(a[0].Seen) != 0 {
		t.Errorf("told again: %+v", a)
	}
	dead = first
	drive(t, f, 1800, 3000, above, alive, view)
	if n := len(above[1-first].Facts()); n != len(all) {
		t.Errorf("%d at the other one", n)
	}
	above[1-first] = NewSource("b", "c", Bounds{Life: 7}) // it begins anew
	drive(t, f, 3000, 4000, above, alive, view)
	if n := len(above[1-first].Facts()); n != len(all) {
		t.Errorf("%d at one that has begun anew", n)
	}
}

// Facts are bounded: those of the lowest steps go first.
func TestFactsAreBounded(t *testing.T) {
	f := NewFollower(Config{Name: "f", Cluster: "c", Upstream: 1}, 0)
	for i := range mostHosts + 1 {
		f.Tell([]HostStep{{Host: fmt.Sprint("h", i), Step: uint64(10 + i)}})
	}
	if len(f.facts) != mostHosts || f.facts["h0"] != 0 || f.facts["h1"] != 11 || f.Counts().Dropped != 1 {
		t.Errorf("%d facts, %+v", len(f.facts), f.Counts())
	}
	s := NewSource("s", "c", Bounds{Hosts: 2})
	for i := range 4 {
		if _, err := s.Answer(&Ask{Form: Form, Cluster: "c", From: "f", Index: -1,
			Seen: []HostStep{{Host: fmt.Sprint("h", i), Step: 1}}}, 0); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.Counts(); len(s.Facts()) != 2 || n.Dropped != 2 {
		t.Errorf("%v %+v", s.Facts(), n)
	}
}

// Wholes are bounded by bytes; renewals and deltas are not, and one that is told to wait asks quietly and
// then again, so that all are served in the end.
func TestStorm(t *testing.T) {
	v1 := state(t, 1, rules(100, 96))
	size := float64(v1.Bytes())
	s := NewSource("s", "c", Bounds{WholeBurst: 4 * size, WholeRate: 10 * size})
	var all []*Follower
	for i := range 50 {
		all = append(all, NewFollower(Config{Name: fmt.Sprint("f", i), Cluster: "c", Upstream: 1,
			Interest: ruleset.Interest{All: true}, Seed: int64(i)}, 1000))
	}
	up, wholes := 0, int64(0)
	for now := 1000.0; now < 12000; now += 10 {
		s.Offer(View{Step: 2, Begun: now, Rules: v1, Index: -1})
		up = 0
		for _, f := range all {
			told(t, f, now, s)
			if _, ok := f.View(); ok {
				up++
			}
		}
		if n := s.Counts(); float64(n.Wholes) > 6+(now-1000)/100 {
			t.Fatalf("%d wholes by %.0f", n.Wholes, now)
		}
		if up == len(all) && wholes == 0 {
			wholes = s.Counts().Wholes
			t.Logf("all up after %.0f ms, %d told to wait", now-1000, s.Counts().Busy)
		}
	}
	n := s.Counts()
	if up != len(all) || wholes != 50 || n.Wholes != 50 || n.Busy == 0 || n.Busy > 1000 {
		t.Errorf("%d up, %+v", up, n)
	}
}

// A delta is made from a version that is kept, for any interest; one further back gets the whole.
func TestSourceKeeps(t *testing.T) {
	s := NewSource("s", "c", Bounds{Versions: 3})
	in := ruleset.Interest{Host: "h1"}
	var marks []versioned.VersionID
	for i := range 5 {
		v := state(t, uint64(i+1), rules(20, 96-float64(i)))
		s.Offer(View{Step: uint64(i + 1), Begun: 0, Rules: v, Index: -1})
		marks = append(marks, ruleset.Select(v, in).ID())
	}
	for i, m := range marks {
		r, err := s.Answer(&Ask{Form: Form, Cluster: "c", From: "f", Interest: in, Rules: m, Index: -1}, 10)
		if err != nil || r.Rules != marks[4] {
			t.Fatalf("%v %+v", err, r)
		}
		switch {
		case i == 4 && r.RulesDelta == nil:
		case i < 4 && i >= 2 && r.RulesDelta.From == m && len(r.RulesDelta.Set) == 1:
		case i < 2 && r.RulesDelta.From.IsNone() && len(r.RulesDelta.Set) == 4: // header, plan, two members
		default:
			t.Errorf("from version %d: %+v", i+1, r.RulesDelta)
		}
	}
	spoilt := marks[3]
	spoilt.Digest[0]++
	r, _ := s.Answer(&Ask{Form: Form, Cluster: "c", From: "f", Interest: in, Rules: spoilt, Index: -1}, 10)
	if r.RulesDelta == nil || !r.RulesDelta.From.IsNone() {
		t.Errorf("a mark that never was: %+v", r.RulesDelta)
	}
	if s.Offer(View{Step: 2, Rules: state(t, 9, rules(2, 1))}); s.v.Step != 5 {
		t.Error("a lower step was taken")
	}
}

// The least that a source keeps is the version in force and one that waits.
func TestSourceKeepsWhatWaits(t *testing.T) {
	s := NewSource("s", "c", Bounds{Versions: 1, Parts: 1})
	v1, v2 := state(t, 1, rules(6, 96)), state(t, 2, rules(6, 24))
	s.Offer(View{Step: 3, Begun: 0, Rules: v1, Pending: v2, Index: -1})
	for _, in := range []ruleset.Interest{{All: true}, {Host: "h0"}, {Host: "h1"}} {
		r, err := s.Answer(&Ask{Form: Form, Cluster: "c", From: "f", Interest: in, Index: -1}, 10)
		if err != nil || r.PendingDelta == nil || r.Pending.Number != 2 {
			t.Errorf("%+v: %v %+v", in, err, r)
		}
	}
}

func TestSourceRefuses(t *testing.T) {
	s := NewSource("s", "c", Bounds{})
	for name, a := range map[string]*Ask{
		"form: 2":    {Form: 2, Cluster: "c", From: "f"},
		"cluster: ":  {Form: Form, Cluster: "d", From: "f"},
		"from: ":     {Form: Form, Cluster: "c"},
		"seen: 2001": {Form: Form, Cluster: "c", From: "f", Seen: make([]HostStep, MostTold+1)},
		"interest: ": {Form: Form, Cluster: "c", From: "f", Interest: ruleset.Interest{Around: -1}},
	} {
		if _, err := s.Answer(a, 0); err == nil || !strings.HasPrefix(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n := s.Counts(); n.Refused != 5 {
		t.Errorf("%+v", n)
	}
	r, err := s.Answer(&Ask{Form: Form, Cluster: "c", From: "f", Index: -1}, 0)
	if err != nil || r.Step != 0 || r.Index != -1 {
		t.Errorf("%v %+v", err, r)
	}
}

// The highest index of discovery's list goes up, and down once those that told it are silent.
func TestIndexGoesUp(t *testing.T) {
	s := NewSource("s", "c", Bounds{})
	s.Offer(View{Step: 1, Rules: state(t, 1, rules(2, 96)), Index: 3})
	tell := func(who string, index int64, now float64) int64 {
		r, err := s.Answer(&Ask{Form: Form, Cluster: "c", From: who, Index: index}, now)
		if err != nil {
			t.Fatal(err)
		}
		return r.Index
	}
	for i, c := range []struct {
		who   string
		index int64
		at    float64
		want  int64
	}{{"a", -1, 0, 3}, {"a", 7, 10, 7}, {"b", 5, 20, 7}, {"b", 5, 9000, 7}, {"b", 5, 11500, 5},
		{"b", -1, 25000, 3}} {
		if got := tell(c.who, c.index, c.at); got != c.want {
			t.Errorf("%d: %d, not %d", i, got, c.want)
		}
	}
}
