package forecast

import (
	"math"

	"willowdeck/internal/policy"
)

const (
	rateSpanMillis = 10000.0 // time over which rates are measured: some thousand requests of a usual fleet
	snapshotCount  = 8       // snapshots kept in that time
)

// Counters of the requests of a plan and product.
const (
	countRequested = iota
	countUnits
	countSucceeded
	countLate
	countRejected
	countFailed
	countOther
	countersPerClass
)

// Counters of the attempts at a region's workers, by product. sumMillis and sumSquares are of answer times.
const (
	countAnswers = iota
	sumMillis
	sumSquares
	countWasted
	countersPerRegionProduct
)

// Outcome is the outcome of a request, as a Meter counts it.
type Outcome uint8

// The outcomes of requests.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeRejected
	OutcomeFailed
	OutcomeOther
)

// Meter counts the requests and attempts of one gateway for its reports. Its owner calls it under the
// policy's lock. It makes no decisions, and counting does not allocate. A nil Meter counts nothing.
type Meter struct {
	products, plans int
	latencyTargets  []float64
	counts          []float64 // plans x products, then regions x products, then load by region
	snapshots       [snapshotCount]snapshot
	oldest          int // index of the oldest snapshot
	snapshotsKept   int
	incarnation     uint32
	sequence        uint64
}

// snapshot is a copy of the counters at a time.
type snapshot struct {
	at     float64 // ms
	counts []float64
	finals [policy.ReasonCount]int // final rejections by reason
}

// NewMeter returns a meter for the products and plans of c.
func NewMeter(c policy.Settings, incarnationNumber uint32) *Meter {
	m := &Meter{products: len(c.Products), plans: len(c.Plans), incarnation: incarnationNumber}
	m.counts = make([]float64,
		m.products*m.plans*countersPerClass+MaxRegions*(m.products*countersPerRegionProduct+2))
	for i := range m.snapshots {
		m.snapshots[i].counts = make([]float64, len(m.counts))
	}
	for _, p := range c.Products {
		m.latencyTargets = append(m.latencyTargets, p.LatencyTargetMillis)
	}
	return m
}

func (m *Meter) classOffset(plan, product int) int {
	return (plan*m.products + product) * countersPerClass
}

func (m *Meter) regionOffset(region, product int) int {
	return m.products*m.plans*countersPerClass + (region*m.products+product)*countersPerRegionProduct
}

// RequestReceived counts a request and the units that it asks for.
func (m *Meter) RequestReceived(plan, product int, units float64) {
	if m != nil {
		i := m.classOffset(plan, product)
		m.counts[i+countRequested]++
		m.counts[i+countUnits] += units
	}
}

// RequestEnded counts the outcome of a request, tookMillis after it was received.
func (m *Meter) RequestEnded(plan, product int, outcome Outcome, tookMillis float64) {
	if m == nil {
		return
	}
	i := m.classOffset(plan, product)
	switch outcome {
	case OutcomeSucceeded:
		m.counts[i+countSucceeded]++
		if tookMillis > m.latencyTargets[product] {
			m.counts[i+countLate]++
		}
	case OutcomeRejected:
		m.counts[i+countRejected]++
	case OutcomeFailed:
		m.counts[i+countFailed]++
	default:
		m.counts[i+countOther]++
	}
}

// AttemptEnded counts the outcome of an attempt at a worker of a region. answered is set if the request had
// received its final answer before.
func (m *Meter) AttemptEnded(region, product int, outcome policy.Outcome, tookMillis float64, answered bool) {
	if m == nil || region < 0 || region >= MaxRegions {
		return
	}
	i := m.regionOffset(region, product)
	if outcome == policy.Succeeded {
		m.counts[i+countAnswers]++
		m.counts[i+sumMillis] += tookMillis
		m.counts[i+sumSquares] += tookMillis * tookMillis
	}
	if outcome == policy.Succeeded && answered || outcome == policy.TimedOut ||
		outcome == policy.ConnectionLost || outcome == policy.Cancelled || outcome == policy.Failed {
		m.counts[i+countWasted]++
	}
}

// LoadReported counts a load report of a region's worker.
func (m *Meter) LoadReported(region int, load policy.WorkerLoad) {
	if m != nil && region >= 0 && region < MaxRegions && load.CPUFraction >= 0 && load.CPUFraction <= 1 {
		i := m.regionOffset(MaxRegions, 0) + 2*region
		m.counts[i]++
		m.counts[i+1] += load.CPUFraction
	}
}

