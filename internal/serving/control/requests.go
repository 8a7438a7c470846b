package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

const (
	// requestTimeout limits the time until a request ends. It is shorter than the second for which callers wait.
	requestTimeout = 900 * time.Millisecond

	// unacceptedRetryInterval is the delay after which a request that no leader has accepted is retried.
	unacceptedRetryInterval = 60 * time.Millisecond

	// replyTimeout is how long a core waits for the leader's reply before it sends a request again.
	replyTimeout = 300 * time.Millisecond

	// maxLeaderRequests limits the number of requests that a leader has accepted and not completed.
	maxLeaderRequests = 8192
)

// OutcomeNotForwarded is the outcome of a request that no leader was sent, and that none will be: nothing was
// changed by it. It is never sent in a message.
const OutcomeNotForwarded wirepb.Outcome = -1

// pendingRequest is a request to this core whose outcome is not known yet. It may be forwarded more than
// once, always with the same number and command id.
type pendingRequest struct {
	command        *wirepb.Command // nil: a read, or a question for a revision
	evacuationZone string          // whose evacuation revision is asked for; "": no such question
	revision       uint64          // the evacuation revision that a command builds on, in term; 0: none
	term           uint64

	done     func(*wirepb.CallReply)
	deadline time.Duration
	leader   string // the replica that it was forwarded to; "": none
	number   uint64
	retryAt  time.Duration
	// forwarded is set once a leader may have accepted the request, and stays set.
	forwarded bool
}

// timeoutReply returns the reply to a request that has ended without a reply of the leader. forwarded says
// that a leader may have accepted it.
func timeoutReply(forwarded bool) *wirepb.CallReply {
	if forwarded {
		return &wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN}
	}
	return &wirepb.CallReply{Outcome: OutcomeNotForwarded}
}

// requestTable holds the pending requests, in the order of their arrival.
type requestTable struct {
	lastNumber uint64 // newest number of a request or a ReadIndex
	pending    []*pendingRequest
}

// newRequestTable returns an empty table.
func newRequestTable() requestTable { return requestTable{} }

// find returns the pending request with this number, or nil.
func (t *requestTable) find(number uint64) *pendingRequest {
	for _, request := range t.pending {
		if request.number == number {
			return request
		}
	}
	return nil
}

// remove removes a request.
func (t *requestTable) remove(request *pendingRequest) {
	t.pending = slices.DeleteFunc(t.pending, func(x *pendingRequest) bool { return x == request })
}

// Submit forwards a command to the leader, which may be this core, to be committed; if command is nil, it
// reads the configuration in force. done is called once, with OUTCOME_UNKNOWN if the outcome is not known in
// time, and OutcomeNotForwarded if no leader was known; the caller may then submit the same again. The
// request may have arrived during a stall of this process, so the time-out is shortened by the longest
// recent gap between ticks.
func (e *Engine) Submit(command *wirepb.Command, done func(*wirepb.CallReply)) {
	now := e.advanceTime()
	e.requests.lastNumber++
	request := &pendingRequest{
		done: done, deadline: now + requestTimeout - e.longestTickGap, number: e.requests.lastNumber,
	}
	if command != nil {
		request.command = proto.Clone(command).(*wirepb.Command)
		request.command.Id = e.uniqueID(request.number)
	}
	e.requests.pending = append(e.requests.pending, request)
	if now >= request.deadline {
		// The caller may have timed out while this process was stalled.
		e.complete(request, timeoutReply(request.forwarded))
		return
	}
	e.forward(request)
	e.processReady()
}

// retryRequests ends pending requests whose deadline has passed, and forwards the others again if the
// leader has changed or has not replied in time.
func (e *Engine) retryRequests() {
	now := e.now()
	e.leaderRequests.removeExpired(now)
	for _, request := range slices.Clone(e.requests.pending) {
		switch {
		case now >= request.deadline:
			e.complete(request, timeoutReply(request.forwarded))
		case request.leader != e.node.Leader() || now >= request.retryAt:
			e.forward(request)
		}
	}
}

// complete ends a request with an outcome.
func (e *Engine) complete(request *pendingRequest, reply *wirepb.CallReply) {
	e.requests.remove(request)
	request.done(reply)
}

// forward sends a request to the leader, which may be this core.
func (e *Engine) forward(request *pendingRequest) {
	now := e.now()
	leader := e.node.Leader()
	request.leader = leader
	request.retryAt = now + replyTimeout
	if leader == "" {
		request.retryAt = now + unacceptedRetryInterval
		return
	}
	if request.revision != 0 && request.term != e.node.Term() { // a revision says nothing about other terms
		e.complete(request, &wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_SUPERSEDED})
		return
	}
	if leader != e.options.Identity {
		request.forwarded = true
		e.environment.Send(e.options.AddressOf(consensus.Address(leader)), e.callEnvelope(request))
		return
	}
	from := requester{number: request.number}
	if !e.acceptCall(e.callEnvelope(request).GetCall(), from, request.deadline) {
		request.leader = ""
		request.retryAt = now + unacceptedRetryInterval
		return
	}
	request.forwarded = true
}

// callEnvelope returns the message that forwards a request. It contains the time, on the leader's clock,
// until which the leader may accept the request, so that a delayed call has no effect once its caller has
// timed out.
func (e *Engine) callEnvelope(request *pendingRequest) *wirepb.Envelope {
	call := &wirepb.Call{
		Number: request.number, From: e.options.Address, Incarnation: e.options.Incarnation, Term: e.node.Term(),
		NotAfter: e.node.LeaderClock() + uint64((request.deadline-e.now())/time.Microsecond),
	}
	switch {
	case request.evacuationZone != "":
		call.Request = &wirepb.Call_EvacuationZone{EvacuationZone: request.evacuationZone}
	case request.command == nil:
		call.Request = &wirepb.Call_Read{Read: true}
	default:
		call.Request = &wirepb.Call_Command{Command: request.command}
		call.EvacuationRevision = request.revision
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Call{Call: call}}
}

// handleReply completes the request to which a reply belongs. A reply to another incarnation, or to a
// request that has timed out, is ignored. The reply may be to any attempt of the request: versions only
// increase, so a later attempt of the same request cannot have a different outcome.
func (e *Engine) handleReply(reply *wirepb.CallReply) {
	request := e.requests.find(reply.Number)
	if request == nil || reply.Incarnation != e.options.Incarnation {
		return
	}
	if reply.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN {
		request.leader = ""
		request.retryAt = e.now() + unacceptedRetryInterval
		return
	}
	e.complete(request, reply)
}
