package loadbalancer

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// While an engine reads a long prompt, the streams that it serves come to a halt between its pieces. So long
// prompts go to a few engines, which the others avoid: size-interval task assignment (Harchol-Balter,
// Crovella and Murta, "On Choosing a Task Assignment Policy for a Distributed Server System", 1999), without
// a fixed part. The engines of a region have an agreed order; a long prompt takes the first one that is idle,
// and everybody counts how much of each engine's time long prompts have taken lately. So the part grows with
// that work, and shrinks or moves with the engines that live.
const (
	longRankCost = 20.0             // ms for each place in the agreed order
	longMemory   = 20 * time.Second // of the time that long prompts have taken
	longNoHome   = 0.05             // of an engine's time, from which it is nobody's home
	defaultPause = 500.0            // ms, where no route of the service says what its streams may pause
)

// reading is how an engine is taken up by prompts, as far as it is known: by this edge's own and by what
// other edges tell.
type reading struct {
	busyUntil time.Duration // when it will have read them all, about
	longShare float64       // of its time, for long prompts, as of longAt
	longAt    time.Duration
}

// add notes a prompt that takes so many ms.
func (r *reading) add(now time.Duration, ms float64, long bool) {
	r.busyUntil = max(now, r.busyUntil) + time.Duration(ms*float64(time.Millisecond))
	if long {
		r.longShare = r.shareOfLong(now) + ms/float64(longMemory.Milliseconds())
		r.longAt = now
	}
}

// wait returns the ms until a further prompt is begun.
func (r *reading) wait(now time.Duration) float64 {
	return math.Max(0, float64(r.busyUntil-now)/float64(time.Millisecond))
}

// shareOfLong returns the part of the engine's time that long prompts have taken lately.
func (r *reading) shareOfLong(now time.Duration) float64 {
	return r.longShare * math.Exp(-(now-r.longAt).Seconds()/longMemory.Seconds())
}

// longOrder returns the place of each engine in the agreed order of its region.
func longOrder(candidates []Worker) map[string]int {
	regions := map[string][]string{}
	for i := range candidates {
		regions[candidates[i].Region] = append(regions[candidates[i].Region], candidates[i].Instance)
	}
	places := make(map[string]int, len(candidates))
	for _, instances := range regions {
		ranks := make(map[string]uint64, len(instances))
		for _, instance := range instances {
			ranks[instance] = rendezvous("", instance)
		}
		slices.SortFunc(instances, func(x, y string) int {
			switch {
			case ranks[x] < ranks[y]:
				return -1
			case ranks[x] > ranks[y]:
				return 1
			}
			return strings.Compare(x, y)
		})
		for place, instance := range instances {
			places[instance] = place
		}
	}
	return places
}

// Prompt is what other edges are told of a prompt that has just been sent.
type Prompt struct {
	Instance string
	ReadMs   float64 // of the engine's time, about
	Long     bool    // streams at the engine come to a halt meanwhile
}

// Read notes a prompt that another edge has sent.
func (b *Balancer) Read(now time.Duration, prompt Prompt) {
	if prompt.ReadMs > 0 && prompt.ReadMs < longestObserved {
		b.tracked(prompt.Instance).reading.add(now, prompt.ReadMs, prompt.Long)
	}
}

// LongShares returns the part of each engine's time that long prompts have taken lately, where there is any.
func (b *Balancer) LongShares(now time.Duration) map[string]float64 {
	shares := map[string]float64{}
	for instance, worker := range maps.All(b.workers) {
		if share := worker.reading.shareOfLong(now); share > longNoHome {
			shares[instance] = share
		}
	}
	return shares
}
