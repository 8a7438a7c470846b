package policy

import (
	"math"
	"slices"
)

// This file holds what a gatekeeper that was killed may know again of what fades: quotas, demand, and what
// peers said. Its ceilings are the residue's alone, and what was known of workers is not kept, as it does
// harm.

const (
	copyRows  = 128     // customers, or peers' reports, in a piece of a copy: some us of the host's lock
	copyMost  = 1 << 14 // customers in a copy; 2 MB as the host writes them
	dealtEach = 2000.0  // ms between looks at a customer that owes anything, at most; see internal/borrowing
	recallFor = 5000.0  // ms; by then a customer is cold again, and no demand is left to speak of

	// CopyEach is how long the host waits between copies, ms: what was spent since the last is not known.
	CheckpointIntervalMillis = 100.0
)

// Copy puts the next piece of what fades into e, from the place that the piece before has given, 0 at first,
// and gives the next place; 0 tells that the copy is whole. It changes nothing here, and once e has grown to
// what is known it allocates nothing. Customers beyond 16,384 are left out: they are as after any start.
func (g *Engine) Checkpoint(e *HandoffState, from int, now float64) int {
	if from == 0 || len(e.Peers) != len(g.peers) { // other gatekeepers than at its beginning: anew
		from, e.AtMillis, e.StartedAtMillis, e.NextReportAtMillis = 0, math.Max(now, g.now), g.started, g.nextTell
		if cap(e.Peers) < len(g.peers) {
			e.Peers = make([]PeerState, len(g.peers))
		}
		e.Customers, e.Peers, e.ShortDeadlineSuccess, e.AttemptMillis = e.Customers[:0], e.Peers[:len(g.peers)],
			e.ShortDeadlineSuccess[:0], e.AttemptMillis[:0]
		for i := range g.plans {
			e.ShortDeadlineSuccess, e.AttemptMillis = append(e.ShortDeadlineSuccess, g.plans[i].tight),
				append(e.AttemptMillis, g.plans[i].stay)
		}
	}
	rows := 0
	for ; from < len(g.peers) && rows < copyRows; from++ {
		p, to := &g.peers[from], &e.Peers[from]
		*to = PeerState{p.heard, p.told, p.owes, p.spoke, p.silent, p.gone, append(to.LastReports[:0], p.last...)}
		rows += 1 + len(p.last)
	}
	for at := from - len(g.peers); at >= 0 && at < len(g.accounts) && rows < copyRows; at++ {
		if from, rows = from+1, rows+1; g.accounts[at].live && len(e.Customers) < copyMost {
			e.Customers = append(e.Customers, g.accounts[at].leaves())
		}
	}
	if from < len(g.peers)+len(g.accounts) {
		return from
	}
	return 0
}

// leaves is what an account leaves to a successor.
func (c *account) leaves() CustomerState {
	return CustomerState{c.customer, c.plan, c.n, c.first, c.txns, c.out, c.holding, c.level, c.whole, c.filled,
		c.others, c.flow, c.held, c.heard, c.demand, c.lately, c.seen, c.coolSince, c.ceilingAt, c.unsaid, c.said,
		c.saidAt, c.known, c.hot, c.lag, c.dealt}
}

// Recollect takes a former life's copy, after Remember, and tells how many customers it goes by: none of a
// copy of another charter, or that is older than five seconds, and none while quotas go without words or a
// part is withheld. Customers whose txns have come meanwhile are let alone. Peers that know this for a new
// life drop what they were told in the last message (told): that is news to them again, while of all else
// what is left is known.
//
// What fades has faded by the copy's age. Stores have not filled since, unless there are no peers: what came
// in was theirs to give. What the former life may have spent after the copy is taken from them, by the demand
// that it saw, and a slice holds no more than that of one that knows nothing. So is what credit may have
// taken back after the copy: its book outlives a kill, and has that as paid.
func (g *Engine) RestoreCheckpoint(e HandoffState, told bool) (customers int) {
	age := g.now - e.AtMillis
	if len(e.Peers) != len(g.peers) || len(e.ShortDeadlineSuccess) != len(g.plans) ||
		len(e.AttemptMillis) != len(g.plans) ||
		!(age >= 0 && age <= recallFor) || g.signed.QuotaWithoutGossip ||
		slices.ContainsFunc(g.signed.Plans, func(p Plan) bool { return p.WithheldFraction > 0 }) {
		return 0
	}
	if e.StartedAtMillis <= e.AtMillis { // what it has seen of demand is as old as that
		g.started = math.Min(g.started, e.StartedAtMillis)
	}
	// its turn among the peers
	if e.NextReportAtMillis > e.AtMillis && e.NextReportAtMillis <= e.AtMillis+g.charter.period {
		turns := math.Max(math.Ceil((g.now-e.NextReportAtMillis)/g.charter.period), 0)
		g.nextTell = e.NextReportAtMillis + turns*g.charter.period
	}
	for i := range g.plans {
		if t, s := e.ShortDeadlineSuccess[i], e.AttemptMillis[i]; t >= 0 && t <= 1 && s >= 0 && s <= math.MaxInt32 {
			g.plans[i].tight, g.plans[i].stay = t, s
			g.plans[i].restate()
		}
	}
	var spoken []int
	for i, p := range e.Peers {
		if i == g.charter.me || !(p.HeardAtMillis <= e.AtMillis && p.ReportsHeardAtMillis <= e.AtMillis &&
			p.ReportedAtMillis <= e.AtMillis) {
			continue
		}
		if p.ReportDueSinceMillis > 0 { // what it said while there was nobody to hear it is not its silence
			p.ReportDueSinceMillis = g.now
		}
		last := slices.DeleteFunc(slices.Clone(p.LastReports), func(r Report) bool {
			return !(r.DemandPerSecond >= 0 && r.DemandPerSecond <= math.MaxInt32) || r.Plan < 0 ||
				r.Plan >= len(g.plans)
		})
		if g.peers[i].heard > 0 { // in this life
			spoken = append(spoken, i)
		}
		g.peers[i] = peer{p.HeardAtMillis, p.ReportedAtMillis, p.ReportDueSinceMillis, p.ReportsHeardAtMillis,
			p.Silent, p.Lost, last}
	}
	g.muted()
	// it may have told its peers after the copy
	said := e.NextReportAtMillis <= e.AtMillis+CheckpointIntervalMillis
	// from when on peers drop what was told: their last message's
	drop := math.Inf(1)
	if told {
		drop = e.NextReportAtMillis - g.charter.period - 1
	}
	for i := range e.Customers {
		if g.recall(&e.Customers[i], e.AtMillis, drop, said) {
			customers++
		}
	}
	for _, i := range spoken {
		if g.peers[i].silent {
			g.silence(i, false, false)
		}
	}
	return customers
}

