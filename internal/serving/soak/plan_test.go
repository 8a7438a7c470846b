package soak

import (
	"fmt"
	"math/rand"
	"time"
)

// faultKind is what a fault does.
type faultKind int

// Faults that leave the disks.
const (
	terminate     faultKind = iota // SIGTERM, and a start after the delay
	kill                           // SIGKILL, and a start after the delay
	reload                         // other seeds in the settings file, and SIGHUP
	freeze                         // SIGSTOP, and SIGCONT after the delay
	isolate                        // one machine is cut off from all others
	halve                          // two machines are cut off from the other three
	oneWay                         // nothing that one machine sends arrives
	bridge                         // two machines cannot reach each other
	killAll                        // SIGKILL of all at the same moment
	lastingFaults                  // the number of faults that leave the disks
)

// Faults that take disks.
const (
	wipe           faultKind = lastingFaults + iota // SIGKILL, and a start with an empty disk
	wipeTwo                                         // the same for two machines at once
	replaceStopped                                  // SIGTERM, and another machine takes the place
	replaceKilled                                   // SIGKILL, and another machine takes the place
	wipeCutOff                                      // two machines are cut off, one of them is wiped
	killAllWipeTwo                                  // SIGKILL of all at the same moment; two disks are lost
	endOfFaults
)

var faultNames = [endOfFaults]string{
	terminate: "terminate", kill: "kill", reload: "reload", freeze: "freeze", isolate: "isolate", halve: "halve",
	oneWay: "one way", bridge: "bridge", killAll: "kill all", wipe: "wipe", wipeTwo: "wipe two",
	replaceStopped: "replace, stopped", replaceKilled: "replace, killed", wipeCutOff: "wipe one cut off",
	killAllWipeTwo: "kill all, wipe two",
}

func (k faultKind) String() string { return faultNames[k] }

// losesDisks reports whether a fault takes disks.
func (k faultKind) losesDisks() bool { return k >= wipe }

// fault is one fault of a plan.
type fault struct {
	kind   faultKind
	at     time.Duration   // after the start of its round
	places []int           // all places in an order drawn for the fault: it takes as many as it needs
	lasts  time.Duration   // of a freeze or a cut
	delays []time.Duration // by place: between the end of a process and the next start
}

func (f fault) String() string {
	return fmt.Sprintf("%v of %v at %v for %v, starts after %v", f.kind, f.places, f.at, f.lasts, f.delays)
}

const (
	maxFaultsOfRound = 7
	maxFaultOffset   = 3 * time.Second
	minFaultTime     = 200 * time.Millisecond
	maxFaultTime     = 4 * time.Second
	maxStartDelay    = 1500 * time.Millisecond
	lossChance       = 0.5 // of a round to begin with a fault that takes disks
)

// round is faults that overlap. One that takes disks comes first, if there is one.
type round []fault

// plan draws the rounds of a seed, one after the other.
type plan struct{ random *rand.Rand }

func newPlan(seed int64) *plan { return &plan{rand.New(rand.NewSource(seed))} }

// nextRound draws the next round.
func (p *plan) nextRound() round {
	var faults round
	if p.random.Float64() < lossChance {
		kind := wipe + faultKind(p.random.Intn(int(endOfFaults-wipe)))
		faults = append(faults, p.draw(kind, 0))
	}
	for range 1 + p.random.Intn(maxFaultsOfRound) {
		kind := faultKind(p.random.Intn(int(lastingFaults)))
		faults = append(faults, p.draw(kind, p.between(0, maxFaultOffset)))
	}
	return faults
}

func (p *plan) draw(kind faultKind, at time.Duration) fault {
	drawn := fault{
		kind: kind, at: at, places: p.random.Perm(len(zones)), lasts: p.between(minFaultTime, maxFaultTime),
	}
	for range zones {
		drawn.delays = append(drawn.delays, p.between(0, maxStartDelay))
	}
	return drawn
}

func (p *plan) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(p.random.Int63n(int64(most-least)))).Truncate(time.Millisecond)
}
