package borrowing

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"willowdeck/internal/borrowing/audit"
	"willowdeck/internal/testkit/history"
)

var long = flag.Duration("long", 0, "how long random runs go on")

// fleet is some books, what is between them, and what they keep. Its own reckoning is of what was used and
// paid alone.
type fleet struct {
	rng   *rand.Rand
	now   float64
	terms Terms
	gks   []*keeper
	air   []letter
	break_
	used, paid, earned, undone float64
	line                       float64                          // the largest that was in force
	most                       float64                          // that the books held at once
	pays                       func(i int) (part, fill float64) // of what is needed; random where it is nil
	set                        [2]int
	cut                        float64 // drawn by what was killed before it could use it
	sum                        Figures // of lives that have ended
	record                     history.Record
	deaf                       map[int]bool // pump has no letter come to
}

// break_ says what is planted: a book's rule broken by its host, or that disks last.
type break_ struct{ sayFirst, useFirst, twice, disks bool }

type keeper struct {
	book  *Book
	shelf map[int]Record
	born  float64
	life  uint32
	said  uint32
	heard map[int]word
	lost  bool // its disk
}

type word struct{ life, seq uint32 }

type letter struct {
	from, to int
	word     word
	entries  []Entry
}

const customer, unit = 7, 1.0

func newFleet(seed int64, n int, p Plan, old bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), now: 1e6, line: p.Line,
		terms: Terms{Gatekeepers: n, Plans: []Plan{p}}}
	for i := range n {
		born := 0.0
		if !old {
			born = f.now
		}
		f.gks = append(f.gks, &keeper{shelf: map[int]Record{}, heard: map[int]word{}, born: born})
		f.start(i)
	}
	return f
}

// start begins a life from what was kept.
func (f *fleet) start(i int) {
	k := f.gks[i]
	if k.book != nil {
		add(&f.sum, k.book.Figures())
	}
	if k.lost {
		k.shelf, k.heard, k.born, k.lost = map[int]Record{}, map[int]word{}, f.now, false
	}
	k.life++
	k.said = 0
	t := f.terms
	t.Me, t.Plans = i, append([]Plan(nil), f.terms.Plans...)
	k.book = New(t, f.rng.Int63(), k.born)
	k.book.Clock(f.now)
	for place := range len(k.shelf) {
		if r, ok := k.shelf[place]; ok {
			k.book.Restore(place, r)
		}
	}
	k.book.Noting(true)
	f.drain(i, -1)
}

func add(sum *Figures, f Figures) {
	sum.Lent += f.Lent
	sum.Repaid += f.Repaid
	sum.Earned += f.Earned
	sum.Handed += f.Handed
	sum.Taken += f.Taken
	sum.Moved += f.Moved
}

// drain carries out what a book decides. It is killed after so many decisions; below nought never.
func (f *fleet) drain(i, kill int) (alive bool) {
	k := f.gks[i]
	var later []Decision
	var paid, earned float64 // since a record was last kept: a payment that is not kept is made again
	for {
		d, ok := k.book.Next()
		if !ok {
			break
		}
		if kill == 0 {
			f.paid, f.earned = f.paid-paid, f.earned-earned
			if f.sayFirst || f.useFirst {
				for d, ok := k.book.Next(); ok; d, ok = k.book.Next() {
					if f.sayFirst || d.Act == Note {
						f.act(i, d, f.sayFirst)
					}
				}
			}
			return false
		}
		kill--
		switch {
		case d.Act == Store:
			paid, earned = 0, 0
		case d.Act == Note && d.Event == Repays:
			paid += d.Units
		case d.Act == Note && d.Event == Earns:
			earned += d.Units
		}
		if f.sayFirst && d.Act == Store {
			r := *d.Record
			later = append(later, Decision{Act: Store, Place: d.Place, Record: &r})
			continue
		}
		f.act(i, d, false)
	}
	for _, d := range later {
		f.act(i, d, false)
	}
	return true
}

