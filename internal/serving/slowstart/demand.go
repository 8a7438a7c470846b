package slowstart

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	// demandTimeConstant is the time constant of the demand estimate.
	demandTimeConstant = time.Second
	// requestPerSecond is the amount that one request adds to a demand estimate. The estimate is the decaying
	// count of requests divided by the time constant in seconds.
	requestPerSecond = float64(time.Second) / float64(demandTimeConstant)
)

// maxReportingEdges is the number of edges above which they report no demands to each other: the number of
// these messages grows with the square of the number of edges, and would cost more than a split by demand
// gains.
const maxReportingEdges = 30

// DemandReports returns the reports of this edge to the others: its demand for each worker that is hot
// here, and, even if it is zero, for each worker that another edge has reported. demands are the newest
// reports of all edges. It must be called once per report interval. It removes the state of workers that
// are idle.
func (l *Limiter) DemandReports(now time.Duration, edges int, demands []*wirepb.Demand) []*wirepb.Demand {
	l.number++
	instances := map[string]bool{}
	for _, demand := range demands {
		if demand.Edge != l.edge {
			instances[demand.InstanceId] = true
		}
	}
	for instance, w := range l.workers {
		if now-w.lastRequest > idleExpiry {
			delete(l.workers, instance)
		} else if w.hot {
			instances[instance] = true
		}
	}
	if edges > maxReportingEdges {
		return nil
	}
	reports := make([]*wirepb.Demand, 0, len(instances))
	for _, instance := range slices.Sorted(maps.Keys(instances)) {
		perSecond := 0.0
		if w := l.workers[instance]; w != nil {
			perSecond = w.demand.At(now)
			w.reported = [2]float64{perSecond, w.reported[0]}
		}
		reports = append(reports, &wirepb.Demand{
			Edge: l.edge, InstanceId: instance, RequestsPerSecond: perSecond, Sequence: l.number,
		})
	}
	return reports
}
