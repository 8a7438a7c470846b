package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/lab/workload"
	"willowdeck/internal/policy"
	"willowdeck/internal/strictoml"
	"willowdeck/internal/testkit/invariants"
)

// Scenario is a fleet, its customers and what happens to them. Times are in seconds or milliseconds, as names and
// keys say.
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
	Shapes      []shape        `toml:"shapes"`
	Faults      []Fault        `toml:"faults"`

	dir   string // folder of the file
	blind bool   // for tests: the host does not check the endpoint list before it sends
}

// GatekeeperSpec describes the gateway instances.
type GatekeeperSpec struct {
	Count          int     `toml:"count"`
	Spread         int     `toml:"spread"`          // instances of a customer's set
	MaxSubmissions int     `toml:"max_submissions"` // of a transaction, to workers
	MayOverlap     bool    `toml:"may_overlap"`
	PeerInPerS     float64 `toml:"peer_in_per_s"` // messages that an instance receives from its peers
	Talks          bool    `toml:"talks"`
	StartMS        float64 `toml:"start_ms"` // from its start until it serves
	Keeps          int     `toml:"keeps"`    // what a restarted one knows of its former incarnation: a sum of the Keep constants
}

// ProductSpec describes a product.
type ProductSpec struct {
	Name     string  `toml:"name"`
	SLAMS    float64 `toml:"sla_ms"`
	Value    float64 `toml:"value"`
	Late     float64 `toml:"late_share"` // of Value, for what completes after the target
	Repeat   string  `toml:"repeat"`     // inquiry, referenced or once
	Group    string  `toml:"group"`      // workers among which a retry is deduplicated: all or zone
	WindowMS float64 `toml:"window_ms"`  // in which it is
	Weight   float64 `toml:"weight"`     // in the product mix
	Work     float64 `toml:"work"`       // factor of the workers' mean service time
}

// PlanSpec describes a plan and its customers.
type PlanSpec struct {
	Name         string  `toml:"name"`
	Customers    int     `toml:"customers"`
	Rate         float64 `toml:"rate"`    // units a second of the quota
	Burst        float64 `toml:"burst"`   // units
	Ceiling      float64 `toml:"ceiling"` // units a second; 0 is no limit
	CeilingDepth float64 `toml:"ceiling_depth"`
	Asks         float64 `toml:"asks"` // units that customers ask for, as a factor of Rate
	Factor       float64 `toml:"factor"`
	Excess       float64 `toml:"excess_share"` // of the value, of what is served beyond the quota
	Fee          float64 `toml:"excess_fee"`   // of the value, for what is served beyond the quota
	Units        float64 `toml:"units"`        // of a transaction, at most
	Spread       int     `toml:"spread"`       // instances of its customers' sets; 0 is GatekeeperSpec's
	Credit       float64 `toml:"credit_s"`     // seconds of the rate that may be borrowed
	Repay        float64 `toml:"repay_s"`      // until that is repaid
	Skew         float64 `toml:"skew"`         // Zipf exponent of the load over a set
}

// WorkerSpec describes the workers.
type WorkerSpec struct {
	Count       int     `toml:"count"`
	Cores       int     `toml:"cores"`
	Queue       int     `toml:"queue"` // transactions that wait, at most
	Zones       int     `toml:"zones"`
	ServiceMS   float64 `toml:"service_ms"`   // median, or the mean of an exponential one
	Spread      float64 `toml:"spread"`       // standard deviation of the logarithm of the service time
	Exponential bool    `toml:"exponential"`  // service times are exponential, not lognormal
	ColdFrom    float64 `toml:"cold_from"`    // capacity at the start, as a fraction
	WarmUpS     float64 `toml:"warm_up_s"`    // until full capacity
	TipMultiple float64 `toml:"tip_multiple"` // of its capacity, beyond which a cold worker fails; 0 is 3
	TipMS       float64 `toml:"tip_ms"`       // for how long it bears that; 0 is 1,500
	DrainS      float64 `toml:"drain_s"`      // from the start of draining until the process ends
	GraceMS     float64 `toml:"grace_ms"`     // in which a draining worker may still be sent to
}

