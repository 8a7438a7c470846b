package borrowing

import "math"

// findSlot returns the slot of a customer's account. If there is none it creates one; it returns -1 where
// MaxAccounts are in use and none can be evicted.
func (l *Lender) findSlot(customer uint32, plan, first, setSize int) int32 {
	if slot, ok := l.slotOf[customer]; ok {
		return slot
	}
	var slot int32
	switch {
	case len(l.freeSlots) > 0:
		slot = l.freeSlots[len(l.freeSlots)-1]
		l.freeSlots = l.freeSlots[:len(l.freeSlots)-1]
	case len(l.accounts) < MaxAccounts:
		slot = int32(len(l.accounts))
		l.accounts = append(l.accounts, account{})
	default:
		if slot = l.evictSlot(); slot < 0 {
			return -1
		}
	}
	a := &l.accounts[slot]
	*a = account{
		Record: Record{
			Customer:    customer,
			Plan:        uint8(plan),
			SetSize:     uint8(setSize),
			First:       uint16(first),
			InUse:       true,
			SetDigest:   l.setDigest(plan, first, setSize),
			NoPriorDebt: l.nowMillis-l.completeSinceMillis >= l.config.Plans[plan].RepayMillis,
		},
		nonce:               l.newNonce(),
		lastCollectedMillis: l.nowMillis,
		lastLoanMillis:      math.Inf(-1),
		lastQueriedMillis:   math.Inf(-1),
	}
	l.slotOf[customer] = slot
	l.recordState(slot)
	l.setDirty(slot)
	return slot
}

// evictSlot evicts a pristine account without recent loan requests, and returns its slot. It examines a few
// accounts and returns -1 if none of them qualifies.
func (l *Lender) evictSlot() int32 {
	for range 16 {
		l.evictionCursor = (l.evictionCursor + 1) % int32(len(l.accounts))
		if a := &l.accounts[l.evictionCursor]; a.InUse && l.isPristine(a) &&
			l.nowMillis-a.lastLoanMillis > localSetPrecedenceMillis {
			delete(l.slotOf, a.Customer)
			return l.evictionCursor
		}
	}
	return -1
}

// isPristine reports whether the record has no information that a new one would not have: there is no debt,
// the rights are the whole share of the line (or undetermined, and no debt preceded the record), and nothing
// was exchanged with peers.
func (l *Lender) isPristine(a *account) bool {
	if a.active || a.totalDebt() != 0 || !a.Known && !a.NoPriorDebt ||
		a.Known && (a.PresumedDrawn != 0 || a.Rights != l.lineParts[a.Plan]/int64(max(a.SetSize, 1))) {
		return false
	}
	for i := range a.Pairs {
		if !a.Pairs[i].isZero() {
			return false
		}
	}
	return true
}

// changeSet resets an account for another set or line. Its debts stay. Its rights are unknown until all other
// members of the set have reported what they have given to this instance and received from it.
func (l *Lender) changeSet(slot int32, plan, first, setSize int, digest uint32) {
	a := &l.accounts[slot]
	a.Plan, a.First, a.SetSize, a.SetDigest = uint8(plan), uint16(first), uint8(setSize), digest
	a.NoPriorDebt = false
	a.reset(l.newNonce())
	l.recordState(slot)
	l.setDirty(slot)
	l.activate(slot)
}

// reset clears the rights, the transfer counters and the state of queries. It keeps the debts.
func (a *account) reset(nonce uint16) {
	a.Known, a.Rights, a.PresumedDrawn = false, 0, 0
	clear(a.Pairs[:])
	a.answeredMembers, a.noPriorDebtMembers, a.queryMembers, a.replyMembers = 0, 0, 0, 0
	a.nonce, a.lastRequestMillis = nonce, 0
}
