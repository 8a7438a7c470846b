package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

// requester identifies the pending request of a core to which an outcome is sent. The number is unique within
// one incarnation of the core.
type requester struct {
	address     string // internal address of the core; "": this core
	incarnation string
	number      uint64
}

// leaderRequest is a request that this core has accepted as the leader.
type leaderRequest struct {
	requester requester
	expiresAt time.Duration
	term      uint64 // in which the command was proposed
}

// leaderRequestTable holds the accepted requests: commands by command id, reads by the number of their
// ReadIndex.
type leaderRequestTable struct {
	commands map[string]leaderRequest
	reads    map[uint64]leaderRequest
}

// newLeaderRequestTable returns an empty table.
func newLeaderRequestTable() leaderRequestTable {
	return leaderRequestTable{commands: map[string]leaderRequest{}, reads: map[uint64]leaderRequest{}}
}

// full reports whether the table holds maxLeaderRequests requests, so that no further one is accepted.
func (t *leaderRequestTable) full() bool { return len(t.commands)+len(t.reads) >= maxLeaderRequests }

// removeExpired removes the requests whose requester has timed out.
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

// accept proposes a command, or registers a read if command is nil, at this core. It returns false if this
// core is not an established leader, does not take new proposals or has a full table.
func (e *Engine) accept(command *wirepb.Command, from requester, expires time.Duration) bool {
	if !e.node.IsEstablishedLeader() || e.leaderRequests.full() {
		return false
	}
	entry := leaderRequest{requester: from, expiresAt: expires, term: e.node.Term()}
	if command == nil {
		e.requests.lastNumber++
		e.leaderRequests.reads[e.requests.lastNumber] = entry
		return e.node.ReadIndex(e.requests.lastNumber)
	}
	earlier, proposed := e.leaderRequests.commands[command.Id]
	e.leaderRequests.commands[command.Id] = entry
	if proposed && earlier.term == entry.term {
		return true // an earlier attempt of the same request is in progress
	}
	// If this core has lost the leadership since an earlier attempt, the entry of that attempt may be lost, so
	// the command is proposed again. If that entry was committed after all, the second one changes nothing:
	// the state machine recognizes a command that it has already applied.
	data, err := proto.Marshal(command)
	if err != nil {
		return false
	}
	if _, proposed = e.node.Propose(data); !proposed {
		delete(e.leaderRequests.commands, command.Id)
		return false
	}
	if evacuation := command.GetEvacuation(); evacuation != nil {
		e.acceptedEvacuations[evacuation.Zone]++
	}
	return true
}

// handleCall accepts a request that another core has forwarded, unless it is from another term or its
// requester has timed out.
func (e *Engine) handleCall(call *wirepb.Call) {
	from := requester{address: call.From, incarnation: call.Incarnation, number: call.Number}
	late := call.Term != e.node.Term() || e.node.LeaderClock() >= call.NotAfter
	if late || !e.acceptCall(call, from, e.now()+requestTimeout) {
		e.reply(from, &wirepb.CallReply{})
	}
}

// acceptCall accepts the request of a call, or returns false.
func (e *Engine) acceptCall(call *wirepb.Call, from requester, expires time.Duration) bool {
	switch request := call.Request.(type) {
	case *wirepb.Call_EvacuationZone:
		return e.replyRevision(request.EvacuationZone, from)
	case *wirepb.Call_Command:
		if call.EvacuationRevision != 0 {
			return e.acceptAtRevision(request.Command, call.EvacuationRevision, from, expires)
		}
	}
	return e.accept(call.GetCommand(), from, expires)
}

// reply sends an outcome to a requester, which may be this core.
func (e *Engine) reply(to requester, outcome *wirepb.CallReply) {
	outcome.Number = to.number
	outcome.Incarnation = to.incarnation
	if to.address == "" {
		outcome.Incarnation = e.options.Incarnation
		e.handleReply(outcome)
		return
	}
	e.environment.Send(to.address, &wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: outcome}})
}

// completeCommand replies with the outcome of a committed command, if this core has accepted the command
// and its requester still waits.
func (e *Engine) completeCommand(result statemachine.Result) {
	entry, waiting := e.leaderRequests.commands[result.ID]
	if !waiting {
		return
	}
	delete(e.leaderRequests.commands, result.ID)
	e.reply(entry.requester, &wirepb.CallReply{Outcome: result.Outcome})
}

// completeRead replies to a read with the configuration in force. It is called once a quorum has confirmed
// that this core still leads.
func (e *Engine) completeRead(id uint64) {
	entry, waiting := e.leaderRequests.reads[id]
	if !waiting {
		return
	}
	delete(e.leaderRequests.reads, id)
	e.reply(entry.requester, &wirepb.CallReply{
		Outcome: wirepb.Outcome_OUTCOME_ACCEPTED, Body: e.machine.Body(), Generation: e.machine.Generation(),
	})
}