// NetworkSpec describes mean one-way delays and losses.
type NetworkSpec struct {
	ClientMS float64 `toml:"client_ms"`
	WorkerMS float64 `toml:"worker_ms"`
	PeerMS   float64 `toml:"peer_ms"`
	PeerLoss float64 `toml:"peer_loss"` // fraction of peers' messages
	ListMS   float64 `toml:"list_ms"`   // within which an update of the endpoint list reaches an instance
	AcrossMS float64 `toml:"across_ms"` // added between an instance and a worker of different regions
}

// ClientSpec describes the clients.
type ClientSpec struct {
	Waits   float64 `toml:"waits"` // time-out, as a factor of the latency target
	Retries int     `toml:"retries"`
	BackMS  float64 `toml:"back_ms"` // longest backoff where the response advises none
}

// shape is a workload.Shape as a scenario states it.
type shape struct {
	Kind      string  `toml:"kind"`
	FromS     float64 `toml:"from_s"`
	ToS       float64 `toml:"to_s"`
	Factor    float64 `toml:"factor"`
	Plan      string  `toml:"plan"` // name; all plans where it is empty
	Customers int     `toml:"customers"`
}

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind   string  `toml:"kind"` // one of FaultKinds
	FromS  float64 `toml:"from_s"`
	ToS    float64 `toml:"to_s"`
	Part   float64 `toml:"part"`   // of the workers or instances, rounded up
	Factor float64 `toml:"factor"` // slow: of the service time; fail, lose: fraction of the transactions
	Halls  []int   `toml:"halls"`  // the lost regions; for other kinds those affected, in place of Part
}

// FaultKinds are the faults there are, and what they do.
var FaultKinds = map[string]string{
	"drain":   "workers drain, go, and come back as new processes, cold, at the end",
	"kill":    "workers die, and come back cold at the end",
	"slow":    "workers take factor times as long",
	"fail":    "workers answer factor of the txns with an error",
	"silent":  "workers take txns and answer none, and run none",
	"lose":    "factor of the answers of these workers get lost on their way",
	"cut":     "gatekeepers neither hear nor reach their peers",
	"stall":   "gatekeepers stand still",
	"restart": "gatekeepers are killed, and start from nothing at the end",
	"roll":    "gatekeepers are killed one after another over the span, and each starts again at once",
	"hall":    "halls are lost, workers and gatekeepers, and come back as new processes",
	"keepers": "the gatekeepers of halls are killed, and start from nothing at the end",
	"links":   "halls are cut off from each other and all others; clients reach their gatekeepers",
}

// Policies are what may decide in a run.
var Policies = map[string]string{
	"willowdeck": "the project's module",
	"open":       "baseline: lets all in, to random workers",
	"deep":       "the project's module, with lines of credit made part of bursts",
	"static":     "baseline: each gatekeeper holds an equal part of each quota, random workers",
	"seer":       "baseline: sees every quota and worker as it is",
	"late":       "baseline: sees every quota and worker as it was list_ms ago",
}

var repeats = map[string]policy.Idempotency{"inquiry": policy.Idempotent, "referenced": policy.Deduplicated,
	"once": policy.NonIdempotent}
var groups = map[string]policy.DedupScope{"": policy.DedupAcrossFleet, "all": policy.DedupAcrossFleet,
	"zone": policy.DedupWithinZone}

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

