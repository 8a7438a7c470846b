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
	partsPerUnit             = 1000    // of a unit, that are booked; sums of whole numbers are exact
	debtSlots                = 8       // debts of a customer that are told apart by when they are due
	maxPairs                 = 6       // peers of a customer that anything is exchanged with; bounds what is kept
	maxSetSize               = 64      // gatekeepers of a set at most; of a wider one each part is too little to draw
	lookIntervalMillis       = 200.0   // ms between looks; small against any time of repayment
	resendMillis             = 400.0   // ms until what has not been acknowledged is told again; several ways there and back
	wantTTLMillis            = 2000.0  // ms that a refused loan is asked for among the peers; a burst's length
	localSetPrecedenceMillis = 10000.0 // ms without a txn until a peer's word on what the customer's set is now is taken
	earnIntervalMillis       = 1000.0  // ms between looks at customers that owe nothing and earn what may have been drawn
	borrowingPauseMillis     = 1000.0  // ms without a loan until debts that can wait are paid; a burst's pauses
	repaymentDueShare        = 0.8     // of the time of repayment in which debts are paid, so that a late look is in time
	retainedShare            = 0.5     // of its rights that one which is itself short of them keeps when asked for some
	maxEntriesPerMessage     = 8       // customers told of to one peer at once; about a datagram
	messageRateShare         = 0.5     // of what a gatekeeper takes from peers, that words on credit may fill
	messageBurst             = 10.0    // messages in a row; to the others of a few customers' sets
	maxPendingEntries        = 4096    // words that wait to be told; what finds no place is told later
	maxLooksPerInterval      = 4096    // customers looked at in a period, so that the lock is not held for long
	rightsRequestFanout      = 2       // peers that are asked for rights at once: those that said that they have most
	debtTransferFanout       = 4       // peers that are asked what they credit, where this one's own fill can't pay
	maxRequestDoublings      = 2       // doublings of the pause between questions for rights that none have come on
	spareTTLMillis           = 1000.0  // ms that a peer's word that it has no rights to spare is gone by
	debtTransferFillShare    = 0.8     // of its fill, above which a gatekeeper has others pay a part of a debt
	fillTTLMillis            = 2000.0  // ms that a peer's word on its fill is gone by

	// Part is how much of a customer's fill may have to go to its debts: a line is at most what it comes to
	// within the time of repayment.
	MaxRepaymentShare = 0.5

	// Places is how many customers may have anything but their first part at once; the rest get no credit.
	MaxAccounts = 1 << 14
)

// Refusal is why nothing is lent.
type LoanResult uint8

// The refusals.
const (
	LoanGranted         LoanResult = iota
	DeniedNoLine                   // the plan names no credit
	DeniedSetTooLarge              // the set is too wide
	DeniedTableFull                // too many customers have credit open
	DeniedRightsUnknown            // what a former life, or another set, has drawn is not known yet
	DeniedNoRights                 // this gatekeeper's rights are spent
	DeniedCorrupt                  // a place that could not be written
	LoanResultCount
)

// Terms is what a book is told once.
type Config struct {
	Instance, Instances   int
	Plans                 []Plan
	PeerMessagesPerSecond float64 // messages that a gatekeeper takes in a second; 0 is no limit
}

// Plan is a plan's line, in units, and within how many ms each unit drawn is paid back. A line of nought
// lends nothing.
type Plan struct{ LineUnits, RepayMillis float64 }

// Pair is what one gatekeeper has given another and got from it, of a customer's rights and debts, in parts;
// these only grow. Due is when the debts that were given are due.
type Pair struct {
	Peer                                                 uint16
	Used                                                 bool
	RightsGiven, DebtGiven, RightsReceived, DebtReceived uint64
	DueMillis                                            float64
	rightsAcked, debtAcked                               uint64
	fillPerMilli                                         float64 // the peer's, units a ms, as it last said
	spareParts                                           float64 // and what it could hand on, parts
	rightsKnown                                          bool    // and whether it knows what it holds
	heardMillis, sentMillis                              float64
}

