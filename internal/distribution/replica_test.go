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

// publication is what was published at a step: the rules and the pending ones.
type publication struct {
	rules, pending *ruleset.Version
	settled        bool
}

// mutateRules changes a ruleset at random.
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

// TestReplicaWalks: in random walks a daemon publishes versions, has some pending, withdraws them and
// restarts, and responses are late, duplicated, corrupt or lost. A replica gives for each step the complete
// ruleset of that step, never goes a step back, and is not changed by what it rejects; once responses are
// correct it reaches the latest step.
func TestReplicaWalks(t *testing.T) {
	total := ReplicaCounts{}
	for seed := range int64(*replicas) {
		counts := runReplicaWalk(t, seed)
		total.Renewals += counts.Renewals
		total.Deltas += counts.Deltas
		total.FullStates += counts.FullStates
		total.Stale += counts.Stale
		total.Deferred += counts.Deferred
		total.BaseMismatches += counts.BaseMismatches
		total.DigestMismatches += counts.DigestMismatches
		total.Invalid += counts.Invalid
	}
	if total.Renewals == 0 || total.Deltas == 0 || total.FullStates == 0 || total.Stale == 0 ||
		total.Deferred == 0 ||
		total.BaseMismatches == 0 || total.DigestMismatches == 0 || total.Invalid == 0 {
		t.Errorf("a kind of response did not occur: %+v", total)
	}
	t.Logf("%+v", total)
}

func runReplicaWalk(t *testing.T, seed int64) ReplicaCounts {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	rules := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans: []ruleset.Plan{{Name: "a"}, {Name: "b"}}}
	for i := range 3 + rng.Intn(40) {
		rules.Members = append(rules.Members, ruleset.Member{Name: fmt.Sprint("m", i), Host: "h"})
	}
	publications := []publication{{}, {rules: &ruleset.Version{Number: 1, Rules: rules}, settled: true}}
	now := 0.0
	bounds := SourceConfig{RetainedVersions: 2 + rng.Intn(4)}
	if rng.Intn(4) == 0 {
		bounds.FullStateBytesPerSecond, bounds.FullStateBurstBytes = 2000, 1
	}
	source := NewSource("h", "till", bounds)
	publish := func() {
		current := publications[len(publications)-1]
		v := Snapshot{Step: uint64(len(publications) - 1), TransitionComplete: current.settled,
			ReadStartMillis: now,
			DiscoveryIndex:  -1}
		var err error
		if v.Rules, err = ruleset.VersionToState(current.rules); err == nil && current.pending != nil {
			v.Pending, err = ruleset.VersionToState(current.pending)
		}
		if err != nil {
			t.Fatal(err)
		}
		source.Publish(v)
	}
	publish()
	replica := NewReplica("m1", 7, seed)
	var responses []*Response
	lastStep := uint64(0)
	handle := func(response *Response) {
		before := *replica
		lease, updated, err := replica.HandleResponse(response, now)
		switch {
		case err != nil:
			if replica.lease.Step != before.lease.Step || !reflect.DeepEqual(replica.lease, before.lease) {
				t.Fatalf("seed %d: rejected, and applied all the same: %v", seed, err)
			}
		case lease.Step < before.lease.Step:
			if lease.Version.Number != 0 || updated || replica.lease.Step != before.lease.Step {
				t.Fatalf("seed %d: a step back: %+v", seed, lease)
			}
		default:
			current := publications[lease.Step]
			got, want := lease.Version, replicaSubset(t, current.rules)
			if !reflect.DeepEqual(&got, want) || lease.TransitionComplete != current.settled ||
				(lease.Pending == nil) != (current.pending == nil) {
				t.Fatalf("seed %d: step %d is\n%+v, not\n%+v", seed, lease.Step, got, want)
			}
			if current.pending != nil && !reflect.DeepEqual(*lease.Pending, replicaSubset(t, current.pending).Rules) {
				t.Fatalf("seed %d: pending at step %d is %+v", seed, lease.Step, lease.Pending)
			}
		}
		if replica.lease.Step < lastStep {
			t.Fatalf("seed %d: from step %d to %d", seed, lastStep, replica.lease.Step)
		}
		lastStep = replica.lease.Step
	}
	for range 60 {
		now += 200
		current := publications[len(publications)-1]
		switch rng.Intn(6) {
		case 0, 1: // a version comes in force: the pending one, if there is one
			next := ruleset.Version{Number: current.rules.Number + 1}
			if next.Rules = mutateRules(rng, current.rules.Rules); current.pending != nil {
				next = *current.pending
			}
			publications = append(publications, publication{rules: &next, settled: rng.Intn(2) == 0})
		case 2: // a version becomes pending, or is withdrawn
			next := publication{rules: current.rules, settled: current.settled}
			if current.pending == nil {
				next.pending = &ruleset.Version{Number: current.rules.Number + 1,
					Rules: mutateRules(rng, current.rules.Rules)}
			}
			publications = append(publications, next)
		case 3:
			if rng.Intn(4) == 0 {
				source = NewSource("h", "till", bounds)
			}
		}
		publish()
		request := replica.NewRequest(now, replica.lease.Step, -1)
		request.Cluster = "till"
		response, err := source.Respond(request, now+1)
		if err != nil {
			t.Fatal(err)
		}
		responses = append(responses, response)
		altered := *response
		switch rng.Intn(10) {
		case 0: // lost
			continue
		case 1: // duplicated
			handle(response)
		case 2: // late and out of order
			handle(responses[rng.Intn(len(responses))])
		case 3:
			if d := response.RulesDelta; d != nil && len(d.Set) > 0 {
				corrupt := *d
				corrupt.Set = slices.Clone(d.Set)
				i := rng.Intn(len(d.Set))
				corrupt.Set[i].Value = append(slices.Clone(d.Set[i].Value), 1)
				altered.RulesDelta = &corrupt
			}
		case 4:
			if d := response.PendingDelta; d != nil {
				corrupt := *d
				corrupt.From.Number++
				altered.PendingDelta = &corrupt
			}
		case 5:
			altered.FormatVersion = 9
		case 6:
			altered.RulesDelta = nil
		case 7:
			altered.PendingDelta = nil
		}
		handle(&altered)
	}
	for range 60 { // without faults from here on
		now += 1000
		publish()
		request := replica.NewRequest(now, 0, -1)
		request.Cluster = "till"
		response, err := source.Respond(request, now)
		if err != nil {
			t.Fatal(err)
		}
		if handle(response); replica.lease.Step == uint64(len(publications)-1) {
			return replica.Counts()
		}
	}
	t.Fatalf("seed %d: the replica stays at step %d of %d: %+v", seed, replica.lease.Step, len(publications)-1,
		replica.Counts())
	return ReplicaCounts{}
}

