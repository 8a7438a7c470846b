package distribution

import (
	"fmt"
	"strings"
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// testRules gives a ruleset of so many members, two on a host, with one plan.
func testRules(members int, limit float64) ruleset.Rules {
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		Fallback:            ruleset.Fallback{Fraction: 0.5, DurationMillis: 500},
		Plans: []ruleset.Plan{
			{Name: "p", Rate: limit, Burst: 1, CeilingRate: limit, CeilingDepth: limit}}}
	for i := range members {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("g%d", i), Host: fmt.Sprintf("h%d", i/2),
			Peers: fmt.Sprintf("127.0.%d.%d:9000", i/250, i%250)})
	}
	return r
}

func testState(tb testing.TB, number uint64, rules ruleset.Rules) *versioned.State {
	tb.Helper()
	state, err := ruleset.VersionToState(&ruleset.Version{Number: number, Rules: rules})
	if err != nil {
		tb.Fatal(err)
	}
	return state
}

// exchange carries out what a follower decides at a time: its requests go to sources, encoded and decoded. It
// gives the actions other than ScheduleWake.
func exchange(tb testing.TB, f *Follower, now float64, upstreams ...*Source) (actions []Action) {
	tb.Helper()
	f.AdvanceClock(now)
	for {
		action, ok := f.NextAction()
		if !ok {
			return actions
		}
		if action.Kind == ScheduleWake {
			continue
		}
		actions = append(actions, action)
		if action.Kind == SendRequest {
			raw, err := action.Request.Encode()
			if err != nil {
				tb.Fatal(err)
			}
			request, err := DecodeRequest(raw)
			if err != nil {
				tb.Fatal(err)
			}
			response, err := upstreams[action.Upstream].Respond(request, now)
			if err != nil {
				tb.Fatal(err)
			}
			if raw, err = response.Encode(); err != nil {
				tb.Fatal(err)
			}
			if response, err = DecodeResponse(raw); err != nil {
				tb.Fatal(err)
			}
			f.HandleResponse(action.Upstream, now, response)
		}
	}
}

// TestChain: a version is sent once, in full and then as a delta; a renewal carries none; a chain of relays
// adds up the ages.
func TestChain(t *testing.T) {
	root := NewSource("root", "c", SourceConfig{})
	midSource, lowSource := NewSource("mid", "c", SourceConfig{}), NewSource("low", "c", SourceConfig{})
	midFollower := NewFollower(FollowerConfig{Name: "mid", Cluster: "c", Upstreams: 1,
		Interest: ruleset.Interest{All: true}}, 0)
	lowFollower := NewFollower(FollowerConfig{Name: "low", Cluster: "c", Upstreams: 1,
		Interest: ruleset.Interest{Host: "h3", Around: 1}}, 0)
	v1, v2 := testState(t, 1, testRules(20, 96)), testState(t, 2, testRules(20, 48))
	root.Publish(Snapshot{Step: 2, ReadStartMillis: 500, Rules: v1, DiscoveryIndex: 7})
	now := 500.0
	runSteps := func(n int) {
		for range n {
			now += 50
			exchange(t, midFollower, now, root)
			if v, ok := midFollower.Snapshot(); ok {
				midSource.Publish(v)
			}
			exchange(t, lowFollower, now, midSource)
			if v, ok := lowFollower.Snapshot(); ok {
				lowSource.Publish(v)
			}
		}
	}
	runSteps(6)
	v, ok := lowFollower.Snapshot()
	if !ok || v.Step != 2 || v.ReadStartMillis != 500 || v.Depth != 2 || v.DiscoveryIndex != 7 {
		t.Fatalf("%+v %v", v, ok)
	}
	got, err := ruleset.VersionFromState(v.Rules)
	if err != nil || len(got.Rules.Members) != 20 || ruleset.MemberIndex(&got.Rules, "g5") != 5 ||
		ruleset.MemberIndex(&got.Rules, "g8") != 8 || ruleset.MemberIndex(&got.Rules, "g9") != -1 {
		t.Fatalf("%v %+v", err, got.Rules.Members)
	}
	root.Publish(Snapshot{Step: 3, ReadStartMillis: now, Rules: v1, Pending: v2, DiscoveryIndex: 7})
	runSteps(6)
	if v, _ = lowFollower.Snapshot(); v.Step != 3 || v.Pending.ID().Number != 2 {
		t.Fatalf("%+v", v)
	}
	root.Publish(Snapshot{Step: 4, ReadStartMillis: now, Rules: v2, DiscoveryIndex: 7})
	runSteps(6)
	if v, _ = lowFollower.Snapshot(); v.Step != 4 || v.Pending != nil || v.Rules.ID().Number != 2 {
		t.Fatalf("%+v", v)
	}
	if n := lowFollower.Counts(); n.FullStates != 1 || n.Deltas != 1 ||
		n.Invalid+n.BaseMismatches+n.DigestMismatches+n.MissingDeltas != 0 {
		t.Errorf("%+v", n)
	}
	if n := midSource.Counts(); n.FullStates != 1 || n.Renewals < 3 {
		t.Errorf("%+v", n)
	}
	lowFollower.ReportHostAcks([]HostAck{{Host: "h3", Step: 4}})
	runSteps(6)
	if all := midSource.TakeHostAcks(); len(all) != 1 || all[0].Host != "h3" || all[0].Step != 4 {
		t.Errorf("%+v", all)
	}
	if now += 5000; len(exchange(t, lowFollower, now, midSource)) == 0 {
		t.Error("no request after the lease")
	}
	if _, ok := lowFollower.Snapshot(); ok {
		t.Error("an expired snapshot is given")
	}
}