// Record is all that is kept of a customer over a sudden end. Amounts are in parts, times in ms of a clock
// that no life of the machine sets.
type Record struct {
	Customer      uint32
	Plan, SetSize uint8
	First         uint16
	InUse         bool
	Known         bool // what this gatekeeper holds is
	NoPriorDebt   bool // when the record was made there was surely no debt here
	SetDigest     uint32
	Rights        int64 // below nought where the line was lowered under what is owed
	PresumedDrawn int64 // may have been drawn: becomes a right as unused fill pays for it
	Debt          [debtSlots]int64
	DebtDueMillis [debtSlots]float64
	Pairs         [maxPairs]Pair
}

// book keeping beside the record, which no later life needs
type account struct {
	Record
	answeredPlaces, noPriorDebtPlaces uint64 // by place in the set: who has answered, and who of them was virgin
	queryPlaces, replyPlaces          uint64 // likewise: who is asked next, who is owed an answer,
	queuedPlaces                      uint64 // and whom a word waits for
	nonce                             uint16 // of the question
	echo                              uint16 // of the question last asked here; one at a time is answered
	wantedParts                       int64
	wantedMillis                      float64
	lastLoanMillis                    float64 // last asked for a loan here
	lastQueriedMillis                 float64 // last asked for by a peer, which needs to know what is held here
	lastCollectedMillis               float64 // last collected
	fillPerMilli                      float64 // units a ms that it is credited here, as last seen
	lastRequestMillis                 float64
	unansweredRequests                int // times in a row that rights were asked for and none came
	active, dirty                     bool
}

// Entry is a gatekeeper's word to another on one customer.
type Entry struct {
	Customer                                             uint32
	Plan, SetSize                                        uint8
	First                                                uint16
	SetDigest                                            uint16
	Known, NoPriorDebt                                   bool
	IsQuery, IsReply                                     bool
	Nonce, Echo                                          uint16 // of the question that it asks, and that it answers
	RightsGiven, DebtGiven, RightsReceived, DebtReceived uint64
	DebtTimeLeft                                         float64 // part of the time of repayment left for the debts given, 0 to 1
	WantedParts                                          uint64  // rights wished for, parts
	SpareUnits                                           float64 // rights that could be handed on, units; 0 where there are none
	FillPerSecond                                        float64 // what the customer is credited here, units a s; 0 where it is not seen
}

// Act is what a decision asks of the host.
type Action uint8

// The acts.
const (
	ActionStore       Action = iota + 1 // keep Record in Place, before anything that follows
	ActionRecordEvent                   // write down what was done: Event, Customer, Plan, Peer, Units, Serial
	ActionSend                          // send Entries to gatekeeper Peer
	ActionCollect                       // take Need units of the customer's fill of Span ms, up to Most where it is not used
	ActionWake                          // call Clock again by At
)

// Event is what a Note is of.
type Event uint8

// The events. A debt that grows is noted once it is kept, and one that shrinks before: whoever is killed
// between owes no less than is noted.
const (
	EventLent Event = iota
	EventUndone
	EventRepaid
	EventEarned
	EventRightsGiven // of rights, and Serial all that was ever given to the peer; parts
	EventRightsReceived
	EventDebtGiven
	EventDebtReceived
	EventHoldsRights         // Units is the right from now on, whatever it was
	EventHoldsPresumedDrawn  // the same of what is earned
	EventHoldsDebt           // and of what is owed
	EventHoldsRightsGiven    // Serial is what was ever given to the peer
	EventHoldsRightsReceived // and what was got from it
	EventHoldsDebtGiven
	EventHoldsDebtReceived
	EventHoldsUnknown // it does not know what it holds, or, with a Serial, says all of it next
)

