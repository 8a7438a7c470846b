package borrowing

import (
	"hash/fnv"
	"math"
	"math/bits"
	"math/rand"
)

// Lender has the accounts of one instance. It is not safe for concurrent use.
type Lender struct {
	config               Config
	rng                  *rand.Rand
	nowMillis            float64
	completeSinceMillis  float64 // a customer without an account has no debt here that was drawn after it
	nextProcessingMillis float64
	started              bool
	lineParts            []int64
	slotOf               map[uint32]int32
	accounts             []account
	freeSlots            []int32
	activeSlots          []int32
	activeCursor         int // index in activeSlots where the next processing pass begins
	dirtySlots           []int32
	eventsBeforeStore    []Decision // to be recorded before the accounts in dirtySlots are stored
	eventsAfterStore     []Decision // to be recorded after that
	messagesFullAtMillis float64    // GCRA state of the message rate limit: when its bucket is full again
	pendingEntries       []pendingEntry
	collectSlots         []int32
	entryBuffer          []Entry
	totals               Figures
	recordsEvents        bool
	evictionCursor       int32 // slot after which the next search for one to evict begins
}

// pendingEntry is an entry that waits to be sent.
type pendingEntry struct {
	peer int
	slot int32
}

// New returns a lender whose records are complete since completeSinceMillis, on the clock that Advance sets.
// Until the plan's repayment time has passed since then, a customer without a stored record may have an
// unrecorded debt, so this instance's share of the customer's line is presumed drawn.
func New(config Config, seed int64, completeSinceMillis float64) *Lender {
	l := &Lender{
		config:              config,
		rng:                 rand.New(rand.NewSource(seed)),
		completeSinceMillis: completeSinceMillis,
		slotOf:              map[uint32]int32{},
	}
	l.updateLines()
	return l
}

// updateLines computes the credit lines of the plans in parts.
func (l *Lender) updateLines() {
	l.lineParts = l.lineParts[:0]
	for _, p := range l.config.Plans {
		l.lineParts = append(l.lineParts, int64(p.LineUnits*partsPerUnit))
	}
}

// RecordEvents enables or disables ActionRecordEvent decisions. When enabled, they begin with the present
// balances of each account.
func (l *Lender) RecordEvents(on bool) {
	l.recordsEvents = on
	for i := range l.accounts {
		if l.accounts[i].InUse {
			l.recordState(int32(i))
		}
	}
}

// Advance sets the time for later calls, in ms. An earlier time than the present one has no effect.
func (l *Lender) Advance(nowMillis float64) {
	if !l.started {
		l.started, l.nextProcessingMillis = true, nowMillis
	}
	l.nowMillis = math.Max(l.nowMillis, nowMillis)
}

// Restore restores an account from a record that an earlier incarnation has stored. It is called in the order
// of the slots, before any loan or entry. A record that is invalid or out of order is ignored.
func (l *Lender) Restore(slot int, record Record) {
	if _, duplicate := l.slotOf[record.Customer]; duplicate || slot < len(l.accounts) || slot >= MaxAccounts ||
		!record.InUse ||
		int(record.Plan) >= len(l.lineParts) {
		return
	}
	for len(l.accounts) < slot {
		l.freeSlots = append(l.freeSlots, int32(len(l.accounts)))
		l.accounts = append(l.accounts, account{})
	}
	l.accounts = append(
		l.accounts,
		account{Record: record, nonce: l.newNonce(), lastCollectedMillis: l.nowMillis, lastLoanMillis: math.Inf(-1),
			lastQueriedMillis: math.Inf(-1)},
	)
	l.slotOf[record.Customer] = int32(slot)
	l.activate(int32(slot))
}

// newNonce returns a random nonce for queries; never 0.
func (l *Lender) newNonce() uint16 { return uint16(1 + l.rng.Intn(math.MaxUint16)) }

// SetPlans changes the credit lines of the plans while accounts exist. Debts stay. Where a line or repayment
// time has changed, each instance determines its rights anew: its share of the line in excess of its debt is
// presumed drawn until it is earned.
func (l *Lender) SetPlans(plans []Plan) {
	l.config.Plans = plans
	l.updateLines()
	for i := range l.accounts {
		if a := &l.accounts[i]; a.InUse {
			if int(a.Plan) >= len(plans) {
				continue
			}
			if digest := l.setDigest(int(a.Plan), int(a.First), int(a.SetSize)); digest != a.SetDigest {
				l.changeSet(int32(i), int(a.Plan), int(a.First), int(a.SetSize), digest)
			}
		}
	}
}

// setDigest returns a digest of everything that instances have to agree on before they exchange rights: the
// plan, its line and repayment time, and the set.
func (l *Lender) setDigest(plan, first, size int) uint32 {
	h := fnv.New32a()
	line, repay, instances := l.lineParts[plan], int64(l.config.Plans[plan].RepayMillis), 0
	if first+size > l.config.Instances { // the set wraps around, so its members depend on the instance count
		instances = l.config.Instances
	}
	_, _ = h.Write([]byte{
		byte(plan),
		byte(size),
		byte(first),
		byte(first >> 8),
		byte(instances),
		byte(instances >> 8),
		byte(
			line,
		),
		byte(line >> 8),
		byte(line >> 16),
		byte(line >> 24),
		byte(line >> 32),
		byte(repay),
		byte(repay >> 8),
		byte(repay >> 16),
	})
	return h.Sum32()
}

