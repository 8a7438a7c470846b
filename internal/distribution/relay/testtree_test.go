package relay

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
	"willowdeck/internal/testkit/faultinject"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/testkit/ports"
)

const (
	activationTimeout    = 10 * time.Second // until a change is in force everywhere without partitions
	councilDaemons       = 3
	hostsPerZone         = 2 // per zone
	gatewaysPerHost      = 2 // per host
	clockToleranceMillis = 300.0
	checkpointFile       = "store/relay.copy" // in a relay's directory
)

// testTree is a raft group, two region relays below it, and two zones of two relays each, all of them real
// processes; below each zone's relays are hollow hosts with their gateways. Responses to regions and zones
// pass links that can be partitioned, and those to one zone a faulty proxy as well.
type testTree struct {
	t             *testing.T
	dir           string
	records       string
	network       *faultinject.Net
	firstPort     int
	voters        []*faultinject.Process
	relays        map[string]*faultinject.Process
	adminAddress  map[string]string // by relay
	listenAddress map[string]string // by relay
	disks         map[string]*faultinject.Disk
	proxies       map[string]*faultyProxy // by relay of zone b
	members       []ruleset.Member
	zones         map[string][]*hollowHost
	generation    int
	rules         map[int]ruleset.Rules
	rigLog        *history.Log
	slowest       time.Duration
	report        []string
}

func (x *testTree) address(i, port int) string {
	return fmt.Sprintf("127.0.0.%d:%d", 2+i, x.firstPort+port)
}

// startTree starts a tree with its first rules in force.
func startTree(t *testing.T) *testTree {
	t.Helper()
	dir := t.TempDir()
	x := &testTree{t: t, dir: dir, records: filepath.Join(dir, "records"), network: faultinject.NewNet(t, 1),
		firstPort: ports.Span(t, 3+2*6), relays: map[string]*faultinject.Process{},
		adminAddress:  map[string]string{},
		listenAddress: map[string]string{}, disks: map[string]*faultinject.Disk{},
		proxies: map[string]*faultyProxy{},
		zones:   map[string][]*hollowHost{}, rules: map[int]ruleset.Rules{}}
	if err := os.MkdirAll(x.records, 0o700); err != nil {
		t.Fatal(err)
	}
	var err error
	if x.rigLog, err = history.Open(filepath.Join(x.records, "rig.jsonl"), "rig", 1); err != nil {
		t.Fatal(err)
	}
	for _, z := range []string{"a", "b"} {
		for h := range hostsPerZone {
			for range gatewaysPerHost {
				x.members = append(x.members, ruleset.Member{Name: fmt.Sprintf("g%d", len(x.members)),
					Host: fmt.Sprintf("%s-host%d", z, h)})
			}
		}
	}
	x.generation = 1
	x.rules[1] = generation(1, x.members)
	for i := range councilDaemons {
		x.startDaemon(i)
	}
	for i, name := range []string{"r0", "r1"} {
		var up []string
		for j := range councilDaemons {
			c := (i + j) % councilDaemons
			up = append(up, x.network.Stream(name, fmt.Sprintf("c%d", c), x.address(c, 2)))
		}
		x.startRelay(name, 3+2*i, up)
	}
	for i, name := range []string{"a0", "a1", "b0", "b1"} {
		var up []string
		for j := range 2 {
			r := fmt.Sprintf("r%d", (i+j)%2)
			to := x.listenAddress[r]
			if name[0] == 'b' {
				if x.proxies[name] == nil {
					x.proxies[name] = &faultyProxy{t: t}
				}
				to = x.proxies[name].listen(to)
			}
			up = append(up, x.network.Stream(name, r, to))
		}
		x.startRelay(name, 7+2*i, up)
	}
	for _, z := range []string{"a", "b"} {
		x.startHosts(z)
	}
	t.Cleanup(func() {
		for _, all := range x.zones {
			for _, h := range all {
				h.close()
			}
		}
	})
	x.waitForGeneration("start, empty disks", 1)
	return x
}

