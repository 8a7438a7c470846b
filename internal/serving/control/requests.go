package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

const (
	requestTimeout = 900 * time.Millisecond // callers themselves wait for a second
	unacceptedRetryInterval   = 60 * time.Millisecond  // after which an order that nobody took is tried again
	replyTimeout   = 300 * time.Millisecond // for an answer, after which the same try is made again
	maxLeaderRequests    = 8192                   // orders that a leader follows at a time
)

// order is something asked of this core, on its way to an outcome. It may be tried more than once, always
// with the same number and command id.
type pendingRequest struct {
	command  *wirepb.Command // nil: a read
	done     func(*wirepb.CallReply)
	deadline time.Duration
	leader   string // the leader that has it; "": nobody
	number   uint64
	retryAt  time.Duration
}

// orderTable holds the orders whose outcome is open, in the order of their coming.
type requestTable struct {
	lastNumber uint64
	pending []*pendingRequest
}

func newRequestTable() requestTable { return requestTable{} }

func (t *requestTable) find(number uint64) *pendingRequest {
	for _, request := range t.pending {
		if request.number == number {
			return request
		}
	}
	return nil
}

func (t *requestTable) remove(request *pendingRequest) {
	t.pending = slices.DeleteFunc(t.pending, func(x *pendingRequest) bool { return x == request })
}

// asker says who waits for an outcome at the leader. A number means something to one life of one core only.
type requester struct {
	address string // "": this core
	incarnation    string
	number  uint64
}

// asked is an order that a leader follows.
type leaderRequest struct {
	requester   requester
	expiresAt time.Duration
}

// askedTable holds what a leader was asked: commands by their id, reads by number.
type leaderRequestTable struct {
	commands map[string]leaderRequest
	reads    map[uint64]leaderRequest
}

func newLeaderRequestTable() leaderRequestTable {
	return leaderRequestTable{commands: map[string]leaderRequest{}, reads: map[uint64]leaderRequest{}}
}

func (t *leaderRequestTable) full() bool { return len(t.commands)+len(t.reads) >= maxLeaderRequests }

func (t *leaderRequestTable) removeExpired(now time.Duration) {
	for id, entry := range t.commands {
		if now >= entry.expiresAt {
			delete(t.commands, id)
		}
	}
	for id, entry := range t.reads {
		if now >= entry.expiresAt {
			delete(t.reads, id)
		}
	}
}

// Submit carries out a command, or a read where command is nil, at the leader, wherever that is. done is
// called once, with OUTCOME_UNKNOWN where no clear outcome is known in time; the caller may send the same
// again. The time counts from when the order may have arrived.
func (e *Engine) Submit(command *wirepb.Command, done func(*wirepb.CallReply)) {
	now := e.advanceTime()
	e.requests.lastNumber++
	request := &pendingRequest{done: done, deadline: now + requestTimeout - e.longestTickGap, number: e.requests.lastNumber}
	if command != nil {
		request.command = proto.Clone(command).(*wirepb.Command)
		request.command.Id = e.uniqueID(request.number)
	}
	e.requests.pending = append(e.requests.pending, request)
	if now >= request.deadline {
		e.complete(request, &wirepb.CallReply{}) // its caller may have given up while this process stood still
		return
	}
	e.forward(request)
	e.processReady()
}

// pursueOrders ends orders whose time is over, and tries others again.
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

func (e *Engine) complete(request *pendingRequest, reply *wirepb.CallReply) {
	e.requests.remove(request)
	request.done(reply)
}

// try hands an order to the leader.
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

// callOf says until when the leader may begin with the order, by the leader's own clock, so that a call which
// was held up does nothing after its caller has given up.
func (e *Engine) callEnvelope(request *pendingRequest) *wirepb.Envelope {
	call := &wirepb.Call{
		Number: request.number, From: e.options.Address, Life: e.options.Incarnation, Term: e.node.Term(),
		NotAfter: e.node.LeaderClock() + uint64((request.deadline-e.now())/time.Microsecond),
	}
	if request.command == nil {
		call.Order = &wirepb.Call_Read{Read: true}
	} else {
		call.Order = &wirepb.Call_Command{Command: request.command}
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Call{Call: call}}
}

// ask proposes a command, or registers a read, at this core. It returns false where that cannot be.
func (e *Engine) accept(command *wirepb.Command, from requester, expires time.Duration) bool {
	if !e.node.IsEstablishedLeader() || e.leaderRequests.full() {
		return false
	}
	entry := leaderRequest{requester: from, expiresAt: expires}
	if command == nil {
		e.requests.lastNumber++
		e.leaderRequests.reads[e.requests.lastNumber] = entry
		return e.node.ReadIndex(e.requests.lastNumber)
	}
	_, proposed := e.leaderRequests.commands[command.Id]
	e.leaderRequests.commands[command.Id] = entry
	if proposed {
		return true // an earlier try of the same order is under way
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return false
	}
	if _, proposed = e.node.Propose(data); !proposed {
		delete(e.leaderRequests.commands, command.Id)
	}
	return proposed
}

// takeCall carries out an order that another core has handed on.
func (e *Engine) handleCall(call *wirepb.Call) {
	from := requester{address: call.From, incarnation: call.Life, number: call.Number}
	late := call.Term != e.node.Term() || e.node.LeaderClock() >= call.NotAfter
	if late || !e.accept(call.GetCommand(), from, e.now()+requestTimeout) {
		e.reply(from, &wirepb.CallReply{})
	}
}

// answer tells whoever has asked the outcome.
func (e *Engine) reply(to requester, outcome *wirepb.CallReply) {
	outcome.Number = to.number
	outcome.Life = to.incarnation
	if to.address == "" {
		outcome.Life = e.options.Incarnation
		e.handleReply(outcome)
		return
	}
	e.environment.Send(to.address, &wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: outcome}})
}

// takeReply ends the order that is answered. An answer to another life ends nothing, nor does one to an order
// that was given up. Which try is answered does not matter: versions only rise, so a later try of the same
// order cannot have another outcome.
func (e *Engine) handleReply(reply *wirepb.CallReply) {
	request := e.requests.find(reply.Number)
	if request == nil || reply.Life != e.options.Incarnation {
		return
	}
	if reply.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN {
		request.leader = ""
		request.retryAt = e.now() + unacceptedRetryInterval
		return
	}
	e.complete(request, reply)
}

// finishCommand tells the outcome of a committed command.
func (e *Engine) completeCommand(result statemachine.Result) {
	entry, waiting := e.leaderRequests.commands[result.ID]
	if !waiting {
		return
	}
	delete(e.leaderRequests.commands, result.ID)
	e.reply(entry.requester, &wirepb.CallReply{Outcome: result.Outcome})
}

func (e *Engine) completeRead(id uint64) {
	entry, waiting := e.leaderRequests.reads[id]
	if !waiting {
		return
	}
	delete(e.leaderRequests.reads, id)
	e.reply(entry.requester, &wirepb.CallReply{
		Outcome: wirepb.Outcome_OUTCOME_TAKEN, Body: e.machine.Body(), Generation: e.machine.Generation(),
	})
}
