package policy

// Endpoint is one worker of the list, by the index the host gave it.
type Endpoint struct {
	Worker          int
	Zone, Cell      int
	MachineKind     int     // of its machine, by the index the host gave it
	SizeRating      float64 // what the list says of its size; 0 says nothing
	Active          bool    // neither draining nor gone
	StartedAtMillis float64 // start of its process; 0 long ago
	Replaced        bool    // another worker than the one that had this place before, if any
}

// Request is a txn as it reaches the gatekeeper.
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

// WorkerLoad is what a worker said of its load: txns it holds, txns that wait, part of its cores in use. What
// it did not say is below nought.
type WorkerLoad struct{ InFlight, Queued, CPUFraction float64 }

// DecisionKind is what a Decision asks of the host.
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

// FinalReason tells why a txn got its final answer.
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

// Stats is what on-call staff look at: counts since start and the present state.
type Stats struct {
	FinalByReason                             [ReasonCount]int
	Rejected, RejectedUncertain               int
	HotCustomers, Customers, SuspectedWorkers int
	Workers                                   int // on the list
	InFlight, Window                          float64
	// peers that owe a word and say nothing; of these, those that count no more
	SilentPeers, LostPeers int
}
