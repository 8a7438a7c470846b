package distribution

import (
	"fmt"
	"strings"
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// rules are some that so many gatekeepers agree on, two on a host.
func testRules(members int, ceiling float64) ruleset.Rules {
	r := ruleset.Rules{Form: ruleset.Form, Lease: 1000, Bound: ruleset.MostBound,
		Fallback: ruleset.Fallback{Part: 0.5, For: 500},
		Plans:    []ruleset.Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling, CeilingDepth: ceiling}}}
	for i := range members {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("g%d", i), Host: fmt.Sprintf("h%d", i/2),
			Peers: fmt.Sprintf("127.0.%d.%d:9000", i/250, i%250)})
	}
	return r
}

func testState(t testing.TB, number uint64, r ruleset.Rules) *versioned.State {
	t.Helper()
	s, err := ruleset.Entries(&ruleset.Version{Number: number, Rules: r})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// told has a follower ask until it has something to say, and passes its questions to sources by way of their
// encoding. It gives the decisions other than Wake.
func exchange(t testing.TB, f *Follower, now float64, above ...*Source) (all []Action) {
	t.Helper()
	f.AdvanceClock(now)
	for {
		d, ok := f.NextAction()
		if !ok {
			return all
		}
		if d.Kind == ScheduleWake {
			continue
		}
		all = append(all, d)
		if d.Kind == SendRequest {
			raw, err := d.Request.Encode()
			if err != nil {
				t.Fatal(err)
			}
			a, err := DecodeRequest(raw)
			if err != nil {
				t.Fatal(err)
			}
			r, err := above[d.Upstream].Respond(a, now)
			if err != nil {
				t.Fatal(err)
			}
			if raw, err = r.Encode(); err != nil {
				t.Fatal(err)
			}
			if r, err = DecodeResponse(raw); err != nil {
				t.Fatal(err)
			}
			f.HandleResponse(d.Upstream, now, r)
		}
	}
}

// A version goes once, whole and then as a delta; a renewal carries none; a chain adds up the ages.
func TestChain(t *testing.T) {
	root := NewSource("root", "c", SourceConfig{})
	mid, low := NewSource("mid", "c", SourceConfig{}), NewSource("low", "c", SourceConfig{})
	fm := NewFollower(FollowerConfig{Name: "mid", Cluster: "c", Upstreams: 1,
		Interest: ruleset.Interest{All: true}}, 0)
	fl := NewFollower(FollowerConfig{Name: "low", Cluster: "c", Upstreams: 1,
		Interest: ruleset.Interest{Host: "h3", Around: 1}}, 0)
	v1, v2 := testState(t, 1, testRules(20, 96)), testState(t, 2, testRules(20, 48))
	root.Publish(Snapshot{Step: 2, ReadStartMillis: 500, Rules: v1, DiscoveryIndex: 7})
	now := 500.0
	step := func(n int) {
		for range n {
			now += 50
			exchange(t, fm, now, root)
			if v, ok := fm.Snapshot(); ok {
				mid.Publish(v)
			}
			exchange(t, fl, now, mid)
			if v, ok := fl.Snapshot(); ok {
				low.Publish(v)
			}
		}
	}
	step(6)
	v, ok := fl.Snapshot()
	if !ok || v.Step != 2 || v.ReadStartMillis != 500 || v.Depth != 2 || v.DiscoveryIndex != 7 {
		t.Fatalf("%+v %v", v, ok)
	}
	got, err := ruleset.FromState(v.Rules)
	if err != nil || len(got.Rules.Members) != 20 || ruleset.Place(&got.Rules, "g5") != 5 ||
		ruleset.Place(&got.Rules, "g8") != 8 || ruleset.Place(&got.Rules, "g9") != -1 {
		t.Fatalf("%v %+v", err, got.Rules.Members)
	}
	root.Publish(Snapshot{Step: 3, ReadStartMillis: now, Rules: v1, Pending: v2, DiscoveryIndex: 7})
	step(6)
	if v, _ = fl.Snapshot(); v.Step != 3 || v.Pending.Mark().Number != 2 {
		t.Fatalf("%+v", v)
	}
	root.Publish(Snapshot{Step: 4, ReadStartMillis: now, Rules: v2, DiscoveryIndex: 7})
	step(6)
	if v, _ = fl.Snapshot(); v.Step != 4 || v.Pending != nil || v.Rules.Mark().Number != 2 {
		t.Fatalf("%+v", v)
	}
	if n := fl.Counts(); n.FullStates != 1 || n.Deltas != 1 ||
		n.Invalid+n.BaseMismatches+n.DigestMismatches+n.MissingDeltas != 0 {
		t.Errorf("%+v", n)
	}
	if n := mid.Counts(); n.FullStates != 1 || n.Renewals < 3 {
		t.Errorf("%+v", n)
	}
	fl.ReportHostSteps([]HostStep{{Host: "h3", Step: 4}})
	step(6)
	if all := mid.TakeHostSteps(); len(all) != 1 || all[0].Host != "h3" || all[0].Step != 4 {
		t.Errorf("%+v", all)
	}
	if now += 5000; len(exchange(t, fl, now, mid)) == 0 {
		t.Error("nothing asked")
	}
	if _, ok := fl.Snapshot(); ok {
		t.Error("it goes by what is over")
	}
}

// follower is one with two upstreams that has heard of version 1 at step 2, as of 950 of 1,000 ms.
func leasedFollower(t *testing.T) (*Follower, *versioned.State) {
	t.Helper()
	f := NewFollower(
		FollowerConfig{Name: "f", Cluster: "c", Upstreams: 2, Interest: ruleset.Interest{All: true}, Seed: 1},
		500,
	)
	v1 := testState(t, 1, testRules(6, 96))
	f.AdvanceClock(1000)
	f.HandleResponse(f.CurrentUpstream(), 1000, &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 2,
		AgeMillis: 50, Rules: v1.Mark(), Incarnation: 1,
		RulesDelta: versioned.Whole(v1), DiscoveryIndex: -1})
	if v, ok := f.Snapshot(); !ok || v.ReadStartMillis != 950 || v.Rules.Mark() != v1.Mark() {
		t.Fatalf("%+v %v %+v", v, ok, f.Counts())
	}
	return f, v1
}

