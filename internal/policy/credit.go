package policy

import "math"

const fullEnough = 0.5 // of a customer's stores; what is more may go to its credit while nothing has to

// This file holds what a gatekeeper lends a customer beyond its quota, and takes from its fill for it. What
// may be lent is another's to say; what is book-keeping of stores is here.

// Lender says whether a customer may have units now that it pays back later.
type Lender interface {
	// Lend draws units for a customer of a plan, whose set has n gatekeepers in a row from first on.
	Lend(customer uint64, plan, first, n int, units float64) bool
	// Undo gives back units of a loan that was not used.
	Refund(customer uint64, units float64)
}

// Borrow has a lender be asked where a quota alone would decline; nil asks nobody.
func (g *Engine) SetLender(from Lender) { g.lender = from }

// Pressed tells whether workers are too pressed for anything beyond a quota.
func (g *Engine) Congested() bool { return !g.spare() }

// borrow draws what a txn's quota lacks, and tells whether it may go on. While workers are pressed nobody
// borrows, as other customers would pay for it, nor while quotas go without words. A loan takes nothing from
// the quota's stores; its repayment does.
func (g *Engine) borrow(t *txn, c *account) bool {
	if g.lender == nil || g.signed.QuotaWithoutGossip || g.signed.Plans[t.plan].CreditSeconds <= 0 ||
		t.draws <= 0 || !g.spare() ||
		!g.lender.Lend(c.customer, t.plan, c.first, c.n, t.draws) {
		return false
	}
	t.lent, t.draws, c.dealt = t.draws, 0, g.now
	return true
}

// unlend gives a loan back whose txn was never submitted.
func (g *Engine) unlend(t *txn) {
	if t.lent > 0 && t.answered && len(t.subs) == 0 && g.lender != nil {
		g.lender.Refund(g.accounts[t.acct].customer, t.lent)
	}
	if t.answered {
		t.lent = 0
	}
}

// Repay takes units out of a customer's stores: those that are needed out of its fill here of a span of ms,
// and up to most of it where the stores are more than half full. It gives what was taken, and the fill, units
// a ms. A customer that is not known has been idle, and its stores run over.
func (g *Engine) CollectRepayment(customer uint64, plan, n int, need, most, span float64) (took,
	fill float64) {
	if plan < 0 || plan >= len(g.plans) || !(span > 0) {
		return 0, 0
	}
	ai, ok := g.byKey[uint32(customer)]
	if p := &g.plans[plan]; !ok || g.accounts[ai].n == 0 || p.rate <= 0 {
		fill = p.rate * alpha / float64(max(n, 1))
		return math.Max(math.Min(math.Max(need, most), fill*span), 0), fill
	}
	c := &g.accounts[ai]
	p := &g.plans[c.plan]
	g.fill(c)
	fill, c.dealt = g.fills(c), g.now
	took = math.Min(need, fill*span)
	over := c.level - fullEnough*g.startLevel(c)
	if !g.blind(c) {
		over = math.Min(over, c.whole-fullEnough*g.holds(p, p.rate))
	}
	took = math.Max(took, math.Min(math.Min(most, fill*span), over))
	if !(took > 0) {
		return 0, fill
	}
	c.level = math.Max(c.level-took, -g.holds(p, p.rate))
	c.lag += took
	c.withhold()
	if !g.blind(c) {
		c.unsaid += took
	}
	return took, fill
}

// fills is what of a customer's fill here may go to debts, units a ms.
func (g *Engine) fills(c *account) float64 {
	if g.sparse(c) {
		return g.credited(c)
	}
	if !c.hot || c.n == 1 { // what all its gatekeepers credit adds up to the rate
		return g.plans[c.plan].rate / float64(c.n)
	}
	return c.share
}

// withhold takes what was repaid from the quota's one store, as it fills. Guards against a store that has
// less than nothing: with what is spent next it has nothing, and what was taken of it would be there again.
func (c *account) withhold() {
	paid := math.Min(c.lag, math.Max(c.whole, 0))
	c.whole, c.lag = c.whole-paid, c.lag-paid
}