// recall takes one customer of a copy, and tells whether it has.
func (g *Engine) recall(k *CustomerState, at, drop float64, said bool) bool {
	figures := [...]float64{k.ShareTokens, k.QuotaTokens, k.PeerDemand, k.PeerSpentUnits, k.SilentPeerDemand,
		k.OwnDemand, k.RecentDemand, k.UnreportedUnits, k.ReportedDemand,
		k.PreviousReportedDemand, k.UncollectedRepayment}
	for i, v := range figures {
		if !(math.Abs(v) <= math.MaxInt32) || v < 0 && i > 0 { // a slice may be overdrawn
			return false
		}
	}
	times := [...]float64{k.FilledAtMillis, k.PeerDemandAtMillis, k.LastRequestAtMillis, k.CoolSinceMillis,
		k.ReportedAtMillis, k.CreditAtMillis}
	for _, v := range times {
		if !(v >= 0 && v <= at) {
			return false
		}
	}
	if k.Plan < 0 || k.Plan >= len(g.plans) || k.SetSize < 0 || k.SetSize > g.charter.n || k.FirstGateway < 0 ||
		k.FirstGateway >= g.charter.n || k.SilentPeers < 0 || k.SilentPeers > g.charter.n {
		return false
	}
	ai, known := g.byKey[uint32(k.ID)]
	if known && (g.accounts[ai].n > 0 || g.accounts[ai].plan != k.Plan) || !known && k.SetSize == 0 &&
		g.heardOnly >= mostHeard {
		return false
	}
	if !known {
		ai = g.open(k.ID&math.MaxUint32, k.Plan)
		g.heardOnly++
	}
	c, p := &g.accounts[ai], &g.plans[k.Plan]
	if c.n, c.first = k.SetSize, k.FirstGateway; c.n > 0 {
		if g.heardOnly--; p.ceilRate > 0 { // what is not in the residue is as full as its base says
			c.ceilingAt = math.Max(c.ceilingAt, g.base+p.spentFor())
		}
	}
	dt := g.now - k.FilledAtMillis
	fade := math.Exp(-dt / p.memory)
	c.txns, c.hot, c.holding = max(k.Requests, 0), k.Hot, k.SilentPeers
	c.others, c.flow, c.held, c.heard = k.PeerDemand*fade, k.PeerSpentUnits*math.Exp(-dt/flowMemory),
		k.SilentPeerDemand, k.PeerDemandAtMillis
	c.demand, c.lately, c.seen, c.coolSince, c.filled = k.OwnDemand, k.RecentDemand, k.LastRequestAtMillis,
		k.CoolSinceMillis, g.now
	if k.ReportedAtMillis < drop {
		c.said, c.saidAt, c.known = k.ReportedDemand, k.ReportedAtMillis, k.PreviousReportedDemand
	}
	if !said {
		c.unsaid = k.UnreportedUnits
	}
	g.reshare(c)
	grew := at - k.FilledAtMillis // what came in while it was away was its peers' to give, if it has any
	if c.n == 1 {
		grew = dt
	}
	c.lag, c.dealt = k.UncollectedRepayment, k.CreditAtMillis
	unseen := k.OwnDemand * math.Exp((k.LastRequestAtMillis-at)/p.memory) * math.Min(g.now-at,
		CheckpointIntervalMillis)
	most := g.holds(p, c.share)
	if !g.sparse(c) { // never more than one has that knows nothing
		most = math.Min(most, math.Max(g.startLevel(c), 0))
	}
	c.level = less(math.Min(k.ShareTokens+grew*c.share, most), unseen)
	c.whole = less(math.Min(k.QuotaTokens+grew*p.rate, g.holds(p, p.rate)), unseen)
	if units := g.repaid(c, at); units > 0 { // as Repay does
		c.level = math.Max(c.level-units, -g.holds(p, p.rate))
		c.lag += units
		c.withhold()
	}
	return true
}

// repaid is what credit may have taken of a customer's fill after a copy of that time, units. Guards against
// a kill that undoes it.
func (g *Engine) repaid(c *account, at float64) float64 {
	span := at + CheckpointIntervalMillis - c.dealt
	if g.signed.Plans[c.plan].CreditSeconds <= 0 || c.n == 0 || span > dealtEach { // nothing was owed
		return 0
	}
	return g.fills(c) * span
}

// less is what is left of a store after so many units, or as little as there was.
func less(store, units float64) float64 { return math.Max(store-units, math.Min(store, 0)) }
