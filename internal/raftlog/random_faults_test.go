package raftlog

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"
)

var (
	faultRuns = flag.Int("walks", 1, "how many runs of random faults are drawn")
	faultSeed = flag.Int64("from", 1, "the first one's seed")
)

// Nodes are stopped and started, links cut and healed, disks damaged one at a time, and any node proposes
// at any moment, as drawn by a seed. The versions in force stay linearizable, and in the end all nodes have
// the same.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for i := range int64(*faultRuns) {
		if !t.Run(fmt.Sprint(*faultSeed+i), func(t *testing.T) { runRandomFaults(t, *faultSeed+i) }) {
			return
		}
	}
}

// runRandomFaults runs the faults that a seed draws for three seconds.
func runRandomFaults(t *testing.T, seed int64) {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	n := 3 + 2*rng.Intn(2)
	group := newTestGroup(t, n)
	group.startAllNodes()
	group.waitUntil("a leader", func() bool { return group.leader() != nil })
	group.waitForOutcome(group.nodes["h0"], group.propose(group.nodes["h0"], 100))
	group.waitForVersion(1)
	copies := map[string][]byte{} // older copies of stopped nodes' disks
	rate, done, slowest := 100.0, map[string]int{}, time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		h := group.hosts[rng.Intn(n)]
		s := group.nodes[h.Name]
		fault := []string{"propose", "propose", "propose", "stop", "start", "cut", "heal", "partition", "copy",
			"damage"}[rng.Intn(10)]
		done[fault]++
		switch {
		case fault == "propose" && s != nil:
			rate++
			group.propose(s, rate)
		case fault == "stop" && s != nil && len(group.nodes) > n/2:
			group.stopNode(h.Name)
		case fault == "start":
			group.startMissing()
		case fault == "cut":
			group.mu.Lock()
			group.cutLinks[[2]string{h.Name, group.hosts[rng.Intn(n)].Address}] = true
			group.mu.Unlock()
		case fault == "partition":
			group.partition(h.Name)
		case fault == "heal":
			group.heal()
		case fault == "copy" && s == nil:
			if raw, err := os.ReadFile(group.storePath(h.Name)); err == nil {
				copies[h.Name] = raw
			}
		case fault == "damage": // one at a time: the group relies on the disks of a majority
			group.waitUntilHealthy(2 * defaultHelloInterval)
			group.stopNode(h.Name)
			switch raw := copies[h.Name]; {
			case raw != nil && rng.Intn(2) == 0:
				requireNoError(t, os.WriteFile(group.storePath(h.Name), raw, 0o600))
			case rng.Intn(2) == 0:
				requireNoError(t, os.Remove(group.storePath(h.Name)))
			default:
				overwriteStretch(t, group.storePath(h.Name), 0.6*rng.Float64(), byte(rng.Intn(256)))
			}
			delete(copies, h.Name) // of a disk that is not used any more
			group.startNode(h.Name, nil)
			took := group.waitUntil("it is a member",
				func() bool { return group.nodes[h.Name].Status().State == "member" })
			slowest = max(slowest, took)
		}
		time.Sleep(time.Duration(rng.Intn(150)) * time.Millisecond)
	}
	group.waitUntilHealthy(0)
	var last ProposalOutcome
	for last.Version == 0 { // another one may come first, or be pending
		rate++
		if x := group.leader(); x != nil {
			last = group.waitForOutcome(x, group.propose(x, rate))
		}
	}
	group.waitUntil("all have the last one", func() bool {
		for _, s := range group.nodes {
			if s.InForce().Number < last.Version || s.ActivationStatus().WantedProposal != "" {
				return false
			}
		}
		return true
	})
	digests := map[uint64][]string{}
	for _, s := range group.nodes {
		a := s.ActivationStatus()
		digests[a.Version] = append(digests[a.Version], a.Digest)
	}
	for v, all := range digests {
		if slices.Sort(all); len(slices.Compact(all)) > 1 {
			t.Errorf("version %d has the digests %v", v, all)
		}
	}
	t.Logf("%d daemons, %v, %d versions, back with another disk after at most %v", n, done, last.Version,
		slowest)
}

// startMissing starts the nodes that are down.
func (group *testGroup) startMissing() {
	for _, h := range group.hosts {
		if group.nodes[h.Name] == nil {
			group.startNode(h.Name, nil)
		}
	}
}

// waitUntilHealthy heals all links, starts all nodes, and waits until all are members and one leads, and for
// some time more.
func (group *testGroup) waitUntilHealthy(pause time.Duration) {
	group.t.Helper()
	group.heal()
	group.startMissing()
	group.waitUntil("all are members, and one leads", func() bool {
		for _, s := range group.nodes {
			if v := s.Status(); v.State != "member" {
				return false
			}
		}
		return group.leader() != nil
	})
	time.Sleep(pause)
}
