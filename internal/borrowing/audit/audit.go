// Package audit checks credit from records of what gatekeepers did, after the fact. It keeps accounts of its
// own from single events, and knows nothing of how a book decides.
package audit

import (
	"fmt"
	"math"

	"willowdeck/internal/testkit/history"
)

// Line is a customer's line, in units, and within how many ms a loan is paid back.
type CreditLine struct{ Units, RepayMillis float64 }

// Audited is what Check finds.
type Report struct {
	Violations                       []string // the first ones
	ViolationCount, Events           int
	PeakDrawnShare                   float64 // part of its line that a customer had outstanding at once
	Lent, Repaid, Earned, RepaidLate float64
	DebtMoved, RightsMoved           float64 // debts and rights that came from another
	DebtForgotten                    float64 // debts that a life did not know any more
	LongestTransitMillis             float64 // ms that a debt was on its way, at the longest
}

const (
	unitTolerance = 0.01 // units by which sums may be off: each amount is rounded to a thousandth
	maxViolations = 20
)

// loan is a part of a debt, and when it was drawn.
type loan struct {
	drawnNanos int64
	units      float64
	sentNanos  int64 // of one on its way: when it was handed on
}

// between is one way between two gatekeepers, of one form of a set.
type direction struct {
	from, to  string
	setDigest uint64
}

// account is a customer's.
type account struct {
	rights, presumedDrawn       map[string]float64
	debt                        map[string][]loan
	rightsGiven, rightsReceived map[direction]uint64 // rights, in thousandths
	debtGiven, debtReceived     map[direction]uint64 // and debts
	inTransit                   map[direction][]loan
	unknown                     map[direction]bool // who does not know what it holds
	determining                 string             // who is about to say what it has found out that it holds
	setDigest                   map[string]uint64  // that each goes by
	outstanding                 float64            // drawn, and neither paid back nor earned
	line                        float64            // the largest so far
}

type auditor struct {
	Report
	line        func(history.Event) CreditLine
	instanceOf  func(who string) string
	slackMillis float64
	accounts    map[uint64]*account
	graceNanos  map[string]int64
}

// Check goes over a record. number gives what peers call a gatekeeper, line the line of an event's customer,
// and slack is the ms by which a repayment may be late; while a gatekeeper was gone or stood still nothing
// of it is, nor for a time of repayment after it.
//
//   - a gatekeeper draws no more than it has a right to, and pays back no more than it owes: each unit once;
//   - it takes no right, and no debt, that was not handed to it, and each once. Serial counts all that was
//     ever handed, so that what was lost comes with the next;
//   - what was drawn and is neither paid back nor earned, what may yet be drawn, and rights on their way come
//     to no more than the line. Where a line is lowered that holds for the former one until what was drawn by
//     it is paid;
//   - each loan is paid back in time, the oldest first, wherever its debt has gone. While that is on its way
//     nobody can, and the time stands still: Held says for how long at the most;
//   - who starts again knows all that it owed (Forgotten counts what it does not).
func Check(record history.Record, line func(history.Event) CreditLine, instanceOf func(who string) string,
	slackMillis float64) Report {
	a := &auditor{line: line, instanceOf: instanceOf, slackMillis: slackMillis, accounts: map[uint64]*account{},
		graceNanos: map[string]int64{}}
	for _, e := range record.Events {
		switch e.Kind {
		case history.Began:
			a.graceNanos[instanceOf(e.Who)] = e.At
		case history.Wakes:
			a.graceNanos[instanceOf(e.Peer)] = e.At
		case history.Lends, history.Repays, history.Hands, history.Takes, history.Holds:
			a.apply(e)
		}
	}
	return a.Report
}

