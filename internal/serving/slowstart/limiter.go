package slowstart

import (
	"math"
	"time"

	"willowdeck/internal/serving/decay"
	"willowdeck/internal/serving/wirepb"
)

// Parameters of the limiter.
const (
	// quietFraction is α, the fraction of the usable rate that all edges together may send to a quiet worker.
	quietFraction = 0.5
	// floorFraction is β, the fraction of the usable rate that the floors of all edges for a hot worker add up
	// to.
	floorFraction = quietFraction
	// usableFraction is the fraction of a worker's rate that the edges divide among them. The rest is a margin
	// for edges that count too few edges, as after a partition.
	usableFraction = 0.95
	// hotFraction is the fraction of a quiet edge's share from which on the demand makes a worker hot.
	hotFraction = 0.8
	// cooldown is how long a worker stays hot after the last demand that was high enough.
	cooldown = 5 * time.Second
	// idleExpiry is the time without requests after which the state of a worker is removed.
	idleExpiry = 30 * time.Second
	// neverFitsWait is the wait that Admit returns if the bucket is too small to ever hold a request.
	neverFitsWait = time.Second
)

// Limits are the limits on the requests to a service's workers while they warm up.
type Limits struct {
	PerSecond float64 // requests per second of all edges together to one worker
	Overshoot float64 // factor of PerSecond that a burst may reach within a second; less than 1 counts as 1
	Slack     float64 // requests that all edges together may send in addition within a second
}

// worker is the state of one worker that is warming up.
type worker struct {
	bucket        bucket
	demand        decay.Sum     // requests per second for the worker at this edge, admitted or not
	hot           bool          // the demand was high within cooldown, see updateHot
	lastHotDemand time.Duration // when demand was last high enough for hot; initially when the worker was added
	lastRequest   time.Duration // when the last request arrived
	reported      [2]float64    // requests per second: the demand in the last report, and in the one before
}

// Limiter limits what this edge sends to workers that are warming up.
type Limiter struct {
	edge    string
	workers map[string]*worker // by instance
	number  uint64             // sequence number of the last report
}

// New returns a limiter for the edge with the name edge.
func New(edge string) *Limiter { return &Limiter{edge: edge, workers: map[string]*worker{}} }

// Admit takes one request for a worker out of this edge's share. edges is the number of edges, N, and must
// not be too low; demands are the newest reports of all edges. If the request is not admitted, ok is false
// and wait is the time until the bucket holds a request.
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

// updateHot makes the worker hot if this edge's demand is high enough, and quiet again once the demand has
// been lower for the cooldown.
func (w *worker) updateHot(now time.Duration, limits Limits, edges int) {
	quietShare := limits.PerSecond * usableFraction * quietFraction / float64(edges)
	if w.demand.At(now) >= quietShare*hotFraction {
		w.hot = true
		w.lastHotDemand = now
	} else if now-w.lastHotDemand > cooldown {
		w.hot = false
	}
}

// rate returns this edge's share of the worker's rate, in requests per second.
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
