package slowstart

import (
	"math"
	"time"

	"willowdeck/internal/serving/decay"
	"willowdeck/internal/serving/wirepb"
)

// The design's parameters. Fractions are of a worker's rate, unless said otherwise.
const (
	quietFraction  = 0.5           // α: what all edges together may send to a quiet worker
	floorFraction  = quietFraction // β: what all floors of a hot worker add up to
	usableFraction = 0.95          // the rest is for edges that count less than all, as after a partition
	hotFraction    = 0.8           // of a quiet edge's share: demand from there on turns a worker hot
	cooldown       = 5 * time.Second
	idleExpiry     = 30 * time.Second // after which a worker without requests is forgotten
	neverFitsWait  = time.Second      // stated where the bucket is too small for any request
)

// Limits bound what a service's workers get while they warm up.
type Limits struct {
	PerSecond float64 // requests a second to one worker, of all edges together
	Overshoot float64 // factor of PerSecond that a burst may reach within a second; below 1 counts as 1
	Slack     float64 // requests that may come on top
}

// worker is the state of one worker that is warming up.
type worker struct {
	bucket        bucket
	demand        decay.Sum // requests a second for it at this edge, admitted or not
	hot           bool
	lastHotDemand time.Duration // when demand was last high enough for hot; at first, when the worker came
	lastRequest   time.Duration
	reported      [2]float64 // requests a second: the demand of the last report, and of the one before
}

// Limiter limits what this edge sends to workers that are warming up.
type Limiter struct {
	edge    string
	workers map[string]*worker // by instance
	number  uint64             // of the last report
}

// New returns a limiter for the edge of that name.
func New(edge string) *Limiter { return &Limiter{edge: edge, workers: map[string]*worker{}} }

// Admit takes one request for a worker out of this edge's share. edges is N, how many edges there are,
// which must not be too low; demands are the newest reports of all edges. Where the request is not
// admitted, wait is how long until the bucket holds one.
func (l *Limiter) Admit(
	now time.Duration, instance string, limits Limits, edges int, demands []*wirepb.Demand,
) (wait time.Duration, ok bool) {
	w := l.workers[instance]
	if w == nil {
		w = &worker{demand: decay.NewSum(demandTimeConstant), lastHotDemand: now}
		l.workers[instance] = w
	}
	w.lastRequest = now
	w.demand.Add(now, requestPerSecond)
	w.updateHot(now, limits, edges)
	rate := l.rate(w, instance, limits, edges, demands)
	depth := rate*math.Max(limits.Overshoot-1, 0) + limits.Slack/float64(edges)
	if w.bucket.rate == 0 {
		w.bucket = newBucket(now, rate, depth)
	}
	w.bucket.set(now, rate, depth)
	wait, ok = w.bucket.take(now)
	if !ok && wait < 0 {
		wait = neverFitsWait
	}
	return wait, ok
}

// updateHot turns the worker hot by this edge's demand, and back after the cooldown.
func (w *worker) updateHot(now time.Duration, limits Limits, edges int) {
	quietShare := limits.PerSecond * usableFraction * quietFraction / float64(edges)
	if w.demand.At(now) >= quietShare*hotFraction {
		w.hot = true
		w.lastHotDemand = now
	} else if now-w.lastHotDemand > cooldown {
		w.hot = false
	}
}

// rate returns this edge's share of the worker's rate, in requests a second.
func (l *Limiter) rate(
	w *worker, instance string, limits Limits, edges int, demands []*wirepb.Demand,
) float64 {
	rate := limits.PerSecond * usableFraction
	floor := rate * floorFraction / float64(edges)
	others, reporting := 0.0, 0
	for _, demand := range demands {
		if demand.InstanceId == instance && demand.Edge != l.edge {
			others += demand.RequestsPerSecond
			reporting++
		}
	}
	own := min(w.reported[0], w.reported[1])
	total := max(w.reported[0], w.reported[1]) + others
	if reporting < edges-1 || total <= 0 {
		return floor
	}
	return floor + rate*(1-floorFraction)*own/total
}