// startDaemon starts a voter of the raft group.
func (x *testTree) startDaemon(i int) {
	x.t.Helper()
	name := fmt.Sprintf("c%d", i)
	dir := filepath.Join(x.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		x.t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"till\"\nconfig = \"gatekeeper.json\"\nrun_dir = \"run\"\ncontrol = %q\n"+
		"listen = \"127.0.1.1:20000\"\noperators = \"127.0.1.2:20000\"\n[council]\nme = %q\nlisten = %q\n"+
		"serve = %q\nstore = \"council.db\"\nrules = \"rules.toml\"\nfound = true\nhosts = [", x.address(i, 0),
		name,
		x.address(i, 1), x.address(i, 2))
	for j := range councilDaemons {
		fmt.Fprintf(&b, "{name = \"c%d\", address = %q}, ", j, x.address(j, 1))
	}
	b.WriteString("]\n")
	x.writeFile(filepath.Join(dir, "fleet.toml"), b.String())
	x.writeFile(filepath.Join(dir, "gatekeeper.json"), "{}")
	x.writeFile(filepath.Join(dir, "rules.toml"), x.encodeRules(x.rules[1]))
	x.voters = append(x.voters, faultinject.Start(x.t, faultinject.Spec{Name: name, Dir: dir,
		Args: []string{"fleet", "--file", filepath.Join(dir, "fleet.toml")},
		Env:  []string{"WILLOWDECK_HISTORY=" + x.records}}))
}

// startRelay starts a relay at two ports of the first address.
func (x *testTree) startRelay(name string, port int, upstream []string) {
	x.t.Helper()
	dir := filepath.Join(x.dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "store"), 0o700); err != nil {
		x.t.Fatal(err)
	}
	x.listenAddress[name], x.adminAddress[name] = x.address(0, port), x.address(0, port+1)
	up, _ := json.Marshal(upstream)
	x.writeFile(filepath.Join(dir, "relay.toml"), fmt.Sprintf("name = %q\ncluster = \"till\"\nlisten = %q\n"+
		"control = %q\nupstream = %s\nstore = %q\n", name, x.listenAddress[name], x.adminAddress[name], up,
		checkpointFile))
	x.disks[name] = faultinject.NewDisk(x.t, filepath.Join(dir, "store"))
	x.relays[name] = faultinject.Start(x.t, faultinject.Spec{Name: name, Dir: dir,
		Args: []string{"relay", "--config", filepath.Join(dir, "relay.toml")},
		Env:  []string{"WILLOWDECK_HISTORY=" + x.records}})
}

// startHosts starts a zone's hollow hosts, with checkpoints.
func (x *testTree) startHosts(zone string) {
	x.t.Helper()
	x.zones[zone] = nil
	for h := range hostsPerZone {
		name := fmt.Sprintf("%s-host%d", zone, h)
		checkpoint := NewCheckpoint(filepath.Join(x.dir, name+".copy"), "till", zerolog.Nop())
		x.zones[zone] = append(x.zones[zone], newHollowHost(x.t, name, "till", x.records,
			[]string{x.listenAddress[zone+"0"], x.listenAddress[zone+"1"]}, x.members, checkpoint))
	}
}

