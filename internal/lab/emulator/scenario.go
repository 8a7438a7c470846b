package emulator

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"willowdeck/internal/strictoml"
)

// Scenario is a fleet, its customers and what happens to them. Times are in seconds or milliseconds, as names
// and keys say.
type Scenario struct {
	Name    string  `toml:"name"`
	Seconds float64 `toml:"seconds"` // in which transactions arrive
	Policy  string  `toml:"policy"`  // one of Policies
	Trace   string  `toml:"trace"`   // path of a recorded trace that replaces the generated arrivals

	Gatekeepers GatekeeperSpec `toml:"gatekeepers"`
	Products    []ProductSpec  `toml:"products"`
	Plans       []PlanSpec     `toml:"plans"`
	Workers     WorkerSpec     `toml:"workers"`
	Network     NetworkSpec    `toml:"network"`
	Clients     ClientSpec     `toml:"clients"`
	Shapes      []ShapeSpec    `toml:"shapes"`
	Faults      []Fault        `toml:"faults"`

	dir               string // folder of the file
	skipEndpointCheck bool   // for tests: attempts are sent without a check of the endpoint list
}

// GatekeeperSpec describes the gateway instances.
type GatekeeperSpec struct {
	Count                 int     `toml:"count"`
	SetSize               int     `toml:"spread"`          // instances of a customer's set
	MaxAttempts           int     `toml:"max_submissions"` // of a transaction, to workers
	AllowHedging          bool    `toml:"may_overlap"`
	PeerMessagesPerSecond float64 `toml:"peer_in_per_s"` // messages that an instance receives from its peers
	AllowGossip           bool    `toml:"talks"`
	StartMillis           float64 `toml:"start_ms"` // from its start until it serves
	Retained              int     `toml:"keeps"`    // over a restart: a sum of the Retain constants
}

// ProductSpec describes a product.
type ProductSpec struct {
	Name                string  `toml:"name"`
	LatencyTargetMillis float64 `toml:"sla_ms"`
	Value               float64 `toml:"value"`
	LateValueFraction   float64 `toml:"late_share"` // of Value, for what completes after the target
	Idempotency         string  `toml:"repeat"`     // inquiry, referenced or once
	DedupScope          string  `toml:"group"`      // workers among which a retry is deduplicated: all or zone
	DedupWindowMillis   float64 `toml:"window_ms"`  // in which it is
	Weight              float64 `toml:"weight"`     // in the product mix
	RelativeWork        float64 `toml:"work"`       // factor of the workers' mean service time
}

// PlanSpec describes a plan and its customers.
type PlanSpec struct {
	Name                string  `toml:"name"`
	Customers           int     `toml:"customers"`
	QuotaPerSecond      float64 `toml:"rate"`    // units a second of the quota
	QuotaBurst          float64 `toml:"burst"`   // units
	RateLimitPerSecond  float64 `toml:"ceiling"` // units a second; 0 is no limit
	RateLimitBurst      float64 `toml:"ceiling_depth"`
	OfferedLoad         float64 `toml:"asks"` // units that customers ask for, as a factor of Rate
	ValueFactor         float64 `toml:"factor"`
	ExcessValueFraction float64 `toml:"excess_share"` // of the value, of what is served beyond the quota
	ExcessCostFraction  float64 `toml:"excess_fee"`   // of the value, for what is served beyond the quota
	MaxUnits            float64 `toml:"units"`        // of a transaction, at most
	SetSize             int     `toml:"spread"`       // instances of its customers' sets; 0 is GatekeeperSpec's
	CreditSeconds       float64 `toml:"credit_s"`     // seconds of the rate that may be borrowed
	RepaySeconds        float64 `toml:"repay_s"`      // until that is repaid
	Skew                float64 `toml:"skew"`         // Zipf exponent of the load over a set
}

// WorkerSpec describes the workers.
type WorkerSpec struct {
	Count                int     `toml:"count"`
	Cores                int     `toml:"cores"`
	Queue                int     `toml:"queue"` // transactions that wait, at most
	Zones                int     `toml:"zones"`
	ServiceMillis        float64 `toml:"service_ms"`   // median, or the mean of an exponential one
	ServiceSigma         float64 `toml:"spread"`       // standard deviation of the logarithm of the service time
	Exponential          bool    `toml:"exponential"`  // service times are exponential, not lognormal
	ColdCapacityFraction float64 `toml:"cold_from"`    // capacity at the start, as a fraction
	WarmUpSeconds        float64 `toml:"warm_up_s"`    // until full capacity
	OverloadFactor       float64 `toml:"tip_multiple"` // of its capacity, that a cold one bears; 0 is 3
	OverloadMillis       float64 `toml:"tip_ms"`       // for how long it bears that; 0 is 1,500
	DrainSeconds         float64 `toml:"drain_s"`      // from the start of draining until the process ends
	GraceMillis          float64 `toml:"grace_ms"`     // in which a draining worker may still be sent to
}

// NetworkSpec describes mean one-way delays and losses.
type NetworkSpec struct {
	ClientMillis         float64 `toml:"client_ms"`
	WorkerMillis         float64 `toml:"worker_ms"`
	PeerMillis           float64 `toml:"peer_ms"`
	PeerLoss             float64 `toml:"peer_loss"` // fraction of peers' messages
	EndpointUpdateMillis float64 `toml:"list_ms"`   // until an update of the endpoint list arrives, at most
	CrossRegionMillis    float64 `toml:"across_ms"` // added between different regions
}

// ClientSpec describes the clients.
type ClientSpec struct {
	TimeoutFactor    float64 `toml:"waits"` // time-out, as a factor of the latency target
	Retries          int     `toml:"retries"`
	MaxBackoffMillis float64 `toml:"back_ms"` // longest backoff where the response advises none
}

// ShapeSpec is a workload.Shape as a scenario states it.
type ShapeSpec struct {
	Kind        string  `toml:"kind"`
	FromSeconds float64 `toml:"from_s"`
	ToSeconds   float64 `toml:"to_s"`
	Factor      float64 `toml:"factor"`
	Plan        string  `toml:"plan"` // name; all plans where it is empty
	Customers   int     `toml:"customers"`
}

// Policies are the values of Scenario.Policy, with what each does.
var Policies = map[string]string{
	"willowdeck": "the project's policy",
	"open":       "baseline: lets all in, to random workers",
	"deep":       "the project's policy, with lines of credit made part of bursts",
	"static":     "baseline: each gatekeeper holds an equal part of each quota, random workers",
	"seer":       "baseline: sees every quota and worker as it is",
	"late":       "baseline: sees every quota and worker as it was list_ms ago",
}

// Read reads and checks a scenario. An error names the file, and the line or the key.
func Read(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Decode(string(raw))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.dir = filepath.Dir(path)
	return s, nil
}

// Decode decodes and checks the text of a scenario. An error names the line or the key.
func Decode(text string) (*Scenario, error) {
	s := &Scenario{Policy: "willowdeck"}
	if err := strictoml.Decode(text, s); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// Clone returns a copy that can be changed without changing the original.
func (s *Scenario) Clone() *Scenario {
	c := *s
	c.Products, c.Plans = slices.Clone(s.Products), slices.Clone(s.Plans)
	c.Shapes, c.Faults = slices.Clone(s.Shapes), slices.Clone(s.Faults)
	return &c
}
