package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
	"willowdeck/internal/testkit/fakes"
)

// Ports on a daemon's own address; a place's are counted from the first ones, up to 7,900 places and more.
const (
	controlPort  = 6000
	councilPort  = 6001
	frontPort    = 6002 // of a real daemon's meter, where the other voters come to
	metersPort   = 6100 // of a real daemon's meters, one for each other voter
	listenPort   = 7000
	operatorPort = 15000 // two for each place
	peersPort    = 7000  // datagrams
)

// assembly is the processes of one size.
type assembly struct {
	s       *Scenario
	t       *Table
	program string // willowdeck
	self    string // willowdeck-lab
	site    *site
	dir     string // the site's
	net     *loopback
	n       int // gatekeepers
	rules   ruleset.Rules
	real    []*daemon
	hosts   []HollowHost
	perHost int
	voters  []raftlog.Host
	meters  []*meter
	list    *fakes.Discovery
	tree    tree      // of relays
	below   []*daemon // real ones that follow relays

	hostProcess *child
	hostless    Report // of it, before it played any
	keepers     []*child
	asking      int
	proposer    int // of the real daemons
	bytes       int // of the rules
}

// daemon is a real one.
type daemon struct {
	*child
	name, ip, dir string
	front         *meter   // to it
	meters        []*meter // from it to each other voter
}

func (d *daemon) at(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// relayed tells whether hosts hear of rules by relays.
func (a *assembly) relayed() bool { return a.s.Distribution == Relays }

// formerly is how many members rules may have without naming a feature.
const formerly = 500

// needs are the features that rules of a size have to name, as far as this program knows them.
func needs(n int) []string {
	if n > formerly && ruleset.SupportsFeature(ruleset.FeatureManyMembers) {
		return []string{ruleset.FeatureManyMembers}
	}
	return nil
}

// plans are the rules' plans: every other one has a ceiling.
func plans(n int) (all []ruleset.Plan) {
	for i := range n {
		p := ruleset.Plan{Name: fmt.Sprintf("plan-%d", i), Rate: 500, Burst: 500}
		if i%2 == 1 {
			p.CeilingRate, p.CeilingDepth = 5e5, 5e5
		}
		all = append(all, p)
	}
	return all
}

// newAssembly lays a size out: real daemons with a few gatekeepers each, then hollow hosts.
func newAssembly(s *Scenario, t *Table, p Programs, at *site, n int) (*assembly, error) {
	a := &assembly{s: s, t: t, program: p.Willowdeck, self: p.Lab, site: at, dir: at.dir, net: at.net, n: n}
	dir := at.dir
	var err error
	if a.list, err = fakes.NewDiscovery(fakes.Entry{Name: "w0", Address: "127.0.0.1:9", Zone: "z0",
		Type: "m", Status: "active", Weight: 1}); err != nil {
		return nil, err
	}
	c := &s.Council
	a.rules = ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: c.LeaseMS,
		ConflictBoundMillis: c.BoundMS,
		Fallback:            ruleset.Fallback{Fraction: c.FallbackPart, DurationMillis: c.FallbackMS},
		Plans:               plans(c.Plans)}
	a.rules.Needs = needs(n)
	for i := range c.Daemons {
		d := &daemon{name: fmt.Sprintf("council-%d", i), ip: a.net.ip()}
		d.dir = filepath.Join(dir, d.name)
		a.real = append(a.real, d)
		a.voters = append(a.voters, raftlog.Host{Name: d.name, Address: d.at(frontPort)})
		for range c.Gatekeepers {
			if !a.relayed() {
				a.member(d.name, d.ip)
			}
		}
	}
	if a.relayed() {
		a.plant()
		for i := range s.Relays.Hosts {
			d := &daemon{name: fmt.Sprintf("real-%d", i), ip: a.net.ip()}
			d.dir = filepath.Join(dir, d.name)
			a.below = append(a.below, d)
			for range c.Gatekeepers {
				a.member(d.name, d.ip)
			}
		}
	}
	left := max(n-len(a.rules.Members), 0)
	hosts := (left + s.Hollow.PerHost - 1) / s.Hollow.PerHost
	if !a.relayed() {
		hosts = min(hosts, c.MostVoters-c.Daemons)
	}
	if hosts > 0 {
		a.perHost = (left + hosts - 1) / hosts
	}
	for i := 0; left > 0; i++ {
		ip := a.net.ip()
		h := HollowHost{Name: fmt.Sprintf("host-%d", i), Listen: fmt.Sprintf("%s:%d", ip, councilPort),
			Control: fmt.Sprintf("%s:%d", ip, controlPort), Store: filepath.Join(dir, fmt.Sprintf("host-%d.db", i))}
		if a.relayed() { // a zone's hosts follow one another
			h.Upstream = a.zoneRelays(i*s.Relays.Zones/hosts, i)
		} else {
			a.voters = append(a.voters, raftlog.Host{Name: h.Name, Address: h.Listen})
		}
		a.hosts = append(a.hosts, h)
		for range min(a.perHost, left) {
			a.member(h.Name, ip)
			left--
		}
	}
	for i := range a.hosts {
		if !a.relayed() {
			a.hosts[i].Voters = a.voters
		}
	}
	return a, nil
}