// Snapshot stores a copy of the counters, from which FillReport computes rates. It has to be called at least
// twice per rateSpanMillis; it ignores calls that come too soon after the previous snapshot.
func (m *Meter) Snapshot(now float64, stats *policy.Stats) {
	if m == nil {
		return
	}
	if m.snapshotsKept > 0 &&
		now-m.snapshots[(m.oldest+m.snapshotsKept-1)%snapshotCount].at < rateSpanMillis/(snapshotCount-1) {
		return
	}
	if m.snapshotsKept == snapshotCount {
		m.oldest, m.snapshotsKept = (m.oldest+1)%snapshotCount, m.snapshotsKept-1
	}
	p := &m.snapshots[(m.oldest+m.snapshotsKept)%snapshotCount]
	p.at, p.finals = now, stats.FinalByReason
	copy(p.counts, m.counts)
	m.snapshotsKept++
}

// AddCredit adds to a report the units that a customer of a plan may still borrow and has borrowed.
func (w *Report) AddCredit(plan int, available, borrowed float64) {
	for len(w.Credit) < len(w.Plans) {
		w.Credit = append(w.Credit, Credit{})
	}
	if plan < len(w.Credit) {
		w.Credit[plan].Available += available
		w.Credit[plan].Borrowed += borrowed
	}
}

// FillReport fills a report with the rates since the oldest snapshot and with the policy's snapshot.
// regionName returns the name of a region by its index.
func (m *Meter) FillReport(w *Report, now float64, stats *policy.Stats, s *policy.Snapshot,
	regionName func(int) string) {
	w.Credit = w.Credit[:0]
	w.FormatVersion, w.Incarnation, w.MeasuredAtMillis = FormatVersion, m.incarnation, int64(now)
	m.sequence++
	w.Sequence = m.sequence
	if w.SpanMillis = 0; m.snapshotsKept > 0 {
		w.SpanMillis = now - m.snapshots[m.oldest].at
	}
	old, secs := m.snapshots[m.oldest].counts, math.Max(w.SpanMillis, 1)/1000
	perSecond := func(i int) float64 {
		if m.snapshotsKept == 0 {
			return 0
		}
		return (m.counts[i] - old[i]) / secs
	}
	w.Flows = w.Flows[:0]
	for i := range m.products * m.plans {
		k := i * countersPerClass
		w.Flows = append(w.Flows, Flow{Requested: perSecond(k + countRequested), Units: perSecond(k + countUnits),
			Succeeded: perSecond(k + countSucceeded),
			Late:      perSecond(k + countLate), Rejected: perSecond(k + countRejected),
			Failed: perSecond(k + countFailed), Other: perSecond(k + countOther)})
	}
	for i := range w.RejectionsPerSecond {
		if m.snapshotsKept > 0 {
			w.RejectionsPerSecond[i] = float64(stats.FinalByReason[i]-m.snapshots[m.oldest].finals[i]) / secs
		}
	}
	w.Regions = w.Regions[:0]
	for z := range min(len(s.Regions), MaxRegions) {
		if s.Regions[z] == (policy.RegionSnapshot{}) {
			continue
		}
		w.Regions = append(w.Regions, m.region(z, regionName(z), s.Regions[z], perSecond))
	}
	w.Customers, w.Sets = append(w.Customers[:0], s.Plans...), append(w.Sets[:0], s.Sets...)
	w.OtherDemand, w.Window, w.Pressure = s.OtherSetsDemandPerSecond, s.Window, s.Pressure
	w.InFlight, w.SilentPeers, w.LostPeers = s.InFlight, s.SilentPeers, s.LostPeers
}

// region returns the report of a region. perSecond returns the rate of a counter over the report's span.
func (m *Meter) region(z int, name string, snapshot policy.RegionSnapshot,
	perSecond func(int) float64) Region {
	h := Region{Name: name, Workers: snapshot.Workers, WarmWorkers: snapshot.WarmWorkers,
		InFlight: snapshot.InFlight,
		CPUUse:   -1}
	if reported := m.regionOffset(MaxRegions, 0) + 2*z; perSecond(reported) > 0 {
		h.CPUUse = math.Min(perSecond(reported+1)/perSecond(reported), 1)
	}
	for p := range m.products {
		k := m.regionOffset(z, p)
		a := Answers{PerSecond: perSecond(k + countAnswers), WastedPerSecond: perSecond(k + countWasted)}
		if a.PerSecond > 0 {
			a.MeanMillis = perSecond(k+sumMillis) / a.PerSecond
			a.DeviationMillis = math.Sqrt(math.Max(perSecond(k+sumSquares)/a.PerSecond-a.MeanMillis*a.MeanMillis, 0))
		}
		h.Answers = append(h.Answers, a)
	}
	return h
}
