package ruleset

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Validate checks rules; the error names the key as the rules file has it. Its texts are part of the
// replicated state (Outcome.Rejection) and must not change.
func Validate(rules *Rules) error { return validate(rules, false) }

// ValidateSubset is Validate for a subset of rules, as VersionFromState gives it: members that it does not
// name are vacant, and there may be none.
func ValidateSubset(rules *Rules) error { return validate(rules, true) }

// validate checks rules in a fixed order, as the first error is what a proposal is rejected with.
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

// validateTimes checks lease and fallback, and that the lease keeps the bound on conflicts.
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

// validateCounts checks how many plans, members and overrides there are.
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

// validatePlan checks one plan, and that none of the names before it is its own; it adds its name to these.
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

// ValidateSuccessor checks that rules may follow others. A member keeps its index for life, as what it has
// spent and what peers know of it are recorded under it; and so does a plan. A plan gets no rate limit that
// it did not have, as a gatekeeper on its fallback would go without: it has a high one from the start.
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

// validateMemberIndexes checks that no member has another index than it has in a former set.
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

// checkRange checks one number of a key.
func checkRange(key string, value, low, high float64) error {
	if !(value >= low && value <= high) { // false for NaN as well
		return fmt.Errorf("%s: %v is not from %v to %v", key, value, low, high)
	}
	return nil
}

// validName tells whether a name is neither empty nor too long.
func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// checkName checks the length of one name of a key.
func checkName(key, value string) error {
	if !validName(value) {
		return fmt.Errorf("%s: a name has 1 to %d bytes, not %d", key, maxNameBytes, len(value))
	}
	return nil
}

// firstError is the first error that is not nil.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}