// What can't be gone by is counted by its reason, and changes nothing.
func TestRejectedResponses(t *testing.T) {
	v2, other := testState(t, 2, testRules(6, 48)), testState(t, 1, testRules(6, 12))
	_, v1 := leasedFollower(t)
	r := testRules(6, 48)
	r.Lease = 100
	short := testState(t, 2, r)
	spoilt := versioned.Between(v1, v2)
	spoilt.Set = spoilt.Set[1:]
	for _, c := range []struct {
		name   string
		change func(a *Response)
		count  func(n FollowerCounts) int64
		bare   bool // the next question says that there is nothing
	}{
		{"another form", func(a *Response) { a.FormatVersion = 2 },
			func(n FollowerCounts) int64 { return n.Incompatible }, false},
		{"another cluster", func(a *Response) { a.Cluster = "d" },
			func(n FollowerCounts) int64 { return n.Incompatible }, false},
		{"an age that is none", func(a *Response) { a.AgeMillis = -1 },
			func(n FollowerCounts) int64 { return n.Invalid }, false},
		{"nothing known", func(a *Response) { a.Step = 0 }, func(n FollowerCounts) int64 { return n.Empty }, false},
		{"a lower step", func(a *Response) { a.Step = 1 }, func(n FollowerCounts) int64 { return n.Stale }, false},
		{"an older read of the same", func(a *Response) { a.Step, a.AgeMillis, a.Rules = 2, 160, v1.Mark() },
			func(n FollowerCounts) int64 { return n.Stale }, false},
		{"a lease that is over", func(a *Response) {
			a.AgeMillis, a.Rules, a.RulesDelta = 120, short.Mark(), versioned.Whole(short)
		}, func(n FollowerCounts) int64 { return n.Expired }, false},
		{"a ring of relays", func(a *Response) { a.Depth = maxDepth },
			func(n FollowerCounts) int64 { return n.Invalid }, false},
		{"read before this life", func(a *Response) { a.AgeMillis = 601 },
			func(n FollowerCounts) int64 { return n.BeforeStart }, false},
		{"other rules at the same step", func(a *Response) { a.Step, a.Rules = 2, other.Mark() },
			func(n FollowerCounts) int64 { return n.Invalid }, false},
		{"a pending one more at the same step", func(a *Response) {
			a.Step, a.Rules, a.Pending = 2, v1.Mark(), v2.Mark()
		}, func(n FollowerCounts) int64 { return n.Invalid }, false},
		{"a lower version", func(a *Response) { a.Rules.Number = 0 },
			func(n FollowerCounts) int64 { return n.Invalid }, false},
		{"no version", func(a *Response) { a.Rules = versioned.Mark{} },
			func(n FollowerCounts) int64 { return n.Invalid },
			false},
		{"a pending one that does not follow", func(a *Response) { a.Pending = v2.Mark() },
			func(n FollowerCounts) int64 { return n.Invalid }, false},
		{"a version without a delta", func(a *Response) { a.RulesDelta = nil },
			func(n FollowerCounts) int64 { return n.MissingDeltas }, false},
		{"a delta of another mark", func(a *Response) { a.Rules.Digest[0]++ },
			func(n FollowerCounts) int64 { return n.Invalid }, true},
		{"a delta against another state", func(a *Response) { a.RulesDelta = versioned.Between(other, v2) },
			func(n FollowerCounts) int64 { return n.BaseMismatches }, true},
		{"a spoilt delta", func(a *Response) { a.RulesDelta = spoilt },
			func(n FollowerCounts) int64 { return n.DigestMismatches }, true},
		{"a spoilt pending one", func(a *Response) {
			v3 := testState(t, 3, testRules(6, 24))
			a.Pending, a.PendingDelta = v3.Mark(), versioned.Between(v2, v3)
			a.PendingDelta.Set = nil
		}, func(n FollowerCounts) int64 { return n.DigestMismatches }, true},
		{"no room", func(a *Response) { a.RulesDelta, a.RetryAfterMillis = nil, 3000 },
			func(n FollowerCounts) int64 { return n.Deferred }, false},
	} {
		f, v1 := leasedFollower(t)
		a := &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 3, AgeMillis: 10, Incarnation: 1,
			Rules:      v2.Mark(),
			RulesDelta: versioned.Between(v1, v2), DiscoveryIndex: -1}
		before, _ := f.Snapshot()
		c.change(a)
		f.AdvanceClock(1100)
		f.HandleResponse(f.CurrentUpstream(), 1100, a)
		if after, ok := f.Snapshot(); !ok || after != before {
			t.Errorf("%s: %+v", c.name, after)
		}
		if n := f.Counts(); c.count(n) != 1 {
			t.Errorf("%s: %+v", c.name, n)
		}
		asks := requestsAt(f, 1200)
		if len(asks) == 0 || asks[0].Rules.None() != c.bare {
			t.Errorf("%s: asks %+v", c.name, asks)
		}
		f.AdvanceClock(1300) // and the same unspoilt is taken
		f.HandleResponse(f.CurrentUpstream(), 1300, &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 3,
			AgeMillis: 10, Incarnation: 1, Rules: v2.Mark(),
			RulesDelta: versioned.Whole(v2), DiscoveryIndex: -1})
		if v, ok := f.Snapshot(); !ok || v.Step != 3 {
			t.Errorf("%s: then %+v", c.name, v)
		}
	}
}

