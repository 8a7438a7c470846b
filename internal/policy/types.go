package policy

// Endpoint is one entry of the endpoint list: a worker and its properties.
type Endpoint struct {
	Worker          int // the index that the host has assigned to the worker
	Zone, Cell      int
	MachineKind     int     // the index that the host has assigned to the kind of its machine
	SizeRating      float64 // its size as stated by the endpoint list; 0 if the list does not state it
	Active          bool    // requests may be sent to it: it is neither draining nor gone
	StartedAtMillis float64 // when its process started; 0 if that was long ago
	Replaced        bool    // it is not the worker that had this index before, if any
}

// Request is a request that has arrived at the gateway, or that asks for a clearance before it arrives.
type Request struct {
	ID, Customer          uint64
	Product, Plan         int // indexes in the Settings
	Units                 float64
	SetSize, FirstGateway int     // the customer's gateways: SetSize consecutive ones from FirstGateway on
	TimeLeftMillis        float64 // until its client stops waiting
	// the body is forwarded while it arrives, and TimeLeftMillis counts from its last byte
	StreamsBody bool
	// how long the clearance that the request asks for lasts, during which the request may arrive; 0 if the
	// request has arrived
	ClearanceMillis float64
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt, and whether it may have run at the worker.
const (
	Succeeded      Outcome = iota
	Failed                 // the worker reported an error; the attempt may have run
	Overloaded             // the worker rejected the attempt before it ran
	TimedOut               // there was no response in time; the attempt may have run
	ConnectFailed          // no connection was established; the attempt never ran
	ConnectionLost         // the connection broke; the attempt may have run
	Cancelled              // the host stopped waiting for it; the attempt may have run
	NotSent                // the host never sent it
)

// WorkerLoad is the load that a worker reports: its requests in flight, the queued ones among them, and the
// fraction of its cores in use. A figure that the worker did not report is negative.
type WorkerLoad struct{ InFlight, Queued, CPUFraction float64 }

// DecisionKind is the action that a Decision requests from the host.
type DecisionKind uint8

// The kinds of decisions. Reject and RejectUncertain are final answers.
const (
	Submit          DecisionKind = iota + 1 // send attempt Attempt to Worker
	Reject                                  // the request had no effect or is safe to retry, after WaitMillis
	RejectUncertain                         // the outcome is unknown: the request may have run
	Cancel                                  // stop waiting for attempt Attempt
	SendReports                             // send Reports to gateway Peer
	SetTimer                                // call AdvanceTo at AtMillis
	GrantClearance                          // the request is cleared to arrive within WaitMillis
)

// Decision is one action for the host to take. Reports is valid until the next call of the Engine.
type Decision struct {
	Kind       DecisionKind
	RequestID  uint64
	Worker     int
	Attempt    int
	WaitMillis float64 // Submit: the timeout; Reject: the retry-after time; GrantClearance: how long it lasts
	AtMillis   float64 // SetTimer: the time of the next AdvanceTo; Submit: the client's deadline
	Peer       int
	Reports    []Report
	// SendBeforeMillis of a Submit is the time before which the first byte must be sent, else the attempt has
	// to end as NotSent; +Inf means that there is no such limit.
	SendBeforeMillis float64
	// RateLimitFullAtMillis of a Submit is when the customer's share of the rate limit is full again; 0 if
	// there is no rate limit.
	RateLimitFullAtMillis float64
}

// Report is the demand of a customer at one gateway, as reported to a peer.
type Report struct {
	Customer                uint64 // the low 32 bits of the customer's number
	Plan                    int    // index in the Settings
	DemandPerSecond         float64
	PreviousDemandPerSecond float64 // what decay has left of the demand in the previous report
	SpentUnits              float64 // units spent since the previous report; 0 if the customer's share is sparse
}

// FinalReason is the reason for a request's final answer.
type FinalReason uint8

// The reasons for final answers. Their numbers are part of the forecast's messages.
const (
	ReasonSucceeded         FinalReason = iota
	ReasonQuota                         // the request exceeds what the customer's quota admits here
	ReasonRateLimit                     // the request exceeds this gateway's share of the rate limit
	ReasonOverload                      // load shedding
	ReasonNoWorker                      // there is no worker that the request may be sent to
	ReasonAttemptsExhausted             // the deadline has passed, or no further attempt is allowed
	ReasonClientGone                    // the client left
	ReasonClearanceExpired              // the request was cleared and did not arrive in time
	ReasonCount                         // the number of reasons
)

// Stats holds figures for on-call staff: counts since the start, and the present state.
type Stats struct {
	FinalByReason                             [ReasonCount]int
	Rejected, RejectedUncertain               int
	HotCustomers, Customers, SuspectedWorkers int
	Workers                                   int // workers that requests may be sent to
	InFlight, Window                          float64
	// SilentPeers is the number of peers whose reports are overdue. LostPeers is the number of those that have
	// been silent for so long that their last reported demand no longer counts; SilentPeers does not include
	// them.
	SilentPeers, LostPeers int
}
