// Package borrowing decides what a gatekeeper lends a customer beyond its quota, and when that is paid back.
// It
// is free of I/O: a host tells it the time, what the module asks and what peers say, and pulls what follows.
//
// The line of a customer is a number of parts of a unit. Each part is in one place at one time: at one
// gatekeeper of the customer's set, as a right that may be drawn or as a debt that is owed; or on its way to
// another, where its giver has already let it go. Drawing makes debts of rights, paying makes rights of
// debts, and both are the gatekeeper's own doing, which asks nobody. This is the escrow method (O'Neil, The
// escrow transactional method, 1986) with rights handed on as in bounded counters (Balegas and others,
// Extending eventually consistent cloud databases for enforcing numeric invariants, 2015). What differs:
// debts move as well, and have a time; no matrix of all pairs is told, each pair of gatekeepers knows its
// own counters, and either restores what the other has lost; and what may have been drawn by a life that
// nobody remembers counts as drawn, and is earned back from fill that the customer leaves unused.
package borrowing

import (
	"hash/fnv"
	"math"
	"math/bits"
	"math/rand"
)

const (
	parts     = 1000    // of a unit, that are booked; sums of whole numbers are exact
	slots     = 8       // debts of a customer that are told apart by when they are due
	partners  = 6       // peers of a customer that anything is exchanged with; bounds what is kept
	widest    = 64      // gatekeepers of a set at most; of a wider one each part is too little to draw
	period    = 200.0   // ms between looks; small against any time of repayment
	again     = 400.0   // ms until what has not been acknowledged is told again; several ways there and back
	wantFor   = 2000.0  // ms that a refused loan is asked for among the peers; a burst's length
	settled   = 10000.0 // ms without a txn until a peer's word on what the customer's set is now is taken
	earnEach  = 1000.0  // ms between looks at customers that owe nothing and earn what may have been drawn
	quiet     = 1000.0  // ms without a loan until debts that can wait are paid; a burst's pauses
	early     = 0.8     // of the time of repayment in which debts are paid, so that a late look is in time
	keepHalf  = 0.5     // of its rights that one which is itself short of them keeps when asked for some
	tellMost  = 8       // customers told of to one peer at once; about a datagram
	tellPart  = 0.5     // of what a gatekeeper takes from peers, that words on credit may fill
	tellRow   = 10.0    // messages in a row; to the others of a few customers' sets
	talkMost  = 4096    // words that wait to be told; what finds no place is told later
	lookMost  = 4096    // customers looked at in a period, so that the lock is not held for long
	askWide   = 2       // peers that are asked for rights at once: those that said that they have most
	relievers = 4       // peers that are asked what they credit, where this one's own fill can't pay
	vainMost  = 2       // doublings of the pause between questions for rights that none have come on
	spareTold = 1000.0  // ms that a peer's word that it has no rights to spare is gone by
	relief    = 0.8     // of its fill, above which a gatekeeper has others pay a part of a debt
	fillTold  = 2000.0  // ms that a peer's word on its fill is gone by

	// Part is how much of a customer's fill may have to go to its debts: a line is at most what it comes to
	// within the time of repayment.
	Part = 0.5

	// Places is how many customers may have anything but their first part at once; the rest get no credit.
	Places = 1 << 14
)

// Refusal is why nothing is lent.
type Refusal uint8

// The refusals.
const (
	Lent    Refusal = iota
	NoLine          // the plan names no credit
	Wide            // the set is too wide
	NoPlace         // too many customers have credit open
	Unsure          // what a former life, or another set, has drawn is not known yet
	Short           // this gatekeeper's rights are spent
	Spoilt          // a place that could not be written
	Refusals
)

// Terms is what a book is told once.
type Terms struct {
	Me, Gatekeepers int
	Plans           []Plan
	PeerInPerS      float64 // messages that a gatekeeper takes in a second; 0 is no limit
}

// Plan is a plan's line, in units, and within how many ms each unit drawn is paid back. A line of nought
// lends nothing.
type Plan struct{ Line, Repay float64 }

