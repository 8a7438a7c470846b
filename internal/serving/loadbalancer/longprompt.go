package loadbalancer

import (
	"cmp"
	"slices"
	"strings"
)

// While an engine prefills a long prompt, the streams that it decodes have gaps between tokens. So long
// prompts go to a few engines, which the others avoid: size-interval task assignment (Harchol-Balter,
// Crovella and Murta, "On Choosing a Task Assignment Policy for a Distributed Server System", 1999), without
// a fixed partition. The engines of a region have an agreed order; a long prompt takes the first one that is
// idle, and each edge tracks the share of each engine's time that long prompts have taken. So the number of
// such engines grows with that work, and changes with the engines that are live.
//
// longRankCostMillis is for each rank in that order.
const longRankCostMillis = 20.0

// isLong reports whether the prefill of a request's prompt makes a gap in other streams that is longer than
// the service allows. Its shared parts may be cached, and do not count.
func (b *Balancer) isLong(request *Request) bool {
	total := totalTokens(request.Parts)
	own := total - sharedTokens(request.Parts)
	return b.prefillModel.estimateMillis(own, total) >= request.maxStreamGapMillis()
}

// longPromptRanks returns the rank of each engine in the agreed order of its region, from 0.
func longPromptRanks(candidates []Worker) map[string]int {
	regions := map[string][]string{}
	for i := range candidates {
		regions[candidates[i].Region] = append(regions[candidates[i].Region], candidates[i].Instance)
	}
	ranks := make(map[string]int, len(candidates))
	for _, instances := range regions {
		scores := make(map[string]uint64, len(instances))
		for _, instance := range instances {
			scores[instance] = rendezvousScore("", instance)
		}
		slices.SortFunc(instances, func(x, y string) int {
			if order := cmp.Compare(scores[x], scores[y]); order != 0 {
				return order
			}
			return strings.Compare(x, y)
		})
		for rank, instance := range instances {
			ranks[instance] = rank
		}
	}
	return ranks
}
