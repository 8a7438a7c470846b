package borrowing

// Amounts and bounds of the accounts.
const (
	partsPerUnit = 1000 // parts are integers, so that sums are exact
	debtSlots    = 8    // debts with different due times that an account distinguishes
	maxPairs     = 6    // peers per customer with which rights and debts may be exchanged
	maxSetSize   = 64   // instances in a customer's set; in a larger set each share is too small to lend
	// MaxAccounts is how many customers may have an account at once; others get no credit.
	MaxAccounts            = 1 << 14
	maxAccountsPerInterval = 4096 // accounts processed in one pass; bounds how long the caller's lock is held
)

// Repayment.
const (
	// processingIntervalMillis is the time between two processing passes over the active accounts; it is small
	// against any plan's repayment time.
	processingIntervalMillis = 200.0
	// earnIntervalMillis is the time between two collections from an account that has no debt and has parts
	// presumed drawn.
	earnIntervalMillis = 1000.0
	// repaymentDeferralMillis is how long after the customer's last loan request a repayment that is not urgent
	// is deferred, so that it does not begin in a pause within a burst.
	repaymentDeferralMillis = 1000.0
	// repaymentDueShare is the share of a plan's repayment time after which a debt is due, so that a late
	// processing pass still repays it in time.
	repaymentDueShare = 0.8
	// MaxRepaymentShare is the share of a customer's refill that may go to its debts. It bounds a credit line:
	// this share of the refill has to repay the whole line within the repayment time.
	MaxRepaymentShare = 0.5
)

// Exchange with peers.
const (
	// resendMillis is the time after which an unacknowledged transfer or unanswered query is sent again; several
	// round trips.
	resendMillis = 400.0
	// rightsRequestTTLMillis is how long after a denied loan rights are requested from peers; the length of a
	// burst.
	rightsRequestTTLMillis = 2000.0
	// maxRequestDoublings limits how often the interval between requests for rights is doubled while the
	// requests bring none.
	maxRequestDoublings = 2
	rightsRequestFanout = 2 // peers from which rights are requested at once
	// retainedShare has three uses. An instance that needs rights itself keeps this share of them when a peer
	// requests some. A peer gets at least this share of the rights that can be given, even if it requested less.
	// Of a debt that cannot be repaid here in time, this share is transferred in one processing pass.
	retainedShare  = 0.5
	spareTTLMillis = 1000.0 // how long a peer's report of spare rights is used
	// debtTransferFillShare is the share of this instance's refill above which the pace of repayment that its
	// debts require makes it transfer a part of them.
	debtTransferFillShare = 0.8
	debtTransferFanout    = 4      // peers that are queried for their refill before a debt is transferred
	fillTTLMillis         = 2000.0 // how long a peer's report of its refill is used
	// localSetPrecedenceMillis is the time after the last local loan request from which on a peer's report of
	// the customer's set is accepted in place of the local one, and the account may be evicted.
	localSetPrecedenceMillis = 10000.0

	maxEntriesPerMessage = 8 // these fill about one datagram
	// maxPendingEntries bounds the entries that wait to be sent. Further entries are not queued; they are sent
	// with a later entry to the peer or by a later retry.
	maxPendingEntries = 4096
	messageRateShare  = 0.5  // share of Config.PeerMessagesPerSecond that borrowing may use
	messageBurst      = 10.0 // messages that may be sent in a row
)

// LoanResult is the result of a request for a loan.
type LoanResult uint8

// The results.
const (
	LoanGranted         LoanResult = iota
	DeniedNoLine                   // the plan has no credit line
	DeniedSetTooLarge              // the customer's set exceeds maxSetSize
	DeniedTableFull                // MaxAccounts are in use
	DeniedRightsUnknown            // this instance's rights are not determined yet
	DeniedNoRights                 // this instance has fewer rights than requested
	DeniedCorrupt                  // the account could not be written; Lend does not return it at present
	LoanResultCount
)

