package ruleset

import (
	"math"
	"slices"
)

const (
	unlimited         = 1e300 // units of what has no ceiling: finite, so that a state can be written as JSON
	roundingTolerance = 1e-9  // of a figure, by which a sum of parts may pass it
)

// Part is what one gatekeeper may let through of one plan.
type Allowance struct {
	// of the ceiling, units a second and units; far beyond any use where there is none
	Rate float64 `json:"Rate"`
	// of the ceiling, units a second and units; far beyond any use where there is none
	Depth  float64 `json:"Depth"`
	Credit float64 `json:"Credit"` // units of the credit line
}

// least and most take the lesser, or greater, of two by each figure.
func (p Allowance) min(o Allowance) Allowance {
	return Allowance{math.Min(p.Rate, o.Rate), math.Min(p.Depth, o.Depth), math.Min(p.Credit, o.Credit)}
}

func (p Allowance) max(o Allowance) Allowance {
	return Allowance{math.Max(p.Rate, o.Rate), math.Max(p.Depth, o.Depth), math.Max(p.Credit, o.Credit)}
}

// of is a part of what there is; all of it where there is no ceiling.
func (p Allowance) scale(fraction float64) Allowance {
	scaled := Allowance{p.Rate * fraction, p.Depth * fraction, p.Credit * fraction}
	if p.Rate == unlimited {
		scaled.Rate, scaled.Depth = unlimited, unlimited
	}
	return scaled
}

func (p Allowance) plus(o Allowance) Allowance {
	return Allowance{p.Rate + o.Rate, p.Depth + o.Depth, p.Credit + o.Credit}
}

func (p Allowance) within(o Allowance) bool {
	if p.Credit > o.Credit*(1+roundingTolerance) {
		return false
	}
	return o.Rate == unlimited || p.Rate <= o.Rate*(1+roundingTolerance) &&
		p.Depth <= o.Depth*(1+roundingTolerance)
}

// Whole is what all gatekeepers together may let through of a plan.
func TotalAllowance(plan *Plan) Allowance {
	total := Allowance{plan.CeilingRate, plan.CeilingDepth, plan.CreditSeconds * plan.Rate}
	if plan.CeilingRate == 0 {
		total.Rate, total.Depth = unlimited, unlimited
	}
	return total
}

// Share is what a gatekeeper may let through by rules that are in force: one part of as many as there are
// places; nothing of a ceiling where it has no place. A customer whose set is smaller has a larger part at
// each of fewer: the sum over its set is the same, and where a set is dealt anew its parts count as spent
// (policy.Resize).
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

// Cut is what one that has lost touch may let through by its fallback: a part of its share, and no credit.
func FallbackAllowance(rules *Rules, plan, memberIndex int) Allowance {
	allowance := LeasedAllowance(rules, plan, memberIndex).scale(rules.Fallback.Fraction)
	allowance.Credit = 0
	return allowance
}

// Place is a gatekeeper's place by rules; -1 is none.
func MemberIndex(rules *Rules, name string) int {
	if name == "" {
		return -1
	}
	return slices.IndexFunc(rules.Members, func(m Member) bool { return m.Name == name })
}

// Stance is what each of some gatekeepers may let through, by plan: the same for all.
type AllowanceSet struct {
	Members    []Member    `json:"Members"`
	Allowances []Allowance `json:"Parts"`
	// Places are those of Members where some were left out; none: they are in their places. Rules that do not
	// need ManyMembers leave members out without a word of places, as programs before it do.
	Indexes []int `json:"Places,omitempty"`
}

// place is that of the member at i.
func (s *AllowanceSet) memberIndex(i int) int {
	if i < len(s.Indexes) {
		return s.Indexes[i]
	}
	return i
}

// normal and fallback are the stances that rules name.
func leasedAllowances(rules *Rules) AllowanceSet {
	set := AllowanceSet{Members: rules.Members}
	for i := range rules.Plans {
		set.Allowances = append(set.Allowances, LeasedAllowance(rules, i, 0))
	}
	return set
}

