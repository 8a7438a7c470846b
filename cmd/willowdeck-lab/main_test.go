package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/lab/loadgen"
)

// The whole chain on loopback: stand-ins, a gatekeeper with the configuration that was written for it,
// and a load by the scenario; each txn that a client saw settled was run, and no once-only one twice.
func TestLoadOnSockets(t *testing.T) {
	s, err := emulator.Read("../../scenarios/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Seconds = 2
	f, err := startBackends(s, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	c, err := config.Decode(f.config, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	g, err := lifecycle.Start(c, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	all, err := s.Arrivals(3)
	if err != nil {
		t.Fatal(err)
	}
	plans, products := planAndProductNames(s)
	j := &loadgen.Load{Arrivals: all, Targets: []string{g.Address}, SetSize: 1, Plans: plans, MaxInFlight: 1000,
		Seed: 3}
	for i, p := range s.Products {
		j.Products = append(j.Products, loadgen.Product{Name: products[i], Idempotency: p.Idempotency,
			BodyBytes: 50,
			Timeout:   time.Duration(p.LatencyTargetMillis * 2 * float64(time.Millisecond))})
	}
	r, err := j.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	settled, answered := int64(0), int64(0)
	for _, n := range r.Counts {
		settled += n[loadgen.Completed]
		answered += n[loadgen.Completed] + n[loadgen.Rejected] + n[loadgen.Failed]
	}
	if answered < int64(len(all))*95/100 || settled < int64(len(all))*6/10 {
		t.Errorf("of %d:\n%v", len(all), r)
	}
	ran := map[string]int{}
	whole := int64(0)
	for _, w := range f.workers {
		for _, got := range w.Received() {
			whole++
			if ran[got.ID]++; got.Product == "issue" && ran[got.ID] > 1 {
				t.Errorf("once-only %s was run %d times", got.ID, ran[got.ID])
			}
		}
	}
	if whole < settled {
		t.Errorf("%d settled, %d run", settled, whole)
	}
}

// What is wrong on the command line or in its files ends with a message that names it, and leaves no file.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	raw, err := os.ReadFile("../../scenarios/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(in("s.toml"), []byte(strings.Replace(string(raw), "seconds = 20", "seconds = 2", 1)), 0o600)
	os.WriteFile(in("bad.toml"), []byte(strings.Replace(string(raw), "cores = 2", "cors = 2", 1)), 0o600)
	os.WriteFile(in("x.toml"),
		[]byte("name = \"x\"\nscenario = \"s.toml\"\nseeds = 2\nkey = \"workers.count\"\n"+
			"values = [4, 8]\npolicies = [\"willowdeck\", \"seer\"]\n"), 0o600)
	cases := []struct {
		line, says string
	}{
		{"run s.toml --seeds 2 --out r.csv --seconds-out s.csv", ""},
		{"sweep x.toml --out x.csv --chart x.png", ""},
		{"chart --figure p99_ms x.csv y.svg", ""},
		{"compare x.csv x.csv", ""},
		{"trace s.toml t.csv", ""},
		{"run bad.toml", "cors: unknown key"},
		{"run none.toml", "none.toml"},
		{"run", "SCENARIO.toml"},
		{"run s.toml --policy best", "policies[0]"},
		{"run s.toml --seeds 0", "seeds"},
		{"chart --figure beauty x.csv z.png", "beauty"},
		{"chart t.csv z.png", "t.csv"},
		{"compare x.csv r.csv", "no setting in common"},
		{"load s.toml", "targets"},
		{"sweep x.toml --chart z.png", "--out"},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			args := []string{"willowdeck-lab"}
			for _, w := range strings.Fields(c.line) {
				if strings.Contains(w, ".") {
					w = in(w)
				}
				args = append(args, w)
			}
			err := command().Run(context.Background(), args)
			if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
				t.Errorf("got %v, want %q", err, c.says)
			}
		})
	}
	if _, err := os.Stat(in("z.png")); err == nil {
		t.Error("a chart is left that was not drawn")
	}
}

// Load through a portal that asks the gatekeeper and loses some, and load that a stalling service has to
// vouch for: by the workers' own records no once-only txn runs twice and no ceiling is passed, and every
// request has one answer.
func TestForwardArms(t *testing.T) {
	s, err := emulator.Read("../../scenarios/forward.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Seconds, s.Shapes[0].FromSeconds = 3, 0.5
	start := func(conf []byte, file string) (*gatewayProcess, error) {
		c, err := config.Decode(conf, func(string) string { return "" })
		if err != nil {
			return nil, err
		}
		if c.ForwardAuth, err = config.ReadForwardAuth(file, &c); err != nil {
			return nil, err
		}
		g, err := lifecycle.Start(c, zerolog.Nop())
		if err != nil {
			return nil, err
		}
		at, err := askAddressOf(file)
		return &gatewayProcess{address: g.Address, askAddress: at, stop: g.Stop}, err
	}
	all, err := playVariants(t.Context(), s, 1, []scenarioVariant{
		{name: "asked", portal: true, portalAsks: true, losesEvery: 10},
		{name: "asking", gatewayAsks: true, serviceStalls: true}}, start)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range all {
		var settled, declined, lost int64
		for _, c := range r.report.Counts {
			settled, declined, lost = settled+c[loadgen.Completed], declined+c[loadgen.Rejected],
				lost+c[loadgen.NoResponse]
		}
		if r.ranTwice > 0 || r.unitsBeyondLimit > 0 || lost > 0 {
			t.Errorf("%s: %d ran twice, %.1f units beyond a ceiling, %d without answer", r.variant.name, r.ranTwice,
				r.unitsBeyondLimit,
				lost)
		}
		if settled < 100 || declined == 0 || (r.serviceRequests > 50) != (i == 1) {
			t.Errorf("%s: %d settled, %d declined, %d asked", r.variant.name, settled, declined, r.serviceRequests)
		}
	}
}
