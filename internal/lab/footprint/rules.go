package footprint

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/ruleset/rulefile"
	"willowdeck/internal/supervisor"
)

const (
	perHost    = 16 // gatekeepers of a host: 494 hosts at 7,900
	usualPlans = 5
	usualHosts = 31 // that a council takes, each with a vote

	manyMembers = "members" // the feature that rules of more than 500 members need, where there is one
)

// rules of so many members, plans and words, on hosts of perHost members each, or on no more than some.
func rules(members, plans, words, hosts int) *ruleset.Rules {
	r := &ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: rulefile.DefaultLeaseMillis,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		Fallback: ruleset.Fallback{Fraction: rulefile.DefaultFallbackFraction,
			DurationMillis: rulefile.DefaultFallbackMillis}}
	if ruleset.SupportsFeature(manyMembers) && members > 500 {
		r.Needs = []string{manyMembers}
	}
	for i := range plans {
		r.Plans = append(r.Plans, ruleset.Plan{Name: fmt.Sprintf("plan-%03d", i), Rate: 2 + float64(i), Burst: 20,
			CeilingRate: 200, CeilingDepth: 400})
	}
	for i := range members {
		host := i / perHost
		if hosts > 0 {
			host %= hosts
		}
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("gk-%05d", i),
			Host:  fmt.Sprintf("host-%03d", host),
			Peers: fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255)})
	}
	for i := range words {
		r.WorkerOverrides = append(r.WorkerOverrides, ruleset.WorkerOverride{Worker: fmt.Sprintf("worker-%06d", i),
			Drained: true})
	}
	return r
}

func lease(r *ruleset.Rules) *ruleset.Lease {
	return &ruleset.Lease{Step: 7, Version: ruleset.Version{Number: 3, Rules: *r}, TransitionComplete: true,
		AgeMillis: 12}
}

// answer measures what a daemon tells a gatekeeper five times in a lease.
func answer(over string, r *ruleset.Rules) ([]Value, error) {
	l := lease(r)
	raw, err := l.Encode()
	if err != nil {
		return nil, err
	}
	if _, err = ruleset.DecodeLease(raw); err != nil {
		return nil, err
	}
	read := func() { _, _ = ruleset.DecodeLease(raw) }
	return []Value{{"gatekeeper", "answer with rules over " + over, "B", float64(len(raw))},
		{"gatekeeper", "reading an answer over " + over, "ms", took(read)},
		{"gatekeeper", "allocated in reading an answer over " + over, "B", allocated(read)},
		{"host daemon", "making an answer over " + over, "ms", took(func() { _, _ = l.Encode() })}}, nil
}

// change measures what a council does to take a change of one plan's rate, until it is in force.
func change(n int) ([]Value, error) {
	r := rules(n, usualPlans, 0, usualHosts)
	if err := ruleset.Validate(r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	first := ruleset.LogEntry{Type: ruleset.EntryPropose, ID: "first", Rules: r}
	c := ruleset.NewStateMachine()
	if o := c.Apply(first); o.Activated != 1 {
		return nil, fmt.Errorf("not in force: %+v", o)
	}
	snap, err := c.Snapshot()
	if err != nil {
		return nil, err
	}
	next := *r
	next.Plans = append([]ruleset.Plan{}, r.Plans...)
	next.Plans[0].Rate++
	e := ruleset.LogEntry{Type: ruleset.EntryPropose, ID: "next", Base: 1, Rules: &next}
	raw, err := e.Encode()
	if err != nil {
		return nil, err
	}
	state := c.State()
	var o ruleset.Outcome
	apply := func() {
		d := ruleset.NewStateMachine()
		*d.State() = *state
		d.State().RecentOutcomes = append([]ruleset.ProposalOutcome{}, state.RecentOutcomes...)
		d.State().Superseded = append([]ruleset.SupersededVersion{}, state.Superseded...)
		o = d.Apply(e)
	}
	ms := took(apply)
	if o.Activated != 2 {
		return nil, fmt.Errorf("not in force: %+v", o)
	}
	return []Value{{"council daemon", "a change, applied", "ms", ms},
		{"council daemon", "a change, read from the log", "ms", took(func() {
			_,
				_ = ruleset.DecodeLogEntry(raw)
		})},
		{"council daemon", "a change in the log", "B", float64(len(raw))},
		{"council daemon", "snapshot", "B", float64(len(snap))},
		{"council daemon", "making a snapshot", "ms", took(func() { _, _ = c.Snapshot() })}}, nil
}

// loadDaemonFiles writes the files of a host's daemon, for a raft group of so many hosts, and loads them as
// the daemon does at its start.
func loadDaemonFiles(dir string, members, hosts int) error {
	conf, err := settings(20, usualPlans, 3, 0)
	if err != nil {
		return err
	}
	text, err := rulefile.Encode(rules(members, usualPlans, 0, 0))
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nconfig = %q\nrun_dir = %q\n", "fleet", filepath.Join(dir, "config.json"), dir)
	b.WriteString("control = \"127.0.0.1:4000\"\nlisten = \"127.0.0.1:5000\"\noperators = \"127.0.0.1:20000\"\n")
	fmt.Fprintf(&b,
		"[council]\nme = \"host-000\"\nlisten = \"10.0.0.1:7800\"\nstore = %q\nrules = %q\nhosts = [\n",
		filepath.Join(dir, "council.db"), filepath.Join(dir, "rules.toml"))
	for i := range hosts {
		fmt.Fprintf(&b, "{ name = \"host-%03d\", address = \"10.0.%d.%d:7800\" },\n", i, i>>8, i&255)
	}
	b.WriteString("]\n[host]\nmemory_mb = 65536\nsockets = 1000000\n")
	for name, what := range map[string]string{"config.json": string(conf), "rules.toml": text,
		"fleet.toml": b.String()} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(what), 0o600); err != nil {
			return err
		}
	}
	_, err = supervisor.LoadSettings(filepath.Join(dir, "fleet.toml"))
	return err
}

