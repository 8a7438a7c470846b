package capacity

import (
	"cmp"
	"slices"
)

// RankByUtilization returns the demands that have a limit and stand for themselves, the highest utilization
// first: permanent ones and those of events alike.
func RankByUtilization(demands []Demand) []Demand {
	var ranked []Demand
	for _, d := range demands {
		if d.Limit != nil && d.Available() && d.Condition == "" && d.Replaces == "" && d.PartOf == "" {
			ranked = append(ranked, d)
		}
	}
	slices.SortStableFunc(ranked, func(a, b Demand) int { return cmp.Compare(b.Utilization, a.Utilization) })
	return ranked
}

// ReplacementOf returns the demand that replaces the named one, or nil where it was not measured.
func ReplacementOf(demands []Demand, name string) *Demand {
	for i := range demands {
		if demands[i].Replaces == name && demands[i].Available() {
			return &demands[i]
		}
	}
	return nil
}

// ExceededBounds returns the refusals whose bound is below the planned size, the furthest exceeded first.
func ExceededBounds(refusals []Refusal) []Refusal {
	var exceeded []Refusal
	for _, r := range refusals {
		if r.Max < r.Planned {
			exceeded = append(exceeded, r)
		}
	}
	slices.SortStableFunc(exceeded, func(a, b Refusal) int {
		return cmp.Compare(b.Planned/b.Max,
			a.Planned/a.Max)
	})
	return exceeded
}
