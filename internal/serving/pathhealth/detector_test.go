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

// simulation runs a detector against other edges. Messages are lost by failure domain and direction.
type simulation struct {
	now          time.Duration
	detector     *Detector
	targets      []Target
	dead         map[string]bool // edges that do not answer
	lostOutbound func(FailureDomain) bool
	lostInbound  func(FailureDomain) bool
	delay        time.Duration
	answers      map[time.Duration][]uint64
	sent         int
	sentTo       map[string]int
}

func newSimulation() *simulation {
	s := &simulation{
		detector: New(FailureDomain{Zone: "a1", Region: "a"}, 100), dead: map[string]bool{}, delay: 2 * oneWay,
		lostOutbound: nowhere, lostInbound: nowhere,
		answers: map[time.Duration][]uint64{}, sentTo: map[string]int{},
	}
	for _, zone := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range 4 {
			domain := FailureDomain{Zone: zone, Region: zone[:1]}
			name := fmt.Sprintf("%s-%d", zone, i)
			s.targets = append(s.targets, Target{Name: name, FailureDomain: domain, Linked: true})
		}
	}
	return s
}

func nowhere(FailureDomain) bool { return false }

func region(name string) func(FailureDomain) bool {
	return func(p FailureDomain) bool { return p.Region == name }
}

func zone(name string) func(FailureDomain) bool {
	return func(p FailureDomain) bool { return p.Zone == name }
}

func (s *simulation) target(name string) Target {
	for _, target := range s.targets {
		if target.Name == name {
			return target
		}
	}
	return Target{}
}

// run simulates for a time, and returns when the domain was first suspected, as time since the start; -1:
// never.
func (s *simulation) run(length time.Duration, domain FailureDomain) time.Duration {
	begun, first := s.now, time.Duration(-1)
	for s.now < begun+length {
		for _, number := range s.answers[s.now] {
			s.detector.RecordAnswer(s.now, number)
		}
		for _, probe := range s.detector.DueProbes(s.now, s.targets) {
			s.sent++
			s.sentTo[probe.Target]++
			target := s.target(probe.Target)
			if !s.dead[probe.Target] && !s.lostOutbound(target.FailureDomain) && !s.lostInbound(target.FailureDomain) {
				at := s.now + s.delay
				s.answers[at-at%tick+tick] = append(s.answers[at-at%tick+tick], probe.Number)
			}
		}
		if first < 0 && s.detector.Suspected(s.now, domain) {
			first = s.now - begun
		}
		s.now += tick
	}
	return first
}

var (
	farZone   = FailureDomain{Zone: "b1", Region: "b"}
	otherZone = FailureDomain{Zone: "c1", Region: "c"}
)

// TestPartitionedRegionIsSuspected partitions a region, in either direction, and heals the path.
func TestPartitionedRegionIsSuspected(t *testing.T) {
	for name, partition := range map[string]func(*simulation, func(FailureDomain) bool){
		"outbound": func(s *simulation, lost func(FailureDomain) bool) { s.lostOutbound = lost },
		"inbound":  func(s *simulation, lost func(FailureDomain) bool) { s.lostInbound = lost },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
			if at := s.run(5*time.Second, farZone); at >= 0 {
				t.Fatalf("suspected after %v with nothing lost", at)
			}
			partition(s, region("b"))
			if at := s.run(6*time.Second, farZone); at < 0 || at > 450*time.Millisecond {
				t.Errorf("suspected after %v", at)
			}
			if !s.detector.Suspected(s.now, farZone) || s.detector.Suspected(s.now, otherZone) {
				t.Error("the partitioned region and no other one should be suspected")
			}
			partition(s, nowhere)
			s.run(500*time.Millisecond, farZone)
			if s.detector.Suspected(s.now, farZone) {
				t.Error("still suspected after the path came back")
			}
		})
	}
}

// TestPartitionedZoneLeavesItsRegion partitions one zone: the other one of its region stays usable.
func TestPartitionedZoneLeavesItsRegion(t *testing.T) {
	s := newSimulation()
	s.run(time.Second, farZone)
	s.lostOutbound = zone("b1")
	if at := s.run(3*time.Second, farZone); at < 0 || at > time.Second {
		t.Errorf("suspected after %v", at)
	}
	if s.detector.Suspected(s.now, FailureDomain{Zone: "b2", Region: "b"}) {
		t.Error("the zone that answers is suspected")
	}
}