// Pair is what one gatekeeper has given another and got from it, of a customer's rights and debts, in parts;
// these only grow. Due is when the debts that were given are due.
type Pair struct {
	Peer                     uint16
	Used                     bool
	GaveR, GaveD, GotR, GotD uint64
	Due                      float64
	ackedR, ackedD           uint64
	fill                     float64 // the peer's, units a ms, as it last said
	spare                    float64 // and what it could hand on, parts
	known                    bool    // and whether it knows what it holds
	heardFill, toldAt        float64
}

// Record is all that is kept of a customer over a sudden end. Amounts are in parts, times in ms of a clock
// that no life of the machine sets.
type Record struct {
	Customer uint32
	Plan, N  uint8
	First    uint16
	Live     bool
	Known    bool // what this gatekeeper holds is
	Virgin   bool // when the record was made there was surely no debt here
	Form     uint32
	Rights   int64 // below nought where the line was lowered under what is owed
	Earn     int64 // may have been drawn: becomes a right as unused fill pays for it
	Owed     [slots]int64
	Due      [slots]float64
	Pairs    [partners]Pair
}

// book keeping beside the record, which no later life needs
type account struct {
	Record
	heard, virgins uint64 // by place in the set: who has answered, and who of them was virgin
	asks, reply    uint64 // likewise: who is asked next, who is owed an answer,
	says           uint64 // and whom a word waits for
	nonce          uint16 // of the question
	echo           uint16 // of the question last asked here; one at a time is answered
	want           int64
	wantAt         float64
	seen           float64 // last asked for a loan here
	sought         float64 // last asked for by a peer, which needs to know what is held here
	looked         float64 // last collected
	fill           float64 // units a ms that it is credited here, as last seen
	askedAt        float64
	vain           int // times in a row that rights were asked for and none came
	active, dirty  bool
}

// Entry is a gatekeeper's word to another on one customer.
type Entry struct {
	Customer                 uint32
	Plan, N                  uint8
	First                    uint16
	Form                     uint16
	Known, Virgin            bool
	Asks, Answers            bool
	Nonce, Echo              uint16 // of the question that it asks, and that it answers
	GaveR, GaveD, GotR, GotD uint64
	Left                     float64 // part of the time of repayment left for the debts given, 0 to 1
	Want                     uint64  // rights wished for, parts
	Spare                    float64 // rights that could be handed on, units; 0 where there are none
	Fill                     float64 // what the customer is credited here, units a s; 0 where it is not seen
}

// Act is what a decision asks of the host.
type Act uint8

// The acts.
const (
	Store   Act = iota + 1 // keep Record in Place, before anything that follows
	Note                   // write down what was done: Event, Customer, Plan, Peer, Units, Serial
	Tell                   // send Entries to gatekeeper Peer
	Collect                // take Need units of the customer's fill of Span ms, up to Most where it is not used
	Wake                   // call Clock again by At
)

// Event is what a Note is of.
type Event uint8

// The events. A debt that grows is noted once it is kept, and one that shrinks before: whoever is killed
// between owes no less than is noted.
const (
	Lends Event = iota
	Undone
	Repays
	Earns
	Hands // of rights, and Serial all that was ever given to the peer; parts
	Takes
	HandsDebt
	TakesDebt
	Holds     // Units is the right from now on, whatever it was
	HoldsEarn // the same of what is earned
	HoldsOwed // and of what is owed
	HoldsGave // Serial is what was ever given to the peer
	HoldsGot  // and what was got from it
	HoldsGaveDebt
	HoldsGotDebt
	HoldsNone // it does not know what it holds, or, with a Serial, says all of it next
)

