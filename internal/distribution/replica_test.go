package distribution

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

var replicas = flag.Int("replicas", 300, "walks of TestReplicaWalks")

// spoken is what was told at a step: rules, and those pending.
type publication struct {
	rules, pending *ruleset.Version
	settled        bool
}

// stepped are rules drawn anew from some.
func mutateRules(rng *rand.Rand, r ruleset.Rules) ruleset.Rules {
	r.Plans, r.Members = slices.Clone(r.Plans), slices.Clone(r.Members)
	switch rng.Intn(4) {
	case 0:
		r.Plans[rng.Intn(len(r.Plans))].Rate = float64(rng.Intn(1000))
	case 1:
		r.Members[1+rng.Intn(len(r.Members)-1)].Peers = fmt.Sprintf("10.0.0.1:%d", 1+rng.Intn(60000))
	case 2:
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprint("m", len(r.Members)), Host: "h"})
	case 3:
		r.WorkerOverrides = []ruleset.WorkerOverride{{Worker: fmt.Sprint("w", rng.Intn(9)), Barred: true}}
	}
	return r
}

// In walks of a daemon that goes on to other versions, has some wait and withdraws them, and begins anew,
// with answers that are late, doubled, spoilt or lost, a replica gives for each step what was said at that
// step, whole, never goes a step back, and changes nothing by what it refuses; an exchange without harm
// brings the latest.
func TestReplicaWalks(t *testing.T) {
	met := ReplicaCounts{}
	for seed := range int64(*replicas) {
		c := walkReplica(t, seed)
		met.Renewals += c.Renewals
		met.Deltas += c.Deltas
		met.FullStates += c.FullStates
		met.Stale += c.Stale
		met.Deferred += c.Deferred
		met.BaseMismatches += c.BaseMismatches
		met.DigestMismatches += c.DigestMismatches
		met.Invalid += c.Invalid
	}
	if met.Renewals == 0 || met.Deltas == 0 || met.FullStates == 0 || met.Stale == 0 || met.Deferred == 0 ||
		met.BaseMismatches == 0 || met.DigestMismatches == 0 || met.Invalid == 0 {
		t.Errorf("not all was met: %+v", met)
	}
	t.Logf("%+v", met)
}

func walkReplica(t *testing.T, seed int64) ReplicaCounts {
	rng := rand.New(rand.NewSource(seed))
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans: []ruleset.Plan{{Name: "a"}, {Name: "b"}}}
	for i := range 3 + rng.Intn(40) {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprint("m", i), Host: "h"})
	}
	words := []publication{{}, {rules: &ruleset.Version{Number: 1, Rules: r}, settled: true}}
	now := 0.0
	bounds := SourceConfig{RetainedVersions: 2 + rng.Intn(4)}
	if rng.Intn(4) == 0 {
		bounds.FullStateBytesPerSecond, bounds.FullStateBurstBytes = 2000, 1
	}
	source := NewSource("h", "till", bounds)
	offer := func() {
		w := words[len(words)-1]
		v := Snapshot{Step: uint64(len(words) - 1), Settled: w.settled, ReadStartMillis: now, DiscoveryIndex: -1}
		var err error
		if v.Rules, err = ruleset.VersionToState(w.rules); err == nil && w.pending != nil {
			v.Pending, err = ruleset.VersionToState(w.pending)
		}
		if err != nil {
			t.Fatal(err)
		}
		source.Publish(v)
	}
	offer()
	p := NewReplica("m1", 7, seed)
	var kept []*Response
	last := uint64(0)
	hear := func(a *Response) {
		before := *p
		l, news, err := p.HandleResponse(a, now)
		switch {
		case err != nil:
			if p.lease.Step != before.lease.Step || !reflect.DeepEqual(p.lease, before.lease) {
				t.Fatalf("seed %d: refused, and taken: %v", seed, err)
			}
		case l.Step < before.lease.Step:
			if l.Version.Number != 0 || news || p.lease.Step != before.lease.Step {
				t.Fatalf("seed %d: a step back: %+v", seed, l)
			}
		default:
			w := words[l.Step]
			got, want := l.Version, replicaPortion(t, w.rules)
			if !reflect.DeepEqual(&got, want) || l.TransitionComplete != w.settled ||
				(l.Pending == nil) != (w.pending == nil) {
				t.Fatalf("seed %d: step %d is\n%+v, not\n%+v", seed, l.Step, got, want)
			}
			if w.pending != nil && !reflect.DeepEqual(*l.Pending, replicaPortion(t, w.pending).Rules) {
				t.Fatalf("seed %d: pending at step %d is %+v", seed, l.Step, l.Pending)
			}
		}
		if p.lease.Step < last {
			t.Fatalf("seed %d: from step %d to %d", seed, last, p.lease.Step)
		}
		last = p.lease.Step
	}
	for range 60 {
		now += 200
		w := words[len(words)-1]
		switch rng.Intn(6) {
		case 0, 1: // a version comes in force, the one that waits if there is one
			next := ruleset.Version{Number: w.rules.Number + 1}
			if next.Rules = mutateRules(rng, w.rules.Rules); w.pending != nil {
				next = *w.pending
			}
			words = append(words, publication{rules: &next, settled: rng.Intn(2) == 0})
		case 2: // one waits, or is withdrawn
			next := publication{rules: w.rules, settled: w.settled}
			if w.pending == nil {
				next.pending = &ruleset.Version{Number: w.rules.Number + 1, Rules: mutateRules(rng, w.rules.Rules)}
			}
			words = append(words, next)
		case 3:
			if rng.Intn(4) == 0 {
				source = NewSource("h", "till", bounds)
			}
		}
		offer()
		q := p.NewRequest(now, p.lease.Step, -1)
		q.Cluster = "till"
		a, err := source.Respond(q, now+1)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, a)
		other := *a
		switch rng.Intn(10) {
		case 0: // lost
			continue
		case 1: // doubled
			hear(a)
		case 2: // late, and out of turn
			hear(kept[rng.Intn(len(kept))])
		case 3:
			if d := a.RulesDelta; d != nil && len(d.Set) > 0 {
				spoilt := *d
				spoilt.Set = slices.Clone(d.Set)
				i := rng.Intn(len(d.Set))
				spoilt.Set[i].Value = append(slices.Clone(d.Set[i].Value), 1)
				other.RulesDelta = &spoilt
			}
		case 4:
			if d := a.PendingDelta; d != nil {
				spoilt := *d
				spoilt.From.Number++
				other.PendingDelta = &spoilt
			}
		case 5:
			other.FormatVersion = 9
		case 6:
			other.RulesDelta = nil
		case 7:
			other.PendingDelta = nil
		}
		hear(&other)
	}
	for range 60 { // no harm from here on
		now += 1000
		offer()
		q := p.NewRequest(now, 0, -1)
		q.Cluster = "till"
		a, err := source.Respond(q, now)
		if err != nil {
			t.Fatal(err)
		}
		if hear(a); p.lease.Step == uint64(len(words)-1) {
			return p.Counts()
		}
	}
	t.Fatalf("seed %d: it stays at step %d of %d: %+v", seed, p.lease.Step, len(words)-1, p.Counts())
	return ReplicaCounts{}
}

