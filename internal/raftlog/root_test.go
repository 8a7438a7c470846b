package raftlog

import (
	"testing"
	"time"

	"willowdeck/internal/ruleset"
)

// TestTold: what hosts without a vote have seen puts a version in force that waits for them, and nothing less
// than all of them does. What is told to those that follow is of the last confirmed reading.
func TestHostStepsActivateVersion(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	s := p.nodes["h1"]
	s.RequestFrequentReads()
	below := func(rate, ceiling float64) *ruleset.Rules {
		r := testRules(rate)
		r.Fallback.DurationMillis = 60000 // its time is not up here
		r.Plans[1].CeilingRate = ceiling
		r.Members = []ruleset.Member{{Name: "g0", Host: "x"}, {Name: "g1", Host: "y"}}
		return r
	}
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	if _, err := s.Propose(below(10, 40)); err != nil {
		t.Fatal(err)
	}
	p.waitForVersion(1)
	if _, err := s.Propose(below(10, 10)); err != nil {
		t.Fatal(err)
	}
	var w ConfirmedState
	p.waitUntil("the second waits", func() bool {
		w, _ = s.LastConfirmed()
		return w.Pending != nil
	})
	if w.InForce.Number != 1 || w.Pending.Number != 2 || w.Pending.Rules.Plans[1].CeilingRate != 10 {
		t.Fatalf("told: %+v", w)
	}
	s.RecordHostSteps([]ruleset.HostAck{{Host: "x", Step: w.Step}, {Host: "nobody", Step: w.Step},
		{Host: "y", Step: w.Step - 1}}, 7)
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		if a := s.ActivationStatus(); a.Version != 1 {
			t.Fatalf("in force without the word of host y: %+v", a)
		}
	}
	if a := s.ActivationStatus(); a.HostSteps["x"] != w.Step || a.HostSteps["nobody"] != 0 {
		t.Errorf("seen: %v at step %d", a.HostSteps, w.Step)
	}
	// One that is late, and one of a step that is not said yet, which is of the last one too.
	s.RecordHostSteps([]ruleset.HostAck{{Host: "x", Step: 1}, {Host: "y", Step: w.Step + 50}}, 3)
	p.waitForVersion(2)
	if s.HighestDiscoveryIndex() != 7 {
		t.Errorf("the highest index is %d, of 7 and 3", s.HighestDiscoveryIndex())
	}
	last := w
	for range 20 {
		<-s.Confirmations()
		now, ok := s.LastConfirmed()
		if !ok || now.Step < last.Step || now.ReadStartMillis < last.ReadStartMillis ||
			BootClockMillis()-now.ReadStartMillis > 2000 {
			t.Errorf("from step %d, begun %.0f, to %d, %.0f (%v)", last.Step, last.ReadStartMillis, now.Step,
				now.ReadStartMillis, ok)
		}
		last = now
	}
	if last.InForce.Number != 2 || last.Pending != nil {
		t.Errorf("told in the end: %+v", last)
	}
}
