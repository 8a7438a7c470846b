package relay

import (
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/faultinject"
)

var (
	long = flag.Duration("long", 0, "run random faults on the tree for so long")
	seed = flag.Int64("seed", 1, "seed of the random faults")
)

// TestTree injects one fault after the other into a tree of real processes, with a change of the rules at
// each.
func TestTree(t *testing.T) {
	x := startTree(t)
	x.propose(0)
	x.waitForGeneration("a change without a fault", x.generation)

	// A ceiling under the fallback is pending until all hosts have reported it, and not until its time-out.
	x.proposeRules(0, generationOf(x.generation+1, x.members, 400, 400))
	if elapsed := x.waitForGeneration("a ceiling under the fallback, without a fault",
		x.generation); elapsed > 2500*time.Millisecond {
		t.Errorf("in force after %v: the reports of hosts do not arrive", elapsed)
	}
	x.propose(0)
	x.waitForGeneration("the ceiling raised, without a fault", x.generation)

	// A region's relay is killed, and restarts with the checkpoint of an earlier version.
	x.require(x.disks["r0"].Keep())
	x.require(x.relays["r0"].Kill())
	x.propose(1)
	x.waitForGeneration("a region's relay killed", x.generation)
	x.require(x.relays["r0"].Restart(nil))
	x.waitForRelay("r0", 1)
	if s := x.mustStatus("r0"); s.Follower.FullStates != 0 || s.Checkpoint.Quarantined != 0 ||
		s.Follower.Deltas == 0 {
		t.Errorf("a relay with an old checkpoint was not updated by a delta: %+v", s.Follower)
	}

	// A zone's relay is stalled, and those below switch to the other; then it goes on.
	x.require(x.relays["a0"].Stall())
	x.propose(2)
	x.waitForGeneration("a zone's relay stalled", x.generation)
	x.require(x.relays["a0"].Resume())
	x.waitForRelay("a0", x.mustStatus("a1").Step)

	// A region's relay gets nothing from above, and goes on responding with growing ages.
	for i := range councilDaemons {
		x.network.Part("r0", fmt.Sprintf("c%d", i), faultinject.Silent)
	}
	x.propose(0)
	x.waitForGeneration("a region's relay partitioned from the raft group", x.generation)
	for i := range councilDaemons {
		x.network.Join("r0", fmt.Sprintf("c%d", i))
	}
	x.waitForRelay("r0", x.mustStatus("r1").Step)

	// The leader is killed, with a change proposed to another voter at once.
	leader := x.leader()
	x.require(x.voters[leader].Kill())
	x.propose((leader + 1) % councilDaemons)
	x.waitForGeneration("the leader killed", x.generation)
	x.require(x.voters[leader].Restart(nil))

	x.damagedCheckpoints()
	x.partitionedZone()
	x.corruptedResponses()
	x.rejectedRules()

	// All of a zone restarts at once.
	for _, h := range x.zones["b"] {
		h.close()
	}
	x.require(x.relays["b0"].Kill())
	x.require(x.relays["b1"].Kill())
	x.propose(0)
	x.require(x.relays["b0"].Restart(nil))
	x.require(x.relays["b1"].Restart(nil))
	x.startHosts("b")
	x.waitForGeneration("all of a zone restarted, with a change", x.generation)

	x.councilOutage()
	x.checkHistory()
}

// damagedCheckpoints restarts a zone's relay with disks that are torn, flipped, old and empty.
func (x *testTree) damagedCheckpoints() {
	const name = "a1"
	wantQuarantined := map[string]int64{faultinject.Torn: 1, faultinject.Flipped: 1}
	// A relay that was late while versions changed never had those between, and makes no delta from them.
	x.waitForStoredVersion(name, "r0", "r1")
	x.require(x.relays[name].Kill())
	x.require(x.disks[name].Keep())
	for _, damage := range []string{faultinject.Torn, faultinject.Flipped, faultinject.Old, faultinject.Empty} {
		x.propose(0)
		x.waitForGeneration("a zone's relay killed, then with a disk that is "+damage, x.generation)
		x.require(x.disks[name].Spoil(faultinject.Damage{What: damage, Bytes: 5, Seed: 3}))
		x.require(x.relays[name].Restart(nil))
		x.waitForRelay(name, x.mustStatus("a0").Step)
		status := x.mustStatus(name)
		if status.Checkpoint.Quarantined != wantQuarantined[damage] {
			x.t.Errorf("a disk that is %s: %d checkpoints moved aside, not %d", damage, status.Checkpoint.Quarantined,
				wantQuarantined[damage])
		}
		if wantFullState := damage != faultinject.Old; (status.Follower.FullStates > 0) != wantFullState ||
			(status.Follower.Deltas > 0) == wantFullState {
			x.t.Errorf("a disk that is %s: %d full states and %d deltas", damage, status.Follower.FullStates,
				status.Follower.Deltas)
		}
		x.waitFor("the checkpoint is written", func() bool { return x.mustStatus(name).Checkpoint.Written > 0 })
		x.require(x.relays[name].Kill())
	}
	x.require(x.relays[name].Restart(nil))
	x.waitForRelay(name, 1)
}