func (a *auditor) apply(e history.Event) {
	a.Events++
	c := a.accounts[e.Customer]
	if c == nil {
		c = &account{
			rights:         map[string]float64{},
			presumedDrawn:  map[string]float64{},
			debt:           map[string][]loan{},
			rightsGiven:    map[direction]uint64{},
			rightsReceived: map[direction]uint64{},
			debtGiven:      map[direction]uint64{},
			debtReceived:   map[direction]uint64{},
			inTransit:      map[direction][]loan{},
			unknown:        map[direction]bool{},
			setDigest:      map[string]uint64{},
		}
		a.accounts[e.Customer] = c
	}
	instance := a.instanceOf(e.Who)
	c.setDigest[instance] = e.Base
	to, from := direction{instance, e.Peer, e.Base}, direction{e.Peer, instance, e.Base}
	switch e.Kind {
	case history.Lends:
		if c.rights[instance] < e.Units-unitTolerance {
			a.violation(e, "lends with a right to %.3f", c.rights[instance])
		}
		c.rights[instance] -= e.Units
		c.debt[instance] = append(c.debt[instance], loan{drawnNanos: e.At, units: e.Units})
		c.outstanding += e.Units
		a.Lent += e.Units
	case history.Repays:
		a.applyRepaid(c, instance, e)
	case history.Hands:
		a.applyGiven(c, instance, to, e)
	case history.Takes:
		a.applyReceived(c, instance, from, e)
	case history.Holds:
		a.applyHolding(c, instance, to, from, e)
	}
	line := a.line(e)
	c.line = math.Max(c.line, line.Units)
	sum := c.outstanding
	for _, u := range c.rights {
		sum += math.Max(u, 0)
	}
	for b, gave := range c.rightsGiven {
		// Who does not know what it gave or got will be told; who is of another form takes nothing.
		if got := c.rightsReceived[b]; gave > got && !c.unknown[direction{b.from, "", b.setDigest}] &&
			!c.unknown[direction{b.to, "", b.setDigest}] && c.setDigest[b.to] == b.setDigest {
			sum += float64(gave-got) / 1000
		}
	}
	if sum > c.line+unitTolerance*float64(1+len(c.rights)) {
		a.violation(
			e,
			"%.3f is outstanding, and with what may be drawn %.3f, of a line of %.3f",
			c.outstanding,
			sum,
			c.line,
		)
	}
	if c.line > 0 {
		owed := 0.0
		for _, all := range c.debt {
			for _, o := range all {
				owed += o.units
			}
		}
		a.PeakDrawnShare = math.Max(a.PeakDrawnShare, owed/c.line)
	}
}

func (a *auditor) applyRepaid(c *account, instance string, e history.Event) {
	switch e.Says {
	case "earned":
		if c.presumedDrawn[instance] < e.Units-unitTolerance {
			a.violation(e, "earns %.3f of %.3f", e.Units, c.presumedDrawn[instance])
		}
		c.presumedDrawn[instance] -= e.Units
		a.Earned += e.Units
	case "undone":
		a.repay(c, instance, e, false)
	default:
		a.repay(c, instance, e, true)
		a.Repaid += e.Units
	}
	c.rights[instance] += e.Units
	c.outstanding -= e.Units
}

// pay takes units off what is owed: the oldest first, or, of a loan that was not used, the newest.
func (a *auditor) repay(c *account, instance string, e history.Event, oldest bool) {
	left := e.Units
	for left > unitTolerance/10 && len(c.debt[instance]) > 0 {
		all := c.debt[instance]
		i := 0
		if !oldest {
			i = len(all) - 1
		}
		part := math.Min(left, all[i].units)
		due := max(all[i].drawnNanos, a.graceNanos[instance]) + int64((a.line(e).RepayMillis+a.slackMillis)*1e6)
		if oldest && e.At > due && part > unitTolerance {
			a.RepaidLate += part
			a.violation(e, "pays %.3f back %.0f ms late", part, float64(e.At-due)/1e6)
		}
		left -= part
		if all[i].units -= part; all[i].units <= unitTolerance/10 {
			c.debt[instance] = append(all[:i], all[i+1:]...)
		}
	}
	if left > unitTolerance {
		a.violation(e, "pays %.3f back that it does not owe", left)
	}
}

func (a *auditor) applyGiven(c *account, instance string, to direction, e history.Event) {
	if e.Says != "debt" {
		if c.rights[instance] < e.Units-unitTolerance {
			a.violation(e, "hands on %.3f with a right to %.3f", e.Units, c.rights[instance])
		}
		c.rights[instance] -= e.Units
		c.rightsGiven[to] = e.Serial
		return
	}
	c.debtGiven[to] = e.Serial
	if left := c.startTransit(instance, to, e, a.graceNanos[instance]); left > unitTolerance {
		a.violation(e, "hands on a debt of %.3f that it does not owe", left)
	}
}

// move has debts be on their way, the newest first: the others are due earlier. What the giver had time for
// from a moment on whoever takes it has as well. It gives what there was not.
func (c *account) startTransit(instance string, to direction, e history.Event, graceNanos int64) float64 {
	left := e.Units
	for left > unitTolerance/10 && len(c.debt[instance]) > 0 {
		last := len(c.debt[instance]) - 1
		newest := &c.debt[instance][last]
		part := math.Min(left, newest.units)
		c.inTransit[to] = append(c.inTransit[to], loan{max(newest.drawnNanos, graceNanos), part, e.At})
		left -= part
		if newest.units -= part; newest.units <= unitTolerance/10 {
			c.debt[instance] = c.debt[instance][:last]
		}
	}
	return left
}

// arrive has debts that were on their way be owed. It gives what there was not, and ns for which what there
// was had been on its way.
func (c *account) endTransit(
	instance string,
	from direction,
	atNanos int64,
	units float64,
) (left float64, transitNanos int64) {
	left = units
	for left > unitTolerance/10 && len(c.inTransit[from]) > 0 {
		first := &c.inTransit[from][0]
		part := math.Min(left, first.units)
		stood := max(atNanos-first.sentNanos, 0)
		c.addLoan(instance, loan{drawnNanos: first.drawnNanos + stood, units: part})
		transitNanos = max(transitNanos, stood)
		left -= part
		if first.units -= part; first.units <= unitTolerance/10 {
			c.inTransit[from] = c.inTransit[from][1:]
		}
	}
	return left, transitNanos
}