// leasedFollower gives a follower with two upstreams that has version 1 of step 2, read at 950 of 1,000 ms.
func leasedFollower(t *testing.T) (*Follower, *versioned.State) {
	t.Helper()
	f := NewFollower(
		FollowerConfig{Name: "f", Cluster: "c", Upstreams: 2, Interest: ruleset.Interest{All: true}, Seed: 1},
		500,
	)
	v1 := testState(t, 1, testRules(6, 96))
	f.AdvanceClock(1000)
	f.HandleResponse(f.CurrentUpstream(), 1000, &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 2,
		AgeMillis: 50, Rules: v1.ID(), Incarnation: 1,
		RulesDelta: versioned.FullDelta(v1), DiscoveryIndex: -1})
	if v, ok := f.Snapshot(); !ok || v.ReadStartMillis != 950 || v.Rules.ID() != v1.ID() {
		t.Fatalf("%+v %v %+v", v, ok, f.Counts())
	}
	return f, v1
}

// TestRejectedResponses: a rejected response is counted by its reason, and changes nothing.
func TestRejectedResponses(t *testing.T) {
	v2, other := testState(t, 2, testRules(6, 48)), testState(t, 1, testRules(6, 12))
	_, v1 := leasedFollower(t)
	r := testRules(6, 48)
	r.LeaseMillis = 100
	shortLease := testState(t, 2, r)
	corrupt := versioned.Diff(v1, v2)
	corrupt.Set = corrupt.Set[1:]
	for _, test := range []struct {
		name          string
		change        func(response *Response)
		count         func(counts FollowerCounts) int64
		wantFullState bool // the next request asks for a full state
	}{
		{"another format version", func(response *Response) { response.FormatVersion = 2 },
			func(counts FollowerCounts) int64 { return counts.Incompatible }, false},
		{"another cluster", func(response *Response) { response.Cluster = "d" },
			func(counts FollowerCounts) int64 { return counts.Incompatible }, false},
		{"a negative age", func(response *Response) { response.AgeMillis = -1 },
			func(counts FollowerCounts) int64 { return counts.Invalid }, false},
		{"no step", func(response *Response) { response.Step = 0 },
			func(counts FollowerCounts) int64 { return counts.Empty }, false},
		{"a lower step", func(response *Response) { response.Step = 1 },
			func(counts FollowerCounts) int64 { return counts.Stale }, false},
		{"an older read of the same step", func(response *Response) {
			response.Step, response.AgeMillis,
				response.Rules = 2, 160, v1.ID()
		},
			func(counts FollowerCounts) int64 { return counts.Stale }, false},
		{"an expired lease", func(response *Response) {
			response.AgeMillis, response.Rules, response.RulesDelta = 120, shortLease.ID(),
				versioned.FullDelta(shortLease)
		}, func(counts FollowerCounts) int64 { return counts.Expired }, false},
		{"a cycle of relays", func(response *Response) { response.Depth = maxDepth },
			func(counts FollowerCounts) int64 { return counts.Invalid }, false},
		{"read before the start", func(response *Response) { response.AgeMillis = 601 },
			func(counts FollowerCounts) int64 { return counts.BeforeStart }, false},
		{"other rules at the same step", func(response *Response) {
			response.Step, response.Rules = 2,
				other.ID()
		},
			func(counts FollowerCounts) int64 { return counts.Invalid }, false},
		{"another pending version at the same step", func(response *Response) {
			response.Step, response.Rules, response.Pending = 2, v1.ID(), v2.ID()
		}, func(counts FollowerCounts) int64 { return counts.Invalid }, false},
		{"a lower version", func(response *Response) { response.Rules.Number = 0 },
			func(counts FollowerCounts) int64 { return counts.Invalid }, false},
		{"no version", func(response *Response) { response.Rules = versioned.VersionID{} },
			func(counts FollowerCounts) int64 { return counts.Invalid },
			false},
		{"a pending version that is not the next one", func(response *Response) { response.Pending = v2.ID() },
			func(counts FollowerCounts) int64 { return counts.Invalid }, false},
		{"a version without a delta", func(response *Response) { response.RulesDelta = nil },
			func(counts FollowerCounts) int64 { return counts.MissingDeltas }, false},
		{"a delta of another mark", func(response *Response) { response.Rules.Digest[0]++ },
			func(counts FollowerCounts) int64 { return counts.Invalid }, true},
		{"a delta against another state", func(response *Response) {
			response.RulesDelta = versioned.Diff(other,
				v2)
		},
			func(counts FollowerCounts) int64 { return counts.BaseMismatches }, true},
		{"a corrupt delta", func(response *Response) { response.RulesDelta = corrupt },
			func(counts FollowerCounts) int64 { return counts.DigestMismatches }, true},
		{"a corrupt pending delta", func(response *Response) {
			v3 := testState(t, 3, testRules(6, 24))
			response.Pending, response.PendingDelta = v3.ID(), versioned.Diff(v2, v3)
			response.PendingDelta.Set = nil
		}, func(counts FollowerCounts) int64 { return counts.DigestMismatches }, true},
		{"deferred", func(response *Response) { response.RulesDelta, response.RetryAfterMillis = nil, 3000 },
			func(counts FollowerCounts) int64 { return counts.Deferred }, false},
	} {
		f, v1 := leasedFollower(t)
		response := &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 3, AgeMillis: 10, Incarnation: 1,
			Rules:      v2.ID(),
			RulesDelta: versioned.Diff(v1, v2), DiscoveryIndex: -1}
		before, _ := f.Snapshot()
		test.change(response)
		f.AdvanceClock(1100)
		f.HandleResponse(f.CurrentUpstream(), 1100, response)
		if after, ok := f.Snapshot(); !ok || after != before {
			t.Errorf("%s: %+v", test.name, after)
		}
		if counts := f.Counts(); test.count(counts) != 1 {
			t.Errorf("%s: %+v", test.name, counts)
		}
		requests := requestsAt(f, 1200)
		if len(requests) == 0 || requests[0].Rules.IsNone() != test.wantFullState {
			t.Errorf("%s: requests %+v", test.name, requests)
		}
		f.AdvanceClock(1300) // and the same version is accepted once it is correct
		f.HandleResponse(f.CurrentUpstream(), 1300, &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 3,
			AgeMillis: 10, Incarnation: 1, Rules: v2.ID(),
			RulesDelta: versioned.FullDelta(v2), DiscoveryIndex: -1})
		if v, ok := f.Snapshot(); !ok || v.Step != 3 {
			t.Errorf("%s: then %+v", test.name, v)
		}
	}
}