var historyKeys = [...][2]string{
	EventLent:   {"lends"},
	EventUndone: {"repays", "undone"},
	EventRepaid: {"repays"},
	EventEarned: {
		"repays",
		"earned",
	},
	EventRightsGiven:    {"hands"},
	EventDebtGiven:      {"hands", "debt"},
	EventRightsReceived: {"takes"},
	EventDebtReceived: {
		"takes",
		"debt",
	},
	EventHoldsRights:        {"holds"},
	EventHoldsPresumedDrawn: {"holds", "earn"},
	EventHoldsDebt:          {"holds", "owed"},
	EventHoldsRightsGiven: {
		"holds",
		"gave",
	},
	EventHoldsRightsReceived: {"holds", "got"},
	EventHoldsDebtGiven:      {"holds", "gave debt"},
	EventHoldsDebtReceived:   {"holds", "got debt"},
	EventHoldsUnknown:        {"holds", "none"},
}

// Written gives how an event stands in a record: its kind, and which of that kind.
func (e Event) HistoryKey() (kind, detail string) { return historyKeys[e][0], historyKeys[e][1] }

// Of tells whether an event is between two gatekeepers.
func (e Event) InvolvesPeer() bool {
	switch e {
	case EventRightsGiven,
		EventDebtGiven,
		EventRightsReceived,
		EventDebtReceived,
		EventHoldsRightsGiven,
		EventHoldsRightsReceived,
		EventHoldsDebtGiven,
		EventHoldsDebtReceived:
		return true
	}
	return false
}

// Decision is one thing for the host to do. Entries is valid until the next call.
type Decision struct {
	Action               Action
	Slot                 int
	Record               *Record
	Event                Event
	Customer             uint32
	Plan, SetSize        int
	Peer                 int
	Units                float64
	Serial               uint64
	SetDigest            uint32
	Entries              []Entry
	RepayUnits, MaxUnits float64
	SpanMillis, AtMillis float64
}

// Figures are counts and the present state, in units.
type Figures struct {
	Outstanding, Rights, PresumedDrawn                      float64
	Lent, Repaid, Earned, Undone                            float64
	RightsGiven, RightsReceived, DebtGiven                  float64
	Customers                                               int
	RepaidLate                                              float64 // units that were paid back after their time
	Denied                                                  [LoanResultCount]int64
	RejectedEntries, AccountsReset, QueriesReceived, Sealed int64 // words of other sets or lines; books found older than a peer's
}

// Book is one gatekeeper's. It is not safe for concurrent use.
type Lender struct {
	config               Config
	rng                  *rand.Rand
	nowMillis            float64
	bornMillis           float64 // since when what is not in it surely had no debt here, were that older than it is
	nextLookMillis       float64
	started              bool
	lineParts            []int64
	slotOf               map[uint32]int32
	accounts             []account
	freeSlots            []int32
	activeSlots          []int32
	activeCursor         int // in active, where the look goes on
	dirtySlots           []int32
	eventsBeforeStore    []Decision // before what is to be kept
	eventsAfterStore     []Decision // and after
	messagesFullAtMillis float64    // GCRA: the moment at which the part for words is whole again
	pendingEntries       []pendingEntry
	collectSlots         []int32
	entryBuffer          []Entry
	totals               Figures
	recordsEvents        bool
	evictionCursor       int32 // where a place to be freed is looked for
}

type pendingEntry struct {
	peer int
	slot int32
}

// New makes a book in which nothing is known from before born, ms of the clock that it is told. A book that
// has had no life before holds that any customer may have drawn all until a time of repayment after that.
func New(config Config, seed int64, bornMillis float64) *Lender {
	l := &Lender{
		config:     config,
		rng:        rand.New(rand.NewSource(seed)),
		bornMillis: bornMillis,
		slotOf:     map[uint32]int32{},
	}
	l.updateLines()
	return l
}

func (l *Lender) updateLines() {
	l.lineParts = l.lineParts[:0]
	for _, p := range l.config.Plans {
		l.lineParts = append(l.lineParts, int64(p.LineUnits*partsPerUnit))
	}
}

// Noting has what is done from here on come out as Notes, after what is held now.
func (l *Lender) RecordEvents(on bool) {
	l.recordsEvents = on
	for i := range l.accounts {
		if l.accounts[i].InUse {
			l.recordState(int32(i))
		}
	}
}

// Clock sets the time of what follows, ms.
func (l *Lender) Advance(nowMillis float64) {
	if !l.started {
		l.started, l.nextLookMillis = true, nowMillis
	}
	l.nowMillis = math.Max(l.nowMillis, nowMillis)
}