func (a *auditor) applyReceived(c *account, instance string, from direction, e history.Event) {
	if e.Says != "debt" {
		a.checkReceived(e, "right", from, c.rightsReceived, c.rightsGiven)
		c.rights[instance] += e.Units
		a.RightsMoved += e.Units
		return
	}
	a.checkReceived(e, "debt", from, c.debtReceived, c.debtGiven)
	a.DebtMoved += e.Units
	left, transitNanos := c.endTransit(instance, from, e.At, e.Units)
	a.LongestTransitMillis = math.Max(a.LongestTransitMillis, float64(transitNanos)/1e6)
	if left > 0 { // of one that has lost its book
		c.addLoan(instance, loan{drawnNanos: e.At, units: left})
	}
}

// comes books that what was handed on has been taken, once and no more of it than was.
func (a *auditor) checkReceived(
	e history.Event,
	what string,
	from direction,
	received, given map[direction]uint64,
) {
	switch {
	case e.Serial <= received[from]:
		a.violation(e, "takes a %s again", what)
	case e.Serial > given[from]:
		a.violation(e, "takes a %s of %.3f units in all, of %.3f that were handed on", what, float64(e.Serial)/1000,
			float64(given[from])/1000)
	}
	received[from] = e.Serial
}

// owe adds a loan by its time.
func (c *account) addLoan(instance string, added loan) {
	all := append(c.debt[instance], added)
	for i := len(all) - 1; i > 0 && all[i].drawnNanos < all[i-1].drawnNanos; i-- {
		all[i], all[i-1] = all[i-1], all[i]
	}
	c.debt[instance] = all
}

// holds takes what a gatekeeper says that it holds: as it starts, or as it finds out.
func (a *auditor) applyHolding(c *account, instance string, to, from direction, e history.Event) {
	switch e.Says {
	case "":
		c.rights[instance], c.unknown[direction{instance, "", e.Base}], c.determining = e.Units, false, ""
	case "none":
		if e.Serial > 0 && c.unknown[direction{instance, "", e.Base}] { // what it finds out now is not what it had
			c.presumedDrawn[instance], c.determining = 0, instance
			for b := range c.rightsGiven {
				if b.from == instance && b.setDigest == e.Base {
					c.rightsGiven[b], c.debtGiven[b] = 0, 0
				}
			}
			for b := range c.rightsReceived {
				if b.to == instance && b.setDigest == e.Base {
					c.rightsReceived[b], c.debtReceived[b] = 0, 0
				}
			}
		}
		c.rights[instance], c.unknown[direction{instance, "", e.Base}] = 0, true
	case "earn":
		// A payment that was not kept is made again.
		if more := e.Units - c.presumedDrawn[instance]; more > unitTolerance && c.presumedDrawn[instance] > 0 {
			c.outstanding += more
		}
		c.presumedDrawn[instance] = e.Units
	case "gave":
		c.rightsGiven[to] = e.Serial
	case "got":
		c.rightsReceived[from] = e.Serial
	case "gave debt": // of what was not kept nothing was said: it is owed here
		for back := float64(c.debtGiven[to]) - float64(e.Serial); back > 0 && len(c.inTransit[to]) > 0; {
			last := len(c.inTransit[to]) - 1
			o := &c.inTransit[to][last]
			part := math.Min(back, o.units*1000)
			c.addLoan(instance, loan{drawnNanos: o.drawnNanos, units: part / 1000})
			back -= part
			if o.units -= part / 1000; o.units <= unitTolerance/10 {
				c.inTransit[to] = c.inTransit[to][:last]
			}
		}
		c.debtGiven[to] = e.Serial
	case "got debt": // what was kept and not noted; what came while it did not know what it holds is earned
		if c.determining == instance {
			delete(c.inTransit, from)
		} else if e.Serial > c.debtReceived[from] {
			c.endTransit(instance, from, e.At, float64(e.Serial-c.debtReceived[from])/1000)
		}
		c.debtReceived[from] = e.Serial
	case "owed":
		sum := 0.0
		for _, o := range c.debt[instance] {
			sum += o.units
		}
		switch {
		case e.Units > sum: // a loan that was kept and not used, or a payment that was not kept
			c.outstanding += e.Units - sum
			c.addLoan(instance, loan{drawnNanos: e.At, units: e.Units - sum})
		case e.Units < sum-5*unitTolerance:
			a.DebtForgotten += sum - e.Units
			c.debt[instance] = nil
			if e.Units > 0 {
				c.debt[instance] = []loan{{drawnNanos: e.At, units: e.Units}}
			}
		}
	}
}

func (a *auditor) violation(e history.Event, format string, args ...any) {
	if a.ViolationCount++; len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, e.String()+": "+fmt.Sprintf(format, args...))
	}
}