func (a *assembly) member(host, ip string) {
	i := len(a.rules.Members)
	a.rules.Members = append(a.rules.Members, ruleset.Member{Name: fmt.Sprintf("gatekeeper-%04d", i), Host: host,
		Peers: fmt.Sprintf("%s:%d", ip, peersPort+i)})
}

// prepare writes a real daemon's files, and starts the meters of its part in the council.
func (a *assembly) prepare(d *daemon) error {
	if err := os.MkdirAll(d.dir, 0o700); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"scale\"\nconfig = \"gatekeeper.json\"\nrun_dir = \"run\"\ncontrol = %q\n"+
		"listen = %q\noperators = %q\nprogram = %q\nready_s = 20\n", d.at(controlPort), d.at(listenPort),
		d.at(operatorPort), a.program)
	fmt.Fprintf(&b, "[restart]\nfirst_ms = 100\nmost_ms = 1000\ncalm_s = 5\n[council]\nme = %q\nlisten = %q\n"+
		"store = \"council.db\"\nrules = \"rules.toml\"\nfound = true\n", d.name, d.at(councilPort))
	if a.relayed() {
		fmt.Fprintf(&b, "serve = %q\n", d.at(servePort))
	}
	fmt.Fprint(&b, "hosts = [")
	for _, v := range a.voters {
		fmt.Fprintf(&b, "{ name = %q, address = %q }, ", v.Name, v.Address)
	}
	fmt.Fprint(&b, "]\n[reach.council]\n")
	for i, v := range a.voters {
		if v.Name == d.name {
			continue
		}
		m, err := newMeter(d.at(metersPort+i), v.Address)
		if err != nil {
			return err
		}
		d.meters, a.meters = append(d.meters, m), append(a.meters, m)
		fmt.Fprintf(&b, "%q = %q\n", v.Address, m.at)
	}
	var err error
	if d.front, err = newMeter(d.at(frontPort), d.at(councilPort)); err != nil {
		return err
	}
	a.meters = append(a.meters, d.front)
	if err := os.WriteFile(filepath.Join(d.dir, "fleet.toml"), []byte(b.String()), 0o600); err != nil {
		return err
	}
	if err := a.gatekeepers(d); err != nil {
		return err
	}
	return a.write(d, &a.rules)
}

// gatekeepers writes what a daemon's gatekeepers are told.
func (a *assembly) gatekeepers(d *daemon) error {
	raw, err := json.Marshal(gatekeeperFile(a.list.Addr, a.list.List(), &a.rules, nil))
	if err == nil {
		err = os.WriteFile(filepath.Join(d.dir, "gatekeeper.json"), raw, 0o600)
	}
	return err
}