// TestResponseToAnotherRequest: a response to an earlier request is rejected, as it would count as younger
// than it is.
func TestResponseToAnotherRequest(t *testing.T) {
	f, v1 := leasedFollower(t)
	s := NewSource("s", "c", SourceConfig{})
	s.Publish(Snapshot{Step: 3, ReadStartMillis: 990, Rules: v1, DiscoveryIndex: -1})
	first := requestsAt(f, 1200)[0]
	response, err := s.Respond(first, 1200)
	if err != nil || response.Nonce == 0 || response.Nonce != first.Nonce {
		t.Fatalf("%v %+v", err, response)
	}
	f.HandleResponse(f.CurrentUpstream(), 1200, response)
	if v, _ := f.Snapshot(); v.Step != 3 || v.ReadStartMillis != 990 {
		t.Fatalf("%+v", v)
	}
	second := requestsAt(f, 1300)[0]
	f.HandleResponse(f.CurrentUpstream(), 1300, response) // the first one, duplicated
	if v, _ := f.Snapshot(); v.ReadStartMillis != 990 || f.Counts().Invalid != 1 || first.Nonce == second.Nonce {
		t.Errorf("%+v %+v", v, f.Counts())
	}
}

// requestsAt gives the requests that a follower makes at a time.
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

// TestLeaseGrowsWithRules: rules with a longer lease are accepted by that lease, where the former one would
// have expired on the way.
func TestLeaseGrowsWithRules(t *testing.T) {
	f := NewFollower(FollowerConfig{Name: "f", Cluster: "c", Upstreams: 1, Interest: ruleset.Interest{All: true},
		LeaseMillis: 100}, 0)
	v := testState(t, 1, testRules(6, 96))
	f.AdvanceClock(1000)
	f.HandleResponse(0, 1000, &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 2, AgeMillis: 300,
		Rules: v.ID(), Incarnation: 1,
		RulesDelta: versioned.FullDelta(v), DiscoveryIndex: -1})
	if got, ok := f.Snapshot(); !ok || got.ReadStartMillis != 700 || f.lease != 1000 || f.interval != 100 {
		t.Errorf("%+v %v, lease %v", got, ok, f.lease)
	}
}

