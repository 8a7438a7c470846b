package ruleset

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// What the promise rests on, and what bounds the state. Times in ms.
const (
	// of a plan's fill that may have to go to debts, as internal/borrowing has it
	maxRepayFillFraction = 0.5
	SupportedFormat      = 1    // of the encoding that this program writes and reads
	maxClockDrift        = 2e-4 // by which a clock runs fast or slow; crystals keep 1e-4
	// from the last check to the write that it allows: a long pause of the host
	maxWriteDelayMillis        = 250.0
	DefaultConflictBoundMillis = 2000.0 // of Rules.Bound where none is named; the promise to the operators
	minLeaseMillis             = 100.0  // under it the asking alone would fill it
	// an hour: what contradicts the fallback of one cut off waits for so long
	maxFallbackMillis = 3.6e6
	// a plan's place is a small index with the instances, and is kept for life
	maxPlans                 = 256
	maxMembers               = 10000 // the 7,900 that are coming, and a quarter more for places left vacant
	maxMembersWithoutFeature = 500   // that programs knew before ManyMembers: what passes it has to need that
	// on a host: of 500, as a fleet's file may name, one and one in its place
	maxProcesses       = 1000
	maxWorkerOverrides = 4096 // a hall's worth of words by worker
	maxNameBytes       = 200  // bytes of a name
	maxSuperseded      = 8    // fallbacks that may be held beside each other, by those long cut off
	maxRecentOutcomes  = 128  // proposals whose outcome is kept for those that ask again
	// asks and reads in a lease: two in a row may be lost, and each costs a round
	renewalsPerLease       = 5
	defaultLeaseMillis     = 1000.0 // of one that has heard of none: its default
	resubmitIntervalMillis = 300.0  // until what was submitted and not seen to be taken is submitted again
)

// MostSeen is how many hosts one entry may name: some 40 bytes each, and half of the fleet that is coming.
const MaxAcksPerEntry = 4000

// ManyMembers is the feature that rules of more than 500 members need. A program without it would refuse them
// where others take them, and its council would be another for good; so it has to stop at them instead.
const FeatureManyMembers = "members"

// features are what this program can go by beyond the keys that it has always known.
var supportedFeatures = [...]string{FeatureManyMembers}

// Has tells whether this program has a feature that Rules.Needs may name.
func SupportsFeature(feature string) bool { return slices.Contains(supportedFeatures[:], feature) }

// bound is how long after the end of its time in force a version may be acted on, ms: a lease counted by a
// slow clock, and then one step, both as a fast clock counts them.
func conflictBoundMillis(leaseMillis float64) float64 {
	return (leaseMillis/(1-maxClockDrift) + maxWriteDelayMillis) * (1 + maxClockDrift)
}

// Bound is for how many ms at most two gatekeepers may go by rules that contradict each other, where these
// are the ones that end: from the moment at which others are in force until nobody acts on them any more.
func ConflictBoundMillis(rules *Rules) float64 { return conflictBoundMillis(rules.LeaseMillis) }

// lasts is how long after the end of its time in force a version's fallback may be gone by, ms.
func fallbackLifetimeMillis(rules *Rules) float64 {
	return conflictBoundMillis(rules.LeaseMillis + rules.Fallback.DurationMillis)
}

// every is how long it is between two asks, or two reads, ms.
func renewalIntervalMillis(leaseMillis float64) float64 {
	if leaseMillis == 0 {
		leaseMillis = defaultLeaseMillis
	}
	return leaseMillis / renewalsPerLease
}

