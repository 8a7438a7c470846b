package config

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"willowdeck/internal/policy"
)

const whole = `{"name":"n1","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":256},
 "peer_listen":"127.0.0.1:7946","peers":["127.0.0.2:7946","127.0.0.3:7946"],
 "known":{"index":41,"snapshot":true,"endpoints":[
  {"name":"s1","address":"127.0.0.9:80","zone":"a","group":3,"status":"active","since_ms":12}]},
 "settings":{"me":1,"balancers":2,
  "classes":[{"name":"check","aim_us":1000000,"effect":"read_like"},
   {"name":"sale","aim_us":2000000,"effect":"idempotency_key","group":"cell","window_us":7000000}],
  "tariffs":[{"name":"basic","rate":2}],
  "allowed":{"peers":true,"keepalive_us":30000000,"connect_timeout_us":250000},
  "registry_mode":"on_request","safety":{"answer_slack_us":8000}}}`

func noEnvironment(string) string { return "" }

func TestDecode(t *testing.T) {
	g, err := Decode([]byte(whole), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	p := g.Policy.Products
	switch {
	case g.Name != "n1" || g.ListenAddress != "127.0.0.1:5000" || uint64(g.Seed) != 0x8c1f30d27a5be964:
		t.Errorf("name, listen or seed: %+v", g)
	case g.Cores != 0.5 || g.MemoryMB != 64 || g.MaxSockets != 256:
		t.Errorf("limits: %v %v %v", g.Cores, g.MemoryMB, g.MaxSockets)
	case len(g.PeerAddresses) != 2 || g.PeerAddresses[1].String() != "127.0.0.3:7946" ||
		g.Policy.GatewayIndex != 1:
		t.Errorf("peers: %v", g.PeerAddresses)
	case len(p) != 2 || p[1].Idempotency != policy.Deduplicated || p[1].DedupScope != policy.DedupWithinCell ||
		p[1].DedupWindowMillis != 7000:
		t.Errorf("products: %+v", p)
	case g.Connections != Connections{IdleTimeoutMillis: 30000, ConnectTimeoutMillis: 250, AnswerSlackMillis: 8,
		MaxClientWaitMillis: math.Inf(1),
		PollsDiscovery:      true}:
		t.Errorf("connections: %+v", g.Connections)
	case !g.KnownEndpoints.Snapshot || g.KnownEndpoints.Version != 41 || len(g.KnownEndpoints.Workers) != 1 ||
		g.KnownEndpoints.Workers[0].StartedMillis != 12:
		t.Errorf("known: %+v", g.KnownEndpoints)
	}
}

func TestDefaults(t *testing.T) {
	bare := `{"settings":{"balancers":1,"classes":[{"name":"check","effect":"read_like"}],
		"tariffs":[{"name":"basic"}]}}`
	env := map[string]string{"NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "127.0.0.1:2"}
	g, err := Decode([]byte(bare), func(k string) string { return env[k] })
	if err != nil {
		t.Fatal(err)
	}
	if g.Name != "n7" || g.ListenAddress != "127.0.0.1:1" || g.DiscoveryAddress != "127.0.0.1:2" {
		t.Errorf("from the environment: %+v", g)
	}
	if g.Cores != defaultCores || g.MemoryMB != defaultMemoryMB || g.MaxSockets != defaultSockets ||
		g.Connections.IdleTimeoutMillis != defaultIdleTimeoutMillis ||
		g.Connections.ConnectTimeoutMillis != defaultConnectTimeoutMillis {
		t.Errorf("defaults: %+v", g)
	}
}

// TestFaultyKeys: an error names the key at fault.
func TestFaultyKeys(t *testing.T) {
	cases := []struct{ name, old, new, says string }{
		{"not JSON", `"name"`, `name`, "invalid character"},
		{"no settings", `"settings"`, `"other"`, "settings is missing"},
		{"no listen", `"listen"`, `"other"`, "listen is missing"},
		{"listen is not an address", `127.0.0.1:5000`, `here`, "listen: "},
		{"discovery is not an address", `127.0.0.1:8500`, `127.0.0.1`, "discovery: "},
		{"counter is not an address", `"name":"n1"`, `"counter":"here"`, "counter: "},
		{"control is not an address", `"name":"n1"`, `"control":"here"`, "control: "},
		{"seed is not hexadecimal", `8c1f30d27a5be964`, `seed`, "seed: "},
		{"memory negative", `"memory_mb":64`, `"memory_mb":-1`, "limits.memory_mb"},
		{"sockets negative", `"sockets":256`, `"sockets":-1`, "limits.sockets"},
		{"cores negative", `"cores":0.5`, `"cores":-1`, "limits.cores"},
		{"peer without port", `127.0.0.2:7946`, `127.0.0.2`, "peers[0]"},
		{"one peer too few", `"127.0.0.2:7946",`, ``, "peers: 1 addresses"},
		{"no peer_listen", `"peer_listen"`, `"other"`, "peer_listen"},
		{"known has an unknown status", `"active"`, `"asleep"`, "known: list of workers: endpoints[0].status"},
		{"known without address", `127.0.0.9:80`, ``, "endpoints[0].address"},
		{"known without name", `"s1"`, `""`, "endpoints[0].name"},
		{"no products", `"classes"`, `"other"`, "settings.classes"},
		{"no plans", `"tariffs"`, `"other"`, "settings.tariffs"},
		{"more plans than messages tell apart", `{"name":"basic","rate":2}`,
			strings.Repeat(`{"name":"basic"},`, 64) + `{"name":"basic"}`, "settings.tariffs: there are 65"},
		{"unknown effect", `read_like`, `magic`, "settings.classes[0].effect"},
		{"unknown group", `"cell"`, `"row"`, "settings.classes[1].group"},
		{"product twice", `"sale"`, `"check"`, "settings.classes[1].name"},
		{"plan without name", `"basic"`, `""`, "settings.tariffs[0].name"},
		{"rate negative", `"rate":2`, `"rate":-2`, "settings.tariffs[0]"},
		{"credit negative", `"rate":2`, `"rate":2,"credit_s":-1,"repay_s":9`, "settings.tariffs[0].credit_s"},
		{"credit without repay", `"rate":2`, `"rate":2,"credit_s":1`, "settings.tariffs[0].repay_s"},
		{"repay without credit", `"rate":2`, `"rate":2,"repay_s":1`, "settings.tariffs[0].repay_s"},
		{"credit without a rate", `"rate":2`, `"credit_s":1,"repay_s":9`, "settings.tariffs[0].credit_s"},
		{"repay too short", `"rate":2`, `"rate":2,"credit_s":5,"repay_s":9`, "settings.tariffs[0].repay_s"},
		{"credit beyond its bound", `"rate":2`, `"rate":2,"credit_s":1e6,"repay_s":3e6`,
			"settings.tariffs[0].credit_s"},
		{"me beyond the gatekeepers", `"me":1`, `"me":2`, "settings.me"},
		{"me is not a number", `"me":1`, `"me":"one"`, "settings: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode([]byte(strings.Replace(whole, c.old, c.new, 1)), noEnvironment)
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Errorf("got %v, want a message with %q", err, c.says)
			}
		})
	}
}

