package loadbalancer

import (
	"hash/fnv"
	"time"
)

const (
	// globalAffinityTokens is the minimum number of shared tokens for a prompt to have affinity to an engine in
	// any region: prefilling so many tokens again costs more than sending the request to another region.
	globalAffinityTokens = 2000
	// zonalAffinityTokens is the maximum number of shared tokens for the affinity of a prompt to stay within
	// the edge's zone: prefilling so few tokens again costs less than a stream that a partition between zones
	// breaks.
	zonalAffinityTokens = 300
	// minZonalEngines is the minimum number of engines in the edge's zone for an affinity within the zone.
	minZonalEngines = 4
	// maxAffinityLongShare is the share of an engine's time spent on long prompts above which no shared prompt
	// has affinity to the engine.
	maxAffinityLongShare = 0.05
)

// affinityInstance returns the instance that a prompt has affinity to because of its shared parts, or "" if
// there is none. It selects among the candidates of all regions if the shared parts are long, among those
// of the edge's zone if they are short and the zone has enough engines, and otherwise among those of the
// edge's region.
func (b *Balancer) affinityInstance(now time.Duration, request *Request, candidates []Worker) string {
	key := affinityKey(request.Parts)
	if key == "" || request.WithoutAffinity {
		return ""
	}
	shared := sharedTokens(request.Parts)
	global := shared >= globalAffinityTokens
	zonal := shared <= zonalAffinityTokens && b.hasZonalEngines(candidates)
	selected, highest := "", uint64(0)
	for _, candidate := range candidates {
		if !global && candidate.Region != b.region || zonal && candidate.Zone != b.zone {
			continue
		}
		if b.ServesLongPrompts(now, candidate.Instance) {
			continue
		}
		if score := rendezvousScore(key, candidate.Instance); selected == "" || score > highest {
			selected, highest = candidate.Instance, score
		}
	}
	return selected
}

// hasZonalEngines reports whether at least minZonalEngines candidates are in the edge's zone.
func (b *Balancer) hasZonalEngines(candidates []Worker) bool {
	count := 0
	for i := range candidates {
		if candidates[i].Zone == b.zone {
			count++
		}
	}
	return count >= minZonalEngines
}

// ServesLongPrompts reports whether an engine has recently spent so much of its time on long prompts that no
// shared prompt has affinity to it.
func (b *Balancer) ServesLongPrompts(now time.Duration, instance string) bool {
	return b.state(instance).prefillQueue.longShare.At(now) > maxAffinityLongShare
}

// rendezvousScore returns a hash of a key and an instance (rendezvous hashing): a key belongs to the
// instance with the highest score.
func rendezvousScore(key, instance string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	hash.Write([]byte{0})
	hash.Write([]byte(instance))
	sum := hash.Sum64() // is mixed below, since the high bits of FNV depend little on the last bytes
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
