package control

import (
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// plant is a deliberate mistake in the programs that a world plays, to show that its checks find it. Nil
// parts are as they should be.
type plantedFault struct {
	afterStep func(w *world)
	// send may change an envelope on its way out, or drop it by returning nil.
	send func(w *world, to string, envelope *wirepb.Envelope) *wirepb.Envelope
	// submit answers an operator's order in place of the engine, if it returns true.
	submit     func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool
	identity   func(m *machine, fresh string) string // of a disk without one
	ackBeforeSync  bool                                  // batches count as on disk before they are
	stopImmediately bool                                  // a process that is told to stop does so
}

const plantedFaultSchedules = 400

// plants are by the point of the operators' letter that they break.
var plantedFaults = map[string]plantedFault{
	"1: a read without a majority": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command != nil {
				return false
			}
			done(&wirepb.CallReply{
				Outcome: wirepb.Outcome_OUTCOME_TAKEN, Generation: e.machine.Generation(), Body: e.machine.Body(),
			})
			return true
		},
	},
	"1: an order is confirmed before a majority has it": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command == nil || !e.node.IsEstablishedLeader() {
				return false
			}
			e.Submit(command, func(*wirepb.CallReply) {})
			done(&wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_TAKEN})
			return true
		},
	},
	"1: a core without a leader refuses": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command.GetReplace() == nil || e.node.InSync() {
				return false
			}
			done(&wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_CONFLICT})
			return true
		},
	},
	"2: an order that is sent again is not known": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command.GetReplace() == nil {
				return false
			}
			other := proto.Clone(command).(*wirepb.Command)
			other.GetReplace().Digest = []byte(strconv.FormatUint(e.requests.lastNumber, 10) + e.options.Incarnation)
			e.Submit(other, done)
			return true
		},
	},
	"2: each core decides by its own version": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			change := command.GetReplace()
			if change == nil || change.Base == e.machine.Generation() {
				return false
			}
			done(&wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_CONFLICT})
			return true
		},
	},
	"3: a leaving replica stops at once": {stopImmediately: true},
	"3: a replica is seated before it has caught up": {
		send: func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
			m := envelope.GetConsensus()
			if m.GetKind() != wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY || m.Reject {
				return envelope
			}
			m.LogIndex += 3 // it says that it has more than it has
			return envelope
		},
	},
	"4: parts of a snapshot are lost for good": {
		send: func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
			if isSnapshotChunk(envelope) {
				return nil
			}
			return envelope
		},
	},
	"4: a wiped disk comes back as who it was": {
		identity: func(m *machine, _ string) string { return consensus.FounderIdentity(m.host) },
	},
	"4: what is not synced counts": {ackBeforeSync: true},
	"5: an answer to another life counts": {
		send: func(w *world, to string, envelope *wirepb.Envelope) *wirepb.Envelope {
			reply := envelope.GetReply()
			m := w.machine(to)
			if reply == nil || m == nil || m.process == nil {
				return envelope
			}
			other := proto.Clone(reply).(*wirepb.CallReply)
			other.Life = m.process.engine.options.Incarnation
			return &wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: other}}
		},
		afterStep: restartForwardingCores,
	},
	"5: answers go to whoever asked last": {
		send: func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
			reply := envelope.GetReply()
			if reply == nil {
				return envelope
			}
			other := proto.Clone(reply).(*wirepb.CallReply)
			other.Number++
			return &wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: other}}
		},
	},
}

// restartCallersOften ends lives in the middle of orders, so that answers to them are on their way.
func restartForwardingCores(w *world) {
	for _, m := range w.presentMachines() {
		p := m.process
		if p == nil || p.shuttingDown || p.engine.node.Leader() == p.engine.options.Identity {
			continue
		}
		if len(p.engine.requests.pending) > 0 && w.random.Intn(40) == 0 {
			m.kill(false, 2*simStep)
		}
	}
}

// TestPlantsAreFound looks that each planted mistake is found in some schedule. A panic counts: a broken
// premise may end a program before a check sees its effect.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, planted := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(plantedFaultSchedules) {
				if problems := runPlanted(seed, planted); len(problems) > 0 {
					t.Logf("seed %d: %s", seed, problems[0])
					return
				}
			}
			t.Errorf("not found in %d schedules", plantedFaultSchedules)
		})
	}
}

func runPlanted(seed int64, planted plantedFault) (problems []string) {
	defer func() {
		if recovered := recover(); recovered != nil {
			problems = []string{"a panic"}
		}
	}()
	s, schedule := drawRun(seed)
	return runSchedule(seed, s, schedule, planted)
}
