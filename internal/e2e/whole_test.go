package e2e

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/history"
)

var (
	long      = flag.Duration("long", 0, "for how long faults are drawn; 20 instances on five hosts then")
	seed      = flag.Int64("seed", ciSeed, "that the schedule is drawn by")
	replay    = flag.String("replay", "", "a file with a schedule to play instead")
	instances = flag.Int("instances", 0, "how many there are, on five hosts; fewer than five on three")
	shrink    = flag.Duration("shrink", 0, "for how long a schedule that breaks something is made smaller")
	keep      = flag.String("keep", "", "a directory that the records are copied to")
)

const (
	ciSpan = 10000 // ms
	ciSeed = 37    // with a torn disk, a split host, a worker's cold return, stalls and kills of each kind
	perS   = 200.0 // txns asked for
)

// size is how many hosts there are, and instances at each.
func size() (hosts, each int) {
	n := *instances
	switch {
	case n == 0 && *long == 0:
		return 3, 2
	case n == 0:
		n = 20
	}
	if n < 10 {
		return 3, max(n/3, 1)
	}
	return 5, n / 5
}

// outcome is a run and what came of it.
type outcome struct {
	*evidence
	began int64 // when the schedule did
	first int64 // when the first break was
}

// run plays a schedule on all of it and checks the record.
func run(t faultinject.T, s faultinject.Schedule, log func(string, ...any)) (out outcome) {
	t.Helper()
	n, k := 0, 0
	for _, end := range s.Ends { // also of one that is replayed
		switch end[0] {
		case 'h':
			n++
		case 'g':
			k++
		}
	}
	p := gather(t, n, k/n, s.Seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(p)
	loaded, changed, over := make(chan bool), make(chan int), make(chan struct{})
	watch := &soak{p: p}
	go func() { c.run(ctx, perS, s.Seed); close(loaded) }()
	go func() { changed <- stage{p, p.rig}.changes(s.Seed, over) }()
	watched := make(chan bool)
	go func() {
		watch.run(ctx, max(time.Duration(s.Span)*time.Millisecond/60, time.Second))
		close(watched)
	}()
	out.began = history.Now()
	err := (&faultinject.Player{Stage: stage{p, p.rig}, Record: p.log}).Play(ctx, s)
	if err != nil {
		t.Errorf("not all was done: %v", err)
	}
	close(over)
	log("%d changes proposed", <-changed)
	began := time.Now()
	p.well()
	log("all leased %.1f s after the last fault's rest", time.Since(began).Seconds())
	cancel()
	<-loaded
	<-watched
	p.settled()
	time.Sleep(waits + 2*bunched*time.Millisecond) // what is owed to the last client is due before the end
	p.log.Write(history.Event{Kind: history.Faults, Says: "the end"})
	if *keep != "" {
		to := filepath.Join(*keep, fmt.Sprint(s.Seed, "-", time.Now().Unix()))
		p.must(os.CopyFS(to, os.DirFS(p.records)))
		for _, h := range p.hosts {
			p.must(os.WriteFile(filepath.Join(to, h.name+".log"), []byte(p.rig.Processes[h.name].Output()), 0o600))
		}
	}
	out.evidence = p.gathered()
	log("%s\n%s", out.figures(), watch)
	for _, check := range checks {
		v := check.run(out.evidence)
		log("%s: %d breaks, %d seen; %s", check.name, v.Count, v.Seen, v.says)
		if v.Seen == 0 {
			t.Errorf("%s: has looked at nothing", check.name)
		}
		if v.Count == 0 {
			continue
		}
		v.Violations = v.Violations[:min(len(v.Violations), 5)]
		for _, b := range v.Violations {
			for _, o := range b.Rests {
				if err, failed := c.failed.Load(o.Txn); failed && o.Kind == history.Asks {
					log("%s: %v", o.Txn, err)
				}
			}
		}
		t.Errorf("%s: %v", check.name, v.Result)
		if len(v.Violations) > 0 && (out.first == 0 || v.Violations[0].At < out.first) {
			out.first = v.Violations[0].At
		}
	}
	return out
}

// settled waits until all that was lent is paid back.
func (p *party) settled() {
	p.t.Helper()
	faultinject.Until(p.t, 30*time.Second, "all is paid back", func() bool {
		sum := int64(0)
		for _, h := range p.hosts {
			for _, i := range h.instances() {
				n, _ := faultinject.Figure(i.Control, "svc.credit.outstanding")
				sum += n
			}
		}
		return sum == 0
	})
}

// figures counts what was done.
func (e *evidence) figures() string {
	n := map[string]int{}
	acts := map[string]bool{"cut": true, "stall": true, "crash": true, "spoil": true, "shape": true}
	for _, o := range e.Events {
		switch o.Kind {
		case history.Died:
			n[map[byte]string{'g': "instances", 'h': "daemons", 'w': "workers"}[o.Peer[0]]+" killed"]++
		case history.Faults:
			if f := strings.Fields(o.Says); len(f) > 2 && acts[f[2]] {
				n["acts: "+f[2]]++
			}
		case history.Asks, history.Sends, history.Got, history.Lends, history.Repays, history.Takes:
			n[string(o.Kind)]++
		case history.Ends:
			n["txns "+o.Says]++
		}
	}
	n["versions"] = len(e.rules)
	n["events"] = len(e.Events)
	var all []string
	for name, k := range n {
		all = append(all, fmt.Sprintf("%s %d", name, k))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// schedule is what is to be played.
func schedule(t *testing.T) faultinject.Schedule {
	t.Helper()
	if *replay != "" {
		text, err := os.ReadFile(*replay)
		if err != nil {
			t.Fatal(err)
		}
		s, err := faultinject.Parse(string(text))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	n, k := size()
	return draw(*seed, n, k, int(max(*long/time.Millisecond, ciSpan)))
}

// All of it together under faults that a seed draws, then checked; and the checks, shown to bite on the very
// record. A schedule that breaks something is printed, and made smaller where there is time for it.
func TestWhole(t *testing.T) {
	s := schedule(t)
	t.Logf("schedule:\n%s", s)
	var out outcome
	// All has ended before it is played again.
	broken := faultinject.Try(t, func(t faultinject.T) { out = run(t, s, t.Logf) })
	if broken == nil {
		planted(t, out.evidence)
		return
	}
	t.Error(broken)
	if out.first > 0 {
		s = around(s, int((out.first-out.began)/1e6))
		t.Logf("around the first break:\n%s", s)
	}
	end := time.Now().Add(*shrink)
	if *shrink == 0 {
		return
	}
	small := faultinject.Shrink(s, func(s faultinject.Schedule) bool {
		if time.Now().After(end) {
			return false
		}
		err := faultinject.Try(t, func(t faultinject.T) { run(t, s, t.Logf) })
		t.Logf("%d steps: %v", len(s.Steps), err != nil)
		return err != nil
	})
	t.Logf("smaller:\n%s", small)
}

// soak samples what processes hold.
type soak struct {
	p       *party
	samples []sample
}

type sample struct {
	at             time.Duration
	daemon, member [2]int // MB resident and descriptors, the most of any
	store          int64  // bytes of a daemon's store, the most of any
	routines       int    // of the rig itself
}

func (s *soak) run(ctx context.Context, every time.Duration) {
	began := time.Now()
	for {
		x := sample{at: time.Since(began), routines: runtime.NumGoroutine()}
		for _, h := range s.p.hosts {
			if d := s.p.rig.Processes[h.name]; d.Running() {
				x.daemon = most(x.daemon, d.Pid())
			}
			for _, i := range h.instances() {
				x.member = most(x.member, i.Pid)
			}
			size := int64(0)
			files, _ := filepath.Glob(filepath.Join(h.dir, "store", "*"))
			for _, f := range files {
				if info, err := os.Stat(f); err == nil {
					size += info.Size()
				}
			}
			x.store = max(x.store, size)
		}
		s.samples = append(s.samples, x)
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

// most takes a process's memory and descriptors in.
func most(of [2]int, pid int) [2]int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if f := strings.Fields(string(raw)); len(f) > 1 {
		pages := 0
		_, _ = fmt.Sscan(f[1], &pages)
		of[0] = max(of[0], pages*os.Getpagesize()>>20)
	}
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	of[1] = max(of[1], len(all))
	return of
}

func (s *soak) String() string {
	var b strings.Builder
	fmt.Fprint(&b, "| s | daemon MB | daemon fds | store kB | instance MB | instance fds | goroutines here |\n")
	for i, x := range s.samples {
		if i%max(len(s.samples)/10, 1) == 0 {
			fmt.Fprintf(&b, "| %.0f | %d | %d | %d | %d | %d | %d |\n", x.at.Seconds(), x.daemon[0], x.daemon[1],
				x.store>>10, x.member[0], x.member[1], x.routines)
		}
	}
	return b.String()
}