// Decode decodes and checks a scenario.
func Decode(text string) (*Scenario, error) {
	s := &Scenario{Policy: "willowdeck"}
	if err := strictoml.Decode(text, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Set changes one figure by its key, as a sweep does, and checks the whole again.
func (s *Scenario) Set(key string, v float64) error {
	f, ok := s.figures()[key]
	if !ok {
		return fmt.Errorf("%s: no figure that can be swept; these can: %s", key, strings.Join(s.Figures(), ", "))
	}
	f(v)
	return s.check()
}

// Figures names those that Set takes.
func (s *Scenario) Figures() []string {
	var names []string
	for k := range s.figures() {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

func (s *Scenario) figures() map[string]func(float64) {
	number := func(p *float64) func(float64) { return func(v float64) { *p = v } }
	whole := func(p *int) func(float64) { return func(v float64) { *p = int(v) } }
	m := map[string]func(float64){
		"seconds": number(&s.Seconds), "gatekeepers.count": whole(&s.Gatekeepers.Count),
		"gatekeepers.spread":          whole(&s.Gatekeepers.Spread),
		"gatekeepers.max_submissions": whole(&s.Gatekeepers.MaxSubmissions),
		"gatekeepers.keeps":           whole(&s.Gatekeepers.Keeps),
		"gatekeepers.peer_in_per_s":   number(&s.Gatekeepers.PeerInPerS),
		"workers.count":               whole(&s.Workers.Count), "workers.cores": whole(&s.Workers.Cores),
		"workers.queue": whole(&s.Workers.Queue), "workers.service_ms": number(&s.Workers.ServiceMS),
		"workers.spread": number(&s.Workers.Spread), "workers.cold_from": number(&s.Workers.ColdFrom),
		"network.peer_ms": number(&s.Network.PeerMS), "network.peer_loss": number(&s.Network.PeerLoss),
		"network.list_ms": number(&s.Network.ListMS), "clients.waits": number(&s.Clients.Waits),
		"clients.retries": whole(&s.Clients.Retries),
	}
	for i := range s.Plans {
		m[fmt.Sprintf("plans[%d].asks", i)] = number(&s.Plans[i].Asks)
		m[fmt.Sprintf("plans[%d].rate", i)] = number(&s.Plans[i].Rate)
		m[fmt.Sprintf("plans[%d].burst", i)] = number(&s.Plans[i].Burst)
		m[fmt.Sprintf("plans[%d].credit_s", i)] = number(&s.Plans[i].Credit)
	}
	m["shapes.factor"] = func(v float64) { // of all
		for i := range s.Shapes {
			s.Shapes[i].Factor = v
		}
	}
	for i := range s.Faults {
		m[fmt.Sprintf("faults[%d].part", i)] = number(&s.Faults[i].Part)
		m[fmt.Sprintf("faults[%d].factor", i)] = number(&s.Faults[i].Factor)
	}
	return m
}

// check finds the first key whose figure makes no sense.
func (s *Scenario) check() error {
	in := func(key string, v, least, most float64) error {
		if !(v >= least) || v > most {
			return fmt.Errorf("%s: %v is not from %v to %v", key, v, least, most)
		}
		return nil
	}
	g, w, n := &s.Gatekeepers, &s.Workers, &s.Network
	err := errors.Join(
		in("seconds", s.Seconds, 0.1, 1e5), in("gatekeepers.count", float64(g.Count), 1, 2000),
		in("gatekeepers.spread", float64(g.Spread), 1, float64(g.Count)),
		in("gatekeepers.max_submissions", float64(g.MaxSubmissions), 1, 100),
		in("gatekeepers.keeps", float64(g.Keeps), 0, 127),
		in("gatekeepers.peer_in_per_s", g.PeerInPerS, 0, 1e6), in("gatekeepers.start_ms", g.StartMS, 0, 1e5),
		in("workers.count", float64(w.Count), 1, 5000), in("workers.cores", float64(w.Cores), 1, 1000),
		in("workers.queue", float64(w.Queue), 0, 1e6), in("workers.zones", float64(w.Zones), 0, 1000),
		in("workers.service_ms", w.ServiceMS, 0.01, 1e5), in("workers.spread", w.Spread, 0, 3),
		in("workers.cold_from", w.ColdFrom, 0.01, 1), in("workers.warm_up_s", w.WarmUpS, 0, 1e4),
		in("workers.tip_multiple", w.TipMultiple, 0, 100), in("workers.tip_ms", w.TipMS, 0, 1e5),
		in("workers.drain_s", w.DrainS, 0, 1e4), in("workers.grace_ms", w.GraceMS, 0, 1e5),
		in("network.client_ms", n.ClientMS, 0, 1e4), in("network.worker_ms", n.WorkerMS, 0, 1e4),
		in("network.peer_ms", n.PeerMS, 0, 1e5), in("network.peer_loss", n.PeerLoss, 0, 1),
		in("network.list_ms", n.ListMS, 0, 1e5), in("network.across_ms", n.AcrossMS, 0, 1e4),
		in("clients.waits", s.Clients.Waits, 0.01, 100),
		in("clients.retries", float64(s.Clients.Retries), 0, 100), in("clients.back_ms", s.Clients.BackMS, 0, 1e5))
	if err != nil {
		return first(err)
	}
	if _, ok := Policies[s.Policy]; !ok {
		return fmt.Errorf("policy: %q is unknown", s.Policy)
	}
	if len(s.Products) == 0 || len(s.Plans) == 0 || s.Name == "" {
		return errors.New("name, products and plans: there must be a name, and one of each at least")
	}
	seen := map[string]bool{}
	for i, p := range s.Products {
		key := fmt.Sprintf("products[%d].", i)
		_, repeat := repeats[p.Repeat]
		_, group := groups[p.Group]
		switch {
		case p.Name == "" || seen[p.Name]:
			return fmt.Errorf("%sname: %q is empty or there twice", key, p.Name)
		case !repeat:
			return fmt.Errorf("%srepeat: %q is unknown", key, p.Repeat)
		case !group:
			return fmt.Errorf("%sgroup: %q is unknown", key, p.Group)
		}
		seen[p.Name] = true
		if err := errors.Join(in(key+"sla_ms", p.SLAMS, 1, 1e6), in(key+"value", p.Value, 0, 1e6),
			in(key+"late_share", p.Late, 0, 1), in(key+"window_ms", p.WindowMS, 0, 1e7),
			in(key+"weight", p.Weight, 1e-6, 1e6), in(key+"work", p.Work, 1e-3, 1e3)); err != nil {
			return first(err)
		}
	}
	clear(seen)
	for i, p := range s.Plans {
		key := fmt.Sprintf("plans[%d].", i)
		if p.Name == "" || seen[p.Name] {
			return fmt.Errorf("%sname: %q is empty or there twice", key, p.Name)
		}
		seen[p.Name] = true
		if err := errors.Join(in(key+"customers", float64(p.Customers), 1, 1e6), in(key+"rate", p.Rate, 1e-3, 1e6),
			in(key+"burst", p.Burst, 0, 1e7), in(key+"ceiling", p.Ceiling, 0, 1e6),
			in(key+"ceiling_depth", p.CeilingDepth, 0, 1e7), in(key+"asks", p.Asks, 0, 1000),
			in(key+"factor", p.Factor, 0, 1000), in(key+"excess_share", p.Excess, 0, 1),
			in(key+"excess_fee", p.Fee, 0, 100), in(key+"units", p.Units, 1, 1e6),
			in(key+"spread", float64(p.Spread), 0, float64(g.Count)), in(key+"skew", p.Skew, 0, 10),
			in(key+"credit_s", p.Credit, 0, 1e5), in(key+"repay_s", p.Repay, 0, 1e5)); err != nil {
			return first(err)
		}
		if p.Credit > p.Repay*borrowing.Part {
			return fmt.Errorf("%srepay_s: in %v s a half of the fill does not pay %v s back", key, p.Repay, p.Credit)
		}
	}
	for i := range s.Shapes {
		if _, err := s.shape(i); err != nil {
			return fmt.Errorf("shapes[%d].%w", i, err)
		}
	}
	for i, f := range s.Faults {
		key := fmt.Sprintf("faults[%d].", i)
		if _, ok := FaultKinds[f.Kind]; !ok {
			return fmt.Errorf("%skind: %q is unknown", key, f.Kind)
		}
		if err := errors.Join(in(key+"from_s", f.FromS, 0, s.Seconds), in(key+"to_s", f.ToS, f.FromS,
			s.Seconds+1e4),
			in(key+"part", f.Part, 0, 1), in(key+"factor", f.Factor, 0, 1e4)); err != nil {
			return first(err)
		}
		if ofHalls := f.Kind == "hall" || f.Kind == "keepers" || f.Kind == "links"; ofHalls != (len(f.Halls) > 0) &&
			(ofHalls || f.Part > 0) {
			return fmt.Errorf("%shalls: they go with hall, keepers and links, else in place of part", key)
		}
		for _, h := range f.Halls {
			if err := in(key+"halls", float64(h), 0, float64(max(w.Zones, 1)-1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// first gives the first of some errors: one key is mended at a time.
func first(err error) error {
	if all, ok := err.(interface{ Unwrap() []error }); ok {
		return all.Unwrap()[0]
	}
	return err
}

func (s *Scenario) groups() []workload.Group {
	var weights []float64
	for _, p := range s.Products {
		weights = append(weights, p.Weight)
	}
	var all []workload.Group
	for i, p := range s.Plans {
		mean := (1 + p.Units) / 2
		all = append(all, workload.Group{Plan: i, Customers: p.Customers, Rate: p.Rate * p.Asks / mean,
			ProductWeights: weights, MaxUnits: p.Units, SetSize: s.spread(i), Skew: p.Skew})
	}
	return all
}

// hall is where a worker or gatekeeper of a number stands.
func (s *Scenario) hall(number int) int {
	if z := s.Workers.Zones; z > 1 {
		return number % z
	}
	return 0
}

// spread is how many gatekeepers the customers of a plan come through.
func (s *Scenario) spread(plan int) int {
	if n := s.Plans[plan].Spread; n > 0 {
		return n
	}
	return s.Gatekeepers.Spread
}

func (s *Scenario) shape(i int) (workload.Shape, error) {
	h := &s.Shapes[i]
	t := workload.Shape{Kind: h.Kind, FromMillis: h.FromS * 1000, ToMillis: h.ToS * 1000, Factor: h.Factor,
		Group:     -1,
		Customers: h.Customers}
	if t.Kind == "shift" && t.Factor == 0 {
		t.Factor = 1
	}
	for k := range s.Plans {
		if s.Plans[k].Name == h.Plan {
			t.Group = k
		}
	}
	if h.Plan != "" && t.Group < 0 {
		return t, fmt.Errorf("plan: %q is unknown", h.Plan)
	}
	return t, t.Validate(s.groups())
}

// Arrivals are the txns that clients mean to send, by the shapes or from the trace.
func (s *Scenario) Arrivals(seed int64) ([]workload.Arrival, error) {
	if s.Trace == "" {
		var shapes []workload.Shape
		for i := range s.Shapes {
			h, err := s.shape(i)
			if err != nil {
				return nil, err
			}
			shapes = append(shapes, h)
		}
		return workload.Generate(s.groups(), shapes, s.Seconds*1000, seed), nil
	}
	path := s.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(s.dir, path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer f.Close()
	names := workload.NameIndex{Plans: map[string]int{}, Products: map[string]int{}}
	for i, p := range s.Plans {
		names.Plans[p.Name] = i
	}
	for i, p := range s.Products {
		names.Products[p.Name] = i
	}
	all, err := workload.ReadTrace(f, names)
	if err != nil {
		return nil, fmt.Errorf("trace: %s: %w", path, err)
	}
	return all, nil
}

// capacity is what a warm worker does, units of usual work a second.
func (s *Scenario) capacity() float64 {
	mean := s.Workers.ServiceMS
	if !s.Workers.Exponential {
		mean *= math.Exp(s.Workers.Spread * s.Workers.Spread / 2)
	}
	return float64(s.Workers.Cores) * 1000 / mean
}

func (s *Scenario) largest() float64 {
	most := 1.0
	for _, p := range s.Plans {
		most = math.Max(most, p.Units)
	}
	return most
}

// charter is what instance me is told.
func (s *Scenario) charter(me int) policy.Settings {
	g := &s.Gatekeepers
	c := policy.Settings{
		GatewayIndex:          me,
		GatewayCount:          g.Count,
		MaxRequestUnits:       s.largest(),
		MaxAttempts:           g.MaxSubmissions,
		AllowHedging:          g.MayOverlap,
		AllowCancel:           true,
		AllowRetryAfter:       true,
		MaxRetryAfterMillis:   10000,
		AllowGossip:           g.Talks,
		PeerMessagesPerSecond: g.PeerInPerS,
		ReportsPerMessage:     31,
		ColdCapacityFraction:  s.Workers.ColdFrom,
		WarmUpMillis:          s.Workers.WarmUpS * 1000,
		OverloadFactor:        s.tips(),
		OverloadMillis:        s.tipMS(),
		TotalWeight:           1,
	}
	for _, p := range s.Products {
		c.Products = append(c.Products, policy.Product{LatencyTargetMillis: p.SLAMS, Value: p.Value,
			LateValueFraction: p.Late,
			Idempotency:       repeats[p.Repeat], DedupScope: groups[p.Group], DedupWindowMillis: p.WindowMS})
	}
	for _, p := range s.Plans {
		q := policy.Plan{QuotaPerSecond: p.Rate, QuotaBurst: p.Burst, RateLimitPerSecond: p.Ceiling,
			RateLimitBurst: p.CeilingDepth,
			ValueFactor:    p.Factor, ExcessValueFraction: p.Excess, ExcessCostFraction: p.Fee,
			CreditSeconds:     p.Credit,
			RepayWithinMillis: p.Repay * 1000}
		if s.Policy == "deep" {
			q.QuotaBurst, q.CreditSeconds = q.QuotaBurst+q.CreditSeconds*q.QuotaPerSecond, 0
		}
		c.Plans = append(c.Plans, q)
	}
	return c
}

// tips and tipMS tell when a cold worker falls.
func (s *Scenario) tips() float64  { return cmp.Or(s.Workers.TipMultiple, 3) }
func (s *Scenario) tipMS() float64 { return cmp.Or(s.Workers.TipMS, 1500) }

// rules are the judge's figures.
func (s *Scenario) rules() invariants.Rules {
	r := invariants.Rules{Overlap: s.Gatekeepers.MayOverlap, Slack: 8, Grace: s.Workers.GraceMS,
		Capacity: s.capacity(), ColdFrom: s.Workers.ColdFrom, WarmUp: s.Workers.WarmUpS * 1000,
		Tips: s.tips(), TipsAfter: s.tipMS()}
	for _, p := range s.Products {
		j := invariants.Product{Repeat: invariants.Repeat(repeats[p.Repeat]), Work: p.Work, Window: p.WindowMS}
		if groups[p.Group] == policy.DedupWithinZone && s.Workers.Zones > 1 {
			j.Same = func(a, b int) bool { return a%s.Workers.Zones == b%s.Workers.Zones }
		}
		r.Products = append(r.Products, j)
	}
	for _, p := range s.Plans {
		r.Plans = append(r.Plans, invariants.Plan{Ceiling: p.Ceiling, Depth: p.CeilingDepth})
	}
	return r
}

// Clone gives a copy that can be changed without changing this one.
func (s *Scenario) Clone() *Scenario {
	c := *s
	c.Products, c.Plans = slices.Clone(s.Products), slices.Clone(s.Plans)
	c.Shapes, c.Faults = slices.Clone(s.Shapes), slices.Clone(s.Faults)
	return &c
}