// Config has the settings of a Lender.
type Config struct {
	Instance, Instances   int // the number of this instance, and how many there are
	Plans                 []Plan
	PeerMessagesPerSecond float64 // messages that each instance accepts from peers; 0 is no limit
}

// Plan is a plan's credit line, and the time within which each unit lent is repaid. With a line of 0 nothing
// is lent.
type Plan struct{ LineUnits, RepayMillis float64 }

// Pair counts the rights and debts of one customer that this instance has given to one peer and received
// from it, in parts, for the present set and line. The counters only grow. DueMillis is the earliest due
// time of the debts given that the peer has not acknowledged.
type Pair struct {
	Peer                                                 uint16
	Used                                                 bool
	RightsGiven, DebtGiven, RightsReceived, DebtReceived uint64
	DueMillis                                            float64
	rightsAcked, debtAcked                               uint64  // RightsGiven and DebtGiven acknowledged
	fillPerMilli                                         float64 // the peer's refill, as last reported
	spareParts                                           float64 // rights that the peer reported it could give
	rightsKnown                                          bool    // the peer has determined its rights
	receivedMillis, sentMillis                           float64 // times of the last entry received and sent
}

// Record is the part of a customer's account that is stored, so that it outlives a crash. Amounts are in
// parts, times in ms of the machine's monotonic clock.
type Record struct {
	Customer      uint32
	Plan, SetSize uint8
	First         uint16 // instance number of the first member of the set; the others follow it
	InUse         bool
	Known         bool             // Rights and PresumedDrawn are valid
	NoPriorDebt   bool             // this instance certainly had no debt when the record was created
	SetDigest     uint32           // of the plan, its line and repayment time, and the set
	Rights        int64            // negative where the line was lowered below the debt
	PresumedDrawn int64            // becomes rights as unused refill pays for it
	Debt          [debtSlots]int64 // due at the times in DebtDueMillis
	DebtDueMillis [debtSlots]float64
	Pairs         [maxPairs]Pair
}

// account is a Record together with the state that a later incarnation does not need. The fields whose names
// end in Members are bit sets of instances, by index in the customer's set.
type account struct {
	Record
	answeredMembers, noPriorDebtMembers uint64  // members that replied; those of them without prior debt
	queryMembers, replyMembers          uint64  // members to be sent a query; to be sent a reply
	queuedMembers                       uint64  // members for which an entry waits to be sent
	nonce                               uint16  // nonce of this instance's query
	echo                                uint16  // nonce of the peer's query to be answered; one at a time
	wantedParts                         int64   // size of the loan for which rights are requested
	wantedMillis                        float64 // time of the request for that loan
	lastLoanMillis                      float64 // last request for a loan here
	lastQueriedMillis                   float64 // last query received from a peer that knows its rights
	lastCollectedMillis                 float64 // last time that refill was collected
	fillPerMilli                        float64 // refill here in units per ms, as last reported by the caller
	lastRequestMillis                   float64 // last query sent to peers
	unansweredRequests                  int     // consecutive requests for rights that brought none
	active, dirty                       bool    // is to be processed; is to be stored
}

// Entry is what one instance reports to another about one customer. The counters are those of the sender's
// Pair.
type Entry struct {
	Customer                                             uint32
	Plan, SetSize                                        uint8
	First                                                uint16
	SetDigest                                            uint16 // low half of the sender's Record.SetDigest
	Known, NoPriorDebt                                   bool
	IsQuery, IsReply                                     bool
	Nonce, Echo                                          uint16 // of the sender's query and the one answered
	RightsGiven, DebtGiven, RightsReceived, DebtReceived uint64
	DebtTimeLeft                                         float64 // until Pair.DueMillis, share of RepayMillis
	WantedParts                                          uint64  // rights requested
	SpareUnits                                           float64 // rights that could be given
	FillPerSecond                                        float64 // refill in units per second; 0 if unknown
}

// Action is what the caller has to do for a decision.
type Action uint8