// first is the first of some errors that there is.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// figure checks one number of a key.
func checkRange(key string, value, low, high float64) error {
	if !(value >= low && value <= high) { // false for what is no number
		return fmt.Errorf("%s: %v is not from %v to %v", key, value, low, high)
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func checkName(key, value string) error {
	if !validName(value) {
		return fmt.Errorf("%s: a name has 1 to %d bytes, not %d", key, maxNameBytes, len(value))
	}
	return nil
}

// Unknown names what rules ask for that this program does not know; empty where it knows all.
func UnsupportedFeature(rules *Rules) string {
	if rules.Format != SupportedFormat {
		return fmt.Sprintf("form %d", rules.Format)
	}
	for _, need := range rules.Needs {
		if !SupportsFeature(need) {
			return need
		}
	}
	return ""
}

// Check tells what is wrong with rules; the error names the key as their file has it.
func Validate(rules *Rules) error { return validate(rules, false) }

// CheckPart is Check for a part of rules, as FromState gives it: members that it does not name are vacant,
// and there may be none.
func ValidateSubset(rules *Rules) error { return validate(rules, true) }

func validate(rules *Rules, subset bool) error {
	if what := UnsupportedFeature(rules); what != "" {
		return fmt.Errorf("needs: %q is not known here", what)
	}
	promised := rules.ConflictBoundMillis
	err := firstError(checkRange("bound_ms", promised, conflictBoundMillis(minLeaseMillis), 60000),
		checkRange("lease_ms", rules.LeaseMillis, minLeaseMillis, 60000),
		checkRange("fallback.part", rules.Fallback.Fraction, 0, 1), checkRange("fallback.for_ms",
			rules.Fallback.DurationMillis, 0, maxFallbackMillis))
	if err != nil {
		return err
	}
	if boundMillis := ConflictBoundMillis(rules); boundMillis > promised {
		return fmt.Errorf("lease_ms: %v lets rules that contradict go on for %.0f ms, over bound_ms = %v",
			rules.LeaseMillis,
			math.Ceil(boundMillis), promised)
	}
	for _, limit := range []struct {
		key       string
		have, max int
	}{{"plans", len(rules.Plans), maxPlans}, {"members", len(rules.Members), maxMembers}, {"words",
		len(rules.WorkerOverrides),
		maxWorkerOverrides}} {
		if limit.have > limit.max {
			return fmt.Errorf("%s: %d are more than %d", limit.key, limit.have, limit.max)
		}
	}
	if limit := len(rules.Members); limit > maxMembersWithoutFeature && !slices.Contains(rules.Needs,
		FeatureManyMembers) {
		return fmt.Errorf("needs: %d members are more than %d, which needs %q", limit, maxMembersWithoutFeature,
			FeatureManyMembers)
	}
	plans := map[string]bool{}
	for _, plan := range rules.Plans {
		if err := checkName("plans.name", plan.Name); err != nil {
			return err
		}
		key := "plans." + plan.Name
		if plans[plan.Name] {
			return fmt.Errorf("%s: there are two", key)
		}
		plans[plan.Name] = true
		const most = 1e9
		if err := firstError(checkRange(key+".rate", plan.Rate, 0, most), checkRange(key+".burst", plan.Burst, 0,
			most),
			checkRange(key+".ceiling_rate", plan.CeilingRate, 0, most),
			checkRange(key+".ceiling_depth", plan.CeilingDepth, 0, most),
			checkRange(key+".credit_s", plan.CreditSeconds, 0, 86400), checkRange(key+".repay_s",
				plan.RepayMillis/1000, 0, 86400)); err != nil {
			return err
		}
		switch {
		case plan.CreditSeconds > 0 && !(plan.Rate > 0):
			return fmt.Errorf("%s.credit_s: there is no rate to pay it back from", key)
		case plan.CreditSeconds > 0 && !(plan.RepayMillis > 0):
			return fmt.Errorf("%s.repay_s: credit_s needs one", key)
		case plan.CreditSeconds > plan.RepayMillis/1000*maxRepayFillFraction:
			return fmt.Errorf("%s.repay_s: in %v a half of the fill pays %v back, and credit_s is %v", key,
				plan.RepayMillis/1000, plan.RepayMillis/1000*maxRepayFillFraction, plan.CreditSeconds)
		case (plan.CeilingRate > 0) != (plan.CeilingDepth > 0):
			return fmt.Errorf("%s.ceiling_rate: it and ceiling_depth need each other", key)
		}
	}
	return firstError(validateMembers(rules, subset), validateWorkerOverrides(rules))
}

func validateMembers(rules *Rules, subset bool) error {
	names, peers := make(map[string]bool, len(rules.Members)), make(map[string]bool, len(rules.Members))
	for i, member := range rules.Members {
		memberError := func(field, form string, args ...any) error { // made only where there is one
			return fmt.Errorf("members.%d.%s: %w", i, field, fmt.Errorf(form, args...))
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
		if target := [2]string{override.Worker, override.Region}; seen[target] {
			return fmt.Errorf("%s.worker: there are two words on %s%s", key, override.Worker, override.Region)
		} else {
			seen[target] = true
		}
	}
	return nil
}

// Follows tells what keeps rules from following others. A member keeps its place for life, as what it has
// spent and what peers know of it go by its place; and so does a plan. A plan gets no ceiling that it did not
// have, as one that is cut off would go without for good: it has a high one from the start.
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

// keep tells which member of rules has another place among former ones.
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