// Restore takes a record that a former life has kept, before anything else; Place is where it is kept, and
// places come in their order.
func (l *Lender) Restore(slot int, record Record) {
	if _, duplicate := l.slotOf[record.Customer]; duplicate || slot < len(l.accounts) || slot >= MaxAccounts ||
		!record.InUse ||
		int(record.Plan) >= len(l.lineParts) {
		return
	}
	for len(l.accounts) < slot {
		l.freeSlots = append(l.freeSlots, int32(len(l.accounts)))
		l.accounts = append(l.accounts, account{})
	}
	l.accounts = append(
		l.accounts,
		account{Record: record, nonce: l.newNonce(), lastCollectedMillis: l.nowMillis, lastLoanMillis: math.Inf(-1),
			lastQueriedMillis: math.Inf(-1)},
	)
	l.slotOf[record.Customer] = int32(slot)
	l.activate(int32(slot))
}

func (l *Lender) newNonce() uint16 { return uint16(1 + l.rng.Intn(math.MaxUint16)) }

// Replan changes the plans' lines in service. What was drawn stays owed; of a line that has changed each
// gatekeeper's part counts as drawn where it is not known to be owed, until it is earned.
func (l *Lender) SetPlans(plans []Plan) {
	l.config.Plans = plans
	l.updateLines()
	for i := range l.accounts {
		if a := &l.accounts[i]; a.InUse {
			if int(a.Plan) >= len(plans) {
				continue
			}
			if digest := l.setDigest(int(a.Plan), int(a.First), int(a.SetSize)); digest != a.SetDigest {
				l.changeSet(int32(i), int(a.Plan), int(a.First), int(a.SetSize), digest)
			}
		}
	}
}

// form stands for all that gatekeepers must see alike to exchange rights.
func (l *Lender) setDigest(plan, first, size int) uint32 {
	h := fnv.New32a()
	line, repay, ring := l.lineParts[plan], int64(l.config.Plans[plan].RepayMillis), 0
	if first+size > l.config.Instances { // else the set is the same in any ring that holds it
		ring = l.config.Instances
	}
	_, _ = h.Write([]byte{
		byte(plan),
		byte(size),
		byte(first),
		byte(first >> 8),
		byte(ring),
		byte(ring >> 8),
		byte(
			line,
		),
		byte(line >> 8),
		byte(line >> 16),
		byte(line >> 24),
		byte(line >> 32),
		byte(repay),
		byte(repay >> 8),
		byte(repay >> 16),
	})
	return h.Sum32()
}

// Lend lends a customer units, if this gatekeeper has the right. The loan is written once Next has given all
// that follows; nothing may go out before that.
func (l *Lender) Lend(customer uint64, plan, first, setSize int, units float64) LoanResult {
	result := l.tryLend(uint32(customer), plan, first, max(setSize, 1), units)
	if result != LoanGranted {
		l.totals.Denied[result]++
	}
	return result
}

func (l *Lender) tryLend(customer uint32, plan, first, setSize int, units float64) LoanResult {
	switch {
	case plan < 0 || plan >= len(l.lineParts) || l.lineParts[plan] <= 0:
		return DeniedNoLine
	case setSize > maxSetSize:
		return DeniedSetTooLarge
	}
	slot := l.findSlot(customer, plan, first, setSize)
	if slot < 0 {
		return DeniedTableFull
	}
	a, parts := &l.accounts[slot], int64(math.Ceil(units*partsPerUnit-1e-6))
	a.lastLoanMillis = l.nowMillis
	if digest := l.setDigest(plan, first, setSize); a.SetDigest != digest {
		l.changeSet(slot, plan, first, setSize, digest)
	}
	if !a.Known && setSize == 1 {
		l.determineRights(slot)
	}
	if !a.Known || a.Rights < parts {
		a.wantedParts, a.wantedMillis = parts, l.nowMillis
		l.activate(slot)
		l.requestRights(slot)
		if !a.Known {
			return DeniedRightsUnknown
		}
		return DeniedNoRights
	}
	if a.Rights -= parts; !a.active {
		a.lastCollectedMillis = l.nowMillis // what was credited before is not this debt's
	}
	a.addDebt(
		parts,
		l.nowMillis+l.config.Plans[plan].RepayMillis*repaymentDueShare,
		l.config.Plans[plan].RepayMillis/debtSlots,
	)
	l.totals.Lent += float64(parts) / partsPerUnit
	l.recordEvent(EventLent, slot, 0, parts, 0)
	l.markDirty(slot)
	l.activate(slot)
	if a.Rights < parts && setSize > 1 { // the next one of the kind would be refused
		a.wantedParts, a.wantedMillis = parts, l.nowMillis
		l.requestRights(slot)
	}
	return LoanGranted
}