// fleetFile measures what a host's daemon with some perHost gatekeepers reads at its start, and carries
// out at each change.
func fleetFile(n int) ([]Value, error) {
	dir, err := os.MkdirTemp("", "willowdeck-lab-*")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := ruleset.Validate(rules(n, usualPlans, 0, 0)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if err := loadDaemonFiles(dir, n, usualHosts); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "fleet.toml")
	_, kept := keeps(func() *supervisor.Settings {
		f, _ := supervisor.LoadSettings(path)
		return f
	})
	return []Value{{"host daemon", "reading the fleet's files over members", "ms",
		took(func() { _, _ = supervisor.LoadSettings(path) })},
		{"host daemon", "kept of the fleet's files over members", "B", kept}}, nil
}

// raftGroupOf tells why a council of so many hosts is refused.
func raftGroupOf(hosts int) error {
	dir, err := os.MkdirTemp("", "willowdeck-lab-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err = loadDaemonFiles(dir, 20, hosts); err != nil {
		return errors.New(strings.ReplaceAll(err.Error(), dir+"/", ""))
	}
	return nil
}

// settings is a gatekeeper's configuration with so many peers, plans, routes and known workers.
func settings(peers, plans, routes, workers int) ([]byte, error) {
	type m = map[string]any
	var addresses []string
	for i := range peers {
		addresses = append(addresses, fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255))
	}
	var classes, tariffs []m
	for i := range routes {
		classes = append(classes, m{"name": fmt.Sprintf("route-%06d", i), "aim_us": 1e6, "hard_limit_us": 3e6,
			"worth":  1,
			"effect": "read_like"})
	}
	for i := range plans {
		tariffs = append(tariffs, m{"name": fmt.Sprintf("plan-%03d", i), "rate": 2 + i, "most_at_once": 20})
	}
	all := m{"name": "gk-00000", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:8500",
		"peer_listen": "127.0.0.1:7946", "peers": addresses,
		"settings": m{"me": 0, "balancers": peers, "classes": classes, "tariffs": tariffs,
			"allowed": m{"max_attempts": 3, "peers": true}, "family_info": m{"peer_in_per_s": 60}}}
	if workers > 0 {
		raw, err := endpoints.Append(nil, list(workers))
		if err != nil {
			return nil, err
		}
		all["known"] = json.RawMessage(raw)
	}
	return json.Marshal(all)
}

func none(string) string { return "" }

// read measures what reading a configuration costs at a start.
func read(over string, peers, plans, routes, workers int) ([]Value, error) {
	raw, err := settings(peers, plans, routes, workers)
	if err != nil {
		return nil, err
	}
	if _, err := config.Decode(raw, none); err != nil {
		return nil, err
	}
	g, kept := keeps(func() config.Gateway {
		g, _ := config.Decode(raw, none)
		return g
	})
	values := []Value{{"gatekeeper", "configuration over " + over, "B", float64(len(raw))},
		{"gatekeeper", "reading a configuration over " + over, "ms",
			took(func() { _, _ = config.Decode(raw, none) })},
		{"gatekeeper", "kept of a configuration over " + over, "B", kept}}
	if len(g.Name) == 0 {
		return nil, fmt.Errorf("read without a name")
	}
	return values, nil
}

// Bounds are what refuses the size that is coming.
func Bounds() []Bound {
	check := func(r *ruleset.Rules) error { return ruleset.Validate(r) }
	decode := func(peers, plans, routes, workers int) error {
		raw, err := settings(peers, plans, routes, workers)
		if err == nil {
			_, err = config.Decode(raw, none)
		}
		return err
	}
	return []Bound{
		{"council daemon", "hosts, each with a vote", (7900 + perHost - 1) / perHost,
			func(n int) error { return raftGroupOf(max(n, 1)) }},
		{"council daemon", "members of the agreed rules", 7900, func(n int) error {
			return check(rules(n, usualPlans, 0, 0))
		}},
		{"council daemon", "tenants with a quota of their own, as plans of the agreed rules", 490000,
			func(n int) error {
				return check(rules(20, n, 0, 0))
			}},
		{"council daemon", "words on single workers (a zone's, drained by name)", 7900, func(n int) error {
			return check(rules(20, usualPlans, n, 0))
		}},
		{"council daemon", "bytes of the rules' file with so many members", 7900, func(n int) error {
			text, err := rulefile.Encode(rules(n, usualPlans, 0, 0))
			if err == nil && len(text) > rulefile.MaxFileBytes {
				err = fmt.Errorf("%d bytes are more than %d", len(text), rulefile.MaxFileBytes)
			}
			return err
		}},
		{"gatekeeper", "tenants with a quota of their own, as plans in the configuration", 490000,
			func(n int) error {
				return decode(20, max(n, 1), 3, 0)
			}},
		{"gatekeeper", "workers on the watched list", 110000, func(n int) error {
			raw, err := endpoints.Append(nil, list(n))
			if err == nil && len(raw) > policy.MaxEndpointListBytes {
				err = fmt.Errorf("a list of %d bytes, more than %d", len(raw), policy.MaxEndpointListBytes)
			}
			return err
		}},
		{"gatekeeper", "peers in the configuration", 7900, func(n int) error { return decode(max(n, 1), 5, 3, 0) }},
		{"gatekeeper", "routes in the configuration, as classes", 150000, func(n int) error {
			return decode(20, 5, max(n, 1), 0)
		}},
	}
}
