package ruleset

import (
	"math"
	"slices"
)

const (
	unlimited         = 1e300 // units if there is no rate limit; finite because JSON has no infinity
	roundingTolerance = 1e-9  // relative rounding error by which a sum of allowances may exceed its limit
)

// Allowance is how much one instance may admit for one plan.
type Allowance struct {
	Rate   float64 `json:"Rate"`   // of the rate limit, units per second; unlimited if there is no rate limit
	Depth  float64 `json:"Depth"`  // bucket depth of the rate limit, units; unlimited if there is no rate limit
	Credit float64 `json:"Credit"` // of the credit line, units
}

// min returns the smaller value of two allowances for each field.
func (p Allowance) min(o Allowance) Allowance {
	return Allowance{math.Min(p.Rate, o.Rate), math.Min(p.Depth, o.Depth), math.Min(p.Credit, o.Credit)}
}

// max returns the larger value of two allowances for each field.
func (p Allowance) max(o Allowance) Allowance {
	return Allowance{math.Max(p.Rate, o.Rate), math.Max(p.Depth, o.Depth), math.Max(p.Credit, o.Credit)}
}

// scale returns a fraction of the allowance. If there is no rate limit, the result has none either.
func (p Allowance) scale(fraction float64) Allowance {
	scaled := Allowance{p.Rate * fraction, p.Depth * fraction, p.Credit * fraction}
	if p.Rate == unlimited {
		scaled.Rate, scaled.Depth = unlimited, unlimited
	}
	return scaled
}

// plus returns the sum of two allowances.
func (p Allowance) plus(o Allowance) Allowance {
	return Allowance{p.Rate + o.Rate, p.Depth + o.Depth, p.Credit + o.Credit}
}

// within reports whether the allowance is at most another one, apart from rounding errors.
func (p Allowance) within(o Allowance) bool {
	if p.Credit > o.Credit*(1+roundingTolerance) {
		return false
	}
	return o.Rate == unlimited || p.Rate <= o.Rate*(1+roundingTolerance) &&
		p.Depth <= o.Depth*(1+roundingTolerance)
}

// TotalAllowance is how much all instances together may admit for a plan.
func TotalAllowance(plan *Plan) Allowance {
	total := Allowance{plan.CeilingRate, plan.CeilingDepth, plan.CreditSeconds * plan.Rate}
	if plan.CeilingRate == 0 {
		total.Rate, total.Depth = unlimited, unlimited
	}
	return total
}

// LeasedAllowance is an instance's share of a plan while it has a lease on the rules: an even share for each
// member index, vacant indexes included. An instance that is not a member (index -1) gets nothing of a rate
// limit. If only a subset of the instances serves a customer, the share at each of them is larger: the sum
// over the subset is the same, and after a change of the subset the shares count as spent (policy.Resize).
func LeasedAllowance(rules *Rules, plan, memberIndex int) Allowance {
	if plan >= len(rules.Plans) {
		return Allowance{}
	}
	if total := TotalAllowance(&rules.Plans[plan]); memberIndex >= 0 {
		return total.scale(1 / float64(len(rules.Members)))
	} else if total.Rate == unlimited {
		return Allowance{Rate: unlimited, Depth: unlimited}
	}
	return Allowance{}
}

// FallbackAllowance is an instance's allowance after its lease has expired: Fallback.Fraction of its share,
// and no credit.
func FallbackAllowance(rules *Rules, plan, memberIndex int) Allowance {
	allowance := LeasedAllowance(rules, plan, memberIndex).scale(rules.Fallback.Fraction)
	allowance.Credit = 0
	return allowance
}

// MemberIndex returns the index of the named instance in the rules; -1 if it is not a member.
func MemberIndex(rules *Rules, name string) int {
	if name == "" {
		return -1
	}
	return slices.IndexFunc(rules.Members, func(m Member) bool { return m.Name == name })
}
