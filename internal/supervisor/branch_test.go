package supervisor

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/versioned"
)

// tree is a council of one daemon, two relays below it, and below these two hosts without a seat, with two
// instances and with one: all of them real processes.
type tree struct {
	*trial
	top    *host
	relays []*faultinject.Process
	at     []string // where the relays answer
	low    []*host
}

func grow(t *testing.T, change func(*ruleset.Rules)) *tree {
	t.Helper()
	x := &tree{trial: ready(t, 1, 3, change)}
	x.top = x.hosts[0]
	hosts := []string{"l0", "l0", "l1"}
	for i, name := range hosts {
		if len(x.low) == 0 || x.low[len(x.low)-1].name != name {
			ip := fmt.Sprintf("127.0.0.%d", 10+len(x.low))
			x.low = append(x.low, &host{a: x.assembly, name: name, ip: ip, dir: filepath.Join(x.dir, name),
				control: fmt.Sprintf("%s:%d", ip, x.first)})
		}
		x.rules.Members[i] = x.member(x.low[len(x.low)-1], i)
	}
	x.top.write(x.rules)
	serve := fmt.Sprintf("%s:%d", x.top.ip, x.first+2)
	x.change(x.top, "found = true", fmt.Sprintf("found = true\nserve = %q", serve))
	for i := range 2 {
		name, ip := fmt.Sprintf("r%d", i), fmt.Sprintf("127.0.0.%d", 20+i)
		x.at = append(x.at, fmt.Sprintf("%s:%d", ip, x.first))
		dir := filepath.Join(x.dir, name)
		text := fmt.Sprintf("name = %q\ncluster = \"till\"\nlisten = %q\ncontrol = \"%s:%d\"\nupstream = [%q]\n"+
			"store = \"copy\"\n", name, x.at[i], ip, x.first+1, serve)
		err := os.Mkdir(dir, 0o700)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, "relay.toml"), []byte(text), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		x.relays = append(x.relays, faultinject.Start(t, faultinject.Spec{Name: name, Program: program(t), Dir: dir,
			Args: []string{"relay", "--config", "relay.toml"}, Env: []string{"WILLOWDECK_HISTORY=" + x.records}}))
	}
	for _, h := range x.low {
		h.below(x.at)
	}
	x.hosts = append(x.hosts, x.low...)
	return x
}

