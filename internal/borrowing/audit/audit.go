// Package audit checks borrowing after a run, from the recorded histories of the instances. It rebuilds the
// accounts from single events, does no I/O, and uses no code of package borrowing.
package audit

import (
	"fmt"
	"math"

	"willowdeck/internal/testkit/history"
)

// CreditLine is a customer's credit line, and the time within which each loan is to be repaid.
type CreditLine struct{ Units, RepayMillis float64 }

// Report is the result of Check. Amounts are in units.
type Report struct {
	Violations                       []string // at most the first maxViolations
	ViolationCount, Events           int
	PeakDrawnShare                   float64 // largest debt of a customer at one time, as a share of its line
	Lent, Repaid, Earned, RepaidLate float64
	DebtMoved, RightsMoved           float64 // received by another instance
	DebtForgotten                    float64 // debt that was missing after a restart
	LongestTransitMillis             float64 // longest time that a debt was in transit, ms
}

const (
	unitTolerance = 0.01 // units of rounding error allowed, as each amount is rounded to a thousandth
	maxViolations = 20
)

// loan is a loan, or a part of one, that is not repaid.
type loan struct {
	drawnNanos int64
	units      float64
	sentNanos  int64 // time at which it was given to a peer, if it is in transit
}

// direction identifies the transfers from one instance to another, under one digest of the set.
type direction struct {
	from, to  string
	setDigest uint64
}

// account is the account of one customer at all instances; the maps are by instance or direction.
type account struct {
	rights, presumedDrawn       map[string]float64
	debt                        map[string][]loan
	rightsGiven, rightsReceived map[direction]uint64 // in thousandths of a unit
	debtGiven, debtReceived     map[direction]uint64 // in thousandths of a unit
	inTransit                   map[direction][]loan
	unknown                     map[direction]bool // rights unknown, by instance: the key has no to
	determining                 string             // the instance whose newly determined balances follow
	setDigest                   map[string]uint64  // last digest of each instance
	outstanding                 float64            // units drawn, and neither repaid nor earned
	line                        float64            // largest credit line so far, units
}

// auditor has the state of a Check.
type auditor struct {
	Report
	line        func(history.Event) CreditLine
	instanceOf  func(who string) string
	slackMillis float64
	accounts    map[uint64]*account
	graceNanos  map[string]int64
}

// Check checks a history. line returns the credit line of an event's customer, and instanceOf the number by
// which peers refer to an instance. A repayment may be late by slackMillis. The repayment times of an
// instance's debts begin anew when it starts or resumes after a stall. The rules are:
//
//   - An instance lends no more than its rights and repays no more than its debt, each unit once.
//   - It receives no rights and no debt that were not given to it, and each once. Serial is the total given
//     so far, so that a transfer that was lost is included in the next one.
//   - The sum of the units outstanding (drawn, and neither repaid nor earned), the rights and the rights in
//     transit does not exceed the line. When a line is lowered, the largest earlier line still applies.
//   - Each loan is repaid in time, the oldest first, at whichever instance its debt is. While a debt is in
//     transit nobody can repay it, so this time is not counted; LongestTransitMillis is the longest.
//   - An incarnation knows all debts of its predecessor; DebtForgotten sums those that are missing.
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

// apply applies one event to the account of its customer, and checks the line.
func (a *auditor) apply(e history.Event) {
	a.Events++
	c := a.account(e.Customer)
	instance := a.instanceOf(e.Who)
	c.setDigest[instance] = e.Base
	to, from := direction{instance, e.Peer, e.Base}, direction{e.Peer, instance, e.Base}
	switch e.Kind {
	case history.Lends:
		a.applyLent(c, instance, e)
	case history.Repays:
		a.applyRepaid(c, instance, e)
	case history.Hands:
		a.applyGiven(c, instance, to, e)
	case history.Takes:
		a.applyReceived(c, instance, from, e)
	case history.Holds:
		a.applyBalance(c, instance, to, from, e)
	}
	a.checkLine(c, e)
}

// account returns a customer's account and creates it if necessary.
func (a *auditor) account(customer uint64) *account {
	c := a.accounts[customer]
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
		a.accounts[customer] = c
	}
	return c
}