// TestCorruptUpstreamIsLeft: an upstream with corrupt deltas is left at once, at an unchanged request rate.
func TestCorruptUpstreamIsLeft(t *testing.T) {
	f, v1 := leasedFollower(t)
	v2 := testState(t, 2, testRules(6, 48))
	first := f.CurrentUpstream()
	good := &Response{FormatVersion: FormatVersion, Cluster: "c", Step: 3, AgeMillis: 10, Incarnation: 1,
		Rules:      v2.ID(),
		RulesDelta: versioned.Diff(v1, v2), DiscoveryIndex: -1}
	for allCorrupt, wantUpdate := range map[bool]bool{false: true, true: false} {
		f, _ = leasedFollower(t)
		requests := 0
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
				response := *good
				if requests++; allCorrupt || d.Upstream == first {
					response.RulesDelta = &versioned.Delta{From: d.Request.Rules, To: v2.ID(), Delete: []string{"rules"}}
				}
				f.HandleResponse(d.Upstream, now, &response)
			}
		}
		v, _ := f.Snapshot()
		if (v.Step == 3) != wantUpdate || requests > 2*10+2 {
			t.Errorf("all corrupt %v: step %d, %d requests in a lease, %+v", allCorrupt, v.Step, requests, f.Counts())
		}
	}
}

// TestLateAndDuplicateResponses: a delta that comes after a later version, and one that comes twice.
func TestLateAndDuplicateResponses(t *testing.T) {
	f, v1 := leasedFollower(t)
	v2, v3 := testState(t, 2, testRules(6, 48)), testState(t, 3, testRules(6, 24))
	respond := func(step uint64, v *versioned.State, d *versioned.Delta) {
		f.HandleResponse(f.CurrentUpstream(), 1100, &Response{FormatVersion: FormatVersion, Cluster: "c",
			Step: step, AgeMillis: 10, Incarnation: 1, Rules: v.ID(),
			RulesDelta: d, DiscoveryIndex: -1})
	}
	f.AdvanceClock(1100)
	respond(3, v2, versioned.Diff(v1, v2))
	respond(3, v2, versioned.Diff(v1, v2)) // duplicate: a renewal
	respond(4, v3, versioned.Diff(v1, v3)) // against an earlier base that is still kept
	respond(3, v2, versioned.Diff(v1, v2)) // late
	if v, _ := f.Snapshot(); v.Step != 4 || v.Rules.ID() != v3.ID() {
		t.Errorf("%+v", v)
	}
	if n := f.Counts(); n.Updates != 3 || n.Renewals != 1 || n.Stale != 1 ||
		n.BaseMismatches+n.DigestMismatches+n.Invalid != 0 {
		t.Errorf("%+v", n)
	}
}

