package policy

// Endpoint is one worker of the list.
type Endpoint struct {
	Worker          int // the index that the host has given it
	Zone, Cell      int
	MachineKind     int     // the kind of its machine, by the index that the host has given it
	SizeRating      float64 // what the list says of its size; 0 where it says nothing
	Active          bool    // neither draining nor gone
	StartedAtMillis float64 // start of its process; 0 where that is long ago
	Replaced        bool    // another worker than the one that had this index before, if any
}

// Request is a request as it reaches the gateway.
type Request struct {
	ID, Customer          uint64
	Product, Plan         int // by their index in the Settings
	Units                 float64
	SetSize, FirstGateway int     // the gateways it can come through: SetSize in a row from FirstGateway on
	TimeLeftMillis        float64 // until its client stops waiting
	// its body is forwarded as it arrives: TimeLeftMillis counts from its last byte
	StreamsBody     bool
	ClearanceMillis float64 // how long it is cleared ahead of its arrival; 0 where it has arrived
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes, with what is known of whether the attempt ran at the worker.
const (
	Succeeded      Outcome = iota
	Failed                 // an error; it may have run
	Overloaded             // rejected by the worker before it ran
	TimedOut               // no response; it may have run
	ConnectFailed          // no connection; it never ran
	ConnectionLost         // the connection broke; it may have run
	Cancelled              // it may have run
	NotSent                // the host never sent it
)

// WorkerLoad is what a worker reports of its load: its requests in flight, those of them that are queued, and
// the fraction of its cores in use. A figure that it did not report is negative.
type WorkerLoad struct{ InFlight, Queued, CPUFraction float64 }

// DecisionKind is what a Decision asks of the host.
type DecisionKind uint8

// The kinds of decisions. Reject and RejectUncertain are final answers.
const (
	Submit          DecisionKind = iota + 1 // send attempt Attempt to Worker
	Reject                                  // not done, harmless to retry, best after WaitMillis
	RejectUncertain                         // it may have run
	Cancel                                  // stop waiting for attempt Attempt
	SendReports                             // send Reports to gateway Peer
	SetTimer                                // call AdvanceTo again at AtMillis
	GrantClearance                          // the request is cleared: it may arrive until WaitMillis have passed
)

// Decision is one thing for the host to do. Reports is valid until the next call.
type Decision struct {
	Kind       DecisionKind
	RequestID  uint64
	Worker     int
	Attempt    int
	WaitMillis float64 // Submit: the time-out; Reject: when to return
	AtMillis   float64 // SetTimer: when; Submit: the deadline of the client
	Peer       int
	Reports    []Report
	// SendBeforeMillis of Submit: the first byte goes out before this time, or it is NotSent; +Inf where any
	// will do.
	SendBeforeMillis float64
	// RateLimitFullAtMillis of Submit: when the customer's share of the rate limit is full again; 0 where there
	// is none.
	RateLimitFullAtMillis float64
}

// Report is a customer's demand as one gateway sees it.
type Report struct {
	Customer                uint64 // the low half of the customer's number
	Plan                    int    // by its index in the Settings
	DemandPerSecond         float64
	PreviousDemandPerSecond float64 // what the decay has left of the demand last reported
	SpentUnits              float64 // since the last report; 0 of a sparse share
}

// FinalReason says why a request got its final answer.
type FinalReason uint8

// The reasons; their numbers are part of the forecast's messages.
const (
	ReasonSucceeded         FinalReason = iota
	ReasonQuota                         // beyond the customer's share of its quota
	ReasonRateLimit                     // beyond this gateway's share of the rate limit
	ReasonOverload                      // load shedding
	ReasonNoWorker                      // no worker may be sent to
	ReasonAttemptsExhausted             // no attempts left, or not to be repeated
	ReasonClientGone                    // the client left
	ReasonClearanceExpired              // it was cleared, and never arrived
	ReasonCount                         // how many reasons there are
)

// Stats is what on-call staff look at: counts since the start, and the present state.
type Stats struct {
	FinalByReason                             [ReasonCount]int
	Rejected, RejectedUncertain               int
	HotCustomers, Customers, SuspectedWorkers int
	Workers                                   int // on the list
	InFlight, Window                          float64
	// SilentPeers owe a report and send nothing; LostPeers have done so for so long that they count no more.
	SilentPeers, LostPeers int
}
