package raftlog

import (
	"fmt"
	"strings"
	"testing"
)

// Groups of one, three and five nodes bootstrap and accept proposals. When the leader stops between the
// commit of its proposal and the response, the version is in force once, and another node leads.
func TestProposalsSurviveLeaderLoss(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			group := newTestGroup(t, n)
			group.startAllNodes()
			group.waitForLeader()
			first := group.nodes["h0"]
			if h := group.waitForOutcome(first, group.propose(first, 100)); h.Rejection != "" || h.Version != 1 {
				t.Fatalf("%+v", h)
			}
			group.waitForVersion(1)
			if n == 1 {
				return
			}
			leader := group.leader()
			id := group.propose(leader, 200)
			group.waitUntil("another node has applied the entry", func() bool {
				for _, s := range group.nodes {
					if s != leader && s.InForce().Number == 2 {
						return true
					}
				}
				return false
			})
			group.stopNode(leader.config.HostName) // it may or may not have sent the commit
			took := group.waitUntil("another leader", func() bool { return group.leader() != nil })
			group.waitForVersion(2)
			t.Logf("%s: another leader after %v", id, took)
			other := group.leader()
			if h := group.waitForOutcome(other, group.propose(other, 300)); h.Version != 3 {
				t.Errorf("%+v", h)
			}
			group.startNode(leader.config.HostName, nil)
			group.waitForVersion(3)
		})
	}
}

// Rules that a lagging node takes to be in force are proposed all the same. Rules that are in force are
// not, and withdraw a pending version.
func TestProposalFromLaggingNode(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	group.partition("h2")
	group.waitForOutcome(group.nodes["h0"], group.propose(group.nodes["h0"], 200))
	id := group.propose(group.nodes["h2"], 100) // the rules that it takes to be in force
	group.heal()
	if h := group.waitForOutcome(group.nodes["h2"], id); h.Version != 3 || h.BaseVersion != 2 {
		t.Errorf("%+v", h)
	}
	group.waitForVersion(3)
	if h := group.waitForOutcome(group.nodes["h1"], group.propose(group.nodes["h1"], 100)); h.Version != 3 ||
		h.Rejection != "" {
		t.Errorf("%+v", h)
	}
	low := testRules(100)
	low.Plans[1].CeilingRate = 10 // less than the fallback that g0 may act on, of which nobody is notified
	group.nodes["h0"].ProcessStarted(1, true)
	id, err := group.nodes["h1"].Propose(low)
	requireNoError(t, err)
	if h := group.waitForOutcome(group.nodes["h1"], id); h.Version != 4 || h.PendingReason == "" {
		t.Errorf("%+v", h)
	}
	group.waitForOutcome(group.nodes["h2"], group.propose(group.nodes["h2"], 100))
	if a := group.nodes["h2"].ActivationStatus(); a.Version != 3 || a.PendingVersion != 0 {
		t.Errorf("%+v", a)
	}
}

// Of two concurrent proposals exactly one is accepted, and the other is rejected with a reason.
func TestConcurrentProposals(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	version := uint64(1)
	for round := range 5 {
		nodeA, nodeB := group.nodes["h1"], group.nodes["h2"]
		idA, idB := group.propose(nodeA, float64(200+round)), group.propose(nodeB, float64(300+round))
		outcomeA, outcomeB := group.waitForOutcome(nodeA, idA), group.waitForOutcome(nodeB, idB)
		switch {
		case outcomeA.BaseVersion != outcomeB.BaseVersion: // one came after the other
			version += 2
		case (outcomeA.Rejection == "") == (outcomeB.Rejection == "") ||
			!strings.Contains(outcomeA.Rejection+outcomeB.Rejection, "base"):
			t.Errorf("round %d: %+v, %+v", round, outcomeA, outcomeB)
		default:
			version++
		}
		group.waitForVersion(version)
	}
}
