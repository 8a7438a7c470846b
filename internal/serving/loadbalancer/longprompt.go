package loadbalancer

import (
	"cmp"
	"slices"
	"strings"
)

// While an engine prefills a long prompt, the streams that it decodes have gaps between tokens. Long
// prompts are therefore sent to a few engines, which other prompts avoid. This is size-interval task
// assignment (Harchol-Balter, Crovella and Murta, "On Choosing a Task Assignment Policy for a Distributed
// Server System", 1999) without a fixed set of engines for long prompts: the engines of a region have an
// order that all edges agree on, a long prompt goes to the first idle engine in it, and each edge tracks
// the share of each engine's time that long prompts have taken. The number of engines that serve long
// prompts grows with the load of long prompts, and the set follows the engines that are live.
//
// longRankCostMillis is the cost of each rank in that order for a long prompt.
const longRankCostMillis = 20.0

// isLong reports whether the prefill of a request's prompt takes at least as long as the maximum gap in the
// service's streams. The shared parts do not count, since they may be cached.
func (b *Balancer) isLong(request *Request) bool {
	total := totalTokens(request.Parts)
	own := total - sharedTokens(request.Parts)
	return b.prefillModel.estimateMillis(own, total) >= request.maxStreamGapMillis()
}

// longPromptRanks returns the rank of each engine, from 0, in the agreed order of the engines of its region.
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