// An answer that came for a later question than its own is refused: it would be taken for younger than it is.
func TestResponseToAnotherRequest(t *testing.T) {
	f, v1 := leasedFollower(t)
	s := NewSource("s", "c", SourceConfig{})
	s.Publish(Snapshot{Step: 3, ReadStartMillis: 990, Rules: v1, DiscoveryIndex: -1})
	a := requestsAt(f, 1200)[0]
	r, err := s.Respond(a, 1200)
	if err != nil || r.Nonce == 0 || r.Nonce != a.Nonce {
		t.Fatalf("%v %+v", err, r)
	}
	f.HandleResponse(f.CurrentUpstream(), 1200, r)
	if v, _ := f.Snapshot(); v.Step != 3 || v.ReadStartMillis != 990 {
		t.Fatalf("%+v", v)
	}
	b := requestsAt(f, 1300)[0]
	f.HandleResponse(f.CurrentUpstream(), 1300, r) // the former one, doubled
	if v, _ := f.Snapshot(); v.ReadStartMillis != 990 || f.Counts().Invalid != 1 || a.Nonce == b.Nonce {
		t.Errorf("%+v %+v", v, f.Counts())
	}
}

// asked gives the questions that a follower puts at a time.
func requestsAt(f *Follower, now float64) (all []*Request) {
	f.AdvanceClock(now)
	for {
		d, ok := f.NextAction()
		if !ok {
			return all
		}
		if d.Kind == SendRequest {
			all = append(all, d.Request)
		}
	}
}

