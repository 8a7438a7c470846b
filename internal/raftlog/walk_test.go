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
	walks = flag.Int("walks", 1, "how many walks of faults are drawn")
	from  = flag.Int64("from", 1, "the first one's seed")
)

// Daemons are ended and started, links cut and healed, disks spoilt one at a time, and any daemon proposes at
// any moment, as a seed draws it. What was agreed stays one register, and at the end all have the same.
func TestWalks(t *testing.T) {
	t.Parallel()
	for i := range int64(*walks) {
		if !t.Run(fmt.Sprint(*from+i), func(t *testing.T) { walk(t, *from+i) }) {
			return
		}
	}
}

func walk(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	n := 3 + 2*rng.Intn(2)
	p := newParley(t, n)
	p.startAll()
	p.until("a leader", func() bool { return p.leader() != nil })
	p.outcome(p.all["h0"], p.propose(p.all["h0"], 100))
	p.agree(1)
	kept := map[string][]byte{} // older disks, from when nobody was being told anything
	rate, done, slowest := 100.0, map[string]int{}, time.Duration(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		h := p.hosts[rng.Intn(n)]
		s := p.all[h.Name]
		what := []string{"propose", "propose", "propose", "end", "start", "cut", "heal", "part", "keep",
			"spoil"}[rng.Intn(10)]
		done[what]++
		switch {
		case what == "propose" && s != nil:
			rate++
			p.propose(s, rate)
		case what == "end" && s != nil && len(p.all) > n/2:
			p.end(h.Name)
		case what == "start":
			p.missing()
		case what == "cut":
			p.mu.Lock()
			p.cut[[2]string{h.Name, p.hosts[rng.Intn(n)].Address}] = true
			p.mu.Unlock()
		case what == "part":
			p.part(h.Name)
		case what == "heal":
			p.heal()
		case what == "keep" && s == nil:
			if raw, err := os.ReadFile(p.store(h.Name)); err == nil {
				kept[h.Name] = raw
			}
		case what == "spoil": // one at a time: what a majority's disks have is what the council rests on
			p.whole(2 * greetEach)
			p.end(h.Name)
			switch raw := kept[h.Name]; {
			case raw != nil && rng.Intn(2) == 0:
				must(t, os.WriteFile(p.store(h.Name), raw, 0o600))
			case rng.Intn(2) == 0:
				must(t, os.Remove(p.store(h.Name)))
			default:
				scribble(t, p.store(h.Name), 0.6*rng.Float64(), byte(rng.Intn(256)))
			}
			delete(kept, h.Name) // another disk's, from here on
			p.start(h.Name, nil)
			took := p.until("it is a member", func() bool { return p.all[h.Name].View().State == "member" })
			slowest = max(slowest, took)
		}
		time.Sleep(time.Duration(rng.Intn(150)) * time.Millisecond)
	}
	p.whole(0)
	var last Heard
	for last.Number == 0 { // others' may come first, or wait
		rate++
		if x := p.leader(); x != nil {
			last = p.outcome(x, p.propose(x, rate))
		}
	}
	p.until("all have the last one", func() bool {
		for _, s := range p.all {
			if s.InForce().Number < last.Number || s.Agreement().Wanted != "" {
				return false
			}
		}
		return true
	})
	marks := map[uint64][]string{}
	for _, s := range p.all {
		a := s.Agreement()
		marks[a.Version] = append(marks[a.Version], a.Mark)
	}
	for v, all := range marks {
		if slices.Sort(all); len(slices.Compact(all)) > 1 {
			t.Errorf("version %d is %v", v, all)
		}
	}
	t.Logf("%d daemons, %v, %d versions, back with another disk after at most %v", n, done, last.Number, slowest)
}

// missing starts those that are down.
func (p *parley) missing() {
	for _, h := range p.hosts {
		if p.all[h.Name] == nil {
			p.start(h.Name, nil)
		}
	}
}

// whole has all up and in touch, for a while.
func (p *parley) whole(lasts time.Duration) {
	p.t.Helper()
	p.heal()
	p.missing()
	p.until("all are members, and one leads", func() bool {
		for _, s := range p.all {
			if v := s.View(); v.State != "member" {
				return false
			}
		}
		return p.leader() != nil
	})
	time.Sleep(lasts)
}
