package borrowing

import (
	"math"
	"math/bits"
)

// SetInstances sets the number of instances.
func (l *Lender) SetInstances(instances int) { l.config.Instances = instances }

// Receive applies a peer's entries. Their counters only grow and only an increase over the largest received
// value is applied, so an entry that is lost, duplicated, late or out of order does no harm.
func (l *Lender) Receive(from int, entries []Entry) {
	for i := range entries {
		l.receiveEntry(from, &entries[i])
	}
}

// acceptEntry returns the slot of the account that an entry is about, and the bit of the peer's index in the
// set. It returns false for an entry that is invalid, of another set or line, or for which no slot is free.
func (l *Lender) acceptEntry(from int, e *Entry) (slot int32, bit uint64, ok bool) {
	plan, first, setSize := int(e.Plan), int(e.First), int(e.SetSize)
	if from == l.config.Instance || plan >= len(l.lineParts) || l.lineParts[plan] <= 0 || setSize < 2 ||
		setSize > maxSetSize || setSize > l.config.Instances || first >= l.config.Instances {
		l.totals.RejectedEntries++
		return 0, 0, false
	}
	digest, peerIndex := l.setDigest(plan, first, setSize), l.indexInSet(first, setSize, from)
	if uint16(digest) != e.SetDigest || peerIndex == maxSetSize ||
		l.indexInSet(first, setSize, l.config.Instance) == maxSetSize {
		l.totals.RejectedEntries++
		return 0, 0, false
	}
	slot = l.findSlot(e.Customer, plan, first, setSize)
	if slot < 0 {
		return 0, 0, false
	}
	a := &l.accounts[slot]
	if a.SetDigest != digest {
		if l.nowMillis-a.lastLoanMillis < localSetPrecedenceMillis { // recent local loans used another set or line
			l.totals.RejectedEntries++
			return 0, 0, false
		}
		l.changeSet(slot, plan, first, setSize, digest)
	}
	return slot, uint64(1) << peerIndex, true
}

// receiveEntry applies one entry.
func (l *Lender) receiveEntry(from int, e *Entry) {
	slot, bit, ok := l.acceptEntry(from, e)
	if !ok {
		return
	}
	a := &l.accounts[slot]
	p, nothingExchanged := l.pairWith(a, from), e.RightsGiven|e.DebtGiven|e.RightsReceived|e.DebtReceived == 0
	if p == nil && !nothingExchanged { // no pair is free; the peer retries until it is acknowledged
		return
	}
	if p != nil && (!nothingExchanged || e.IsQuery || e.FillPerSecond > 0 || e.SpareUnits > 0) {
		p.assign(from)
	}
	if a.Known && p != nil && p.Used && (e.RightsReceived > p.RightsGiven || e.DebtReceived > p.DebtGiven) {
		// The peer has received more than this instance has recorded as given. Its record is outdated, as after
		// a restore from a backup, and could lend rights that were given away.
		l.totals.AccountsReset++
		a.reset(l.newNonce())
		l.recordState(slot)
		l.setDirty(slot)
		l.activate(slot)
		p = l.pairWith(a, from)
		p.assign(from)
	}
	changed := false
	switch {
	case a.Known:
		changed = l.applyTransfers(slot, p, e)
	case nothingExchanged:
	case a.answeredMembers&bit != 0 || e.IsReply && e.Echo == a.nonce: // not an entry sent before the query
		changed = p.restore(e)
	}
	if p != nil && p.Used {
		p.rightsAcked, p.debtAcked = max(p.rightsAcked, e.RightsReceived), max(p.debtAcked, e.DebtReceived)
		p.fillPerMilli, p.receivedMillis, p.rightsKnown = e.FillPerSecond/1000, l.nowMillis, e.Known
		p.spareParts = e.SpareUnits * partsPerUnit
	}
	if changed {
		l.setDirty(slot)
		l.queueEntry(slot, from)
	}
	if !a.Known && e.IsReply && e.Echo == a.nonce {
		a.recordReply(bit, e.NoPriorDebt)
		l.determineRights(slot)
	}
	if e.IsQuery {
		l.receiveQuery(slot, from, bit, e)
	}
}

