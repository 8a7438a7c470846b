package loadbalancer

import (
	"hash/fnv"
	"time"
)

const (
	// globalAffinityTokens is from how many shared tokens on the affinity of a prompt goes across regions:
	// prefilling so many again costs more than the way to another region.
	globalAffinityTokens = 2000
	// zonalAffinityTokens is up to how many shared tokens the affinity of a prompt stays within the edge's zone:
	// prefilling so few again costs less than a stream that a partition between zones breaks.
	zonalAffinityTokens = 300
	// minZonalEngines is how many engines a zone must have for an affinity within it.
	minZonalEngines = 4
	// maxAffinityLongShare is the share of an engine's time that long prompts may take for shared prompts to
	// have affinity to it.
	maxAffinityLongShare = 0.05
)

// affinityInstance returns the instance that a prompt has affinity to by its shared parts, or "" without any:
// among the candidates of all regions where the shared parts are long, of the edge's zone where they are
// short, else among those of the edge's region.
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

// hasZonalEngines reports whether enough candidates are in the edge's zone.
func (b *Balancer) hasZonalEngines(candidates []Worker) bool {
	count := 0
	for i := range candidates {
		if candidates[i].Zone == b.zone {
			count++
		}
	}
	return count >= minZonalEngines
}

// ServesLongPrompts reports whether long prompts have lately taken so much of an engine's time that shared
// prompts have no affinity to it.
func (b *Balancer) ServesLongPrompts(now time.Duration, instance string) bool {
	return b.state(instance).prefillQueue.longShare.At(now) > maxAffinityLongShare
}

// rendezvousScore hashes a key with an instance; the instance of the highest score is the key's.
func rendezvousScore(key, instance string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	hash.Write([]byte{0})
	hash.Write([]byte(instance))
	sum := hash.Sum64() // mixed further: FNV's high bits depend little on the last bytes
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
