package main

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/lab/experiment"
	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/fakes"
	"willowdeck/internal/testkit/ports"
)

// arm is one way in which a load comes to its workers.
type arm struct {
	name   string
	portal bool // through a portal
	asked  bool // that asks the gatekeeper
	asking bool // the gatekeeper asks a service
	kept   bool // and keeps its answers
	stalls bool // which stalls for two seconds
	loses  int  // every so manieth cleared txn never comes
}

var arms = []arm{
	{name: "direct"},
	{name: "portal", portal: true},
	{name: "asked", portal: true, asked: true},
	{name: "asked-loses", portal: true, asked: true, loses: 20},
	{name: "asking", asking: true},
	{name: "asking-kept", asking: true, kept: true},
	{name: "asking-stall", asking: true, stalls: true},
	{name: "asking-kept-stall", asking: true, kept: true, stalls: true},
}

// result is what an arm has shown.
type result struct {
	arm    arm
	report *loadgen.Report
	twice  int     // once-only txns that ran more than once
	beyond float64 // units beyond a ceiling's store, at most, after what the way to the worker may shift
	asks   int     // of the auth service
}

// gatekeeper is one that runs; stop ends it.
type gatekeeper struct {
	at, asked string
	stop      func()
}

const (
	serviceMS = 3.0                    // of the auth service: a look-up on the same network
	stallS    = 2.0                    // s
	shift     = 100 * time.Millisecond // by which a submission may come late to its worker, and its record
)

// forward plays the arms, one after another, each with gatekeeper and stand-ins of its own.
func forward(ctx context.Context, c *cli.Command) error {
	s, _, err := scenario(c, 1)
	if err != nil {
		return err
	}
	if n := c.Float("seconds"); n > 0 {
		s.Seconds = n
	}
	program := c.String("program")
	start := func(conf []byte, file string) (*gatekeeper, error) { return spawn(program, conf, file) }
	all, err := playArms(ctx, s, int64(c.Int("seed")), arms, start)
	if err != nil {
		return err
	}
	if err := tell(all, c.String("out")); err != nil {
		return err
	}
	if path := c.String("chart"); path != "" {
		err = drawSeconds(all, path)
	}
	return err
}

func playArms(ctx context.Context, s *emulator.Scenario, seed int64, arms []arm,
	start func(conf []byte, file string) (*gatekeeper, error)) ([]result, error) {
	arrivals, err := s.Arrivals(seed)
	if err != nil {
		return nil, err
	}
	var all []result
	for _, a := range arms {
		r, err := a.play(ctx, s, arrivals, seed, start)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
		all = append(all, r)
	}
	return all, nil
}

func (a arm) play(ctx context.Context, s *emulator.Scenario, arrivals []workload.Arrival, seed int64,
	start func([]byte, string) (*gatekeeper, error)) (r result, err error) {
	r.arm = a
	first, giveBack, err := ports.Take(2)
	if err != nil {
		return r, err
	}
	defer giveBack()
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", first+i) }
	f, err := newFleet(s, at(0))
	if err != nil {
		return r, err
	}
	defer f.close()
	auth, err := fakes.NewAuth(time.Duration(serviceMS * float64(time.Millisecond)))
	if err != nil {
		return r, err
	}
	defer auth.Close()
	dir, err := os.MkdirTemp("", "wdforward")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	file := ""
	if a.asked || a.asking {
		file = filepath.Join(dir, "forward.toml")
		if err := os.WriteFile(file, []byte(a.operators(at(1), auth.At)), 0o600); err != nil {
			return r, err
		}
	}
	g, err := start(f.config, file)
	if err != nil {
		return r, err
	}
	defer g.stop()
	target := g.at
	if a.portal {
		asks := ""
		if a.asked {
			asks = g.asked
		}
		p, err := fakes.NewPortal("127.0.0.1:0", asks, g.at)
		if err != nil {
			return r, err
		}
		defer p.Close()
		p.Loses(a.loses)
		target = p.At
	}
	plans, _ := names(s)
	j := &loadgen.Load{Arrivals: arrivals, Targets: []string{target}, SetSize: 1, Plans: plans,
		MaxInFlight: 4000,
		Seed:        seed, CredentialHeader: "Authorization"}
	for _, p := range s.Products {
		j.Products = append(j.Products, loadgen.Product{Name: p.Name, Idempotency: p.Idempotency, BodyBytes: 100,
			Timeout: time.Duration(p.LatencyTargetMillis * s.Clients.TimeoutFactor * float64(time.Millisecond))})
	}
	if a.stalls {
		at := time.Duration((s.Seconds - stallS) / 2 * float64(time.Second))
		begins := time.AfterFunc(at, func() { auth.Set(fakes.Stalls) })
		ends := time.AfterFunc(at+time.Duration(stallS*float64(time.Second)), func() { auth.Set(fakes.None) })
		defer begins.Stop()
		defer ends.Stop()
	}
	if r.report, err = j.Run(ctx); err != nil {
		return r, err
	}
	r.asks = len(auth.Got())
	r.twice, r.beyond = verdict(s, arrivals, f.workers)
	return r, nil
}