// below writes the files of a host that follows relays.
func (h *host) below(relays []string) {
	a := h.a
	a.t.Helper()
	if err := os.MkdirAll(filepath.Join(h.dir, "store"), 0o700); err != nil {
		a.t.Fatal(err)
	}
	d := &deployed{t: a.t, dir: h.dir, list: a.list}
	d.config(map[string]any{})
	at := func(port int) string { return fmt.Sprintf("\"%s:%d\"", h.ip, a.first+port) }
	up, err := json.Marshal(relays)
	if err != nil {
		a.t.Fatal(err)
	}
	text := fmt.Sprintf("name = \"till\"\nconfig = \"gatekeeper.json\"\nrun_dir = \"run\"\ncontrol = %s\n"+
		"listen = %s\noperators = %s\nstep = 2\n[restart]\nfirst_ms = 50\nmost_ms = 500\ncalm_s = 5\n"+
		"[relay]\nme = %q\nupstream = %s\nstore = \"store/rules.copy\"\n", at(0), at(2), at(2+a.places), h.name, up)
	if err := os.WriteFile(filepath.Join(h.dir, "fleet.toml"), []byte(text), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// change changes a host's file.
func (x *tree) change(h *host, old, now string) {
	x.t.Helper()
	file := filepath.Join(h.dir, "fleet.toml")
	raw, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(raw), old) {
		x.t.Fatalf("%q is not in %s: %v", old, file, err)
	}
	if err = os.WriteFile(file, []byte(strings.Replace(string(raw), old, now, 1)), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

// following asks a host's daemon how it stands below the relays.
func (h *host) following() (s Following, ok bool) {
	page, err := faultinject.Ask(h.control, "/fleet/relay")
	return s, err == nil && json.Unmarshal([]byte(page), &s) == nil
}

// loaded begins a load on the lower hosts' members.
func (x *tree) loadsLow(span time.Duration) {
	for at := 0.0; at < float64(span/time.Millisecond); at += 10 {
		a := workload.Arrival{At: at, Customer: len(x.all) % 7, Units: 1, Set: len(x.all)}
		if len(x.all)%2 == 0 {
			a.Customer, a.Plan = 100, 1
		}
		x.all = append(x.all, a)
	}
	targets := x.targets(x.low...)
	j := &loadgen.Job{
		Arrivals: x.all,
		Targets:  targets,
		Spread:   len(targets),
		Plans:    []string{"basic", "capped"},
		Most:     500,
		Products: []loadgen.Product{{Name: "check", Repeat: "inquiry", Waits: 400 * time.Millisecond}},
	}
	x.loaded = make(chan *loadgen.Report, 1)
	go func() {
		r, err := j.Run(x.t.Context())
		if err != nil && x.t.Context().Err() == nil {
			x.t.Error(err)
		}
		x.loaded <- r
	}()
}

// leased tells whether all instances of the lower hosts are, and how many there are.
func (x *tree) leased() (all int, ok bool) {
	ok = true
	for _, h := range x.low {
		for _, i := range faultinject.Instances(h.run()) {
			f, there := look(i)
			ok = ok && there && f.mode == int64(ruleset.ModeLeased)
			all++
		}
	}
	return all, ok
}

// Below relays instances go by each version as those of a council's hosts do, and a change that waits for
// their word comes in force by it, long before its time is up: what has been seen goes up the chain. The
// relay that is asked may stand still or die, the daemon may be killed and started, with a copy that is torn
// too: nobody loses the lease by the first, and the others are as in a council. Their records are judged.
func TestBelowRelays(t *testing.T) {
	t.Parallel()
	x := grow(t, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 4000 })
	x.start()
	t.Logf("from nothing to all leased: %v", x.until(1, 3, x.low...))
	x.loadsLow(9 * time.Second)
	rules := map[uint64]ruleset.Rules{1: x.rules}
	rules[2] = x.quota(400)
	began := time.Now()
	x.enforced(x.top, rules[2])
	x.until(2, 3, x.low...)
	t.Logf("a quota: from the proposal to all: %v", time.Since(began))
	rules[3] = x.ceilings(ceiling/4, depth/4)
	took := x.enforced(x.top, rules[3])
	x.until(3, 3, x.low...)
	t.Logf("a ceiling down beyond the fallback, by what hosts below have seen: %v", took)
	if took > 3*time.Second {
		t.Error("it waited until its time was up")
	}

	h := x.low[0]
	var s Following
	faultinject.Until(t, 3*time.Second, "what all hold is not said", func() (ok bool) {
		s, ok = h.following()
		return ok && s.Seen == s.Step && len(s.Behind) == 0
	})
	if s.Version != 3 || s.Depth != 2 || s.Members != 3 || s.Known != 3 || s.ReadMS < 0 || len(s.CutOff) > 0 {
		t.Errorf("it stands so: %+v", s)
	}
	asked := slices.Index(x.at, s.Asked)
	if asked < 0 {
		t.Fatalf("%q is asked, none of %v", s.Asked, x.at)
	}
	if err := x.relays[asked].Stall(); err != nil {
		t.Fatal(err)
	}
	const stays = 1500 * time.Millisecond
	for began := time.Now(); time.Since(began) < stays; time.Sleep(5 * time.Millisecond) {
		if n, ok := x.leased(); !ok || n != 3 {
			t.Fatal("a lease is lost as one relay stands still")
		}
	}
	if s, _ = h.following(); s.Asked == x.at[asked] {
		t.Error("a relay that stands still is asked on")
	}
	if err := x.relays[asked].Resume(); err != nil {
		t.Fatal(err)
	}

	x.kill(h)
	copied := filepath.Join(h.dir, "store", "rules.copy")
	raw, err := os.ReadFile(copied)
	if err != nil || len(raw) < 40 {
		t.Fatalf("a copy of %d bytes: %v", len(raw), err)
	}
	if err := os.WriteFile(copied, raw[:len(raw)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	x.back(h)
	began = time.Now()
	faultinject.Until(t, 5*time.Second, "it does not tell its instances anything", func() bool {
		s, _ = h.following()
		return s.Version == 3 && s.Seen == s.Step
	})
	t.Logf("a daemon killed and started with a torn copy: its instances hold the last after %v",
		time.Since(began))
	if s.Copies.Aside != 1 || s.Counts.FullStates != 1 {
		t.Errorf("the torn copy is not set aside: %+v", s)
	}
	x.until(3, 3, x.low...)
	if sent := x.check(rules); sent < 30 {
		t.Errorf("%d sent under the ceiling", sent)
	}
}

// A change that waits for a host is not in force while an instance there stands still and may go by what was
// before, whatever its daemon does: killed and started again meanwhile, it says nothing for what it can't
// know. Once that instance is no more the change is in force, before its time is up. Guards against a word
// that is given too early.
func TestSeenNeverEarly(t *testing.T) {
	t.Parallel()
	x := grow(t, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 12000 })
	x.start()
	x.until(1, 3, x.low...)
	h := x.low[0]
	own := faultinject.Instances(h.run())
	if len(own) != 2 {
		t.Fatalf("%d instances", len(own))
	}
	still := own[0]
	if err := still.Stall(); err != nil {
		t.Fatal(err)
	}
	next := x.ceilings(ceiling/4, depth/4)
	x.top.propose(next)
	faultinject.Until(t, 5*time.Second, "the change does not wait", func() bool {
		s, ok := x.top.sitting()
		return ok && s.Rules.PendingVersion == 2
	})
	began := time.Now()
	pending, _ := x.top.sitting()
	for restarts := 0; time.Since(began) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		if s, ok := x.top.sitting(); ok && s.Rules.Version != 1 {
			t.Fatalf("in force while %s may go by what was before: %+v", still.Name, s.Rules)
		}
		if s, ok := h.following(); ok && s.Seen >= pending.Rules.Step {
			t.Fatalf("said to be seen: %+v\n%s", s, h.Output())
		}
		if time.Since(began) > time.Duration(restarts+1)*1500*time.Millisecond && restarts < 2 {
			restarts++
			x.kill(h)
			if err := still.Stall(); err != nil { // the kernel has it go on as its parent ends
				t.Fatal(err)
			}
			x.back(h)
		}
	}
	if n, ok := x.leased(); ok || n != 3 { // the one that stands still does not answer
		t.Errorf("%d instances, all leased: %t", n, ok)
	}
	began = time.Now()
	if err := still.Kill(); err != nil {
		t.Fatal(err)
	}
	var s Following
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && s.Seen < pending.Rules.Step; {
		s, _ = h.following()
	}
	top, _ := x.top.sitting()
	x.until(2, 3, x.low...)
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("in force %v after the instance's end; %+v below, %+v above", took, s, top.Rules)
	} else {
		t.Logf("in force at all %v after the instance's end", took)
	}
}

// With all relays gone instances go by the fallback and then bare, and answer at once all the while; with one
// back they are leased again by themselves. A file with other relays is taken up by SIGHUP, one that changes
// what may not change is refused, by its key.
func TestRelaysGone(t *testing.T) {
	t.Parallel()
	x := grow(t, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 1000 })
	x.start()
	x.until(1, 3, x.low...)
	x.loadsLow(4 * time.Second)
	for _, r := range x.relays {
		if err := r.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	modes := func(want ruleset.LeaseMode) func() bool {
		return func() bool {
			n := 0
			for _, h := range x.low {
				for _, i := range faultinject.Instances(h.run()) {
					if f, ok := look(i); ok && f.mode == int64(want) {
						n++
					}
				}
			}
			return n == 3
		}
	}
	faultinject.Until(t, 5*time.Second, "not all are cut off", modes(ruleset.ModeFallback))
	faultinject.Until(t, 5*time.Second, "not all are bare", modes(ruleset.ModeNoLease))
	h := x.low[0]
	if s, ok := h.following(); !ok || len(s.CutOff) != 2 {
		t.Errorf("%+v", s)
	}
	r := <-x.loaded
	if r == nil {
		t.Fatal("no load")
	}
	x.loaded = nil
	// One that waited for control would wait until its client is gone, and so would all of these seconds. A busy
	// machine makes some of them late.
	c := r.Counts["check"]
	if c[loadgen.Settled] < 100 || c[loadgen.NoAnswer]*20 > int64(len(x.all)) { // the customer without a ceiling
		t.Errorf("%v", c)
	}
	if late := time.Duration(r.Latency.ValueAtQuantile(80)) * time.Microsecond; late > 200*time.Millisecond {
		t.Errorf("one txn in five took %v or more", late)
	}
	if err := x.relays[0].Restart(nil); err != nil {
		t.Fatal(err)
	}
	t.Logf("a relay is back: all leased after %v", x.until(1, 3, x.low...))

	x.change(h, x.at[0], "127.0.0.1:1") // the other one and one that is none
	if err := x.relays[1].Restart(nil); err != nil {
		t.Fatal(err)
	}
	if err := h.Renew(); err != nil {
		t.Fatal(err)
	}
	faultinject.Until(t, 5*time.Second, "the other relay is not asked", func() bool {
		s, ok := h.following()
		return ok && s.Asked == x.at[1] && s.ReadMS >= 0 && s.ReadMS < 1000
	})
	x.until(1, 3, x.low...)
	x.change(h, `me = "l0"`, `me = "l9"`)
	if err := h.Renew(); err != nil {
		t.Fatal(err)
	}
	faultinject.Until(t, 5*time.Second, "another name is not refused", func() bool {
		return strings.Contains(h.Output(), "relay.me and relay.store can't change")
	})
	x.until(1, 3, x.low...)
}

// An instance of an older program below a daemon without a seat is told all that its host knows, each time,
// and what it holds counts as any other's.
func TestOlderInstanceBelow(t *testing.T) {
	t.Parallel()
	x := grow(t, func(r *ruleset.Rules) { r.Fallback.DurationMillis = 6000 })
	h := x.low[1]
	at, _ := older(t, h.control)
	script := filepath.Join(h.dir, "older")
	text := fmt.Sprintf("#!/bin/sh\nWILLOWDECK_AGREE=%s exec %s \"$@\"\n", at, program(t))
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	x.change(h, "config = ", fmt.Sprintf("program = %q\nconfig = ", script))
	x.start()
	x.until(1, 3, x.low...)
	old := faultinject.Instances(h.run())[0]
	if n, ok := faultinject.Figure(old.Control, "svc.rules.wholes"); !ok || n != 0 {
		t.Errorf("the older one is told changes: %d", n)
	}
	next := x.ceilings(ceiling/4, depth/4)
	if took := x.enforced(x.top, next); took > 4*time.Second {
		t.Errorf("in force after %v: its word counts for nothing", took)
	}
	x.until(2, 3, x.low...)

	res, err := http.Get(fmt.Sprintf("http://%s%s?instance=%s&pid=%d&holds=0&index=-1", h.control,
		lifecycle.LeasePath, old.Name, old.Pid))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(res.Body)
	res.Body.Close()
	l, bad := ruleset.DecodeLease(raw)
	if err != nil || bad != nil || l.Version.Number != 2 || len(l.Version.Rules.Members) != 3 ||
		l.AgeMillis <= 0 {
		t.Errorf("%v, %v: %s", err, bad, raw)
	}
	for _, who := range []string{"instance=g9&pid=1", fmt.Sprintf("instance=%s&pid=1", old.Name)} {
		res, err := http.Get(fmt.Sprintf("http://%s%s?%s&holds=9&index=-1", h.control, lifecycle.LeasePath, who))
		if err != nil {
			t.Fatal(err)
		}
		if res.Body.Close(); res.StatusCode != http.StatusForbidden {
			t.Errorf("%s: status %d", who, res.StatusCode)
		}
	}
}

// upper stands in for a relay, and books what it is told to have been seen.
type upper struct {
	mu     sync.Mutex
	source *distribution.Source
	seen   uint64
	last   distribution.Request
}

func (u *upper) answer(a *distribution.Request) (*distribution.Response, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last = *a
	for _, h := range a.HostAcks {
		u.seen = max(u.seen, h.Step)
	}
	return u.source.Respond(a, raftlog.BootClockMillis())
}

// says has it say that rules are in force as of now, every now and then until the test's end.
func (u *upper) says(t *testing.T, step uint64, r ruleset.Rules) {
	rules, err := ruleset.VersionToState(&ruleset.Version{Number: 1, Rules: r})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for t.Context().Err() == nil {
			u.mu.Lock()
			u.source.Publish(distribution.Snapshot{Step: step, ReadStartMillis: raftlog.BootClockMillis(),
				Rules:          rules,
				DiscoveryIndex: -1})
			u.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

func (u *upper) told() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen
}

// A host says that it has seen a step when each process there holds it, or is no more, or has been told
// nothing yet; one that was there before the daemon counts as holding nothing until it says what. With no
// process it says what it would tell the first. The interest it asks with is its members', and theirs around.
func TestBranchSays(t *testing.T) {
	u := &upper{source: distribution.NewSource("r", "till", distribution.SourceConfig{})}
	s := httptest.NewServer(relay.NewHandler(u.answer))
	defer s.Close()
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Members: []ruleset.Member{
			{Name: "a", Host: "l0"},
		}, Plans: []ruleset.Plan{{Name: "basic", Rate: 1, Burst: 1}}}
	b := newBranch("till", &RelayFile{Me: "l0", Store: filepath.Join(t.TempDir(), "copy")}, nil, zerolog.Nop())
	defer b.Close()
	b.ProcessStarted(1, true)
	b.ProcessStarted(2, true)
	u.says(t, 5, r)
	b.follows([]string{strings.TrimPrefix(s.URL, "http://")})
	faultinject.Until(t, 3*time.Second, "it hears nothing", func() bool { return b.InForce().Number == 1 })
	never := func(why string) {
		t.Helper()
		time.Sleep(250 * time.Millisecond)
		if got := u.told(); got >= 5 {
			t.Fatalf("step %d is said to be seen, %s", got, why)
		}
	}
	never("and two may hold anything")
	if _, ok := b.RenewLease(1, "a", 5, -1); !ok {
		t.Fatal("it tells nothing")
	}
	never("and one may hold anything")
	b.ProcessExited(2)
	faultinject.Until(t, 3*time.Second, "step 5 is not said to be seen", func() bool { return u.told() == 5 })

	b.ProcessStarted(3, false)
	u.says(t, 6, r)
	faultinject.Until(t, 3*time.Second, "it does not go on", func() bool {
		l, ok := b.RenewLease(3, "a", 0, -1)
		return ok && l.Step == 6
	})
	time.Sleep(250 * time.Millisecond)
	if got := u.told(); got != 5 {
		t.Errorf("step %d is said to be seen while one holds 5, and one nothing", got)
	}
	b.RenewLease(1, "a", 6, 77)
	b.RenewLease(3, "a", 6, 78)
	faultinject.Until(t, 3*time.Second, "step 6 is not said to be seen", func() bool { return u.told() == 6 })
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last.Interest != (ruleset.Interest{Host: "l0", Around: distribution.RingRadius}) ||
		u.last.Sender != "l0" {
		t.Errorf("it asks %+v", u.last)
	}
	if n := b.HighestDiscoveryIndex(); n != 78 {
		t.Errorf("highest index %d", n)
	}
}

// A word that was read before this daemon began is given to nobody, however fresh it looks, and rules that
// make no sense, or that this program does not know, leave instances as they are; the latter are passed on
// whole.
func TestBranchTakes(t *testing.T) {
	u := &upper{source: distribution.NewSource("r", "till", distribution.SourceConfig{})}
	s := httptest.NewServer(relay.NewHandler(u.answer))
	defer s.Close()
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Members: []ruleset.Member{
			{Name: "a", Host: "l0"},
		}, Plans: []ruleset.Plan{{Name: "basic", Rate: 1, Burst: 1}}}
	state := func(number uint64, change func(*ruleset.Rules)) *versioned.State {
		other := r
		other.Plans = slices.Clone(r.Plans)
		change(&other)
		x, err := ruleset.VersionToState(&ruleset.Version{Number: number, Rules: other})
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	offer := func(step uint64, begun float64, x *versioned.State) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.source.Publish(distribution.Snapshot{Step: step, ReadStartMillis: begun, Rules: x, DiscoveryIndex: -1})
	}
	first := state(1, func(*ruleset.Rules) {})
	offer(1, raftlog.BootClockMillis()-50, first)
	b := newBranch("till", &RelayFile{Me: "l0", Store: filepath.Join(t.TempDir(), "copy")}, nil, zerolog.Nop())
	defer b.Close()
	b.follows([]string{strings.TrimPrefix(s.URL, "http://")})
	time.Sleep(400 * time.Millisecond)
	if _, ok := b.RenewLease(1, "a", 0, -1); ok {
		t.Fatal("it gives on what was read before it began")
	}
	offer(1, raftlog.BootClockMillis(), first)
	faultinject.Until(t, 3*time.Second, "it gives nothing", func() bool {
		_, ok := b.RenewLease(1, "a", 0, -1)
		return ok
	})
	offer(2, raftlog.BootClockMillis(), state(2, func(r *ruleset.Rules) { r.Plans[0].Rate = -1 }))
	time.Sleep(400 * time.Millisecond)
	if l, ok := b.RenewLease(1, "a", 0, -1); ok && l.Version.Number != 1 || b.InForce().Number != 1 {
		t.Errorf("rules that make no sense are gone by: %+v", l)
	}
	offer(3, raftlog.BootClockMillis(), state(3, func(r *ruleset.Rules) { r.Needs = []string{"moon"} }))
	faultinject.Until(t, 3*time.Second, "what is not known here is not passed on", func() bool {
		l, ok := b.RenewLease(1, "a", 0, -1)
		return ok && l.Version.Number == 3 && strings.Contains(l.UnsupportedFeature, "moon")
	})
	if v := b.given(); b.InForce().Number != 1 || v.Rules.ID().Number != 3 {
		t.Errorf("in force %d, passed on %v", b.InForce().Number, v.Rules.ID())
	}
	if s := b.stands(); s.Foreign == "" || s.Version != 3 {
		t.Errorf("operators are told %+v", s)
	}
	offer(4, raftlog.BootClockMillis(), state(4, func(*ruleset.Rules) {}))
	faultinject.Until(t, 3*time.Second, "it does not go on", func() bool { return b.InForce().Number == 4 })
}