// partOf is a version as a replica has it.
func replicaPortion(t *testing.T, v *ruleset.Version) *ruleset.Version {
	s, err := ruleset.VersionToState(v)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ruleset.VersionFromState(ruleset.Select(s, ruleset.Interest{Name: "m1", Around: RingRadius}))
	if err != nil {
		t.Fatal(err)
	}
	return &got
}

// A version that this program does not know whole is named, and so is a pending one; what was known before is
// a base still.
func TestReplicaIncompatibleVersion(t *testing.T) {
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans:   []ruleset.Plan{{Name: "a"}},
		Members: []ruleset.Member{{Name: "m1", Host: "h"}}}
	later := r
	later.Needs = []string{"moon"}
	source := NewSource("h", "till", SourceConfig{})
	p := NewReplica("m1", 7, 1)
	say := func(step uint64, rules ruleset.Rules, pending *ruleset.Rules) ruleset.Lease {
		t.Helper()
		v := Snapshot{Step: step, ReadStartMillis: float64(step), DiscoveryIndex: -1}
		v.Rules, _ = ruleset.VersionToState(&ruleset.Version{Number: step, Rules: rules})
		if pending != nil {
			v.Pending, _ = ruleset.VersionToState(&ruleset.Version{Number: step + 1, Rules: *pending})
		}
		source.Publish(v)
		q := p.NewRequest(float64(step), 0, -1)
		q.Cluster = "till"
		a, err := source.Respond(q, float64(step))
		if err != nil {
			t.Fatal(err)
		}
		l, _, err := p.HandleResponse(a, float64(step))
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	say(1, r, nil)
	if l := say(2, r, &later); l.PendingUnsupportedFeature == "" || l.UnsupportedFeature != "" ||
		l.Pending == nil {
		t.Errorf("%+v", l)
	}
	if l := say(3, later, nil); l.UnsupportedFeature == "" || l.Version.Number != 3 ||
		len(l.Version.Rules.Plans) > 0 {
		t.Errorf("%+v", l)
	}
	if l := say(4, r, nil); l.UnsupportedFeature != "" || l.Version.Number != 4 ||
		len(l.Version.Rules.Plans) != 1 {
		t.Errorf("%+v", l)
	}
	if c := p.Counts(); c.FullStates != 1 || c.Deltas != 2 || c.Renewals != 1 {
		t.Errorf("%+v", c)
	}
	if _, _, err := p.HandleResponse(&Response{FormatVersion: FormatVersion, Step: 5}, 9); !errors.Is(err,
		versioned.ErrBaseMismatch) {
		t.Errorf("an answer of no rules: %v", err)
	}
}