// TestDeadEdgesAreNoPartition stops half of a region's edges: the others prove the path.
func TestDeadEdgesAreNoPartition(t *testing.T) {
	s := newSimulation()
	for _, zone := range []string{"b1", "b2"} {
		s.dead[zone+"-0"], s.dead[zone+"-2"] = true, true
	}
	if at := s.run(20*time.Second, farZone); at >= 0 {
		t.Errorf("suspected after %v though every other edge answers", at)
	}
}

// TestUnlinkedEdgesAreProbedWithoutLinkedOnes removes the core's links to a partitioned region, as a
// partition does: the edges there are still probed, and the region is usable when the path comes back.
func TestUnlinkedEdgesAreProbedWithoutLinkedOnes(t *testing.T) {
	s := newSimulation()
	s.run(time.Second, farZone)
	s.lostInbound = region("b")
	for i := range s.targets {
		if s.targets[i].Region == "b" {
			s.targets[i].Linked = false
		}
	}
	s.targets = append(s.targets, Target{Name: "c1-unlinked", FailureDomain: otherZone})
	s.run(10*time.Second, farZone)
	if !s.detector.Suspected(s.now, farZone) || s.sentTo["c1-unlinked"] > 0 {
		t.Error("the region should be suspected, and unlinked edges not probed where there are linked ones")
	}
	s.lostInbound = nowhere
	s.run(500*time.Millisecond, farZone)
	if s.detector.Suspected(s.now, farZone) {
		t.Error("the region should be back")
	}
}

// TestSuspicionExpiresWithoutTargets removes all edges of a region: its suspicion expires, since no probe can
// refute it.
func TestSuspicionExpiresWithoutTargets(t *testing.T) {
	s := newSimulation()
	s.lostInbound = region("b")
	s.run(2*time.Second, farZone)
	remaining := s.targets[:0]
	for _, target := range s.targets {
		if target.Region != "b" {
			remaining = append(remaining, target)
		}
	}
	s.targets = remaining
	s.run(suspicionExpiry/2, farZone)
	if !s.detector.Suspected(s.now, farZone) {
		t.Error("no longer suspected, before the expiry")
	}
	s.run(2*suspicionExpiry, farZone)
	if s.detector.Suspected(s.now, farZone) {
		t.Error("still suspected after the expiry")
	}
}

// TestSlowPathIsLearned makes a path slower than the time-out: late answers lengthen the time-out.
func TestSlowPathIsLearned(t *testing.T) {
	s := newSimulation()
	s.delay = 20 * time.Millisecond
	s.run(2*time.Second, farZone)
	s.delay = 200 * time.Millisecond
	s.run(10*time.Second, farZone)
	if s.detector.Suspected(s.now, farZone) {
		t.Error("a path that answers is suspected")
	}
}

// TestLostDatagramsAreNoPartition loses one answer in ten: no suspicion.
func TestLostDatagramsAreNoPartition(t *testing.T) {
	s := newSimulation()
	s.lostInbound = func(FailureDomain) bool { return s.sent%10 == 0 }
	if at := s.run(30*time.Second, farZone); at >= 0 {
		t.Errorf("suspected after %v", at)
	}
}

// TestWorkerAnswerProvesThePath confirms the path by a worker's answer: one to a request that was sent after
// the misses ends the suspicion, one to an earlier request does not.
func TestWorkerAnswerProvesThePath(t *testing.T) {
	s := newSimulation()
	s.run(time.Second, farZone)
	s.lostInbound = region("b")
	s.run(2*time.Second, farZone)
	s.detector.ConfirmPath(s.now-1800*time.Millisecond, farZone)
	if !s.detector.Suspected(s.now, farZone) {
		t.Error("an answer to an old request ends the suspicion")
	}
	s.detector.ConfirmPath(s.now, farZone)
	if s.detector.Suspected(s.now, farZone) {
		t.Error("an answer to a new request does not end the suspicion")
	}
}

// TestProbesDoNotGrowWithEdges bounds what one edge sends, by regions and by edges.
func TestProbesDoNotGrowWithEdges(t *testing.T) {
	for _, size := range []struct{ regions, edges int }{{3, 4}, {3, 100}, {16, 20}} {
		s := newSimulation()
		s.targets = nil
		for r := range size.regions {
			for i := range size.edges {
				domain := FailureDomain{Zone: fmt.Sprint("z", r), Region: fmt.Sprint("r", r)}
				s.targets = append(s.targets, Target{Name: fmt.Sprint(r, "-", i), FailureDomain: domain, Linked: true})
			}
		}
		s.run(10*time.Second, farZone)
		if perSecond := float64(s.sent) / 10; perSecond > probesPerSecond+1 {
			t.Errorf("%d regions with %d edges: %.0f probes a second", size.regions, size.edges, perSecond)
		}
	}
}
