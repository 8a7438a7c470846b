package policy

// Repeat tells what a second run of a product would do.
type Idempotency uint8

const (
	Idempotent    Idempotency = iota // may run again
	Deduplicated                     // carries a mark by which a repeat is dropped
	NonIdempotent                    // must never run twice
)

// Group names the workers that share the marks of a referenced product.
type DedupScope uint8

const (
	DedupAcrossFleet DedupScope = iota
	DedupWithinZone
	DedupWithinCell
)

// Product is a kind of txn. Times are in ms.
type Product struct {
	LatencyTargetMillis float64     `json:"SLA"`
	Value               float64     `json:"Value"`
	LateValueFraction   float64     `json:"LateShare"`
	Idempotency         Idempotency `json:"Repeat"`
	DedupScope          DedupScope  `json:"Group"`
	DedupWindowMillis   float64     `json:"Window"` // how long marks of a referenced product are remembered
}

// Plan is what a customer has signed for. Rates are in units a second; 0 means no such limit.
type Plan struct {
	QuotaPerSecond     float64 `json:"Rate"` // quota: fill and depth of the customer's store
	QuotaBurst         float64 `json:"Burst"`
	RateLimitPerSecond float64 `json:"CeilingRate"` // hard ceiling
	RateLimitBurst     float64 `json:"CeilingDepth"`
	WithheldFraction   float64 `json:"Withheld"` // part of its slice here that is not to be used now, 0 to 1
	MaxInFlight        int     `json:"Open"`     // submissions the customer may have out at once
	// value multiplier; earned and paid beyond the quota, of the value
	ValueFactor         float64 `json:"Factor"`
	ExcessValueFraction float64 `json:"ExcessShare"`
	ExcessCostFraction  float64 `json:"ExcessFee"`
	CreditSeconds       float64 `json:"Credit"` // s of the rate that may be borrowed; 0 is none
	RepayWithinMillis   float64 `json:"Repay"`  // ms within which that is paid back
}

// Charter is all that a gatekeeper is told at its start; some of it may change in service, see Recharter.
// Times are in ms.
type Settings struct {
	GatewayIndex          int       `json:"Me"`
	GatewayCount          int       `json:"Gatekeepers"`
	Products              []Product `json:"Products"`
	Plans                 []Plan    `json:"Plans"`
	MaxRequestUnits       float64   `json:"LargestUnits"`
	MaxAttempts           int       `json:"MaxSubmissions"`
	AllowHedging          bool      `json:"MayOverlap"` // two submissions of a txn may be out together
	AllowCancel           bool      `json:"MayWithdraw"`
	AllowRetryAfter       bool      `json:"MayAdvise"`      // a decline may say when to return
	MaxRetryAfterMillis   float64   `json:"MaxAdvice"`      // longest advice that clients heed
	AllowGossip           bool      `json:"MayTell"`        // peer messages are allowed
	WorkersReportLoad     bool      `json:"LoadTold"`       // answers may carry the worker's load
	PeerMessagesPerSecond float64   `json:"PeerInPerS"`     // messages a gatekeeper takes in a second
	ReportsPerMessage     int       `json:"ReportsPerTell"` // customer reports that fit one peer message
	ColdCapacityFraction  float64   `json:"ColdFrom"`       // a started worker's least share of its capacity
	WarmUpMillis          float64   `json:"WarmUp"`         // and the longest it takes to reach all of it
	// times what it can do that it bears, and until it falls beyond; 0 is not said
	OverloadFactor     float64 `json:"Tips"`
	OverloadMillis     float64 `json:"TipAfter"`
	TotalWeight        float64 `json:"Whole"`     // how much the service as a whole counts
	WorstPlanWeight    float64 `json:"WorstPlan"` // and how much the worst-served plan, and product
	QuotaWithoutGossip bool    `json:"Narrow"`    // quotas go by the slices that need no word of peers
}