// checkLine checks that the units outstanding, the rights and the rights in transit do not exceed the line.
func (a *auditor) checkLine(c *account, e history.Event) {
	c.line = math.Max(c.line, a.line(e).Units)
	sum := c.outstanding
	for _, units := range c.rights {
		sum += math.Max(units, 0)
	}
	for d, given := range c.rightsGiven {
		// Rights count as in transit only if both ends know their counters and the receiver has the same digest:
		// unknown counters are restored later, and with another digest nothing is received.
		if received := c.rightsReceived[d]; given > received && !c.unknown[direction{d.from, "", d.setDigest}] &&
			!c.unknown[direction{d.to, "", d.setDigest}] && c.setDigest[d.to] == d.setDigest {
			sum += float64(given-received) / 1000
		}
	}
	if sum > c.line+unitTolerance*float64(1+len(c.rights)) {
		a.violation(e, "%.3f units are outstanding, with all rights %.3f, which exceeds the line of %.3f",
			c.outstanding, sum, c.line)
	}
	if c.line > 0 {
		totalDebt := 0.0
		for _, loans := range c.debt {
			for _, l := range loans {
				totalDebt += l.units
			}
		}
		a.PeakDrawnShare = math.Max(a.PeakDrawnShare, totalDebt/c.line)
	}
}

// applyLent applies a loan.
func (a *auditor) applyLent(c *account, instance string, e history.Event) {
	if c.rights[instance] < e.Units-unitTolerance {
		a.violation(e, "lends more than its rights of %.3f units", c.rights[instance])
	}
	c.rights[instance] -= e.Units
	c.debt[instance] = append(c.debt[instance], loan{drawnNanos: e.At, units: e.Units})
	c.outstanding += e.Units
	a.Lent += e.Units
}

// applyRepaid applies a repayment, an earned amount or a cancelled loan.
func (a *auditor) applyRepaid(c *account, instance string, e history.Event) {
	switch e.Says {
	case "earned":
		if c.presumedDrawn[instance] < e.Units-unitTolerance {
			a.violation(e, "earns %.3f units of %.3f presumed drawn", e.Units, c.presumedDrawn[instance])
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

// repay reduces the debt of an instance, the oldest loan first, or the newest first for a cancelled loan.
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
			a.violation(e, "repays %.3f units %.0f ms late", part, float64(e.At-due)/1e6)
		}
		left -= part
		if all[i].units -= part; all[i].units <= unitTolerance/10 {
			c.debt[instance] = append(all[:i], all[i+1:]...)
		}
	}
	if left > unitTolerance {
		a.violation(e, "repays %.3f units that it does not owe", left)
	}
}

// applyGiven applies rights or debt given to another instance.
func (a *auditor) applyGiven(c *account, instance string, to direction, e history.Event) {
	if e.Says != "debt" {
		if c.rights[instance] < e.Units-unitTolerance {
			a.violation(e, "gives %.3f units of rights but has %.3f", e.Units, c.rights[instance])
		}
		c.rights[instance] -= e.Units
		c.rightsGiven[to] = e.Serial
		return
	}
	c.debtGiven[to] = e.Serial
	if left := c.startTransit(instance, to, e, a.graceNanos[instance]); left > unitTolerance {
		a.violation(e, "gives %.3f units of debt that it does not have", left)
	}
}

// startTransit moves debts of an instance into transit, the newest first, as the others are due earlier. A
// repayment time that began anew at the giver applies at the receiver too. It returns by how many units the
// amount exceeds the debt.
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

// endTransit moves debts in transit to the receiver, whose repayment time is extended by the time in transit.
// It returns how many of the units were not in transit, and the longest time in transit of the others, ns.
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
		elapsedNanos := max(atNanos-first.sentNanos, 0)
		c.addLoan(instance, loan{drawnNanos: first.drawnNanos + elapsedNanos, units: part})
		transitNanos = max(transitNanos, elapsedNanos)
		left -= part
		if first.units -= part; first.units <= unitTolerance/10 {
			c.inTransit[from] = c.inTransit[from][1:]
		}
	}
	return left, transitNanos
}

// applyReceived applies rights or debt received from another instance.
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
	if left > 0 { // given by an instance that has lost its ledger
		c.addLoan(instance, loan{drawnNanos: e.At, units: left})
	}
}