var written = [...][2]string{Lends: {"lends"}, Undone: {"repays", "undone"}, Repays: {"repays"},
	Earns: {"repays", "earned"}, Hands: {"hands"}, HandsDebt: {"hands", "debt"}, Takes: {"takes"},
	TakesDebt: {"takes", "debt"}, Holds: {"holds"}, HoldsEarn: {"holds", "earn"}, HoldsOwed: {"holds", "owed"},
	HoldsGave: {"holds", "gave"}, HoldsGot: {"holds", "got"}, HoldsGaveDebt: {"holds", "gave debt"},
	HoldsGotDebt: {"holds", "got debt"}, HoldsNone: {"holds", "none"}}

// Written gives how an event stands in a record: its kind, and which of that kind.
func (e Event) Written() (kind, says string) { return written[e][0], written[e][1] }

// Of tells whether an event is between two gatekeepers.
func (e Event) Of() bool {
	switch e {
	case Hands, HandsDebt, Takes, TakesDebt, HoldsGave, HoldsGot, HoldsGaveDebt, HoldsGotDebt:
		return true
	}
	return false
}

// Decision is one thing for the host to do. Entries is valid until the next call.
type Decision struct {
	Act        Act
	Place      int
	Record     *Record
	Event      Event
	Customer   uint32
	Plan, N    int
	Peer       int
	Units      float64
	Serial     uint64
	Form       uint32
	Entries    []Entry
	Need, Most float64
	Span, At   float64
}

// Figures are counts and the present state, in units.
type Figures struct {
	Outstanding, Rights, Earn         float64
	Lent, Repaid, Earned, Undone      float64
	Handed, Taken, Moved              float64
	Customers                         int
	Late                              float64 // units that were paid back after their time
	Refused                           [Refusals]int64
	Strayed, Forgotten, Asked, Sealed int64 // words of other sets or lines; books found older than a peer's
}

// Book is one gatekeeper's. It is not safe for concurrent use.
type Book struct {
	terms   Terms
	rng     *rand.Rand
	now     float64
	born    float64 // since when what is not in it surely had no debt here, were that older than it is
	next    float64
	begun   bool
	lines   []int64
	by      map[uint32]int32
	all     []account
	free    []int32
	active  []int32
	at      int // in active, where the look goes on
	dirty   []int32
	notes   []Decision // before what is to be kept
	later   []Decision // and after
	saidAll float64    // GCRA: the moment at which the part for words is whole again
	talk    []talk
	collect []int32
	entries []Entry
	sum     Figures
	noting  bool
	hint    int32 // where a place to be freed is looked for
}

type talk struct {
	peer int
	at   int32
}

// New makes a book in which nothing is known from before born, ms of the clock that it is told. A book that
// has had no life before holds that any customer may have drawn all until a time of repayment after that.
func New(t Terms, seed int64, born float64) *Book {
	b := &Book{terms: t, rng: rand.New(rand.NewSource(seed)), born: born, by: map[uint32]int32{}}
	b.line()
	return b
}

func (b *Book) line() {
	b.lines = b.lines[:0]
	for _, p := range b.terms.Plans {
		b.lines = append(b.lines, int64(p.Line*parts))
	}
}

// Noting has what is done from here on come out as Notes, after what is held now.
func (b *Book) Noting(on bool) {
	b.noting = on
	for i := range b.all {
		if b.all[i].Live {
			b.state(int32(i))
		}
	}
}

// Clock sets the time of what follows, ms.
func (b *Book) Clock(now float64) {
	if !b.begun {
		b.begun, b.next = true, now
	}
	b.now = math.Max(b.now, now)
}

// Restore takes a record that a former life has kept, before anything else; Place is where it is kept, and
// places come in their order.
func (b *Book) Restore(place int, r Record) {
	if _, twice := b.by[r.Customer]; twice || place < len(b.all) || place >= Places || !r.Live ||
		int(r.Plan) >= len(b.lines) {
		return
	}
	for len(b.all) < place {
		b.free = append(b.free, int32(len(b.all)))
		b.all = append(b.all, account{})
	}
	b.all = append(b.all, account{Record: r, nonce: b.nonce(), looked: b.now, seen: math.Inf(-1),
		sought: math.Inf(-1)})
	b.by[r.Customer] = int32(place)
	b.wake(int32(place))
}

