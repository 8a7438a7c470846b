package policy

import "math"

// This file gives what a gatekeeper sees of halls, customers and its own room to those who look ahead. It
// decides nothing, and costs nothing but when it is asked.

// UseSteps are the bounds of a customer's use, demand over rate, that Sight counts demand by; the last step
// has all above the last bound.
var UtilizationBounds = [...]float64{0.2, 0.4, 0.55, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10}

const (
	MaxSnapshotSets = 64  // of gatekeepers that Sight tells apart; beyond them it tells only how much is asked
	lookMost        = 500 // customers that are looked at in one go; 0.1 ms
)

// Sight is what one gatekeeper sees at a moment. Demand is in units a second, times are in ms.
type Snapshot struct {
	Regions                  []RegionSnapshot
	Plans                    []PlanSnapshot
	Sets                     []GatewaySetSnapshot // of customers that asked lately, those of MostSets sets
	OtherSetsDemandPerSecond float64              // demand of customers of other sets
	Window                   float64
	InFlight                 int
	Pressure                 float64 // smoothed time of answers, of their SLA time
	SilentPeers              int     // peers that owe a word, and are not given up yet
	LostPeers                int
	known                    []int16 // by plan and first: one more than the place in Sets of the last one there
}

// HallSight is what it sees of the workers of one hall.
type RegionSnapshot struct {
	Workers     int     // on the list, and taking txns
	WarmWorkers float64 // what they can do, in warm workers
	InFlight    int     // submissions out at them
}

// PlanSight is what it sees of the customers of one plan.
type PlanSnapshot struct {
	// its part of them: each counts as one over the gatekeepers of its set
	Customers       float64 `json:"Customers"`
	DemandPerSecond float64 `json:"Demand"`
	// demand here, by its customers' use at all gatekeepers
	DemandByUtilization [len(UtilizationBounds) + 1]float64 `json:"Use"`
}

// SetSight is the demand here of a plan's customers that come through Size gatekeepers from First on.
type GatewaySetSnapshot struct {
	Plan            int     `json:"Plan"`
	FirstGateway    int     `json:"First"`
	Size            int     `json:"Size"`
	DemandPerSecond float64 `json:"Demand"`
}

// Look writes what it sees over s, whose room is used again. It begins with from at nought and gives where it
// is to go on, nought at the end, so that nobody waits for long while it looks at many customers.
func (g *Engine) WriteSnapshot(s *Snapshot, from int) int {
	if from == 0 {
		g.lookAround(s)
	}
	to := min(from+lookMost, len(g.accounts))
	for i := from; i < to; i++ {
		if c := &g.accounts[i]; c.live && c.n > 0 {
			g.lookAt(c, s)
		}
	}
	if to == len(g.accounts) {
		return 0
	}
	return to
}

func (g *Engine) lookAround(s *Snapshot) {
	*s = Snapshot{Regions: s.Regions[:0], Plans: s.Plans[:0], Sets: s.Sets[:0], Window: g.window,
		InFlight: g.inHand,
		Pressure: g.press, known: s.known}
	for len(s.known) < len(g.plans)*g.charter.n {
		s.known = append(s.known, 0)
	}
	clear(s.known)
	for i := range g.workers {
		w := &g.workers[i]
		for len(s.Regions) <= w.Zone {
			s.Regions = append(s.Regions, RegionSnapshot{})
		}
		h := &s.Regions[w.Zone]
		if h.InFlight += w.inFlight; w.listed {
			h.Workers++
			h.WarmWorkers += g.warmth(w.StartedAtMillis)
		}
	}
	for i := range g.peers {
		if p := &g.peers[i]; p.gone {
			s.LostPeers++
		} else if p.silent {
			s.SilentPeers++
		}
	}
	for range g.plans {
		s.Plans = append(s.Plans, PlanSnapshot{})
	}
}