// checkReceived checks that a transfer is received once, and that the total does not exceed the total given.
func (a *auditor) checkReceived(
	e history.Event,
	what string,
	from direction,
	received, given map[direction]uint64,
) {
	switch {
	case e.Serial <= received[from]:
		a.violation(e, "receives a %s again", what)
	case e.Serial > given[from]:
		a.violation(e, "receives a %s for a total of %.3f units, of %.3f that were given", what,
			float64(e.Serial)/1000, float64(given[from])/1000)
	}
	received[from] = e.Serial
}

// addLoan inserts a loan in the order of the times at which they were drawn.
func (c *account) addLoan(instance string, added loan) {
	all := append(c.debt[instance], added)
	for i := len(all) - 1; i > 0 && all[i].drawnNanos < all[i-1].drawnNanos; i-- {
		all[i], all[i-1] = all[i-1], all[i]
	}
	c.debt[instance] = all
}

// applyBalance applies a balance or total that an instance records as it starts, or as it determines its
// rights.
func (a *auditor) applyBalance(c *account, instance string, to, from direction, e history.Event) {
	switch e.Says {
	case "":
		c.rights[instance], c.unknown[direction{instance, "", e.Base}], c.determining = e.Units, false, ""
	case "none":
		c.forgetRights(instance, e)
	case "earn":
		// An earned amount that was recorded before a crash but not stored is outstanding again.
		if more := e.Units - c.presumedDrawn[instance]; more > unitTolerance && c.presumedDrawn[instance] > 0 {
			c.outstanding += more
		}
		c.presumedDrawn[instance] = e.Units
	case "gave":
		c.rightsGiven[to] = e.Serial
	case "got":
		c.rightsReceived[from] = e.Serial
	case "gave debt":
		c.restoreDebt(instance, to, e)
	case "got debt":
		// The total exceeds what was recorded if a debt was received and stored but not recorded before a crash.
		// Debt that was received while the rights were unknown is part of the units presumed drawn.
		if c.determining == instance {
			delete(c.inTransit, from)
		} else if e.Serial > c.debtReceived[from] {
			c.endTransit(instance, from, e.At, float64(e.Serial-c.debtReceived[from])/1000)
		}
		c.debtReceived[from] = e.Serial
	case "owed":
		a.applyDebt(c, instance, e)
	}
}

// forgetRights notes that the rights of an instance are unknown. If they were unknown before and the event
// has a Serial, the instance has determined them anew: its totals, which may differ from the earlier ones,
// follow.
func (c *account) forgetRights(instance string, e history.Event) {
	if e.Serial > 0 && c.unknown[direction{instance, "", e.Base}] {
		c.presumedDrawn[instance], c.determining = 0, instance
		for d := range c.rightsGiven {
			if d.from == instance && d.setDigest == e.Base {
				c.rightsGiven[d], c.debtGiven[d] = 0, 0
			}
		}
		for d := range c.rightsReceived {
			if d.to == instance && d.setDigest == e.Base {
				c.rightsReceived[d], c.debtReceived[d] = 0, 0
			}
		}
	}
	c.rights[instance], c.unknown[direction{instance, "", e.Base}] = 0, true
}

// restoreDebt applies a giver's total of debts given. Debts in transit beyond that total return to the giver:
// their transfer was recorded but not stored before a crash, and so was never sent.
func (c *account) restoreDebt(instance string, to direction, e history.Event) {
	for back := float64(c.debtGiven[to]) - float64(e.Serial); back > 0 && len(c.inTransit[to]) > 0; {
		last := len(c.inTransit[to]) - 1
		l := &c.inTransit[to][last]
		part := math.Min(back, l.units*1000)
		c.addLoan(instance, loan{drawnNanos: l.drawnNanos, units: part / 1000})
		back -= part
		if l.units -= part / 1000; l.units <= unitTolerance/10 {
			c.inTransit[to] = c.inTransit[to][:last]
		}
	}
	c.debtGiven[to] = e.Serial
}

// applyDebt applies the debt that an instance records as its balance.
func (a *auditor) applyDebt(c *account, instance string, e history.Event) {
	sum := 0.0
	for _, l := range c.debt[instance] {
		sum += l.units
	}
	switch {
	case e.Units > sum: // a loan was stored and not recorded, or a repayment recorded and not stored
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

// violation counts a violation, and keeps its message if it is among the first maxViolations.
func (a *auditor) violation(e history.Event, format string, args ...any) {
	if a.ViolationCount++; len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, e.String()+": "+fmt.Sprintf(format, args...))
	}
}
