package main

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
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

// scenarioVariant is one way by which a load reaches its workers.
type scenarioVariant struct {
	name          string
	portal        bool // through a portal
	portalAsks    bool // the portal asks the gateway
	gatewayAsks   bool // the gateway asks a service
	caches        bool // and caches its answers
	serviceStalls bool // which stalls for authStallSeconds
	losesEvery    int  // one in so many authorized transactions is lost by the portal
}

// variants are those that the command plays, in this order.
var variants = []scenarioVariant{
	{name: "direct"},
	{name: "portal", portal: true},
	{name: "asked", portal: true, portalAsks: true},
	{name: "asked-loses", portal: true, portalAsks: true, losesEvery: 20},
	{name: "asking", gatewayAsks: true},
	{name: "asking-kept", gatewayAsks: true, caches: true},
	{name: "asking-stall", gatewayAsks: true, serviceStalls: true},
	{name: "asking-kept-stall", gatewayAsks: true, caches: true, serviceStalls: true},
}

// variantResult is what a variant has shown.
type variantResult struct {
	variant          scenarioVariant
	report           *loadgen.Report
	ranTwice         int     // non-idempotent transactions that ran more than once
	unitsBeyondLimit float64 // most units beyond a rate limit, after maxArrivalShift
	serviceRequests  int     // of the auth service
}

// gatewayProcess is a running gateway; stop ends it.
type gatewayProcess struct {
	address, askAddress string
	stop                func()
}

const (
	authServiceMillis = 3.0                    // of the auth service: a look-up on the same network
	authStallSeconds  = 2.0                    // s
	maxArrivalShift   = 100 * time.Millisecond // by which an attempt may reach its worker late
)

// runForward plays the variants, one after another, each with a gateway and fakes of its own.
func runForward(ctx context.Context, c *cli.Command) error {
	scenario, _, err := readScenario(c, 1)
	if err != nil {
		return err
	}
	if n := c.Float("seconds"); n > 0 {
		scenario.Seconds = n
	}
	program := c.String("program")
	start := func(config []byte, file string) (*gatewayProcess, error) {
		return startGateway(program, config,
			file)
	}
	results, err := playVariants(ctx, scenario, int64(c.Int("seed")), variants, start)
	if err != nil {
		return err
	}
	if err := reportResults(results, c.String("out")); err != nil {
		return err
	}
	if path := c.String("chart"); path != "" {
		err = drawSeconds(results, path)
	}
	return err
}

// playVariants plays variants with gateways that start starts.
func playVariants(ctx context.Context, scenario *emulator.Scenario, seed int64, variants []scenarioVariant,
	start func(conf []byte, file string) (*gatewayProcess, error)) ([]variantResult, error) {
	arrivals, err := scenario.Arrivals(seed)
	if err != nil {
		return nil, err
	}
	var results []variantResult
	for _, variant := range variants {
		r, err := variant.play(ctx, scenario, arrivals, seed, start)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", variant.name, err)
		}
		results = append(results, r)
	}
	return results, nil
}