// recordReply marks the member with this bit as having answered this instance's query.
func (a *account) recordReply(bit uint64, noPriorDebt bool) {
	if a.answeredMembers |= bit; noPriorDebt {
		a.noPriorDebtMembers |= bit
	} else {
		a.noPriorDebtMembers &^= bit
	}
}

// receiveQuery schedules the reply to a query, and gives the peer rights if it requests some. Only a query is
// answered with rights, so that they don't go back and forth with every entry. bit is the peer's in the set.
func (l *Lender) receiveQuery(slot int32, from int, bit uint64, e *Entry) {
	a := &l.accounts[slot]
	a.replyMembers, a.echo = bit, e.Nonce    // a query that is replaced here is sent again by its peer
	if l.totals.QueriesReceived++; e.Known { // the peer requests rights or the refill rate here
		a.lastQueriedMillis = l.nowMillis
	}
	l.queueEntry(slot, from)
	l.activate(slot) // determines the refill here for the next reply
	if e.WantedParts > 0 && e.Known && a.Known {
		l.giveRights(slot, from, int64(min(e.WantedParts, math.MaxInt32)))
	}
}

// restore raises the counters to the peer's, and reports whether one was raised.
func (p *Pair) restore(e *Entry) (changed bool) {
	changed = e.RightsReceived > p.RightsGiven || e.DebtReceived > p.DebtGiven ||
		e.RightsGiven > p.RightsReceived || e.DebtGiven > p.DebtReceived
	p.RightsGiven, p.DebtGiven = max(p.RightsGiven, e.RightsReceived), max(p.DebtGiven, e.DebtReceived)
	p.RightsReceived, p.DebtReceived = max(p.RightsReceived, e.RightsGiven), max(p.DebtReceived, e.DebtGiven)
	return changed
}

// applyTransfers adds the rights and debts that a peer has given since its last entry to this account, and
// reports whether there were any.
func (l *Lender) applyTransfers(slot int32, p *Pair, e *Entry) (changed bool) {
	a := &l.accounts[slot]
	if p == nil || !p.Used {
		return false
	}
	if line := uint64(
		l.lineParts[a.Plan],
	); e.RightsGiven > p.RightsReceived+line ||
		e.DebtGiven > p.DebtReceived+line {
		l.totals.RejectedEntries++ // a peer can't give more than the line at once
		return false
	}
	if e.RightsGiven > p.RightsReceived {
		parts := int64(e.RightsGiven - p.RightsReceived)
		a.Rights, a.unansweredRequests = a.Rights+parts, 0
		p.RightsReceived, changed = e.RightsGiven, true
		l.totals.RightsReceived += float64(parts) / partsPerUnit
		l.recordEvent(EventRightsReceived, slot, int(p.Peer), parts, p.RightsReceived)
	}
	if e.DebtGiven > p.DebtReceived {
		parts, repayMillis := int64(e.DebtGiven-p.DebtReceived), l.config.Plans[a.Plan].RepayMillis
		a.addDebt(parts, l.nowMillis+math.Min(math.Max(e.DebtTimeLeft, 0), 1)*repayMillis, repayMillis/debtSlots)
		a.lastCollectedMillis = math.Max(a.lastCollectedMillis, l.nowMillis-processingIntervalMillis)
		p.DebtReceived, changed = e.DebtGiven, true
		l.recordEvent(EventDebtReceived, slot, int(p.Peer), parts, p.DebtReceived)
		l.activate(slot)
	}
	return changed
}

// giveRights gives rights to a peer that requests some. They are deducted here, and stored so, before the
// entry that gives them is sent.
func (l *Lender) giveRights(slot int32, to int, wantedParts int64) {
	a := &l.accounts[slot]
	available := a.Rights
	if l.wantsRights(a) {
		available = int64(float64(available) * retainedShare)
	}
	parts := min(max(wantedParts, int64(float64(available)*retainedShare)), available)
	p := l.pairWith(a, to)
	if parts <= 0 || p == nil {
		return
	}
	p.assign(to)
	a.Rights -= parts
	p.RightsGiven += uint64(parts)
	l.totals.RightsGiven += float64(parts) / partsPerUnit
	l.recordEvent(EventRightsGiven, slot, to, parts, p.RightsGiven)
	l.setDirty(slot)
	l.activate(slot)
	l.queueEntry(slot, to)
}

