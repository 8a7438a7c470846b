package borrowing

import "math"

// processActive processes the active accounts, at most maxAccountsPerInterval of them, and deactivates those
// that need no more processing.
func (l *Lender) processActive() {
	for range min(len(l.activeSlots), maxAccountsPerInterval) {
		if l.activeCursor >= len(l.activeSlots) {
			l.activeCursor = 0
		}
		slot := l.activeSlots[l.activeCursor]
		a := &l.accounts[slot]
		if !l.needsProcessing(a) {
			a.active = false
			last := len(l.activeSlots) - 1
			l.activeSlots[l.activeCursor] = l.activeSlots[last]
			l.activeSlots = l.activeSlots[:last]
			continue
		}
		l.activeCursor++
		l.process(slot)
	}
}

// requestRights queries peers: if the rights here are not determined, all members of the set that have not
// answered yet; otherwise, if rights are wanted, a few that may give some.
func (l *Lender) requestRights(slot int32) {
	a := &l.accounts[slot]
	if !l.wantsRights(a) && !l.mustQuery(a) ||
		l.nowMillis-a.lastRequestMillis < resendMillis*float64(int(1)<<a.unansweredRequests) {
		return
	}
	a.lastRequestMillis = l.nowMillis
	switch {
	case !a.Known:
		a.queryMembers = l.otherMembers(a) &^ a.answeredMembers
	case a.Rights < a.wantedParts:
		a.queryMembers, a.unansweredRequests = l.likelyGivers(a), min(a.unansweredRequests+1, maxRequestDoublings)
	}
	l.queueEntries(slot, a.queryMembers)
}

// repaymentNeed returns how many units of the refill of spanMillis have to go to debts. While the customer
// requests loans that is 0, as long as MaxRepaymentShare of its later refill repays all debts in time.
func (l *Lender) repaymentNeed(a *account, spanMillis float64) float64 {
	pace := a.requiredPace(l.nowMillis)
	if l.nowMillis-a.lastLoanMillis < repaymentDeferralMillis &&
		pace < a.fillPerMilli*MaxRepaymentShare*partsPerUnit {
		return 0
	}
	return math.Min(pace*spanMillis, float64(a.totalDebt())) / partsPerUnit
}

// needsProcessing reports whether an account stays active: it has debt, parts presumed drawn, pending queries
// or replies, unacknowledged transfers, or a recent entry from a peer.
func (l *Lender) needsProcessing(a *account) bool {
	if !a.InUse || int(a.Plan) >= len(l.lineParts) {
		return false
	}
	if a.totalDebt() > 0 || a.Known && a.PresumedDrawn > 0 || l.wantsRights(a) || l.mustQuery(a) ||
		a.queryMembers|a.replyMembers != 0 {
		return true
	}
	for i := range a.Pairs {
		if p := &a.Pairs[i]; p.Used &&
			(p.RightsGiven > p.rightsAcked || p.DebtGiven > p.debtAcked ||
				l.nowMillis-p.receivedMillis < fillTTLMillis) {
			return true
		}
	}
	return false
}

// process schedules the collection, transfers, queries and retries of an active account.
func (l *Lender) process(slot int32) {
	a := &l.accounts[slot]
	if elapsedMillis := l.nowMillis - a.lastCollectedMillis; elapsedMillis >= earnIntervalMillis ||
		elapsedMillis >= processingIntervalMillis*(1-1e-9) && (a.totalDebt() > 0 || a.PresumedDrawn == 0) {
		l.collectSlots = append(l.collectSlots, slot)
	}
	if a.totalDebt() > 0 && a.Known {
		l.transferDebt(slot)
	}
	l.requestRights(slot)
	for i := range a.Pairs {
		if p := &a.Pairs[i]; p.Used && (p.RightsGiven > p.rightsAcked || p.DebtGiven > p.debtAcked) &&
			l.nowMillis-p.sentMillis >= resendMillis {
			l.queueEntry(slot, int(p.Peer))
		}
	}
}

