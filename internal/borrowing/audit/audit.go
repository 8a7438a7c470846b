// Package audit checks credit from records of what gatekeepers did, after the fact. It keeps accounts of its
// own from single events, and knows nothing of how a book decides.
package audit

import (
	"fmt"
	"math"

	"willowdeck/internal/testkit/history"
)

// Line is a customer's line, in units, and within how many ms a loan is paid back.
type Line struct{ Units, Repay float64 }

// Audited is what Check finds.
type Audited struct {
	Broken                     []string // the first ones
	Count, Seen                int
	Most                       float64 // part of its line that a customer had outstanding at once
	Lent, Repaid, Earned, Late float64
	Moved, Handed              float64 // debts and rights that came from another
	Forgotten                  float64 // debts that a life did not know any more
	Held                       float64 // ms that a debt was on its way, at the longest
}

const (
	crumb    = 0.01 // units by which sums may be off: each amount is rounded to a thousandth
	mostKept = 20
)

// loan is a part of a debt, and when it was drawn.
type loan struct {
	at    int64
	units float64
	left  int64 // of one on its way: when it was handed on
}

// between is one way between two gatekeepers, of one form of a set.
type between struct {
	from, to string
	form     uint64
}

// account is a customer's.
type account struct {
	rights, earn map[string]float64
	owed         map[string][]loan
	gave, got    map[between]uint64 // rights, in thousandths
	gaveD, gotD  map[between]uint64 // and debts
	moving       map[between][]loan
	unknown      map[between]bool  // who does not know what it holds
	settles      string            // who is about to say what it has found out that it holds
	form         map[string]uint64 // that each goes by
	balance      float64           // drawn, and neither paid back nor earned
	line         float64           // the largest so far
}

