package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/execution"
	"willowdeck/internal/serving/workerlink"
)

// Dial time-outs, by the round trip to the worker.
const (
	sameRegionDialTimeout  = 250 * time.Millisecond
	crossRegionDialTimeout = 450 * time.Millisecond
)

// attempt is one delivery of a request to a worker.
type attempt struct {
	worker     worker
	connection *workerlink.Conn // nil: there was none
	response   *http.Response   // nil: none has begun
	// stopWatch ends the watch that closes the connection when the client disconnects. It returns false where
	// the client has done so.
	stopWatch       func() bool
	rejected        bool // the worker did not execute the request
	prefillReleased bool // the first token has come, or the attempt has ended before
}

// errNotExecuted says that a worker has promised not to have executed the request.
var errNotExecuted = errors.New("the worker did not execute the request: try another one")

// attempt sends the request to one worker and reads the head of its response. On an error the attempt has
// ended: workerlink.ErrNotSent, errNotExecuted, or one after which the request may have been executed.
func (p *proxiedRequest) attempt(chosen worker) (*attempt, error) {
	a := &attempt{worker: chosen}
	dialTimeout := crossRegionDialTimeout
	if chosen.Region == p.edge.settings.Region {
		dialTimeout = sameRegionDialTimeout
	}
	dialTimeout = min(dialTimeout, time.Until(p.deadline))
	ctx := p.clientRequest.Context()
	connection, err := p.edge.connections.Get(ctx, chosen.Address, dialTimeout)
	if err != nil {
		p.edge.healthChecker.recordUnreachable(a, dialTimeout)
		p.recordNotExecuted(a)
		p.recordOutcome(a, execution.NotSent)
		p.failAttempt(a)
		return nil, err
	}
	a.connection = connection
	a.stopWatch = context.AfterFunc(ctx, func() { connection.Close() })
	p.monitorHealth(a, dialTimeout)
	p.attempts++
	sentAt := p.edge.now()
	if err := p.exchange(a); err != nil {
		p.recordOutcome(a, execution.Unknown)
		p.failAttempt(a)
		return nil, err
	}
	p.edge.healthChecker.recordActivity(chosen.Instance)
	p.edge.paths.confirm(sentAt, chosen)
	p.recordSelfReport(a)
	if workerlink.NotExecuted(a.response, p.id) {
		p.recordOutcome(a, execution.NotExecuted)
		return nil, p.endNotExecuted(a)
	}
	if execution.IsPromise(a.response.StatusCode) {
		p.recordOutcome(a, execution.Unknown) // a refusal that does not state what it would prove
	} else {
		p.recordOutcome(a, execution.Executed)
	}
	return a, nil
}

// exchange sends the request on the attempt's connection and reads the head of the response. After an error
// the request may have been executed.
func (p *proxiedRequest) exchange(a *attempt) error {
	if err := a.connection.Send(p.workerRequestFor(a.worker), p.deadline); err != nil {
		return err
	}
	response, err := a.connection.Receive(p.workerRequest.Method, p.id, p.memory.Grow)
	if err != nil {
		return err
	}
	a.response = response
	if !p.memory.Grow(headerMemory(response.Header)) {
		return errors.Wrap(workerlink.ErrOutcomeUnknown, errNoMemory.Error())
	}
	return nil
}

// recordOutcome records what is known of the request's execution after an attempt.
func (p *proxiedRequest) recordOutcome(a *attempt, outcome execution.Outcome) {
	ended := execution.Attempt{Instance: a.worker.Instance, Address: a.worker.Address, Outcome: outcome}
	if a.connection != nil {
		ended.ConnectionRequests = a.connection.Requests()
	}
	if a.response != nil {
		ended.Status = a.response.StatusCode
	}
	p.execution.Add(ended)
}

// monitorHealth has the worker's health checked while it has the request. An idempotent request is
// interrupted where the worker becomes unresponsive.
func (p *proxiedRequest) monitorHealth(a *attempt, dialTimeout time.Duration) {
	var interrupt func()
	if p.route.IsIdempotent() {
		interrupt = func() { a.connection.Close() }
	}
	p.edge.healthChecker.startRequest(a, dialTimeout, interrupt)
}

