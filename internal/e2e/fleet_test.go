// Package e2e holds what is tested of all of it together: daemons of several hosts that agree on rules,
// their instances, workers and discovery, clients that ask at an open pace, and faults in and between all of
// them, drawn by a seed. What must hold is checked over the merged record afterwards.
package e2e

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
	"willowdeck/internal/supervisor"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/history"
)

const (
	ceiling, depth    = 3.0, 5.0   // of the plan "capped", units a second and units, by instance
	lentRate, lentAll = 30.0, 30.0 // of the plan "lent": its rate and burst
	lentS, repayS     = 1.0, 4.0   // s: its line, and until when what is lent is paid back
	lease             = 1000.0     // ms
	workers           = 6
	coldFrom, warmUp  = 0.2, 4000.0 // of a worker that has just started, and ms until it is warm
	// readyIn is how long all may take to come up, or to be well again: daemons elect, instances are started
	// one after the other, on a machine that does other work.
	readyIn = 60 * time.Second
)

// plans and products, in the order of their numbers.
var (
	planNames    = []string{"basic", "capped", "lent"}
	productNames = []string{"check", "sale", "issue"}
)

// host is one host: a daemon at an address of its own, with its instances.
type host struct {
	name, ip, dir, control, council string
}

// party is all that takes part in a run.
type party struct {
	t       faultinject.T
	net     *faultinject.Net
	rig     *faultinject.Rig
	hosts   []*host
	first   int // port of each host's first
	records string
	workers []*fakes.Worker
	entries []fakes.Entry // as discovery has them, with the relays' addresses
	list    *fakes.Discovery
	log     *history.Log     // of the rig
	rules   ruleset.Rules    // last proposed
	entered []ruleset.Member // all that may be members, by place
	stalled map[string]faultinject.Instance
	cuts    map[[2]string]faultinject.Cut // as drawn
	shapes  map[[2]string]faultinject.Shape

	mu     sync.Mutex
	known  map[string]ruleset.Rules // all that were proposed, by their digest
	absent map[int]bool             // places that no client asks
	spells map[string]*spell        // of workers
}

// gather starts n hosts with k instances each, and waits until all are leased.
func gather(t faultinject.T, n, k int, seed int64) *party {
	t.Helper()
	dir, err := os.MkdirTemp("", "wdw") // sockets' paths are short
	p := &party{t: t, net: faultinject.NewNet(t, seed), records: filepath.Join(dir, "records"),
		stalled: map[string]faultinject.Instance{}, cuts: map[[2]string]faultinject.Cut{},
		shapes: map[[2]string]faultinject.Shape{}, known: map[string]ruleset.Rules{}, absent: map[int]bool{},
		spells: map[string]*spell{}}
	p.must(err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	p.must(os.Mkdir(p.records, 0o700))
	p.rig = &faultinject.Rig{
		Net:       p.net,
		Processes: map[string]*faultinject.Process{},
		Disks:     map[string]*faultinject.Disk{},
	}
	p.first = faultinject.Ports(t, 4*n*k+2)
	p.log = p.record("rig", 1)
	for i := range workers {
		w, err := fakes.NewWorker(fmt.Sprint("w", i), 5*time.Millisecond)
		p.must(err)
		t.Cleanup(w.Close)
		s := &spell{life: 1, log: p.record(w.Name, 1)}
		w.Record = s
		e := w.Endpoint(string(rune('a' + i%3)))
		e.Address = p.net.Stream("fleet", w.Name, w.Addr)
		p.workers, p.entries, p.spells[w.Name] = append(p.workers, w), append(p.entries, e), s
	}
	p.list, err = fakes.NewDiscovery(p.entries...)
	p.must(err)
	t.Cleanup(p.list.Close)
	p.rules = ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: lease,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		Fallback:            ruleset.Fallback{Fraction: 0.5, DurationMillis: 1000},
		Plans: []ruleset.Plan{{Name: "basic", Rate: 500, Burst: 500},
			{Name: "capped", Rate: 200, Burst: 200, CeilingRate: ceiling * float64(n*k),
				CeilingDepth: depth * float64(n*k)},
			{Name: "lent", Rate: lentRate, Burst: lentAll, CreditSeconds: lentS, RepayMillis: repayS * 1000}}}
	for i := range n {
		h := &host{name: fmt.Sprint("h", i), ip: fmt.Sprint("127.0.0.", 2+i)}
		h.dir = filepath.Join(dir, h.name)
		h.control, h.council = fmt.Sprintf("%s:%d", h.ip, p.first), fmt.Sprintf("%s:%d", h.ip, p.first+1)
		p.hosts = append(p.hosts, h)
	}
	for place := range n * k { // dealt out, so that a customer's set is on several hosts
		h := p.hosts[place%n]
		m := ruleset.Member{Name: fmt.Sprint("g", place), Host: h.name,
			Peers: fmt.Sprintf("%s:%d", h.ip, p.first+2+3*n*k+place)}
		p.rules.Members = append(p.rules.Members, m)
		p.net.SetAddress(m.Name, netip.MustParseAddrPort(m.Peers))
	}
	p.entered = slices.Clone(p.rules.Members)
	for _, h := range p.hosts {
		p.prepare(h)
	}
	for _, h := range p.hosts {
		p.rig.Processes[h.name] = faultinject.Start(t, faultinject.Spec{Name: h.name, Dir: h.dir,
			Args: []string{"fleet", "--file", "fleet.toml"}, Env: []string{"WILLOWDECK_HISTORY=" + p.records}})
		p.rig.Disks[h.name] = faultinject.NewDisk(t, filepath.Join(h.dir, "store"))
	}
	p.well()
	return p
}

