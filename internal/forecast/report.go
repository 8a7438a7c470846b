package forecast

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	"willowdeck/internal/policy"
)

// Limits of a report and of collections of reports.
const (
	FormatVersion       = 1       // of the encoded report; reports of other versions are rejected
	MaxReportBytes      = 1 << 18 // 40 plans x 20 products and 64 sets take about 100,000
	MaxHostReportsBytes = 1 << 25 // of all reports that one host sends another; 300 usual ones take 3 million
	MaxRegions          = 32      // regions that are told apart
	maxProducts         = 32
	maxPlans            = 64
	maxGateways         = 10000 // gateways of a group: as many as a ruleset may name
	maxNameBytes        = 128   // bytes of each name
	maxValue            = 1e12  // of any measurement
	MaxClockSkewMillis  = 2000  // ms by which a reporter's clock may be ahead of the receiver's
)

// Flow holds the rates of one plan's requests for one product by outcome, per second.
type Flow struct {
	Requested float64 `json:"Asked"`
	Units     float64 `json:"Units"` // units of all requests, whatever their outcome
	Succeeded float64 `json:"Settled"`
	Late      float64 `json:"Late"` // the part of Succeeded that was answered after the latency target
	Rejected  float64 `json:"Declined"`
	Failed    float64 `json:"Voided"`
	Other     float64 `json:"Other"` // the client disconnected, or a clearance expired
}

// Region describes the workers of a region as one gateway sees them.
type Region struct {
	Name        string  `json:"Name"`
	Workers     int     `json:"Workers"` // active workers on its endpoint list
	WarmWorkers float64 `json:"Able"`    // capacity, in fully warmed-up workers
	InFlight    int     `json:"InHand"`  // this gateway's attempts
	// CPUUse is the fraction of the cores in use by the workers' load reports; negative if there are none.
	CPUUse  float64   `json:"Busy"`
	Answers []Answers `json:"Answers"`
}

// Answers summarizes the answers of a region's workers to one product's attempts.
type Answers struct {
	PerSecond       float64 `json:"PerS"`
	MeanMillis      float64 `json:"Pace"`   // mean answer time
	DeviationMillis float64 `json:"Spread"` // standard deviation of the answer time
	WastedPerSecond float64 `json:"Wasted"` // attempts that ran or may have run with no use
}

// Credit is, in units, how much a plan's customers may still borrow at this gateway without asking its peers,
// and how much they have borrowed at it and not repaid.
type Credit struct {
	Available float64 `json:"Rights"`
	Borrowed  float64 `json:"Open"`
}

// Report describes one gateway, its traffic and the workers that it sees.
type Report struct {
	FormatVersion int    `json:"Form"`
	Name          string `json:"Name"`
	Host          string `json:"Host"` // name of its supervisor's host
	Region        string `json:"Hall"` // the gateway's region
	// Group identifies the gateways that share quotas, by a digest of their addresses.
	Group            string          `json:"Group"`
	Index            int             `json:"Number"`  // in the group
	Incarnation      uint32          `json:"Life"`    // increases with each start of the process
	Sequence         uint64          `json:"Seq"`     // number of this report in the incarnation
	RulesetVersion   uint64          `json:"Version"` // version in force; 0 if there is none
	MeasuredAtMillis int64           `json:"At"`      // Unix ms by the gateway's clock
	SpanMillis       float64         `json:"Span"`    // time over which rates are measured
	Settings         policy.Settings `json:"Charter"` // without the gateway's own index

	Products  []string                    `json:"Products"`
	Plans     []string                    `json:"Plans"`
	Flows     []Flow                      `json:"Flows"`     // by plan, then by product
	Customers []policy.PlanSnapshot       `json:"Customers"` // by plan
	Sets      []policy.GatewaySetSnapshot `json:"Sets"`
	// OtherDemand is the demand of customers whose sets are not in Sets.
	OtherDemand         float64                     `json:"Others"`
	Regions             []Region                    `json:"Halls"`
	Credit              []Credit                    `json:"Credit"` // by plan; empty if there is no credit
	Window              float64                     `json:"Window"` // congestion window
	Pressure            float64                     `json:"Press"`  // smoothed response time / latency target
	InFlight            int                         `json:"InHand"`
	SilentPeers         int                         `json:"Silent"` // peers with an overdue report, not yet lost
	LostPeers           int                         `json:"Gone"`
	RejectionsPerSecond [policy.ReasonCount]float64 `json:"Reasons"` // by rejection reason
}