func fallbackAllowances(rules *Rules) AllowanceSet {
	set := AllowanceSet{Members: rules.Members}
	for i := range rules.Plans {
		set.Allowances = append(set.Allowances, FallbackAllowance(rules, i, 0))
	}
	return set
}

// narrowed is a stance held to the lesser of itself and what coming rules allow: nothing for those that the
// coming ones do not name.
func (s AllowanceSet) narrowed(pending *Rules) AllowanceSet {
	var result AllowanceSet
	remains := make(map[string]bool, len(pending.Members))
	for _, m := range pending.Members {
		remains[m.Name] = m.Name != ""
	}
	withIndexes := slices.Contains(pending.Needs, FeatureManyMembers)
	for i, m := range s.Members {
		if remains[m.Name] {
			if result.Members = append(result.Members, m); withIndexes {
				result.Indexes = append(result.Indexes, s.memberIndex(i))
			}
		}
	}
	for i, p := range s.Allowances {
		result.Allowances = append(result.Allowances, p.min(LeasedAllowance(pending, i, 0)))
	}
	return result
}

// Contradicts names the plan of which more than rules allow comes through where some go by them and others by
// any of the stances, in the worst mix: each gatekeeper, told by its name, by whichever gives it most. Empty
// where they never do. What is said of workers is not weighed: by it none passes a ceiling, and one that is
// cut off keeps the words that it has.
func ConflictingPlan(fallbacks []AllowanceSet, next *Rules) string {
	var allowed []Allowance
	for i := range next.Plans {
		allowed = append(allowed, TotalAllowance(&next.Plans[i]))
	}
	return overAllocatedPlan(append([]AllowanceSet{leasedAllowances(next)}, fallbacks...), allowed, next)
}

// Mixes names the plan of which more comes through than either of two rules allow, where some gatekeepers go
// by one and some by the other without having gone by the first before. Where a sum stays the same and places
// come or go it does; where ceilings change alone it does not.
func OvershootPlan(former, next *Rules) string {
	var allowed []Allowance
	for i := range next.Plans {
		total := TotalAllowance(&next.Plans[i])
		if i < len(former.Plans) {
			total = total.max(TotalAllowance(&former.Plans[i]))
		}
		allowed = append(allowed, total)
	}
	return overAllocatedPlan([]AllowanceSet{leasedAllowances(next), leasedAllowances(former)}, allowed, next)
}

// passes names the plan of which the worst mix of stances lets through more than is allowed.
func overAllocatedPlan(sets []AllowanceSet, allowed []Allowance, next *Rules) string {
	memberCount := 0
	for _, s := range sets {
		memberCount = max(memberCount, len(s.Members))
	}
	ordinals := make(map[string]int, memberCount) // in the order of their first mention
	var setsByMember [][]int32                    // which stances name it
	for i, s := range sets {
		for _, m := range s.Members {
			if m.Name == "" {
				continue
			}
			ordinal, exists := ordinals[m.Name]
			if !exists {
				ordinal = len(setsByMember)
				ordinals[m.Name] = ordinal
				setsByMember = append(setsByMember, nil)
			}
			setsByMember[ordinal] = append(setsByMember[ordinal], int32(i))
		}
	}
	for plan := range allowed {
		var sum Allowance
		for _, memberSets := range setsByMember {
			var worst Allowance
			for _, i := range memberSets {
				if plan < len(sets[i].Allowances) {
					worst = worst.max(sets[i].Allowances[plan])
				}
			}
			sum = sum.plus(worst)
		}
		if !sum.within(allowed[plan]) {
			return next.Plans[plan].Name
		}
	}
	return ""
}

// hosts are those whose daemons keep members, each once.
func memberHosts(members []Member) []string {
	var hosts []string
	seen := make(map[string]bool, len(members))
	for _, member := range members {
		if member.Name != "" && !seen[member.Host] {
			seen[member.Host] = true
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// union adds hosts to some, each once.
func unionHosts(hosts, added []string) []string {
	seen := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		seen[host] = true
	}
	for _, host := range added {
		if !seen[host] {
			seen[host] = true
			hosts = append(hosts, host)
		}
	}
	return hosts
}