// TestPendingVersionIsNotResent: a pending version that comes in force is not sent again.
func TestPendingVersionIsNotResent(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{})
	f, v1 := leasedFollower(t)
	v2 := testState(t, 2, testRules(6, 24))
	s.Publish(Snapshot{Step: 3, ReadStartMillis: 1000, Rules: v1, Pending: v2, DiscoveryIndex: -1})
	exchange(t, f, 1200, s, s)
	s.Publish(Snapshot{Step: 4, ReadStartMillis: 1200, Rules: v2, DiscoveryIndex: -1})
	exchange(t, f, 1400, s, s)
	if v, _ := f.Snapshot(); v.Step != 4 || v.Rules.ID() != v2.ID() || v.Pending != nil {
		t.Errorf("%+v", v)
	}
	if n := s.Counts(); n.FullStates+n.Deltas != 0 {
		t.Errorf("the version was sent again: %+v", n)
	}
}

// simulate runs a follower for a time with upstreams that respond or not, and gives the requests to each.
func simulate(t *testing.T, f *Follower, from, end float64, upstreams []*Source,
	alive func(upstream int, now float64) bool, snapshotAt func(now float64) Snapshot) []int {
	t.Helper()
	requests := make([]int, len(upstreams))
	for now := from; now < end; now += 5 {
		f.AdvanceClock(now)
		for {
			action, ok := f.NextAction()
			if !ok {
				break
			}
			if action.Kind != SendRequest {
				continue
			}
			requests[action.Upstream]++
			if !alive(action.Upstream, now) {
				continue
			}
			upstreams[action.Upstream].Publish(snapshotAt(now))
			response, err := upstreams[action.Upstream].Respond(action.Request, now)
			if err != nil {
				t.Fatal(err)
			}
			f.HandleResponse(action.Upstream, now, response)
		}
	}
	return requests
}

// TestStalledUpstreamIsLeft: a silent upstream is left within a fifth of a lease, the lease never expires,
// and the request rate stays the same. The follower returns to the preferred upstream once that responds.
func TestStalledUpstreamIsLeft(t *testing.T) {
	f, v1 := leasedFollower(t)
	upstreams := []*Source{NewSource("a", "c", SourceConfig{}), NewSource("b", "c", SourceConfig{})}
	fresh := func(now float64) Snapshot {
		return Snapshot{Step: 2, ReadStartMillis: now - 20, Rules: v1, DiscoveryIndex: -1}
	}
	first := f.CurrentUpstream()
	alive := func(u int, now float64) bool { return u != first || now < 3000 || now > 20000 }
	simulate(t, f, 1000, 3000, upstreams, alive, fresh)
	if f.CurrentUpstream() != first || f.Counts().UpstreamSwitches != 0 {
		t.Fatalf("%+v", f.Counts())
	}
	leftAt := 0.0
	for now := 3000.0; now < 20000; now += 5 {
		simulate(t, f, now, now+5, upstreams, alive, fresh)
		if leftAt == 0 && f.CurrentUpstream() != first {
			leftAt = now
		}
		if _, ok := f.Snapshot(); !ok {
			t.Fatalf("at %.0f the lease has expired", now)
		}
	}
	if leftAt == 0 || leftAt > 3000+100+200+5 {
		t.Errorf("switched at %.0f", leftAt)
	}
	simulate(t, f, 20000, 65000, upstreams, alive, fresh)
	if f.CurrentUpstream() != first {
		t.Errorf("no return to the preferred upstream: %+v", f.Counts())
	}
	n := simulate(t, f, 65000, 75000, upstreams, alive, fresh)
	if n[first] < 99 || n[first] > 101 || n[1-first] != 0 {
		t.Errorf("%v requests in ten leases", n)
	}
}

// TestPartitionedUpstreamIsLeft: an upstream that responds, and is partitioned from those above it, is left
// by the age of its responses.
func TestPartitionedUpstreamIsLeft(t *testing.T) {
	f, v1 := leasedFollower(t)
	upstreams := []*Source{NewSource("a", "c", SourceConfig{}), NewSource("b", "c", SourceConfig{})}
	first := f.CurrentUpstream()
	alive := func(int, float64) bool { return true }
	for now := 1000.0; now < 9000; now += 5 {
		for u, s := range upstreams {
			readStart := now - 20
			if u == first && now > 3000 {
				readStart = 3000
			}
			s.Publish(Snapshot{Step: 2, ReadStartMillis: readStart, Rules: v1, DiscoveryIndex: -1})
		}
		simulate(t, f, now, now+5, upstreams, alive, func(float64) Snapshot { return Snapshot{} })
		if v, ok := f.Snapshot(); !ok || v.AgeMillis(now) > 600 {
			t.Fatalf("at %.0f: %v, %.0f old", now, ok, v.AgeMillis(now))
		}
	}
	if f.CurrentUpstream() == first {
		t.Errorf("no switch: %+v", f.Counts())
	}
}

