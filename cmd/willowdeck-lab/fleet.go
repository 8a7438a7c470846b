package main

import (
	"encoding/json"
	"fmt"
	"time"

	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/testkit/fakes"
)

// fleet is what one gatekeeper meets, on loopback.
type fleet struct {
	workers   []*fakes.Worker
	discovery *fakes.Discovery
	counter   *fakes.Counter
	config    []byte
}

func (f *fleet) close() {
	for _, w := range f.workers {
		w.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	if f.counter != nil {
		f.counter.Close()
	}
}

// newFleet starts a scenario's workers, with discovery and a counter, and writes the configuration of one
// gatekeeper before them.
func newFleet(s *emulator.Scenario, listen string) (f *fleet, err error) {
	f = &fleet{}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	var entries []fakes.Entry
	for i := range s.Workers.Count {
		w, err := fakes.NewWorker(fmt.Sprintf("w%d", i),
			time.Duration(s.Workers.ServiceMillis*float64(time.Millisecond)))
		if err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
		entries = append(entries, w.Of(fmt.Sprintf("z%d", i%max(s.Workers.Zones, 1))))
	}
	if f.discovery, err = fakes.NewDiscovery(entries...); err != nil {
		return nil, err
	}
	if f.counter, err = fakes.NewCounter(); err != nil {
		return nil, err
	}
	f.config, err = json.MarshalIndent(map[string]any{
		"name": "n0", "listen": listen, "discovery": f.discovery.At, "counter": f.counter.At, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": f.discovery.List(),
		"settings": settings(s),
	}, "", " ")
	return f, err
}

// settings are a scenario's figures as a gatekeeper's configuration has them, for one gatekeeper alone.
func settings(s *emulator.Scenario) map[string]any {
	effects := map[string]string{"inquiry": "read_like", "referenced": "idempotency_key",
		"once": "non_idempotent"}
	var classes, tariffs []map[string]any
	largest := 1.0
	for _, p := range s.Products {
		classes = append(classes, map[string]any{"name": p.Name, "aim_us": p.LatencyTargetMillis * 1000,
			"worth":      p.Value,
			"late_share": p.LateValueFraction, "effect": effects[p.Idempotency], "group": p.DedupScope,
			"window_us": p.DedupWindowMillis * 1000})
	}
	for _, p := range s.Plans {
		largest = max(largest, p.MaxUnits)
		tariffs = append(tariffs, map[string]any{"name": p.Name, "rate": p.QuotaPerSecond,
			"most_at_once": p.QuotaBurst,
			"hard_rate":    p.RateLimitPerSecond, "cap_depth": p.RateLimitBurst, "worth_factor": p.ValueFactor,
			"excess_worth": p.ExcessValueFraction,
			"over_cost":    p.ExcessCostFraction})
	}
	return map[string]any{"me": 0, "balancers": 1, "classes": classes, "tariffs": tariffs,
		"allowed": map[string]any{"max_attempts": s.Gatekeepers.MaxAttempts, "cancel": true, "retry_after": true,
			"max_retry_after_us": 10e6, "keepalive_us": 10e6, "connect_timeout_us": 250e3},
		"family_info": map[string]any{"largest": largest},
		"safety": map[string]any{"cold_from": s.Workers.ColdCapacityFraction,
			"warm_up_us":      s.Workers.WarmUpSeconds * 1e6,
			"answer_slack_us": 8000},
		"score_parts": map[string]any{"whole": 1}}
}