// workerRequestFor returns the request with the headers that the edge adds for a worker.
func (p *proxiedRequest) workerRequestFor(chosen worker) *workerlink.Request {
	request := *p.workerRequest
	request.Header = p.workerRequest.Header.Clone()
	leftMillis := max(time.Until(p.deadline).Milliseconds(), 1)
	request.Header[workerlink.HeaderDeadline] = []string{strconv.FormatInt(leftMillis, 10)}
	request.Header[workerlink.HeaderTarget] = []string{chosen.Instance}
	if chosen.Engine {
		request.Header[workerlink.HeaderPriority] = []string{strconv.Itoa(p.priorityRank)}
	}
	if p.hasLastEventID {
		request.Header[workerlink.HeaderLastEvent] = []string{strconv.FormatUint(p.lastEventID, 10)}
	}
	return &request
}

// endNotExecuted ends an attempt that the worker has rejected without executing it.
func (p *proxiedRequest) endNotExecuted(a *attempt) error {
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		p.edge.decisions.recordReplaced(p.edge.now(), a.worker.Instance)
		p.attempts-- // it went to a worker that the route does not mean
		p.misdirectedAttempts++
	}
	p.recordNotExecuted(a)
	a.rejected = true
	p.endAttempt(a, discardBody(a.response))
	return errNotExecuted
}

// recordSelfReport records the load that the worker states in its response: requests running, and waiting.
func (p *proxiedRequest) recordSelfReport(a *attempt) {
	fields := strings.Split(a.response.Header.Get(workerlink.HeaderLoad), ",")
	if len(fields) < 2 {
		return
	}
	running, runningErr := strconv.ParseFloat(strings.TrimSpace(fields[0]), 64)
	waiting, waitingErr := strconv.ParseFloat(strings.TrimSpace(fields[1]), 64)
	if runningErr == nil && waitingErr == nil {
		p.edge.decisions.recordSelfReport(p.edge.now(), a.worker.Instance, running, waiting)
	}
}

// failAttempt ends an attempt whose worker could not be reached, or broke off. The worker is not blamed where
// the client has disconnected or the deadline has passed.
func (p *proxiedRequest) failAttempt(a *attempt) {
	if p.clientRequest.Context().Err() == nil && time.Now().Before(p.deadline) {
		p.edge.decisions.recordFailure(p.edge.now(), a.worker.Instance)
		p.edge.connections.CloseIdle(a.worker.Address)
		if a.connection != nil {
			p.edge.reportConnectionBreak(a.worker)
		}
	}
	p.endAttempt(a, false)
}

// endAttempt releases what the attempt holds at its worker. The connection is reused where the response is
// complete, and closed otherwise.
func (p *proxiedRequest) endAttempt(a *attempt, complete bool) {
	if !a.prefillReleased {
		p.edge.decisions.releasePrefill(p.prompt, a.worker.Instance)
		a.prefillReleased = true
	}
	p.edge.decisions.release(a.worker.Instance)
	p.edge.healthChecker.endRequest(a)
	if a.connection == nil {
		return
	}
	if !a.stopWatch() {
		complete = false // the client has disconnected: the connection is being closed
	}
	if !complete || a.response == nil {
		a.connection.Close()
		return
	}
	idleUntil, reusable := workerlink.IdleUntil(a.response, time.Now())
	switch {
	case !reusable:
		a.connection.Close()
	case a.rejected:
		p.withheld = append(p.withheld, withheldConnection{a.worker.Address, a.connection, idleUntil})
	default:
		p.edge.connections.Put(a.worker.Address, a.connection, idleUntil)
	}
}

// withheldConnection is one on which a worker has rejected the request. A late copy of the rejection bears
// the same id as a further attempt, so that no further attempt may use the connection.
type withheldConnection struct {
	address    string
	connection *workerlink.Conn
	idleUntil  time.Time
}

// returnWithheld puts the withheld connections into the pool: the request gets no further attempt.
func (p *proxiedRequest) returnWithheld() {
	for _, w := range p.withheld {
		p.edge.connections.Put(w.address, w.connection, w.idleUntil)
	}
	p.withheld = nil
}

// recordNotExecuted records that the worker has not prefilled the prompt, and will not.
func (p *proxiedRequest) recordNotExecuted(a *attempt) {
	a.prefillReleased = true
	p.edge.decisions.recordNotExecuted(p.edge.now(), p.prompt, a.worker.Instance)
}

// recordFirstToken records, once, that the worker has sent the first part of a response's body.
func (p *proxiedRequest) recordFirstToken(a *attempt) {
	if !a.prefillReleased {
		a.prefillReleased = true
		p.edge.decisions.recordFirstToken(p.edge.now(), p.prompt, a.worker.Instance)
	}
}