func (f *fleet) act(i int, d Decision, sayOnly bool) {
	k := f.gks[i]
	switch d.Act {
	case Store:
		if !sayOnly {
			k.shelf[d.Place] = *d.Record
		}
	case Note:
		if !sayOnly {
			kind, says := d.Event.Written()
			e := history.Event{At: int64(f.now * 1e6), Who: fmt.Sprint(i), Life: k.life, Kind: history.Kind(kind),
				Says: says, Customer: uint64(d.Customer), Units: d.Units, Serial: d.Serial, Base: uint64(d.Form)}
			if d.Event.Of() {
				e.Peer = fmt.Sprint(d.Peer)
			}
			f.record.Events = append(f.record.Events, e)
		}
		switch {
		case sayOnly:
		case d.Event == Earns:
			f.earned += d.Units
		case d.Event == Repays:
			f.paid += d.Units
		case d.Event == Undone:
			f.undone += d.Units
		}
	case Tell:
		k.said++
		f.air = append(f.air, letter{i, d.Peer, word{k.life, k.said}, append([]Entry(nil), d.Entries...)})
	case Collect:
		if !sayOnly {
			took, fill := d.Need, f.rng.Float64()*1e-3
			switch {
			case f.pays != nil:
				var part float64
				if part, fill = f.pays(i); part > 1 { // idle
					took = d.Most
				}
				took = math.Min(took*math.Min(part, 1), d.Span*fill)
			case f.rng.Intn(2) == 0:
				took = d.Most * f.rng.Float64()
			}
			k.book.Paid(d.Customer, took, fill)
		}
	}
}

// lend asks for a loan at a gatekeeper; it is used once all that follows has been kept.
func (f *fleet) lend(i, first, n, kill int, units float64) Refusal {
	k := f.gks[i]
	k.book.Clock(f.now)
	why := k.book.Lend(customer, 0, first, n, units)
	if why == Lent && f.useFirst {
		f.used += units
	}
	alive := f.drain(i, kill)
	switch {
	case !alive:
		if why == Lent && !f.useFirst {
			f.cut += units
		}
		f.start(i)
	case why == Lent && !f.useFirst:
		f.used += units
	}
	return why
}

// deliver has a letter come, as far as it is news by the word that it bears.
func (f *fleet) deliver(l letter, kill int) {
	k := f.gks[l.to]
	last, known := k.heard[l.from]
	if known && !f.twice && (l.word.life < last.life || l.word.life == last.life && l.word.seq <= last.seq) {
		return
	}
	k.heard[l.from] = l.word
	k.book.Clock(f.now)
	if f.twice {
		if at, ok := k.book.by[customer]; ok {
			if p := k.book.pair(&k.book.all[at], l.from); p != nil {
				p.GotR, p.GotD = 0, 0
			}
		}
	}
	k.book.Hear(l.from, l.entries)
	if !f.drain(l.to, kill) {
		f.start(l.to)
	}
}

// check holds the books against the line.
func (f *fleet) check() error {
	rights := 0.0
	for i, k := range f.gks {
		h := k.book.Holds(customer)
		rights += math.Max(h.Rights, 0)
		if h.Owed < 0 || h.Earn < 0 {
			return fmt.Errorf("%d owes %v and earns %v", i, h.Owed, h.Earn)
		}
	}
	f.most = math.Max(f.most, rights+f.used-f.undone-f.paid-f.earned)
	if out := f.used - f.undone - f.paid; out < -1e-6-f.cut {
		return fmt.Errorf("%v was used and %v paid back", f.used-f.undone, f.paid)
	}
	if out := f.used - f.undone - f.paid - f.earned; out+rights > f.line+1e-6 {
		return fmt.Errorf("%v is owed and %v may be drawn, of a line of %v", out, rights, f.line)
	}
	return nil
}

