package history

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// Ledgered is the result of Ledger.
type Ledgered struct {
	Result
	Most       float64 // part of its line that a customer had outstanding at once
	Drawn      float64 // units lent in all
	Owed       float64 // units outstanding at the record's end
	OnTheWay   float64 // units of rights handed on and never taken
	WrittenOff float64 // units of debt whose gatekeeper was gone until its time had run out
}

// unitTolerance bounds the rounding error of sums of units.
const unitTolerance = 1e-6

// loan is one loan of a gateway to a customer, and how many units of it are outstanding.
type loan struct {
	event Event
	left  float64
}

// account is a customer's.
type account struct {
	rights    map[string]float64 // by gatekeeper
	loans     map[string][]loan  // by gatekeeper that lent, the oldest first
	rightsSum float64            // sum of rights
	inTransit float64            // rights handed on and not taken
	owed      float64
}

// handed names one handing on of a right.
type handed struct {
	from     incarnation
	to       string
	customer uint64
	serial   uint64
}

// ledger is the state of Ledger on its way through a record.
type ledger struct {
	Ledgered
	line      func(Event) float64
	allowed   int64 // ns from a loan until it is late
	slack     int64 // ns
	accounts  map[uint64]*account
	hands     map[handed]Event  // a Takes in place of its Hands, once it is taken
	lastLife  map[handed]uint32 // of who handed on, with that serial
	paid      map[handed]Event
	current   map[string]uint32 // incarnation by process
	downSince map[string]int64  // nanoseconds
	stalled   map[string]bool
	grace     map[string]int64 // nothing of a gatekeeper is late before
}

