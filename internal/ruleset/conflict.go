package ruleset

// ConflictingPlan names the plan of which more than the rules allow passes where some gatekeepers act on
// them and others on any of the fallbacks, in the worst mix: each gatekeeper, identified by its name, by
// whichever allows it most. It is empty where that can't happen. Worker overrides do not count: none of them
// raises an allowance, and a gatekeeper on its fallback keeps those that it has.
func ConflictingPlan(fallbacks []AllowanceSet, next *Rules) string {
	var allowed []Allowance
	for i := range next.Plans {
		allowed = append(allowed, TotalAllowance(&next.Plans[i]))
	}
	return overAllocatedPlan(append([]AllowanceSet{leasedAllowances(next)}, fallbacks...), allowed, next)
}

// OvershootPlan names the plan of which more passes than either of two rules allow, where some gatekeepers
// act on one and some on the other without having acted on the first before. That happens where the sum
// stays the same and members come or go, and not where limits alone change.
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

// overAllocatedPlan names the plan of which the worst mix of the sets lets through more than is allowed;
// empty if none.
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
