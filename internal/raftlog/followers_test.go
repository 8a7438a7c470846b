package raftlog

import (
	"testing"

	"willowdeck/internal/ruleset"
)

// confirmedReadsWithoutActivation is for how many confirmed reads a version must stay pending.
const confirmedReadsWithoutActivation = 10

// A pending version comes in force once all hosts without a vote have reported that they have applied its
// step, and not before. Followers are given the state of the last confirmed read.
func TestHostAcksActivateVersion(t *testing.T) {
	t.Parallel()
	group := newTestGroup(t, 3)
	group.startAllNodes()
	s := group.nodes["h1"]
	s.RequestFrequentReads()
	below := func(rate, ceiling float64) *ruleset.Rules {
		r := testRules(rate)
		r.Fallback.DurationMillis = 60000 // it does not expire during the test
		r.Plans[1].CeilingRate = ceiling
		r.Members = []ruleset.Member{{Name: "g0", Host: "x"}, {Name: "g1", Host: "y"}}
		return r
	}
	group.waitUntil("a leader", func() bool { return group.leader() != nil })
	if _, err := s.Propose(below(10, 40)); err != nil {
		t.Fatal(err)
	}
	group.waitForVersion(1)
	if _, err := s.Propose(below(10, 10)); err != nil {
		t.Fatal(err)
	}
	var w ConfirmedState
	group.waitUntil("the second waits", func() bool {
		w, _ = s.LastConfirmed()
		return w.Pending != nil
	})
	if w.InForce.Number != 1 || w.Pending.Number != 2 || w.Pending.Rules.Plans[1].CeilingRate != 10 {
		t.Fatalf("confirmed: %+v", w)
	}
	s.RecordHostAcks([]ruleset.HostAck{{Host: "x", Step: w.Step}, {Host: "nobody", Step: w.Step},
		{Host: "y", Step: w.Step - 1}}, 7)
	hasAckOfX := func() bool {
		status := s.ActivationStatus()
		if status.Version != 1 {
			t.Fatalf("in force without the acknowledgement of host y: %+v", status)
		}
		return status.AckedSteps["x"] == w.Step
	}
	t.Logf("x's acknowledgement is applied after %v", group.waitUntil("x's acknowledgement", hasAckOfX))
	for range confirmedReadsWithoutActivation { // each shows what is in force at a quorum
		<-s.Confirmations()
		hasAckOfX()
	}
	if acked := s.ActivationStatus().AckedSteps; acked["x"] != w.Step || acked["nobody"] != 0 {
		t.Errorf("acknowledged: %v at step %d", acked, w.Step)
	}
	// A late report, and one of a step that is not confirmed yet, which counts as of the last one.
	s.RecordHostAcks([]ruleset.HostAck{{Host: "x", Step: 1}, {Host: "y", Step: w.Step + 50}}, 3)
	group.waitForVersion(2)
	if s.HighestDiscoveryIndex() != 7 {
		t.Errorf("the highest index is %d, of 7 and 3", s.HighestDiscoveryIndex())
	}
	last, firstRead := w, BootClockMillis()
	for range 20 {
		<-s.Confirmations()
		now, ok := s.LastConfirmed()
		if !ok || now.Step < last.Step || now.ReadStartMillis < last.ReadStartMillis ||
			now.ReadStartMillis > BootClockMillis() {
			t.Errorf("from step %d, begun %.0f, to %d, %.0f (%v)", last.Step, last.ReadStartMillis, now.Step,
				now.ReadStartMillis, ok)
		}
		last = now
	}
	if last.ReadStartMillis < firstRead {
		t.Errorf("20 reads were confirmed, and the last began %.0f ms before the first",
			firstRead-last.ReadStartMillis)
	}
	if last.InForce.Number != 2 || last.Pending != nil {
		t.Errorf("confirmed in the end: %+v", last)
	}
}