func (b *Book) nonce() uint16 { return uint16(1 + b.rng.Intn(math.MaxUint16)) }

// Replan changes the plans' lines in service. What was drawn stays owed; of a line that has changed each
// gatekeeper's part counts as drawn where it is not known to be owed, until it is earned.
func (b *Book) Replan(plans []Plan) {
	b.terms.Plans = plans
	b.line()
	for i := range b.all {
		if a := &b.all[i]; a.Live {
			if int(a.Plan) >= len(plans) {
				continue
			}
			if f := b.form(int(a.Plan), int(a.First), int(a.N)); f != a.Form {
				b.reform(int32(i), int(a.Plan), int(a.First), int(a.N), f)
			}
		}
	}
}

// form stands for all that gatekeepers must see alike to exchange rights.
func (b *Book) form(plan, first, n int) uint32 {
	h := fnv.New32a()
	l, r, ring := b.lines[plan], int64(b.terms.Plans[plan].Repay), 0
	if first+n > b.terms.Gatekeepers { // else the set is the same in any ring that holds it
		ring = b.terms.Gatekeepers
	}
	_, _ = h.Write([]byte{byte(plan), byte(n), byte(first), byte(first >> 8), byte(ring), byte(ring >> 8),
		byte(l), byte(l >> 8), byte(l >> 16), byte(l >> 24), byte(l >> 32), byte(r), byte(r >> 8), byte(r >> 16)})
	return h.Sum32()
}

// Lend lends a customer units, if this gatekeeper has the right. The loan is written once Next has given all
// that follows; nothing may go out before that.
func (b *Book) Lend(customer uint64, plan, first, n int, units float64) Refusal {
	why := b.lend(uint32(customer), plan, first, max(n, 1), units)
	if why != Lent {
		b.sum.Refused[why]++
	}
	return why
}

func (b *Book) lend(customer uint32, plan, first, n int, units float64) Refusal {
	switch {
	case plan < 0 || plan >= len(b.lines) || b.lines[plan] <= 0:
		return NoLine
	case n > widest:
		return Wide
	}
	at := b.find(customer, plan, first, n)
	if at < 0 {
		return NoPlace
	}
	a, m := &b.all[at], int64(math.Ceil(units*parts-1e-6))
	a.seen = b.now
	if f := b.form(plan, first, n); a.Form != f {
		b.reform(at, plan, first, n, f)
	}
	if !a.Known && n == 1 {
		b.settle(at)
	}
	if !a.Known || a.Rights < m {
		a.want, a.wantAt = m, b.now
		b.wake(at)
		b.beg(at)
		if !a.Known {
			return Unsure
		}
		return Short
	}
	if a.Rights -= m; !a.active {
		a.looked = b.now // what was credited before is not this debt's
	}
	a.owe(m, b.now+b.terms.Plans[plan].Repay*early, b.terms.Plans[plan].Repay/slots)
	b.sum.Lent += float64(m) / parts
	b.note(Lends, at, 0, m, 0)
	b.touch(at)
	b.wake(at)
	if a.Rights < m && n > 1 { // the next one of the kind would be refused
		a.want, a.wantAt = m, b.now
		b.beg(at)
	}
	return Lent
}

// Undo takes a loan back that was not used.
func (b *Book) Undo(customer uint64, units float64) {
	at, ok := b.by[uint32(customer)]
	if !ok {
		return
	}
	a, m := &b.all[at], int64(math.Ceil(units*parts-1e-6))
	m = a.unowe(m)
	if a.Known {
		a.Rights += m
	}
	b.sum.Undone += float64(m) / parts
	b.note(Undone, at, 0, m, 0)
	b.touch(at)
}