// Posting is one worker of the list, by the index the host gave it.
type Endpoint struct {
	Worker          int
	Zone, Cell      int
	MachineKind     int     // of its machine, by the index the host gave it
	SizeRating      float64 // what the list says of its size; 0 says nothing
	Active          bool    // neither draining nor gone
	StartedAtMillis float64 // start of its process; 0 long ago
	Replaced        bool    // another worker than the one that had this place before, if any
}

// Arrival is a txn as it reaches the gatekeeper.
type Request struct {
	ID, Customer          uint64
	Product, Plan         int
	Units                 float64
	SetSize, FirstGateway int     // the gatekeepers it can come through: SetSize in a row from First
	TimeLeftMillis        float64 // ms until its client stops waiting
	StreamsBody           bool    // its body is passed on as it comes: Left begins with the last byte of it
	ClearanceMillis       float64 // ms for which it is cleared before it comes; 0 where it has come
}

// Outcome is how a submission ended.
type Outcome uint8

const (
	Succeeded      Outcome = iota
	Failed                 // an error; it may have run
	Overloaded             // turned away unseen
	TimedOut               // no answer; it may have run
	ConnectFailed          // no connection; it never ran
	ConnectionLost         // the connection broke; it may have run
	Cancelled              // it may have run
	NotSent                // the host never sent it
)

// Burden is what a worker said of its load: txns it holds, txns that wait, part of its cores in use. What it
// did not say is below nought.
type WorkerLoad struct{ InFlight, Queued, CPUFraction float64 }

// Kind is what a Decision asks of the host.
type DecisionKind uint8

const (
	Submit          DecisionKind = iota + 1
	Reject                       // final: not done, harmless to try again, best after Wait
	RejectUncertain              // final: nothing promised
	Cancel                       // stop waiting for submission N
	SendReports                  // send Reports to gatekeeper Peer
	SetTimer                     // call Clock again at time At
	GrantClearance               // the txn is cleared: it may come until Wait has passed
)

// Decision is one thing for the host to do. Reports is valid until the next call.
type Decision struct {
	Kind       DecisionKind
	RequestID  uint64
	Worker     int
	Attempt    int
	WaitMillis float64 // Submit: time-out; Decline: when to return; ms
	AtMillis   float64 // Wake: then; Submit: the end of Wait, which is its client's
	Peer       int
	Reports    []Report
	// Submit: its first byte goes out before this time, or it is NotSent; +Inf where any will do
	SendBeforeMillis float64
	// Submit: when its customer's slice of the ceiling is full again; 0 where there is none
	RateLimitFullAtMillis float64
}

// Report is a customer's demand, units a second, as one gatekeeper sees it.
type Report struct {
	Customer                uint64 // the low half of the customer's number
	Plan                    int    // by its place in the Charter
	DemandPerSecond         float64
	PreviousDemandPerSecond float64 // what is left of the demand last reported
	SpentUnits              float64 // units sent on since the last report; nought of a sparse slice
}

// Reason tells why a txn got its final answer.
type FinalReason uint8

const (
	ReasonSucceeded         FinalReason = iota
	ReasonQuota                         // beyond the customer's share
	ReasonRateLimit                     // beyond the gatekeeper's slice of the ceiling
	ReasonOverload                      // the fleet is pressed
	ReasonNoWorker                      // no worker may be sent to
	ReasonAttemptsExhausted             // submissions spent or not repeatable
	ReasonClientGone                    // the client left
	ReasonClearanceExpired              // cleared, and never came
	ReasonCount                         // how many there are
)

// Tally is what on-call staff look at: counts since start and the present state.
type Stats struct {
	FinalByReason                             [ReasonCount]int
	Rejected, RejectedUncertain               int
	HotCustomers, Customers, SuspectedWorkers int
	Workers                                   int // on the list
	InFlight, Window                          float64
	// peers that owe a word and say nothing; of these, those that count no more
	SilentPeers, LostPeers int
}