// partitionedZone partitions a zone during a change that has to wait for it, and heals the links.
func (x *testTree) partitionedZone() {
	x.partition("a", faultinject.Silent)
	start := time.Now()
	x.waitFor("partitioned gateways have no lease", func() bool {
		for _, k := range x.gateways("a") {
			if k.mode() == ruleset.ModeLeased {
				return false
			}
		}
		return true
	})
	x.proposeRules(0, generationOf(x.generation+1, x.members, 300, 300)) // under the fallback of one half
	x.waitForGeneration("a ceiling under the fallback, a zone partitioned", x.generation, "b")
	if elapsed := time.Since(start); elapsed < 2*time.Second {
		x.t.Errorf("a change that contradicts the fallback of the partitioned zone was in force after %v", elapsed)
	}
	for _, k := range x.gateways("a") {
		if m := k.mode(); m != ruleset.ModeNoLease {
			x.t.Errorf("%s is %v once its fallback is over", k.name, m)
		}
	}
	x.partition("a", faultinject.Connected)
	x.waitForGeneration("the partition healed", x.generation)
	x.proposeRules(1, generation(x.generation+1, x.members))
	x.waitForGeneration("the ceiling raised again", x.generation)
}

// corruptedResponses injects each fault of the proxy into the responses to a zone.
func (x *testTree) corruptedResponses() {
	for _, fault := range []string{corruptByte, swapValue, changeBase, dropDelta, repeatResponse,
		delayResponse} {
		before := map[string]Status{}
		for name, proxy := range x.proxies {
			before[name] = x.mustStatus(name)
			proxy.inject(fault, 2)
		}
		x.propose(0)
		x.waitForGeneration("corrupted responses to a zone: "+fault, x.generation)
		// Of both relays together: a response that is corrupt and late as well is counted as timed out.
		injected, counted := 0, int64(0)
		for name, proxy := range x.proxies {
			after, statusBefore := x.mustStatus(name), before[name]
			failures, failuresBefore := after.UpstreamTraffic.Failures, statusBefore.UpstreamTraffic.Failures
			injected += proxy.injectedCount()
			counted += map[string]int64{
				corruptByte: failures[reasonChecksum] + failures[reasonMalformed] -
					failuresBefore[reasonChecksum] - failuresBefore[reasonMalformed],
				swapValue:      after.Follower.DigestMismatches - statusBefore.Follower.DigestMismatches,
				changeBase:     after.Follower.BaseMismatches - statusBefore.Follower.BaseMismatches,
				dropDelta:      after.Follower.MissingDeltas - statusBefore.Follower.MissingDeltas,
				repeatResponse: failures[reasonWrongNonce] - failuresBefore[reasonWrongNonce],
				delayResponse:  failures[reasonTimeout] - failuresBefore[reasonTimeout],
			}[fault]
			proxy.inject("", 0)
		}
		if injected == 0 || counted == 0 {
			x.t.Errorf("corrupted responses: %s, %d times, and %d are counted", fault, injected, counted)
		}
	}
}

// rejectedRules proposes rulesets beyond a bound: they are rejected by their key, and nothing changes.
func (x *testTree) rejectedRules() {
	before := x.mustStatus("a0")
	for key, change := range map[string]func(*ruleset.Rules){
		"lease_ms:":         func(r *ruleset.Rules) { r.LeaseMillis, r.ConflictBoundMillis = 5000, 2000 },
		"plans.basic.rate:": func(r *ruleset.Rules) { r.Plans[0].Rate = -1 },
	} {
		r := generation(x.generation+1, x.members)
		change(&r)
		x.submitRules(0, r)
		p := x.voters[0]
		x.waitFor("a message on "+key, func() bool { return strings.Contains(p.Output(), "rules.toml: "+key) })
	}
	time.Sleep(500 * time.Millisecond)
	if after := x.mustStatus("a0"); after.VersionID != before.VersionID || after.Pending != 0 {
		x.t.Errorf("rejected rules have changed %s to %s", before.VersionID, after.VersionID)
	}
	x.waitForGeneration("rules beyond a bound, nothing changed", x.generation)
}

