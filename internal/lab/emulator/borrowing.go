package emulator

import (
	"willowdeck/internal/borrowing"
	"willowdeck/internal/policy"
)

// repayIntervalMillis is how often an instance looks after what it owes, as the gateway's lifecycle does.
const repayIntervalMillis = 100.0

// lender is an instance's ledger of borrowing. Its records outlive incarnations.
type lender struct {
	g             *gatekeeper
	ledger        *borrowing.Lender
	records       map[int]borrowing.Record
	sequence      uint64
	peerSequences map[int]uint64
	timerSet      bool
}

// startLending gives an incarnation of the policy its ledger, as of a fleet that has run for long.
func (g *gatekeeper) startLending(engine *policy.Engine) {
	plans, lends := g.sim.scenario.creditLines()
	if !lends || g.sim.scenario.Policy != "willowdeck" {
		return
	}
	if g.lender == nil {
		g.lender = &lender{g: g, records: map[int]borrowing.Record{}, peerSequences: map[int]uint64{}}
	}
	l := g.lender
	l.ledger = borrowing.New(borrowing.Config{Instance: g.index, Instances: len(g.sim.gatekeepers), Plans: plans,
		PeerMessagesPerSecond: g.sim.scenario.Gatekeepers.PeerMessagesPerSecond}, g.seeds.Int63(), -1e9)
	l.ledger.Advance(g.sim.nowMillis)
	for place := range borrowing.MaxAccounts {
		if len(l.records) == 0 {
			break
		}
		if r, ok := l.records[place]; ok {
			l.ledger.Restore(place, r)
		}
	}
	l.timerSet = false
	engine.SetLender(l)
}

// Lend asks the ledger for a loan.
func (l *lender) Lend(customer uint64, plan, first, n int, units float64) bool {
	l.ledger.Advance(l.g.sim.nowMillis)
	return l.ledger.Lend(customer, plan, first, n, units) == borrowing.LoanGranted
}

// Refund returns a loan that was not used.
func (l *lender) Refund(customer uint64, units float64) { l.ledger.Undo(customer, units) }

// executeDecisions executes what the ledger decides.
func (l *lender) executeDecisions(engine *policy.Engine) {
	sim := l.g.sim
	l.ledger.Advance(sim.nowMillis)
	for {
		d, ok := l.ledger.Next()
		if !ok {
			break
		}
		switch d.Action {
		case borrowing.ActionStore:
			l.records[d.Slot] = *d.Record
		case borrowing.ActionSend:
			l.send(d)
		case borrowing.ActionCollect:
			took, fill := engine.CollectRepayment(uint64(d.Customer), d.Plan, d.SetSize, d.RepayUnits, d.MaxUnits,
				d.SpanMillis)
			l.ledger.RecordPayment(d.Customer, took, fill)
		}
	}
	if l.ledger.Busy() && !l.timerSet {
		l.timerSet = true
		life := l.g.incarnation
		sim.schedule(repayIntervalMillis, func() {
			if l.g.incarnation == life {
				l.timerSet = false
				l.g.input(func(decider) {})
			}
		})
	}
}

// send sends a message of borrowing to a peer. The peer drops one that a later one has overtaken.
func (l *lender) send(d borrowing.Decision) {
	sim, g := l.g.sim, l.g
	sim.result.BorrowingMessages++
	l.sequence++
	to, entries, sequence, from := sim.gatekeepers[d.Peer], append([]borrowing.Entry(nil), d.Entries...),
		l.sequence, g.index
	lost := sim.networkRand.Float64() < sim.scenario.Network.PeerLoss
	if delayMillis := sim.drawDelay(sim.scenario.Network.PeerMillis); !lost && !g.isolated && !to.isolated {
		sim.schedule(delayMillis, func() {
			to.input(func(decider) {
				if to.lender != nil && sequence > to.lender.peerSequences[from] {
					to.lender.peerSequences[from] = sequence
					to.lender.ledger.Advance(sim.nowMillis)
					to.lender.ledger.Receive(from, entries)
				}
			})
		})
	}
}

// sumBorrowing adds the ledgers' figures of the present incarnations to the result.
func (sim *simulation) sumBorrowing() {
	for _, g := range sim.gatekeepers {
		if g.lender != nil {
			figures := g.lender.ledger.Figures()
			sim.result.BorrowedUnits += figures.Lent - figures.Undone
			sim.result.LateRepaidUnits += figures.RepaidLate
		}
	}
}
