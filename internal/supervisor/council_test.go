package supervisor

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
)

// assembly is several hosts' daemons, each with its instances, before stand-ins: all of them real processes.
// Each host has an address of its own; what goes between daemons, and between instances, goes through relays.
type assembly struct {
	t       *testing.T
	dir     string
	net     *faultinject.Net
	hosts   []*host
	workers []*fakes.Worker
	list    *fakes.Discovery
	records string
	first   int  // port of each host's first
	places  int  // that ports are kept for
	direct  bool // instances speak to each other without relays
	rules   ruleset.Rules
}

type host struct {
	*faultinject.Process
	a       *assembly
	name    string
	ip      string
	dir     string
	control string
	council string
}

// assemble prepares n hosts with k instances each; ports are kept for more.
func assemble(t *testing.T, n, k int, change func(*ruleset.Rules)) *assembly {
	t.Helper()
	dir, err := os.MkdirTemp("", "wdc") // sockets' paths are short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	a := &assembly{t: t, dir: dir, net: faultinject.NewNet(t, 1), records: filepath.Join(dir, "records"),
		places: n * (k + 1)}
	if err := os.Mkdir(a.records, 0o700); err != nil {
		t.Fatal(err)
	}
	a.first = faultinject.Ports(t, 4*a.places+2)
	var entries []fakes.Entry
	for i := range 3 {
		w, err := fakes.NewWorker(fmt.Sprintf("w%d", i), 5*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		a.workers = append(a.workers, w)
		entries = append(entries, w.Of("z"))
	}
	if a.list, err = fakes.NewDiscovery(entries...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.list.Close)
	a.rules = ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Fallback: ruleset.Fallback{Fraction: 0.5, DurationMillis: 3000},
		Plans: []ruleset.Plan{{Name: "basic", Rate: 500, Burst: 500},
			{Name: "capped", Rate: 200, Burst: 200, CeilingRate: ceiling, CeilingDepth: depth}}}
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 2+i)
		h := &host{a: a, name: fmt.Sprintf("h%d", i), ip: ip, dir: filepath.Join(dir, fmt.Sprintf("h%d", i)),
			control: fmt.Sprintf("%s:%d", ip, a.first), council: fmt.Sprintf("%s:%d", ip, a.first+1)}
		a.hosts = append(a.hosts, h)
		for range k {
			a.rules.Members = append(a.rules.Members, a.member(h, len(a.rules.Members)))
		}
	}
	if change != nil {
		change(&a.rules)
	}
	a.direct = n*k > 10
	for _, h := range a.hosts {
		h.prepare()
	}
	return a
}

// member is one of a host's, at a place.
func (a *assembly) member(h *host, place int) ruleset.Member {
	return ruleset.Member{Name: fmt.Sprintf("g%d", place), Host: h.name,
		Peers: fmt.Sprintf("%s:%d", h.ip, a.first+2+3*a.places+place)}
}

// prepare writes a host's files: its own and what its instances are told.
func (h *host) prepare() {
	a := h.a
	a.t.Helper()
	if err := os.MkdirAll(filepath.Join(h.dir, "store"), 0o700); err != nil {
		a.t.Fatal(err)
	}
	d := &deployed{t: a.t, dir: h.dir, list: a.list}
	d.config(map[string]any{})
	var b strings.Builder
	at := func(port int) string { return fmt.Sprintf("\"%s:%d\"", h.ip, a.first+port) }
	fmt.Fprintf(&b, "name = \"till\"\nconfig = \"gatekeeper.json\"\nrun_dir = \"run\"\ncontrol = %s\n"+
		"listen = %s\noperators = %s\nstep = 2\n", at(0), at(2), at(2+a.places))
	fmt.Fprintf(&b, "[restart]\nfirst_ms = 50\nmost_ms = 500\ncalm_s = 5\n")
	fmt.Fprintf(&b, "[council]\nme = %q\nlisten = %s\nstore = \"store/council.db\"\nrules = \"rules.toml\"\n"+
		"found = true\n", h.name, at(1))
	fmt.Fprint(&b, "hosts = [")
	for _, o := range a.hosts {
		fmt.Fprintf(&b, "{name = %q, address = %q}, ", o.name, o.council)
	}
	fmt.Fprint(&b, "]\n[reach.council]\n")
	for _, o := range a.hosts {
		if o != h {
			fmt.Fprintf(&b, "%q = %q\n", o.council, a.net.Stream(h.name, o.name, o.council))
		}
	}
	for place := range a.places { // whoever may come to be
		name := fmt.Sprintf("g%d", place)
		i := slices.IndexFunc(a.rules.Members, func(m ruleset.Member) bool { return m.Name == name })
		if i < 0 || a.rules.Members[i].Host != h.name || a.direct {
			continue
		}
		fmt.Fprintf(&b, "[reach.%s]\n", name)
		for _, o := range a.rules.Members {
			if o.Name != name && o.Name != "" {
				a.place(name)
				a.place(o.Name)
				to, _ := a.net.Datagrams(name, o.Name)
				fmt.Fprintf(&b, "%q = %q\n", o.Peers, to)
			}
		}
	}
	if err := os.WriteFile(filepath.Join(h.dir, "fleet.toml"), []byte(b.String()), 0o600); err != nil {
		a.t.Fatal(err)
	}
	h.write(a.rules)
}