// mustQuery reports whether peers have to be queried to determine the rights of this instance.
func (l *Lender) mustQuery(a *account) bool {
	return !a.Known && (l.wantsRights(a) || l.nowMillis-a.lastQueriedMillis < rightsRequestTTLMillis)
}

// wantsRights reports whether rights are requested from peers: lately the rights here were too few for a
// loan, or for one more of its size.
func (l *Lender) wantsRights(a *account) bool {
	return a.wantedParts > 0 && l.nowMillis-a.wantedMillis < rightsRequestTTLMillis
}

// transferDebt transfers a part of a debt that the customer's refill at this instance can't repay in time.
// It goes to the peer with the largest refill that has acknowledged all earlier transfers: over a link that
// works in one direction only, a debt would be in transit until the link recovers.
func (l *Lender) transferDebt(slot int32) {
	a := &l.accounts[slot]
	pace, fill := a.requiredPace(l.nowMillis), a.fillPerMilli*debtTransferFillShare*partsPerUnit
	if pace <= fill || a.SetSize < 2 {
		return
	}
	best := l.bestDebtReceiver(a)
	if best == nil { // no suitable peer is known
		if l.nowMillis-a.lastRequestMillis >= resendMillis {
			a.lastRequestMillis = l.nowMillis
			a.queryMembers |= l.samplePeers(a)
			l.queueEntries(slot, a.queryMembers)
		}
		return
	}
	// The next processing pass transfers more if needed.
	parts := int64(float64(a.totalDebt()) * (1 - fill/pace) * retainedShare)
	if parts <= 0 {
		return
	}
	dueMillis := a.takeLatestDebt(parts)
	if best.DebtGiven == best.debtAcked {
		best.DueMillis = dueMillis
	}
	best.DueMillis = math.Min(best.DueMillis, dueMillis)
	best.DebtGiven += uint64(parts)
	l.totals.DebtGiven += float64(parts) / partsPerUnit
	l.recordEvent(EventDebtGiven, slot, int(best.Peer), parts, best.DebtGiven)
	l.setDirty(slot)
	l.queueEntry(slot, int(best.Peer))
}

// bestDebtReceiver returns the peer with the largest refill that exceeds the refill here, among those that
// have acknowledged all transfers; nil if none is known.
func (l *Lender) bestDebtReceiver(a *account) (best *Pair) {
	for i := range a.Pairs {
		p := &a.Pairs[i]
		known := p.Used && p.rightsKnown && l.nowMillis-p.receivedMillis < fillTTLMillis
		acknowledged := p.RightsGiven <= p.rightsAcked && p.DebtGiven <= p.debtAcked
		if known && acknowledged && p.fillPerMilli > a.fillPerMilli &&
			(best == nil || p.fillPerMilli > best.fillPerMilli) {
			best = p
		}
	}
	return best
}

// takeLatestDebt removes parts of the debts, the latest due first, and returns the earliest due time among
// the removed parts. The debts must sum to that many parts.
func (a *account) takeLatestDebt(parts int64) (dueMillis float64) {
	dueMillis = math.Inf(1)
	for left := parts; left > 0; {
		last := -1
		for i := range a.Debt {
			if a.Debt[i] > 0 && (last < 0 || a.DebtDueMillis[i] > a.DebtDueMillis[last]) {
				last = i
			}
		}
		amount := min(a.Debt[last], left)
		a.Debt[last] -= amount
		left -= amount
		dueMillis = math.Min(dueMillis, a.DebtDueMillis[last])
	}
	return dueMillis
}

// samplePeers returns the other members of a small set, or debtTransferFanout random ones of a large set.
func (l *Lender) samplePeers(a *account) (members uint64) {
	others := l.otherMembers(a)
	if bits.OnesCount64(others) <= debtTransferFanout {
		return others
	}
	for bits.OnesCount64(members) < debtTransferFanout {
		members |= others & (1 << l.rng.Intn(int(a.SetSize)))
	}
	return members
}

