package ruleset

import "slices"

// AllowanceSet is a set of members and the allowance that each of them has, by plan; all have the same.
type AllowanceSet struct {
	Members    []Member    `json:"Members"`
	Allowances []Allowance `json:"Parts"` // by plan
	// Indexes are the indexes that Members have in their rules, if some members were left out. It is empty if
	// the position in Members is the index. It is also empty if members were left out because of pending rules
	// that do not need FeatureManyMembers: programs from before that feature do not record the indexes, and the
	// replicated state has to be the same as theirs.
	Indexes []int `json:"Places,omitempty"`
}

// memberIndex returns the index that Members[i] has in its rules.
func (s *AllowanceSet) memberIndex(i int) int {
	if i < len(s.Indexes) {
		return s.Indexes[i]
	}
	return i
}

// leasedAllowances returns the allowances of all members while they have leases on the rules.
func leasedAllowances(rules *Rules) AllowanceSet {
	set := AllowanceSet{Members: rules.Members}
	for i := range rules.Plans {
		set.Allowances = append(set.Allowances, LeasedAllowance(rules, i, 0))
	}
	return set
}

// fallbackAllowances returns the allowances of all members while they are on the rules' fallback.
func fallbackAllowances(rules *Rules) AllowanceSet {
	set := AllowanceSet{Members: rules.Members}
	for i := range rules.Plans {
		set.Allowances = append(set.Allowances, FallbackAllowance(rules, i, 0))
	}
	return set
}

// narrowed returns the set with each allowance reduced to what the pending rules allow, and without the
// members that the pending rules do not name.
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

// memberHosts returns the hosts of the members, each once, in the members' order.
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

// unionHosts appends those added hosts that the list does not contain yet.
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
