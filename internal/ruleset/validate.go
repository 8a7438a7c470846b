package ruleset

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Validate checks rules; an error begins with the key of the rules file. The texts of errors are part of the
// replicated state (Outcome.Rejection) and must not change.
func Validate(rules *Rules) error { return validate(rules, false) }

// ValidateSubset is Validate for a subset of rules, as VersionFromState returns it. The indexes of members
// outside the subset are vacant, and the subset may have no members.
func ValidateSubset(rules *Rules) error { return validate(rules, true) }

// validate checks rules in a fixed order: the first error becomes the Rejection of a proposal, which has to
// be the same on all replicas.
func validate(rules *Rules, subset bool) error {
	if feature := UnsupportedFeature(rules); feature != "" {
		return fmt.Errorf("needs: %q is not known here", feature)
	}
	if err := validateTimes(rules); err != nil {
		return err
	}
	if err := validateCounts(rules); err != nil {
		return err
	}
	names := map[string]bool{}
	for i := range rules.Plans {
		if err := validatePlan(&rules.Plans[i], names); err != nil {
			return err
		}
	}
	return firstError(validateMembers(rules, subset), validateWorkerOverrides(rules))
}

// validateTimes checks the lease and the fallback, and that the lease stays within the bound on conflicts.
func validateTimes(rules *Rules) error {
	promisedMillis := rules.ConflictBoundMillis
	err := firstError(
		checkRange("bound_ms", promisedMillis, conflictBoundMillis(minLeaseMillis), maxRuleTimeMillis),
		checkRange("lease_ms", rules.LeaseMillis, minLeaseMillis, maxRuleTimeMillis),
		checkRange("fallback.part", rules.Fallback.Fraction, 0, 1),
		checkRange("fallback.for_ms", rules.Fallback.DurationMillis, 0, maxFallbackMillis))
	if err != nil {
		return err
	}
	if boundMillis := ConflictBoundMillis(rules); boundMillis > promisedMillis {
		return fmt.Errorf("lease_ms: %v lets rules that contradict go on for %.0f ms, over bound_ms = %v",
			rules.LeaseMillis, math.Ceil(boundMillis), promisedMillis)
	}
	return nil
}

// validateCounts checks the numbers of plans, members and overrides.
func validateCounts(rules *Rules) error {
	for _, limit := range []struct {
		key       string
		have, max int
	}{
		{"plans", len(rules.Plans), maxPlans},
		{"members", len(rules.Members), maxMembers},
		{"words", len(rules.WorkerOverrides), maxWorkerOverrides},
	} {
		if limit.have > limit.max {
			return fmt.Errorf("%s: %d are more than %d", limit.key, limit.have, limit.max)
		}
	}
	count := len(rules.Members)
	if count > maxMembersWithoutFeature && !slices.Contains(rules.Needs, FeatureManyMembers) {
		return fmt.Errorf("needs: %d members are more than %d, which needs %q", count, maxMembersWithoutFeature,
			FeatureManyMembers)
	}
	return nil
}

// validatePlan checks one plan, and that its name is not among the names of earlier plans, to which it adds
// the name.
func validatePlan(plan *Plan, names map[string]bool) error {
	if err := checkName("plans.name", plan.Name); err != nil {
		return err
	}
	key := "plans." + plan.Name
	if names[plan.Name] {
		return fmt.Errorf("%s: there are two", key)
	}
	names[plan.Name] = true
	repaySeconds := plan.RepayMillis / millisPerSecond
	if err := firstError(
		checkRange(key+".rate", plan.Rate, 0, maxUnits),
		checkRange(key+".burst", plan.Burst, 0, maxUnits),
		checkRange(key+".ceiling_rate", plan.CeilingRate, 0, maxUnits),
		checkRange(key+".ceiling_depth", plan.CeilingDepth, 0, maxUnits),
		checkRange(key+".credit_s", plan.CreditSeconds, 0, maxCreditSeconds),
		checkRange(key+".repay_s", repaySeconds, 0, maxCreditSeconds)); err != nil {
		return err
	}
	switch {
	case plan.CreditSeconds > 0 && !(plan.Rate > 0):
		return fmt.Errorf("%s.credit_s: there is no rate to pay it back from", key)
	case plan.CreditSeconds > 0 && !(plan.RepayMillis > 0):
		return fmt.Errorf("%s.repay_s: credit_s needs one", key)
	case plan.CreditSeconds > repaySeconds*maxRepayFillFraction:
		return fmt.Errorf("%s.repay_s: in %v a half of the fill pays %v back, and credit_s is %v", key,
			repaySeconds, repaySeconds*maxRepayFillFraction, plan.CreditSeconds)
	case (plan.CeilingRate > 0) != (plan.CeilingDepth > 0):
		return fmt.Errorf("%s.ceiling_rate: it and ceiling_depth need each other", key)
	}
	return nil
}

