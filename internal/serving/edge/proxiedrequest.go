package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/execution"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/memorybudget"
	"willowdeck/internal/serving/workerlink"
)

const (
	maxFailedDials         = 4                      // workers that could not be reached, of one request
	maxMisdirectedAttempts = 3                      // of one request
	minAttemptTime         = 5 * time.Millisecond   // left until the deadline, below which nothing is sent
	noPathRetryAfter       = 700 * time.Millisecond // stated where there is no path to a worker
	saturatedRetryAfter    = 250 * time.Millisecond // stated where no further attempt is allowed
)

// proxiedRequest is a client's request while the edge proxies it. One goroutine uses it, that of the client's
// connection.
type proxiedRequest struct {
	edge          *Edge
	writer        http.ResponseWriter
	clientRequest *http.Request
	route         *configuration.Route
	service       string
	memory        *memorybudget.Reservation // of all that is kept for the request
	id            string
	priorityRank  int                 // at its worker
	workerRequest *workerlink.Request // as received from the client; attempts add headers
	prompt        *loadbalancer.Request
	deadline      time.Time
	excluded      map[string]bool // workers that get no further attempt, by instance

	attempts            int // that were sent to a worker of the route and may have been executed
	failedDials         int // workers that could not be reached
	misdirectedAttempts int // sent to an address that another worker has
	execution           execution.Record
	withheld            []withheldConnection
	workerFailure       *bufferedResponse // the last that another attempt was to replace; nil: none

	lastEventID    uint64 // of the last event relayed, of resumable streams
	hasLastEventID bool
	headWritten    bool // the response's head has been written to the client
}

// rejectionError ends a request by a response of the edge, since no further worker may get it.
type rejectionError struct {
	status     int
	retryAfter time.Duration
}

// Error says the status that the client gets.
func (e *rejectionError) Error() string { return "rejected with status " + strconv.Itoa(e.status) }

// errSaturated rejects a request that may get no further attempt.
var errSaturated = &rejectionError{http.StatusServiceUnavailable, saturatedRetryAfter}

// errClientDisconnected ends a request whose client has disconnected.
var errClientDisconnected = errors.New("the client has disconnected")

// run attempts the request until there is a final response.
func (p *proxiedRequest) run() {
	defer p.returnWithheld()
	p.edge.decisions.recordRequest(p.edge.now(), p.service)
	for {
		a, err := p.attemptWorkers()
		if err != nil {
			p.end(err)
			return
		}
		if p.relayResponse(a) {
			return
		}
	}
}

// end responds to a request that gets no further attempt: with a worker's last failure, if there is one. The
// client of a request that may have been executed gets no promise that it was not. It panics with
// http.ErrAbortHandler where the connection has to be cut.
func (p *proxiedRequest) end(err error) {
	var rejection *rejectionError
	switch {
	case errors.Is(err, errClientDisconnected) || p.headWritten:
		panic(http.ErrAbortHandler)
	case p.workerFailure != nil:
		p.relayBuffered(p.workerFailure)
	case errors.As(err, &rejection) && !p.execution.MayHaveExecuted():
		p.reject(rejection.status, rejection.retryAfter)
	case time.Now().After(p.deadline.Add(-minAttemptTime)):
		p.reject(http.StatusGatewayTimeout, 0)
	default:
		p.reject(http.StatusBadGateway, 0)
	}
}

// reject writes a response of the edge's own.
func (p *proxiedRequest) reject(status int, retryAfter time.Duration) {
	p.logOwnResponse(status)
	reject(p.writer, status, retryAfter)
}

// attemptWorkers sends the request to workers until one has sent the head of a response. An attempt that was
// not executed, or is idempotent, is followed by others as far as the route and the retry budget allow.
func (p *proxiedRequest) attemptWorkers() (*attempt, error) {
	for {
		chosen, err := p.chooseWorker()
		if err != nil {
			return nil, err
		}
		a, err := p.attempt(chosen)
		if err == nil {
			return a, nil
		}
		p.excluded[chosen.Instance] = true
		if errors.Is(err, workerlink.ErrNotSent) {
			p.failedDials++
			continue
		}
		if !errors.Is(err, errNotExecuted) && !p.route.IsIdempotent() {
			return nil, err
		}
	}
}

// chooseWorker selects the worker of the next attempt and announces the prompt to other edges.
func (p *proxiedRequest) chooseWorker() (worker, error) {
	if err := p.checkAttemptAllowed(); err != nil {
		return worker{}, err
	}
	table := p.edge.table.Load()
	now := p.edge.now()
	decisions := p.edge.decisions
	regions := p.allowedRegions(table)
	chosen, assigned, retryAfter, ok := decisions.choose(now, table, p.service, regions, p.prompt, p.excluded)
	if !ok {
		return worker{}, &rejectionError{http.StatusServiceUnavailable, retryAfter}
	}
	if chosen.PathSuspected && !p.route.IsIdempotent() {
		p.endAttempt(&attempt{worker: chosen}, false)
		return worker{}, &rejectionError{http.StatusServiceUnavailable, noPathRetryAfter}
	}
	retry := p.attempts+p.misdirectedAttempts > 0
	if retry && !decisions.allowRetry(now, p.service, table.retryBudgetEdges()) {
		p.endAttempt(&attempt{worker: chosen}, false)
		return worker{}, errSaturated
	}
	p.edge.notifyPrefill(table, chosen, assigned)
	return chosen, nil
}

// allowedRegions returns the regions whose workers may get the next attempt: those of the configuration in
// force now, which may have changed since the request came. A route that was removed since keeps its own.
func (p *proxiedRequest) allowedRegions(table *routingTable) []string {
	if current := table.route(p.clientRequest.Host, requestPath(p.clientRequest)); current != nil {
		return current.AllowedRegions
	}
	return p.route.AllowedRegions
}

// checkAttemptAllowed returns why no further attempt may be made, or nil.
func (p *proxiedRequest) checkAttemptAllowed() error {
	if p.clientRequest.Context().Err() != nil {
		return errClientDisconnected
	}
	if time.Until(p.deadline) < minAttemptTime {
		return errSaturated
	}
	if p.edge.gate.Closed() {
		return &rejectionError{http.StatusServiceUnavailable, p.edge.drainRetryAfter()}
	}
	if p.failedDials >= maxFailedDials || p.misdirectedAttempts >= maxMisdirectedAttempts ||
		p.attempts >= max(p.route.MaxAttempts, 1) {
		return errSaturated
	}
	return nil
}

// mayRetry reports whether a request that may have been executed may be attempted again.
func (p *proxiedRequest) mayRetry() bool {
	return p.route.IsIdempotent() && p.checkAttemptAllowed() == nil
}
