package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

const testZone = "zone-0"

// evacuationWorld returns a world of three cores without operators, and its leader and a follower far from
// it.
func evacuationWorld(t *testing.T, seed int64) (w *world, leader, follower *machine) {
	t.Helper()
	w = startWorld(seed, shape{cores: 3, tolerated: 1})
	w.clients.idle = true
	for w.clients.busy() {
		w.step()
	}
	w.run(maxHoldTime + clientCallTimeout) // calls that are held up arrive
	leader = w.leader()
	for _, m := range w.machines {
		if m != leader && w.delay(direction{m.host, leader.host}) == farDelay {
			return w, leader, m
		}
	}
	t.Fatal("no core is far from the leader")
	return nil, nil, nil
}

// evacuate submits the command of an evacuation and runs until the caller has a response, or has waited for
// one as long as it does.
func evacuate(w *world, m *machine, active bool) (outcome wirepb.Outcome, answered bool) {
	m.process.engine.SubmitEvacuation(
		statemachine.EvacuationCommand(testZone, active),
		func(reply *wirepb.CallReply) { outcome, answered = reply.Outcome, true },
	)
	for end := w.now + clientCallTimeout; !answered && w.now < end; {
		w.step()
	}
	return outcome, answered
}

func mustEvacuate(t *testing.T, w *world, m *machine, active bool) {
	t.Helper()
	if outcome, answered := evacuate(w, m, active); !answered || outcome != wirepb.Outcome_OUTCOME_ACCEPTED {
		t.Fatalf("a sound caller's command: answered %v, outcome %v", answered, outcome)
	}
}

func evacuated(w *world) bool {
	return slices.Contains(w.leader().process.engine.machine.Evacuated(), testZone)
}

// TestHeldUpEvacuationCommandHasNoEffect guards against EVAC (review/4): a command that a cut holds up
// reaches a core after its twin and a newer command were acknowledged elsewhere, and its caller's close some
// time behind it. It ended the newer evacuation, or evacuated a zone that was taken back.
func TestHeldUpEvacuationCommandHasNoEffect(t *testing.T) {
	for _, active := range []bool{false, true} {
		for _, atLeader := range []bool{false, true} {
			for _, lag := range closeLags {
				name := fmt.Sprintf("start %v, at the leader %v, close %v behind", active, atLeader, lag)
				t.Run(name, func(t *testing.T) { holdUpEvacuation(t, active, atLeader, lag) })
			}
		}
	}
}

// holdUpEvacuation has a command arrive at the leader or another core, after the same one and its opposite
// were acknowledged. Its caller's close arrives lag behind it.
func holdUpEvacuation(t *testing.T, active, atLeader bool, lag time.Duration) {
	t.Helper()
	w, leader, follower := evacuationWorld(t, 1)
	at := follower
	if atLeader {
		at = leader
	}
	mustEvacuate(t, w, leader, active)
	mustEvacuate(t, w, leader, !active)
	command := statemachine.EvacuationCommand(testZone, active)
	withdraw := at.process.engine.SubmitEvacuation(command, func(reply *wirepb.CallReply) {
		t.Errorf("a caller that has gone gets outcome %v", reply.Outcome)
	})
	w.run(lag)
	withdraw()
	w.run(2 * requestTimeout)
	if evacuated(w) == active {
		t.Error("the command that was held up has taken effect")
	}
}

// TestTwoHeldUpEvacuationCommands has two copies of a command held up on their way to two cores, and the
// newest command equal to them: both arrive, one while its caller seems to wait. The copies must not undo
// anything.
func TestTwoHeldUpEvacuationCommands(t *testing.T) {
	w, leader, follower := evacuationWorld(t, 2)
	mustEvacuate(t, w, leader, false)
	mustEvacuate(t, w, leader, true)
	mustEvacuate(t, w, leader, false)
	stop := statemachine.EvacuationCommand(testZone, true)
	first := leader.process.engine.SubmitEvacuation(stop, func(*wirepb.CallReply) {})
	second := follower.process.engine.SubmitEvacuation(stop, func(*wirepb.CallReply) {})
	w.run(2 * farDelay)
	first()
	second()
	w.run(2 * requestTimeout)
	if evacuated(w) {
		t.Error("a command that was held up has taken effect")
	}
}

// TestOvertakenEvacuationCallIsNotAccepted guards against EVAC between cores: the message that forwards a
// command is held up on its way to the leader, for less than its time-out, while the caller goes on with
// others. The leader accepted it after these.
func TestOvertakenEvacuationCallIsNotAccepted(t *testing.T) {
	w, leader, follower := evacuationWorld(t, 3)
	var heldUp *wirepb.Envelope
	w.planted.send = func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
		if envelope.GetCall().GetCommand().GetEvacuation().GetActive() && heldUp == nil {
			heldUp = proto.Clone(envelope).(*wirepb.Envelope)
			return nil
		}
		return envelope
	}
	command := statemachine.EvacuationCommand(testZone, true)
	withdraw := follower.process.engine.SubmitEvacuation(command, func(*wirepb.CallReply) {})
	for heldUp == nil {
		w.step()
	}
	withdraw()
	mustEvacuate(t, w, leader, false)
	w.planted.send = nil
	if notAfter := heldUp.GetCall().NotAfter; leader.process.engine.node.LeaderClock() >= notAfter {
		t.Fatal("the message has timed out: the test shows nothing")
	}
	leader.process.engine.HandleEnvelope(heldUp)
	w.run(time.Second)
	if evacuated(w) {
		t.Error("the leader has accepted a command after a newer one")
	}
}

