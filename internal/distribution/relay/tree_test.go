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
	long = flag.Duration("long", 0, "drawn faults on the tree for so long")
	seed = flag.Int64("seed", 1, "of them")
)

// TestTree breaks a tree of real processes in one way after the other, with a change of the rules at each.
func TestTree(t *testing.T) {
	x := startTree(t)
	x.propose(0)
	x.waitForGeneration("a change, all well", x.generation)

	// A ceiling under the fallback waits for all hosts below to have seen it, and not for its time to be up.
	x.proposeRules(0, generationOf(x.generation+1, x.members, 400, 400))
	if took := x.waitForGeneration("a ceiling under the fallback, all well",
		x.generation); took > 2500*time.Millisecond {
		t.Errorf("in force after %v: what hosts below have seen does not come up", took)
	}
	x.propose(0)
	x.waitForGeneration("the ceiling up, all well", x.generation)

	// A region's relay is killed, and comes back with its copy of a version before.
	x.require(x.disks["r0"].Keep())
	x.require(x.relays["r0"].Kill())
	x.propose(1)
	x.waitForGeneration("a region's relay killed", x.generation)
	x.require(x.relays["r0"].Restart(nil))
	x.waitForRelay("r0", 1)
	if s := x.mustStatus("r0"); s.Follower.FullStates != 0 || s.Checkpoint.Quarantined != 0 ||
		s.Follower.Deltas == 0 {
		t.Errorf("a relay with an old copy was not brought up by a delta: %+v", s.Follower)
	}

	// A zone's relay lies still: those below leave it; then it goes on.
	x.require(x.relays["a0"].Stall())
	x.propose(2)
	x.waitForGeneration("a zone's relay lies still", x.generation)
	x.require(x.relays["a0"].Resume())
	x.waitForRelay("a0", x.mustStatus("a1").Step)

	// A region's relay hears nothing from above, and answers on with ages that grow.
	for i := range councilDaemons {
		x.network.Part("r0", fmt.Sprintf("c%d", i), faultinject.Silent)
	}
	x.propose(0)
	x.waitForGeneration("a region's relay cut off from the council", x.generation)
	for i := range councilDaemons {
		x.network.Join("r0", fmt.Sprintf("c%d", i))
	}
	x.waitForRelay("r0", x.mustStatus("r1").Step)

	// The leader is killed, with a change at another daemon at once.
	lead := x.leader()
	x.require(x.council[lead].Kill())
	x.propose((lead + 1) % councilDaemons)
	x.waitForGeneration("the leader killed", x.generation)
	x.require(x.council[lead].Restart(nil))

	x.damagedCheckpoints()
	x.partitionedZone()
	x.corruptedResponses()
	x.rejectedRules()

	// All of a zone is there anew at once.
	for _, h := range x.zones["b"] {
		h.close()
	}
	x.require(x.relays["b0"].Kill())
	x.require(x.relays["b1"].Kill())
	x.propose(0)
	x.require(x.relays["b0"].Restart(nil))
	x.require(x.relays["b1"].Restart(nil))
	x.startHosts("b")
	x.waitForGeneration("all of a zone anew, with a change", x.generation)

	x.councilOutage()
	x.checkHistory()
}

// copies starts a zone's relay with disks that are torn, flipped, old and empty.
func (x *testTree) damagedCheckpoints() {
	const name = "a1"
	aside := map[string]int64{faultinject.Torn: 1, faultinject.Flipped: 1}
	x.require(x.relays[name].Kill())
	x.require(x.disks[name].Keep())
	for _, what := range []string{faultinject.Torn, faultinject.Flipped, faultinject.Old, faultinject.Empty} {
		x.propose(0)
		x.waitForGeneration("a zone's relay away, then with a disk that is "+what, x.generation)
		x.require(x.disks[name].Spoil(faultinject.Damage{What: what, Bytes: 5, Seed: 3}))
		x.require(x.relays[name].Restart(nil))
		x.waitForRelay(name, x.mustStatus("a0").Step)
		s := x.mustStatus(name)
		if s.Checkpoint.Quarantined != aside[what] {
			x.t.Errorf("a disk that is %s: %d copies set aside, not %d", what, s.Checkpoint.Quarantined, aside[what])
		}
		if whole := what != faultinject.Old; (s.Follower.FullStates > 0) != whole ||
			(s.Follower.Deltas > 0) == whole {
			x.t.Errorf("a disk that is %s: %d wholes and %d deltas", what, s.Follower.FullStates, s.Follower.Deltas)
		}
		x.waitFor("the copy is written", func() bool { return x.mustStatus(name).Checkpoint.Written > 0 })
		x.require(x.relays[name].Kill())
	}
	x.require(x.relays[name].Restart(nil))
	x.waitForRelay(name, 1)
}

