package ruleset

// ConflictingPlan returns the first plan of the next rules whose limits may be exceeded while some instances
// act on these rules and others on one of the fallbacks. It assumes the worst case: each instance, identified
// by its name, acts on whichever allows it the most. The result is empty if no limit can be exceeded. Worker
// overrides are left out: none of them raises an allowance, and an instance on its fallback keeps the
// overrides that it has.
func ConflictingPlan(fallbacks []AllowanceSet, next *Rules) string {
	var allowed []Allowance
	for i := range next.Plans {
		allowed = append(allowed, TotalAllowance(&next.Plans[i]))
	}
	return overAllocatedPlan(append([]AllowanceSet{leasedAllowances(next)}, fallbacks...), allowed, next)
}

// OvershootPlan returns the first plan for which more may be admitted than either the former or the next
// rules allow, while some instances have leases on the former rules and others on the next. It is empty if
// there is none. That can happen if members are added or removed and the total stays the same. It cannot
// happen if only the limits change.
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

// overAllocatedPlan returns the first plan for which more than allowed is admitted if each member has the
// largest allowance that any of the sets gives it; empty if there is none.
func overAllocatedPlan(sets []AllowanceSet, allowed []Allowance, next *Rules) string {
	memberCount := 0
	for _, s := range sets {
		memberCount = max(memberCount, len(s.Members))
	}
	ordinals := make(map[string]int, memberCount) // by member name, in the order in which the sets name them
	var setsByMember [][]int32                    // by ordinal: the sets that name the member
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