// councilOutage kills the raft group for longer than lease and fallback: all gateways act on their fallback,
// then on nothing, and recover without a storm: no full state is sent again, and the request rate stays the
// same.
func (x *testTree) councilOutage() {
	count := func() (fullStates, requests int64) {
		for name := range x.relays {
			s := x.mustStatus(name)
			fullStates += s.Source.FullStates
			requests += s.DownstreamTraffic.Requests
		}
		return fullStates, requests
	}
	rate := func() float64 {
		_, a := count()
		began := time.Now()
		time.Sleep(time.Second)
		_, b := count()
		return float64(b-a) / time.Since(began).Seconds()
	}
	usualRate := rate()
	for _, p := range x.voters {
		x.require(p.Kill())
	}
	x.waitFor("all act on a fallback", func() bool { return x.allInMode(ruleset.ModeFallback) })
	x.waitFor("all act on nothing", func() bool { return x.allInMode(ruleset.ModeNoLease) })
	rateDuringOutage := rate()
	fullStates, _ := count()
	for _, p := range x.voters {
		x.require(p.Restart(nil))
	}
	x.waitForGeneration("the raft group back after lease and fallback", x.generation)
	rateAfter := rate()
	if after, _ := count(); after != fullStates {
		x.t.Errorf("%d full states were sent as the raft group came back", after-fullStates)
	}
	for what, r := range map[string]float64{"down": rateDuringOutage, "back": rateAfter} {
		if r > 1.5*usualRate {
			x.t.Errorf("%.0f requests a second with the raft group %s, %.0f before", r, what, usualRate)
		}
	}
	x.report = append(x.report,
		fmt.Sprintf("requests a second at all relays: %.0f, raft group down %.0f, back %.0f",
			usualRate,
			rateDuringOutage, rateAfter))
	x.propose(0)
	x.waitForGeneration("a change after the outage", x.generation)
}

// allInMode reports whether all gateways are in a mode.
func (x *testTree) allInMode(m ruleset.LeaseMode) bool {
	for _, k := range x.gateways() {
		if k.mode() != m {
			return false
		}
	}
	return true
}

// TestTreeRandomFaults injects a random fault or two for some seconds, then proposes a change, over and over.
func TestTreeRandomFaults(t *testing.T) {
	if *long == 0 {
		t.Skip("-args -long 1m")
	}
	rng := rand.New(rand.NewSource(*seed))
	x := startTree(t)
	names := []string{"r0", "r1", "a0", "a1", "b0", "b1"}
	for end := time.Now().Add(*long); time.Now().Before(end) && x.generation < 95; {
		description := ""
		var repairs []func()
		for range 1 + rng.Intn(2) {
			name := names[rng.Intn(len(names))]
			p := x.relays[name]
			switch rng.Intn(6) {
			case 0:
				description += " stall " + name
				x.require(p.Stall())
				repairs = append(repairs, func() { x.require(p.Resume()) })
			case 1:
				description += " kill " + name
				x.require(p.Kill())
				repairs = append(repairs, func() { x.require(p.Restart(nil)) })
			case 2:
				d := faultinject.Damage{
					What:  []string{faultinject.Torn, faultinject.Flipped, faultinject.Empty}[rng.Intn(3)],
					Bytes: 1 + rng.Int63n(200),
					Seed:  rng.Int63(),
				}
				description += " spoil " + name + " " + d.What
				x.require(p.Kill())
				_ = x.disks[name].Spoil(d) // an empty disk can't be damaged
				repairs = append(repairs, func() { x.require(p.Restart(nil)) })
			case 3:
				z := []string{"a", "b"}[rng.Intn(2)]
				fault := []faultinject.Cut{faultinject.Silent, faultinject.Reset, faultinject.Refused}[rng.Intn(3)]
				description += " cut " + z + " " + fault.String()
				x.partition(z, fault)
				repairs = append(repairs, func() { x.partition(z, faultinject.Connected) })
			case 4:
				c := x.voters[rng.Intn(councilDaemons)]
				if len(repairs) > 0 {
					continue
				}
				description += " kill " + c.Name
				x.require(c.Kill())
				repairs = append(repairs, func() { x.require(c.Restart(nil)) })
			case 5:
				fault := []string{corruptByte, swapValue, changeBase, dropDelta, repeatResponse,
					delayResponse}[rng.Intn(6)]
				description += " " + fault
				for _, m := range x.proxies {
					m.inject(fault, 1+rng.Intn(3))
				}
			}
		}
		time.Sleep(time.Duration(rng.Intn(3000)) * time.Millisecond)
		for _, h := range repairs {
			h()
		}
		x.propose(rng.Intn(councilDaemons))
		x.waitForGeneration(fmt.Sprintf("%d:%s", x.generation, description), x.generation)
	}
	x.checkHistory()
}