// replicaPortion gives the part of a version that the replica has.
func replicaSubset(t *testing.T, v *ruleset.Version) *ruleset.Version {
	t.Helper()
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

// TestReplicaIncompatibleVersion: a version that this program does not support is named, and so is a pending
// one; the state that was known before is still a base.
func TestReplicaIncompatibleVersion(t *testing.T) {
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans:   []ruleset.Plan{{Name: "a"}},
		Members: []ruleset.Member{{Name: "m1", Host: "h"}}}
	later := r
	later.Needs = []string{"moon"}
	source := NewSource("h", "till", SourceConfig{})
	replica := NewReplica("m1", 7, 1)
	publish := func(step uint64, rules ruleset.Rules, pending *ruleset.Rules) ruleset.Lease {
		t.Helper()
		v := Snapshot{Step: step, ReadStartMillis: float64(step), DiscoveryIndex: -1}
		v.Rules, _ = ruleset.VersionToState(&ruleset.Version{Number: step, Rules: rules})
		if pending != nil {
			v.Pending, _ = ruleset.VersionToState(&ruleset.Version{Number: step + 1, Rules: *pending})
		}
		source.Publish(v)
		request := replica.NewRequest(float64(step), 0, -1)
		request.Cluster = "till"
		response, err := source.Respond(request, float64(step))
		if err != nil {
			t.Fatal(err)
		}
		lease, _, err := replica.HandleResponse(response, float64(step))
		if err != nil {
			t.Fatal(err)
		}
		return lease
	}
	publish(1, r, nil)
	if lease := publish(2, r, &later); lease.PendingUnsupportedFeature == "" || lease.UnsupportedFeature != "" ||
		lease.Pending == nil {
		t.Errorf("%+v", lease)
	}
	if lease := publish(3, later, nil); lease.UnsupportedFeature == "" || lease.Version.Number != 3 ||
		len(lease.Version.Rules.Plans) > 0 {
		t.Errorf("%+v", lease)
	}
	if lease := publish(4, r, nil); lease.UnsupportedFeature != "" || lease.Version.Number != 4 ||
		len(lease.Version.Rules.Plans) != 1 {
		t.Errorf("%+v", lease)
	}
	if c := replica.Counts(); c.FullStates != 1 || c.Deltas != 2 || c.Renewals != 1 {
		t.Errorf("%+v", c)
	}
	if _, _, err := replica.HandleResponse(&Response{FormatVersion: FormatVersion, Step: 5}, 9); !errors.Is(err,
		versioned.ErrBaseMismatch) {
		t.Errorf("a response without rules: %v", err)
	}
}

// TestDeferralIsBounded defers a replica for a year: it asks for the full state again after
// maxRetryAfterMillis at the latest.
func TestDeferralIsBounded(t *testing.T) {
	const now, year = 5000.0, 365 * 24 * 3600e3
	for seed := range int64(20) {
		replica := NewReplica("g0", 1, seed)
		response := &Response{FormatVersion: FormatVersion, Step: 1, RetryAfterMillis: year}
		if _, _, err := replica.HandleResponse(response, now); !errors.Is(err, ErrDeferred) {
			t.Fatalf("error %v", err)
		}
		if replica.NewRequest(now+maxRetryAfterMillis, 0, -1).RenewalOnly {
			t.Errorf("seed %d: still deferred after %v ms", seed, maxRetryAfterMillis)
		}
	}
}
