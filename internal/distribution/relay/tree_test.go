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
	x := plant(t)
	x.propose(0)
	x.settled("a change, all well", x.gen)

	// A ceiling under the fallback waits for all hosts below to have seen it, and not for its time to be up.
	x.proposes(0, generationOf(x.gen+1, x.members, 400, 400))
	if took := x.settled("a ceiling under the fallback, all well", x.gen); took > 2500*time.Millisecond {
		t.Errorf("in force after %v: what hosts below have seen does not come up", took)
	}
	x.propose(0)
	x.settled("the ceiling up, all well", x.gen)

	// A region's relay is killed, and comes back with its copy of a version before.
	x.must(x.disks["r0"].Keep())
	x.must(x.relays["r0"].Kill())
	x.propose(1)
	x.settled("a region's relay killed", x.gen)
	x.must(x.relays["r0"].Restart(nil))
	x.up("r0", 1)
	if s := x.mustStatus("r0"); s.Follow.Wholes != 0 || s.Copy.Aside != 0 || s.Follow.Deltas == 0 {
		t.Errorf("a relay with an old copy was not brought up by a delta: %+v", s.Follow)
	}

	// A zone's relay lies still: those below leave it; then it goes on.
	x.must(x.relays["a0"].Stall())
	x.propose(2)
	x.settled("a zone's relay lies still", x.gen)
	x.must(x.relays["a0"].Resume())
	x.up("a0", x.mustStatus("a1").Step)

	// A region's relay hears nothing from above, and answers on with ages that grow.
	for i := range daemons {
		x.net.Part("r0", fmt.Sprintf("c%d", i), faultinject.Silent)
	}
	x.propose(0)
	x.settled("a region's relay cut off from the council", x.gen)
	for i := range daemons {
		x.net.Join("r0", fmt.Sprintf("c%d", i))
	}
	x.up("r0", x.mustStatus("r1").Step)

	// The leader is killed, with a change at another daemon at once.
	lead := x.leader()
	x.must(x.council[lead].Kill())
	x.propose((lead + 1) % daemons)
	x.settled("the leader killed", x.gen)
	x.must(x.council[lead].Restart(nil))

	x.copies()
	x.cutOff()
	x.spoils()
	x.bounds()

	// All of a zone is there anew at once.
	for _, h := range x.zones["b"] {
		h.end()
	}
	x.must(x.relays["b0"].Kill())
	x.must(x.relays["b1"].Kill())
	x.propose(0)
	x.must(x.relays["b0"].Restart(nil))
	x.must(x.relays["b1"].Restart(nil))
	x.people("b")
	x.settled("all of a zone anew, with a change", x.gen)

	x.alone()
	x.judge()
}

// copies starts a zone's relay with disks that are torn, flipped, old and empty.
func (x *tree) copies() {
	const name = "a1"
	aside := map[string]int64{faultinject.Torn: 1, faultinject.Flipped: 1}
	x.must(x.relays[name].Kill())
	x.must(x.disks[name].Keep())
	for _, what := range []string{faultinject.Torn, faultinject.Flipped, faultinject.Old, faultinject.Empty} {
		x.propose(0)
		x.settled("a zone's relay away, then with a disk that is "+what, x.gen)
		x.must(x.disks[name].Spoil(faultinject.Damage{What: what, Bytes: 5, Seed: 3}))
		x.must(x.relays[name].Restart(nil))
		x.up(name, x.mustStatus("a0").Step)
		s := x.mustStatus(name)
		if s.Copy.Aside != aside[what] {
			x.t.Errorf("a disk that is %s: %d copies set aside, not %d", what, s.Copy.Aside, aside[what])
		}
		if whole := what != faultinject.Old; (s.Follow.Wholes > 0) != whole || (s.Follow.Deltas > 0) == whole {
			x.t.Errorf("a disk that is %s: %d wholes and %d deltas", what, s.Follow.Wholes, s.Follow.Deltas)
		}
		x.until("the copy is written", func() bool { return x.mustStatus(name).Copy.Written > 0 })
		x.must(x.relays[name].Kill())
	}
	x.must(x.relays[name].Restart(nil))
	x.up(name, 1)
}