// step does one random thing, and says what.
func (f *fleet) step(sets [][2]int) string {
	i := f.rng.Intn(len(f.gks))
	if f.rng.Intn(80) == 0 || f.set[1] == 0 {
		f.set = sets[f.rng.Intn(len(sets))]
	}
	s, kill := f.set, -1
	if f.rng.Intn(12) == 0 {
		kill = f.rng.Intn(5)
	}
	switch what := f.rng.Intn(21); {
	case what == 20:
		if f.lend(i, s[0], s[1], -1, unit) == Lent {
			f.gks[i].book.Undo(customer, unit)
			f.drain(i, -1)
		}
		return fmt.Sprint("lend and undo ", i, s, kill)
	case what < 6:
		return fmt.Sprint("lend ", i, s, kill, f.lend(i, s[0], s[1], kill, unit*float64(1+f.rng.Intn(3))))
	case what < 14 && len(f.air) > 0:
		at := f.rng.Intn(len(f.air))
		l := f.air[at]
		switch f.rng.Intn(8) {
		case 0: // it is lost
			f.air = append(f.air[:at], f.air[at+1:]...)
			return fmt.Sprint("lost ", l)
		case 1: // it comes, and will again
		default:
			f.air = append(f.air[:at], f.air[at+1:]...)
		}
		f.deliver(l, kill)
		return fmt.Sprint("comes ", l, kill)
	case what == 14:
		f.start(i)
		return fmt.Sprint("restart ", i)
	case what == 15 && f.rng.Intn(10) == 0 && !f.disks:
		f.gks[i].lost = true
		f.start(i)
		return fmt.Sprint("restart without a disk ", i)
	}
	f.now += period
	f.gks[i].book.Clock(f.now)
	if !f.drain(i, kill) {
		f.start(i)
	}
	return fmt.Sprint("look ", i, kill)
}

// explore runs random steps, and gives the first that breaks a check.
func explore(seed int64, b break_, n, steps int, sets [][2]int) (*fleet, error) {
	f := newFleet(seed, n, Plan{Line: 12, Repay: 20000}, seed%2 == 0)
	f.break_ = b
	var trail []string
	for range steps {
		trail = append(trail, f.step(sets))
		if len(f.air) > 40 {
			f.air = f.air[1:]
		}
		if err := f.check(); err != nil {
			return f, fmt.Errorf("seed %d, step %d: %w; the last: %v", seed, len(trail), err,
				trail[max(len(trail)-8, 0):])
		}
	}
	for _, k := range f.gks {
		add(&f.sum, k.book.Figures())
	}
	return f, nil
}

// audited checks the record of a run, where the times of repayment are not kept to.
func (f *fleet) audited() audit.Audited {
	return audit.Check(f.record, func(history.Event) audit.Line { return audit.Line{Units: 12, Repay: 1e9} },
		func(who string) string { return who }, 0)
}

// What may be drawn and what was drawn and is not paid back never come to more than the line, whatever is
// lost, doubled, late, out of turn, killed between any two decisions, or changed in the set. Each planted
// break is found.
func TestNeverBeyondTheLine(t *testing.T) {
	sets := map[string][][2]int{"one set": {{0, 2}}, "three": {{0, 3}}, "set changes": {{0, 2}, {0, 3}, {1, 2}}}
	for name, s := range sets {
		n := 2
		if name != "one set" {
			n = 3
		}
		most, sum := 0.0, Figures{}
		for seed, from := int64(0), time.Now(); seed < 200 || time.Since(from) < *long; seed++ {
			f, err := explore(seed, break_{disks: seed%3 == 0}, n, 600, s)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if a := f.audited(); a.Count > 0 || a.Seen == 0 {
				t.Fatalf("%s: seed %d: %d of %d events break: %v", name, seed, a.Count, a.Seen, a.Broken[:1])
			} else if a.Forgotten > 0 && seed%3 == 0 {
				t.Fatalf("%s: seed %d: %v is forgotten", name, seed, a.Forgotten)
			}
			most = max(most, f.most)
			add(&sum, f.sum)
		}
		if most < 11 || min(sum.Lent, sum.Repaid, sum.Earned, sum.Taken, sum.Moved) < 200 {
			t.Errorf("%s: %v of the line at most, %+v: the runs test nothing", name, most, sum)
		}
	}
	for name, b := range map[string]break_{"lowered after it is said": {sayFirst: true, disks: true},
		"used before it is kept": {useFirst: true, disks: true}, "believed twice": {twice: true, disks: true}} {
		found, audits := false, false
		for seed := int64(0); seed < 300 && !(found && audits); seed++ {
			f, err := explore(seed, b, 2, 600, sets["one set"])
			a := f.audited()
			found, audits = found || err != nil, audits || a.Count > 0 || a.Forgotten > 0
		}
		if !found || !audits {
			t.Errorf("%s: found by the books %v, from the record %v", name, found, audits)
		}
	}
}