func (x *testTree) writeFile(path, text string) {
	x.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

func (x *testTree) encodeRules(r ruleset.Rules) string {
	x.t.Helper()
	text, err := rulefile.Encode(&r)
	if err != nil {
		x.t.Fatal(err)
	}
	return text
}

// propose has a daemon propose the next generation.
func (x *testTree) propose(daemon int) { x.proposeRules(daemon, generation(x.generation+1, x.members)) }

func (x *testTree) proposeRules(daemon int, r ruleset.Rules) {
	x.t.Helper()
	x.generation++
	x.rules[x.generation] = r
	x.submitRules(daemon, r)
}

// submitRules writes a daemon's rules file, and has the daemon reload it.
func (x *testTree) submitRules(daemon int, r ruleset.Rules) {
	x.t.Helper()
	voter := x.voters[daemon]
	x.waitFor(voter.Name+" responds", func() bool {
		_, err := faultinject.Ask(x.address(daemon, 0), "/fleet/council")
		return err == nil
	})
	x.writeFile(filepath.Join(voter.Dir(), "rules.toml"), x.encodeRules(r))
	if err := voter.Renew(); err != nil {
		x.t.Fatal(err)
	}
}

// gateways gives the gateways of zones; of all where none is named.
func (x *testTree) gateways(zones ...string) (all []*hollowGateway) {
	if len(zones) == 0 {
		zones = slices.Sorted(maps.Keys(x.zones))
	}
	for _, z := range zones {
		for _, h := range x.zones[z] {
			all = append(all, h.gateways...)
		}
	}
	return all
}

// waitForGeneration waits until all gateways of zones have a lease on a generation, and reports how long that
// took.
func (x *testTree) waitForGeneration(what string, generation int, zones ...string) time.Duration {
	x.t.Helper()
	start := time.Now()
	for {
		var missing []string
		for _, k := range x.gateways(zones...) {
			if i, ok := k.leasedGeneration(); !ok || i != generation {
				missing = append(missing, fmt.Sprintf("%s: %d %v", k.name, i, k.mode()))
			}
		}
		elapsed := time.Since(start)
		if len(missing) == 0 {
			x.report = append(x.report, fmt.Sprintf("%-54s %6d ms, %d leases lost so far", what,
				elapsed.Milliseconds(), x.leaseLosses()))
			x.slowest = max(x.slowest, elapsed)
			return elapsed
		}
		if elapsed > activationTimeout {
			x.logState()
			x.t.Fatalf("%s: not all act on generation %d after %v: %v", what, generation, activationTimeout, missing)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// logState logs the state of all processes, for a failure.
func (x *testTree) logState() {
	for _, name := range slices.Sorted(maps.Keys(x.relays)) {
		s, err := x.status(name)
		raw, _ := json.Marshal(s)
		x.t.Logf("%s: %s %v\n%s", name, raw, err, tail(x.relays[name].Output()))
	}
	for _, p := range x.voters {
		x.t.Logf("%s: %s", p.Name, tail(p.Output()))
	}
	for _, line := range x.report {
		x.t.Log(line)
	}
}

func tail(text string) string { return text[max(len(text)-1500, 0):] }

func (x *testTree) status(name string) (s Status, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + x.adminAddress[name] + "/relay/status")
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

func (x *testTree) mustStatus(name string) Status {
	x.t.Helper()
	s, err := x.status(name)
	if err != nil {
		x.t.Fatalf("%s: %v: %s", name, err, x.relays[name].Output())
	}
	return s
}

// waitFor waits for a condition, and fails with the state of all processes.
func (x *testTree) waitFor(what string, holds func() bool) {
	x.t.Helper()
	for end := time.Now().Add(activationTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			x.logState()
			x.t.Fatalf("not within %v: %s", activationTimeout, what)
		}
	}
}

// waitForRelay waits until a relay has a snapshot no older than a step.
func (x *testTree) waitForRelay(name string, step uint64) {
	x.t.Helper()
	x.waitFor(name+" is back", func() bool {
		s, err := x.status(name)
		return err == nil && s.Known && s.Step >= step
	})
}

// waitForStoredVersion waits until the checkpoint of a relay holds the version that its upstreams have in
// force, and nothing is pending at them.
func (x *testTree) waitForStoredVersion(name string, upstreams ...string) {
	x.t.Helper()
	path := filepath.Join(x.dir, name, checkpointFile)
	x.waitFor(name+" has stored the version in force above", func() bool {
		rules, _, err := readCheckpoint(path, "till")
		if err != nil {
			return false
		}
		return !slices.ContainsFunc(upstreams, func(upstream string) bool {
			s, err := x.status(upstream)
			return err != nil || s.VersionID != rules.ID().String() || s.Pending != 0
		})
	})
}

func (x *testTree) require(err error) {
	x.t.Helper()
	if err != nil {
		x.t.Fatal(err)
	}
}

func (x *testTree) leaseLosses() (n int64) {
	for _, k := range x.gateways() {
		n += k.lapses()
	}
	return n
}

// leader gives the voter that leads.
func (x *testTree) leader() int {
	x.t.Helper()
	lead := -1
	x.waitFor("a leader", func() bool {
		for i, p := range x.voters {
			if !p.Running() {
				continue
			}
			text, err := faultinject.Ask(x.address(i, 0), "/fleet/council")
			var s struct {
				Leader string `json:"leader"`
			}
			if err == nil && json.Unmarshal([]byte(text), &s) == nil && len(s.Leader) == 2 {
				if lead = int(s.Leader[1] - '0'); x.voters[lead].Running() {
					return true
				}
			}
		}
		return false
	})
	return lead
}

// partition partitions a zone from both regions, or heals the links.
func (x *testTree) partition(zone string, cut faultinject.Cut) {
	for _, zoneRelay := range []string{zone + "0", zone + "1"} {
		for _, regionRelay := range []string{"r0", "r1"} {
			x.network.Part(zoneRelay, regionRelay, cut)
		}
	}
}

// checkHistory stops all and checks the history of all processes.
func (x *testTree) checkHistory() {
	t := x.t
	t.Helper()
	known, lapses := map[uint64]int{}, x.leaseLosses()
	for _, k := range x.gateways() {
		for v, i := range k.knownGenerations() {
			if first, there := known[v]; there && first != i {
				t.Errorf("version %d is generation %d and %d", v, first, i)
			}
			known[v] = i
		}
	}
	for _, h := range slices.Concat(x.zones["a"], x.zones["b"]) {
		h.close()
	}
	clear(x.zones)
	for _, name := range slices.Sorted(maps.Keys(x.relays)) {
		p := x.relays[name]
		x.require(p.Term())
		if !p.Wait(5*time.Second) || !p.Exit().Success() {
			t.Errorf("%s did not exit cleanly: %s", name, tail(p.Output()))
		}
	}
	for _, p := range x.voters {
		x.require(p.Term())
		if !p.Wait(10 * time.Second) {
			t.Errorf("%s did not exit: %s", p.Name, tail(p.Output()))
		}
	}
	x.require(x.rigLog.Close())
	r, err := history.Read(x.records)
	if err != nil {
		t.Fatal(err)
	}
	rules := map[uint64]ruleset.Rules{}
	for v, i := range known {
		rules[v] = x.rules[i]
	}
	v := checkRecord(r, rules)
	for _, violation := range v.violations {
		t.Error(violation)
	}
	for name := range x.relays {
		if v.forwardedVersions[name] == 0 {
			t.Errorf("%s has no history", name)
		}
	}
	if len(v.violations) == 0 {
		checkInjectedViolations(t, r, rules)
	}
	for _, line := range x.report {
		t.Log(line)
	}
	t.Logf("%d events; versions in force %d (%s); longest contradiction %.0f ms of %.0f; lapses %d; slowest %v",
		len(r.Events), v.versions.InForce, v.versions.Checker, v.contradictions.Longest, contradictionBound, lapses,
		x.slowest.Round(time.Millisecond))
}

// contradictionBound is how long two gateways may act on contradicting versions, ms.
var contradictionBound = ruleset.ConflictBoundMillis(&ruleset.Rules{LeaseMillis: 1000})

// findings are what is found in a history.
type findings struct {
	violations        []string
	versions          history.Versioned
	contradictions    history.Contradictions
	forwardedVersions map[string]int
}

// checkRecord checks a history, with the rules by version.
func checkRecord(r history.Record, rules map[uint64]ruleset.Rules) findings {
	v := findings{versions: history.Versions(r), forwardedVersions: map[string]int{},
		contradictions: history.Contradiction(r, history.Leases(rules), contradictionBound, clockToleranceMillis)}
	fail := func(format string, args ...any) {
		v.violations = append(v.violations,
			fmt.Sprintf(format, args...))
	}
	if v.versions.Count > 0 || v.versions.Seen == 0 || v.versions.Checker == "Illegal" {
		fail("versions: %v (%s)", v.versions.Result, v.versions.Checker)
	}
	if v.contradictions.Count > 0 || v.contradictions.Seen == 0 {
		fail("contradictions: %v", v.contradictions.Result)
	}
	type process struct {
		who     string
		process uint32
	}
	newest := map[process]uint64{}
	for _, event := range r.Events {
		if event.Kind != history.Acts && event.Kind != history.ReportedInForce || event.Mode == history.Bare {
			continue
		}
		if event.Kind == history.ReportedInForce && event.Says != "" {
			fail("%s publishes an invalid ruleset: %s", event.Who, event.Says)
		}
		p := process{event.Who, event.Incarnation}
		if event.Version < newest[p] {
			fail("%s went back from version %d to %d", event.Who, newest[p], event.Version)
		}
		newest[p] = max(newest[p], event.Version)
		if event.Kind == history.ReportedInForce {
			v.forwardedVersions[event.Who]++
		}
	}
	return v
}

// checkInjectedViolations injects violations into a valid history, one at a time: each has to be found.
func checkInjectedViolations(t *testing.T, r history.Record, rules map[uint64]ruleset.Rules) {
	t.Helper()
	indexOf := func(holds func(history.Event) bool) int {
		i := slices.IndexFunc(r.Events, holds)
		if i < 0 {
			t.Fatal("no event in the history to inject a violation at")
		}
		return i
	}
	fromRelay := func(e history.Event) bool {
		return e.Kind == history.ReportedInForce && e.Digest != "" && e.Who[0] == 'a'
	}
	last := r.Events[len(r.Events)-1].At
	for what, inject := range map[string]func([]history.Event) []history.Event{
		"a gateway goes back": func(events []history.Event) []history.Event {
			i := indexOf(func(e history.Event) bool { return e.Kind == history.Acts && e.Version >= 3 })
			e := events[i]
			e.Version, e.Mode = 1, history.Leased
			return slices.Insert(events, i+1, e)
		},
		"a relay goes back": func(events []history.Event) []history.Event {
			i := indexOf(func(e history.Event) bool { return fromRelay(e) && e.Version >= 3 })
			e := events[i]
			e.Version, e.Digest = 1, ""
			return slices.Insert(events, i+1, e)
		},
		"a relay publishes other rules under a version's number": func(events []history.Event) []history.Event {
			events[indexOf(fromRelay)].Digest = "000000000000"
			return events
		},
		"a relay publishes a superseded version": func(events []history.Event) []history.Event {
			i := indexOf(func(e history.Event) bool { return fromRelay(e) && e.Version == 1 })
			e := events[i]
			e.At, e.Who = last, "z9"
			return append(events, e)
		},
		"a gateway acts on an expired lease": func(events []history.Event) []history.Event {
			i := indexOf(func(e history.Event) bool { return e.Kind == history.Acts && e.Version == 2 })
			e := events[i]
			e.Who, e.Mode = "z9", history.Leased
			return slices.Insert(events, i+1, e)
		},
	} {
		broken := r
		broken.Events = inject(slices.Clone(r.Events))
		if len(checkRecord(broken, rules).violations) == 0 {
			t.Errorf("injected and not found: %s", what)
		}
	}
}

// TestGenerations: a mix of two generations shows in each part of a ruleset.
func TestGenerations(t *testing.T) {
	complete := func() ruleset.Rules { return generation(3, membersOf(2, "h")) }
	other := generation(4, membersOf(2, "h"))
	if r := complete(); len(generationsIn(&r)) != 1 || !generationsIn(&r)[3] {
		t.Errorf("consistent rules of generation 3 are of %v", generationsIn(&r))
	}
	for i, mix := range []func(*ruleset.Rules){
		func(r *ruleset.Rules) { r.Plans[0] = other.Plans[0] },
		func(r *ruleset.Rules) { r.Plans[1] = other.Plans[1] },
		func(r *ruleset.Rules) { r.WorkerOverrides = other.WorkerOverrides },
		func(r *ruleset.Rules) { r.Members[1] = other.Members[1] },
	} {
		r := complete()
		if mix(&r); len(generationsIn(&r)) != 2 {
			t.Errorf("mix %d is not found", i)
		}
	}
}