// cutOff cuts a zone off over a change that has to wait for it, and heals the links.
func (x *tree) cutOff() {
	x.cut("a", faultinject.Silent)
	began := time.Now()
	x.until("those cut off have no lease", func() bool {
		for _, k := range x.all("a") {
			if k.mode() == ruleset.ModeLeased {
				return false
			}
		}
		return true
	})
	x.proposes(0, generationOf(x.gen+1, x.members, 300, 300)) // under the fallback of a half
	x.settled("a ceiling under the fallback, a zone cut off", x.gen, "b")
	if took := time.Since(began); took < 2*time.Second {
		x.t.Errorf("a change that contradicts the fallback of those cut off was in force after %v", took)
	}
	for _, k := range x.all("a") {
		if m := k.mode(); m != ruleset.ModeNoLease {
			x.t.Errorf("%s is %v once its fallback is over", k.name, m)
		}
	}
	x.cut("a", faultinject.Whole)
	x.settled("the zone is back", x.gen)
	x.proposes(1, generation(x.gen+1, x.members))
	x.settled("the ceiling up again", x.gen)
}

// spoils has a middle man spoil what goes to a zone, in all ways.
func (x *tree) spoils() {
	for _, how := range []string{flips, swaps, rebases, loses, doubles, delays} {
		before := map[string]Status{}
		for name, m := range x.middle {
			before[name] = x.mustStatus(name)
			m.begin(how, 2)
		}
		x.propose(0)
		x.settled("answers on their way to a zone: "+how, x.gen)
		// Of both relays together: an answer that is spoilt and late as well is counted as late.
		did, all := 0, int64(0)
		for name, m := range x.middle {
			s, b := x.mustStatus(name), before[name]
			did += m.done()
			all += map[string]int64{
				flips:   s.Up.Failed[spoilt] + s.Up.Failed[garbled] - b.Up.Failed[spoilt] - b.Up.Failed[garbled],
				swaps:   s.Follow.Digest - b.Follow.Digest,
				rebases: s.Follow.Base - b.Follow.Base,
				loses:   s.Follow.Missing - b.Follow.Missing,
				doubles: s.Up.Failed[other] - b.Up.Failed[other],
				delays:  s.Up.Failed[late] - b.Up.Failed[late],
			}[how]
			m.begin("", 0)
		}
		if did == 0 || all == 0 {
			x.t.Errorf("answers on their way: %s, %d times, and %d are counted", how, did, all)
		}
	}
}

// bounds proposes what breaks a bound: it is refused by its key, and nothing changes.
func (x *tree) bounds() {
	was := x.mustStatus("a0")
	for key, change := range map[string]func(*ruleset.Rules){
		"lease_ms:":         func(r *ruleset.Rules) { r.LeaseMillis, r.ConflictBoundMillis = 5000, 2000 },
		"plans.basic.rate:": func(r *ruleset.Rules) { r.Plans[0].Rate = -1 },
	} {
		r := generation(x.gen+1, x.members)
		change(&r)
		x.put(0, r)
		p := x.council[0]
		x.until("a word on "+key, func() bool { return strings.Contains(p.Output(), "rules.toml: "+key) })
	}
	time.Sleep(500 * time.Millisecond)
	if now := x.mustStatus("a0"); now.Mark != was.Mark || now.Pending != 0 {
		x.t.Errorf("refused rules have changed %s to %s", was.Mark, now.Mark)
	}
	x.settled("rules that break a bound: nothing changes", x.gen)
}

