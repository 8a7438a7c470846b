package control

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// withdrawalDelay is how long the command of an evacuation waits, at the core that it came to, for its caller
// to withdraw it. A command that was held up on its way may arrive after its caller has given it up, and the
// caller's close a round trip between regions behind it, or a retransmission later.
const withdrawalDelay = 250 * time.Millisecond

// evacuationRequest is the command of an evacuation at the core that it came to, until its outcome is known.
// The core asks the leader for the zone's evacuation revision, waits for withdrawalDelay, and then forwards
// the command, which the leader accepts only if the revision is still the same one. So a command is not
// accepted once its caller has withdrawn it, or once a command that came later was accepted.
type evacuationRequest struct {
	command   *wirepb.Command
	done      func(*wirepb.CallReply)
	deadline  time.Duration
	pending   *pendingRequest // the question, or the command; nil while it waits until forwardAt
	forwardAt time.Duration
	revision  uint64 // the leader's, in term; 0: the leader keeps none
	term      uint64
	forwarded bool // a leader may have accepted the command
}

// SubmitEvacuation submits the command of an evacuation. done is called once with the outcome, as by Submit,
// unless the caller withdraws the command before: it calls withdraw as soon as nobody waits for the outcome
// any more.
func (e *Engine) SubmitEvacuation(
	command *wirepb.Command, done func(*wirepb.CallReply),
) (withdraw func()) {
	now := e.advanceTime()
	e.requests.lastNumber++
	request := &evacuationRequest{
		command: proto.Clone(command).(*wirepb.Command), done: done,
		deadline: now + requestTimeout - e.longestTickGap,
	}
	request.command.Id = e.uniqueID(e.requests.lastNumber)
	e.evacuations = append(e.evacuations, request)
	if now >= request.deadline {
		e.completeEvacuation(request, timeoutReply(request.forwarded)) // as in Submit
		return func() {}
	}
	e.requestRevision(request)
	e.processReady()
	return func() { e.withdrawEvacuation(request) }
}

// requestRevision asks the leader for the evacuation revision of the request's zone.
func (e *Engine) requestRevision(request *evacuationRequest) {
	e.submitFor(request, &pendingRequest{
		evacuationZone: request.command.GetEvacuation().Zone,
		done:           func(reply *wirepb.CallReply) { e.handleRevision(request, reply) },
	})
}

// handleRevision handles the leader's reply to requestRevision, and begins the wait for a withdrawal.
func (e *Engine) handleRevision(request *evacuationRequest, reply *wirepb.CallReply) {
	if reply.Outcome != wirepb.Outcome_OUTCOME_ACCEPTED {
		e.completeEvacuation(request, timeoutReply(request.forwarded))
		return
	}
	request.revision, request.term = reply.EvacuationRevision, reply.Term
	request.pending, request.forwardAt = nil, e.now()+withdrawalDelay
}

// forwardEvacuation forwards the command to the leader.
func (e *Engine) forwardEvacuation(request *evacuationRequest) {
	e.submitFor(request, &pendingRequest{
		command: request.command, revision: request.revision, term: request.term,
		done: func(reply *wirepb.CallReply) { e.handleEvacuationOutcome(request, reply) },
	})
}

// handleEvacuationOutcome handles the outcome of forwardEvacuation. A command that was overtaken begins anew,
// so that it is accepted after the other one if its caller goes on waiting.
func (e *Engine) handleEvacuationOutcome(request *evacuationRequest, reply *wirepb.CallReply) {
	request.forwarded = request.forwarded || request.pending.forwarded
	switch reply.Outcome {
	case wirepb.Outcome_OUTCOME_SUPERSEDED:
		e.requestRevision(request)
	case OutcomeNotForwarded:
		e.completeEvacuation(request, timeoutReply(request.forwarded))
	default:
		e.completeEvacuation(request, reply)
	}
}

// submitFor submits a request to the leader as a part of an evacuation request.
func (e *Engine) submitFor(request *evacuationRequest, pending *pendingRequest) {
	e.requests.lastNumber++
	pending.number, pending.deadline = e.requests.lastNumber, request.deadline
	request.pending = pending
	e.requests.pending = append(e.requests.pending, pending)
	e.forward(pending)
}

// advanceEvacuations forwards the commands whose wait for a withdrawal is over.
func (e *Engine) advanceEvacuations() {
	now := e.now()
	for _, request := range slices.Clone(e.evacuations) {
		switch {
		case request.pending != nil: // retryRequests ends it in time
		case now >= request.deadline:
			e.completeEvacuation(request, timeoutReply(request.forwarded))
		case now >= request.forwardAt:
			e.forwardEvacuation(request)
		}
	}
}

// completeEvacuation ends a request with an outcome.
func (e *Engine) completeEvacuation(request *evacuationRequest, reply *wirepb.CallReply) {
	e.removeEvacuation(request)
	request.done(reply)
}

// withdrawEvacuation ends a request whose caller has gone. A command that was forwarded before may still be
// accepted, but not after a newer one.
func (e *Engine) withdrawEvacuation(request *evacuationRequest) {
	if !slices.Contains(e.evacuations, request) {
		return // it has an outcome
	}
	forwarded := request.forwarded
	if request.pending != nil {
		forwarded = forwarded || request.pending.forwarded
		e.requests.remove(request.pending)
	}
	e.removeEvacuation(request)
	change := request.command.GetEvacuation()
	e.logger.Info("evacuation command withdrawn: its caller has closed the connection",
		zap.String("zone", change.Zone), zap.Bool("start", change.Active), zap.Bool("forwarded", forwarded))
}

func (e *Engine) removeEvacuation(request *evacuationRequest) {
	e.evacuations = slices.DeleteFunc(e.evacuations, func(x *evacuationRequest) bool { return x == request })
}

// evacuationRevision returns the revision of a zone, which is at least 1. It rises with each command that
// this core accepts as the leader, and says nothing about those that the leaders of other terms accept.
func (e *Engine) evacuationRevision(zone string) uint64 { return e.acceptedEvacuations[zone] + 1 }

// replyRevision replies with the evacuation revision of a zone. It returns false if this core is not an
// established leader: commands of earlier terms may still be applied here then.
func (e *Engine) replyRevision(zone string, to requester) bool {
	if !e.node.IsEstablishedLeader() {
		return false
	}
	e.reply(to, &wirepb.CallReply{
		Outcome: wirepb.Outcome_OUTCOME_ACCEPTED,
		Term:    e.node.Term(), EvacuationRevision: e.evacuationRevision(zone),
	})
	return true
}

// acceptAtRevision accepts the command of an evacuation, as accept does, if the zone's revision is the given
// one. It replies itself to a command that was applied before, and to one that a newer one has overtaken.
func (e *Engine) acceptAtRevision(
	command *wirepb.Command, revision uint64, from requester, expires time.Duration,
) bool {
	if !e.node.IsEstablishedLeader() {
		return false
	}
	if e.machine.EvacuationApplied(command.Id) {
		e.reply(from, &wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_ACCEPTED})
		return true
	}
	current := e.evacuationRevision(command.GetEvacuation().GetZone())
	proposed, inProgress := e.leaderRequests.commands[command.Id]
	if revision == current || inProgress && proposed.term == e.node.Term() {
		return e.accept(command, from, expires)
	}
	e.reply(from, &wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_SUPERSEDED})
	return true
}