// Paid tells how much of what was to be collected has been taken from the customer's fill, and that fill,
// units a ms.
func (b *Book) Paid(customer uint32, units, fill float64) {
	at, ok := b.by[customer]
	if !ok {
		return
	}
	a := &b.all[at]
	a.fill = fill
	m := int64(units*parts + 1e-6)
	if m <= 0 {
		return
	}
	late := a.late(b.now - (1-early)*b.terms.Plans[a.Plan].Repay)
	paid := a.pay(m)
	if paid > 0 {
		if a.Known {
			a.Rights += paid
		}
		b.sum.Repaid += float64(paid) / parts
		b.sum.Late += float64(min(late, paid)) / parts
		b.note(Repays, at, 0, paid, 0)
	}
	if rest := min(m-paid, a.Earn); rest > 0 && a.Known {
		a.Earn -= rest
		a.Rights += rest
		b.sum.Earned += float64(rest) / parts
		b.note(Earns, at, 0, rest, 0)
	}
	b.touch(at)
}

// find gives a customer's place, a new one if it has none.
func (b *Book) find(customer uint32, plan, first, n int) int32 {
	if at, ok := b.by[customer]; ok {
		return at
	}
	var at int32
	switch {
	case len(b.free) > 0:
		at = b.free[len(b.free)-1]
		b.free = b.free[:len(b.free)-1]
	case len(b.all) < Places:
		at = int32(len(b.all))
		b.all = append(b.all, account{})
	default:
		if at = b.vacate(); at < 0 {
			return -1
		}
	}
	a := &b.all[at]
	*a = account{Record: Record{Customer: customer, Plan: uint8(plan), N: uint8(n), First: uint16(first),
		Live: true, Form: b.form(plan, first, n), Virgin: b.now-b.born >= b.terms.Plans[plan].Repay},
		nonce: b.nonce(), looked: b.now, seen: math.Inf(-1), sought: math.Inf(-1)}
	b.by[customer] = at
	b.state(at)
	b.touch(at)
	return at
}

// vacate frees a place whose customer is as one that was never here, or gives none. It looks at a few.
func (b *Book) vacate() int32 {
	for range 16 {
		b.hint = (b.hint + 1) % int32(len(b.all))
		if a := &b.all[b.hint]; a.Live && b.asNew(a) && b.now-a.seen > settled {
			delete(b.by, a.Customer)
			return b.hint
		}
	}
	return -1
}

// asNew tells whether nothing would be lost with a record: all of its part is there, and nobody counts on
// what was exchanged.
func (b *Book) asNew(a *account) bool {
	if a.active || a.owed() != 0 || !a.Known && !a.Virgin ||
		a.Known && (a.Earn != 0 || a.Rights != b.lines[a.Plan]/int64(max(a.N, 1))) {
		return false
	}
	for i := range a.Pairs {
		if !a.Pairs[i].zero() {
			return false
		}
	}
	return true
}

// reform starts a customer's account anew for another set or line. What is owed stays owed; what else this
// gatekeeper holds is not known until all of the set have said what they have given and got.
func (b *Book) reform(at int32, plan, first, n int, form uint32) {
	a := &b.all[at]
	a.Plan, a.First, a.N, a.Form = uint8(plan), uint16(first), uint8(n), form
	a.Virgin = false
	a.forget(b.nonce())
	b.state(at)
	b.touch(at)
	b.wake(at)
}

// forget lets go of all but debts.
func (a *account) forget(nonce uint16) {
	a.Known, a.Rights, a.Earn = false, 0, 0
	clear(a.Pairs[:])
	a.heard, a.virgins, a.nonce, a.asks, a.reply, a.askedAt = 0, 0, nonce, 0, 0, 0
}

// settle takes up this gatekeeper's part once all of the set have answered. What it does not know to be owed
// counts as drawn, unless none of the set has ever had anything of this customer.
func (b *Book) settle(at int32) {
	a := &b.all[at]
	others := b.others(a)
	if a.Known || a.heard&others != others {
		return
	}
	t, clean := b.lines[a.Plan]/int64(a.N), a.Virgin && a.virgins&others == others && a.owed() == 0
	for i := range a.Pairs {
		p := &a.Pairs[i]
		t += int64(p.GotR+p.GotD) - int64(p.GaveR+p.GaveD)
		clean = clean && p.zero()
	}
	a.Known = true
	switch owed := a.owed(); {
	case clean:
		a.Rights = t
	case t > owed:
		a.Earn = t - owed
	default:
		a.Rights = t - owed
	}
	b.state(at)
	b.touch(at)
	b.wake(at)
}