// pump carries on until a time, every letter delivered at once, with the need of each debt paid where pays
// says so. It gives the letters and entries that went.
func (f *fleet) pump(ms float64, pays func(i int) (part float64, fill float64)) (letters int) {
	f.pays = pays
	for end := f.now + ms; f.now < end; f.now += period {
		for i, k := range f.gks {
			k.book.Clock(f.now)
			f.drain(i, -1)
		}
		for len(f.air) > 0 {
			l := f.air[0]
			f.air = f.air[1:]
			letters++
			if !f.deaf[l.to] {
				f.deliver(l, -1)
			}
		}
	}
	return letters
}

func never(int) (float64, float64)  { return 0, 0.01 }
func inTime(int) (float64, float64) { return 1, 0.01 }
func idly(int) (float64, float64)   { return 2, 0.01 }
func (f *fleet) at(i int) Holding   { return f.gks[i].book.Holds(customer) }
func (f *fleet) drawAll(i, n int) (units float64) {
	for f.lend(i, 0, n, -1, unit) == Lent {
		units++
	}
	return units
}

// A set that has never had a debt has its line at once; one that may have had one earns it first from fill
// that is left over.
func TestFirstRights(t *testing.T) {
	for _, c := range []struct {
		name string
		old  bool
		want float64
	}{{"old books", true, 6}, {"new books", false, 0}} {
		f := newFleet(1, 2, Plan{Line: 12, Repay: 20000}, c.old)
		if why := f.lend(0, 0, 2, -1, unit); why != Unsure {
			t.Errorf("%s: before its peer has spoken %v", c.name, why)
		}
		f.pump(2*period, never)
		h := f.at(0)
		if !h.Known || h.Rights != c.want || h.Earn != 6-c.want {
			t.Errorf("%s: %+v", c.name, h)
		}
		if f.pump(10000, idly); f.at(0).Rights != 6 || f.at(0).Earn != 0 {
			t.Errorf("%s: with time to earn %+v", c.name, f.at(0))
		}
	}
}

// Rights go where they are asked for, debts are paid in time, and rights come back where that is done.
func TestDrawnAndPaid(t *testing.T) {
	f := newFleet(1, 3, Plan{Line: 12, Repay: 20000}, true)
	f.lend(0, 0, 3, -1, unit)
	f.pump(2*period, never)
	f.used = 0
	got := f.drawAll(0, 3)
	for range 6 {
		f.pump(again+period, never)
		got += f.drawAll(0, 3)
	}
	if got < 10 || got > 12 {
		t.Errorf("%v of a line of 12 are drawn in %v s", got, 6*(again+period)/1000)
	}
	f.pump(20000, inTime)
	h, sum := f.at(0), f.gks[0].book.Figures()
	if h.Owed > 1e-6 || sum.Late > 0 || math.Abs(f.paid-got) > 0.01 {
		t.Errorf("after the time of repayment %+v, %v was paid, %v of it late", h, f.paid, sum.Late)
	}
}

// A debt whose customer is credited elsewhere now is paid there, in time, each unit once.
func TestDebtMoves(t *testing.T) {
	f := newFleet(1, 2, Plan{Line: 12, Repay: 20000}, true)
	f.lend(0, 0, 2, -1, unit)
	f.pump(2*period, never)
	f.used = 0
	got := f.drawAll(0, 2)
	f.pump(20000, func(i int) (float64, float64) { return 1, []float64{1e-6, 0.005}[i] })
	a, b := f.at(0), f.at(1)
	if a.Owed+b.Owed > 0.2 || math.Abs(f.paid+a.Owed+b.Owed-got) > 0.01 || a.GaveD < got/2 {
		t.Errorf("%+v and %+v, %v paid of %v", a, b, f.paid, got)
	}
}