// Undo takes a loan back that was not used.
func (l *Lender) Undo(customer uint64, units float64) {
	slot, ok := l.slotOf[uint32(customer)]
	if !ok {
		return
	}
	a, parts := &l.accounts[slot], int64(math.Ceil(units*partsPerUnit-1e-6))
	parts = a.cancelDebt(parts)
	if a.Known {
		a.Rights += parts
	}
	l.totals.Undone += float64(parts) / partsPerUnit
	l.recordEvent(EventUndone, slot, 0, parts, 0)
	l.markDirty(slot)
}

// Paid tells how much of what was to be collected has been taken from the customer's fill, and that fill,
// units a ms.
func (l *Lender) RecordPayment(customer uint32, units, fillPerMilli float64) {
	slot, ok := l.slotOf[customer]
	if !ok {
		return
	}
	a := &l.accounts[slot]
	a.fillPerMilli = fillPerMilli
	parts := int64(units*partsPerUnit + 1e-6)
	if parts <= 0 {
		return
	}
	overdue := a.overdue(l.nowMillis - (1-repaymentDueShare)*l.config.Plans[a.Plan].RepayMillis)
	paid := a.repay(parts)
	if paid > 0 {
		if a.Known {
			a.Rights += paid
		}
		l.totals.Repaid += float64(paid) / partsPerUnit
		l.totals.RepaidLate += float64(min(overdue, paid)) / partsPerUnit
		l.recordEvent(EventRepaid, slot, 0, paid, 0)
	}
	if earned := min(parts-paid, a.PresumedDrawn); earned > 0 && a.Known {
		a.PresumedDrawn -= earned
		a.Rights += earned
		l.totals.Earned += float64(earned) / partsPerUnit
		l.recordEvent(EventEarned, slot, 0, earned, 0)
	}
	l.markDirty(slot)
}

// find gives a customer's place, a new one if it has none.
func (l *Lender) findSlot(customer uint32, plan, first, setSize int) int32 {
	if slot, ok := l.slotOf[customer]; ok {
		return slot
	}
	var slot int32
	switch {
	case len(l.freeSlots) > 0:
		slot = l.freeSlots[len(l.freeSlots)-1]
		l.freeSlots = l.freeSlots[:len(l.freeSlots)-1]
	case len(l.accounts) < MaxAccounts:
		slot = int32(len(l.accounts))
		l.accounts = append(l.accounts, account{})
	default:
		if slot = l.evictSlot(); slot < 0 {
			return -1
		}
	}
	a := &l.accounts[slot]
	*a = account{
		Record: Record{
			Customer:    customer,
			Plan:        uint8(plan),
			SetSize:     uint8(setSize),
			First:       uint16(first),
			InUse:       true,
			SetDigest:   l.setDigest(plan, first, setSize),
			NoPriorDebt: l.nowMillis-l.bornMillis >= l.config.Plans[plan].RepayMillis,
		},
		nonce:               l.newNonce(),
		lastCollectedMillis: l.nowMillis,
		lastLoanMillis:      math.Inf(-1),
		lastQueriedMillis:   math.Inf(-1),
	}
	l.slotOf[customer] = slot
	l.recordState(slot)
	l.markDirty(slot)
	return slot
}

