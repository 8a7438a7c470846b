package ruleset

import "slices"

// AllowanceSet is what each of some gatekeepers may let through, by plan: the same for all of them.
type AllowanceSet struct {
	Members    []Member    `json:"Members"`
	Allowances []Allowance `json:"Parts"` // by plan
	// Indexes are the indexes of Members in their rules, where some were left out; empty where Members are at
	// their own. Rules that do not need FeatureManyMembers leave members out without it, as the programs before
	// that feature do: the replicated state has to be the same.
	Indexes []int `json:"Places,omitempty"`
}

// memberIndex is the index in its rules of Members[i].
func (s *AllowanceSet) memberIndex(i int) int {
	if i < len(s.Indexes) {
		return s.Indexes[i]
	}
	return i
}

// leasedAllowances are those of all members whose leases are on the rules.
func leasedAllowances(rules *Rules) AllowanceSet {
	set := AllowanceSet{Members: rules.Members}
	for i := range rules.Plans {
		set.Allowances = append(set.Allowances, LeasedAllowance(rules, i, 0))
	}
	return set
}

// fallbackAllowances are those of all members that are on the rules' fallback.
func fallbackAllowances(rules *Rules) AllowanceSet {
	set := AllowanceSet{Members: rules.Members}
	for i := range rules.Plans {
		set.Allowances = append(set.Allowances, FallbackAllowance(rules, i, 0))
	}
	return set
}

// narrowed is the set held to the lesser of itself and what the pending rules allow: nothing for those that
// the pending rules do not name.
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

// memberHosts are the hosts whose daemons run members, each once, in the members' order.
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

// unionHosts appends the added hosts that are not there yet.
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