// likelyGivers returns the other members that are most likely to give rights, at most rightsRequestFanout:
// those that reported the most spare rights. A member without a recent report counts as having the wanted
// rights. If all have lately reported that they have none to spare, it returns a random member.
func (l *Lender) likelyGivers(a *account) (members uint64) {
	candidates := l.otherMembers(a)
	for range rightsRequestFanout {
		best, bestParts := -1, 0.0
		start := l.rng.Intn(int(a.SetSize)) // a random start, so that equal members are chosen at random
		for k := range int(a.SetSize) {
			index := (start + k) % int(a.SetSize)
			if candidates&(1<<index) == 0 {
				continue
			}
			spareParts := float64(a.wantedParts) // assumed if nothing is known
			if p := l.pairWith(a, (int(a.First)+index)%l.config.Instances); p != nil && p.Used &&
				int(p.Peer) == (int(a.First)+index)%l.config.Instances && l.nowMillis-p.receivedMillis < spareTTLMillis {
				spareParts = p.spareParts
			}
			if spareParts > bestParts {
				best, bestParts = index, spareParts
			}
		}
		if best < 0 {
			break
		}
		members |= 1 << best
		candidates &^= 1 << best
	}
	for members == 0 && candidates != 0 {
		members = candidates & (1 << l.rng.Intn(int(a.SetSize)))
	}
	return members
}

// queueEntry queues an entry for a peer, unless one is queued already or the queue is full.
func (l *Lender) queueEntry(slot int32, to int) {
	a := &l.accounts[slot]
	bit := uint64(1) << l.indexInSet(int(a.First), int(a.SetSize), to)
	if bit == 0 || a.queuedMembers&bit != 0 || len(l.pendingEntries) >= maxPendingEntries {
		return
	}
	a.queuedMembers |= bit
	l.pendingEntries = append(l.pendingEntries, pendingEntry{to, slot})
}

// queueEntries queues an entry for each of the members, given as bits by index in the set.
func (l *Lender) queueEntries(slot int32, members uint64) {
	a := &l.accounts[slot]
	for members != 0 {
		index := bits.TrailingZeros64(members)
		members &^= 1 << index
		l.queueEntry(slot, (int(a.First)+index)%l.config.Instances)
	}
}

// newEntry returns the entry for a peer, with the present state of the account, and clears the flags of the
// queued entry, query and reply.
func (l *Lender) newEntry(slot int32, to int) Entry {
	a := &l.accounts[slot]
	bit := uint64(1) << l.indexInSet(int(a.First), int(a.SetSize), to)
	e := Entry{
		Customer:    a.Customer,
		Plan:        a.Plan,
		SetSize:     a.SetSize,
		First:       a.First,
		SetDigest:   uint16(a.SetDigest),
		Known:       a.Known,
		NoPriorDebt: a.NoPriorDebt,
		Nonce:       a.nonce,
		Echo:        a.echo,
		IsQuery:     a.queryMembers&bit != 0,
		IsReply:     a.replyMembers&bit != 0,
	}
	a.queuedMembers, a.queryMembers, a.replyMembers = a.queuedMembers&^bit, a.queryMembers&^bit,
		a.replyMembers&^bit
	if a.lastCollectedMillis > 0 && l.nowMillis-a.lastCollectedMillis < fillTTLMillis {
		e.FillPerSecond = a.fillPerMilli * 1000
	}
	if a.Known && a.Rights > 0 && (!l.wantsRights(a) || a.Rights >= a.wantedParts) {
		e.SpareUnits = float64(a.Rights) / partsPerUnit
	}
	if l.wantsRights(a) && a.Known && a.Rights < a.wantedParts {
		e.WantedParts = uint64(a.wantedParts)
	}
	if p := l.pairWith(a, to); p != nil && p.Used {
		e.RightsGiven, e.DebtGiven = p.RightsGiven, p.DebtGiven
		e.RightsReceived, e.DebtReceived = p.RightsReceived, p.DebtReceived
		if p.DebtGiven > 0 {
			e.DebtTimeLeft = math.Min(math.Max((p.DueMillis-l.nowMillis)/l.config.Plans[a.Plan].RepayMillis, 0), 1)
		}
		p.sentMillis = l.nowMillis
	}
	return e
}
