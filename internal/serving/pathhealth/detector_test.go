package pathhealth

import (
	"fmt"
	"testing"
	"time"
)

const (
	oneWay = 12 * time.Millisecond
	tick   = 10 * time.Millisecond
)

// world plays a watch against other edges: what is lost is said by path, one direction each.
type world struct {
	now      time.Duration
	watch    *Watch
	targets  []Target
	dead     map[string]bool // edges that do not answer
	cutThere func(Place) bool
	cutBack  func(Place) bool
	delay    time.Duration
	answers  map[time.Duration][]uint64
	sent     int
	sentTo   map[string]int
}

func newWorld() *world {
	w := &world{
		watch: New(Place{Zone: "a1", Region: "a"}, 100), dead: map[string]bool{}, delay: 2 * oneWay,
		cutThere: nowhere, cutBack: nowhere, answers: map[time.Duration][]uint64{}, sentTo: map[string]int{},
	}
	for _, zone := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range 4 {
			place := Place{Zone: zone, Region: zone[:1]}
			w.targets = append(w.targets, Target{Name: fmt.Sprintf("%s-%d", zone, i), Place: place, Linked: true})
		}
	}
	return w
}

func nowhere(Place) bool { return false }

func region(name string) func(Place) bool { return func(p Place) bool { return p.Region == name } }

func zone(name string) func(Place) bool { return func(p Place) bool { return p.Zone == name } }

func (w *world) target(name string) Target {
	for _, target := range w.targets {
		if target.Name == name {
			return target
		}
	}
	return Target{}
}

// run plays for a time, and returns when the place was first suspected, as time since the start; -1: never.
func (w *world) run(length time.Duration, place Place) time.Duration {
	begun, first := w.now, time.Duration(-1)
	for w.now < begun+length {
		for _, number := range w.answers[w.now] {
			w.watch.Answered(w.now, number)
		}
		for _, probe := range w.watch.Due(w.now, w.targets) {
			w.sent++
			w.sentTo[probe.Target]++
			target := w.target(probe.Target)
			if !w.dead[probe.Target] && !w.cutThere(target.Place) && !w.cutBack(target.Place) {
				at := w.now + w.delay
				w.answers[at-at%tick+tick] = append(w.answers[at-at%tick+tick], probe.Number)
			}
		}
		if first < 0 && w.watch.Suspect(w.now, place) {
			first = w.now - begun
		}
		w.now += tick
	}
	return first
}

var farZone = Place{Zone: "b1", Region: "b"}

// TestCutRegionIsFoundSoon cuts a region off, in either direction, and lets the path come back.
func TestCutRegionIsFoundSoon(t *testing.T) {
	for name, cut := range map[string]func(*world, func(Place) bool){
		"there": func(w *world, lost func(Place) bool) { w.cutThere = lost },
		"back":  func(w *world, lost func(Place) bool) { w.cutBack = lost },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			if at := w.run(5*time.Second, farZone); at >= 0 {
				t.Fatalf("suspected after %v with nothing lost", at)
			}
			cut(w, region("b"))
			if at := w.run(6*time.Second, farZone); at < 0 || at > 450*time.Millisecond {
				t.Errorf("suspected after %v", at)
			}
			if !w.watch.Suspect(w.now, farZone) || w.watch.Suspect(w.now, Place{Zone: "c1", Region: "c"}) {
				t.Error("the cut region and no other one should be suspected")
			}
			cut(w, nowhere)
			w.run(500*time.Millisecond, farZone)
			if w.watch.Suspect(w.now, farZone) {
				t.Error("still suspected after the path came back")
			}
		})
	}
}

// TestCutZoneLeavesItsRegion cuts one zone off: the other one of its region stays usable.
func TestCutZoneLeavesItsRegion(t *testing.T) {
	w := newWorld()
	w.run(time.Second, farZone)
	w.cutThere = zone("b1")
	if at := w.run(3*time.Second, farZone); at < 0 || at > time.Second {
		t.Errorf("suspected after %v", at)
	}
	if w.watch.Suspect(w.now, Place{Zone: "b2", Region: "b"}) {
		t.Error("the zone that answers is suspected")
	}
}