// TestEvacuationRevisionHoldsForOneTerm takes the lead from the leader while a command waits. A revision of
// the former leader says nothing about what the next one accepts: the core asks anew, and the command is
// accepted within its time if its caller waits, and not if it has gone.
func TestEvacuationRevisionHoldsForOneTerm(t *testing.T) {
	w, _, follower := evacuationWorld(t, 4)
	e := follower.process.engine
	request := &evacuationRequest{
		command: &wirepb.Command{
			Id:     "waiting",
			Change: statemachine.EvacuationCommand(testZone, true).Change,
		},
		deadline: e.now() + requestTimeout, revision: 1, term: e.node.Term() - 1,
	}
	var outcome wirepb.Outcome
	request.done = func(reply *wirepb.CallReply) { outcome = reply.Outcome }
	e.evacuations = append(e.evacuations, request)
	w.run(TickInterval + simStep)
	if request.forwarded || request.pending == nil || request.pending.evacuationZone != testZone {
		t.Errorf("the revision of an earlier term was used: %+v", request)
	}
	w.run(requestTimeout)
	if outcome != wirepb.Outcome_OUTCOME_ACCEPTED || !evacuated(w) {
		t.Errorf("outcome %v, evacuated %v", outcome, evacuated(w))
	}
}

// TestEvacuationsOfTwoOperators has two operators command opposite things for one zone at the same time. Both
// get an acknowledgement within the second for which they wait: the second command begins anew.
func TestEvacuationsOfTwoOperators(t *testing.T) {
	w, leader, _ := evacuationWorld(t, 5)
	began := w.now
	acknowledged := 0
	for _, active := range []bool{true, false} {
		command := statemachine.EvacuationCommand(testZone, active)
		leader.process.engine.SubmitEvacuation(command, func(reply *wirepb.CallReply) {
			if reply.Outcome == wirepb.Outcome_OUTCOME_ACCEPTED && w.now-began < clientCallTimeout {
				acknowledged++
			}
		})
	}
	w.run(2 * clientCallTimeout)
	if acknowledged != 2 {
		t.Errorf("%d of 2 commands were acknowledged in time", acknowledged)
	}
}

// TestLostReplyOfEvacuation loses the leader's reply to a command. The retry of the same command is
// acknowledged: it was not overtaken by itself.
func TestLostReplyOfEvacuation(t *testing.T) {
	w, _, follower := evacuationWorld(t, 6)
	lost := 0
	w.planted.send = func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
		reply := envelope.GetReply()
		ofCommand := reply.GetOutcome() == wirepb.Outcome_OUTCOME_ACCEPTED && reply.GetEvacuationRevision() == 0
		if lost == 0 && ofCommand {
			lost++
			return nil
		}
		return envelope
	}
	mustEvacuate(t, w, follower, true)
	if lost != 1 {
		t.Errorf("%d replies were lost", lost)
	}
}

// TestEvacuationWithLeaderOfEarlierBuild submits a command while the leader knows no revisions: such a leader
// takes the question for a read of the configuration. The command is forwarded without one.
func TestEvacuationWithLeaderOfEarlierBuild(t *testing.T) {
	w, _, follower := evacuationWorld(t, 7)
	w.planted.send = func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
		if reply := envelope.GetReply(); reply != nil {
			reply.Term, reply.EvacuationRevision = 0, 0
		}
		if call := envelope.GetCall(); call != nil {
			if call.GetEvacuationZone() != "" {
				call.Request = &wirepb.Call_Read{Read: true}
			}
			if call.EvacuationRevision != 0 {
				t.Error("a revision of a leader that keeps none")
			}
		}
		return envelope
	}
	mustEvacuate(t, w, follower, true)
	mustEvacuate(t, w, follower, false)
	if evacuated(w) {
		t.Error("the zone is evacuated after its evacuation has ended")
	}
}

// TestEvacuationIsNotForwardedAfterItsDeadline submits a command after a stall of the core that leaves it
// less time than the wait for a withdrawal takes. It ends unforwarded, and has no effect.
func TestEvacuationIsNotForwardedAfterItsDeadline(t *testing.T) {
	w, leader, _ := evacuationWorld(t, 8)
	mustEvacuate(t, w, leader, false)
	e := leader.process.engine
	e.longestTickGap, e.tickGapExpiry = requestTimeout-withdrawalDelay/2, e.now()+tickGapRetention
	if outcome, answered := evacuate(w, leader, true); !answered || outcome != OutcomeNotForwarded {
		t.Errorf("answered %v, outcome %v", answered, outcome)
	}
	w.run(requestTimeout)
	if evacuated(w) {
		t.Error("the command has taken effect")
	}
}