type auditor struct {
	Audited
	line     func(history.Event) Line
	number   func(who string) string
	slack    float64
	accounts map[uint64]*account
	grace    map[string]int64
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
func Check(r history.Record, line func(history.Event) Line, number func(who string) string,
	slack float64) Audited {
	a := &auditor{line: line, number: number, slack: slack, accounts: map[uint64]*account{},
		grace: map[string]int64{}}
	for _, e := range r.Events {
		switch e.Kind {
		case history.Began:
			a.grace[number(e.Who)] = e.At
		case history.Wakes:
			a.grace[number(e.Peer)] = e.At
		case history.Lends, history.Repays, history.Hands, history.Takes, history.Holds:
			a.entry(e)
		}
	}
	return a.Audited
}

func (a *auditor) entry(e history.Event) {
	a.Seen++
	c := a.accounts[e.Customer]
	if c == nil {
		c = &account{rights: map[string]float64{}, earn: map[string]float64{}, owed: map[string][]loan{},
			gave: map[between]uint64{}, got: map[between]uint64{}, gaveD: map[between]uint64{},
			gotD: map[between]uint64{}, moving: map[between][]loan{}, unknown: map[between]bool{},
			form: map[string]uint64{}}
		a.accounts[e.Customer] = c
	}
	me := a.number(e.Who)
	c.form[me] = e.Base
	to, from := between{me, e.Peer, e.Base}, between{e.Peer, me, e.Base}
	switch e.Kind {
	case history.Lends:
		if c.rights[me] < e.Units-crumb {
			a.broken(e, "lends with a right to %.3f", c.rights[me])
		}
		c.rights[me] -= e.Units
		c.owed[me] = append(c.owed[me], loan{at: e.At, units: e.Units})
		c.balance += e.Units
		a.Lent += e.Units
	case history.Repays:
		a.repays(c, me, e)
	case history.Hands:
		a.hands(c, me, to, e)
	case history.Takes:
		a.takes(c, me, from, e)
	case history.Holds:
		a.holds(c, me, to, from, e)
	}
	l := a.line(e)
	c.line = math.Max(c.line, l.Units)
	sum := c.balance
	for _, u := range c.rights {
		sum += math.Max(u, 0)
	}
	for b, gave := range c.gave {
		// Who does not know what it gave or got will be told; who is of another form takes nothing.
		if got := c.got[b]; gave > got && !c.unknown[between{b.from, "", b.form}] &&
			!c.unknown[between{b.to, "", b.form}] && c.form[b.to] == b.form {
			sum += float64(gave-got) / 1000
		}
	}
	if sum > c.line+crumb*float64(1+len(c.rights)) {
		a.broken(e, "%.3f is outstanding, and with what may be drawn %.3f, of a line of %.3f", c.balance, sum,
			c.line)
	}
	if c.line > 0 {
		owed := 0.0
		for _, all := range c.owed {
			for _, o := range all {
				owed += o.units
			}
		}
		a.Most = math.Max(a.Most, owed/c.line)
	}
}

func (a *auditor) repays(c *account, me string, e history.Event) {
	switch e.Says {
	case "earned":
		if c.earn[me] < e.Units-crumb {
			a.broken(e, "earns %.3f of %.3f", e.Units, c.earn[me])
		}
		c.earn[me] -= e.Units
		a.Earned += e.Units
	case "undone":
		a.pay(c, me, e, false)
	default:
		a.pay(c, me, e, true)
		a.Repaid += e.Units
	}
	c.rights[me] += e.Units
	c.balance -= e.Units
}

// pay takes units off what is owed: the oldest first, or, of a loan that was not used, the newest.
func (a *auditor) pay(c *account, me string, e history.Event, oldest bool) {
	left := e.Units
	for left > crumb/10 && len(c.owed[me]) > 0 {
		all := c.owed[me]
		i := 0
		if !oldest {
			i = len(all) - 1
		}
		part := math.Min(left, all[i].units)
		due := max(all[i].at, a.grace[me]) + int64((a.line(e).Repay+a.slack)*1e6)
		if oldest && e.At > due && part > crumb {
			a.Late += part
			a.broken(e, "pays %.3f back %.0f ms late", part, float64(e.At-due)/1e6)
		}
		left -= part
		if all[i].units -= part; all[i].units <= crumb/10 {
			c.owed[me] = append(all[:i], all[i+1:]...)
		}
	}
	if left > crumb {
		a.broken(e, "pays %.3f back that it does not owe", left)
	}
}

func (a *auditor) hands(c *account, me string, to between, e history.Event) {
	if e.Says != "debt" {
		if c.rights[me] < e.Units-crumb {
			a.broken(e, "hands on %.3f with a right to %.3f", e.Units, c.rights[me])
		}
		c.rights[me] -= e.Units
		c.gave[to] = e.Serial
		return
	}
	c.gaveD[to] = e.Serial
	if left := c.move(me, to, e, a.grace[me]); left > crumb {
		a.broken(e, "hands on a debt of %.3f that it does not owe", left)
	}
}

// move has debts be on their way, the newest first: the others are due earlier. What the giver had time for
// from a moment on whoever takes it has as well. It gives what there was not.
func (c *account) move(me string, to between, e history.Event, grace int64) float64 {
	left := e.Units
	for left > crumb/10 && len(c.owed[me]) > 0 {
		last := len(c.owed[me]) - 1
		o := &c.owed[me][last]
		part := math.Min(left, o.units)
		c.moving[to] = append(c.moving[to], loan{max(o.at, grace), part, e.At})
		left -= part
		if o.units -= part; o.units <= crumb/10 {
			c.owed[me] = c.owed[me][:last]
		}
	}
	return left
}

// arrive has debts that were on their way be owed. It gives what there was not, and ns for which what there
// was had been on its way.
func (c *account) arrive(me string, from between, at int64, units float64) (left float64, held int64) {
	left = units
	for left > crumb/10 && len(c.moving[from]) > 0 {
		o := &c.moving[from][0]
		part := math.Min(left, o.units)
		stood := max(at-o.left, 0)
		c.owe(me, loan{at: o.at + stood, units: part})
		held = max(held, stood)
		left -= part
		if o.units -= part; o.units <= crumb/10 {
			c.moving[from] = c.moving[from][1:]
		}
	}
	return left, held
}

func (a *auditor) takes(c *account, me string, from between, e history.Event) {
	if e.Says != "debt" {
		a.comes(e, "right", from, c.got, c.gave)
		c.rights[me] += e.Units
		a.Handed += e.Units
		return
	}
	a.comes(e, "debt", from, c.gotD, c.gaveD)
	a.Moved += e.Units
	left, held := c.arrive(me, from, e.At, e.Units)
	a.Held = math.Max(a.Held, float64(held)/1e6)
	if left > 0 { // of one that has lost its book
		c.owe(me, loan{at: e.At, units: left})
	}
}

// comes books that what was handed on has been taken, once and no more of it than was.
func (a *auditor) comes(e history.Event, what string, from between, got, gave map[between]uint64) {
	switch {
	case e.Serial <= got[from]:
		a.broken(e, "takes a %s again", what)
	case e.Serial > gave[from]:
		a.broken(e, "takes a %s of %.3f units in all, of %.3f that were handed on", what, float64(e.Serial)/1000,
			float64(gave[from])/1000)
	}
	got[from] = e.Serial
}

// owe adds a loan by its time.
func (c *account) owe(me string, o loan) {
	all := append(c.owed[me], o)
	for i := len(all) - 1; i > 0 && all[i].at < all[i-1].at; i-- {
		all[i], all[i-1] = all[i-1], all[i]
	}
	c.owed[me] = all
}

// holds takes what a gatekeeper says that it holds: as it starts, or as it finds out.
func (a *auditor) holds(c *account, me string, to, from between, e history.Event) {
	switch e.Says {
	case "":
		c.rights[me], c.unknown[between{me, "", e.Base}], c.settles = e.Units, false, ""
	case "none":
		if e.Serial > 0 && c.unknown[between{me, "", e.Base}] { // what it finds out now is not what it had
			c.earn[me], c.settles = 0, me
			for b := range c.gave {
				if b.from == me && b.form == e.Base {
					c.gave[b], c.gaveD[b] = 0, 0
				}
			}
			for b := range c.got {
				if b.to == me && b.form == e.Base {
					c.got[b], c.gotD[b] = 0, 0
				}
			}
		}
		c.rights[me], c.unknown[between{me, "", e.Base}] = 0, true
	case "earn":
		// A payment that was not kept is made again.
		if more := e.Units - c.earn[me]; more > crumb && c.earn[me] > 0 {
			c.balance += more
		}
		c.earn[me] = e.Units
	case "gave":
		c.gave[to] = e.Serial
	case "got":
		c.got[from] = e.Serial
	case "gave debt": // of what was not kept nothing was said: it is owed here
		for back := float64(c.gaveD[to]) - float64(e.Serial); back > 0 && len(c.moving[to]) > 0; {
			last := len(c.moving[to]) - 1
			o := &c.moving[to][last]
			part := math.Min(back, o.units*1000)
			c.owe(me, loan{at: o.at, units: part / 1000})
			back -= part
			if o.units -= part / 1000; o.units <= crumb/10 {
				c.moving[to] = c.moving[to][:last]
			}
		}
		c.gaveD[to] = e.Serial
	case "got debt": // what was kept and not noted; what came while it did not know what it holds is earned
		if c.settles == me {
			delete(c.moving, from)
		} else if e.Serial > c.gotD[from] {
			c.arrive(me, from, e.At, float64(e.Serial-c.gotD[from])/1000)
		}
		c.gotD[from] = e.Serial
	case "owed":
		sum := 0.0
		for _, o := range c.owed[me] {
			sum += o.units
		}
		switch {
		case e.Units > sum: // a loan that was kept and not used, or a payment that was not kept
			c.balance += e.Units - sum
			c.owe(me, loan{at: e.At, units: e.Units - sum})
		case e.Units < sum-5*crumb:
			a.Forgotten += sum - e.Units
			c.owed[me] = nil
			if e.Units > 0 {
				c.owed[me] = []loan{{at: e.At, units: e.Units}}
			}
		}
	}
}

func (a *auditor) broken(e history.Event, format string, args ...any) {
	if a.Count++; len(a.Broken) < mostKept {
		a.Broken = append(a.Broken, e.String()+": "+fmt.Sprintf(format, args...))
	}
}