// cutOff cuts a zone off over a change that has to wait for it, and heals the links.
func (x *testTree) partitionedZone() {
	x.partition("a", faultinject.Silent)
	began := time.Now()
	x.waitFor("those cut off have no lease", func() bool {
		for _, k := range x.gateways("a") {
			if k.mode() == ruleset.ModeLeased {
				return false
			}
		}
		return true
	})
	x.proposeRules(0, generationOf(x.generation+1, x.members, 300, 300)) // under the fallback of a half
	x.waitForGeneration("a ceiling under the fallback, a zone cut off", x.generation, "b")
	if took := time.Since(began); took < 2*time.Second {
		x.t.Errorf("a change that contradicts the fallback of those cut off was in force after %v", took)
	}
	for _, k := range x.gateways("a") {
		if m := k.mode(); m != ruleset.ModeNoLease {
			x.t.Errorf("%s is %v once its fallback is over", k.name, m)
		}
	}
	x.partition("a", faultinject.Whole)
	x.waitForGeneration("the zone is back", x.generation)
	x.proposeRules(1, generation(x.generation+1, x.members))
	x.waitForGeneration("the ceiling up again", x.generation)
}

// spoils has a middle man spoil what goes to a zone, in all ways.
func (x *testTree) corruptedResponses() {
	for _, how := range []string{corruptByte, swapValue, changeBase, dropDelta, repeatResponse, delayResponse} {
		before := map[string]Status{}
		for name, m := range x.proxies {
			before[name] = x.mustStatus(name)
			m.inject(how, 2)
		}
		x.propose(0)
		x.waitForGeneration("answers on their way to a zone: "+how, x.generation)
		// Of both relays together: an answer that is spoilt and late as well is counted as late.
		did, all := 0, int64(0)
		for name, m := range x.proxies {
			s, b := x.mustStatus(name), before[name]
			failures, failuresBefore := s.UpstreamTraffic.Failures, b.UpstreamTraffic.Failures
			did += m.injectedCount()
			all += map[string]int64{
				corruptByte: failures[reasonChecksum] + failures[reasonMalformed] -
					failuresBefore[reasonChecksum] - failuresBefore[reasonMalformed],
				swapValue:      s.Follower.DigestMismatches - b.Follower.DigestMismatches,
				changeBase:     s.Follower.BaseMismatches - b.Follower.BaseMismatches,
				dropDelta:      s.Follower.MissingDeltas - b.Follower.MissingDeltas,
				repeatResponse: failures[reasonWrongNonce] - failuresBefore[reasonWrongNonce],
				delayResponse:  failures[reasonTimeout] - failuresBefore[reasonTimeout],
			}[how]
			m.inject("", 0)
		}
		if did == 0 || all == 0 {
			x.t.Errorf("answers on their way: %s, %d times, and %d are counted", how, did, all)
		}
	}
}

// bounds proposes what breaks a bound: it is refused by its key, and nothing changes.
func (x *testTree) rejectedRules() {
	was := x.mustStatus("a0")
	for key, change := range map[string]func(*ruleset.Rules){
		"lease_ms:":         func(r *ruleset.Rules) { r.LeaseMillis, r.ConflictBoundMillis = 5000, 2000 },
		"plans.basic.rate:": func(r *ruleset.Rules) { r.Plans[0].Rate = -1 },
	} {
		r := generation(x.generation+1, x.members)
		change(&r)
		x.submitRules(0, r)
		p := x.council[0]
		x.waitFor("a word on "+key, func() bool { return strings.Contains(p.Output(), "rules.toml: "+key) })
	}
	time.Sleep(500 * time.Millisecond)
	if now := x.mustStatus("a0"); now.Mark != was.Mark || now.Pending != 0 {
		x.t.Errorf("refused rules have changed %s to %s", was.Mark, now.Mark)
	}
	x.waitForGeneration("rules that break a bound: nothing changes", x.generation)
}