// TestDeadEdgesAreNoCut kills half of a region's edges: their neighbours prove the path.
func TestDeadEdgesAreNoCut(t *testing.T) {
	w := newWorld()
	for _, zone := range []string{"b1", "b2"} {
		w.dead[zone+"-0"], w.dead[zone+"-2"] = true, true
	}
	if at := w.run(20*time.Second, farZone); at >= 0 {
		t.Errorf("suspected after %v though every other edge answers", at)
	}
}

// TestUnlinkedEdgesAreProbedForWantOfOthers takes the core's links to a cut region away, as a cut does: the
// edges there are still asked, and found when the path comes back.
func TestUnlinkedEdgesAreProbedForWantOfOthers(t *testing.T) {
	w := newWorld()
	w.run(time.Second, farZone)
	w.cutBack = region("b")
	for i := range w.targets {
		if w.targets[i].Region == "b" {
			w.targets[i].Linked = false
		}
	}
	w.targets = append(w.targets, Target{Name: "c1-left", Place: Place{Zone: "c1", Region: "c"}})
	w.run(10*time.Second, farZone)
	if !w.watch.Suspect(w.now, farZone) || w.sentTo["c1-left"] > 0 {
		t.Error("the region should be suspected, and unlinked edges left alone where there are others")
	}
	w.cutBack = nowhere
	w.run(500*time.Millisecond, farZone)
	if w.watch.Suspect(w.now, farZone) {
		t.Error("the region should be back")
	}
}

// TestNobodyLeft takes all edges of a region away: what was suspected is so for a while only, since nothing
// can prove it wrong.
func TestNobodyLeft(t *testing.T) {
	w := newWorld()
	w.cutBack = region("b")
	w.run(2*time.Second, farZone)
	kept := w.targets[:0]
	for _, target := range w.targets {
		if target.Region != "b" {
			kept = append(kept, target)
		}
	}
	w.targets = kept
	w.run(suspicionLife/2, farZone)
	if !w.watch.Suspect(w.now, farZone) {
		t.Error("forgotten at once")
	}
	w.run(2*suspicionLife, farZone)
	if w.watch.Suspect(w.now, farZone) {
		t.Error("suspected for ever")
	}
}

// TestSlowPathIsLearned makes a path slower than is borne at first: its late answers teach patience.
func TestSlowPathIsLearned(t *testing.T) {
	w := newWorld()
	w.delay = 20 * time.Millisecond
	w.run(2*time.Second, farZone)
	w.delay = 200 * time.Millisecond
	w.run(10*time.Second, farZone)
	if w.watch.Suspect(w.now, farZone) {
		t.Error("a path that answers is suspected")
	}
}

// TestLostDatagrams loses one answer in ten: no suspicion.
func TestLostDatagrams(t *testing.T) {
	w := newWorld()
	w.cutBack = func(Place) bool { return w.sent%10 == 0 }
	if at := w.run(30*time.Second, farZone); at >= 0 {
		t.Errorf("suspected after %v", at)
	}
}

// TestWorkerAnswerProvesThePath lets an answer of a worker, to a request that was sent after the misses,
// speak for the path; one to an earlier request does not.
func TestWorkerAnswerProvesThePath(t *testing.T) {
	w := newWorld()
	w.run(time.Second, farZone)
	w.cutBack = region("b")
	w.run(2*time.Second, farZone)
	w.watch.Proven(w.now-1800*time.Millisecond, farZone)
	if !w.watch.Suspect(w.now, farZone) {
		t.Error("an answer to an old request ends the suspicion")
	}
	w.watch.Proven(w.now, farZone)
	if w.watch.Suspect(w.now, farZone) {
		t.Error("an answer to a new request does not end the suspicion")
	}
}

// TestProbesDoNotGrowWithEdges bounds what one edge sends, by regions and by edges.
func TestProbesDoNotGrowWithEdges(t *testing.T) {
	for _, size := range []struct{ regions, edges int }{{3, 4}, {3, 100}, {16, 20}} {
		w := newWorld()
		w.targets = nil
		for r := range size.regions {
			for i := range size.edges {
				place := Place{Zone: fmt.Sprint("z", r), Region: fmt.Sprint("r", r)}
				w.targets = append(w.targets, Target{Name: fmt.Sprint(r, "-", i), Place: place, Linked: true})
			}
		}
		w.run(10*time.Second, farZone)
		if perSecond := float64(w.sent) / 10; perSecond > probesPerSecond+1 {
			t.Errorf("%d regions with %d edges: %.0f probes a second", size.regions, size.edges, perSecond)
		}
	}
}