// A host's part of rules of 7,900 members: its instances have the ports of their places, know where those are
// that the part names, and reckon with all. The whole fits below the system's own range of ports.
func TestManyPlaces(t *testing.T) {
	const n, own = 7900, 14
	d := prepare(t, 1)
	h := &host{a: &assembly{t: t, list: d.list, first: 2000, places: n}, name: "l0", ip: "127.0.0.10",
		dir: d.dir}
	h.below([]string{"127.0.0.20:1"})
	f, err := Read(filepath.Join(d.dir, "fleet.toml"))
	if err != nil {
		t.Fatal(err)
	}
	r := ruleset.Rules{Format: ruleset.SupportedFormat, Needs: []string{ruleset.FeatureManyMembers},
		LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans: []ruleset.Plan{{Name: "basic", Rate: 1, Burst: 1}}}
	for i := range n {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprint("g", i), Host: fmt.Sprint("l", i/own),
			Peers: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250)})
	}
	whole, err := ruleset.VersionToState(&ruleset.Version{Number: 1, Rules: r})
	if err != nil {
		t.Fatal(err)
	}
	some := ruleset.Select(whole, ruleset.Interest{Host: "l0", Around: distribution.RingRadius})
	sent, err := (&distribution.Response{FormatVersion: distribution.FormatVersion, Rules: some.ID(),
		RulesDelta: versioned.FullDelta(some)}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the whole has %d bytes, a host's part %d, and %d as it is sent", whole.Bytes(), some.Bytes(),
		len(sent))
	part, err := ruleset.VersionFromState(some)
	if err != nil || ruleset.ValidateSubset(&part.Rules) != nil {
		t.Fatal(err, ruleset.ValidateSubset(&part.Rules))
	}
	began := time.Now()
	all, err := f.file.members(&part.Rules)
	if err != nil || len(all) != own {
		t.Fatalf("%d instances: %v", len(all), err)
	}
	t.Logf("%d instances of %d members made in %v", own, n, time.Since(began))
	for i, in := range all {
		g, err := config.Decode(in.Config, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		known := 0
		for _, at := range g.Peers {
			if at.Port() != 0 {
				known++
			}
		}
		if g.Charter.Gatekeepers != n || g.Charter.Me != i || known != own+2*distribution.RingRadius ||
			in.Listen != fmt.Sprintf("127.0.0.10:%d", 2002+i) {
			t.Errorf("place %d of %d at %s, %d known", g.Charter.Me, g.Charter.Gatekeepers, in.Listen, known)
		}
	}
	if last := 2000 + 2 + 3*n; last > 32768 {
		t.Errorf("ports up to %d", last)
	}
}

