package emulator

import (
	"willowdeck/internal/borrowing"
	"willowdeck/internal/policy"
)

// lendEach is how often a gatekeeper looks after what is owed, ms, as lifecycle has it.
const lendEach = 100.0

// lender is a gatekeeper's book of credit. What it has kept outlives its lives.
type lender struct {
	g     *gatekeeper
	book  *borrowing.Book
	kept  map[int]borrowing.Record
	said  uint64
	heard map[int]uint64
	looks bool
}

// lines are the plans' lines of credit, and whether any lends.
func (s *Scenario) lines() (all []borrowing.Plan, any bool) {
	for _, p := range s.Plans {
		all = append(all, borrowing.Plan{Line: p.Credit * p.Rate, Repay: p.Repay * 1000})
		any = any || p.Credit > 0
	}
	return all, any
}

// lend has a life of the module borrow. Books are of a fleet that has run for long.
func (g *gatekeeper) lend(m *policy.Engine) {
	plans, any := g.w.s.lines()
	if !any || g.w.s.Policy != "willowdeck" {
		return
	}
	if g.lender == nil {
		g.lender = &lender{g: g, kept: map[int]borrowing.Record{}, heard: map[int]uint64{}}
	}
	l := g.lender
	l.book = borrowing.New(borrowing.Terms{Me: g.num, Gatekeepers: len(g.w.gks), Plans: plans,
		PeerInPerS: g.w.s.Gatekeepers.PeerInPerS}, g.source.Int63(), -1e9)
	l.book.Clock(g.w.now)
	for place := range borrowing.Places {
		if len(l.kept) == 0 {
			break
		}
		if r, ok := l.kept[place]; ok {
			l.book.Restore(place, r)
		}
	}
	l.looks = false
	m.SetLender(l)
}

// Lend asks the book.
func (l *lender) Lend(customer uint64, plan, first, n int, units float64) bool {
	l.book.Clock(l.g.w.now)
	return l.book.Lend(customer, plan, first, n, units) == borrowing.Lent
}

// Undo gives a loan back that was not used.
func (l *lender) Refund(customer uint64, units float64) { l.book.Undo(customer, units) }

// settle carries out what the book decides.
func (l *lender) settle(m *policy.Engine) {
	w := l.g.w
	l.book.Clock(w.now)
	for {
		d, ok := l.book.Next()
		if !ok {
			break
		}
		switch d.Act {
		case borrowing.Store:
			l.kept[d.Place] = *d.Record
		case borrowing.Tell:
			l.tell(d)
		case borrowing.Collect:
			took, fill := m.CollectRepayment(uint64(d.Customer), d.Plan, d.N, d.Need, d.Most, d.Span)
			l.book.Paid(d.Customer, took, fill)
		}
	}
	if l.book.Busy() && !l.looks {
		l.looks = true
		life := l.g.life
		w.in(lendEach, func() {
			if l.g.life == life {
				l.looks = false
				l.g.input(func(brain) {})
			}
		})
	}
}

// tell sends a message of credit to a peer, if it gets there. One that was passed by a later one is dropped.
func (l *lender) tell(d borrowing.Decision) {
	w, g := l.g.w, l.g
	w.res.CreditMessages++
	l.said++
	to, entries, said, from := w.gks[d.Peer], append([]borrowing.Entry(nil), d.Entries...), l.said, g.num
	lost := w.net.Float64() < w.s.Network.PeerLoss
	if delay := w.draw(w.s.Network.PeerMS); !lost && !g.cut && !to.cut {
		w.in(delay, func() {
			to.input(func(brain) {
				if to.lender != nil && said > to.lender.heard[from] {
					to.lender.heard[from] = said
					to.lender.book.Clock(w.now)
					to.lender.book.Hear(from, entries)
				}
			})
		})
	}
}

// lent sums what books have lent, over their present lives.
func (w *world) lent() {
	for _, g := range w.gks {
		if g.lender != nil {
			f := g.lender.book.Figures()
			w.res.Lent += f.Lent - f.Undone
			w.res.RepaidLate += f.Late
		}
	}
}
