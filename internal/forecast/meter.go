package forecast

import (
	"math"

	"willowdeck/internal/policy"
)

const (
	spanned = 10000.0 // ms that a word's rates are taken over; some thousand txns of a usual fleet
	marks   = 8       // looks back that are kept for that
)

// What is counted of a sort of txn, and of a hall's answers to a product.
const (
	nAsked = iota
	nUnits
	nSettled
	nLate
	nDeclined
	nVoided
	nOther
	perSort
)

const (
	nAnswers = iota
	nTook
	nSquares
	nWasted
	perHall
)

// Final is a txn's end, as a Meter counts it.
type Final uint8

// The ends.
const (
	Settled Final = iota
	Declined
	Voided
	Other
)

// Meter counts what one gatekeeper's word tells. Its owner calls it under the lock that its module has. It
// decides nothing, and counting allocates nothing. A nil Meter counts nothing.
type Meter struct {
	products, plans int
	slas            []float64
	counts          []float64 // sorts, then halls x products, then what workers of halls said of their cores
	past            [marks]mark
	from            int // the oldest
	kept            int
	life            uint32
	seq             uint64
}

// mark is the counts at a moment.
type mark struct {
	at     float64
	counts []float64
	finals [policy.ReasonCount]int
}

// NewMeter makes a meter for a charter.
func NewMeter(c policy.Settings, life uint32) *Meter {
	m := &Meter{products: len(c.Products), plans: len(c.Plans), life: life}
	m.counts = make([]float64, m.products*m.plans*perSort+MostHalls*(m.products*perHall+2))
	for i := range m.past {
		m.past[i].counts = make([]float64, len(m.counts))
	}
	for _, p := range c.Products {
		m.slas = append(m.slas, p.LatencyTargetMillis)
	}
	return m
}

func (m *Meter) sort(plan, product int) int { return (plan*m.products + product) * perSort }

func (m *Meter) hall(zone, product int) int {
	return m.products*m.plans*perSort + (zone*m.products+product)*perHall
}

// Asked counts a txn that has come.
func (m *Meter) Asked(plan, product int, units float64) {
	if m != nil {
		i := m.sort(plan, product)
		m.counts[i+nAsked]++
		m.counts[i+nUnits] += units
	}
}

// Ended counts a txn's end, so many ms after it came.
func (m *Meter) Ended(plan, product int, f Final, took float64) {
	if m == nil {
		return
	}
	i := m.sort(plan, product)
	switch f {
	case Settled:
		m.counts[i+nSettled]++
		if took > m.slas[product] {
			m.counts[i+nLate]++
		}
	case Declined:
		m.counts[i+nDeclined]++
	case Voided:
		m.counts[i+nVoided]++
	default:
		m.counts[i+nOther]++
	}
}

// Answered counts the end of a submission at a worker of a hall. closed tells that its txn had its final
// answer before.
func (m *Meter) Answered(zone, product int, o policy.Outcome, took float64, closed bool) {
	if m == nil || zone < 0 || zone >= MostHalls {
		return
	}
	i := m.hall(zone, product)
	if o == policy.Succeeded {
		m.counts[i+nAnswers]++
		m.counts[i+nTook] += took
		m.counts[i+nSquares] += took * took
	}
	if o == policy.Succeeded && closed || o == policy.TimedOut || o == policy.ConnectionLost ||
		o == policy.Cancelled ||
		o == policy.Failed {
		m.counts[i+nWasted]++
	}
}

// Said counts what a worker of a hall said of its load.
func (m *Meter) Said(zone int, b policy.WorkerLoad) {
	if m != nil && zone >= 0 && zone < MostHalls && b.CPUFraction >= 0 && b.CPUFraction <= 1 {
		i := m.hall(MostHalls, 0) + 2*zone
		m.counts[i]++
		m.counts[i+1] += b.CPUFraction
	}
}

// Mark keeps the counts of a moment, so that later ones can be held against them. It is to be called at least
// twice in a span; more often does no harm.
func (m *Meter) Mark(now float64, t *policy.Stats) {
	if m == nil {
		return
	}
	if m.kept > 0 && now-m.past[(m.from+m.kept-1)%marks].at < spanned/(marks-1) {
		return
	}
	if m.kept == marks {
		m.from, m.kept = (m.from+1)%marks, m.kept-1
	}
	p := &m.past[(m.from+m.kept)%marks]
	p.at, p.finals = now, t.FinalByReason
	copy(p.counts, m.counts)
	m.kept++
}

// Lent adds what a customer of a plan may borrow and owes to a word.
func (w *Word) Lent(plan int, rights, owed float64) {
	for len(w.Credit) < len(w.Plans) {
		w.Credit = append(w.Credit, Credit{})
	}
	if plan < len(w.Credit) {
		w.Credit[plan].Rights += rights
		w.Credit[plan].Open += owed
	}
}

// Tell fills in a word what was counted since the oldest mark, and what a sight shows. halls names them.
func (m *Meter) Tell(w *Word, now float64, t *policy.Stats, s *policy.Snapshot, halls func(int) string) {
	w.Credit = w.Credit[:0]
	w.Form, w.Life, w.At = Form, m.life, int64(now)
	m.seq++
	w.Seq = m.seq
	if w.Span = 0; m.kept > 0 {
		w.Span = now - m.past[m.from].at
	}
	old, secs := m.past[m.from].counts, math.Max(w.Span, 1)/1000
	per := func(i int) float64 {
		if m.kept == 0 {
			return 0
		}
		return (m.counts[i] - old[i]) / secs
	}
	w.Flows = w.Flows[:0]
	for i := range m.products * m.plans {
		k := i * perSort
		w.Flows = append(w.Flows, Flow{Asked: per(k + nAsked), Units: per(k + nUnits), Settled: per(k + nSettled),
			Late: per(k + nLate), Declined: per(k + nDeclined), Voided: per(k + nVoided), Other: per(k + nOther)})
	}
	for i := range w.Reasons {
		if m.kept > 0 {
			w.Reasons[i] = float64(t.FinalByReason[i]-m.past[m.from].finals[i]) / secs
		}
	}
	w.Halls = w.Halls[:0]
	for z := range min(len(s.Regions), MostHalls) {
		if s.Regions[z] == (policy.RegionSnapshot{}) {
			continue
		}
		h := Hall{Name: halls(z), Workers: s.Regions[z].Workers, Able: s.Regions[z].WarmWorkers,
			InHand: s.Regions[z].InFlight,
			Busy:   -1}
		if said := m.hall(MostHalls, 0) + 2*z; per(said) > 0 {
			h.Busy = math.Min(per(said+1)/per(said), 1)
		}
		for p := range m.products {
			k := m.hall(z, p)
			a := Answers{PerS: per(k + nAnswers), Wasted: per(k + nWasted)}
			if a.PerS > 0 {
				a.Pace = per(k+nTook) / a.PerS
				a.Spread = math.Sqrt(math.Max(per(k+nSquares)/a.PerS-a.Pace*a.Pace, 0))
			}
			h.Answers = append(h.Answers, a)
		}
		w.Halls = append(w.Halls, h)
	}
	w.Customers, w.Sets = append(w.Customers[:0], s.Plans...), append(w.Sets[:0], s.Sets...)
	w.Others, w.Window, w.Press = s.OtherSetsDemandPerSecond, s.Window, s.Pressure
	w.InHand, w.Silent, w.Gone = s.InFlight, s.SilentPeers, s.LostPeers
}
