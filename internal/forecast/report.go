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

// Bounds of a report and of what is gathered from many.
const (
	FormatVersion       = 1       // of a report; one of another version is rejected
	MaxReportBytes      = 1 << 18 // 40 plans x 20 products and 64 sets take some 100,000
	MaxHostReportsBytes = 1 << 25 // of what one host sends another; 300 usual reports take 3 million
	MaxRegions          = 32      // that are distinguished
	maxProducts         = 32
	maxPlans            = 64
	maxGateways         = 10000 // of a group: as many as a ruleset may name
	maxNameBytes        = 128   // bytes
	maxValue            = 1e12  // of any measurement
	MaxClockSkewMillis  = 2000  // by which a report's clock may be ahead of its receiver's
)

// Flow is what became of the requests of one plan and product, per second.
type Flow struct {
	// Units are those requested, whatever became of the request.
	Requested float64 `json:"Asked"`
	Units     float64 `json:"Units"`
	// Late is the part of Succeeded that came after the latency target.
	Succeeded float64 `json:"Settled"`
	Late      float64 `json:"Late"`
	// Other: the client disconnected, or a clearance expired.
	Rejected float64 `json:"Declined"`
	Failed   float64 `json:"Voided"`
	Other    float64 `json:"Other"`
}

// Region is what one gateway sees of the workers of a region.
type Region struct {
	Name        string  `json:"Name"`
	Workers     int     `json:"Workers"` // on its list, and active
	WarmWorkers float64 `json:"Able"`    // capacity, in workers that have warmed up
	InFlight    int     `json:"InHand"`  // its own attempts
	// Part of the cores in use, by workers' own reports; negative where there are none.
	CPUUse  float64   `json:"Busy"`
	Answers []Answers `json:"Answers"`
}

// Answers summarizes the answers of a region's workers to one product's attempts.
type Answers struct {
	PerSecond       float64 `json:"PerS"`
	MeanMillis      float64 `json:"Pace"`   // of an answer
	DeviationMillis float64 `json:"Spread"` // standard deviation of that
	WastedPerSecond float64 `json:"Wasted"` // that ran or may have run without use
}

// Credit is, in units, what a plan's customers may still borrow at this gateway without asking others, and
// have borrowed at it.
type Credit struct {
	Available float64 `json:"Rights"`
	Borrowed  float64 `json:"Open"`
}

// Report is what one gateway reports of itself and of what it sees.
type Report struct {
	FormatVersion int    `json:"Form"`
	Name          string `json:"Name"`
	Host          string `json:"Host"` // of its supervisor
	Region        string `json:"Hall"` // where it runs
	// Of gateways that share quotas: a digest of their addresses.
	Group            string          `json:"Group"`
	Index            int             `json:"Number"`  // in the group
	Incarnation      uint32          `json:"Life"`    // grows with each start of the process
	Sequence         uint64          `json:"Seq"`     // of this report in the incarnation
	RulesetVersion   uint64          `json:"Version"` // in force; 0 where none is
	MeasuredAtMillis int64           `json:"At"`      // Unix ms by the gateway's clock
	SpanMillis       float64         `json:"Span"`
	Settings         policy.Settings `json:"Charter"` // without the gateway's own index

	Products  []string                    `json:"Products"`
	Plans     []string                    `json:"Plans"`
	Flows     []Flow                      `json:"Flows"` // by plan, and by product within
	Customers []policy.PlanSnapshot       `json:"Customers"`
	Sets      []policy.GatewaySetSnapshot `json:"Sets"`
	// Demand of customers whose sets are not in Sets.
	OtherDemand         float64                     `json:"Others"`
	Regions             []Region                    `json:"Halls"`
	Credit              []Credit                    `json:"Credit"` // by plan; empty where there is no credit
	Window              float64                     `json:"Window"`
	Pressure            float64                     `json:"Press"`
	InFlight            int                         `json:"InHand"`
	SilentPeers         int                         `json:"Silent"`
	LostPeers           int                         `json:"Gone"`
	RejectionsPerSecond [policy.ReasonCount]float64 `json:"Reasons"` // by reason
}

// AppendReport appends the encoded report to b. A report over MaxReportBytes is an error.
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

// ErrFormatVersion is the error of a report in another format version.
var ErrFormatVersion = errors.New("said by another version of the program")

// DecodeReport decodes and validates a report. An error names the key at fault.
func DecodeReport(raw []byte) (*Report, error) {
	if len(raw) > MaxReportBytes {
		return nil, fmt.Errorf("report: %d bytes, over %d", len(raw), MaxReportBytes)
	}
	var form struct {
		Form int `json:"Form"`
	}
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if form.Form != FormatVersion {
		return nil, fmt.Errorf("form: %d, not %d: %w", form.Form, FormatVersion, ErrFormatVersion)
	}
	w := &Report{}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(w); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return w, w.Validate()
}

// Validate returns an error that names the first key of the report whose value makes no sense.
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

// valueCheck keeps the error of the first value that makes no sense.
type valueCheck struct{ err error }

// check checks a value, whose key is formatted with at.
func (c *valueCheck) check(v float64, key string, at ...any) {
	if c.err == nil && (!(v >= 0) || v > maxValue) {
		c.err = fmt.Errorf("%s: %v is negative, not a number or too large", fmt.Sprintf(key, at...), v)
	}
}

// validateValues validates the measurements and the charter's quantities.
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

// Newer reports whether a report is newer than another of the same gateway. Incarnations wrap around, as
// serial numbers.
func (r *Report) Newer(o *Report) bool {
	if r.Incarnation != o.Incarnation {
		return int32(r.Incarnation-o.Incarnation) > 0
	}
	return r.Sequence > o.Sequence
}

// toSignificantDigits rounds to four significant digits, so that a result is no finer than what it rests on.
func toSignificantDigits(v float64) float64 {
	if math.Abs(v) < 1e-6 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	p := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*p) / p
}