func (p *party) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatalf("%v", err)
	}
}

func (p *party) record(name string, life uint32) *history.Log {
	p.t.Helper()
	l, err := history.Open(filepath.Join(p.records, fmt.Sprintf("%s.%d.jsonl", name, life)), name, life)
	p.must(err)
	return l
}

// prepare writes a host's files.
func (p *party) prepare(h *host) {
	p.t.Helper()
	p.must(os.MkdirAll(filepath.Join(h.dir, "store"), 0o700))
	classes := []map[string]any{{"name": "check", "aim_us": 800e3, "effect": "read_like", "worth": 1},
		{"name": "sale", "aim_us": 800e3, "effect": "idempotency_key", "group": "all", "window_us": 5e6,
			"worth": 1},
		{"name": "issue", "aim_us": 800e3, "effect": "non_idempotent", "worth": 1}}
	var tariffs []map[string]any
	for _, q := range p.rules.Plans {
		f := map[string]any{"name": q.Name, "rate": q.Rate, "most_at_once": q.Burst, "worth_factor": 1}
		if q.CeilingRate > 0 {
			f["hard_rate"], f["cap_depth"] = q.CeilingRate, q.CeilingDepth
		}
		if q.CreditSeconds > 0 { // so that one that comes up without a daemon knows by what it pays back
			f["credit_s"], f["repay_s"] = q.CreditSeconds, q.RepayMillis/1000
		}
		tariffs = append(tariffs, f)
	}
	config, err := json.Marshal(map[string]any{"discovery": p.net.Stream("fleet", "list", p.list.Addr),
		"seed": "5", "known": p.list.List(), "limits": map[string]any{"sockets": 256, "memory_mb": 64},
		"settings": map[string]any{"me": 0, "balancers": 1, "classes": classes, "tariffs": tariffs,
			"allowed": map[string]any{"max_attempts": 3, "cancel": true, "retry_after": true,
				"max_retry_after_us": 9e6, "keepalive_us": 5e6, "connect_timeout_us": 100e3, "peers": true},
			"family_info": map[string]any{"largest": 1, "peer_in_per_s": 100},
			"safety": map[string]any{"answer_slack_us": 5000, "cold_from": coldFrom,
				"warm_up_us": warmUp * 1000}}})
	p.must(err)
	p.must(os.WriteFile(filepath.Join(h.dir, "gatekeeper.json"), config, 0o600))
	all := len(p.rules.Members)
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"till\"\nconfig = \"gatekeeper.json\"\nrun_dir = \"run\"\nstep = 2\ncontrol = %q\n"+
		"listen = \"%s:%d\"\noperators = \"%s:%d\"\n", h.control, h.ip, p.first+2, h.ip, p.first+2+all)
	fmt.Fprintf(&b, "[restart]\nfirst_ms = 50\nmost_ms = 500\ncalm_s = 5\n[council]\nme = %q\nlisten = %q\n"+
		"store = \"store/council.db\"\nrules = \"rules.toml\"\nfound = true\nhosts = [", h.name, h.council)
	for _, o := range p.hosts {
		fmt.Fprintf(&b, "{name = %q, address = %q}, ", o.name, o.council)
	}
	fmt.Fprint(&b, "]\n[reach.council]\n")
	for _, o := range p.hosts {
		if o != h {
			fmt.Fprintf(&b, "%q = %q\n", o.council, p.net.Stream(h.name, o.name, o.council))
		}
	}
	for _, m := range p.rules.Members {
		if m.Host != h.name {
			continue
		}
		fmt.Fprintf(&b, "[reach.%s]\n", m.Name)
		for _, o := range p.rules.Members {
			if o.Name != m.Name {
				to, _ := p.net.Datagrams(m.Name, o.Name)
				fmt.Fprintf(&b, "%q = %q\n", o.Peers, to)
			}
		}
	}
	p.must(os.WriteFile(filepath.Join(h.dir, "fleet.toml"), []byte(b.String()), 0o600))
	p.write(h, p.rules)
}

