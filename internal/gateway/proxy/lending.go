package proxy

import (
	"strconv"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport/creditwire"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// CreditStore keeps the records of credit: what Keep has returned from outlives the process.
type CreditStore interface {
	// Now is a clock that goes on over restarts, ms.
	NowMillis() float64
	// Keep stores a record at its place.
	Store(place int, r *borrowing.Record)
	// Hear records a peer's message, and tells whether it is fresh.
	AcceptMessage(from int, id incarnation.MessageID) bool
	Close()
}

// lender is the book of credit with its store, under the dispatcher's lock.
type lender struct {
	accounts *borrowing.Lender
	store    CreditStore
	recorder history.Recorder // nil where no history is recorded
	plans    []string         // names, by plan
}

// Lend asks the book for units of credit; the policy calls it. Its entries are stored before the policy's
// next decision is executed.
func (l *lender) Lend(customer uint64, plan, first, n int, units float64) bool {
	l.accounts.Advance(l.store.NowMillis())
	return l.accounts.Lend(customer, plan, first, n, units) == borrowing.LoanGranted
}

// Refund returns a loan that was not used; the policy calls it.
func (l *lender) Refund(customer uint64, units float64) { l.accounts.Undo(customer, units) }

// EnableBorrowing has the policy borrow from a book from here on. Plans gives the plans' names for the
// recorder, which may be nil.
func (d *Dispatcher) EnableBorrowing(b *borrowing.Lender, s CreditStore, r history.Recorder, plans []string) {
	d.lockPolicy()
	d.stopLending()
	d.lender = &lender{accounts: b, store: s, recorder: r, plans: plans}
	b.RecordEvents(r != nil)
	b.Advance(s.NowMillis())
	d.policy.SetLender(d.lender)
	d.flushAndUnlock()
}

// stopLending closes the book, under the lock: nothing is lent from here on.
func (d *Dispatcher) stopLending() {
	if d.lender == nil {
		return
	}
	d.policy.SetLender(nil)
	d.flushLending()
	d.lender.store.Close()
	d.lender = nil
}

// ReceiveCredit takes a peer's message on credit.
func (d *Dispatcher) ReceiveCredit(peer int, id incarnation.MessageID, entries []borrowing.Entry) {
	d.lockPolicy()
	if l := d.lender; l != nil && l.store.AcceptMessage(peer, id) {
		l.accounts.Advance(l.store.NowMillis())
		l.accounts.Receive(peer, entries)
	}
	d.flushAndUnlock()
}

// CollectDue has the book collect what is due.
func (d *Dispatcher) CollectDue() {
	d.lockPolicy()
	if l := d.lender; l != nil {
		l.accounts.Advance(l.store.NowMillis())
	}
	d.flushAndUnlock()
}

// CreditFigures gives the book's figures; false where nothing is lent.
func (d *Dispatcher) CreditFigures() (borrowing.Figures, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lender == nil {
		return borrowing.Figures{}, false
	}
	return d.lender.accounts.Figures(), true
}

// CreditLines gives the plans' lines of credit as the book has them, and whether any plan lends.
func CreditLines(plans []policy.Plan) (lines []borrowing.Plan, lends bool) {
	for _, p := range plans {
		lines = append(lines, borrowing.Plan{LineUnits: p.CreditSeconds * p.QuotaPerSecond,
			RepayMillis: p.RepayWithinMillis})
		lends = lends || p.CreditSeconds > 0 && p.QuotaPerSecond > 0
	}
	return lines, lends
}

// applySettings has the book go by a charter that has changed in service.
func (l *lender) applySettings(c *policy.Settings) {
	lines, _ := CreditLines(c.Plans)
	l.accounts.Advance(l.store.NowMillis())
	l.accounts.SetInstances(max(c.GatewayCount, 1))
	l.accounts.SetPlans(lines)
}

// flushLending executes the book's decisions, under the lock. Records are stored before it returns;
// messages go out after the lock is released.
func (d *Dispatcher) flushLending() {
	l := d.lender
	for {
		v, ok := l.accounts.Next()
		if !ok {
			return
		}
		switch v.Action {
		case borrowing.ActionStore:
			l.store.Store(v.Slot, v.Record)
		case borrowing.ActionRecordEvent:
			l.recordEvent(v)
		case borrowing.ActionSend:
			for rest := v.Entries; len(rest) > 0; {
				var b []byte
				b, rest = creditwire.Append(nil, rest)
				inflight.Check(len(b) <= creditwire.MaxMessageBytes, inflight.DatagramFits)
				d.outbox.add(v.Peer, b)
			}
		case borrowing.ActionCollect:
			took, fill := d.policy.CollectRepayment(uint64(v.Customer), v.Plan, v.SetSize, v.RepayUnits,
				v.MaxUnits, v.SpanMillis)
			l.accounts.RecordPayment(v.Customer, took, fill)
		}
	}
}

// recordEvent records what the book did. Base is the form: sets and lines that differ have rights of their
// own.
func (l *lender) recordEvent(v borrowing.Decision) {
	kind, says := v.Event.HistoryKey()
	e := history.Event{Kind: history.Kind(kind), Says: says, Customer: uint64(v.Customer), Units: v.Units,
		Serial: v.Serial, Base: uint64(v.SetDigest)}
	if v.Plan < len(l.plans) {
		e.Plan = l.plans[v.Plan]
	}
	if v.Event.InvolvesPeer() {
		e.Peer = strconv.Itoa(v.Peer)
	}
	l.recorder.Write(e)
}