// What is wrong in the file of a host below relays is named by its line or key, and nothing is started. With
// no rules known yet, it starts with no instances; with those that were carried out last, with theirs.
func TestBadBranches(t *testing.T) {
	a := assemble(t, 1, 3, nil)
	h := &host{a: a, name: "l0", ip: "127.0.0.10", dir: filepath.Join(a.dir, "l0")}
	h.below([]string{"127.0.0.20:1", "127.0.0.21:1"})
	file := filepath.Join(h.dir, "fleet.toml")
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, says string }{
		{"an unknown key", `me = "l0"`, "me = \"l0\"\nlost = true", "relay.lost: unknown key"},
		{"no name", `me = "l0"`, `me = ""`, "relay.me"},
		{"no store", `"store/rules.copy"`, `""`, "relay.store"},
		{"no relays", `["127.0.0.20:1","127.0.0.21:1"]`, `[]`, "relay.upstream"},
		{"a relay twice", `127.0.0.21:1`, `127.0.0.20:1`, "relay.upstream.1"},
		{"an address that is none", `127.0.0.21:1`, `there`, "relay.upstream.1"},
		{"too many relays", `["127.0.0.20:1",`, `[` + strings.Repeat(`"x",`, mostUpstreams), "relay.upstream"},
		{"a number of instances", "step = 2", "step = 2\ninstances = 3", "instances: the rules"},
		{"addresses of peers", "step = 2", "step = 2\npeers = \"127.0.0.1:1\"", "peers: the rules"},
		{"a council too", "[relay]", "[council]\nme = \"l0\"\n[relay]", "relay: there is a council"},
		{"a way that is none", "[relay]", "[reach.g0]\n\"here\" = \"127.0.0.1:1\"\n[relay]", "reach.g0"},
		{"no configuration", "gatekeeper.json", "none.json", "config: open"},
	} {
		if !strings.Contains(string(raw), c.old) {
			t.Fatalf("%s changes nothing", c.name)
		}
		os.WriteFile(file, []byte(strings.Replace(string(raw), c.old, c.new, 1)), 0o600)
		if f, err := Read(file); err == nil || f != nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", c.name, err, c.says)
		}
	}
	os.WriteFile(file, raw, 0o600)
	shown, err := os.ReadFile("../../deploy/host.toml") // and the file that operators begin with is right
	if err == nil {
		err = os.WriteFile(filepath.Join(h.dir, "host.toml"), shown, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if f, err := Read(filepath.Join(h.dir, "host.toml")); err != nil || f.Agreed.Relay.Me != "south-7" {
		t.Errorf("deploy/host.toml: %v", err)
	}
	f, err := Read(file)
	if err != nil || f.resume() != nil || len(f.Instances) != 0 {
		t.Fatalf("a first start: %v, %+v", err, f)
	}
	r := a.rules
	r.Members = []ruleset.Member{{}, {Name: "g1", Host: "l0", Peers: "127.0.0.10:9"}, {}}
	last, err := json.Marshal(ruleset.Version{Number: 1, Rules: r})
	run := filepath.Join(h.dir, "run")
	if err == nil {
		err = os.MkdirAll(run, 0o700)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(run, lastRules), last, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := f.resume(); err != nil || len(f.Instances) != 1 || f.places != 3 || f.Instances[0].Name != "g1" {
		t.Errorf("a daemon that knows its part of rules does not go on with it: %v, %+v", err, f)
	}
	d := &Daemon{log: zerolog.Nop(), fleet: f}
	sits := *f
	sits.Agreed = &Agreed{}
	if d.fleet = &sits; d.seat == nil {
		d.seat = &seat{}
	}
	if err := d.recall(f); err == nil || !strings.Contains(err.Error(), "council, relay:") {
		t.Errorf("a council becomes relays as it runs: %v", err)
	}
}