// operators is an arm's operator file.
func (a arm) operators(listen, auth string) string {
	var b strings.Builder
	if a.asked {
		fmt.Fprintf(&b, "[asked]\nlisten = %q\ntrusted = [\"127.0.0.0/8\"]\n", listen)
		b.WriteString("life_ms = 500\nconnections = 256\n")
	}
	if a.asking {
		yes := 0.0
		if a.kept {
			yes = 5
		}
		fmt.Fprintf(&b, "[asking]\nservice = %q\nyes_s = %g\nconnections = 64\n", auth, yes)
	}
	return b.String()
}

// verdict reckons from the workers' own records: once-only txns that ran twice, and the most units by which
// any customer's ceiling was passed, as one store that begins full sees it.
func verdict(s *emulator.Scenario, arrivals []workload.Arrival, workers []*fakes.Worker) (twice int,
	beyond float64) {
	type drawn struct {
		at    time.Time
		units float64
	}
	runs, first, by := map[string]int{}, map[string]bool{}, map[int][]drawn{}
	for _, got := range fakes.InOrder(workers) {
		_, n, _ := strings.Cut(got.Target, "?n=")
		i, err := strconv.Atoi(n)
		if err != nil || i >= len(arrivals) {
			continue
		}
		a := &arrivals[i]
		if got.Ran && s.Products[a.Product].Idempotency == "once" {
			if runs[got.ID]++; runs[got.ID] == 2 {
				twice++
			}
		}
		if p := s.Plans[a.Plan]; p.RateLimitPerSecond > 0 && !first[got.ID] {
			first[got.ID] = true
			by[a.Plan<<32|int(a.Customer)] = append(by[a.Plan<<32|int(a.Customer)], drawn{got.At, a.Units})
		}
	}
	for key, all := range by {
		p := s.Plans[key>>32]
		level, last := p.RateLimitBurst, all[0].at
		for _, d := range all {
			level = min(level+p.RateLimitPerSecond*d.at.Sub(last).Seconds(), p.RateLimitBurst) - d.units
			last = d.at
			beyond = max(beyond, -level-p.RateLimitPerSecond*shift.Seconds())
		}
	}
	return twice, beyond
}

// tell prints a line for each arm, and writes them as a table.
func tell(all []result, path string) error {
	rows := [][]string{{"arm", "answered", "settled", "declined", "voided", "no_answer", "p50_ms", "p99_ms",
		"p99.9_ms", "asks", "twice", "beyond_units"}}
	wrong := 0
	for _, r := range all {
		var n [5]int64
		for _, c := range r.report.Counts {
			for o := range n {
				n[o] += c[o]
			}
		}
		ms := func(q float64) string {
			return strconv.FormatFloat(float64(r.report.Latency.ValueAtQuantile(q))/1000, 'f', 2, 64)
		}
		row := []string{r.arm.name, fmt.Sprint(r.report.Latency.TotalCount())}
		for _, o := range []loadgen.Outcome{loadgen.Completed, loadgen.Rejected, loadgen.Failed,
			loadgen.NoResponse} {
			row = append(row, fmt.Sprint(n[o]))
		}
		rows = append(rows, append(row, ms(50), ms(99), ms(99.9), fmt.Sprint(r.asks), fmt.Sprint(r.twice),
			strconv.FormatFloat(r.beyond, 'f', 2, 64)))
		if r.twice > 0 || r.beyond > 0 {
			wrong++
		}
	}
	for _, row := range rows {
		fmt.Println(strings.Join(row, "\t"))
	}
	if path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := csv.NewWriter(f).WriteAll(rows); err != nil {
			return err
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%d arms ran a once-only txn twice, or passed a ceiling", wrong)
	}
	return nil
}

// drawSeconds draws the 99th percentile of each second.
func drawSeconds(all []result, path string) error {
	var lines []experiment.Curve
	for _, r := range all {
		l := experiment.Curve{Name: r.arm.name}
		for i, s := range r.report.Seconds {
			if s.Latency.TotalCount() > 0 {
				l.X = append(l.X, float64(i))
				l.Y = append(l.Y, float64(s.Latency.ValueAtQuantile(99))/1000)
			}
		}
		lines = append(lines, l)
	}
	return experiment.DrawLines(
		"forward authentication, the service stalled for 2 s in the middle where it says so",
		"s", "p99 of what was due in that second, ms", true, lines, path)
}

// spawn starts a gatekeeper's program, and waits until it is up.
func spawn(program string, conf []byte, file string) (*gatekeeper, error) {
	var told struct{ Listen string }
	if err := json.Unmarshal(conf, &told); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "wdforward")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "gatekeeper.json")
	if err := os.WriteFile(path, conf, 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve", "--config", path, "--log", "warn"}
	g := &gatekeeper{at: told.Listen}
	if file != "" {
		args = append(args, "--forward", file)
		if g.asked, err = listenOf(file); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(program, args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	g.stop = func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
		_ = os.RemoveAll(dir)
	}
	for range 500 {
		if c, err := net.Dial("tcp", g.at); err == nil {
			c.Close()
			return g, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.stop()
	return nil, fmt.Errorf("%s does not come up", program)
}

// listenOf gives where portals are to ask, by an operator file; empty where they are not.
func listenOf(file string) (string, error) {
	raw, err := os.ReadFile(file)
	_, rest, there := strings.Cut(string(raw), "listen = \"")
	if !there {
		return "", err
	}
	at, _, _ := strings.Cut(rest, "\"")
	return at, err
}