// A peer that is heard and does not hear is handed no debt after one that it has not acknowledged: guards
// against a link that carries one way alone, over which a whole debt would go and be late by as long as that
// lasts.
func TestDebtStaysWhereNobodyHears(t *testing.T) {
	f := newFleet(1, 2, Plan{Line: 12, Repay: 20000}, true)
	f.lend(0, 0, 2, -1, unit)
	f.pump(2*period, never)
	got := f.drawAll(0, 2)
	pays := func(i int) (float64, float64) { return 1, []float64{1e-6, 0.005}[i] }
	for f.at(0).GaveD == 0 { // to the first hand-over
		f.pump(period, pays)
	}
	f.deaf = map[int]bool{1: true}
	f.pump(2*period, pays)
	first := f.at(0).GaveD
	f.pump(10*period, pays)
	if h := f.at(0); h.GaveD != first || first > 0.75*got {
		t.Errorf("of %v units drawn %v were handed on to one that does not hear, and then %v", got, first, h.GaveD)
	}
	f.deaf = nil
	f.pump(20000, pays)
	if h := f.at(0); h.Owed > 0.2 || h.GaveD <= first {
		t.Errorf("once it hears again: %+v", h)
	}
}

// A line lowered under what is owed lends nothing until that is under it, and what is owed is paid back.
func TestLineLowered(t *testing.T) {
	f := newFleet(1, 2, Plan{Line: 12, Repay: 20000}, true)
	f.lend(0, 0, 2, -1, unit)
	f.pump(2*period, never)
	f.used = 0
	f.drawAll(0, 2)
	f.terms.Plans[0].Line = 4
	for _, k := range f.gks {
		k.book.Replan(f.terms.Plans)
	}
	f.pump(period, never)
	if f.drawAll(0, 2) > 0 || f.drawAll(1, 2) > 0 {
		t.Error("it lends")
	}
	f.pump(2*period, never)
	if h := f.at(0); !h.Known || h.Rights >= 0 || f.drawAll(0, 2)+f.drawAll(1, 2) > 0 {
		t.Errorf("it lends with %+v", h)
	}
	f.pump(25000, idly)
	if h, more := f.at(0), f.drawAll(0, 2); h.Owed > 0 || more < 2 || more > 4 {
		t.Errorf("with all paid back %+v, %v is lent", h, more)
	}
}

// A book brought back from an old copy, which has rights that it gave away, finds out and draws on none of
// them.
func TestOldCopy(t *testing.T) {
	f := newFleet(1, 2, Plan{Line: 12, Repay: 20000}, true)
	f.lend(0, 0, 2, -1, unit)
	f.lend(1, 0, 2, -1, unit)
	f.pump(2*period, never)
	copied := map[int]Record{0: f.gks[1].shelf[0]}
	f.drawAll(0, 2)
	f.lend(0, 0, 2, -1, unit)
	f.pump(again+period, never)
	if f.at(1).GaveR == 0 {
		t.Fatal("nothing was handed on")
	}
	f.gks[1].shelf = copied
	f.start(1)
	f.lend(0, 0, 2, -1, 2*unit) // it asks its peer, and says what it has got
	f.pump(again+period, never)
	if h := f.at(1); h.Rights > 0 || f.gks[1].book.Figures().Forgotten == 0 {
		t.Errorf("it goes by its old copy: %+v", h)
	}
}