// vacate frees a place whose customer is as one that was never here, or gives none. It looks at a few.
func (l *Lender) evictSlot() int32 {
	for range 16 {
		l.evictionCursor = (l.evictionCursor + 1) % int32(len(l.accounts))
		if a := &l.accounts[l.evictionCursor]; a.InUse && l.isPristine(a) &&
			l.nowMillis-a.lastLoanMillis > localSetPrecedenceMillis {
			delete(l.slotOf, a.Customer)
			return l.evictionCursor
		}
	}
	return -1
}

// asNew tells whether nothing would be lost with a record: all of its part is there, and nobody counts on
// what was exchanged.
func (l *Lender) isPristine(a *account) bool {
	if a.active || a.totalDebt() != 0 || !a.Known && !a.NoPriorDebt ||
		a.Known && (a.PresumedDrawn != 0 || a.Rights != l.lineParts[a.Plan]/int64(max(a.SetSize, 1))) {
		return false
	}
	for i := range a.Pairs {
		if !a.Pairs[i].isZero() {
			return false
		}
	}
	return true
}

// reform starts a customer's account anew for another set or line. What is owed stays owed; what else this
// gatekeeper holds is not known until all of the set have said what they have given and got.
func (l *Lender) changeSet(slot int32, plan, first, setSize int, digest uint32) {
	a := &l.accounts[slot]
	a.Plan, a.First, a.SetSize, a.SetDigest = uint8(plan), uint16(first), uint8(setSize), digest
	a.NoPriorDebt = false
	a.reset(l.newNonce())
	l.recordState(slot)
	l.markDirty(slot)
	l.activate(slot)
}

// forget lets go of all but debts.
func (a *account) reset(nonce uint16) {
	a.Known, a.Rights, a.PresumedDrawn = false, 0, 0
	clear(a.Pairs[:])
	a.answeredPlaces, a.noPriorDebtPlaces, a.nonce, a.queryPlaces, a.replyPlaces, a.lastRequestMillis = 0, 0, nonce, 0, 0, 0
}

// settle takes up this gatekeeper's part once all of the set have answered. What it does not know to be owed
// counts as drawn, unless none of the set has ever had anything of this customer.
func (l *Lender) determineRights(slot int32) {
	a := &l.accounts[slot]
	others := l.otherPlaces(a)
	if a.Known || a.answeredPlaces&others != others {
		return
	}
	held, pristine := l.lineParts[a.Plan]/int64(
		a.SetSize,
	), a.NoPriorDebt && a.noPriorDebtPlaces&others == others &&
		a.totalDebt() == 0
	for i := range a.Pairs {
		p := &a.Pairs[i]
		held += int64(p.RightsReceived+p.DebtReceived) - int64(p.RightsGiven+p.DebtGiven)
		pristine = pristine && p.isZero()
	}
	a.Known = true
	switch debt := a.totalDebt(); {
	case pristine:
		a.Rights = held
	case held > debt:
		a.PresumedDrawn = held - debt
	default:
		a.Rights = held - debt
	}
	l.recordState(slot)
	l.markDirty(slot)
	l.activate(slot)
}

// others are the places in a customer's set of all but this gatekeeper.
func (l *Lender) otherPlaces(a *account) uint64 {
	return (uint64(1)<<a.SetSize - 1) &^ (1 << l.placeInSet(int(a.First), int(a.SetSize), l.config.Instance))
}

// place gives where a gatekeeper stands in a set, or, for one that is not in it, widest.
func (l *Lender) placeInSet(first, setSize, instance int) uint {
	if place := (instance - first + l.config.Instances) % max(
		l.config.Instances,
		1,
	); place >= 0 &&
		place < setSize {
		return uint(place)
	}
	return maxSetSize
}

// pair gives what was exchanged with a peer, or a place for it that is not used yet; nil is none.
func (l *Lender) pairWith(a *account, peer int) *Pair {
	var free *Pair
	for i := range a.Pairs {
		p := &a.Pairs[i]
		if p.Used && int(p.Peer) == peer {
			return p
		}
		if free == nil && (!p.Used || p.isZero() && l.nowMillis-p.heardMillis > fillTTLMillis) {
			free = p
		}
	}
	return free
}