// Rules of a longer lease than those before are heard of though the former lease is too short for the way.
func TestLeaseGrowsWithRules(t *testing.T) {
	f := NewFollower(FollowerConfig{Name: "f", Cluster: "c", Upstreams: 1, Interest: ruleset.Interest{All: true},
		LeaseMillis: 100}, 0)
	v := testState(t, 1, testRules(6, 96))
	f.AdvanceClock(1000)
	f.HandleResponse(0, 1000, &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 2, AgeMillis: 300,
		Rules: v.Mark(), Incarnation: 1,
		RulesDelta: versioned.Whole(v), DiscoveryIndex: -1})
	if got, ok := f.Snapshot(); !ok || got.ReadStartMillis != 700 || f.lease != 1000 || f.interval != 100 {
		t.Errorf("%+v %v, lease %v", got, ok, f.lease)
	}
}

// One above that spoils what it sends is left at once, and questions still come at their rate.
func TestCorruptUpstreamIsLeft(t *testing.T) {
	f, v1 := leasedFollower(t)
	v2 := testState(t, 2, testRules(6, 48))
	first := f.CurrentUpstream()
	good := &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 3, AgeMillis: 10, Incarnation: 1,
		Rules:      v2.Mark(),
		RulesDelta: versioned.Between(v1, v2), DiscoveryIndex: -1}
	for all, left := range map[bool]bool{false: true, true: false} {
		f, _ = leasedFollower(t)
		n := 0
		for now := 1000.0; now < 2000; now += 5 {
			f.AdvanceClock(now)
			for {
				d, ok := f.NextAction()
				if !ok {
					break
				}
				if d.Kind != SendRequest {
					continue
				}
				a := *good
				if n++; all || d.Upstream == first {
					a.RulesDelta = &versioned.Delta{From: d.Request.Rules, To: v2.Mark(), Drop: []string{"rules"}}
				}
				f.HandleResponse(d.Upstream, now, &a)
			}
		}
		v, _ := f.Snapshot()
		if (v.Step == 3) != left || n > 2*10+2 {
			t.Errorf("all %v: step %d, %d questions in a lease, %+v", all, v.Step, n, f.Counts())
		}
	}
}

// A delta that comes late, after another way has brought a later version, and one that comes twice.
func TestLateAndDuplicateResponses(t *testing.T) {
	f, v1 := leasedFollower(t)
	v2, v3 := testState(t, 2, testRules(6, 48)), testState(t, 3, testRules(6, 24))
	say := func(step uint64, v *versioned.State, d *versioned.Delta) {
		f.HandleResponse(f.CurrentUpstream(), 1100, &Response{FormatVersion: FormatVersion, Cluster: "c",
			Step: step, AgeMillis: 10, Incarnation: 1, Rules: v.Mark(),
			RulesDelta: d, DiscoveryIndex: -1})
	}
	f.AdvanceClock(1100)
	say(3, v2, versioned.Between(v1, v2))
	say(3, v2, versioned.Between(v1, v2)) // twice: a renewal
	say(4, v3, versioned.Between(v1, v3)) // made for what it had when it asked, which it has still
	say(3, v2, versioned.Between(v1, v2)) // late
	if v, _ := f.Snapshot(); v.Step != 4 || v.Rules.Mark() != v3.Mark() {
		t.Errorf("%+v", v)
	}
	if n := f.Counts(); n.Updates != 3 || n.Renewals != 1 || n.Stale != 1 ||
		n.BaseMismatches+n.DigestMismatches+n.Invalid != 0 {
		t.Errorf("%+v", n)
	}
}

// A pending version that comes in force is not sent again, and its withdrawal sends nothing.
func TestPendingVersionIsNotResent(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{})
	f, v1 := leasedFollower(t)
	v2 := testState(t, 2, testRules(6, 24))
	s.Publish(Snapshot{Step: 3, ReadStartMillis: 1000, Rules: v1, Pending: v2, DiscoveryIndex: -1})
	exchange(t, f, 1200, s, s)
	s.Publish(Snapshot{Step: 4, ReadStartMillis: 1200, Rules: v2, DiscoveryIndex: -1})
	exchange(t, f, 1400, s, s)
	if v, _ := f.Snapshot(); v.Step != 4 || v.Rules.Mark() != v2.Mark() || v.Pending != nil {
		t.Errorf("%+v", v)
	}
	if n := s.Counts(); n.FullStates+n.Deltas != 0 {
		t.Errorf("it was sent again: %+v", n)
	}
}