// others are the places in a customer's set of all but this gatekeeper.
func (b *Book) others(a *account) uint64 {
	return (uint64(1)<<a.N - 1) &^ (1 << b.place(int(a.First), int(a.N), b.terms.Me))
}

// place gives where a gatekeeper stands in a set, or, for one that is not in it, widest.
func (b *Book) place(first, n, who int) uint {
	if at := (who - first + b.terms.Gatekeepers) % max(b.terms.Gatekeepers, 1); at >= 0 && at < n {
		return uint(at)
	}
	return widest
}

// pair gives what was exchanged with a peer, or a place for it that is not used yet; nil is none.
func (b *Book) pair(a *account, peer int) *Pair {
	var free *Pair
	for i := range a.Pairs {
		p := &a.Pairs[i]
		if p.Used && int(p.Peer) == peer {
			return p
		}
		if free == nil && (!p.Used || p.zero() && b.now-p.heardFill > fillTold) {
			free = p
		}
	}
	return free
}

// use has a place for a pair be this peer's.
func (p *Pair) use(peer int) {
	if !p.Used || int(p.Peer) != peer {
		*p = Pair{Peer: uint16(peer), Used: true}
	}
}

// zero tells whether nothing has been exchanged.
func (p *Pair) zero() bool { return p.GaveR|p.GaveD|p.GotR|p.GotD == 0 }

func (a *account) owed() (sum int64) {
	for _, m := range a.Owed {
		sum += m
	}
	return sum
}

// late is what was due before a time.
func (a *account) late(now float64) (sum int64) {
	for i, m := range a.Owed {
		if m > 0 && a.Due[i] < now {
			sum += m
		}
	}
	return sum
}

// owe books a debt that is due at a time. Those within grain ms of each other are one, due with the earliest.
func (a *account) owe(m int64, due, grain float64) {
	best, free := -1, -1
	for i := range a.Owed {
		switch {
		case a.Owed[i] == 0:
			free = i
		case a.Due[i] <= due && (best < 0 || a.Due[i] > a.Due[best]):
			best = i
		}
	}
	switch {
	case best >= 0 && (due-a.Due[best] < grain || free < 0):
		a.Owed[best] += m
	case free >= 0:
		a.Owed[free], a.Due[free] = m, due
	default: // due before all others, and no place: the first is due with it
		first := 0
		for i := range a.Due {
			if a.Due[i] < a.Due[first] {
				first = i
			}
		}
		a.Owed[first], a.Due[first] = a.Owed[first]+m, due
	}
}

// pay pays debts, those due first before others, and gives how much of it there was to pay.
func (a *account) pay(m int64) (paid int64) {
	return a.strike(m, func(due, than float64) bool { return due < than })
}

// unowe takes debts back, those due last before others.
func (a *account) unowe(m int64) (back int64) {
	return a.strike(m, func(due, than float64) bool { return due > than })
}