// Lend lends a customer units if this instance has rights to that many. The loan is stored once the caller
// has executed all decisions that Next returns; the units may not be used before.
func (l *Lender) Lend(customer uint64, plan, first, setSize int, units float64) LoanResult {
	result := l.lend(uint32(customer), plan, first, max(setSize, 1), units)
	if result != LoanGranted {
		l.totals.Denied[result]++
	}
	return result
}

// lend is Lend without the count of denials.
func (l *Lender) lend(customer uint32, plan, first, setSize int, units float64) LoanResult {
	switch {
	case plan < 0 || plan >= len(l.lineParts) || l.lineParts[plan] <= 0:
		return DeniedNoLine
	case setSize > maxSetSize:
		return DeniedSetTooLarge
	}
	slot := l.findSlot(customer, plan, first, setSize)
	if slot < 0 {
		return DeniedTableFull
	}
	a, parts := &l.accounts[slot], int64(math.Ceil(units*partsPerUnit-1e-6))
	a.lastLoanMillis = l.nowMillis
	if digest := l.setDigest(plan, first, setSize); a.SetDigest != digest {
		l.changeSet(slot, plan, first, setSize, digest)
	}
	if !a.Known && setSize == 1 {
		l.determineRights(slot)
	}
	if !a.Known || a.Rights < parts {
		a.wantedParts, a.wantedMillis = parts, l.nowMillis
		l.activate(slot)
		l.requestRights(slot)
		if !a.Known {
			return DeniedRightsUnknown
		}
		return DeniedNoRights
	}
	if a.Rights -= parts; !a.active {
		a.lastCollectedMillis = l.nowMillis // refill from before the loan does not repay it
	}
	a.addDebt(
		parts,
		l.nowMillis+l.config.Plans[plan].RepayMillis*repaymentDueShare,
		l.config.Plans[plan].RepayMillis/debtSlots,
	)
	l.totals.Lent += float64(parts) / partsPerUnit
	l.recordEvent(EventLent, slot, 0, parts, 0)
	l.setDirty(slot)
	l.activate(slot)
	if a.Rights < parts && setSize > 1 { // the next loan of this size would be denied
		a.wantedParts, a.wantedMillis = parts, l.nowMillis
		l.requestRights(slot)
	}
	return LoanGranted
}

// Undo cancels a loan whose units were not used.
func (l *Lender) Undo(customer uint64, units float64) {
	slot, ok := l.slotOf[uint32(customer)]
	if !ok {
		return
	}
	a, parts := &l.accounts[slot], int64(math.Ceil(units*partsPerUnit-1e-6))
	parts = a.cancelDebt(parts)
	if a.Known {
		a.Rights += parts
	}
	l.totals.Undone += float64(parts) / partsPerUnit
	l.recordEvent(EventUndone, slot, 0, parts, 0)
	l.setDirty(slot)
}

// RecordPayment reports the result of an ActionCollect: the units that were taken from the customer's refill,
// and its refill here in units per ms. The units repay debts first; the rest earns parts presumed drawn.
func (l *Lender) RecordPayment(customer uint32, units, fillPerMilli float64) {
	slot, ok := l.slotOf[customer]
	if !ok {
		return
	}
	a := &l.accounts[slot]
	a.fillPerMilli = fillPerMilli
	parts := int64(units*partsPerUnit + 1e-6)
	if parts <= 0 {
		return
	}
	overdue := a.overdue(l.nowMillis - (1-repaymentDueShare)*l.config.Plans[a.Plan].RepayMillis)
	paid := a.repay(parts)
	if paid > 0 {
		if a.Known {
			a.Rights += paid
		}
		l.totals.Repaid += float64(paid) / partsPerUnit
		l.totals.RepaidLate += float64(min(overdue, paid)) / partsPerUnit
		l.recordEvent(EventRepaid, slot, 0, paid, 0)
	}
	if earned := min(parts-paid, a.PresumedDrawn); earned > 0 && a.Known {
		a.PresumedDrawn -= earned
		a.Rights += earned
		l.totals.Earned += float64(earned) / partsPerUnit
		l.recordEvent(EventEarned, slot, 0, earned, 0)
	}
	l.setDirty(slot)
}

// determineRights computes this instance's rights once all other members of the set have answered. Its
// allotment is its share of the line plus the rights and debts received less those given. What the allotment
// has in excess of the debt here is presumed drawn; it is rights at once if no member had a prior debt of the
// customer and nothing was exchanged.
func (l *Lender) determineRights(slot int32) {
	a := &l.accounts[slot]
	others := l.otherMembers(a)
	if a.Known || a.answeredMembers&others != others {
		return
	}
	allotment, pristine := l.lineParts[a.Plan]/int64(
		a.SetSize,
	), a.NoPriorDebt && a.noPriorDebtMembers&others == others &&
		a.totalDebt() == 0
	for i := range a.Pairs {
		p := &a.Pairs[i]
		allotment += int64(p.RightsReceived+p.DebtReceived) - int64(p.RightsGiven+p.DebtGiven)
		pristine = pristine && p.isZero()
	}
	a.Known = true
	switch debt := a.totalDebt(); {
	case pristine:
		a.Rights = allotment
	case allotment > debt:
		a.PresumedDrawn = allotment - debt
	default:
		a.Rights = allotment - debt
	}
	l.recordState(slot)
	l.setDirty(slot)
	l.activate(slot)
}

