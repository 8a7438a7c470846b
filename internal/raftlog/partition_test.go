package raftlog

import (
	"strings"
	"testing"
)

// A minority confirms no reads, so that its leases expire, and accepts no proposal. After the partition it
// catches up, and its proposal is submitted on top of the version that it finds.
func TestMinorityPartition(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	minority := group.leader()
	name := minority.config.HostName
	minority.ProcessStarted(4711, false)
	group.waitUntil("a lease", func() bool { _, ok := minority.RenewLease(4711, "g", 0, -1); return ok })
	group.partition(name)
	group.waitUntil("no lease", func() bool { _, ok := minority.RenewLease(4711, "g", 0, -1); return !ok })
	var majority *RulesetNode
	group.waitUntil("another leader", func() bool {
		for n, s := range group.nodes {
			if v := s.Status(); n != name && v.LeaderName == n {
				majority = s
			}
		}
		return majority != nil
	})
	id := group.propose(minority, 900)
	if h := group.waitForOutcome(majority, group.propose(majority, 200)); h.Version != 2 {
		t.Fatalf("%+v", h)
	}
	if minority.InForce().Number != 1 || len(minority.ProposalOutcomes()) > 1 {
		t.Errorf("the minority has version %d, %+v", minority.InForce().Number, minority.ProposalOutcomes())
	}
	group.heal()
	if h := group.waitForOutcome(minority, id); h.BaseVersion != 2 || h.Version != 3 {
		t.Errorf("%+v", h)
	}
	group.waitForVersion(3)
}

// A leader that receives and can't send is replaced, and each version is accepted once.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	leader := group.leader()
	for _, h := range group.hosts { // it receives from all and reaches none
		if h.Name != leader.config.HostName {
			group.mu.Lock()
			group.cutLinks[[2]string{leader.config.HostName, h.Address}] = true
			group.mu.Unlock()
		}
	}
	var other *RulesetNode
	group.waitUntil("another leader", func() bool {
		for n, s := range group.nodes {
			if v := s.Status(); n != leader.config.HostName && v.LeaderName == n {
				other = s
			}
		}
		return other != nil
	})
	if h := group.waitForOutcome(other, group.propose(other, 200)); h.Version != 2 {
		t.Errorf("%+v", h)
	}
	group.heal()
	group.waitForVersion(2)
}

// Two nodes of five have no leader and report it. Once the others are back, all go on.
func TestMajorityLost(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 5)
	for _, n := range []string{"h0", "h1", "h2"} {
		group.stopNode(n)
	}
	group.waitUntil("no leader", func() bool {
		a, b := group.nodes["h3"].Status(), group.nodes["h4"].Status()
		return a.State == "no leader" && b.State == "no leader" && strings.Contains(a.Reason, "majority")
	})
	id := group.propose(group.nodes["h3"], 200)
	for _, n := range []string{"h0", "h1", "h2"} {
		group.startNode(n, nil)
	}
	if h := group.waitForOutcome(group.nodes["h3"], id); h.Version != 2 {
		t.Errorf("%+v", h)
	}
	group.waitForVersion(2)
}
