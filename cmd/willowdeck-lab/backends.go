package main

import (
	"encoding/json"
	"fmt"
	"time"

	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/testkit/fakes"
)

// fakeBackends are the fakes of all that one gateway talks to, on loopback, and its configuration.
type fakeBackends struct {
	workers   []*fakes.Worker
	discovery *fakes.Discovery
	counter   *fakes.Counter
	config    []byte
}

// close stops the fakes.
func (f *fakeBackends) close() {
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

// startBackends starts a scenario's workers, discovery and a counter, and makes the configuration of one
// gateway.
func startBackends(scenario *emulator.Scenario, listen string) (backends *fakeBackends, err error) {
	backends = &fakeBackends{}
	defer func() {
		if err != nil {
			backends.close()
		}
	}()
	var entries []fakes.Entry
	for i := range scenario.Workers.Count {
		worker, err := fakes.NewWorker(fmt.Sprintf("w%d", i),
			time.Duration(scenario.Workers.ServiceMillis*float64(time.Millisecond)))
		if err != nil {
			return nil, err
		}
		backends.workers = append(backends.workers, worker)
		entries = append(entries, worker.Endpoint(fmt.Sprintf("z%d", i%max(scenario.Workers.Zones, 1))))
	}
	if backends.discovery, err = fakes.NewDiscovery(entries...); err != nil {
		return nil, err
	}
	if backends.counter, err = fakes.NewCounter(); err != nil {
		return nil, err
	}
	backends.config, err = json.MarshalIndent(map[string]any{
		"name": "n0", "listen": listen, "discovery": backends.discovery.Addr, "counter": backends.counter.Addr,
		"seed":   "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": backends.discovery.List(),
		"settings": gatewaySettings(scenario),
	}, "", " ")
	return backends, err
}

// gatewaySettings returns a scenario's numbers as the configuration of one gateway alone has them.
func gatewaySettings(scenario *emulator.Scenario) map[string]any {
	effects := map[string]string{"inquiry": "read_like", "referenced": "idempotency_key",
		"once": "non_idempotent"}
	var classes, tariffs []map[string]any
	largest := 1.0
	for _, p := range scenario.Products {
		classes = append(classes, map[string]any{"name": p.Name, "aim_us": p.LatencyTargetMillis * 1000,
			"worth":      p.Value,
			"late_share": p.LateValueFraction, "effect": effects[p.Idempotency], "group": p.DedupScope,
			"window_us": p.DedupWindowMillis * 1000})
	}
	for _, p := range scenario.Plans {
		largest = max(largest, p.MaxUnits)
		tariffs = append(tariffs, map[string]any{"name": p.Name, "rate": p.QuotaPerSecond,
			"most_at_once": p.QuotaBurst,
			"hard_rate":    p.RateLimitPerSecond, "cap_depth": p.RateLimitBurst, "worth_factor": p.ValueFactor,
			"excess_worth": p.ExcessValueFraction,
			"over_cost":    p.ExcessCostFraction})
	}
	return map[string]any{"me": 0, "balancers": 1, "classes": classes, "tariffs": tariffs,
		"allowed": map[string]any{"max_attempts": scenario.Gatekeepers.MaxAttempts, "cancel": true,
			"retry_after":        true,
			"max_retry_after_us": 10e6, "keepalive_us": 10e6, "connect_timeout_us": 250e3},
		"family_info": map[string]any{"largest": largest},
		"safety": map[string]any{"cold_from": scenario.Workers.ColdCapacityFraction,
			"warm_up_us":      scenario.Workers.WarmUpSeconds * 1e6,
			"answer_slack_us": 8000},
		"score_parts": map[string]any{"whole": 1}}
}