// write writes a host's file of rules, and keeps them for the checks by their digest.
func (p *party) write(h *host, r ruleset.Rules) (mark string) {
	p.t.Helper()
	text, err := rulefile.Encode(&r)
	if err == nil {
		r, err = rulefile.Decode(text) // as the daemon reads them
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(h.dir, "rules.toml"), []byte(text), 0o600)
	}
	if err != nil {
		p.t.Errorf("rules: %v", err)
	}
	mark = raftlog.RulesDigest(&r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[mark] = r
	return mark
}

// sitting asks a host's daemon how the council stands.
func (h *host) sitting() (s supervisor.RaftGroupStatus, ok bool) {
	page, err := faultinject.Ask(h.control, "/fleet/council")
	return s, err == nil && json.Unmarshal([]byte(page), &s) == nil
}

func (h *host) instances() []faultinject.Instance {
	return faultinject.Instances(filepath.Join(h.dir, "run"))
}

// instance finds the process of a member; false where none runs.
func (p *party) instance(name string) (faultinject.Instance, bool) {
	for _, h := range p.hosts {
		for _, i := range h.instances() {
			if i.Name == name {
				return i, true
			}
		}
	}
	return faultinject.Instance{}, false
}

// well waits until all daemons have one version in force with nothing pending, and every member's instance
// goes by it, leased.
func (p *party) well() {
	p.t.Helper()
	why := ""
	good := func() bool {
		version, members := uint64(0), 0
		for _, h := range p.hosts {
			s, ok := h.sitting()
			if version == 0 {
				version = s.Rules.Version
			}
			if !ok || version == 0 || s.Rules.Version != version || s.Rules.PendingVersion > 0 ||
				s.Rules.WantedProposal != "" {
				why = fmt.Sprintf("%s: version %d, %d pending, wanted %q (%t)", h.name, s.Rules.Version,
					s.Rules.PendingVersion, s.Rules.WantedProposal, ok)
				return false
			}
		}
		s, _ := p.hosts[0].sitting()
		p.mu.Lock()
		for _, m := range p.known[s.Rules.Digest].Members {
			if m.Name != "" {
				members++
			}
		}
		p.mu.Unlock()
		leased := 0
		for _, h := range p.hosts {
			for _, i := range h.instances() {
				by, _ := faultinject.Figure(i.Control, "svc.rules.version")
				mode, ok := faultinject.Figure(i.Control, "svc.rules.mode")
				if ok && by == int64(version) && mode == int64(ruleset.ModeLeased) {
					leased++
				} else {
					why = fmt.Sprintf("%s goes by version %d of %d in mode %d", i.Name, by, version, mode)
				}
			}
		}
		if leased == members && members > 0 {
			return true
		}
		why += fmt.Sprintf("; %d of %d leased", leased, members)
		return false
	}
	for end := time.Now().Add(readyIn); !good(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			for _, h := range p.hosts {
				s, _ := h.sitting()
				all := p.rig.Processes[h.name].Output()
				p.t.Logf("%s: %+v\n%s", h.name, s, all[max(len(all)-8000, 0):])
			}
			p.t.Fatalf("not well within %v: %s", readyIn, why)
		}
	}
}

// hostOf gives the host of a member, or "".
func (p *party) hostOf(name string) string {
	for _, m := range p.entered {
		if m.Name == name {
			return m.Host
		}
	}
	return ""
}