// drive has a follower live for a time with upstreams that answer or not, and gives how often each was asked.
func simulate(t *testing.T, f *Follower, from, until float64, above []*Source,
	alive func(u int, now float64) bool, view func(now float64) Snapshot) []int {
	t.Helper()
	n := make([]int, len(above))
	for now := from; now < until; now += 5 {
		f.AdvanceClock(now)
		for {
			d, ok := f.NextAction()
			if !ok {
				break
			}
			if d.Kind != SendRequest {
				continue
			}
			n[d.Upstream]++
			if !alive(d.Upstream, now) {
				continue
			}
			above[d.Upstream].Publish(view(now))
			r, err := above[d.Upstream].Respond(d.Request, now)
			if err != nil {
				t.Fatal(err)
			}
			f.HandleResponse(d.Upstream, now, r)
		}
	}
	return n
}

// One that lies still is left within a fifth of a lease and the lease never runs out; questions come at the
// same rate. The preferred one is gone back to once it answers.
func TestStalledUpstreamIsLeft(t *testing.T) {
	f, v1 := leasedFollower(t)
	above := []*Source{NewSource("a", "c", SourceConfig{}), NewSource("b", "c", SourceConfig{})}
	fresh := func(now float64) Snapshot {
		return Snapshot{Step: 2, ReadStartMillis: now - 20, Rules: v1, DiscoveryIndex: -1}
	}
	first := f.CurrentUpstream()
	still := func(u int, now float64) bool { return u != first || now < 3000 || now > 20000 }
	simulate(t, f, 1000, 3000, above, still, fresh)
	if f.CurrentUpstream() != first || f.Counts().UpstreamSwitches != 0 {
		t.Fatalf("%+v", f.Counts())
	}
	left := 0.0
	for now := 3000.0; now < 20000; now += 5 {
		simulate(t, f, now, now+5, above, still, fresh)
		if left == 0 && f.CurrentUpstream() != first {
			left = now
		}
		if _, ok := f.Snapshot(); !ok {
			t.Fatalf("at %.0f the lease is over", now)
		}
	}
	if left == 0 || left > 3000+100+200+5 {
		t.Errorf("left at %.0f", left)
	}
	simulate(t, f, 20000, 65000, above, still, fresh)
	if f.CurrentUpstream() != first {
		t.Errorf("not back: %+v", f.Counts())
	}
	n := simulate(t, f, 65000, 75000, above, still, fresh)
	if n[first] < 99 || n[first] > 101 || n[1-first] != 0 {
		t.Errorf("%v questions in ten leases", n)
	}
}

// One that answers, and whose words are old as it is cut off from above, is left by its age.
func TestPartitionedUpstreamIsLeft(t *testing.T) {
	f, v1 := leasedFollower(t)
	above := []*Source{NewSource("a", "c", SourceConfig{}), NewSource("b", "c", SourceConfig{})}
	first := f.CurrentUpstream()
	all := func(int, float64) bool { return true }
	for now := 1000.0; now < 9000; now += 5 {
		for u, s := range above {
			begun := now - 20
			if u == first && now > 3000 {
				begun = 3000
			}
			s.Publish(Snapshot{Step: 2, ReadStartMillis: begun, Rules: v1, DiscoveryIndex: -1})
		}
		simulate(t, f, now, now+5, above, all, func(float64) Snapshot { return Snapshot{} })
		if v, ok := f.Snapshot(); !ok || v.AgeMillis(now) > 600 {
			t.Fatalf("at %.0f: %v, %.0f old", now, ok, v.AgeMillis(now))
		}
	}
	if f.CurrentUpstream() == first {
		t.Errorf("not left: %+v", f.Counts())
	}
}

