package raftlog

import (
	"fmt"
	"os"
	"testing"
	"time"

	"willowdeck/internal/ruleset"
)

// A node that lacks entries which the leader has compacted catches up by a snapshot.
func TestCatchUpBySnapshot(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	group.stopNode("h2")
	group.waitForLeader()
	group.fillUntilCompacted(group.leader())
	leader := group.leader()
	group.waitForOutcome(leader, group.propose(leader, 200))
	group.startNode("h2", nil)
	group.waitForVersion(2)
}

// Rules of 7,900 members are accepted one after the other, and a node that is back with an empty disk
// catches up by a snapshot of several of them.
func TestManyMembers(t *testing.T) {
	group := newTestGroup(t, 5)
	group.startAllNodes()
	group.waitForLeader()
	many := func(rate float64) *ruleset.Rules {
		r := testRules(rate)
		r.Needs = []string{ruleset.FeatureManyMembers}
		for i := len(r.Members); i < 7900; i++ {
			r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("g%04d", i),
				Host: fmt.Sprintf("host-%04d", i), Peers: fmt.Sprintf("10.0.%d.%d:9000", i>>8, i&255)})
		}
		return r
	}
	propose := func(s *RulesetNode, rate float64) time.Duration {
		began := time.Now()
		id, err := s.Propose(many(rate))
		if err != nil {
			t.Fatal(err)
		}
		if h := group.waitForOutcome(s, id); h.Rejection != "" {
			t.Fatalf("%+v", h)
		}
		return time.Since(began)
	}
	var took []time.Duration
	for i := range 2 {
		took = append(took, propose(group.nodes["h0"], float64(100+i)))
	}
	group.waitForVersion(2)
	group.stopNode("h4")
	took = append(took, propose(group.nodes["h0"], 200))
	group.fillUntilCompacted(group.nodes["h0"])
	requireNoError(t, os.Remove(group.storePath("h4")))
	group.startNode("h4", nil)
	back := group.waitForVersion(3)
	t.Logf("7,900 members: proposals answered after %v; one without a disk is back after %v", took, back)
}
