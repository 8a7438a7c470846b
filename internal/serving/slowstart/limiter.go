// Package slowstart decides how much of a cold worker's rate this edge may send, after rateguard: each edge
// keeps a bucket and a demand estimate for each cold worker. A quiet worker runs at rate/N×α and causes no
// messages. A hot one has a floor of rate×β/N and the rest by own demand over total demand, which the edges
// report to each other. Summed over all edges, in touch or not, what is sent never passes rate × overshoot
// + slack in any second:
//
//   - β equals α, so that a hot edge's floor is a quiet edge's slice: whichever edges have turned hot, the
//     floors add up to rate×α, and the parts by demand to the rest.
//   - An edge that lacks a report of any other edge stays at its floor.
//   - A demand counts for its own edge only once it has been reported for a period, and for the others at
//     once.
//
// The package has no I/O, clock or goroutines, and is not safe for concurrent use.
package slowstart

import (
	"maps"
	"math"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// The design's parameters.
const (
	quietShare   = 0.5        // α: part of rate/N that a quiet worker runs at
	floorShare   = quietShare // β: part of the rate that is kept as floors
	usedRate     = 0.95       // of the rate; the rest is for edges whose records have been dropped while cut off
	hotThreshold = 0.8        // of the quiet slice; demand above it turns a worker hot
	demandMemory = time.Second
	cooldown     = 5 * time.Second
	idleLife     = 30 * time.Second // after which a worker that is no longer asked for is dropped
)

// Limits are the bounds of a service's cold workers.
type Limits struct {
	PerSecond float64 // of one worker, over all edges
	Overshoot float64
	Slack     float64 // requests
}

// worker is what is kept of one cold worker.
type worker struct {
	bucket   bucket
	demand   float64 // requests a second, smoothed
	demandAt time.Duration
	hot      bool
	below    time.Duration // since when demand has been under the quiet slice
	used     time.Duration
	reported [2]float64 // the last demand that was reported, and the one before
}

// Shares holds this edge's shares.
type Shares struct {
	edge    string
	workers map[string]*worker
	number  uint64 // of the last report
}

// New makes shares for the edge of that name.
func New(edge string) *Shares { return &Shares{edge: edge, workers: map[string]*worker{}} }

// Admit asks to send one request to a cold worker. edges is N: how many edges there are, never counted too
// low. Otherwise it returns how long until the bucket holds one.
func (s *Shares) Admit(
	now time.Duration, instance string, limits Limits, edges int, reports []*wirepb.Demand,
) (wait time.Duration, ok bool) {
	w := s.workers[instance]
	if w == nil {
		w = &worker{demandAt: now, below: now}
		s.workers[instance] = w
	}
	w.used = now
	w.addDemand(now)
	s.updateTemperature(now, w, limits, edges)
	rate := s.share(w, instance, limits, edges, reports)
	depth := rate*math.Max(limits.Overshoot-1, 0) + limits.Slack/float64(edges)
	if w.bucket.rate == 0 {
		w.bucket = newBucket(now, rate, depth)
	}
	w.bucket.set(now, rate, depth)
	wait, ok = w.bucket.take(now)
	if !ok && wait < 0 {
		wait = time.Second
	}
	return wait, ok
}

// addDemand counts one request that was asked for, admitted or not.
func (w *worker) addDemand(now time.Duration) {
	w.demand = w.demandNow(now) + 1/demandMemory.Seconds()
	w.demandAt = now
}

func (w *worker) demandNow(now time.Duration) float64 {
	return w.demand * math.Exp(-(now-w.demandAt).Seconds()/demandMemory.Seconds())
}

func (s *Shares) updateTemperature(now time.Duration, w *worker, limits Limits, edges int) {
	slice := limits.PerSecond * usedRate * quietShare / float64(edges)
	if w.demandNow(now) >= slice*hotThreshold {
		w.hot = true
		w.below = now
	} else if now-w.below > cooldown {
		w.hot = false
	}
}

// share returns the rate that this edge may send at.
func (s *Shares) share(
	w *worker, instance string, limits Limits, edges int, reports []*wirepb.Demand,
) float64 {
	rate := limits.PerSecond * usedRate
	floor := rate * floorShare / float64(edges)
	others, reporting := 0.0, 0
	for _, report := range reports {
		if report.InstanceId == instance && report.Edge != s.edge {
			others += report.PerSecond
			reporting++
		}
	}
	own := min(w.reported[0], w.reported[1])
	total := max(w.reported[0], w.reported[1]) + others
	if reporting < edges-1 || total <= 0 {
		return floor
	}
	return floor + rate*(1-floorShare)*own/total
}

// gossipMost is how many edges report demands to each other at the most. Beyond it a split by demand is
// worth less than its messages, whose number grows with the square of the edges.
const gossipMost = 30

// Reports returns what this edge has to tell the others: its demand for each worker that is hot here or,
// zero included, that another edge has reported. It is called once a period. Workers that are idle are
// forgotten.
func (s *Shares) Reports(now time.Duration, edges int, others []*wirepb.Demand) []*wirepb.Demand {
	s.number++
	told := map[string]bool{}
	for _, report := range others {
		if report.Edge != s.edge {
			told[report.InstanceId] = true
		}
	}
	for instance, w := range s.workers {
		if now-w.used > idleLife {
			delete(s.workers, instance)
		} else if w.hot {
			told[instance] = true
		}
	}
	if edges > gossipMost {
		return nil
	}
	reports := make([]*wirepb.Demand, 0, len(told))
	for _, instance := range slices.Sorted(maps.Keys(told)) {
		demand := 0.0
		if w := s.workers[instance]; w != nil {
			demand = w.demandNow(now)
			w.reported = [2]float64{demand, w.reported[0]}
		}
		reports = append(reports, &wirepb.Demand{
			Edge: s.edge, InstanceId: instance, PerSecond: demand, Number: s.number,
		})
	}
	return reports
}