// TestListenerDescriptor: the clients' listener that the platform passes on comes from the environment
// alone.
func TestListenerDescriptor(t *testing.T) {
	cases := []struct {
		fd   string
		want int
		ok   bool
	}{{"", 0, true}, {"3", 3, true}, {"2", 0, false}, {"three", 0, false}, {"-1", 0, false}}
	for _, c := range cases {
		env := map[string]string{"NODE_FD": c.fd, "TMPDIR": "/scratch"}
		g, err := Decode([]byte(whole), func(k string) string { return env[k] })
		if (err == nil) != c.ok || c.ok && (g.ListenerFD != c.want || (g.SharedDir == "/scratch") != (c.want > 0)) {
			t.Errorf("%q: descriptor %d, shared directory %q, %v", c.fd, g.ListenerFD, g.SharedDir, err)
		}
		if !c.ok && !strings.HasPrefix(err.Error(), "NODE_FD: ") {
			t.Errorf("%q: %v", c.fd, err)
		}
	}
}

func TestRead(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(whole), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, path, says string }{
		{"there", file, ""},
		{"not named", "", "NODE_CONFIG"},
		{"not there", file + "x", "NODE_CONFIG"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read(c.path, noEnvironment)
			if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
				t.Errorf("got %v, want %q", err, c.says)
			}
		})
	}
}

// TestMixedDeployments: a configuration that mixes two kinds of deployment is rejected with the key; the
// simulator's wire is not.
func TestMixedDeployments(t *testing.T) {
	const told = `"settings":{"report":{"how":"answers","fields":["concurrent"]},`
	const rated, open = `{"name":"basic","rate":2}`, `{"name":"basic","open":2}`
	cases := []struct {
		name  string
		swaps []string
		says  string
	}{
		{"a rate, and nothing in answers", nil, ""},
		{"load in answers", []string{`"settings":{`, told}, ""},
		{"load and use in answers, a limit on submissions out",
			[]string{`"settings":{`, told + `"family_info":{"use_period_us":1000000},`, rated, open}, ""},
		{"a counter beside load in answers",
			[]string{`"settings":{`, told + `"family_info":{"counter":true},`}, "settings.family_info.counter"},
		{"a counter's address beside load in answers",
			[]string{`"settings":{`, `"counter":"127.0.0.1:9",` + told}, "counter: there is none"},
		{"load in answers without a field", []string{`"settings":{`, `"settings":{"report":{"how":"answers"},`},
			"settings.report.fields"},
		{"use told without load", []string{`"settings":{`, `"settings":{"family_info":{"use_period_us":1},`},
			"settings.family_info.use_period_us"},
		{"a limit on submissions out without load", []string{rated, open},
			"settings.tariffs[0].open"},
		{"a store beside a limit on submissions out",
			[]string{`"settings":{`, told, rated, `{"name":"basic","open":2,"most_at_once":4}`},
			"settings.tariffs[0].most_at_once"},
		{"another way of load", []string{`"settings":{`, `"settings":{"report":{"how":"post"},`},
			"settings.report.how"},
		{"another rating", []string{`"settings":{`, `"settings":{"weight_source":"guess",`},
			"settings.weight_source"},
		{"a fall negative", []string{`"settings":{`, `"settings":{"safety":{"tip_after_us":-1},`},
			"settings.safety.tip_after_us: -1 is negative"},
		{"use negative", []string{`"settings":{`, `"settings":{"family_info":{"use_period_us":-1},`},
			"settings.family_info.use_period_us"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, err := Decode([]byte(strings.NewReplacer(c.swaps...).Replace(whole)), noEnvironment)
			if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
				t.Errorf("got %v, want %q", err, c.says)
			}
			text := strings.Join(c.swaps, " ")
			load := strings.Contains(text, "answers")
			if err == nil && g.Policy.WorkersReportLoad != load {
				t.Errorf("the charter has load %v", g.Policy.WorkersReportLoad)
			}
		})
	}
}