// play sends the arrivals through a variant.
func (v scenarioVariant) play(ctx context.Context, scenario *emulator.Scenario, arrivals []workload.Arrival,
	seed int64,
	start func([]byte, string) (*gatewayProcess, error)) (r variantResult, err error) {
	r.variant = v
	first, release, err := ports.Take(2)
	if err != nil {
		return r, err
	}
	defer release()
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", first+i) }
	fleet, err := startBackends(scenario, at(0))
	if err != nil {
		return r, err
	}
	defer fleet.close()
	auth, err := fakes.NewAuth(time.Duration(authServiceMillis * float64(time.Millisecond)))
	if err != nil {
		return r, err
	}
	defer auth.Close()
	dir, err := os.MkdirTemp("", "wdforward")
	if err != nil {
		return r, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary files of the run
	file := ""
	if v.portalAsks || v.gatewayAsks {
		file = filepath.Join(dir, "forward.toml")
		if err := os.WriteFile(file, []byte(v.operatorFile(at(1), auth.Addr)), 0o600); err != nil {
			return r, err
		}
	}
	gateway, err := start(fleet.config, file)
	if err != nil {
		return r, err
	}
	defer gateway.stop()
	target := gateway.address
	if v.portal {
		asks := ""
		if v.portalAsks {
			asks = gateway.askAddress
		}
		proxy, err := fakes.NewAuthProxy("127.0.0.1:0", asks, gateway.address)
		if err != nil {
			return r, err
		}
		defer proxy.Close()
		proxy.DropEvery(v.losesEvery)
		target = proxy.Addr
	}
	load := v.load(scenario, arrivals, target, seed)
	if v.serviceStalls {
		defer scheduleStall(auth, scenario.Seconds)()
	}
	if r.report, err = load.Run(ctx); err != nil {
		return r, err
	}
	r.serviceRequests = len(auth.Received())
	r.ranTwice, r.unitsBeyondLimit = checkWorkerRecords(scenario, arrivals, fleet.workers)
	return r, nil
}

// scheduleStall has the service stall for authStallSeconds in the middle of a run; cancel ends that.
func scheduleStall(auth *fakes.Auth, runSeconds float64) (cancel func()) {
	at := time.Duration((runSeconds - authStallSeconds) / 2 * float64(time.Second))
	begin := time.AfterFunc(at, func() { auth.SetFault(fakes.Stalls) })
	end := time.AfterFunc(at+time.Duration(authStallSeconds*float64(time.Second)),
		func() { auth.SetFault(fakes.None) })
	return func() {
		end.Stop()
		begin.Stop()
	}
}

// load returns the load that a variant sends to a target.
func (scenarioVariant) load(scenario *emulator.Scenario, arrivals []workload.Arrival, target string,
	seed int64) *loadgen.Load {
	plans, _ := planAndProductNames(scenario)
	load := &loadgen.Load{Arrivals: arrivals, Targets: []string{target}, SetSize: 1, Plans: plans,
		MaxInFlight: 4000,
		Seed:        seed, CredentialHeader: "Authorization"}
	for _, product := range scenario.Products {
		load.Products = append(load.Products, loadgen.Product{Name: product.Name,
			Idempotency: product.Idempotency, BodyBytes: 100,
			Timeout: time.Duration(product.LatencyTargetMillis * scenario.Clients.TimeoutFactor * float64(
				time.Millisecond))})
	}
	return load
}

// operatorFile returns the text of a variant's file of forward authentication.
func (v scenarioVariant) operatorFile(listen, auth string) string {
	var b strings.Builder
	if v.portalAsks {
		fmt.Fprintf(&b, "[asked]\nlisten = %q\ntrusted = [\"127.0.0.0/8\"]\n", listen)
		b.WriteString("life_ms = 500\nconnections = 256\n")
	}
	if v.gatewayAsks {
		cacheSeconds := 0.0
		if v.caches {
			cacheSeconds = 5
		}
		fmt.Fprintf(&b, "[asking]\nservice = %q\nyes_s = %g\nconnections = 64\n", auth, cacheSeconds)
	}
	return b.String()
}

// checkWorkerRecords returns, from the workers' own records, how many non-idempotent transactions ran twice,
// and the most units by which a customer exceeded its rate limit, as one token bucket that begins full sees
// it.
func checkWorkerRecords(scenario *emulator.Scenario, arrivals []workload.Arrival,
	workers []*fakes.Worker) (ranTwice int,
	unitsBeyondLimit float64) {
	type use struct {
		at    time.Time
		units float64
	}
	runs, seen, usesByCustomer := map[string]int{}, map[string]bool{}, map[int][]use{}
	for _, request := range fakes.ReceivedInOrder(workers) {
		_, n, _ := strings.Cut(request.Target, "?n=")
		i, err := strconv.Atoi(n)
		if err != nil || i >= len(arrivals) {
			continue
		}
		arrival := &arrivals[i]
		if request.Ran && scenario.Products[arrival.Product].Idempotency == "once" {
			if runs[request.ID]++; runs[request.ID] == 2 {
				ranTwice++
			}
		}
		if p := scenario.Plans[arrival.Plan]; p.RateLimitPerSecond > 0 && !seen[request.ID] {
			seen[request.ID] = true
			key := arrival.Plan<<32 | arrival.Customer
			usesByCustomer[key] = append(usesByCustomer[key], use{request.At, arrival.Units})
		}
	}
	for key, uses := range usesByCustomer {
		p := scenario.Plans[key>>32]
		tokens, last := p.RateLimitBurst, uses[0].at
		for _, use := range uses {
			tokens = min(tokens+p.RateLimitPerSecond*use.at.Sub(last).Seconds(), p.RateLimitBurst) - use.units
			last = use.at
			unitsBeyondLimit = max(unitsBeyondLimit, -tokens-p.RateLimitPerSecond*maxArrivalShift.Seconds())
		}
	}
	return ranTwice, unitsBeyondLimit
}

// reportResults prints a line for each variant, and writes them as a table.
func reportResults(results []variantResult, path string) error {
	rows := [][]string{{"arm", "answered", "settled", "declined", "voided", "no_answer", "p50_ms", "p99_ms",
		"p99.9_ms", "asks", "twice", "beyond_units"}}
	failed := 0
	for _, r := range results {
		var counts [5]int64
		for _, productCounts := range r.report.Counts {
			for outcome := range counts {
				counts[outcome] += productCounts[outcome]
			}
		}
		quantileMillis := func(q float64) string {
			return strconv.FormatFloat(float64(r.report.Latency.ValueAtQuantile(q))/1000, 'f', 2, 64)
		}
		row := []string{r.variant.name, fmt.Sprint(r.report.Latency.TotalCount())}
		for _, outcome := range []loadgen.Outcome{loadgen.Completed, loadgen.Rejected, loadgen.Failed,
			loadgen.NoResponse} {
			row = append(row, fmt.Sprint(counts[outcome]))
		}
		rows = append(rows, append(row, quantileMillis(50), quantileMillis(99), quantileMillis(99.9),
			fmt.Sprint(r.serviceRequests), fmt.Sprint(r.ranTwice),
			strconv.FormatFloat(r.unitsBeyondLimit, 'f', 2, 64)))
		if r.ranTwice > 0 || r.unitsBeyondLimit > 0 {
			failed++
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
		if err := errors.Join(csv.NewWriter(f).WriteAll(rows), f.Close()); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d variants ran a non-idempotent transaction twice, or exceeded a rate limit", failed)
	}
	return nil
}

// drawSeconds draws the 99th percentile of the latency of each second.
func drawSeconds(results []variantResult, path string) error {
	var curves []experiment.Curve
	for _, r := range results {
		curve := experiment.Curve{Name: r.variant.name}
		for i, second := range r.report.Seconds {
			if second.Latency.TotalCount() > 0 {
				curve.X = append(curve.X, float64(i))
				curve.Y = append(curve.Y, float64(second.Latency.ValueAtQuantile(99))/1000)
			}
		}
		curves = append(curves, curve)
	}
	return experiment.DrawLines(
		"forward authentication, the service stalled for 2 s in the middle where it says so",
		"s", "p99 of what was due in that second, ms", true, curves, path)
}

// startGateway starts a gateway's program, and waits until it listens.
func startGateway(program string, config []byte, operatorFile string) (*gatewayProcess, error) {
	var listening struct{ Listen string }
	if err := json.Unmarshal(config, &listening); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "wdforward")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "gatekeeper.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve", "--config", path, "--log", "warn"}
	gateway := &gatewayProcess{address: listening.Listen}
	if operatorFile != "" {
		args = append(args, "--forward", operatorFile)
		if gateway.askAddress, err = askAddressOf(operatorFile); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(program, args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	gateway.stop = func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
		_ = os.RemoveAll(dir)
	}
	for range 500 {
		if c, err := net.Dial("tcp", gateway.address); err == nil {
			c.Close()
			return gateway, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	gateway.stop()
	return nil, fmt.Errorf("%s does not come up", program)
}

// askAddressOf returns the address at which portals ask, by an operator file; empty where they do not.
func askAddressOf(file string) (string, error) {
	raw, err := os.ReadFile(file)
	_, rest, there := strings.Cut(string(raw), "listen = \"")
	if !there {
		return "", err
	}
	at, _, _ := strings.Cut(rest, "\"")
	return at, err
}