// TestConstantRequestRate: where no upstream responds, or all fail at once, the request rate stays the same.
func TestConstantRequestRate(t *testing.T) {
	for _, failAtOnce := range []bool{false, true} {
		f := NewFollower(FollowerConfig{Name: "f", Cluster: "c", Upstreams: 3, Seed: 2}, 0)
		requests := 0
		for now := 0.0; now < 10000; now += 5 {
			f.AdvanceClock(now)
			for {
				d, ok := f.NextAction()
				if !ok {
					break
				}
				if d.Kind == SendRequest {
					if requests++; failAtOnce {
						f.RequestFailed(d.Upstream, now)
					}
				}
			}
		}
		if requests < 40 || requests > 3*100+3 {
			t.Errorf("failing at once %v: %d requests in ten leases", failAtOnce, requests)
		}
	}
}

// TestHostAcksAreForwarded: facts are sent until an upstream has responded to a request with them. All are
// sent again to another upstream, and to one of another incarnation.
func TestHostAcksAreForwarded(t *testing.T) {
	f, v1 := leasedFollower(t)
	upstreams := []*Source{NewSource("a", "c", SourceConfig{Incarnation: 5}),
		NewSource("b", "c", SourceConfig{Incarnation: 6})}
	snapshotAt := func(now float64) Snapshot {
		return Snapshot{Step: 2, ReadStartMillis: now - 20, Rules: v1, DiscoveryIndex: -1}
	}
	first, dead := f.CurrentUpstream(), -1
	alive := func(u int, now float64) bool { return u != dead }
	var facts []HostAck
	for i := range MaxHostAcks + 10 {
		facts = append(facts, HostAck{Host: fmt.Sprintf("h%05d", i), Step: uint64(1 + i%3)})
	}
	f.ReportHostAcks(facts)
	f.ReportHostAcks([]HostAck{{Host: "h00002", Step: 1}}) // older than what is known
	simulate(t, f, 1000, 1500, upstreams, alive, snapshotAt)
	if got := upstreams[first].HostAcks(); len(got) != len(facts) || got[2].Step != 3 {
		t.Fatalf("%d facts", len(got))
	}
	if n := len(upstreams[first].TakeHostAcks()); n != len(facts) ||
		len(upstreams[first].TakeHostAcks()) != 0 {
		t.Errorf("%d facts taken", n)
	}
	if a := requestsAt(f, 1700); len(a) != 1 || len(a[0].HostAcks) != 0 {
		t.Errorf("sent again: %+v", a)
	}
	dead = first
	simulate(t, f, 1800, 3000, upstreams, alive, snapshotAt)
	if n := len(upstreams[1-first].HostAcks()); n != len(facts) {
		t.Errorf("%d facts at the other upstream", n)
	}
	upstreams[1-first] = NewSource("b", "c", SourceConfig{Incarnation: 7}) // another incarnation
	simulate(t, f, 3000, 4000, upstreams, alive, snapshotAt)
	if n := len(upstreams[1-first].HostAcks()); n != len(facts) {
		t.Errorf("%d facts at the new incarnation", n)
	}
}

// TestHostAcksAreBounded: beyond the bound the facts of the lowest steps are dropped.
func TestHostAcksAreBounded(t *testing.T) {
	f := NewFollower(FollowerConfig{Name: "f", Cluster: "c", Upstreams: 1}, 0)
	for i := range maxHosts + 1 {
		f.ReportHostAcks([]HostAck{{Host: fmt.Sprint("h", i), Step: uint64(10 + i)}})
	}
	if len(f.hostAcks) != maxHosts || f.hostAcks["h0"] != 0 || f.hostAcks["h1"] != 11 ||
		f.Counts().DroppedHosts != 1 {
		t.Errorf("%d facts, %+v", len(f.hostAcks), f.Counts())
	}
	s := NewSource("s", "c", SourceConfig{TrackedHosts: 2})
	for i := range 4 {
		if _, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f", DiscoveryIndex: -1,
			HostAcks: []HostAck{{Host: fmt.Sprint("h", i), Step: 1}}}, 0); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.Counts(); len(s.HostAcks()) != 2 || n.DroppedHosts != 2 {
		t.Errorf("%v %+v", s.HostAcks(), n)
	}
}