// otherMembers returns the members of a customer's set but for this instance, as bits by index in the set.
func (l *Lender) otherMembers(a *account) uint64 {
	return (uint64(1)<<a.SetSize - 1) &^ (1 << l.indexInSet(int(a.First), int(a.SetSize), l.config.Instance))
}

// indexInSet returns an instance's index in a set, or maxSetSize if it is not a member.
func (l *Lender) indexInSet(first, setSize, instance int) uint {
	if index := (instance - first + l.config.Instances) % max(
		l.config.Instances,
		1,
	); index >= 0 &&
		index < setSize {
		return uint(index)
	}
	return maxSetSize
}

// pairWith returns the counters of the pair with a peer, or else unused ones, which may still have another
// peer's number until assign is called; nil if there are none.
func (l *Lender) pairWith(a *account, peer int) *Pair {
	var free *Pair
	for i := range a.Pairs {
		p := &a.Pairs[i]
		if p.Used && int(p.Peer) == peer {
			return p
		}
		if free == nil && (!p.Used || p.isZero() && l.nowMillis-p.receivedMillis > fillTTLMillis) {
			free = p
		}
	}
	return free
}

// assign clears the pair and assigns it to the peer, unless it already is the peer's.
func (p *Pair) assign(peer int) {
	if !p.Used || int(p.Peer) != peer {
		*p = Pair{Peer: uint16(peer), Used: true}
	}
}

// isZero reports whether no rights or debts have been exchanged.
func (p *Pair) isZero() bool { return p.RightsGiven|p.DebtGiven|p.RightsReceived|p.DebtReceived == 0 }

// setDirty marks an account to be stored.
func (l *Lender) setDirty(slot int32) {
	if a := &l.accounts[slot]; !a.dirty {
		a.dirty = true
		l.dirtySlots = append(l.dirtySlots, slot)
	}
}

// activate marks an account to be processed in each pass.
func (l *Lender) activate(slot int32) {
	if a := &l.accounts[slot]; !a.active {
		a.active = true
		l.activeSlots = append(l.activeSlots, slot)
	}
}

// recordEvent queues an event for the history, to be recorded before or after the account is stored (see
// Event). Totals and balances are recorded after it only if other events already are.
func (l *Lender) recordEvent(event Event, slot int32, peer int, parts int64, serial uint64) {
	if !l.recordsEvents {
		return
	}
	a := &l.accounts[slot]
	d := Decision{
		Action:    ActionRecordEvent,
		Event:     event,
		Customer:  a.Customer,
		Plan:      int(a.Plan),
		SetSize:   int(a.SetSize),
		Peer:      peer,
		Units:     float64(parts) / partsPerUnit,
		Serial:    serial,
		SetDigest: a.SetDigest,
	}
	if event == EventLent || event == EventDebtReceived ||
		event >= EventRightsBalance && len(l.eventsAfterStore) > 0 {
		l.eventsAfterStore = append(l.eventsAfterStore, d)
	} else {
		l.eventsBeforeStore = append(l.eventsBeforeStore, d)
	}
}

// recordState records a customer's debt, and if its rights are known also its other balances and the transfer
// totals with each other member of the set.
func (l *Lender) recordState(slot int32) {
	if !l.recordsEvents {
		return
	}
	a := &l.accounts[slot]
	known := uint64(0)
	if a.Known { // tells the reader that all totals and balances follow
		known = 1
	}
	l.recordEvent(EventRightsUnknown, slot, 0, 0, known)
	for others := l.otherMembers(a); a.Known && others != 0; others &= others - 1 {
		peer, p := (int(a.First)+bits.TrailingZeros64(others))%l.config.Instances, Pair{}
		if known := l.pairWith(a, peer); known != nil && known.Used && int(known.Peer) == peer {
			p = *known
		}
		l.recordEvent(EventRightsGivenTotal, slot, peer, 0, p.RightsGiven)
		l.recordEvent(EventRightsReceivedTotal, slot, peer, 0, p.RightsReceived)
		l.recordEvent(EventDebtGivenTotal, slot, peer, 0, p.DebtGiven)
		l.recordEvent(EventDebtReceivedTotal, slot, peer, 0, p.DebtReceived)
	}
	l.recordEvent(EventDebtBalance, slot, 0, a.totalDebt(), 0)
	if a.Known {
		l.recordEvent(EventPresumedDrawnBalance, slot, 0, a.PresumedDrawn, 0)
		l.recordEvent(EventRightsBalance, slot, 0, a.Rights, 0)
	}
}