// alone kills the whole council for longer than lease and fallback: all go by their fallback, then by
// nothing, and come back without a wave: no state is given again, and nobody asks faster.
func (x *tree) alone() {
	count := func() (wholes, asks int64) {
		for name := range x.relays {
			s := x.mustStatus(name)
			wholes += s.Give.Wholes
			asks += s.Down.Asks
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
		x.must(p.Kill())
	}
	x.until("all go by a fallback", func() bool { return x.modes(ruleset.ModeFallback) })
	x.until("all go by nothing", func() bool { return x.modes(ruleset.ModeNoLease) })
	gone := rate()
	wholes, _ := count()
	for _, p := range x.council {
		x.must(p.Restart(nil))
	}
	x.settled("control wholly gone for lease and fallback, back", x.gen)
	back := rate()
	if after, _ := count(); after != wholes {
		x.t.Errorf("%d states were given whole as the council came back", after-wholes)
	}
	for what, r := range map[string]float64{"gone": gone, "back": back} {
		if r > 1.5*usual {
			x.t.Errorf("%.0f asks a second with control %s, %.0f before", r, what, usual)
		}
	}
	x.took = append(x.took, fmt.Sprintf("asks a second at all relays: %.0f, control gone %.0f, back %.0f", usual,
		gone, back))
	x.propose(0)
	x.settled("a change after it", x.gen)
}

// modes tells whether all gatekeepers go in a mode.
func (x *tree) modes(m ruleset.LeaseMode) bool {
	for _, k := range x.all() {
		if k.mode() != m {
			return false
		}
	}
	return true
}

// TestTreeLong breaks the tree by draws: a fault or two for some seconds, then a change, over and over.
func TestTreeLong(t *testing.T) {
	if *long == 0 {
		t.Skip("-args -long 1m")
	}
	rng := rand.New(rand.NewSource(*seed))
	x := plant(t)
	names := []string{"r0", "r1", "a0", "a1", "b0", "b1"}
	for end := time.Now().Add(*long); time.Now().Before(end) && x.gen < 95; {
		what := ""
		var heal []func()
		for range 1 + rng.Intn(2) {
			name := names[rng.Intn(len(names))]
			p := x.relays[name]
			switch rng.Intn(6) {
			case 0:
				what += " stall " + name
				x.must(p.Stall())
				heal = append(heal, func() { x.must(p.Resume()) })
			case 1:
				what += " kill " + name
				x.must(p.Kill())
				heal = append(heal, func() { x.must(p.Restart(nil)) })
			case 2:
				d := faultinject.Damage{
					What:  []string{faultinject.Torn, faultinject.Flipped, faultinject.Empty}[rng.Intn(3)],
					Bytes: 1 + rng.Int63n(200),
					Seed:  rng.Int63(),
				}
				what += " spoil " + name + " " + d.What
				x.must(p.Kill())
				_ = x.disks[name].Spoil(d) // one that has nothing can't be spoilt
				heal = append(heal, func() { x.must(p.Restart(nil)) })
			case 3:
				z := []string{"a", "b"}[rng.Intn(2)]
				how := []faultinject.Cut{faultinject.Silent, faultinject.Reset, faultinject.Refused}[rng.Intn(3)]
				what += " cut " + z + " " + how.String()
				x.cut(z, how)
				heal = append(heal, func() { x.cut(z, faultinject.Whole) })
			case 4:
				c := x.council[rng.Intn(daemons)]
				if len(heal) > 0 {
					continue
				}
				what += " kill " + c.Name
				x.must(c.Kill())
				heal = append(heal, func() { x.must(c.Restart(nil)) })
			case 5:
				how := []string{flips, swaps, rebases, loses, doubles, delays}[rng.Intn(6)]
				what += " " + how
				for _, m := range x.middle {
					m.begin(how, 1+rng.Intn(3))
				}
			}
		}
		time.Sleep(time.Duration(rng.Intn(3000)) * time.Millisecond)
		for _, h := range heal {
			h()
		}
		x.propose(rng.Intn(daemons))
		x.settled(fmt.Sprintf("%d:%s", x.gen, what), x.gen)
	}
	x.judge()
}
