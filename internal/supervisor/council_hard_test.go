package supervisor

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/history"
)

var (
	long  = flag.Duration("long", 0, "all hard cases of the council, and then drawn ones for so long")
	first = flag.Int64("seed", 1, "of the first drawn one")
)

const (
	promised = 2000.0 // ms for which two gatekeepers may go by rules that contradict
	between  = 300.0  // ms from a decision to the worker's line of it, on a busy machine
)

// trial is an assembly under load, whose records are checked at its end.
type trial struct {
	*assembly
	rig    *history.Log // what the rig does
	loaded chan *loadgen.Report
	all    []workload.Arrival
}

// hard leaves a case to the long form.
func hard(t *testing.T) {
	t.Helper()
	if *long == 0 {
		t.Skip("-args -long 1m")
	}
}

// try starts hosts and waits until all are leased; instances are k each.
func try(t *testing.T, n, k int, change func(*ruleset.Rules)) *trial {
	t.Helper()
	x := ready(t, n, k, change)
	x.start()
	x.until(1, n*k, x.hosts...)
	return x
}

// ready has all there but the daemons.
func ready(t *testing.T, n, k int, change func(*ruleset.Rules)) *trial {
	t.Helper()
	x := &trial{assembly: assemble(t, n, k, change)}
	record := func(name string) *history.Log {
		l, err := history.Open(filepath.Join(x.records, name+".jsonl"), name, 1)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	x.rig = record("rig")
	for _, w := range x.workers {
		w.Record = record(w.Name)
	}
	return x
}

// targets are where the members of some hosts take clients.
func (x *trial) targets(hosts ...*host) (all []string) {
	for place, m := range x.rules.Members {
		for _, h := range hosts {
			if m.Host == h.name {
				all = append(all, fmt.Sprintf("%s:%d", h.ip, x.first+2+place))
			}
		}
	}
	return all
}

// loads begins a load on all members: half of it one customer's that asks for more than its ceiling at all.
func (x *trial) loads(span time.Duration) {
	for at := 0.0; at < float64(span/time.Millisecond); at += 5 {
		a := workload.Arrival{At: at, Customer: len(x.all) % 7, Units: 1, Set: len(x.all)}
		if len(x.all)%2 == 0 {
			a.Customer, a.Plan = 100, 1
		}
		x.all = append(x.all, a)
	}
	targets := x.targets(x.hosts...)
	j := &loadgen.Job{
		Arrivals: x.all,
		Targets:  targets,
		Spread:   len(targets),
		Plans:    []string{"basic", "capped"},
		Most:     500,
		Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 400 * time.Millisecond}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.loaded = make(chan *loadgen.Report, 1)
	x.t.Cleanup(cancel)
	go func() {
		r, err := j.Run(ctx)
		if err != nil && ctx.Err() == nil {
			x.t.Error(err)
		}
		x.loaded <- r
	}()
}

// part cuts hosts and their instances off from all others, both ways; join makes all whole.
func (x *trial) part(hosts ...*host) { x.links(hosts, faultinject.Silent) }
func (x *trial) join(hosts ...*host) { x.links(hosts, faultinject.Whole) }

func (x *trial) links(hosts []*host, how faultinject.Cut) {
	for _, h := range hosts {
		for _, o := range x.hosts {
			if slices.Contains(hosts, o) {
				continue
			}
			x.net.Part(h.name, o.name, how)
			for _, m := range x.rules.Members {
				for _, n := range x.rules.Members {
					if m.Host == h.name && n.Host == o.name {
						x.net.Part(m.Name, n.Name, how)
					}
				}
			}
		}
	}
	x.rig.Write(history.Event{Kind: history.Faults, Says: fmt.Sprint(how)})
}

func (x *trial) kill(h *host) {
	x.t.Helper()
	if err := h.Kill(); err != nil {
		x.t.Fatal(err)
	}
	x.rig.Write(history.Event{Kind: history.Died, Peer: h.name})
}

func (x *trial) back(h *host) {
	x.t.Helper()
	if err := h.Restart(nil); err != nil {
		x.t.Fatal(err)
	}
}

// version gives the version in force at a host's daemon; 0 where it does not say.
func (h *host) version() uint64 {
	s, _ := h.sitting()
	return s.Rules.Version
}

// ceilings gives rules with another ceiling of the capped plan.
func (x *trial) ceilings(rate, depth float64) ruleset.Rules {
	r := x.rules
	r.Plans = slices.Clone(r.Plans)
	r.Plans[1].CeilingRate, r.Plans[1].CeilingDepth = rate, depth
	return r
}

func (x *trial) quota(rate float64) ruleset.Rules {
	r := x.rules
	r.Plans = slices.Clone(r.Plans)
	r.Plans[0].Rate = rate
	return r
}

// enforced proposes rules at a host and waits until its daemon has them in force; how long that took.
func (x *trial) enforced(h *host, r ruleset.Rules) time.Duration {
	x.t.Helper()
	began := time.Now()
	h.propose(r)
	x.rules = r
	for s, ok := h.sitting(); !ok || s.Rules.Digest != raftlog.RulesDigest(&r); s, ok = h.sitting() {
		if time.Since(began) > 20*time.Second {
			log, _ := os.ReadFile(h.Log())
			x.t.Fatalf("%s has not what it proposed in force: %+v\n%s", h.name, s, log)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// check ends the load and checks all that was written down: versions are one register, no two gatekeepers
// go by rules that contradict for longer than is promised, and no customer goes beyond a ceiling by what
// the workers themselves were sent.
func (x *trial) check(ceilings map[uint64]ruleset.Rules) (sent int) {
	x.t.Helper()
	if x.loaded != nil {
		r := <-x.loaded
		if r == nil {
			x.t.Fatal("no load")
		}
		x.t.Logf("%v", r.Counts["check"])
	}
	record, err := history.Read(x.records)
	if err != nil {
		x.t.Fatal(err)
	}
	capped := x.capped()
	bare := map[string]bool{}         // sent by no version: under no ceiling, then
	for i, e := range record.Events { // the names of the modes are the instances' own
		if e.Kind == history.Sends && e.Mode == ruleset.ModeNoLease.String() {
			bare[e.Txn+e.Worker] = true
			if record.Events[i].Version = 0; capped[e.Txn] {
				x.t.Errorf("%v: sent bare, under a ceiling", e)
			}
		}
		if e.Kind == history.Got && bare[e.Txn+e.Worker] {
			record.Events[i].Version = 0
		}
		switch e.Mode {
		case ruleset.ModeLeased.String():
			record.Events[i].Mode = history.Leased
		case ruleset.ModeFallback.String():
			record.Events[i].Mode = history.Fallback
		case ruleset.ModeNoLease.String():
			record.Events[i].Mode = history.Bare
		}
	}
	if v := history.Versions(record); v.Count > 0 || v.Reads == 0 || v.Checker == "Illegal" {
		x.t.Errorf("versions: %+v", v.Found)
	} else {
		x.t.Logf("%d versions, %d reads, porcupine: %s", v.InForce, v.Reads, v.Checker)
	}
	c := history.Contradiction(record, history.Leases(ceilings), promised, between)
	if c.Count > 0 || c.Spans == 0 {
		x.t.Errorf("contradictions: %+v", c.Found)
	}
	x.t.Logf("longest contradiction %.0f ms, submission after its version %.0f ms, %d spans", c.Longest, c.Lag,
		c.Spans)
	over, sent := x.beyond(record, ceilings)
	if over > 0 {
		x.t.Errorf("%.1f units beyond the ceilings, of %d", over, sent)
	}
	tight := map[uint64]ruleset.Rules{} // and the check bites
	for n, r := range ceilings {
		r.Plans = slices.Clone(r.Plans)
		r.Plans[1].CeilingRate, r.Plans[1].CeilingDepth = r.Plans[1].CeilingRate/4, r.Plans[1].CeilingDepth/4
		tight[n] = r
	}
	if over, _ := x.beyond(record, tight); over <= 0 && sent > 100 {
		x.t.Errorf("%d sent under a quarter of the ceilings, and the check finds nothing", sent)
	}
	return sent
}

// capped are the txns of the customer with a ceiling, as the workers know them.
func (x *trial) capped() map[string]bool {
	capped := map[string]bool{}
	for _, w := range x.workers {
		for _, got := range w.Got() {
			n := 0
			_, query, _ := strings.Cut(got.Target, "?n=")
			if _, err := fmt.Sscan(query, &n); err == nil && n < len(x.all) && x.all[n].Plan == 1 {
				capped[got.ID] = true
			}
		}
	}
	return capped
}

// beyond tells by how many units what workers were sent went beyond the ceiling in force. The slack is
// what its rate gives in 500 ms, as in TestChaos. A higher ceiling holds from when it is in force, a lower
// one from so long after that as is promised.
func (x *trial) beyond(record history.Record, rules map[uint64]ruleset.Rules) (most float64, sent int) {
	capped := x.capped()
	type turn struct {
		at      int64
		version uint64
		txn     bool
	}
	var turns []turn
	first := map[uint64]bool{}
	for _, e := range record.Events {
		if e.Kind == history.Taken && e.Says == "" && !first[e.Version] {
			first[e.Version] = true
			turns = append(turns, turn{at: e.At, version: e.Version})
		}
		if e.Kind == history.Got && capped[e.Txn] {
			turns = append(turns, turn{at: e.At, txn: true})
		}
	}
	rate, room, level, last := 0.0, 0.0, 0.0, int64(0)
	var lower []turn
	set := func(r ruleset.Rules) {
		full := r.Plans[1].CeilingDepth + r.Plans[1].CeilingRate*0.5
		level += max(full-room, 0)
		rate, room = r.Plans[1].CeilingRate, full
		level = min(level, room)
	}
	at := func(now int64) {
		level, last = min(level+float64(now-last)/1e9*rate, room), now
	}
	for _, t := range turns {
		for len(lower) > 0 && lower[0].at <= t.at {
			at(lower[0].at)
			set(rules[lower[0].version])
			lower = lower[1:]
		}
		at(t.at)
		switch r := rules[t.version]; {
		case t.txn:
			sent++
			level--
			most = max(most, -level)
		case len(r.Plans) < 2:
			x.t.Fatalf("version %d is not known to the check", t.version)
		case r.Plans[1].CeilingRate >= rate:
			lower = nil
			set(r)
		default:
			lower = append(lower, turn{at: t.at + int64(promised*1e6), version: t.version})
		}
	}
	return most, sent
}

// A change while the proposer dies between commit and telling, at two of three or one that leads: it is in
// force once for all, and its own instances are told by nobody until it is back.
func TestProposerDies(t *testing.T) {
	t.Parallel()
	x := try(t, 3, 2, nil)
	x.loads(7 * time.Second)
	h := x.leader()
	others := slices.DeleteFunc(slices.Clone(x.hosts), func(o *host) bool { return o == h })
	next := x.ceilings(ceiling*0.75, depth*0.75)
	h.propose(next)
	faultinject.Until(t, 5*time.Second, "another has it", func() bool {
		return others[0].version() == 2 || others[1].version() == 2
	})
	x.kill(h)
	began := time.Now()
	x.until(2, 4, others...)
	x.leader()
	t.Logf("the others go on after %v", time.Since(began))
	x.back(h)
	t.Logf("all leased %v after the proposer is back", x.until(2, 6, x.hosts...))
	if n := x.check(map[uint64]ruleset.Rules{1: x.rules, 2: next}); n < 100 {
		t.Errorf("%d sent under the ceiling", n)
	}
}

// A side of one host keeps serving while the other two take the ceiling down, then up.
func TestMinorityServes(t *testing.T) {
	hard(t)
	x := try(t, 3, 2, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 4000 })
	x.loads(14 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	few, many := x.hosts[2], x.hosts[:2]
	cut := history.Now()
	x.part(few)
	rules[2] = x.ceilings(ceiling/4, depth/4) // less than the fallback's half: it has to wait
	t.Logf("down, with a host cut off: in force after %v", x.enforced(many[0], rules[2]))
	x.until(2, 4, many...)
	for _, i := range faultinject.Instances(few.run()) {
		if f, ok := look(i); !ok || f.version != 1 || f.mode == int64(ruleset.ModeLeased) {
			t.Errorf("%s, cut off, goes by %+v", i.Name, f)
		}
	}
	rules[3] = x.ceilings(ceiling, depth)
	t.Logf("up again: in force after %v", x.enforced(many[1], rules[3]))
	x.until(3, 4, many...)
	x.join(few)
	t.Logf("healed: all leased after %v", x.until(3, 6, x.hosts...))
	if n := x.check(rules); n < 150 {
		t.Errorf("%d sent under the ceiling", n)
	}
	record, err := history.Read(x.records)
	if err != nil {
		t.Fatal(err)
	}
	alone := 0
	for _, e := range record.Events {
		if e.Kind == history.Sends && (e.Who == "g4" || e.Who == "g5") && e.At > cut+2e9 && e.Version == 1 {
			alone++
		}
	}
	if alone < 20 {
		t.Errorf("cut off, its instances sent %d", alone)
	}
}

// Links that carry one way alone, and then the other, each time with a change.
func TestOneWayLinks(t *testing.T) {
	hard(t)
	x := try(t, 3, 2, nil)
	x.loads(8 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	h := x.leader()
	for i, way := range []func(o *host){
		func(o *host) { x.net.Cut(h.name, o.name, faultinject.Silent) },
		func(o *host) { x.net.Heal(h.name, o.name); x.net.Cut(o.name, h.name, faultinject.Silent) },
	} {
		for _, o := range x.hosts {
			if o != h {
				way(o)
			}
		}
		var other *host
		faultinject.Until(t, 10*time.Second, "another leads", func() bool {
			for _, o := range x.hosts {
				if s, ok := o.sitting(); ok && o != h && s.LeaderName == s.HostName {
					other = o
				}
			}
			return other != nil
		})
		r := x.ceilings(ceiling*(0.9-0.1*float64(i)), depth*(0.9-0.1*float64(i)))
		rules[uint64(2+i)] = r
		t.Logf("a change with one-way links: %v", x.enforced(other, r))
	}
	for _, o := range x.hosts {
		if o != h {
			x.net.Join(h.name, o.name)
		}
	}
	t.Logf("healed: all leased after %v", x.until(3, 6, x.hosts...))
	x.check(rules)
}

// An instance stands still over two changes; once it goes on, nothing is sent by the version that it had.
func TestInstanceStalls(t *testing.T) {
	t.Parallel()
	x := try(t, 3, 2, nil)
	rounds := 1
	if *long > 0 {
		rounds = 3
	}
	x.loads(time.Duration(rounds) * 4500 * time.Millisecond)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	for range rounds {
		still := faultinject.Instances(x.hosts[1].run())[0]
		if err := still.Stall(); err != nil {
			t.Fatal(err)
		}
		x.rig.Write(history.Event{Kind: history.Stalls, Peer: still.Name})
		for range 2 {
			n := uint64(len(rules) + 1)
			rules[n] = x.ceilings(ceiling*(1-0.08*float64(n)), depth*(1-0.08*float64(n)))
			t.Logf("a change with an instance that stands still: %v", x.enforced(x.hosts[0], rules[n]))
		}
		x.rig.Write(history.Event{Kind: history.Wakes, Peer: still.Name})
		if err := still.Resume(); err != nil {
			t.Fatal(err)
		}
		x.until(int64(len(rules)), 6, x.hosts...)
	}
	x.check(rules)
}

// A daemon is killed and comes back with its disk, an old one, an empty one and a torn one, a change each
// time.
func TestDaemonsDisks(t *testing.T) {
	hard(t)
	x := try(t, 3, 1, nil)
	x.loads(14 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	for i, how := range []string{"kept", faultinject.Old, faultinject.Empty, faultinject.Torn} {
		h := x.hosts[i%3]
		disk := faultinject.NewDisk(t, filepath.Join(h.dir, "store"))
		if how == faultinject.Old { // a copy from before a change
			x.kill(h)
			if err := disk.Keep(); err != nil {
				t.Fatal(err)
			}
			x.back(h)
			x.until(int64(len(rules)), 3, x.hosts...)
		}
		n := uint64(len(rules) + 1)
		rules[n] = x.quota(500 + float64(n))
		x.enforced(x.hosts[(i+1)%3], rules[n])
		x.until(int64(n), 3, x.hosts...) // it has written that too
		x.kill(h)
		if how != "kept" {
			if err := disk.Spoil(faultinject.Damage{What: how, Bytes: 9000, Seed: int64(i)}); err != nil {
				t.Fatal(err)
			}
		}
		n++
		rules[n] = x.quota(500 + float64(n))
		x.leader()
		x.enforced(x.hosts[(i+1)%3], rules[n])
		x.back(h)
		t.Logf("%s: leased again after %v", how, x.until(int64(n), 3, x.hosts...))
		s, ok := h.sitting()
		if !ok || how == faultinject.Old && s.MovedAside["old"] != 1 || how == faultinject.Torn &&
			s.MovedAside["torn"] != 1 {
			t.Errorf("%s: %+v", how, s)
		}
	}
	x.check(rules)
}

// Three of five hosts are lost, then back: the two go by the fallback and then bare.
func TestThreeOfFiveHosts(t *testing.T) {
	hard(t)
	x := try(t, 5, 1, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 1000 })
	x.loads(9 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	for _, h := range x.hosts[:3] {
		x.kill(h)
		for _, i := range faultinject.Instances(h.run()) {
			if err := i.Kill(); err != nil {
				t.Fatal(err)
			}
			x.rig.Write(history.Event{Kind: history.Died, Peer: i.Name})
		}
	}
	faultinject.Until(t, 8*time.Second, "two are bare", func() bool {
		for _, h := range x.hosts[3:] {
			for _, i := range faultinject.Instances(h.run()) {
				if f, ok := look(i); !ok || f.mode != int64(ruleset.ModeNoLease) {
					return false
				}
			}
		}
		return true
	})
	if s, ok := x.hosts[3].sitting(); !ok || s.State != "no leader" || len(s.Rules.CutOffInstances) != 1 {
		t.Errorf("%+v", s)
	}
	for _, h := range x.hosts[:3] {
		x.back(h)
	}
	t.Logf("back: all leased after %v", x.until(1, 5, x.hosts...))
	rules[2] = x.ceilings(ceiling/2, depth/2)
	x.enforced(x.hosts[4], rules[2])
	x.until(2, 5, x.hosts...)
	x.check(rules)
}

// Of two proposals at once, on top of the same version, one is taken, and the other is told why it is not.
// Two that come one after the other are put again.
func TestTwoProposals(t *testing.T) {
	t.Parallel()
	x := try(t, 3, 1, nil)
	x.loads(4 * time.Second)
	rules, last := map[uint64]ruleset.Rules{1: x.rules}, uint64(1)
	for round := 1; ; round++ {
		if round > 10 {
			t.Fatal("never two at once")
		}
		heard := func(h *host) []raftlog.ProposalOutcome {
			s, _ := h.sitting()
			return s.Rules.ProposalOutcomes
		}
		before := [2]int{len(heard(x.hosts[1])), len(heard(x.hosts[2]))}
		var answers [2]raftlog.ProposalOutcome
		for i, h := range x.hosts[1:] {
			f := 1 - 0.02*float64(2*round+i)
			h.propose(x.ceilings(ceiling*f, depth*f))
		}
		faultinject.Until(t, 10*time.Second, "both have an answer", func() bool {
			for i, h := range x.hosts[1:] {
				all := heard(h)
				if len(all) <= before[i] {
					return false
				}
				answers[i] = all[len(all)-1]
			}
			return true
		})
		for i, a := range answers {
			f := 1 - 0.02*float64(2*round+i)
			if a.Rejection == "" {
				rules[a.Version], last = x.ceilings(ceiling*f, depth*f), max(last, a.Version)
			}
		}
		x.until(int64(last), 3, x.hosts...)
		if a, b := answers[0], answers[1]; a.BaseVersion == b.BaseVersion {
			if (a.Rejection == "") == (b.Rejection == "") || !strings.HasPrefix(a.Rejection+b.Rejection, "base: ") {
				t.Errorf("%+v and %+v", a, b)
			}
			break
		}
	}
	x.check(rules)
}

// A change in the middle of growing from three members to five and back to four, which takes the sum of
// parts over the ceiling where places change at different moments.
func TestGrowsAndChanges(t *testing.T) {
	hard(t)
	x := try(t, 3, 1, nil)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	x.loads(4 * time.Second)
	more := x.rules
	more.Members = append(slices.Clone(more.Members), x.member(x.hosts[0], 3), x.member(x.hosts[1], 4))
	began := time.Now()
	x.hosts[0].propose(more)
	rules[2], x.rules = more, more
	faultinject.Until(t, 10*time.Second, "it is in force", func() bool { return x.hosts[0].version() == 2 })
	rules[3] = x.ceilings(ceiling/2, depth/2)
	x.enforced(x.hosts[2], rules[3]) // the new ones may not have come up yet
	x.until(3, 5, x.hosts...)
	t.Logf("three to five with a change meanwhile: %v", time.Since(began))
	<-x.loaded
	x.all = nil
	for _, w := range x.workers {
		if n := len(w.Got()); n == 0 {
			t.Error("a worker got nothing")
		}
	}
	x.loads(5 * time.Second) // on five
	less := x.rules
	less.Members = less.Members[:4]
	rules[4] = less
	began = time.Now()
	x.enforced(x.hosts[1], less)
	x.until(4, 4, x.hosts...)
	t.Logf("five to four: %v", time.Since(began))
	x.check(rules)
}

// A change that would take the sum of parts over a ceiling for a moment: fewer members at a time when one is
// cut off, and a ceiling that goes down, up and down while gatekeepers hear of it at different moments.
func TestSumOfParts(t *testing.T) {
	hard(t)
	x := try(t, 3, 2, nil)
	x.loads(14 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	var wanted []ruleset.Rules
	put := func(h *host, r ruleset.Rules) {
		t.Helper()
		wanted = append(wanted, r)
		t.Logf("a ceiling of %v in force after %v", r.Plans[1].CeilingRate, x.enforced(h, r))
	}
	for i, f := range []float64{0.5, 0.99, 0.25, 0.98, 0.4} {
		put(x.hosts[i%2], x.ceilings(ceiling*f, depth*f))
	}
	lone := faultinject.Instances(x.hosts[2].run())[0]
	if err := lone.Stall(); err != nil { // it says nothing any more
		t.Fatal(err)
	}
	x.rig.Write(history.Event{Kind: history.Stalls, Peer: lone.Name})
	put(x.hosts[0], x.ceilings(ceiling*0.1, depth*0.1))
	x.rig.Write(history.Event{Kind: history.Wakes, Peer: lone.Name})
	if err := lone.Resume(); err != nil {
		t.Fatal(err)
	}
	put(x.hosts[1], x.ceilings(ceiling*0.97, depth*0.97))
	x.until(8, 6, x.hosts...)
	x.known(rules, wanted)
	if n := x.check(rules); n < 100 {
		t.Errorf("%d sent under the ceiling", n)
	}
}

// older stands between a daemon and an instance of it that is of an older program: from a moment on, the
// rules that it tells have a key that this one does not know.
func older(t *testing.T, daemon string) (at string, on *atomic.Bool) {
	t.Helper()
	on = &atomic.Bool{}
	to, err := url.Parse("http://" + daemon)
	if err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(to)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ModifyResponse = func(res *http.Response) error {
		raw, err := io.ReadAll(res.Body)
		if err != nil {
			return err
		}
		if on.Load() {
			raw = bytes.Replace(raw, []byte(`"Rules":{`), []byte(`"Rules":{"Tide":3,`), 1)
		}
		res.Body, res.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
		res.Header.Set("Content-Length", strconv.Itoa(len(raw)))
		return nil
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lifecycle.AskPath { // an older program does not ask there
			http.NotFound(w, r)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), on
}

// An instance of an older program meets rules with a key that it does not know: it goes by none of them,
// falls back, says so, and serves on; the others go by them; and a change that contradicts its fallback waits
// for it.
func TestOlderProgram(t *testing.T) {
	hard(t)
	x := ready(t, 3, 1, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 2000 })
	h := x.hosts[2]
	at, on := older(t, h.control)
	script := filepath.Join(h.dir, "older")
	text := fmt.Sprintf("#!/bin/sh\nWILLOWDECK_AGREE=%s exec %s \"$@\"\n", at, program(t))
	file := filepath.Join(h.dir, "fleet.toml")
	raw, err := os.ReadFile(file)
	if err == nil {
		err = os.WriteFile(script, []byte(text), 0o700)
	}
	if err == nil {
		err = os.WriteFile(file, append([]byte(fmt.Sprintf("program = %q\n", script)), raw...), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	x.start()
	x.until(1, 3, x.hosts...)
	x.loads(9 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	on.Store(true)
	old := faultinject.Instances(h.run())[0]
	faultinject.Until(t, 10*time.Second, "the older one is cut off, and says why", func() bool {
		f, ok := look(old)
		n, _ := faultinject.Figure(old.Control, "svc.rules.refused")
		return ok && f.mode != int64(ruleset.ModeLeased) && n > 0
	})
	rules[2] = x.ceilings(ceiling/4, depth/4)
	took := x.enforced(x.hosts[0], rules[2])
	x.until(2, 2, x.hosts[:2]...)
	t.Logf("with an older one that can't go by it: in force after %v", took)
	if f, ok := look(old); !ok || f.version != 1 || f.mode == int64(ruleset.ModeLeased) {
		t.Errorf("the older one goes by %+v", f)
	}
	on.Store(false) // replaced by a newer program
	t.Logf("replaced: leased after %v", x.until(2, 3, x.hosts...))
	x.check(rules)
}

// A host whose disk takes nothing more has no voice and no lease, its instances go by the fallback, and the
// others go on; with room again it is back by itself.
func TestFullHost(t *testing.T) {
	hard(t)
	x := try(t, 3, 1, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 1000 })
	x.loads(8 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	h := x.leader()
	others := slices.DeleteFunc(slices.Clone(x.hosts), func(o *host) bool { return o == h })
	if err := h.Limit(96 << 10); err != nil {
		t.Fatal(err)
	}
	rules[2] = x.rules
	big := &ruleset.Rules{}
	*big = x.rules
	for i := range 2000 { // more than its store has room for
		big.WorkerOverrides = append(big.WorkerOverrides, ruleset.WorkerOverride{Worker: fmt.Sprintf("%0100d", i),
			Weight: 1})
	}
	rules[2] = *big
	x.enforced(others[0], *big)
	faultinject.Until(t, 10*time.Second, "it is mute", func() bool {
		s, ok := h.sitting()
		return ok && s.State == "mute" && strings.Contains(s.Reason, "too large")
	})
	began := time.Now()
	x.until(2, 2, others...)
	x.leader()
	t.Logf("the others go on after %v", time.Since(began))
	own := faultinject.Instances(h.run())[0]
	faultinject.Until(t, 5*time.Second, "its instance is cut off", func() bool {
		f, ok := look(own)
		return ok && f.mode != int64(ruleset.ModeLeased)
	})
	rules[3] = x.ceilings(ceiling/2, depth/2)
	x.enforced(others[1], rules[3])
	if err := h.Limit(0); err != nil {
		t.Fatal(err)
	}
	t.Logf("room again: all leased after %v", x.until(3, 3, x.hosts...))
	x.check(rules)
}

// -long plays schedules that are drawn from seeds at daemons, links and disks, while changes go on; each for
// some 20 s, until the time is up. A break names the seed.
func TestLong(t *testing.T) {
	hard(t)
	for end, seed := time.Now().Add(*long), *first; time.Now().Before(end); seed++ {
		if !t.Run(fmt.Sprint(seed), func(t *testing.T) { drawn(t, seed) }) {
			return
		}
	}
}

func drawn(t *testing.T, seed int64) {
	x := try(t, 3, 2, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 1000 })
	const span = 20000
	x.loads(span * time.Millisecond)
	rig := &faultinject.Rig{
		Net:       x.net,
		Processes: map[string]*faultinject.Process{},
		Disks:     map[string]*faultinject.Disk{},
	}
	cast := faultinject.Cast{
		Steps: 8,
		Kinds: []faultinject.Kind{faultinject.Cuts, faultinject.Parts, faultinject.Splits, faultinject.Shapes,
			faultinject.Stalls, faultinject.Crashes, faultinject.Spoils},
	} // a full disk would cut records short: TestFullHost
	for _, h := range x.hosts {
		rig.Processes[h.name], rig.Disks[h.name] = h.Process, faultinject.NewDisk(t, filepath.Join(h.dir, "store"))
		cast.Ends, cast.Processes = append(cast.Ends, h.name), append(cast.Processes, h.name)
	}
	cast.Disks = cast.Processes[:1] // a majority keeps its disks, as the council rests on that
	for _, m := range x.rules.Members {
		cast.Ends = append(cast.Ends, m.Name)
	}
	s := faultinject.Draw(seed, cast, span)
	t.Logf("%s", s)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	played := make(chan error, 1)
	go func() { played <- (&faultinject.Player{Stage: rig, Record: x.rig}).Play(ctx, s) }()
	rules := map[uint64]ruleset.Rules{1: x.rules}
	var wanted []ruleset.Rules
	rng := rand.New(rand.NewSource(seed))
	for done := false; !done; {
		select {
		case err := <-played:
			if done = true; err != nil {
				t.Logf("not all was done: %v", err)
			}
		case <-time.After(time.Duration(500+rng.Intn(2000)) * time.Millisecond):
			f := 0.1 + 0.9*rng.Float64()
			r := x.ceilings(ceiling*f, depth*f)
			h := x.hosts[rng.Intn(3)]
			if all := faultinject.Instances(h.run()); len(all) > 0 {
				x.hurts(all[rng.Intn(len(all))], rng)
			}
			if h.Running() {
				h.write(r)
				_ = h.Renew()
				wanted = append(wanted, r)
			}
		}
	}
	for _, h := range x.hosts { // what a step has left down
		if !h.Running() {
			x.back(h)
		}
	}
	var last uint64
	faultinject.Until(t, 20*time.Second, "one version at all, and nothing waits", func() bool {
		last = 0
		for _, h := range x.hosts {
			s, ok := h.sitting()
			if !ok || s.Rules.PendingVersion > 0 || s.Rules.WantedProposal != "" || last > 0 &&
				s.Rules.Version != last {
				return false
			}
			last = s.Rules.Version
		}
		return true
	})
	x.until(int64(last), 6, x.hosts...)
	x.known(rules, wanted)
	x.check(rules)
}

// hurts has an instance stand still for a while, or ends it, or lets it be.
func (x *trial) hurts(i faultinject.Instance, rng *rand.Rand) {
	switch still := time.Duration(100+rng.Intn(1500)) * time.Millisecond; rng.Intn(4) {
	case 0:
		if i.Stall() != nil {
			return
		}
		x.rig.Write(history.Event{Kind: history.Stalls, Peer: i.Name})
		time.Sleep(still)
		x.rig.Write(history.Event{Kind: history.Wakes, Peer: i.Name})
		_ = i.Resume()
	case 1:
		if i.Kill() == nil {
			x.rig.Write(history.Event{Kind: history.Died, Peer: i.Name})
		}
	}
}

// known finds which of the wanted rules each version has, by its digest.
func (x *trial) known(rules map[uint64]ruleset.Rules, wanted []ruleset.Rules) {
	x.t.Helper()
	record, err := history.Read(x.records)
	if err != nil {
		x.t.Fatal(err)
	}
	for _, e := range record.Events {
		for _, r := range wanted {
			if e.Kind == history.Taken && e.Says == "" && e.Mark == raftlog.RulesDigest(&r) {
				rules[e.Version] = r
			}
		}
	}
}

// How long it takes from a proposal until a version is in force, and until all instances go by it.
func TestTimeInForce(t *testing.T) {
	hard(t)
	for _, k := range []int{1, 7, 33} {
		t.Run(fmt.Sprint(3*k), func(t *testing.T) {
			a := assemble(t, 3, k, nil)
			began := time.Now()
			a.start()
			a.until(1, 3*k, a.hosts...)
			t.Logf("from nothing to %d leased: %v", 3*k, time.Since(began).Round(time.Millisecond))
			x := &trial{assembly: a}
			var lows, all, quotas []float64
			calm := func() { // eight that may be fallen back to are as many as the council lets come together
				faultinject.Until(t, 10*time.Second, "no version before may be gone by", func() bool {
					s, ok := a.hosts[0].sitting()
					return ok && len(s.Rules.HeldVersions) == 0
				})
			}
			for i := range 6 {
				calm()
				f := 1 - 0.3*float64(i%2)
				r := x.quota(499 - float64(i))
				began := time.Now()
				x.enforced(a.hosts[i%3], r)
				quotas = append(quotas, time.Since(began).Seconds()*1000)
				calm()
				r = x.ceilings(ceiling*f*0.99, depth*f*0.99)
				began = time.Now()
				x.enforced(a.hosts[(i+1)%3], r)
				lows = append(lows, time.Since(began).Seconds()*1000)
				a.until(int64(3+2*i), 3*k, a.hosts...)
				all = append(all, time.Since(began).Seconds()*1000)
			}
			for _, s := range [][]float64{quotas, lows, all} {
				slices.Sort(s)
			}
			for what, s := range map[string][]float64{"a quota in force": quotas, "a ceiling in force": lows,
				"all by it": all} {
				t.Logf("%d instances: %s after %.0f ms (median; %.0f to %.0f)", 3*k, what, s[3], s[0], s[5])
			}
		})
	}
}