// AppendReport appends the encoded report to b. It returns an error for a report over MaxReportBytes.
func AppendReport(b []byte, w *Report) ([]byte, error) {
	text, err := json.Marshal(w)
	if err != nil {
		return b, err
	}
	if len(text) > MaxReportBytes {
		return b, fmt.Errorf("report: %d bytes, over %d", len(text), MaxReportBytes)
	}
	return append(b, text...), nil
}

// ErrFormatVersion is returned for a report in another format version.
var ErrFormatVersion = errors.New("said by another version of the program")

// DecodeReport decodes and validates a report. A validation error names the invalid key.
func DecodeReport(raw []byte) (*Report, error) {
	if len(raw) > MaxReportBytes {
		return nil, fmt.Errorf("report: %d bytes, over %d", len(raw), MaxReportBytes)
	}
	var header struct {
		Form int `json:"Form"`
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if header.Form != FormatVersion {
		return nil, fmt.Errorf("form: %d, not %d: %w", header.Form, FormatVersion, ErrFormatVersion)
	}
	w := &Report{}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(w); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return w, w.Validate()
}

// Validate returns an error that names the first key of the report whose value is invalid.
func (r *Report) Validate() error {
	c := &r.Settings
	np, nq := len(c.Products), len(c.Plans)
	switch {
	case r.FormatVersion != FormatVersion:
		return fmt.Errorf("form: %d, not %d", r.FormatVersion, FormatVersion)
	case r.Name == "" || r.Region == "" || r.Group == "":
		return errors.New("name, hall, group: one is empty")
	case len(r.Name) > maxNameBytes || len(r.Host) > maxNameBytes || len(r.Region) > maxNameBytes ||
		len(r.Group) > maxNameBytes:
		return fmt.Errorf("name, host, hall, group: one is over %d bytes", maxNameBytes)
	case strings.ContainsAny(r.Name+r.Host+r.Region+r.Group, "\n\r\x00"):
		return errors.New("name, host, hall, group: one has a control character")
	case c.GatewayCount < 1 || c.GatewayCount > maxGateways || r.Index < 0 || r.Index >= c.GatewayCount:
		return fmt.Errorf("number: %d of %d gatekeepers", r.Index, c.GatewayCount)
	case np < 1 || np > maxProducts || nq < 1 || nq > maxPlans:
		return fmt.Errorf("charter: %d products and %d plans", np, nq)
	case len(r.Products) != np || len(r.Plans) != nq:
		return fmt.Errorf("products, plans: %d and %d names for %d and %d", len(r.Products), len(r.Plans), np, nq)
	case len(r.Flows) != np*nq:
		return fmt.Errorf("flows: %d for %d products x %d plans", len(r.Flows), np, nq)
	case len(r.Customers) != nq:
		return fmt.Errorf("customers: %d for %d plans", len(r.Customers), nq)
	case len(r.Sets) > policy.MaxSnapshotSets:
		return fmt.Errorf("sets: %d, over %d", len(r.Sets), policy.MaxSnapshotSets)
	case len(r.Regions) > MaxRegions:
		return fmt.Errorf("halls: %d, over %d", len(r.Regions), MaxRegions)
	case len(r.Credit) != 0 && len(r.Credit) != nq:
		return fmt.Errorf("credit: %d for %d plans", len(r.Credit), nq)
	case r.MeasuredAtMillis <= 0:
		return fmt.Errorf("at: %d", r.MeasuredAtMillis)
	case r.InFlight < 0 || r.SilentPeers < 0 || r.LostPeers < 0:
		return errors.New("in hand, silent, gone: one is negative")
	}
	return r.validateValues()
}

// valueCheck keeps the error of the first invalid value.
type valueCheck struct{ err error }

// check records an error if v is negative, not a number or too large. The error names the key, formatted with
// the arguments at.
func (c *valueCheck) check(v float64, key string, at ...any) {
	if c.err == nil && (!(v >= 0) || v > maxValue) {
		c.err = fmt.Errorf("%s: %v is negative, not a number or too large", fmt.Sprintf(key, at...), v)
	}
}

// validateValues validates the measurements and the settings' quantities.
func (r *Report) validateValues() error {
	c := &valueCheck{}
	r.checkMeasurements(c)
	r.checkSettings(c)
	return c.err
}

func (r *Report) checkMeasurements(c *valueCheck) {
	c.check(r.SpanMillis, "span")
	c.check(r.Window, "window")
	c.check(r.Pressure, "press")
	c.check(r.OtherDemand, "others")
	for i, rate := range r.RejectionsPerSecond {
		c.check(rate, "reasons[%d]", i)
	}
	for i := range r.Flows {
		f := &r.Flows[i]
		for _, v := range []float64{f.Requested, f.Units, f.Succeeded, f.Late, f.Rejected, f.Failed, f.Other} {
			c.check(v, "flows[%d]", i)
		}
	}
	for i := range r.Customers {
		p := &r.Customers[i]
		c.check(p.Customers, "customers[%d].customers", i)
		c.check(p.DemandPerSecond, "customers[%d].demand", i)
		for _, v := range p.DemandByUtilization {
			c.check(v, "customers[%d].use", i)
		}
	}
	for i, s := range r.Sets {
		c.check(s.DemandPerSecond, "sets[%d].demand", i)
		if c.err == nil && (s.Plan < 0 || s.Plan >= len(r.Plans) || s.Size < 1 ||
			s.Size > r.Settings.GatewayCount ||
			s.FirstGateway < 0 || s.FirstGateway >= r.Settings.GatewayCount) {
			c.err = fmt.Errorf("sets[%d]: plan %d, %d gatekeepers from %d on", i, s.Plan, s.Size, s.FirstGateway)
		}
	}
	for i, h := range r.Regions {
		c.check(h.WarmWorkers, "halls[%d].able", i)
		if c.err == nil && (h.Name == "" || len(h.Name) > maxNameBytes || h.Workers < 0 || h.InFlight < 0 ||
			len(h.Answers) != len(r.Products) || !(h.CPUUse <= 1)) {
			c.err = fmt.Errorf("halls[%d]: no name, a negative count, or not an answer for each product", i)
		}
		for k, a := range h.Answers {
			for _, v := range []float64{a.PerSecond, a.MeanMillis, a.DeviationMillis, a.WastedPerSecond} {
				c.check(v, "halls[%d].answers[%d]", i, k)
			}
		}
	}
	for i, credit := range r.Credit {
		c.check(credit.Available, "credit[%d].rights", i)
		c.check(credit.Borrowed, "credit[%d].open", i)
	}
}

func (r *Report) checkSettings(c *valueCheck) {
	for i, p := range r.Settings.Products {
		for _, v := range []float64{p.LatencyTargetMillis, p.Value, p.LateValueFraction, p.DedupWindowMillis} {
			c.check(v, "charter.products[%d]", i)
		}
	}
	for i, p := range r.Settings.Plans {
		for _, v := range []float64{p.QuotaPerSecond, p.QuotaBurst, p.RateLimitPerSecond, p.RateLimitBurst,
			p.ValueFactor, p.ExcessValueFraction,
			p.ExcessCostFraction, p.CreditSeconds, p.RepayWithinMillis, p.WithheldFraction} {
			c.check(v, "charter.plans[%d]", i)
		}
		if p.MaxInFlight < 0 {
			c.check(-1, "charter.plans[%d].open", i)
		}
	}
	for _, v := range []float64{r.Settings.MaxRequestUnits, r.Settings.PeerMessagesPerSecond,
		r.Settings.WarmingCapacityFraction,
		r.Settings.WarmUpMillis, r.Settings.OverloadFactor, r.Settings.OverloadMillis, r.Settings.TotalWeight,
		r.Settings.WorstPlanWeight,
		r.Settings.MaxRetryAfterMillis} {
		c.check(v, "charter")
	}
}

// Newer reports whether a report is newer than another of the same gateway. Incarnations wrap around and are
// compared as serial numbers.
func (r *Report) Newer(o *Report) bool {
	if r.Incarnation != o.Incarnation {
		return int32(r.Incarnation-o.Incarnation) > 0
	}
	return r.Sequence > o.Sequence
}

// toSignificantDigits rounds to four significant digits, so that a result does not look more precise than the
// measurements. Values below 1e-6 and values that are not finite become 0.
func toSignificantDigits(v float64) float64 {
	if math.Abs(v) < 1e-6 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	p := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*p) / p
}
