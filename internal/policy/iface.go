package policy

// Repeat tells what a second run of a product would do.
type Repeat uint8

const (
	InquiryLike Repeat = iota // may run again
	Referenced                // carries a mark by which a repeat is dropped
	OnceOnly                  // must never run twice
)

// Group names the workers that share the marks of a referenced product.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Product is a kind of txn. Times are in ms.
type Product struct {
	SLA       float64 `json:"SLA"`
	Value     float64 `json:"Value"`
	LateShare float64 `json:"LateShare"`
	Repeat    Repeat  `json:"Repeat"`
	Group     Group   `json:"Group"`
	Window    float64 `json:"Window"` // how long marks of a referenced product are remembered
}

// Plan is what a customer has signed for. Rates are in units a second; 0 means no such limit.
type Plan struct {
	Rate         float64 `json:"Rate"` // quota: fill and depth of the customer's store
	Burst        float64 `json:"Burst"`
	CeilingRate  float64 `json:"CeilingRate"` // hard ceiling
	CeilingDepth float64 `json:"CeilingDepth"`
	Withheld     float64 `json:"Withheld"` // part of its slice here that is not to be used now, 0 to 1
	Open         int     `json:"Open"`     // submissions the customer may have out at once
	Factor       float64 `json:"Factor"`   // value multiplier; earned and paid beyond the quota, of the value
	ExcessShare  float64 `json:"ExcessShare"`
	ExcessFee    float64 `json:"ExcessFee"`
	Credit       float64 `json:"Credit"` // s of the rate that may be borrowed; 0 is none
	Repay        float64 `json:"Repay"`  // ms within which that is paid back
}

// Charter is all that a gatekeeper is told at its start; some of it may change in service, see Recharter.
// Times are in ms.
type Charter struct {
	Me             int       `json:"Me"`
	Gatekeepers    int       `json:"Gatekeepers"`
	Products       []Product `json:"Products"`
	Plans          []Plan    `json:"Plans"`
	LargestUnits   float64   `json:"LargestUnits"`
	MaxSubmissions int       `json:"MaxSubmissions"`
	MayOverlap     bool      `json:"MayOverlap"` // two submissions of a txn may be out together
	MayWithdraw    bool      `json:"MayWithdraw"`
	MayAdvise      bool      `json:"MayAdvise"`      // a decline may say when to return
	MaxAdvice      float64   `json:"MaxAdvice"`      // longest advice that clients heed
	MayTell        bool      `json:"MayTell"`        // peer messages are allowed
	LoadTold       bool      `json:"LoadTold"`       // answers may carry the worker's load
	PeerInPerS     float64   `json:"PeerInPerS"`     // messages a gatekeeper takes in a second
	ReportsPerTell int       `json:"ReportsPerTell"` // customer reports that fit one peer message
	ColdFrom       float64   `json:"ColdFrom"`       // a started worker's least share of its capacity
	WarmUp         float64   `json:"WarmUp"`         // and the longest it takes to reach all of it
	Tips           float64   `json:"Tips"`           // times what it can do that it bears, and until it falls beyond; 0 is not said
	TipAfter       float64   `json:"TipAfter"`
	Whole          float64   `json:"Whole"`     // how much the service as a whole counts
	WorstPlan      float64   `json:"WorstPlan"` // and how much the worst-served plan, and product
	Narrow         bool      `json:"Narrow"`    // quotas go by the slices that need no word of peers
}

// Posting is one worker of the list, by the index the host gave it.
type Posting struct {
	Worker     int
	Zone, Cell int
	Kind       int     // of its machine, by the index the host gave it
	Rating     float64 // what the list says of its size; 0 says nothing
	Active     bool    // neither draining nor gone
	Since      float64 // start of its process; 0 long ago
	New        bool    // another worker than the one that had this place before, if any
}

// Arrival is a txn as it reaches the gatekeeper.
type Arrival struct {
	ID, Customer   uint64
	Product, Plan  int
	Units          float64
	SetSize, First int     // the gatekeepers it can come through: SetSize in a row from First
	Left           float64 // ms until its client stops waiting
	Streams        bool    // its body is passed on as it comes: Left begins with the last byte of it
	Clears         float64 // ms for which it is cleared before it comes; 0 where it has come
}

// Outcome is how a submission ended.
type Outcome uint8

const (
	Settled   Outcome = iota
	Fault             // an error; it may have run
	Full              // turned away unseen
	TimedOut          // no answer; it may have run
	NoRoute           // no connection; it never ran
	Cut               // the connection broke; it may have run
	Withdrawn         // it may have run
	NotSent           // the host never sent it
)

// Burden is what a worker said of its load: txns it holds, txns that wait, part of its cores in use. What it
// did not say is below nought.
type Burden struct{ Held, Waiting, Busy float64 }

// Kind is what a Decision asks of the host.
type Kind uint8

const (
	Submit   Kind = iota + 1
	Decline       // final: not done, harmless to try again, best after Wait
	Void          // final: nothing promised
	Withdraw      // stop waiting for submission N
	Tell          // send Reports to gatekeeper Peer
	Wake          // call Clock again at time At
	Grant         // the txn is cleared: it may come until Wait has passed
)

// Decision is one thing for the host to do. Reports is valid until the next call.
type Decision struct {
	Kind    Kind
	Txn     uint64
	Worker  int
	N       int
	Wait    float64 // Submit: time-out; Decline: when to return; ms
	At      float64 // Wake: then; Submit: the end of Wait, which is its client's
	Peer    int
	Reports []Report
	Latest  float64 // Submit: its first byte goes out before this time, or it is NotSent; +Inf where any will do
	Full    float64 // Submit: when its customer's slice of the ceiling is full again; 0 where there is none
}

// Report is a customer's demand, units a second, as one gatekeeper sees it.
type Report struct {
	Customer uint64 // the low half of the customer's number
	Plan     int    // by its place in the Charter
	Demand   float64
	Known    float64 // what is left of the demand last reported
	Spent    float64 // units sent on since the last report; nought of a sparse slice
}

// Reason tells why a txn got its final answer.
type Reason uint8

const (
	BySettled  Reason = iota
	ByQuota           // beyond the customer's share
	ByCeiling         // beyond the gatekeeper's slice of the ceiling
	ByPressure        // the fleet is pressed
	ByNoWorker        // no worker may be sent to
	ByFailure         // submissions spent or not repeatable
	ByClient          // the client left
	ByLapse           // cleared, and never came
	Reasons           // how many there are
)

// Tally is what on-call staff look at: counts since start and the present state.
type Tally struct {
	Final                      [Reasons]int
	Declined, Voided           int
	Hot, Customers, Distrusted int
	Workers                    int // on the list
	InFlight, Window           float64
	Suspected, Lost            int // peers that owe a word and say nothing; of these, those that count no more
}
