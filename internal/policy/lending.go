package policy

import (
	"math"
)

// This file lends customers units beyond their quota and collects repayments from their later quota. The
// Lender decides how much may be lent; this file updates the token stores.

// repaymentReserveFraction is the fraction of a customer's stores that repayments beyond the minimum due
// leave untouched. Only units above it are collected early.
const repaymentReserveFraction = 0.5

// Lender decides whether a customer may borrow units that it repays later.
type Lender interface {
	// Lend lends units to a customer of a plan, whose set is n consecutive gateways from first on, and reports
	// whether it did.
	Lend(customer uint64, plan, first, n int, units float64) bool
	// Refund returns the units of a loan that was not used.
	Refund(customer uint64, units float64)
}

// SetLender sets the lender that requests may borrow from if their quota alone would reject them; nil
// disables lending.
func (e *Engine) SetLender(from Lender) { e.lender = from }

// Congested reports whether there is no spare capacity for requests beyond a quota.
func (e *Engine) Congested() bool { return !e.hasSpareCapacity() }

// borrow borrows a request's quota units for its customer and reports whether the lender lent them. There
// are no loans without spare capacity, as they would be at the expense of other customers, nor while
// QuotaWithoutGossip is set. A loan takes nothing from the quota's stores; its repayment does.
func (e *Engine) borrow(request *requestState, account *customerAccount) bool {
	if e.lender == nil || e.settings.QuotaWithoutGossip || e.settings.Plans[request.plan].CreditSeconds <= 0 ||
		request.quotaUnits <= 0 || !e.hasSpareCapacity() ||
		!e.lender.Lend(account.id, request.plan, account.firstGateway, account.setSize, request.quotaUnits) {
		return false
	}
	request.borrowedUnits, request.quotaUnits, account.creditAt = request.quotaUnits, 0, e.now
	return true
}

// refundLoan returns a request's loan to the lender if the request has been answered without having been
// sent.
func (e *Engine) refundLoan(request *requestState) {
	if request.borrowedUnits > 0 && request.answered && len(request.attempts) == 0 && e.lender != nil {
		e.lender.Refund(e.accounts[request.accountIndex].id, request.borrowedUnits)
	}
	if request.answered {
		request.borrowedUnits = 0
	}
}

// CollectRepayment collects a repayment from a customer's stores, at most their refill at this gateway
// during spanMillis: minUnits in any case, and up to maxUnits as far as the stores are filled beyond
// repaymentReserveFraction. It returns the units collected and the rate of the refill, in units a ms. A
// customer without an account here has been idle, so its stores are full: it repays from the refill of its
// cold share.
func (e *Engine) CollectRepayment(customer uint64, planIndex, setSize int, minUnits, maxUnits,
	spanMillis float64) (collectedUnits,
	ratePerMilli float64) {
	if planIndex < 0 || planIndex >= len(e.plans) || !(spanMillis > 0) {
		return 0, 0
	}
	accountIndex, ok := e.accountByCustomer[uint32(customer)]
	if plan := &e.plans[planIndex]; !ok || e.accounts[accountIndex].setSize == 0 || plan.ratePerMilli <= 0 {
		ratePerMilli = plan.ratePerMilli * coldShareFraction / float64(max(setSize, 1))
		return math.Max(math.Min(math.Max(minUnits, maxUnits), ratePerMilli*spanMillis), 0), ratePerMilli
	}
	account := &e.accounts[accountIndex]
	plan := &e.plans[account.plan]
	e.refill(account)
	ratePerMilli, account.creditAt = e.repaymentRate(account), e.now
	collectedUnits = math.Min(minUnits, ratePerMilli*spanMillis)
	surplusUnits := account.shareTokens - repaymentReserveFraction*e.initialShareTokens(account)
	if !e.usesShareOnly(account) {
		surplusUnits = math.Min(surplusUnits, account.quotaTokens-repaymentReserveFraction*e.storeDepth(plan,
			plan.ratePerMilli))
	}
	collectedUnits = math.Max(collectedUnits, math.Min(math.Min(maxUnits, ratePerMilli*spanMillis),
		surplusUnits))
	if !(collectedUnits > 0) {
		return 0, ratePerMilli
	}
	account.shareTokens = math.Max(account.shareTokens-collectedUnits, -e.storeDepth(plan, plan.ratePerMilli))
	account.uncollectedUnits += collectedUnits
	account.collectFromQuota()
	if !e.usesShareOnly(account) {
		account.unreportedUnits += collectedUnits
	}
	return collectedUnits, ratePerMilli
}

// repaymentRate returns the rate of a customer's refill at this gateway that repayments may use, in units a
// ms.
func (e *Engine) repaymentRate(account *customerAccount) float64 {
	if e.isSparse(account) {
		return e.sparseRate(account)
	}
	// The even parts at all gateways add up to the quota's rate.
	if !account.hot || account.setSize == 1 {
		return e.plans[account.plan].ratePerMilli / float64(account.setSize)
	}
	return account.sharePerMilli
}

// collectFromQuota takes repaid units from the tokens of the whole quota, as far as there are any; the rest
// is taken after later refills. Guards against a store below 0: the next spending would set it to 0, which
// would undo a part of the repayment.
func (account *customerAccount) collectFromQuota() {
	paid := math.Min(account.uncollectedUnits, math.Max(account.quotaTokens, 0))
	account.quotaTokens, account.uncollectedUnits = account.quotaTokens-paid, account.uncollectedUnits-paid
}
