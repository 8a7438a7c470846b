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
	faultRuns = flag.Int("walks", 1, "how many walks of faults are drawn")
	faultSeed = flag.Int64("from", 1, "the first one's seed")
)

// Daemons are ended and started, links cut and healed, disks spoilt one at a time, and any daemon proposes at
// any moment, as a seed draws it. What was agreed stays one register, and at the end all have the same.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for i := range int64(*faultRuns) {
		if !t.Run(fmt.Sprint(*faultSeed+i), func(t *testing.T) { runRandomFaults(t, *faultSeed+i) }) {
			return
		}
	}
}

func runRandomFaults(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	n := 3 + 2*rng.Intn(2)
	p := newTestGroup(t, n)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	kept := map[string][]byte{} // older disks, from when nobody was being told anything
	rate, done, slowest := 100.0, map[string]int{}, time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		h := p.hosts[rng.Intn(n)]
		s := p.nodes[h.Name]
		what := []string{"propose", "propose", "propose", "end", "start", "cut", "heal", "part", "keep",
			"spoil"}[rng.Intn(10)]
		done[what]++
		switch {
		case what == "propose" && s != nil:
			rate++
			p.propose(s, rate)
		case what == "end" && s != nil && len(p.nodes) > n/2:
			p.stopNode(h.Name)
		case what == "start":
			p.startMissing()
		case what == "cut":
			p.mu.Lock()
			p.cutLinks[[2]string{h.Name, p.hosts[rng.Intn(n)].Address}] = true
			p.mu.Unlock()
		case what == "part":
			p.partition(h.Name)
		case what == "heal":
			p.heal()
		case what == "keep" && s == nil:
			if raw, err := os.ReadFile(p.storePath(h.Name)); err == nil {
				kept[h.Name] = raw
			}
		case what == "spoil": // one at a time: what a majority's disks have is what the council rests on
			p.waitUntilHealthy(2 * defaultHelloInterval)
			p.stopNode(h.Name)
			switch raw := kept[h.Name]; {
			case raw != nil && rng.Intn(2) == 0:
				requireNoError(t, os.WriteFile(p.storePath(h.Name), raw, 0o600))
			case rng.Intn(2) == 0:
				requireNoError(t, os.Remove(p.storePath(h.Name)))
			default:
				overwriteStretch(t, p.storePath(h.Name), 0.6*rng.Float64(), byte(rng.Intn(256)))
			}
			delete(kept, h.Name) // another disk's, from here on
			p.startNode(h.Name, nil)
			took := p.waitUntil("it is a member", func() bool { return p.nodes[h.Name].Status().State == "member" })
			slowest = max(slowest, took)
		}
		time.Sleep(time.Duration(rng.Intn(150)) * time.Millisecond)
	}
	p.waitUntilHealthy(0)
	var last ProposalOutcome
	for last.Version == 0 { // others' may come first, or wait
		rate++
		if x := p.leader(); x != nil {
			last = p.waitForOutcome(x, p.propose(x, rate))
		}
	}
	p.waitUntil("all have the last one", func() bool {
		for _, s := range p.nodes {
			if s.InForce().Number < last.Version || s.ActivationStatus().WantedProposal != "" {
				return false
			}
		}
		return true
	})
	marks := map[uint64][]string{}
	for _, s := range p.nodes {
		a := s.ActivationStatus()
		marks[a.Version] = append(marks[a.Version], a.Digest)
	}
	for v, all := range marks {
		if slices.Sort(all); len(slices.Compact(all)) > 1 {
			t.Errorf("version %d is %v", v, all)
		}
	}
	t.Logf("%d daemons, %v, %d versions, back with another disk after at most %v", n, done, last.Version,
		slowest)
}

// missing starts those that are down.
func (p *testGroup) startMissing() {
	for _, h := range p.hosts {
		if p.nodes[h.Name] == nil {
			p.startNode(h.Name, nil)
		}
	}
}

// whole has all up and in touch, for a while.
func (p *testGroup) waitUntilHealthy(lasts time.Duration) {
	p.t.Helper()
	p.heal()
	p.startMissing()
	p.waitUntil("all are members, and one leads", func() bool {
		for _, s := range p.nodes {
			if v := s.Status(); v.State != "member" {
				return false
			}
		}
		return p.leader() != nil
	})
	time.Sleep(lasts)
}