// follow starts the real daemons below relays.
func (a *assembly) follow() error {
	for i, d := range a.below {
		if err := os.MkdirAll(d.dir, 0o700); err != nil {
			return err
		}
		if err := a.gatekeepers(d); err != nil {
			return err
		}
		var quoted []string
		for _, at := range a.zoneRelays(i%a.s.Relays.Zones, i) {
			quoted = append(quoted, fmt.Sprintf("%q", at))
		}
		text := fmt.Sprintf("name = \"scale\"\nconfig = \"gatekeeper.json\"\nrun_dir = \"run\"\ncontrol = %q\n"+
			"listen = %q\noperators = %q\nprogram = %q\nready_s = 20\n[restart]\nfirst_ms = 100\nmost_ms = 1000\n"+
			"calm_s = 5\n[relay]\nme = %q\nupstream = [%s]\nstore = \"relay.copy\"\n", d.at(controlPort),
			d.at(listenPort), d.at(operatorPort), a.program, d.name, strings.Join(quoted, ", "))
		err := os.WriteFile(filepath.Join(d.dir, "fleet.toml"), []byte(text), 0o600)
		if err == nil {
			d.child, err = a.site.real(d.name, d.dir, a.program, "fleet", "--file", "fleet.toml")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// keeping gives the real daemons that have gatekeepers.
func (a *assembly) keeping() []*daemon {
	if a.relayed() {
		return a.below
	}
	return a.real
}

// gatekeeperFile is a gatekeeper's configuration, for the daemon or for a gatekeeper alone.
func gatekeeperFile(discovery string, known fakes.List, r *ruleset.Rules,
	more map[string]any) map[string]any {
	var tariffs []map[string]any
	for _, p := range r.Plans {
		tariffs = append(tariffs, map[string]any{"name": p.Name, "rate": p.Rate, "most_at_once": p.Burst,
			"hard_rate": p.CeilingRate, "cap_depth": p.CeilingDepth, "worth_factor": 1})
	}
	c := map[string]any{"discovery": discovery, "seed": "5", "known": known,
		"limits": map[string]any{"cores": 1, "sockets": 512, "memory_mb": 256},
		"settings": map[string]any{"me": 0, "balancers": 1,
			"classes": []map[string]any{{"name": "check", "aim_us": 500e3, "effect": "read_like", "worth": 1}},
			"tariffs": tariffs, "allowed": map[string]any{"max_attempts": 3, "cancel": true, "retry_after": true,
				"max_retry_after_us": 9e6, "keepalive_us": 5e6, "connect_timeout_us": 100e3, "peers": true},
			"family_info": map[string]any{"largest": 1, "peer_in_per_s": 60},
			"safety":      map[string]any{"answer_slack_us": 8000}, "score_parts": map[string]any{"whole": 1}}}
	for k, v := range more {
		c[k] = v
	}
	return c
}

// write writes a daemon's file of rules, whether they pass the check or not: the daemon is to say so.
func (a *assembly) write(d *daemon, r *ruleset.Rules) error {
	text, err := rulefile.Encode(r)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, "rules.toml")
	if err := os.WriteFile(path+".part", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}

// start starts a size's real daemons; refused is what they say where the program takes no such size.
func (a *assembly) start(ctx context.Context) (refused string, err error) {
	for _, d := range a.real {
		if err := a.prepare(d); err != nil {
			return "", err
		}
		if d.child, err = a.site.real(d.name, d.dir, a.program, "fleet", "--file", "fleet.toml"); err != nil {
			return "", err
		}
	}
	first := a.real[0]
	err = wait(ctx, 20*time.Second, first.name+" is up", func() (bool, error) {
		if first.over() {
			return true, nil
		}
		_, err := ask(first.at(controlPort), "/fleet/council")
		return err == nil, nil
	})
	if first.child.over() {
		return first.says(), nil
	}
	return "", err
}

// hollow starts a hollow process and tells it what to play.
func (a *assembly) hollow(name string, h Hollow) (*child, error) {
	h.Cluster, h.Plans = "scale", plans(a.s.Council.Plans)
	c, err := a.site.hollow(name, a.self)
	if err != nil {
		return nil, err
	}
	if err := c.tell(h); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// populate starts the hollow gatekeepers: members of hollow hosts in turn, up to so many.
func (a *assembly) populate(most int, trial bool) error {
	var all []HollowKeeper
	for _, m := range a.rules.Members {
		h := slices.IndexFunc(a.hosts, func(h HollowHost) bool { return h.Name == m.Host })
		if h < 0 {
			continue
		}
		all = append(all, HollowKeeper{Name: m.Name, Pid: 1 + len(all), Host: a.hosts[h].Control,
			LeaseMS: a.rules.LeaseMillis, Trial: trial, Changes: a.relayed()})
	}
	if n := len(all); n > most { // spread over all hosts
		for i := range most {
			all[i] = all[i*n/most]
			all[i].Pid = 1 + i
		}
		all = all[:most]
	}
	a.asking = len(all)
	for i := 0; i < len(all); i += a.s.Hollow.PerProcess {
		some := all[i:min(i+a.s.Hollow.PerProcess, len(all))]
		c, err := a.hollow(fmt.Sprintf("gatekeepers-%d", len(a.keepers)),
			Hollow{Role: keeperRole, PerS: a.s.Hollow.BeginPerS, Keepers: some})
		if err != nil {
			return err
		}
		a.keepers = append(a.keepers, c)
	}
	return nil
}

// all has all hollow gatekeepers do something at once, and adds their answers up.
func (a *assembly) all(o Order) (sum Report, err error) {
	answers, errs := make([]Report, len(a.keepers)), make([]error, len(a.keepers))
	var out sync.WaitGroup
	for i, c := range a.keepers {
		out.Go(func() { answers[i], errs[i] = c.order(o) })
	}
	out.Wait()
	for i, r := range answers {
		if errs[i] != nil {
			return sum, errs[i]
		}
		sum.UpIn, sum.UpOut = sum.UpIn+r.UpIn, sum.UpOut+r.UpOut
		sum.CPU, sum.RSS, sum.Descriptors = sum.CPU+r.CPU, sum.RSS+r.RSS, sum.Descriptors+r.Descriptors
		sum.In, sum.Out, sum.Messages = sum.In+r.In, sum.Out+r.Out, sum.Messages+r.Messages
		sum.Count, sum.Reached = sum.Count+r.Count, sum.Reached+r.Reached
		sum.Late, sum.Silent, sum.Spoilt = sum.Late+r.Late, sum.Silent+r.Silent, sum.Spoilt+r.Spoilt
		sum.AnswerBytes, sum.Version = max(sum.AnswerBytes, r.AnswerBytes), max(sum.Version, r.Version)
		sum.At = append(sum.At, r.At...)
		if r.Why != "" {
			sum.Why = r.Why
		}
	}
	return sum, nil
}

// reached waits for all hollow gatekeepers to go by a version, and gives when each came to.
func (a *assembly) reached(ctx context.Context, version uint64, within time.Duration) (at []float64,
	err error) {
	var last Report
	err = wait(ctx, within, fmt.Sprintf("all go by version %d", version), func() (bool, error) {
		if last, err = a.all(Order{Do: "reached", Version: version}); err != nil {
			return false, err
		}
		return last.Reached == last.Count, nil
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %d of %d do; %s", err, last.Reached, last.Count, last.Why)
	}
	return last.At, nil
}

// realGatekeepers waits for the real ones to go by a version, leased.
func (a *assembly) realGatekeepers(ctx context.Context, version uint64, within time.Duration) error {
	if a.s.Council.Gatekeepers == 0 {
		return nil
	}
	what := fmt.Sprintf("the real gatekeepers go by version %d", version)
	return wait(ctx, within, what, func() (bool, error) {
		for _, d := range a.keeping() {
			page, err := ask(d.at(controlPort), "/fleet/stats")
			if err != nil {
				return false, nil
			}
			for _, m := range a.rules.Members {
				if m.Host != d.name {
					continue
				}
				control, there := line(page, "fleet."+m.Name+".control")
				if !there {
					return false, nil
				}
				figures, err := ask(control, "/admin/stats")
				if err != nil || number(figures, "svc.rules.version") < float64(version) ||
					number(figures, "svc.rules.mode") != float64(ruleset.ModeLeased) {
					return false, nil
				}
			}
		}
		return true, nil
	})
}

// propose has the first daemon propose rules, and gives when it was told to.
func (a *assembly) propose(r *ruleset.Rules) (float64, error) {
	d := a.real[a.proposer]
	if err := a.write(d, r); err != nil {
		return 0, err
	}
	at := boot()
	return at, d.renew()
}

// close ends all that was started, the lower ends first.
func (a *assembly) close() {
	var out sync.WaitGroup
	for _, c := range a.keepers {
		out.Go(c.stop)
	}
	out.Wait()
	for _, d := range slices.Concat(a.below, a.real) {
		if d.child != nil {
			out.Go(d.stop)
		}
	}
	for _, r := range slices.Concat(a.tree.regions, a.tree.zones) {
		if r.child != nil {
			out.Go(r.stop)
		}
	}
	out.Wait()
	if a.hostProcess != nil {
		a.hostProcess.stop()
	}
	for _, d := range slices.Concat(a.below, a.real) {
		strays(filepath.Join(d.dir, "run"))
	}
	for _, m := range a.meters {
		m.close()
	}
	a.list.Close()
}