// Next returns the next decision, or false if there is none. Records are stored before entries that depend on
// them are sent.
func (l *Lender) Next() (Decision, bool) {
	if len(l.eventsBeforeStore) > 0 {
		d := l.eventsBeforeStore[0]
		l.eventsBeforeStore = l.eventsBeforeStore[1:]
		return d, true
	}
	if n := len(l.dirtySlots); n > 0 {
		slot := l.dirtySlots[n-1]
		l.dirtySlots = l.dirtySlots[:n-1]
		l.accounts[slot].dirty = false
		return Decision{Action: ActionStore, Slot: int(slot), Record: &l.accounts[slot].Record}, true
	}
	if len(l.eventsAfterStore) > 0 {
		d := l.eventsAfterStore[0]
		l.eventsAfterStore = l.eventsAfterStore[1:]
		return d, true
	}
	if l.started && l.nowMillis >= l.nextProcessingMillis {
		l.nextProcessingMillis = l.nowMillis + processingIntervalMillis
		l.processActive()
		if len(l.dirtySlots)+len(l.eventsBeforeStore)+len(l.eventsAfterStore) > 0 {
			return l.Next()
		}
	}
	if len(l.pendingEntries) > 0 && l.allowMessage() {
		return l.nextMessage(), true
	}
	if len(l.collectSlots) > 0 {
		return l.nextCollection(), true
	}
	return Decision{}, false
}

// nextMessage returns the decision to send a message to the peer whose entry has waited longest, with as many
// of its pending entries as fit.
func (l *Lender) nextMessage() Decision {
	to, kept := l.pendingEntries[0].peer, l.pendingEntries[:0]
	l.entryBuffer = l.entryBuffer[:0]
	for _, pending := range l.pendingEntries {
		if pending.peer == to && len(l.entryBuffer) < maxEntriesPerMessage {
			l.entryBuffer = append(l.entryBuffer, l.newEntry(pending.slot, to))
		} else {
			kept = append(kept, pending)
		}
	}
	l.pendingEntries = kept
	return Decision{Action: ActionSend, Peer: to, Entries: l.entryBuffer}
}

// nextCollection returns the decision to collect repayments from the customer queued last.
func (l *Lender) nextCollection() Decision {
	last := len(l.collectSlots) - 1
	a := &l.accounts[l.collectSlots[last]]
	l.collectSlots = l.collectSlots[:last]
	spanMillis := math.Min(l.nowMillis-a.lastCollectedMillis, 2*earnIntervalMillis)
	a.lastCollectedMillis = l.nowMillis
	debt := float64(a.totalDebt())
	return Decision{
		Action:     ActionCollect,
		Customer:   a.Customer,
		Plan:       int(a.Plan),
		SetSize:    int(a.SetSize),
		SpanMillis: spanMillis,
		RepayUnits: l.repaymentNeed(a, spanMillis),
		MaxUnits:   (debt + float64(max(a.PresumedDrawn, 0))) / partsPerUnit,
	}
}

// allowMessage reports whether one more message is within the rate limit, and if so counts it. Entries that
// wait for the limit share a later message.
func (l *Lender) allowMessage() bool {
	rate := l.config.PeerMessagesPerSecond * messageRateShare / 1000
	if rate <= 0 {
		return true
	}
	if l.messagesFullAtMillis = math.Max(
		l.messagesFullAtMillis,
		l.nowMillis,
	); l.messagesFullAtMillis-l.nowMillis > (messageBurst-1)/rate {
		return false
	}
	l.messagesFullAtMillis += 1 / rate
	return true
}

// Busy reports whether there is work left, so that the caller has to call Advance and Next again within
// processingIntervalMillis.
func (l *Lender) Busy() bool { return len(l.activeSlots)+len(l.pendingEntries) > 0 }