// The actions.
const (
	ActionStore       Action = iota + 1 // store Record in Slot before executing any later decision
	ActionRecordEvent                   // write Event, Customer, Plan, Peer, Units and Serial to the history
	ActionSend                          // send Entries to instance Peer
	// ActionCollect takes at least RepayUnits from the customer's refill of SpanMillis, and up to MaxUnits of
	// what the customer leaves unused. The caller reports the amount to RecordPayment.
	ActionCollect
	ActionWake // call Advance again by AtMillis; Next does not return it at present
)

// Event is the kind of change or balance that an ActionRecordEvent writes to the history.
type Event uint8

// The events. An event that increases a debt is recorded after the account is stored, and one that decreases
// it before, so that a process which is killed in between has stored no smaller debt than it has recorded.
const (
	EventLent   Event = iota
	EventUndone       // a loan was cancelled, as its units were not used
	EventRepaid
	EventEarned               // parts presumed drawn became rights
	EventRightsGiven          // Serial is the total of the rights given to the peer so far, in parts
	EventRightsReceived       // Serial is the total of the rights received from the peer, in parts
	EventDebtGiven            // Serial is the total of the debt given to the peer, in parts
	EventDebtReceived         // Serial is the total of the debt received from the peer, in parts
	EventRightsBalance        // Units are the rights here from now on, whatever was recorded before
	EventPresumedDrawnBalance // Units are presumed drawn from now on
	EventDebtBalance          // Units are the debt here from now on
	EventRightsGivenTotal     // Serial is the total of the rights given to the peer, in parts
	EventRightsReceivedTotal  // Serial is the total of the rights received from the peer, in parts
	EventDebtGivenTotal       // Serial is the total of the debt given to the peer, in parts
	EventDebtReceivedTotal    // Serial is the total of the debt received from the peer, in parts
	// EventRightsUnknown records with a Serial of 0 that the rights are unknown. With a Serial of 1 they are
	// known, and all totals and balances follow.
	EventRightsUnknown
)

// historyKeys has the kind and the detail of each event in a history. History files store them.
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
	EventRightsBalance:        {"holds"},
	EventPresumedDrawnBalance: {"holds", "earn"},
	EventDebtBalance:          {"holds", "owed"},
	EventRightsGivenTotal: {
		"holds",
		"gave",
	},
	EventRightsReceivedTotal: {"holds", "got"},
	EventDebtGivenTotal:      {"holds", "gave debt"},
	EventDebtReceivedTotal:   {"holds", "got debt"},
	EventRightsUnknown:       {"holds", "none"},
}

// HistoryKey returns an event's kind and detail in a history.
func (e Event) HistoryKey() (kind, detail string) { return historyKeys[e][0], historyKeys[e][1] }

// InvolvesPeer reports whether an event concerns a transfer between two instances.
func (e Event) InvolvesPeer() bool {
	switch e {
	case EventRightsGiven,
		EventDebtGiven,
		EventRightsReceived,
		EventDebtReceived,
		EventRightsGivenTotal,
		EventRightsReceivedTotal,
		EventDebtGivenTotal,
		EventDebtReceivedTotal:
		return true
	}
	return false
}

// Decision is one action for the caller, with the fields that the action uses. Record and Entries are valid
// until the next call of a method of the Lender.
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

// Figures has totals since the lender was created and the present state of its accounts, in units.
type Figures struct {
	Outstanding, Rights, PresumedDrawn     float64
	Lent, Repaid, Earned, Undone           float64
	RightsGiven, RightsReceived, DebtGiven float64
	Customers                              int
	RepaidLate                             float64 // units repaid after the plan's repayment time
	Denied                                 [LoanResultCount]int64
	// RejectedEntries counts entries that were invalid or of another set or line. AccountsReset counts accounts
	// that were reset because a peer's counters showed that the record was older than what had been sent. Sealed
	// is not set at present.
	RejectedEntries, AccountsReset, QueriesReceived, Sealed int64
}