// Customers by the ten thousand: who finds no place gets no credit, places that are as new are used again.
func TestPlaces(t *testing.T) {
	b := New(Terms{Gatekeepers: 1, Plans: []Plan{{Line: 12, Repay: 20000}}}, 1, 0)
	b.Clock(1e6)
	lent := 0
	for i := range uint64(3 * Places) {
		if b.Lend(i, 0, 0, 1, 1) == Lent {
			lent++
		}
	}
	for _, ok := b.Next(); ok; _, ok = b.Next() {
	}
	if f := b.Figures(); lent != Places || f.Customers != Places || f.Refused[NoPlace] != 2*Places {
		t.Errorf("%d lent, %+v", lent, f)
	}
	for now := 1e6; now < 1.1e6; now += period {
		b.Clock(now)
		for d, ok := b.Next(); ok; d, ok = b.Next() {
			if d.Act == Collect {
				b.Paid(d.Customer, d.Most, 1)
			}
		}
	}
	if why := b.Lend(4*Places, 0, 0, 1, 1); why != Lent || len(b.all) > Places {
		t.Errorf("with all paid back %v, %d places", why, len(b.all))
	}
}

// A customer that has its line, as the ordinary loan goes: nothing is allocated.
func BenchmarkLend(b *testing.B) {
	k := New(Terms{Gatekeepers: 1, Plans: []Plan{{Line: 1e6, Repay: 20000}}}, 1, 0)
	k.Clock(1e6)
	b.ReportAllocs()
	for i := range b.N {
		if k.Lend(uint64(i%100), 0, 0, 1, 1) != Lent {
			b.Fatal("short")
		}
		d, ok := k.Next()
		for ; ok; d, ok = k.Next() {
			if d.Act == Collect {
				k.Paid(d.Customer, d.Need, 1)
			}
		}
		k.Paid(uint32(i%100), 1, 1)
	}
}

// Every order of five steps out of nine, from where both know what they hold and one has asked the other for
// more: letters taken in either order, twice or never, loans, looks, lives that end between two decisions.
func TestEveryOrder(t *testing.T) {
	steps := []struct {
		name string
		do   func(f *fleet)
	}{
		{"0 lends", func(f *fleet) { f.lend(0, 0, 2, -1, 2) }},
		{"1 lends", func(f *fleet) { f.lend(1, 0, 2, -1, 2) }},
		{"0 lends and is killed", func(f *fleet) { f.lend(0, 0, 2, 1, 2) }},
		{"the first letter comes", func(f *fleet) {
			if len(f.air) > 0 {
				l := f.air[0]
				f.air = f.air[1:]
				f.deliver(l, -1)
			}
		}},
		{"the last letter comes, and stays", func(f *fleet) {
			if n := len(f.air); n > 0 {
				f.deliver(f.air[n-1], -1)
			}
		}},
		{"the last letter comes, and who reads it is killed", func(f *fleet) {
			if n := len(f.air); n > 0 {
				f.deliver(f.air[n-1], 2)
			}
		}},
		{"the first letter is lost", func(f *fleet) { f.air = f.air[min(1, len(f.air)):] }},
		{"0 looks", func(f *fleet) { f.look(0) }},
		{"1 looks", func(f *fleet) { f.look(1) }},
	}
	const deep = 5
	most, paths := 0.0, 1
	for range deep {
		paths *= len(steps)
	}
	for path := range paths {
		f := newFleet(1, 2, Plan{Line: 12, Repay: 20000}, true)
		f.lend(0, 0, 2, -1, 1)
		f.lend(1, 0, 2, -1, 1)
		f.pump(2*period, inTime)
		f.used = 0
		f.drawAll(0, 2)
		var trail []string
		for rest, k := path, 0; k < deep; rest, k = rest/len(steps), k+1 {
			s := &steps[rest%len(steps)]
			trail = append(trail, s.name)
			s.do(f)
			if err := f.check(); err != nil {
				t.Fatalf("%v: %v", trail, err)
			}
		}
		most = max(most, f.used)
	}
	if most < 11 {
		t.Errorf("%v of a line of 12 were used at most: the orders test nothing", most)
	}
}

func (f *fleet) look(i int) {
	f.now += again
	f.gks[i].book.Clock(f.now)
	f.drain(i, -1)
}
