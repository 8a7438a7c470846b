package forecast

import (
	"math"

	"willowdeck/internal/policy"
)

const (
	rateSpanMillis = 10000.0 // ms that rates are measured over; some thousand requests of a usual fleet
	snapshotCount  = 8       // kept for that
)

// Counters of a plan and product, and of a region's answers to a product.
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

const (
	countAnswers = iota
	sumMillis
	sumSquares
	countWasted
	countersPerRegionProduct
)

// Outcome is a request's end, as a Meter counts it.
type Outcome uint8

// The outcomes.
const (
	OutcomeSucceeded Outcome = iota
	OutcomeRejected
	OutcomeFailed
	OutcomeOther
)

// Meter counts what one gateway reports. Its owner calls it under the policy's lock. It decides nothing,
// and counting allocates nothing. A nil Meter counts nothing.
type Meter struct {
	products, plans int
	latencyTargets  []float64
	counts          []float64 // plans x products, then regions x products, then load reports by region
	snapshots       [snapshotCount]snapshot
	oldest          int // index of the oldest snapshot
	snapshotsKept   int
	incarnation     uint32
	sequence        uint64
}

// snapshot is the counters at a time.
type snapshot struct {
	at     float64
	counts []float64
	finals [policy.ReasonCount]int
}

// NewMeter returns a meter for a charter.
func NewMeter(c policy.Settings, life uint32) *Meter {
	m := &Meter{products: len(c.Products), plans: len(c.Plans), incarnation: life}
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

func (m *Meter) regionOffset(zone, product int) int {
	return m.products*m.plans*countersPerClass + (zone*m.products+product)*countersPerRegionProduct
}

// RequestReceived counts a request.
func (m *Meter) RequestReceived(plan, product int, units float64) {
	if m != nil {
		i := m.classOffset(plan, product)
		m.counts[i+countRequested]++
		m.counts[i+countUnits] += units
	}
}

// RequestEnded counts a request's end, so many ms after it was received.
func (m *Meter) RequestEnded(plan, product int, f Outcome, took float64) {
	if m == nil {
		return
	}
	i := m.classOffset(plan, product)
	switch f {
	case OutcomeSucceeded:
		m.counts[i+countSucceeded]++
		if took > m.latencyTargets[product] {
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

// AttemptEnded counts the end of an attempt at a worker of a region. closed says that its request had its
// final answer before.
func (m *Meter) AttemptEnded(zone, product int, o policy.Outcome, took float64, closed bool) {
	if m == nil || zone < 0 || zone >= MaxRegions {
		return
	}
	i := m.regionOffset(zone, product)
	if o == policy.Succeeded {
		m.counts[i+countAnswers]++
		m.counts[i+sumMillis] += took
		m.counts[i+sumSquares] += took * took
	}
	if o == policy.Succeeded && closed || o == policy.TimedOut || o == policy.ConnectionLost ||
		o == policy.Cancelled ||
		o == policy.Failed {
		m.counts[i+countWasted]++
	}
}

// LoadReported counts a load report of a region's worker.
func (m *Meter) LoadReported(zone int, b policy.WorkerLoad) {
	if m != nil && zone >= 0 && zone < MaxRegions && b.CPUFraction >= 0 && b.CPUFraction <= 1 {
		i := m.regionOffset(MaxRegions, 0) + 2*zone
		m.counts[i]++
		m.counts[i+1] += b.CPUFraction
	}
}

// Snapshot keeps the counters of a time, which later ones are compared with. It has to be called at least
// twice per rateSpanMillis; more often does no harm.
func (m *Meter) Snapshot(now float64, t *policy.Stats) {
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
	p.at, p.finals = now, t.FinalByReason
	copy(p.counts, m.counts)
	m.snapshotsKept++
}

// AddCredit adds what a customer of a plan may borrow and owes to a report.
func (w *Report) AddCredit(plan int, rights, owed float64) {
	for len(w.Credit) < len(w.Plans) {
		w.Credit = append(w.Credit, Credit{})
	}
	if plan < len(w.Credit) {
		w.Credit[plan].Available += rights
		w.Credit[plan].Borrowed += owed
	}
}

// FillReport fills a report with what was counted since the oldest snapshot, and with the policy's snapshot.
// regionName returns a region's name.
func (m *Meter) FillReport(w *Report, now float64, t *policy.Stats, s *policy.Snapshot,
	regionName func(int) string) {
	w.Credit = w.Credit[:0]
	w.FormatVersion, w.Incarnation, w.MeasuredAtMillis = FormatVersion, m.incarnation, int64(now)
	m.sequence++
	w.Sequence = m.sequence
	if w.SpanMillis = 0; m.snapshotsKept > 0 {
		w.SpanMillis = now - m.snapshots[m.oldest].at
	}
	old, secs := m.snapshots[m.oldest].counts, math.Max(w.SpanMillis, 1)/1000
	per := func(i int) float64 {
		if m.snapshotsKept == 0 {
			return 0
		}
		return (m.counts[i] - old[i]) / secs
	}
	w.Flows = w.Flows[:0]
	for i := range m.products * m.plans {
		k := i * countersPerClass
		w.Flows = append(w.Flows, Flow{Requested: per(k + countRequested), Units: per(k + countUnits),
			Succeeded: per(k + countSucceeded),
			Late:      per(k + countLate), Rejected: per(k + countRejected),
			Failed: per(k + countFailed), Other: per(k + countOther)})
	}
	for i := range w.RejectionsPerSecond {
		if m.snapshotsKept > 0 {
			w.RejectionsPerSecond[i] = float64(t.FinalByReason[i]-m.snapshots[m.oldest].finals[i]) / secs
		}
	}
	w.Regions = w.Regions[:0]
	for z := range min(len(s.Regions), MaxRegions) {
		if s.Regions[z] == (policy.RegionSnapshot{}) {
			continue
		}
		w.Regions = append(w.Regions, m.region(z, regionName(z), s.Regions[z], per))
	}
	w.Customers, w.Sets = append(w.Customers[:0], s.Plans...), append(w.Sets[:0], s.Sets...)
	w.OtherDemand, w.Window, w.Pressure = s.OtherSetsDemandPerSecond, s.Window, s.Pressure
	w.InFlight, w.SilentPeers, w.LostPeers = s.InFlight, s.SilentPeers, s.LostPeers
}

// region returns the report of a region. perSecond gives the rate of a counter over the report's span.
func (m *Meter) region(z int, name string, snapshot policy.RegionSnapshot,
	perSecond func(int) float64) Region {
	h := Region{Name: name, Workers: snapshot.Workers, WarmWorkers: snapshot.WarmWorkers,
		InFlight: snapshot.InFlight,
		CPUUse:   -1}
	if said := m.regionOffset(MaxRegions, 0) + 2*z; perSecond(said) > 0 {
		h.CPUUse = math.Min(perSecond(said+1)/perSecond(said), 1)
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
