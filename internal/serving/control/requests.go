package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

const (
	requestTimeout          = 900 * time.Millisecond // callers themselves wait for a second
	unacceptedRetryInterval = 60 * time.Millisecond  // after which a request that no leader accepted is retried
	replyTimeout            = 300 * time.Millisecond // for a reply, after which the request is sent again
	maxLeaderRequests       = 8192                   // that the leader has accepted at a time
)

// pendingRequest is a request to this core whose outcome is not known yet. It may be forwarded more than
// once, always with the same number and command id.
type pendingRequest struct {
	command  *wirepb.Command // nil: a read
	done     func(*wirepb.CallReply)
	deadline time.Duration
	leader   string // the replica that it was forwarded to; "": none
	number   uint64
	retryAt  time.Duration
}

// requestTable holds the pending requests, in the order of their arrival.
type requestTable struct {
	lastNumber uint64
	pending    []*pendingRequest
}

// newRequestTable returns an empty table.
func newRequestTable() requestTable { return requestTable{} }

// find returns the request with a number, or nil.
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

// Submit has the leader, wherever it is, commit a command, or serve a read if command is nil. done is called
// once, with OUTCOME_UNKNOWN if the outcome is not known in time; the caller may then submit the same again.
// The time-out counts from when the request may have arrived: a stall of this process is subtracted.
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
		e.complete(request, &wirepb.CallReply{}) // its caller may have timed out while this process was stalled
		return
	}
	e.forward(request)
	e.processReady()
}

// retryRequests ends requests whose deadline has passed, and forwards others again if the leader has changed
// or has not replied in time.
func (e *Engine) retryRequests() {
	now := e.now()
	e.leaderRequests.removeExpired(now)
	for _, request := range slices.Clone(e.requests.pending) {
		switch {
		case now >= request.deadline:
			e.complete(request, &wirepb.CallReply{})
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
	switch leader {
	case "":
		request.retryAt = now + unacceptedRetryInterval
	case e.options.Identity:
		if !e.accept(request.command, requester{number: request.number}, request.deadline) {
			request.leader = ""
			request.retryAt = now + unacceptedRetryInterval
		}
	default:
		e.environment.Send(e.options.AddressOf(consensus.Address(leader)), e.callEnvelope(request))
	}
}

// callEnvelope returns the message that forwards a request. It says until when, by the leader's own clock,
// the leader may accept it, so that a delayed call has no effect once its caller has timed out.
func (e *Engine) callEnvelope(request *pendingRequest) *wirepb.Envelope {
	call := &wirepb.Call{
		Number: request.number, From: e.options.Address, Incarnation: e.options.Incarnation, Term: e.node.Term(),
		NotAfter: e.node.LeaderClock() + uint64((request.deadline-e.now())/time.Microsecond),
	}
	if request.command == nil {
		call.Request = &wirepb.Call_Read{Read: true}
	} else {
		call.Request = &wirepb.Call_Command{Command: request.command}
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Call{Call: call}}
}

// handleReply completes the request that a reply belongs to. A reply to another incarnation, or to a request
// that has timed out, is ignored. Which attempt is answered does not matter: versions only increase, so a
// later attempt of the same request cannot have another outcome.
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