// Where nobody answers, or all refuse at once, questions come at the rate at which they always do.
func TestConstantRequestRate(t *testing.T) {
	for _, fast := range []bool{false, true} {
		f := NewFollower(FollowerConfig{Name: "f", Cluster: "c", Upstreams: 3, Seed: 2}, 0)
		n := 0
		for now := 0.0; now < 10000; now += 5 {
			f.AdvanceClock(now)
			for {
				d, ok := f.NextAction()
				if !ok {
					break
				}
				if d.Kind == SendRequest {
					if n++; fast {
						f.RequestFailed(d.Upstream, now)
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
func TestHostStepsAreForwarded(t *testing.T) {
	f, v1 := leasedFollower(t)
	above := []*Source{NewSource("a", "c", SourceConfig{Incarnation: 5}),
		NewSource("b", "c", SourceConfig{Incarnation: 6})}
	view := func(now float64) Snapshot {
		return Snapshot{Step: 2, ReadStartMillis: now - 20, Rules: v1, DiscoveryIndex: -1}
	}
	first, dead := f.CurrentUpstream(), -1
	alive := func(u int, now float64) bool { return u != dead }
	var all []HostStep
	for i := range MaxHostSteps + 10 {
		all = append(all, HostStep{Host: fmt.Sprintf("h%05d", i), Step: uint64(1 + i%3)})
	}
	f.ReportHostSteps(all)
	f.ReportHostSteps([]HostStep{{Host: "h00002", Step: 1}}) // older: no news
	simulate(t, f, 1000, 1500, above, alive, view)
	if got := above[first].HostSteps(); len(got) != len(all) || got[2].Step != 3 {
		t.Fatalf("%d facts", len(got))
	}
	if n := len(above[first].TakeHostSteps()); n != len(all) || len(above[first].TakeHostSteps()) != 0 {
		t.Errorf("%d told", n)
	}
	if a := requestsAt(f, 1700); len(a) != 1 || len(a[0].HostSteps) != 0 {
		t.Errorf("told again: %+v", a)
	}
	dead = first
	simulate(t, f, 1800, 3000, above, alive, view)
	if n := len(above[1-first].HostSteps()); n != len(all) {
		t.Errorf("%d at the other one", n)
	}
	above[1-first] = NewSource("b", "c", SourceConfig{Incarnation: 7}) // it begins anew
	simulate(t, f, 3000, 4000, above, alive, view)
	if n := len(above[1-first].HostSteps()); n != len(all) {
		t.Errorf("%d at one that has begun anew", n)
	}
}

// Facts are bounded: those of the lowest steps go first.
func TestHostStepsAreBounded(t *testing.T) {
	f := NewFollower(FollowerConfig{Name: "f", Cluster: "c", Upstreams: 1}, 0)
	for i := range maxHosts + 1 {
		f.ReportHostSteps([]HostStep{{Host: fmt.Sprint("h", i), Step: uint64(10 + i)}})
	}
	if len(f.hostSteps) != maxHosts || f.hostSteps["h0"] != 0 || f.hostSteps["h1"] != 11 ||
		f.Counts().DroppedHosts != 1 {
		t.Errorf("%d facts, %+v", len(f.hostSteps), f.Counts())
	}
	s := NewSource("s", "c", SourceConfig{TrackedHosts: 2})
	for i := range 4 {
		if _, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f", DiscoveryIndex: -1,
			HostSteps: []HostStep{{Host: fmt.Sprint("h", i), Step: 1}}}, 0); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.Counts(); len(s.HostSteps()) != 2 || n.DroppedHosts != 2 {
		t.Errorf("%v %+v", s.HostSteps(), n)
	}
}

// Wholes are bounded by bytes; renewals and deltas are not, and one that is told to wait asks quietly and
// then again, so that all are served in the end.
func TestFullStateRateLimit(t *testing.T) {
	v1 := testState(t, 1, testRules(100, 96))
	size := float64(v1.Bytes())
	s := NewSource("s", "c", SourceConfig{FullStateBurstBytes: 4 * size, FullStateBytesPerSecond: 10 * size})
	var all []*Follower
	for i := range 50 {
		all = append(all, NewFollower(FollowerConfig{Name: fmt.Sprint("f", i), Cluster: "c", Upstreams: 1,
			Interest: ruleset.Interest{All: true}, Seed: int64(i)}, 1000))
	}
	up, wholes := 0, int64(0)
	for now := 1000.0; now < 12000; now += 10 {
		s.Publish(Snapshot{Step: 2, ReadStartMillis: now, Rules: v1, DiscoveryIndex: -1})
		up = 0
		for _, f := range all {
			exchange(t, f, now, s)
			if _, ok := f.Snapshot(); ok {
				up++
			}
		}
		if n := s.Counts(); float64(n.FullStates) > 6+(now-1000)/100 {
			t.Fatalf("%d wholes by %.0f", n.FullStates, now)
		}
		if up == len(all) && wholes == 0 {
			wholes = s.Counts().FullStates
			t.Logf("all up after %.0f ms, %d told to wait", now-1000, s.Counts().Deferred)
		}
	}
	n := s.Counts()
	if up != len(all) || wholes != 50 || n.FullStates != 50 || n.Deferred == 0 || n.Deferred > 1000 {
		t.Errorf("%d up, %+v", up, n)
	}
}

// A delta is made from a version that is kept, for any interest; one further back gets the whole.
func TestSourceRetainsVersions(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{RetainedVersions: 3})
	in := ruleset.Interest{Host: "h1"}
	var marks []versioned.Mark
	for i := range 5 {
		v := testState(t, uint64(i+1), testRules(20, 96-float64(i)))
		s.Publish(Snapshot{Step: uint64(i + 1), ReadStartMillis: 0, Rules: v, DiscoveryIndex: -1})
		marks = append(marks, ruleset.Select(v, in).Mark())
	}
	for i, m := range marks {
		r, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f", Interest: in,
			Rules: m, DiscoveryIndex: -1}, 10)
		if err != nil || r.Rules != marks[4] {
			t.Fatalf("%v %+v", err, r)
		}
		switch {
		case i == 4 && r.RulesDelta == nil:
		case i < 4 && i >= 2 && r.RulesDelta.From == m && len(r.RulesDelta.Set) == 1:
		case i < 2 && r.RulesDelta.From.None() && len(r.RulesDelta.Set) == 4: // header, plan, two members
		default:
			t.Errorf("from version %d: %+v", i+1, r.RulesDelta)
		}
	}
	spoilt := marks[3]
	spoilt.Digest[0]++
	r, _ := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f", Interest: in,
		Rules: spoilt, DiscoveryIndex: -1}, 10)
	if r.RulesDelta == nil || !r.RulesDelta.From.None() {
		t.Errorf("a mark that never was: %+v", r.RulesDelta)
	}
	if s.Publish(Snapshot{Step: 2, Rules: testState(t, 9, testRules(2, 1))}); s.snapshot.Step != 5 {
		t.Error("a lower step was taken")
	}
}

