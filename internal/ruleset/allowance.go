package ruleset

import (
	"math"
	"slices"
)

const (
	unlimited         = 1e300 // units where there is no rate limit: finite, so that it can be written as JSON
	roundingTolerance = 1e-9  // relative error by which a sum of allowances may exceed its limit
)

// Allowance is what one gatekeeper may let through of one plan.
type Allowance struct {
	Rate   float64 `json:"Rate"`   // of the rate limit, units a second; unlimited where there is none
	Depth  float64 `json:"Depth"`  // of the rate limit, units; unlimited where there is none
	Credit float64 `json:"Credit"` // of the credit line, units
}

// min takes the lesser of two allowances, figure by figure.
func (p Allowance) min(o Allowance) Allowance {
	return Allowance{math.Min(p.Rate, o.Rate), math.Min(p.Depth, o.Depth), math.Min(p.Credit, o.Credit)}
}

// max takes the greater of two allowances, figure by figure.
func (p Allowance) max(o Allowance) Allowance {
	return Allowance{math.Max(p.Rate, o.Rate), math.Max(p.Depth, o.Depth), math.Max(p.Credit, o.Credit)}
}

// scale is a fraction of the allowance; no rate limit stays none.
func (p Allowance) scale(fraction float64) Allowance {
	scaled := Allowance{p.Rate * fraction, p.Depth * fraction, p.Credit * fraction}
	if p.Rate == unlimited {
		scaled.Rate, scaled.Depth = unlimited, unlimited
	}
	return scaled
}

// plus is the sum of two allowances.
func (p Allowance) plus(o Allowance) Allowance {
	return Allowance{p.Rate + o.Rate, p.Depth + o.Depth, p.Credit + o.Credit}
}

// within tells whether the allowance is no larger than another one, but for rounding.
func (p Allowance) within(o Allowance) bool {
	if p.Credit > o.Credit*(1+roundingTolerance) {
		return false
	}
	return o.Rate == unlimited || p.Rate <= o.Rate*(1+roundingTolerance) &&
		p.Depth <= o.Depth*(1+roundingTolerance)
}

// TotalAllowance is what all gatekeepers together may let through of a plan.
func TotalAllowance(plan *Plan) Allowance {
	total := Allowance{plan.CeilingRate, plan.CeilingDepth, plan.CreditSeconds * plan.Rate}
	if plan.CeilingRate == 0 {
		total.Rate, total.Depth = unlimited, unlimited
	}
	return total
}

// LeasedAllowance is a gatekeeper's share of a plan under rules that are in force: one of as many as there
// are member indexes, and nothing of a rate limit for one that is no member (index -1). A customer whose
// subset of gatekeepers is smaller has a larger part at each of them: the sum over the subset is the same,
// and where a subset changes its parts count as spent (policy.Resize).
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

// FallbackAllowance is a gatekeeper's allowance after its lease has expired: Fallback.Fraction of its share,
// and no credit.
func FallbackAllowance(rules *Rules, plan, memberIndex int) Allowance {
	allowance := LeasedAllowance(rules, plan, memberIndex).scale(rules.Fallback.Fraction)
	allowance.Credit = 0
	return allowance
}

// MemberIndex is a gatekeeper's index in the rules; -1 if it is not a member.
func MemberIndex(rules *Rules, name string) int {
	if name == "" {
		return -1
	}
	return slices.IndexFunc(rules.Members, func(m Member) bool { return m.Name == name })
}