func (a *assembly) place(name string) {
	for _, m := range a.rules.Members {
		if m.Name == name {
			a.net.Place(name, netip.MustParseAddrPort(m.Peers))
		}
	}
}

// write writes a host's rules' file.
func (h *host) write(r ruleset.Rules) {
	h.a.t.Helper()
	text, err := rulefile.Encode(&r)
	if err == nil {
		err = os.WriteFile(filepath.Join(h.dir, "rules.toml"), []byte(text), 0o600)
	}
	if err != nil {
		h.a.t.Fatal(err)
	}
}

// propose has a host's daemon propose rules.
func (h *host) propose(r ruleset.Rules) {
	h.a.t.Helper()
	h.write(r)
	if err := h.Renew(); err != nil {
		h.a.t.Fatal(err)
	}
}

// start starts a host's daemon.
func (h *host) start() {
	h.a.t.Helper()
	h.Process = faultinject.Start(h.a.t, faultinject.Spec{Name: h.name, Program: program(h.a.t), Dir: h.dir,
		Args: []string{"fleet", "--file", "fleet.toml"}, Env: []string{"WILLOWDECK_HISTORY=" + h.a.records}})
}

func (a *assembly) start() {
	a.t.Helper()
	for _, h := range a.hosts {
		h.start()
	}
}

// sitting asks a host's daemon how the council stands; false where it does not say.
func (h *host) sitting() (s Sitting, ok bool) {
	page, err := faultinject.Ask(h.control, "/fleet/council")
	return s, err == nil && json.Unmarshal([]byte(page), &s) == nil
}

func (h *host) run() string { return filepath.Join(h.dir, "run") }

// figures are what an instance says of the rules that it goes by.
type figures struct{ version, mode, members int64 }

func look(i faultinject.Instance) (f figures, ok bool) {
	page, err := faultinject.Ask(i.Control, "/admin/stats")
	if err != nil {
		return f, false
	}
	for key, into := range map[string]*int64{"svc.rules.version=": &f.version, "svc.rules.mode=": &f.mode,
		"svc.members=": &f.members} {
		_, after, found := strings.Cut("\n"+page, "\n"+key)
		if !found {
			return f, false
		}
		fmt.Sscan(after, into)
	}
	return f, true
}

