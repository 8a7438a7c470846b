package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/lab/loadgen"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/testkit/fakes"
)

// runTrace writes the arrivals of a scenario as a trace.
func runTrace(_ context.Context, c *cli.Command) error {
	scenario, a, err := readScenario(c, 2)
	if err != nil {
		return err
	}
	arrivals, err := scenario.Arrivals(int64(c.Int("seed")))
	if err != nil {
		return err
	}
	f, err := os.Create(a[1])
	if err != nil {
		return err
	}
	plans, products := planAndProductNames(scenario)
	if err := workload.WriteTrace(f, arrivals, plans, products); err != nil {
		return err
	}
	return f.Close()
}

// planAndProductNames returns the names of a scenario's plans and products, by index.
func planAndProductNames(s *emulator.Scenario) (plans, products []string) {
	for _, p := range s.Plans {
		plans = append(plans, p.Name)
	}
	for _, p := range s.Products {
		products = append(products, p.Name)
	}
	return plans, products
}

// runLoad sends the arrivals of a scenario to gateways.
func runLoad(ctx context.Context, c *cli.Command) error {
	scenario, _, err := readScenario(c, 1)
	if err != nil {
		return err
	}
	arrivals, err := scenario.Arrivals(int64(c.Int("seed")))
	if err != nil {
		return err
	}
	plans, _ := planAndProductNames(scenario)
	load := &loadgen.Load{Arrivals: arrivals, Targets: c.StringSlice("target"), Plans: plans,
		MaxInFlight:       c.Int("most"),
		ClosedLoopClients: c.Int("closed"), Seed: int64(c.Int("seed")), CredentialHeader: c.String("credential")}
	load.SetSize = min(scenario.Gatekeepers.SetSize, len(load.Targets))
	for _, p := range scenario.Products {
		load.Products = append(load.Products, loadgen.Product{Name: p.Name, Idempotency: p.Idempotency,
			BodyBytes: c.Int("body"),
			Timeout: time.Duration(p.LatencyTargetMillis * scenario.Clients.TimeoutFactor * float64(
				time.Millisecond))})
	}
	r, err := load.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Print(r)
	if !r.ScheduleKept() {
		return fmt.Errorf("the schedule was not kept: one in a hundred requests was sent %.1f ms late or more",
			float64(r.ScheduleLag.ValueAtQuantile(99))/1000)
	}
	return nil
}

// runStand runs fakes of all that a gateway talks to, until the context ends.
func runStand(ctx context.Context, c *cli.Command) error {
	scenario, _, err := readScenario(c, 1)
	if err != nil {
		return err
	}
	fleet, err := startBackends(scenario, c.String("listen"))
	if err != nil {
		return err
	}
	defer fleet.close()
	if err := os.WriteFile(c.String("config"), fleet.config, 0o600); err != nil {
		return err
	}
	log := logger()
	if at := c.String("portal"); at != "" {
		p, err := fakes.NewAuthProxy(at, c.String("asks"), c.String("listen"))
		if err != nil {
			return err
		}
		defer p.Close()
		log.Info().Str("portal", p.Addr).Str("asks", c.String("asks")).Msg("portal")
	}
	if c.IsSet("auth") {
		a, err := fakes.NewAuth(c.Duration("auth"))
		if err != nil {
			return err
		}
		defer a.Close()
		log.Info().Str("service", a.Addr).Msg("auth service; it says yes to any credential")
	}
	log.Info().Int("workers", len(fleet.workers)).Str("discovery", fleet.discovery.Addr).Str("config",
		c.String("config")).
		Msg("standing; start the gatekeeper with that configuration")
	<-ctx.Done()
	var all []string
	for _, w := range fleet.workers {
		all = append(all, fmt.Sprintf("%s %d", w.Name, len(w.Received())))
	}
	log.Info().Str("txns", strings.Join(all, ", ")).Msg("ended")
	return nil
}