// The least that a source keeps is the version in force and one that waits.
func TestSourceRetainsPendingVersion(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{RetainedVersions: 1, CachedSelections: 1})
	v1, v2 := testState(t, 1, testRules(6, 96)), testState(t, 2, testRules(6, 24))
	s.Publish(Snapshot{Step: 3, ReadStartMillis: 0, Rules: v1, Pending: v2, DiscoveryIndex: -1})
	for _, in := range []ruleset.Interest{{All: true}, {Host: "h0"}, {Host: "h1"}} {
		r, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f", Interest: in,
			DiscoveryIndex: -1}, 10)
		if err != nil || r.PendingDelta == nil || r.Pending.Number != 2 {
			t.Errorf("%+v: %v %+v", in, err, r)
		}
	}
}

func TestSourceRejects(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{})
	for name, a := range map[string]*Request{
		"form: 2":   {FormatVersion: 2, Cluster: "c", Sender: "f"},
		"cluster: ": {FormatVersion: FormatVersion, Cluster: "d", Sender: "f"},
		"from: ":    {FormatVersion: FormatVersion, Cluster: "c"},
		"seen: 2001": {FormatVersion: FormatVersion, Cluster: "c", Sender: "f",
			HostSteps: make([]HostStep, MaxHostSteps+1)},
		"interest: ": {FormatVersion: FormatVersion, Cluster: "c", Sender: "f",
			Interest: ruleset.Interest{Around: -1}},
	} {
		if _, err := s.Respond(a, 0); err == nil || !strings.HasPrefix(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n := s.Counts(); n.Rejected != 5 {
		t.Errorf("%+v", n)
	}
	r, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f", DiscoveryIndex: -1}, 0)
	if err != nil || r.Step != 0 || r.DiscoveryIndex != -1 {
		t.Errorf("%v %+v", err, r)
	}
}

// The highest index of discovery's list goes up, and down once those that told it are silent.
func TestDiscoveryIndexAggregation(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{})
	s.Publish(Snapshot{Step: 1, Rules: testState(t, 1, testRules(2, 96)), DiscoveryIndex: 3})
	tell := func(who string, index int64, now float64) int64 {
		r, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: who,
			DiscoveryIndex: index}, now)
		if err != nil {
			t.Fatal(err)
		}
		return r.DiscoveryIndex
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