// validateMembers checks names, hosts, addresses and their uniqueness.
func validateMembers(rules *Rules, subset bool) error {
	names, peers := make(map[string]bool, len(rules.Members)), make(map[string]bool, len(rules.Members))
	for i, member := range rules.Members {
		memberError := func(field, format string, args ...any) error {
			return fmt.Errorf("members.%d.%s: %w", i, field, fmt.Errorf(format, args...))
		}
		if member.Name == "" {
			if member != (Member{}) {
				return memberError("name", "there is none, and the place is not vacant")
			}
			continue
		}
		switch {
		case !validName(member.Name):
			return checkName(fmt.Sprintf("members.%d.name", i), member.Name)
		case !validName(member.Host):
			return checkName(fmt.Sprintf("members.%d.host", i), member.Host)
		case len(member.Peers) > maxNameBytes:
			return memberError("peers", "%d bytes are too many", len(member.Peers))
		case names[member.Name]:
			return memberError("name", "%s has another place already", member.Name)
		case member.Peers != "" && peers[member.Peers]:
			return memberError("peers", "%s is another's already", member.Peers)
		}
		names[member.Name], peers[member.Peers] = true, true
	}
	if subset {
		return nil
	}
	if len(names) == 0 {
		return errors.New("members: there are none")
	}
	if rules.Members[len(rules.Members)-1].Name == "" {
		return fmt.Errorf("members.%d.name: the last place may not be vacant", len(rules.Members)-1)
	}
	return nil
}

// validateWorkerOverrides checks the overrides' targets and weights.
func validateWorkerOverrides(rules *Rules) error {
	seen := map[[2]string]bool{}
	for i, override := range rules.WorkerOverrides {
		key := fmt.Sprintf("words.%d", i)
		if override.Worker == "" && override.Region == "" {
			return fmt.Errorf("%s.worker: there is neither worker nor hall", key)
		}
		if len(override.Worker) > maxNameBytes || len(override.Region) > maxNameBytes {
			return fmt.Errorf("%s.worker: a name has up to %d bytes", key, maxNameBytes)
		}
		if err := checkRange(key+".weight", override.Weight, 0, 1e6); err != nil {
			return err
		}
		target := [2]string{override.Worker, override.Region}
		if seen[target] {
			return fmt.Errorf("%s.worker: there are two words on %s%s", key, override.Worker, override.Region)
		}
		seen[target] = true
	}
	return nil
}

// ValidateSuccessor checks that the next rules may follow the former rules. A member keeps its index
// permanently, as its spending and its peers' records of it are stored under the index. A plan keeps its
// index too. A plan without a rate limit may not get one later, as an instance on its fallback would not
// apply it; a plan that may need one must have a high rate limit from the start.
func ValidateSuccessor(next, former *Rules) error {
	for i, plan := range former.Plans {
		switch {
		case i >= len(next.Plans) || next.Plans[i].Name != plan.Name:
			return fmt.Errorf("plans.%s: it is in force as number %d, and has to stay there", plan.Name, i)
		case plan.CeilingRate == 0 && next.Plans[i].CeilingRate > 0:
			return fmt.Errorf("plans.%s.ceiling_rate: it had none, and those cut off would go without", plan.Name)
		}
	}
	return validateMemberIndexes(next, AllowanceSet{Members: former.Members})
}

// validateMemberIndexes checks that no member's index differs from its index in a former set.
func validateMemberIndexes(next *Rules, former AllowanceSet) error {
	indexes := make(map[string]int, len(former.Members))
	for j, member := range former.Members {
		if member.Name != "" {
			indexes[member.Name] = former.memberIndex(j)
		}
	}
	for i, member := range next.Members {
		if j, known := indexes[member.Name]; known && i != j {
			return fmt.Errorf("members.%d.name: %s has place %d", i, member.Name, j)
		}
	}
	return nil
}

// checkRange checks that the value of a key is within a range.
func checkRange(key string, value, low, high float64) error {
	if !(value >= low && value <= high) { // false for NaN as well
		return fmt.Errorf("%s: %v is not from %v to %v", key, value, low, high)
	}
	return nil
}

// validName reports whether a name is neither empty nor too long.
func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// checkName checks the length of a name that is the value of a key.
func checkName(key, value string) error {
	if !validName(value) {
		return fmt.Errorf("%s: a name has 1 to %d bytes, not %d", key, maxNameBytes, len(value))
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}