// TestFullStateRateLimit: full states are limited in bytes, renewals and deltas are not. A deferred follower
// asks for renewals and then again for a full state, so that all are served in the end.
func TestFullStateRateLimit(t *testing.T) {
	v1 := testState(t, 1, testRules(100, 96))
	size := float64(v1.Bytes())
	s := NewSource("s", "c", SourceConfig{FullStateBurstBytes: 4 * size, FullStateBytesPerSecond: 10 * size})
	var followers []*Follower
	for i := range 50 {
		followers = append(followers, NewFollower(FollowerConfig{Name: fmt.Sprint("f", i), Cluster: "c",
			Upstreams: 1,
			Interest:  ruleset.Interest{All: true}, Seed: int64(i)}, 1000))
	}
	withSnapshot, fullStates := 0, int64(0)
	for now := 1000.0; now < 12000; now += 10 {
		s.Publish(Snapshot{Step: 2, ReadStartMillis: now, Rules: v1, DiscoveryIndex: -1})
		withSnapshot = 0
		for _, f := range followers {
			exchange(t, f, now, s)
			if _, ok := f.Snapshot(); ok {
				withSnapshot++
			}
		}
		if n := s.Counts(); float64(n.FullStates) > 6+(now-1000)/100 {
			t.Fatalf("%d full states by %.0f", n.FullStates, now)
		}
		if withSnapshot == len(followers) && fullStates == 0 {
			fullStates = s.Counts().FullStates
			t.Logf("all have a snapshot after %.0f ms, %d responses were deferred", now-1000, s.Counts().Deferred)
		}
	}
	n := s.Counts()
	if withSnapshot != len(followers) || fullStates != 50 || n.FullStates != 50 || n.Deferred == 0 ||
		n.Deferred > 1000 {
		t.Errorf("%d have a snapshot, %+v", withSnapshot, n)
	}
}

// TestSourceRetainsVersions: a delta is made from a retained version, for any interest; one further back gets
// a full state.
func TestSourceRetainsVersions(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{RetainedVersions: 3})
	in := ruleset.Interest{Host: "h1"}
	var marks []versioned.VersionID
	for i := range 5 {
		v := testState(t, uint64(i+1), testRules(20, 96-float64(i)))
		s.Publish(Snapshot{Step: uint64(i + 1), ReadStartMillis: 0, Rules: v, DiscoveryIndex: -1})
		marks = append(marks, ruleset.Select(v, in).ID())
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
		case i < 2 && r.RulesDelta.From.IsNone() && len(r.RulesDelta.Set) == 4: // header, plan, two members
		default:
			t.Errorf("from version %d: %+v", i+1, r.RulesDelta)
		}
	}
	unknown := marks[3]
	unknown.Digest[0]++
	r, _ := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: "f", Interest: in,
		Rules: unknown, DiscoveryIndex: -1}, 10)
	if r.RulesDelta == nil || !r.RulesDelta.From.IsNone() {
		t.Errorf("an unknown mark: %+v", r.RulesDelta)
	}
	if s.Publish(Snapshot{Step: 2, Rules: testState(t, 9, testRules(2, 1))}); s.snapshot.Step != 5 {
		t.Error("a lower step was accepted")
	}
}

// TestSourceRetainsPendingVersion: a source retains the version in force and a pending one at least.
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
			HostAcks: make([]HostAck, MaxHostAcks+1)},
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

// TestDiscoveryIndexAggregation: the highest index rises at once, and falls once the clients that reported it
// are silent.
func TestDiscoveryIndexAggregation(t *testing.T) {
	s := NewSource("s", "c", SourceConfig{})
	s.Publish(Snapshot{Step: 1, Rules: testState(t, 1, testRules(2, 96)), DiscoveryIndex: 3})
	report := func(client string, index int64, now float64) int64 {
		r, err := s.Respond(&Request{FormatVersion: FormatVersion, Cluster: "c", Sender: client,
			DiscoveryIndex: index}, now)
		if err != nil {
			t.Fatal(err)
		}
		return r.DiscoveryIndex
	}
	for i, c := range []struct {
		client string
		index  int64
		at     float64
		want   int64
	}{{"a", -1, 0, 3}, {"a", 7, 10, 7}, {"b", 5, 20, 7}, {"b", 5, 9000, 7}, {"b", 5, 11500, 5},
		{"b", -1, 25000, 3}} {
		if got := report(c.client, c.index, c.at); got != c.want {
			t.Errorf("%d: %d, not %d", i, got, c.want)
		}
	}
}
