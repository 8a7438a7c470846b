package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/config"
	"willowdeck/internal/emu"
	"willowdeck/internal/lifecycle"
	"willowdeck/internal/load"
)

// The whole chain on loopback: stand-ins, a gatekeeper with the configuration that was written for it,
// and a load by the scenario; each txn that a client saw settled was run, and no once-only one twice.
func TestLoadOnSockets(t *testing.T) {
	s, err := emu.Read("../../scenarios/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Seconds = 2
	f, err := newFleet(s, "127.0.0.1:0")
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
	plans, products := names(s)
	j := &load.Job{Arrivals: all, Targets: []string{g.At}, Spread: 1, Plans: plans, Most: 1000, Seed: 3}
	for i, p := range s.Products {
		j.Products = append(j.Products, load.Product{Name: products[i], Repeat: p.Repeat, Body: 50,
			Waits: time.Duration(p.SLAMS * 2 * float64(time.Millisecond))})
	}
	r, err := j.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	settled, answered := int64(0), int64(0)
	for _, n := range r.Counts {
		settled += n[load.Settled]
		answered += n[load.Settled] + n[load.Declined] + n[load.Voided]
	}
	if answered < int64(len(all))*95/100 || settled < int64(len(all))*6/10 {
		t.Errorf("of %d:\n%v", len(all), r)
	}
	ran := map[string]int{}
	whole := int64(0)
	for _, w := range f.workers {
		for _, got := range w.Got() {
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
		{"compare x.csv r.csv", "nothing alike"},
		{"load s.toml", "targets"},
		{"sweep x.toml --chart z.png", "--out"},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			args := []string{"wdlab"}
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