// strike takes debts away in the order of when they are due, and gives how much of it there was.
func (a *account) strike(m int64, before func(due, than float64) bool) (struck int64) {
	for struck < m {
		next := -1
		for i := range a.Owed {
			if a.Owed[i] > 0 && (next < 0 || before(a.Due[i], a.Due[next])) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		x := min(a.Owed[next], m-struck)
		a.Owed[next] -= x
		struck += x
	}
	return struck
}

// pace is what has to be paid from now on, parts a ms, so that each debt is paid when it is due.
func (a *account) pace(now float64) (most float64) {
	for i := range a.Owed {
		if a.Owed[i] == 0 {
			continue
		}
		sum := int64(0)
		for k := range a.Owed {
			if a.Due[k] <= a.Due[i] {
				sum += a.Owed[k]
			}
		}
		most = math.Max(most, float64(sum)/math.Max(a.Due[i]-now, period))
	}
	return most
}

func (b *Book) touch(at int32) {
	if a := &b.all[at]; !a.dirty {
		a.dirty = true
		b.dirty = append(b.dirty, at)
	}
}

func (b *Book) wake(at int32) {
	if a := &b.all[at]; !a.active {
		a.active = true
		b.active = append(b.active, at)
	}
}

func (b *Book) note(e Event, at int32, peer int, m int64, serial uint64) {
	if !b.noting {
		return
	}
	a := &b.all[at]
	d := Decision{Act: Note, Event: e, Customer: a.Customer, Plan: int(a.Plan), N: int(a.N), Peer: peer,
		Units: float64(m) / parts, Serial: serial, Form: a.Form}
	if e == Lends || e == TakesDebt || e >= Holds && len(b.later) > 0 {
		b.later = append(b.later, d)
	} else {
		b.notes = append(b.notes, d)
	}
}

// state notes all that is held of a customer.
func (b *Book) state(at int32) {
	if !b.noting {
		return
	}
	a := &b.all[at]
	known := uint64(0)
	if a.Known { // all is said next
		known = 1
	}
	b.note(HoldsNone, at, 0, 0, known)
	for others := b.others(a); a.Known && others != 0; others &= others - 1 {
		peer, p := (int(a.First)+bits.TrailingZeros64(others))%b.terms.Gatekeepers, Pair{}
		if known := b.pair(a, peer); known != nil && known.Used && int(known.Peer) == peer {
			p = *known
		}
		b.note(HoldsGave, at, peer, 0, p.GaveR)
		b.note(HoldsGot, at, peer, 0, p.GotR)
		b.note(HoldsGaveDebt, at, peer, 0, p.GaveD)
		b.note(HoldsGotDebt, at, peer, 0, p.GotD)
	}
	b.note(HoldsOwed, at, 0, a.owed(), 0)
	if a.Known {
		b.note(HoldsEarn, at, 0, a.Earn, 0)
		b.note(Holds, at, 0, a.Rights, 0)
	}
}

// Figures gives counts and the present state.
func (b *Book) Figures() Figures {
	f := b.sum
	for i := range b.all {
		if a := &b.all[i]; a.Live {
			f.Customers++
			f.Outstanding += float64(a.owed()) / parts
			f.Rights += float64(a.Rights) / parts
			f.Earn += float64(a.Earn) / parts
		}
	}
	return f
}

// Plans calls each with what is held for a customer, for all of them: its plan, the rights that it may draw
// here at once, and what it owes here, in units.
func (b *Book) Plans(each func(plan int, rights, owed float64)) {
	for i := range b.all {
		if a := &b.all[i]; a.Live {
			rights := 0.0
			if a.Known && a.Rights > 0 {
				rights = float64(a.Rights) / parts
			}
			each(int(a.Plan), rights, float64(a.owed())/parts)
		}
	}
}

// Holding is what a book has of one customer, in units.
type Holding struct {
	Known                    bool
	Rights, Earn, Owed       float64
	GaveR, GaveD, GotR, GotD float64
}

// Holds gives what is held for a customer.
func (b *Book) Holds(customer uint64) Holding {
	at, ok := b.by[uint32(customer)]
	if !ok {
		return Holding{}
	}
	a := &b.all[at]
	h := Holding{Known: a.Known, Rights: float64(a.Rights) / parts, Earn: float64(a.Earn) / parts,
		Owed: float64(a.owed()) / parts}
	for i := range a.Pairs {
		p := &a.Pairs[i]
		h.GaveR += float64(p.GaveR) / parts
		h.GaveD += float64(p.GaveD) / parts
		h.GotR += float64(p.GotR) / parts
		h.GotD += float64(p.GotD) / parts
	}
	return h
}