// Ledger checks what is lent to customers, within line units of each, which is asked for the event at hand
// (it names Customer, and its gatekeeper goes by Version). Rights to lend are a bounded counter kept in
// escrow (O'Neil 1986; Balegas and others 2015):
//
//   - a gatekeeper lends (Lends) and hands on (Hands) no more than it has a right to. Its rights are what it
//     Holds, has taken (Takes), and what has come back of its own loans (Repays, by whoever; Peer names the
//     lender, none the writer itself);
//   - each right handed on is taken once at most, as much of it as was handed, by whom it was handed to;
//   - rights, those on the way and what is outstanding are together no more than the line whenever one raises
//     what it Holds, and so is what is outstanding whenever something is lent (a line that is lowered below
//     what is outstanding breaks nothing until then);
//   - no more of a gatekeeper's loans is repaid than is outstanding, nor any repayment (with a Serial) twice;
//   - the oldest loans are repaid first, each within repay ms and slack ms. Age of Repays says how long ago
//     that was, as idle time may be counted when the customer is next seen.
//
// Rights and loans of a gatekeeper that is gone count on. It has repay ms and slack from when it is back;
// if it is gone for longer than that, both are nought from then on, and it begins by a Holds. One that
// stood still has slack from when it goes on.
func Ledger(r Record, line func(Event) float64, repay, slack float64) Ledgered {
	l := &ledger{line: line, allowed: nanos(repay + slack), slack: nanos(slack), accounts: map[uint64]*account{},
		hands: map[handed]Event{}, lastLife: map[handed]uint32{}, paid: map[handed]Event{},
		current: map[string]uint32{}, downSince: map[string]int64{}, stalled: map[string]bool{},
		grace: map[string]int64{}}
	for _, e := range r.Events {
		l.expire(e.At)
		if _, known := l.current[e.Who]; !known {
			l.current[e.Who] = e.Incarnation
		}
		switch e.Kind {
		case Began, Gone, Died, Stalls, Wakes:
			l.lifetime(e)
		case Holds, Hands, Takes, Lends, Repays:
			l.entry(e)
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[customer]
		l.Owed += a.owed
		l.OnTheWay += a.inTransit
		for _, who := range slices.Sorted(maps.Keys(a.loans)) {
			_, away := l.downSince[who]
			if open := a.loans[who]; !away && !l.stalled[who] && len(open) > 0 && l.due(open[0], who) < r.end() {
				l.late(r.end(), []Event{open[0].event}, open[0], "not repaid by the record's end")
			}
		}
	}
	return l.Ledgered
}

// due is when a loan of a gatekeeper has to be repaid at the latest.
func (l *ledger) due(o loan, who string) int64 { return max(o.event.At+l.allowed, l.grace[who]) }

// never is a time that does not come.
const never = math.MaxInt64 / 2

// expire writes off what those have that are gone for too long.
func (l *ledger) expire(at int64) {
	for who, since := range l.downSince {
		if at > since+l.allowed {
			for _, a := range l.accounts {
				l.WrittenOff += a.writeOff(who)
			}
			l.downSince[who] = never - l.allowed
		}
	}
}

// lifetime notes who is there.
func (l *ledger) lifetime(e Event) {
	switch e.Kind {
	case Began:
		if l.current[e.Who] != e.Incarnation {
			l.grace[e.Who] = e.At + l.allowed
		}
		l.current[e.Who] = e.Incarnation
		delete(l.downSince, e.Who)
		delete(l.stalled, e.Who)
	case Gone:
		if l.current[e.Who] == e.Incarnation { // else its successor speaks for it
			l.downSince[e.Who] = e.At
		}
	case Died:
		if e.PeerIncarnation == 0 || l.current[e.Peer] == e.PeerIncarnation {
			l.downSince[e.Peer] = e.At
		}
	case Stalls:
		l.stalled[e.Peer] = true
	case Wakes:
		if l.stalled[e.Peer] {
			l.grace[e.Peer] = max(l.grace[e.Peer], e.At+l.slack)
			delete(l.stalled, e.Peer)
		}
	}
}

// entry books one event.
func (l *ledger) entry(e Event) {
	l.Seen++
	a := l.accounts[e.Customer]
	if a == nil {
		a = &account{rights: map[string]float64{}, loans: map[string][]loan{}}
		l.accounts[e.Customer] = a
	}
	if e.Units < 0 || e.Units == 0 && e.Kind != Holds {
		l.violate(e.At, []Event{e}, "%v units", e.Units)
		return
	}
	switch e.Kind {
	case Holds:
		was := a.rights[e.Who]
		a.right(e.Who, e.Units-was)
		if sum := a.rightsSum + a.inTransit + a.owed; e.Units > was+unitTolerance && sum > l.line(e)+unitTolerance {
			l.violate(e.At, []Event{e},
				"customer %d: %.6g units of rights, %.6g on the way and %.6g outstanding are over the line of %.6g",
				e.Customer, a.rightsSum, a.inTransit, a.owed, l.line(e))
		}
	case Hands:
		l.spend(a, e, "hands on")
		a.inTransit += e.Units
		h := handed{incarnation{e.Who, e.Incarnation}, e.Peer, e.Customer, e.Serial}
		if o, again := l.hands[h]; again {
			l.violate(e.At, []Event{o, e}, "a right is handed on again with the same serial")
		}
		l.hands[h] = e
		h.from.number = 0
		l.lastLife[h] = e.Incarnation
	case Takes:
		l.takes(a, e)
	case Lends:
		l.lends(a, e)
	case Repays:
		l.repays(a, e)
	}
}

func (l *ledger) takes(a *account, e Event) {
	h := handed{incarnation{e.Peer, 0}, e.Who, e.Customer, e.Serial}
	if h.from.number = e.PeerIncarnation; e.PeerIncarnation == 0 {
		h.from.number = l.lastLife[h]
	}
	a.right(e.Who, e.Units)
	o, there := l.hands[h]
	switch {
	case !there:
		l.violate(e.At, []Event{e}, "%s takes a right that %s has not handed on", e.Who, e.Peer)
		return
	case o.Kind == Takes:
		l.violate(e.At, []Event{o, e}, "%s takes a right of %s again", e.Who, e.Peer)
		return
	case o.Units != e.Units:
		l.violate(e.At, []Event{o, e}, "%s takes %v units of a right to %v", e.Who, e.Units, o.Units)
	}
	a.inTransit -= o.Units
	l.hands[h] = e
}

func (l *ledger) lends(a *account, e Event) {
	l.spend(a, e, "lends")
	if open := a.loans[e.Who]; len(open) > 0 && l.due(open[0], e.Who) < e.At {
		l.late(e.At, []Event{open[0].event, e}, open[0], "not repaid yet")
		open[0].event.At = e.At // told once
	}
	a.loans[e.Who] = append(a.loans[e.Who], loan{e, e.Units})
	a.owed += e.Units
	l.Drawn += e.Units
	most := l.line(e)
	if a.owed > most+unitTolerance {
		l.violate(e.At, []Event{e}, "customer %d has %.6g units outstanding, over the line of %.6g", e.Customer,
			a.owed, most)
	}
	if most > 0 {
		l.Most = max(l.Most, a.owed/most)
	}
}

func (l *ledger) repays(a *account, e Event) {
	lender := lender(e)
	if e.Serial != 0 {
		h := handed{incarnation{e.Who, e.Incarnation}, lender, e.Customer, e.Serial}
		if o, again := l.paid[h]; again {
			l.violate(e.At, []Event{o, e}, "the same repayment again")
		}
		l.paid[h] = e
	}
	left := e.Units
	for left > unitTolerance && len(a.loans[lender]) > 0 {
		o := &a.loans[lender][0]
		if e.At-nanos(e.Age) > l.due(*o, lender) {
			l.late(e.At, []Event{o.event, e}, *o, "repaid late")
		}
		part := min(left, o.left)
		left, o.left = left-part, o.left-part
		a.owed -= part
		a.right(lender, part)
		if o.left <= unitTolerance {
			a.loans[lender] = a.loans[lender][1:]
		}
	}
	if left > unitTolerance {
		l.violate(e.At, []Event{e}, "%.6g units are repaid to %s, of whose loans %.6g are outstanding", e.Units,
			lender, e.Units-left)
	}
}

// lender tells whose loans a Repays pays back.
func lender(e Event) string { return cmp.Or(e.Peer, e.Who) }

func (l *ledger) late(at int64, rests []Event, o loan, says string) {
	l.violate(at, rests, "customer %d: of %.6g units lent by %s, %.6g are %s", o.event.Customer, o.event.Units,
		o.event.Who, o.left, says)
}

// spend takes a right away that is used up or handed on. One that was not there is not held against it again.
func (l *ledger) spend(a *account, e Event, does string) {
	had := a.rights[e.Who]
	a.right(e.Who, -e.Units)
	if a.rights[e.Who] < -unitTolerance {
		l.violate(e.At, []Event{e}, "%s %s %.6g units of customer %d with a right to %.6g", e.Who, does, e.Units,
			e.Customer, had)
		a.right(e.Who, -a.rights[e.Who])
	}
}

// right changes what a gatekeeper has a right to.
func (a *account) right(who string, units float64) {
	a.rights[who] += units
	a.rightsSum += units
}

// writeOff forgets the rights and loans of one that is gone, and gives what was owed.
func (a *account) writeOff(who string) (owed float64) {
	a.right(who, -a.rights[who])
	for _, o := range a.loans[who] {
		owed += o.left
	}
	delete(a.loans, who)
	a.owed -= owed
	return owed
}

const maxEntries = 200 // of one customer that are given to porcupine

// LedgerOrder checks the same ledger as a linearizable object, a customer at a time, by porcupine, for
// short histories: each entry may take effect at any moment from its line to step ms after it, so that it
// also passes what only the order of lines within step makes look wrong. It knows no times of repayment and
// no fallen gatekeepers. checked gives how many customers had no more entries than it is given.
func LedgerOrder(r Record, line func(Event) float64, step float64) (f Result, checked int) {
	by := map[uint64][]porcupine.Operation{}
	for _, e := range r.Events {
		switch e.Kind {
		case Holds, Hands, Takes, Lends, Repays:
			f.Seen++
			by[e.Customer] = append(by[e.Customer], porcupine.Operation{Input: e, Call: e.At,
				Return: e.At + nanos(step)})
		}
	}
	for customer, ops := range by {
		if len(ops) > maxEntries {
			continue
		}
		checked++
		if porcupine.CheckOperationsTimeout(bounded(line), ops, porcupineTimeout) == porcupine.Illegal {
			f.violate(ops[0].Call, []Event{ops[0].Input.(Event), ops[len(ops)-1].Input.(Event)},
				"porcupine finds no order of customer %d's %d entries", customer, len(ops))
		}
	}
	return f, checked
}

// tally is a customer's state for porcupine: rights by gatekeeper, those on the way, and loans by gatekeeper.
type tally struct {
	rights, loans map[string]float64
	flight        map[handed]float64
}

// apply applies an event. It returns whether what is lent or may be lent has grown by it, and whether the
// event is possible at all.
func (t *tally) apply(e Event) (raised, possible bool) {
	h := handed{incarnation{e.Who, e.Incarnation}, e.Peer, e.Customer, e.Serial}
	switch e.Kind {
	case Holds:
		raised = e.Units > t.rights[e.Who]+unitTolerance
		t.rights[e.Who] = e.Units
	case Hands:
		t.rights[e.Who] -= e.Units
		if _, again := t.flight[h]; again {
			return false, false
		}
		t.flight[h] = e.Units
	case Takes:
		h = handed{incarnation{e.Peer, e.PeerIncarnation}, e.Who, e.Customer, e.Serial}
		if units, there := t.flight[h]; !there || units != e.Units {
			return false, false
		}
		delete(t.flight, h)
		t.rights[e.Who] += e.Units
	case Lends:
		raised = true
		t.rights[e.Who] -= e.Units
		t.loans[e.Who] += e.Units
	case Repays:
		by := lender(e)
		t.rights[by] += e.Units
		t.loans[by] -= e.Units
		return false, t.loans[by] >= -unitTolerance
	}
	return raised, true
}

// sumAfter returns what is lent after an event, and with what may be lent where rights were set.
func (t *tally) sumAfter(e Event) (sum float64) {
	for _, units := range t.loans {
		sum += units
	}
	if e.Kind != Holds {
		return sum
	}
	for _, units := range t.rights {
		sum += units
	}
	for _, units := range t.flight {
		sum += units
	}
	return sum
}

// bounded is the ledger as a sequential object.
func bounded(line func(Event) float64) porcupine.Model {
	near := func(a, b float64) bool { return a-b < unitTolerance && b-a < unitTolerance }
	return porcupine.Model{
		Init: func() any { return tally{map[string]float64{}, map[string]float64{}, map[handed]float64{}} },
		Step: func(state, input, _ any) (bool, any) {
			before, e := state.(tally), input.(Event)
			t := tally{maps.Clone(before.rights), maps.Clone(before.loans), maps.Clone(before.flight)}
			raised, possible := t.apply(e)
			if !possible || t.rights[e.Who] < -unitTolerance {
				return false, t
			}
			return !raised || t.sumAfter(e) <= line(e)+unitTolerance, t
		},
		Equal: func(a, b any) bool {
			x, y := a.(tally), b.(tally)
			return maps.EqualFunc(x.rights, y.rights, near) && maps.EqualFunc(x.loans, y.loans, near) &&
				maps.EqualFunc(x.flight, y.flight, near)
		},
	}
}