// use has a place for a pair be this peer's.
func (p *Pair) assign(peer int) {
	if !p.Used || int(p.Peer) != peer {
		*p = Pair{Peer: uint16(peer), Used: true}
	}
}

// zero tells whether nothing has been exchanged.
func (p *Pair) isZero() bool { return p.RightsGiven|p.DebtGiven|p.RightsReceived|p.DebtReceived == 0 }

func (a *account) totalDebt() (sum int64) {
	for _, parts := range a.Debt {
		sum += parts
	}
	return sum
}

// late is what was due before a time.
func (a *account) overdue(nowMillis float64) (sum int64) {
	for i, parts := range a.Debt {
		if parts > 0 && a.DebtDueMillis[i] < nowMillis {
			sum += parts
		}
	}
	return sum
}

// owe books a debt that is due at a time. Those within grain ms of each other are one, due with the earliest.
func (a *account) addDebt(parts int64, dueMillis, mergeMillis float64) {
	best, free := -1, -1
	for i := range a.Debt {
		switch {
		case a.Debt[i] == 0:
			free = i
		case a.DebtDueMillis[i] <= dueMillis && (best < 0 || a.DebtDueMillis[i] > a.DebtDueMillis[best]):
			best = i
		}
	}
	switch {
	case best >= 0 && (dueMillis-a.DebtDueMillis[best] < mergeMillis || free < 0):
		a.Debt[best] += parts
	case free >= 0:
		a.Debt[free], a.DebtDueMillis[free] = parts, dueMillis
	default: // due before all others, and no place: the first is due with it
		first := 0
		for i := range a.DebtDueMillis {
			if a.DebtDueMillis[i] < a.DebtDueMillis[first] {
				first = i
			}
		}
		a.Debt[first], a.DebtDueMillis[first] = a.Debt[first]+parts, dueMillis
	}
}

// pay pays debts, those due first before others, and gives how much of it there was to pay.
func (a *account) repay(parts int64) (paid int64) {
	return a.reduceDebt(parts, func(due, than float64) bool { return due < than })
}

// unowe takes debts back, those due last before others.
func (a *account) cancelDebt(parts int64) (cancelled int64) {
	return a.reduceDebt(parts, func(due, than float64) bool { return due > than })
}