// alone kills the whole council for longer than lease and fallback: all go by their fallback, then by
// nothing, and come back without a wave: no state is given again, and nobody asks faster.
func (x *testTree) councilOutage() {
	count := func() (wholes, asks int64) {
		for name := range x.relays {
			s := x.mustStatus(name)
			wholes += s.Source.FullStates
			asks += s.DownstreamTraffic.Requests
		}
		return wholes, asks
	}
	rate := func() float64 {
		_, a := count()
		began := time.Now()
		time.Sleep(time.Second)
		_, b := count()
		return float64(b-a) / time.Since(began).Seconds()
	}
	usual := rate()
	for _, p := range x.council {
		x.require(p.Kill())
	}
	x.waitFor("all go by a fallback", func() bool { return x.allInMode(ruleset.ModeFallback) })
	x.waitFor("all go by nothing", func() bool { return x.allInMode(ruleset.ModeNoLease) })
	gone := rate()
	wholes, _ := count()
	for _, p := range x.council {
		x.require(p.Restart(nil))
	}
	x.waitForGeneration("control wholly gone for lease and fallback, back", x.generation)
	back := rate()
	if after, _ := count(); after != wholes {
		x.t.Errorf("%d states were given whole as the council came back", after-wholes)
	}
	for what, r := range map[string]float64{"gone": gone, "back": back} {
		if r > 1.5*usual {
			x.t.Errorf("%.0f asks a second with control %s, %.0f before", r, what, usual)
		}
	}
	x.report = append(x.report, fmt.Sprintf("asks a second at all relays: %.0f, control gone %.0f, back %.0f",
		usual,
		gone, back))
	x.propose(0)
	x.waitForGeneration("a change after it", x.generation)
}

// modes tells whether all gatekeepers go in a mode.
func (x *testTree) allInMode(m ruleset.LeaseMode) bool {
	for _, k := range x.gateways() {
		if k.mode() != m {
			return false
		}
	}
	return true
}

// TestTreeLong breaks the tree by draws: a fault or two for some seconds, then a change, over and over.
func TestTreeRandomFaults(t *testing.T) {
	if *long == 0 {
		t.Skip("-args -long 1m")
	}
	rng := rand.New(rand.NewSource(*seed))
	x := startTree(t)
	names := []string{"r0", "r1", "a0", "a1", "b0", "b1"}
	for end := time.Now().Add(*long); time.Now().Before(end) && x.generation < 95; {
		what := ""
		var heal []func()
		for range 1 + rng.Intn(2) {
			name := names[rng.Intn(len(names))]
			p := x.relays[name]
			switch rng.Intn(6) {
			case 0:
				what += " stall " + name
				x.require(p.Stall())
				heal = append(heal, func() { x.require(p.Resume()) })
			case 1:
				what += " kill " + name
				x.require(p.Kill())
				heal = append(heal, func() { x.require(p.Restart(nil)) })
			case 2:
				d := faultinject.Damage{
					What:  []string{faultinject.Torn, faultinject.Flipped, faultinject.Empty}[rng.Intn(3)],
					Bytes: 1 + rng.Int63n(200),
					Seed:  rng.Int63(),
				}
				what += " spoil " + name + " " + d.What
				x.require(p.Kill())
				_ = x.disks[name].Spoil(d) // one that has nothing can't be spoilt
				heal = append(heal, func() { x.require(p.Restart(nil)) })
			case 3:
				z := []string{"a", "b"}[rng.Intn(2)]
				how := []faultinject.Cut{faultinject.Silent, faultinject.Reset, faultinject.Refused}[rng.Intn(3)]
				what += " cut " + z + " " + how.String()
				x.partition(z, how)
				heal = append(heal, func() { x.partition(z, faultinject.Whole) })
			case 4:
				c := x.council[rng.Intn(councilDaemons)]
				if len(heal) > 0 {
					continue
				}
				what += " kill " + c.Name
				x.require(c.Kill())
				heal = append(heal, func() { x.require(c.Restart(nil)) })
			case 5:
				how := []string{corruptByte, swapValue, changeBase, dropDelta, repeatResponse, delayResponse}[rng.Intn(6)]
				what += " " + how
				for _, m := range x.proxies {
					m.inject(how, 1+rng.Intn(3))
				}
			}
		}
		time.Sleep(time.Duration(rng.Intn(3000)) * time.Millisecond)
		for _, h := range heal {
			h()
		}
		x.propose(rng.Intn(councilDaemons))
		x.waitForGeneration(fmt.Sprintf("%d:%s", x.generation, what), x.generation)
	}
	x.checkHistory()
}
