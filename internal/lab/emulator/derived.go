package emulator

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// idempotencies maps the values of ProductSpec.Idempotency to the policy's.
var idempotencies = map[string]policy.Idempotency{"inquiry": policy.Idempotent,
	"referenced": policy.Deduplicated,
	"once":       policy.NonIdempotent}

// dedupScopes maps the values of ProductSpec.DedupScope to the policy's.
var dedupScopes = map[string]policy.DedupScope{"": policy.DedupAcrossFleet, "all": policy.DedupAcrossFleet,
	"zone": policy.DedupWithinZone}

// region returns the region of the worker or instance of a number.
func (s *Scenario) region(number int) int {
	if z := s.Workers.Zones; z > 1 {
		return number % z
	}
	return 0
}

// inRegions returns those of count workers or instances that are in some regions.
func (s *Scenario) inRegions(regions []int, n int) (members []int) {
	for i := range n {
		if slices.Contains(regions, s.region(i)) {
			members = append(members, i)
		}
	}
	return members
}

// setSize returns the number of instances in a set of a plan's customers.
func (s *Scenario) setSize(plan int) int {
	if n := s.Plans[plan].SetSize; n > 0 {
		return n
	}
	return s.Gatekeepers.SetSize
}

// maxUnits returns the largest number of units of a transaction, at least one.
func (s *Scenario) maxUnits() float64 {
	largest := 1.0
	for _, p := range s.Plans {
		largest = math.Max(largest, p.MaxUnits)
	}
	return largest
}

// workerCapacity returns the units of mean work a second of a warm worker.
func (s *Scenario) workerCapacity() float64 {
	mean := s.Workers.ServiceMillis
	if !s.Workers.Exponential {
		mean *= math.Exp(s.Workers.ServiceSigma * s.Workers.ServiceSigma / 2)
	}
	return float64(s.Workers.Cores) * 1000 / mean
}

// overloadFactor returns the factor of its capacity beyond which a cold worker fails.
func (s *Scenario) overloadFactor() float64 { return cmp.Or(s.Workers.OverloadFactor, 3) }

// overloadMillis returns for how long a cold worker bears that.
func (s *Scenario) overloadMillis() float64 { return cmp.Or(s.Workers.OverloadMillis, 1500) }

// reportPeriodMillis returns about the time within which a new instance first reports to its peers: 400 ms,
// or longer where they cannot take in that many messages.
func (s *Scenario) reportPeriodMillis() float64 {
	return math.Max(400, 1000*float64(s.Gatekeepers.Count-1)/math.Max(s.Gatekeepers.PeerMessagesPerSecond, 1))
}

// creditLines returns the plans' lines of credit, and whether any plan has one.
func (s *Scenario) creditLines() (lines []borrowing.Plan, lends bool) {
	for _, p := range s.Plans {
		lines = append(lines, borrowing.Plan{LineUnits: p.CreditSeconds * p.QuotaPerSecond,
			RepayMillis: p.RepaySeconds * 1000})
		lends = lends || p.CreditSeconds > 0
	}
	return lines, lends
}

// policySettings returns the settings of the instance of an index.
func (s *Scenario) policySettings(index int) policy.Settings {
	g := &s.Gatekeepers
	settings := policy.Settings{
		GatewayIndex:            index,
		GatewayCount:            g.Count,
		MaxRequestUnits:         s.maxUnits(),
		MaxAttempts:             g.MaxAttempts,
		AllowHedging:            g.AllowHedging,
		AllowCancel:             true,
		AllowRetryAfter:         true,
		MaxRetryAfterMillis:     10000,
		AllowGossip:             g.AllowGossip,
		PeerMessagesPerSecond:   g.PeerMessagesPerSecond,
		ReportsPerMessage:       31,
		WarmingCapacityFraction: s.Workers.ColdCapacityFraction,
		WarmUpMillis:            s.Workers.WarmUpSeconds * 1000,
		OverloadFactor:          s.overloadFactor(),
		OverloadMillis:          s.overloadMillis(),
		TotalWeight:             1,
	}
	for _, p := range s.Products {
		settings.Products = append(settings.Products, policy.Product{LatencyTargetMillis: p.LatencyTargetMillis,
			Value:             p.Value,
			LateValueFraction: p.LateValueFraction,
			Idempotency:       idempotencies[p.Idempotency], DedupScope: dedupScopes[p.DedupScope],
			DedupWindowMillis: p.DedupWindowMillis})
	}
	for _, p := range s.Plans {
		plan := policy.Plan{QuotaPerSecond: p.QuotaPerSecond, QuotaBurst: p.QuotaBurst,
			RateLimitPerSecond: p.RateLimitPerSecond,
			RateLimitBurst:     p.RateLimitBurst,
			ValueFactor:        p.ValueFactor, ExcessValueFraction: p.ExcessValueFraction,
			ExcessCostFraction: p.ExcessCostFraction,
			CreditSeconds:      p.CreditSeconds,
			RepayWithinMillis:  p.RepaySeconds * 1000}
		if s.Policy == "deep" {
			plan.QuotaBurst, plan.CreditSeconds = plan.QuotaBurst+plan.CreditSeconds*plan.QuotaPerSecond, 0
		}
		settings.Plans = append(settings.Plans, plan)
	}
	return settings
}