// strike takes debts away in the order of when they are due, and gives how much of it there was.
func (a *account) reduceDebt(parts int64, before func(due, than float64) bool) (reduced int64) {
	for reduced < parts {
		next := -1
		for i := range a.Debt {
			if a.Debt[i] > 0 && (next < 0 || before(a.DebtDueMillis[i], a.DebtDueMillis[next])) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		amount := min(a.Debt[next], parts-reduced)
		a.Debt[next] -= amount
		reduced += amount
	}
	return reduced
}

// pace is what has to be paid from now on, parts a ms, so that each debt is paid when it is due.
func (a *account) requiredPace(nowMillis float64) (pace float64) {
	for i := range a.Debt {
		if a.Debt[i] == 0 {
			continue
		}
		sum := int64(0)
		for k := range a.Debt {
			if a.DebtDueMillis[k] <= a.DebtDueMillis[i] {
				sum += a.Debt[k]
			}
		}
		pace = math.Max(pace, float64(sum)/math.Max(a.DebtDueMillis[i]-nowMillis, lookIntervalMillis))
	}
	return pace
}

func (l *Lender) markDirty(slot int32) {
	if a := &l.accounts[slot]; !a.dirty {
		a.dirty = true
		l.dirtySlots = append(l.dirtySlots, slot)
	}
}

func (l *Lender) activate(slot int32) {
	if a := &l.accounts[slot]; !a.active {
		a.active = true
		l.activeSlots = append(l.activeSlots, slot)
	}
}

func (l *Lender) recordEvent(event Event, slot int32, peer int, parts int64, serial uint64) {
	if !l.recordsEvents {
		return
	}
	a := &l.accounts[slot]
	d := Decision{
		Action:    ActionRecordEvent,
		Event:     event,
		Customer:  a.Customer,
		Plan:      int(a.Plan),
		SetSize:   int(a.SetSize),
		Peer:      peer,
		Units:     float64(parts) / partsPerUnit,
		Serial:    serial,
		SetDigest: a.SetDigest,
	}
	if event == EventLent || event == EventDebtReceived ||
		event >= EventHoldsRights && len(l.eventsAfterStore) > 0 {
		l.eventsAfterStore = append(l.eventsAfterStore, d)
	} else {
		l.eventsBeforeStore = append(l.eventsBeforeStore, d)
	}
}

// state notes all that is held of a customer.
func (l *Lender) recordState(slot int32) {
	if !l.recordsEvents {
		return
	}
	a := &l.accounts[slot]
	known := uint64(0)
	if a.Known { // all is said next
		known = 1
	}
	l.recordEvent(EventHoldsUnknown, slot, 0, 0, known)
	for others := l.otherPlaces(a); a.Known && others != 0; others &= others - 1 {
		peer, p := (int(a.First)+bits.TrailingZeros64(others))%l.config.Instances, Pair{}
		if known := l.pairWith(a, peer); known != nil && known.Used && int(known.Peer) == peer {
			p = *known
		}
		l.recordEvent(EventHoldsRightsGiven, slot, peer, 0, p.RightsGiven)
		l.recordEvent(EventHoldsRightsReceived, slot, peer, 0, p.RightsReceived)
		l.recordEvent(EventHoldsDebtGiven, slot, peer, 0, p.DebtGiven)
		l.recordEvent(EventHoldsDebtReceived, slot, peer, 0, p.DebtReceived)
	}
	l.recordEvent(EventHoldsDebt, slot, 0, a.totalDebt(), 0)
	if a.Known {
		l.recordEvent(EventHoldsPresumedDrawn, slot, 0, a.PresumedDrawn, 0)
		l.recordEvent(EventHoldsRights, slot, 0, a.Rights, 0)
	}
}

// Figures gives counts and the present state.
func (l *Lender) Figures() Figures {
	f := l.totals
	for i := range l.accounts {
		if a := &l.accounts[i]; a.InUse {
			f.Customers++
			f.Outstanding += float64(a.totalDebt()) / partsPerUnit
			f.Rights += float64(a.Rights) / partsPerUnit
			f.PresumedDrawn += float64(a.PresumedDrawn) / partsPerUnit
		}
	}
	return f
}

// Plans calls each with what is held for a customer, for all of them: its plan, the rights that it may draw
// here at once, and what it owes here, in units.
func (l *Lender) EachAccount(visit func(plan int, rights, debt float64)) {
	for i := range l.accounts {
		if a := &l.accounts[i]; a.InUse {
			rights := 0.0
			if a.Known && a.Rights > 0 {
				rights = float64(a.Rights) / partsPerUnit
			}
			visit(int(a.Plan), rights, float64(a.totalDebt())/partsPerUnit)
		}
	}
}

// Holding is what a book has of one customer, in units.
type Holding struct {
	Known                                                bool
	Rights, PresumedDrawn, Debt                          float64
	RightsGiven, DebtGiven, RightsReceived, DebtReceived float64
}

// Holds gives what is held for a customer.
func (l *Lender) Holding(customer uint64) Holding {
	slot, ok := l.slotOf[uint32(customer)]
	if !ok {
		return Holding{}
	}
	a := &l.accounts[slot]
	h := Holding{
		Known:         a.Known,
		Rights:        float64(a.Rights) / partsPerUnit,
		PresumedDrawn: float64(a.PresumedDrawn) / partsPerUnit,
		Debt:          float64(a.totalDebt()) / partsPerUnit,
	}
	for i := range a.Pairs {
		p := &a.Pairs[i]
		h.RightsGiven += float64(p.RightsGiven) / partsPerUnit
		h.DebtGiven += float64(p.DebtGiven) / partsPerUnit
		h.RightsReceived += float64(p.RightsReceived) / partsPerUnit
		h.DebtReceived += float64(p.DebtReceived) / partsPerUnit
	}
	return h
}