// until waits for all instances of some hosts to go by a version, leased.
func (a *assembly) until(version int64, instances int, hosts ...*host) time.Duration {
	a.t.Helper()
	began, last := time.Now(), ""
	for time.Since(began) < 25*time.Second {
		n := 0
		last = ""
		for _, h := range hosts {
			for _, i := range faultinject.Instances(h.run()) {
				f, ok := look(i)
				last += fmt.Sprintf("%s %+v %t; ", i.Name, f, ok)
				if ok && f.version == version && f.mode == int64(ruleset.ModeLeased) {
					n++
				}
			}
		}
		if n == instances {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, h := range a.hosts {
		if s, ok := h.sitting(); ok {
			a.t.Logf("%s: %+v", h.name, s)
		}
		log, _ := os.ReadFile(filepath.Join(h.dir, h.name+".log"))
		a.t.Logf("%s: %.4000s", h.name, log)
	}
	a.t.Fatalf("not %d instances go by version %d: %s", instances, version, last)
	return 0
}

// leader gives the host whose daemon leads.
func (a *assembly) leader() *host {
	a.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, h := range a.hosts {
			if !h.Running() {
				continue
			}
			if s, ok := h.sitting(); ok && s.LeaderName == s.HostName && s.State == "member" {
				return h
			}
		}
	}
	a.t.Fatal("no daemon leads")
	return nil
}

// Three daemons agree, their instances go by each version, and a daemon that is killed leaves its own to the
// fallback and then bare; back, they are leased again.
func TestCouncil(t *testing.T) {
	t.Parallel()
	a := assemble(t, 3, 2, nil)
	a.start()
	t.Logf("from nothing to all leased: %v", a.until(1, 6, a.hosts...))
	next := a.rules
	next.Plans = slices.Clone(a.rules.Plans)
	next.Plans[0].Rate = 400
	began := time.Now()
	a.hosts[1].propose(next)
	a.until(2, 6, a.hosts...)
	t.Logf("a quota: from the proposal to all: %v", time.Since(began))
	next.Plans = slices.Clone(next.Plans)
	next.Plans[1].CeilingRate, next.Plans[1].CeilingDepth = ceiling/4, depth/4 // the fallback's half is more
	began = time.Now()
	a.hosts[2].propose(next)
	a.until(3, 6, a.hosts...)
	t.Logf("a ceiling down beyond the fallback: %v", time.Since(began))
	a.hosts[0].propose(ruleset.Rules{Format: ruleset.SupportedFormat})
	time.Sleep(100 * time.Millisecond)
	if s, ok := a.hosts[0].sitting(); !ok || s.Rules.Version != 3 || s.Rules.PendingVersion != 0 {
		t.Errorf("rules that are wrong change something: %+v", s)
	}
	down := a.leader()
	if err := down.Kill(); err != nil {
		t.Fatal(err)
	}
	own := faultinject.Instances(down.run())
	faultinject.Until(t, 5*time.Second, "its instances are cut off", func() bool {
		for _, i := range own {
			if f, ok := look(i); !ok || f.mode != int64(ruleset.ModeFallback) {
				return false
			}
		}
		return len(own) == 2
	})
	var others []*host
	for _, h := range a.hosts {
		if h != down {
			others = append(others, h)
		}
	}
	a.leader()
	next.Plans = slices.Clone(next.Plans)
	next.Plans[0].Rate = 300
	began = time.Now()
	others[0].propose(next)
	a.until(4, 4, others...)
	t.Logf("a quota while a host is away: %v", time.Since(began))
	if err := down.Restart(nil); err != nil {
		t.Fatal(err)
	}
	t.Logf("a daemon killed and started: leased again after %v", a.until(4, 6, a.hosts...))
}

// What is wrong in the file of a council is named by its line or key, and nothing is started. Rules that are
// wrong keep only a daemon from starting that has carried out none yet.
func TestBadCouncils(t *testing.T) {
	a := assemble(t, 2, 1, nil)
	h := a.hosts[0]
	file, rules := filepath.Join(h.dir, "fleet.toml"), filepath.Join(h.dir, "rules.toml")
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(rules)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, new, says string }{
		{"an unknown key", "found = true", "found = true\nlost = true", "council.lost: unknown key"},
		{"a number of instances", "step = 2", "step = 2\ninstances = 3", "instances: the rules"},
		{"addresses of peers", "step = 2", "step = 2\npeers = \"127.0.0.1:1\"", "peers: the rules"},
		{"a host that is none", "me = \"h0\"", "me = \"h9\"", "council.me"},
		{"a host twice", "name = \"h1\"", "name = \"h0\"", "council.hosts.1.name"},
		{"an address that is none", a.hosts[1].council, "there", "council.hosts.1.address"},
		{"no store", "store/council.db", "", "council.store"},
		{"no rules", "rules.toml", "none.toml", "council.rules"},
		{"a way that is none", "[reach.g0]", "[reach.g0]\n\"here\" = \"127.0.0.1:1\"", "reach.g0"},
	}
	for _, c := range cases {
		if !strings.Contains(string(raw), c.old) {
			t.Fatalf("%s changes nothing", c.name)
		}
		os.WriteFile(file, []byte(strings.Replace(string(raw), c.old, c.new, 1)), 0o600)
		if f, err := Read(file); err == nil || f != nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", c.name, err, c.says)
		}
	}
	os.WriteFile(file, raw, 0o600)
	for _, c := range []struct{ name, old, new, says string }{
		{"an unknown key of a rule", "lease_ms", "leash_ms", "leash_ms"},
		{"a lease beyond the bound", "lease_ms = 1000.0", "lease_ms = 1990.0", "lease_ms"},
		{"two of a name", `name = "g1"`, `name = "g0"`, "members.1.name"},
		{"a plan that the configuration has not", `name = "basic"`, `name = "cheap"`, "plans.cheap"},
	} {
		if !strings.Contains(string(text), c.old) {
			t.Fatalf("%s changes nothing:\n%s", c.name, text)
		}
		os.WriteFile(rules, []byte(strings.Replace(string(text), c.old, c.new, 1)), 0o600)
		f, err := Read(file)
		if err == nil {
			_, err = NewDaemon(f, zerolog.Nop())
		}
		if err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", c.name, err, c.says)
		}
	}
	last, err := json.Marshal(ruleset.Version{Number: 1, Rules: a.rules})
	if err != nil {
		t.Fatal(err)
	}
	run := filepath.Join(h.dir, "run")
	if err = os.MkdirAll(run, 0o700); err == nil {
		err = os.WriteFile(filepath.Join(run, lastRules), last, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(rules, []byte("lease_ms = 1"), 0o600)
	f, err := Read(file)
	if err != nil || f.resume() != nil || len(f.Instances) != 1 || f.places != 2 {
		t.Errorf("a daemon that knows rules does not go on with them: %v, %+v", err, f)
	}
}