// invariantRules returns what the checker of the five rules has to know.
func (s *Scenario) invariantRules() invariants.Rules {
	rules := invariants.Rules{Overlap: s.Gatekeepers.AllowHedging, Slack: 8, Grace: s.Workers.GraceMillis,
		Capacity: s.workerCapacity(), WarmingFraction: s.Workers.ColdCapacityFraction,
		WarmUp:         s.Workers.WarmUpSeconds * 1000,
		OverloadFactor: s.overloadFactor(), OverloadWindow: s.overloadMillis()}
	for _, p := range s.Products {
		product := invariants.Product{Repeat: invariants.Repeat(idempotencies[p.Idempotency]),
			Work: p.RelativeWork, Window: p.DedupWindowMillis}
		if dedupScopes[p.DedupScope] == policy.DedupWithinZone && s.Workers.Zones > 1 {
			product.SharesReferences = func(a, b int) bool { return a%s.Workers.Zones == b%s.Workers.Zones }
		}
		rules.Products = append(rules.Products, product)
	}
	for _, p := range s.Plans {
		rules.Plans = append(rules.Plans, invariants.Plan{RateLimit: p.RateLimitPerSecond, Depth: p.RateLimitBurst})
	}
	return rules
}

// customerGroups returns the customers of each plan as a group of the workload.
func (s *Scenario) customerGroups() []workload.Group {
	var weights []float64
	for _, p := range s.Products {
		weights = append(weights, p.Weight)
	}
	var groups []workload.Group
	for i, p := range s.Plans {
		meanUnits := (1 + p.MaxUnits) / 2
		groups = append(groups, workload.Group{Plan: i, Customers: p.Customers,
			Rate:           p.QuotaPerSecond * p.OfferedLoad / meanUnits,
			ProductWeights: weights, MaxUnits: p.MaxUnits, SetSize: s.setSize(i), Skew: p.Skew})
	}
	return groups
}

// loadShape returns a shape for the workload. The error names its key.
func (s *Scenario) loadShape(i int) (workload.Shape, error) {
	spec := &s.Shapes[i]
	shape := workload.Shape{Kind: spec.Kind, FromMillis: spec.FromSeconds * 1000,
		ToMillis: spec.ToSeconds * 1000, Factor: spec.Factor,
		Group:     -1,
		Customers: spec.Customers}
	if shape.Kind == "shift" && shape.Factor == 0 {
		shape.Factor = 1
	}
	for k := range s.Plans {
		if s.Plans[k].Name == spec.Plan {
			shape.Group = k
		}
	}
	if spec.Plan != "" && shape.Group < 0 {
		return shape, fmt.Errorf("plan: %q is unknown", spec.Plan)
	}
	return shape, shape.Validate(s.customerGroups())
}

// Arrivals returns the transactions that clients mean to send, generated or from the trace.
func (s *Scenario) Arrivals(seed int64) ([]workload.Arrival, error) {
	if s.Trace == "" {
		var shapes []workload.Shape
		for i := range s.Shapes {
			shape, err := s.loadShape(i)
			if err != nil {
				return nil, err
			}
			shapes = append(shapes, shape)
		}
		return workload.Generate(s.customerGroups(), shapes, s.Seconds*1000, seed), nil
	}
	path := s.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(s.dir, path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer func() { _ = f.Close() }() // it was only read
	names := workload.NameIndex{Plans: map[string]int{}, Products: map[string]int{}}
	for i, p := range s.Plans {
		names.Plans[p.Name] = i
	}
	for i, p := range s.Products {
		names.Products[p.Name] = i
	}
	arrivals, err := workload.ReadTrace(f, names)
	if err != nil {
		return nil, fmt.Errorf("trace: %s: %w", path, err)
	}
	return arrivals, nil
}
