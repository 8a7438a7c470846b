package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

// goldenSettings is what the code made of golden.json before names were changed. That file is a
// configuration as operators have it on disk, written by hand, in which each key counts. Neither may
// follow new code: a key that matches no field is passed over without an error. Keys that are only checked
// and change nothing are not in it: counter, family_info.counter, family_info.use_period_us,
// weight_source.
func goldenSettings() Settings {
	return Settings{
		Policy: policy.Settings{
			GatewayIndex: 1,
			GatewayCount: 2,
			Products: []policy.Product{{LatencyTargetMillis: 1, Value: 3,
				LateValueFraction: 4, Idempotency: 1, DedupScope: 1, DedupWindowMillis: 5}, {LatencyTargetMillis: 6,
				Value: 8, LateValueFraction: 9, Idempotency: 2, DedupScope: 0,
				DedupWindowMillis: 10}},
			Plans: []policy.Plan{
				{QuotaPerSecond: 11, QuotaBurst: 12, RateLimitPerSecond: 13, RateLimitBurst: 14, WithheldFraction: 0,
					MaxInFlight: 15, ValueFactor: 16, ExcessValueFraction: 17, ExcessCostFraction: 18,
					CreditSeconds: 19, RepayWithinMillis: 60000},
				{QuotaPerSecond: 21, QuotaBurst: 22,
					RateLimitPerSecond: 23, RateLimitBurst: 24, WithheldFraction: 0, MaxInFlight: 25, ValueFactor: 26,
					ExcessValueFraction: 27, ExcessCostFraction: 28,
					CreditSeconds: 29, RepayWithinMillis: 70000},
			},
			MaxRequestUnits:         35,
			MaxAttempts:             31,
			AllowHedging:            true,
			AllowCancel:             true,
			AllowRetryAfter:         true,
			MaxRetryAfterMillis:     32,
			AllowGossip:             true,
			WorkersReportLoad:       true,
			PeerMessagesPerSecond:   36,
			ReportsPerMessage:       31,
			WarmingCapacityFraction: 0.375,
			WarmUpMillis:            39,
			OverloadFactor:          40,
			OverloadMillis:          41,
			TotalWeight:             42,
			WorstPlanWeight:         87,
			QuotaWithoutGossip:      false,
		},
		Names: Names{Products: map[string]int{"check": 0, "sale": 1}, Plans: map[string]int{"basic": 0,
			"tiny": 1}},
		Connections: Connections{IdleTimeoutMillis: 33, ConnectTimeoutMillis: 34,
			AnswerSlackMillis:   38,
			MaxClientWaitMillis: 7, PollsDiscovery: true},
	}
}

func goldenDecode(t *testing.T, raw []byte) (Gateway, error) {
	t.Helper()
	return Decode(raw, func(string) string { return "" })
}

func TestGoldenSettings(t *testing.T) {
	g, err := goldenDecode(t, goldentest.File(t, "golden.json"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.SameLines(t, goldentest.Leaves(g.Settings), goldentest.Leaves(goldenSettings()))
	got := fmt.Sprintln(g.Name, g.ListenAddress, g.DiscoveryAddress, g.Seed, g.AdminAddress, g.Cores, g.MemoryMB,
		g.MaxSockets,
		g.PeerListenAddress, g.PeerAddresses, g.KnownEndpoints.Version, len(g.KnownEndpoints.Workers))
	if got != goldenStart {
		t.Errorf("got  %s\nwant %s", got, goldenStart)
	}
}

const goldenStart = "n1 127.0.0.1:5000 127.0.0.1:8500 -8349901503567500956 127.0.0.1:6000 0.5 64 255 " +
	"127.0.0.1:7946 [127.0.0.2:7946 127.0.0.3:7946] 41 1\n"

// TestGoldenKeysCount: with another name for any one key the configuration is another one, or is rejected.
// Guards against a golden file in which a key does not count.
func TestGoldenKeysCount(t *testing.T) {
	raw := goldentest.File(t, "golden.json")
	whole, err := goldenDecode(t, raw)
	if err != nil {
		t.Fatal(err)
	}
	var root map[string]any
	if err := json.Unmarshal(raw, &root); err != nil {
		t.Fatal(err)
	}
	keys := 0
	var visit func(path string, node any)
	visit = func(path string, node any) {
		if list, ok := node.([]any); ok {
			for _, child := range list {
				visit(path, child)
			}
		}
		object, _ := node.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(object)) {
			child := object[key]
			at := path + "." + key
			delete(object, key)
			object["not_"+key] = child
			text, err := json.Marshal(root)
			if err != nil {
				t.Fatal(err)
			}
			got, err := goldenDecode(t, text)
			delete(object, "not_"+key)
			object[key] = child
			if keys++; err == nil && reflect.DeepEqual(got, whole) {
				t.Errorf("%s does not count", at)
			}
			visit(at, child)
		}
	}
	visit("", root)
	if keys != goldenKeyCount {
		t.Errorf("%d keys were tried, want %d", keys, goldenKeyCount)
	}
}

const goldenKeyCount = 89 // in golden.json, those of lists each
