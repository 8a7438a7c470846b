package execution

// Statuses by which a server promises that it has not executed a request and will not.
const (
	statusRequestTimeout     = 408
	statusMisdirectedRequest = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// Outcome is what is known of a request's execution after one attempt.
type Outcome int

// Outcomes of attempts.
const (
	NotSent     Outcome = iota // no byte was sent: the worker could not be reached
	NotExecuted                // the worker has stated, in this exchange, that it did not execute the request
	Unknown                    // sent, and no proof of what became of it
	Executed                   // the worker has responded
)

// String returns the outcome as logs name it.
func (o Outcome) String() string {
	switch o {
	case NotSent:
		return "not sent"
	case NotExecuted:
		return "not executed"
	case Executed:
		return "executed"
	default:
		return "unknown"
	}
}

// Attempt is one delivery of a request to a worker, and its outcome.
type Attempt struct {
	Instance           string // of the worker
	Address            string
	ConnectionRequests int // sent on the connection until then, this one included; 0: there was none
	Outcome            Outcome
	Status             int // of the worker's response; 0: none came
}

// Record holds the attempts of one request, in their order. The zero value is that of a request that was sent
// to no worker.
type Record struct {
	attempts []Attempt
}

// Add records an attempt that has ended, or whose response has begun.
func (r *Record) Add(attempt Attempt) { r.attempts = append(r.attempts, attempt) }

// Attempts returns the attempts so far. The caller must not change them.
func (r *Record) Attempts() []Attempt { return r.attempts }

// MayHaveExecuted reports whether some worker may have executed the request, or may still do so.
func (r *Record) MayHaveExecuted() bool {
	for i := range r.attempts {
		if outcome := r.attempts[i].Outcome; outcome != NotSent && outcome != NotExecuted {
			return true
		}
	}
	return false
}

// Sent reports whether some worker has received the request, or a part of it.
func (r *Record) Sent() bool {
	for i := range r.attempts {
		if r.attempts[i].Outcome != NotSent {
			return true
		}
	}
	return false
}

// IsPromise reports whether a status promises that the request was not executed and will not be.
func IsPromise(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirectedRequest, statusTooManyRequests, statusServiceUnavailable:
		return true
	}
	return false
}