func (g *Engine) lookAt(c *account, s *Snapshot) {
	p, own := &s.Plans[c.plan], g.own(c)*1000
	p.Customers += 1 / float64(c.n)
	p.DemandPerSecond += own
	use, step := 0.0, 0
	if rate := g.plans[c.plan].rate * 1000; rate > 0 {
		if use = own * float64(c.n) / rate; c.hot {
			use = g.total(c) * 1000 / rate
		}
	}
	for step < len(UtilizationBounds) && use > UtilizationBounds[step] {
		step++
	}
	p.DemandByUtilization[step] += own
	first, size := c.first, c.n
	if size == g.charter.n {
		first = 0 // all of them, wherever it begins
	}
	at := &s.known[(c.plan*g.charter.n+first)%len(s.known)]
	if i := int(*at) - 1; i >= 0 {
		if e := &s.Sets[i]; e.Size == size && e.FirstGateway == first && e.Plan == c.plan {
			e.DemandPerSecond += own
			return
		}
	}
	if len(s.Sets) == MaxSnapshotSets {
		s.OtherSetsDemandPerSecond += own
		return
	}
	// Where sets of two sizes begin at one place they may come twice: who reads them adds up.
	s.Sets = append(s.Sets, GatewaySetSnapshot{c.plan, first, size, own})
	*at = int16(len(s.Sets))
}

// Manner is what of the design a look ahead goes by, derived from a charter as the decisions derive it.
type ModelParameters struct {
	ReportIntervalMillis float64 // ms between reports
	SilentAfterMillis    float64 // ms of silence until a peer counts as unheard
	// ms until it is suspected, and after that during which its demand still counts
	LostAfterMillis, LostHoldMillis float64
	FloorFraction                   float64 // part of a rate that is kept as floors
	// answers' time over their SLA time, on average, above which the window shrinks
	LatencyTargetFraction float64
	// part of the window that txns of a plan (first) and product may fill
	WindowFraction [][]float64
	// submissions out of one gatekeeper at the least for each worker there is
	MinWindowPerWorker float64
	ImmediateReports   bool // small sets are told at once of what is sent on
	// by plan: news of a customer's whole store comes too late to go by
	QuotaUnseen []bool
	// by plan: letting in beyond a quota earns more than it costs
	AllowsExcess []bool
	// usual answers under which a try is declined; SLA times until one may return
	MinTimeLeftResponses, RetryAfterTargets float64
}

// MannerOf gives the manner of gatekeepers of a charter.
func ModelParametersOf(c Settings) ModelParameters {
	g := New(c, 0)
	m := ModelParameters{ReportIntervalMillis: g.charter.period, SilentAfterMillis: toldFor * g.charter.period,
		LostAfterMillis: suspicion, LostHoldMillis: hold,
		FloorFraction: beta, LatencyTargetFraction: slaUse * g.charter.slack, WindowFraction: g.depth,
		MinTimeLeftResponses: hopeless, RetryAfterTargets: adviseBusy,
		MinWindowPerWorker: leastDepth / math.Max(float64(g.charter.n), 1), ImmediateReports: g.charter.tellAt > 0}
	for i := range g.plans {
		m.QuotaUnseen, m.AllowsExcess = append(m.QuotaUnseen, g.plans[i].sparse), append(m.AllowsExcess,
			g.plans[i].excess)
	}
	return m
}

// Reserve is the ms of its peers' spending that a gatekeeper of a set keeps from the quota's one store.
func (m *ModelParameters) ReserveMillis(size int) float64 {
	if m.ImmediateReports && size <= promptAt {
		return soon
	}
	return hearsay * m.ReportIntervalMillis
}

// Told is the ms that a gatekeeper's last reports to those of a set speak of, on average: a period, and where
// they are told at once, what came in the next one too, which is cut short at any place.
func (m *ModelParameters) ReportSpanMillis(size int) float64 {
	if m.ImmediateReports && size <= promptAt {
		return 1.5 * m.ReportIntervalMillis
	}
	return m.ReportIntervalMillis
}

// LeastWindow is what a gatekeeper's window keeps at least, of so many warm workers.
func (m *ModelParameters) LeastWindow(able float64) float64 {
	return leastOf(m.MinWindowPerWorker * math.Max(able, 1))
}
