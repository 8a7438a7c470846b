package policy

import "math"

// This file gives what a gatekeeper sees of halls, customers and its own room to those who look ahead. It
// decides nothing, and costs nothing but when it is asked.

// UseSteps are the bounds of a customer's use, demand over rate, that Sight counts demand by; the last step
// has all above the last bound.
var UseSteps = [...]float64{0.2, 0.4, 0.55, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10}

const (
	MostSets = 64  // of gatekeepers that Sight tells apart; beyond them it tells only how much is asked
	lookMost = 500 // customers that are looked at in one go; 0.1 ms
)

// Sight is what one gatekeeper sees at a moment. Demand is in units a second, times are in ms.
type Sight struct {
	Halls  []HallSight
	Plans  []PlanSight
	Sets   []SetSight // of customers that asked lately, those of MostSets sets
	Others float64    // demand of customers of other sets
	Window float64
	InHand int
	Press  float64 // smoothed time of answers, of their SLA time
	Silent int     // peers that owe a word, and are not given up yet
	Gone   int
	known  []int16 // by plan and first: one more than the place in Sets of the last one there
}

// HallSight is what it sees of the workers of one hall.
type HallSight struct {
	Workers int     // on the list, and taking txns
	Able    float64 // what they can do, in warm workers
	InHand  int     // submissions out at them
}

// PlanSight is what it sees of the customers of one plan.
type PlanSight struct {
	Customers float64                    `json:"Customers"` // its part of them: each counts as one over the gatekeepers of its set
	Demand    float64                    `json:"Demand"`
	Use       [len(UseSteps) + 1]float64 `json:"Use"` // demand here, by its customers' use at all gatekeepers
}

// SetSight is the demand here of a plan's customers that come through Size gatekeepers from First on.
type SetSight struct {
	Plan   int     `json:"Plan"`
	First  int     `json:"First"`
	Size   int     `json:"Size"`
	Demand float64 `json:"Demand"`
}

// Look writes what it sees over s, whose room is used again. It begins with from at nought and gives where it
// is to go on, nought at the end, so that nobody waits for long while it looks at many customers.
func (g *Gatekeeper) Look(s *Sight, from int) int {
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

func (g *Gatekeeper) lookAround(s *Sight) {
	*s = Sight{Halls: s.Halls[:0], Plans: s.Plans[:0], Sets: s.Sets[:0], Window: g.window, InHand: g.inHand,
		Press: g.press, known: s.known}
	for len(s.known) < len(g.plans)*g.charter.n {
		s.known = append(s.known, 0)
	}
	clear(s.known)
	for i := range g.workers {
		w := &g.workers[i]
		for len(s.Halls) <= w.Zone {
			s.Halls = append(s.Halls, HallSight{})
		}
		h := &s.Halls[w.Zone]
		if h.InHand += w.inFlight; w.listed {
			h.Workers++
			h.Able += g.warmth(w.Since)
		}
	}
	for i := range g.peers {
		if p := &g.peers[i]; p.gone {
			s.Gone++
		} else if p.silent {
			s.Silent++
		}
	}
	for range g.plans {
		s.Plans = append(s.Plans, PlanSight{})
	}
}

func (g *Gatekeeper) lookAt(c *account, s *Sight) {
	p, own := &s.Plans[c.plan], g.own(c)*1000
	p.Customers += 1 / float64(c.n)
	p.Demand += own
	use, step := 0.0, 0
	if rate := g.plans[c.plan].rate * 1000; rate > 0 {
		if use = own * float64(c.n) / rate; c.hot {
			use = g.total(c) * 1000 / rate
		}
	}
	for step < len(UseSteps) && use > UseSteps[step] {
		step++
	}
	p.Use[step] += own
	first, size := c.first, c.n
	if size == g.charter.n {
		first = 0 // all of them, wherever it begins
	}
	at := &s.known[(c.plan*g.charter.n+first)%len(s.known)]
	if i := int(*at) - 1; i >= 0 {
		if e := &s.Sets[i]; e.Size == size && e.First == first && e.Plan == c.plan {
			e.Demand += own
			return
		}
	}
	if len(s.Sets) == MostSets {
		s.Others += own
		return
	}
	// Where sets of two sizes begin at one place they may come twice: who reads them adds up.
	s.Sets = append(s.Sets, SetSight{c.plan, first, size, own})
	*at = int16(len(s.Sets))
}

// Manner is what of the design a look ahead goes by, derived from a charter as the decisions derive it.
type Manner struct {
	Period           float64     // ms between reports
	Unheard          float64     // ms of silence until a peer counts as unheard
	Suspicion, Hold  float64     // ms until it is suspected, and after that during which its demand still counts
	Floors           float64     // part of a rate that is kept as floors
	Target           float64     // answers' time over their SLA time, on average, above which the window shrinks
	Depth            [][]float64 // part of the window that txns of a plan (first) and product may fill
	Room             float64     // submissions out of one gatekeeper at the least for each worker there is
	Prompt           bool        // small sets are told at once of what is sent on
	Blind            []bool      // by plan: news of a customer's whole store comes too late to go by
	Beyond           []bool      // by plan: letting in beyond a quota earns more than it costs
	Hopeless, Advice float64     // usual answers under which a try is declined; SLA times until one may return
}

// MannerOf gives the manner of gatekeepers of a charter.
func MannerOf(c Charter) Manner {
	g := New(c, 0)
	m := Manner{Period: g.charter.period, Unheard: toldFor * g.charter.period, Suspicion: suspicion, Hold: hold,
		Floors: beta, Target: slaUse * g.charter.slack, Depth: g.depth, Hopeless: hopeless, Advice: adviseBusy,
		Room: leastDepth / math.Max(float64(g.charter.n), 1), Prompt: g.charter.tellAt > 0}
	for i := range g.plans {
		m.Blind, m.Beyond = append(m.Blind, g.plans[i].sparse), append(m.Beyond, g.plans[i].excess)
	}
	return m
}

// Reserve is the ms of its peers' spending that a gatekeeper of a set keeps from the quota's one store.
func (m *Manner) Reserve(size int) float64 {
	if m.Prompt && size <= promptAt {
		return soon
	}
	return hearsay * m.Period
}

// Told is the ms that a gatekeeper's last reports to those of a set speak of, on average: a period, and where
// they are told at once, what came in the next one too, which is cut short at any place.
func (m *Manner) Told(size int) float64 {
	if m.Prompt && size <= promptAt {
		return 1.5 * m.Period
	}
	return m.Period
}

// LeastWindow is what a gatekeeper's window keeps at least, of so many warm workers.
func (m *Manner) LeastWindow(able float64) float64 {
	return leastOf(m.Room * math.Max(able, 1))
}
