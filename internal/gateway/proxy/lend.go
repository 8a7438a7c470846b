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

// Shelf keeps records of credit: what Keep has returned from outlives the process.
type Shelf interface {
	Now() float64 // ms of a clock that goes on over lives
	Keep(place int, r *borrowing.Record)
	Hear(from int, w incarnation.MessageID) bool // notes a peer's word, and tells whether it is news
	Close()
}

// lending is a desk's book of credit, under the desk's lock.
type lending struct {
	book     *borrowing.Book
	shelf    Shelf
	recorder history.Recorder
	plans    []string
}

// Lend asks the book; the module calls it. What follows is kept before the module's next decision is carried
// out.
func (l *lending) Lend(customer uint64, plan, first, n int, units float64) bool {
	l.book.Clock(l.shelf.Now())
	return l.book.Lend(customer, plan, first, n, units) == borrowing.Lent
}

// Undo gives a loan back that was not used.
func (l *lending) Undo(customer uint64, units float64) { l.book.Undo(customer, units) }

// Lends has the module borrow from a book that is kept on a shelf from here on. Plans gives their names, for
// the record, which may be nil.
func (d *Desk) Lends(b *borrowing.Book, s Shelf, r history.Recorder, plans []string) {
	d.enter()
	d.endLending()
	d.lending = &lending{book: b, shelf: s, recorder: r, plans: plans}
	b.Noting(r != nil)
	b.Clock(s.Now())
	d.gk.Borrow(d.lending)
	d.leave()
}

// endLending lets the book go, under the lock: nothing is lent from here on.
func (d *Desk) endLending() {
	if d.lending == nil {
		return
	}
	d.gk.Borrow(nil)
	d.settle()
	d.lending.shelf.Close()
	d.lending = nil
}

// Ledger takes a peer's words on credit.
func (d *Desk) Ledger(from int, w incarnation.MessageID, entries []borrowing.Entry) {
	d.enter()
	if l := d.lending; l != nil && l.shelf.Hear(from, w) {
		l.book.Clock(l.shelf.Now())
		l.book.Hear(from, entries)
	}
	d.leave()
}

// Due has the book look after what is owed, where anything is.
func (d *Desk) Due() {
	d.enter()
	if l := d.lending; l != nil {
		l.book.Clock(l.shelf.Now())
	}
	d.leave()
}

// Credit gives the book's figures; false where nothing is lent.
func (d *Desk) Credit() (borrowing.Figures, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lending == nil {
		return borrowing.Figures{}, false
	}
	return d.lending.book.Figures(), true
}

// Lines gives plans' lines of credit as the book has them, and whether any lends.
func Lines(plans []policy.Plan) (all []borrowing.Plan, any bool) {
	for _, p := range plans {
		all = append(all, borrowing.Plan{Line: p.Credit * p.Rate, Repay: p.Repay})
		any = any || p.Credit > 0 && p.Rate > 0
	}
	return all, any
}

// relend has the book go by a charter that has changed in service.
func (l *lending) relend(c *policy.Charter) {
	all, _ := Lines(c.Plans)
	l.book.Clock(l.shelf.Now())
	l.book.Resize(max(c.Gatekeepers, 1))
	l.book.Replan(all)
}

// settle pulls the book's decisions, under the lock. What is to be kept is kept before it returns; what is
// said goes out after the lock.
func (d *Desk) settle() {
	l := d.lending
	for {
		v, ok := l.book.Next()
		if !ok {
			return
		}
		switch v.Act {
		case borrowing.Store:
			l.shelf.Keep(v.Place, v.Record)
		case borrowing.Note:
			l.write(v)
		case borrowing.Tell:
			for rest := v.Entries; len(rest) > 0; {
				var b []byte
				b, rest = creditwire.Append(nil, rest)
				inflight.Check(len(b) <= creditwire.Limit, inflight.DatagramFits)
				d.speech = append(d.speech, speech{v.Peer, b})
			}
		case borrowing.Collect:
			took, fill := d.gk.Repay(uint64(v.Customer), v.Plan, v.N, v.Need, v.Most, v.Span)
			l.book.Paid(v.Customer, took, fill)
		}
	}
}

// write writes down what was done. Base is the form: sets and lines that differ have rights of their own.
func (l *lending) write(v borrowing.Decision) {
	kind, says := v.Event.Written()
	e := history.Event{Kind: history.Kind(kind), Says: says, Customer: uint64(v.Customer), Units: v.Units,
		Serial: v.Serial, Base: uint64(v.Form)}
	if v.Plan < len(l.plans) {
		e.Plan = l.plans[v.Plan]
	}
	if v.Event.Of() {
		e.Peer = strconv.Itoa(v.Peer)
	}
	l.recorder.Write(e)
}
