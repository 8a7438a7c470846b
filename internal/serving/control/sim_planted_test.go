package control

import (
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// plantedFault is a deliberate fault in the simulated programs, which shows that the checks detect such a
// fault. Fields that are zero change nothing.
type plantedFault struct {
	afterStep func(w *world)
	// send may change an envelope on its way out, or drop it by returning nil.
	send func(w *world, to string, envelope *wirepb.Envelope) *wirepb.Envelope
	// submit may handle an operator's request in place of the engine. It returns false if it has not handled it.
	submit          func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool
	identity        func(m *machine, fresh string) string // returns the identity of a replica with an empty disk
	ackBeforeSync   bool                                  // batches are reported as durable before the sync
	stopImmediately bool                                  // a process stops at once when asked to shut down
}

// plantedFaultSchedules is the number of schedules in which a planted fault must be found.
const plantedFaultSchedules = 400

// plantedFaults holds the planted faults by name. A name begins with the number of the section of
// docs/control-safety.md that the fault violates.
var plantedFaults = map[string]plantedFault{
	"1: a read without a quorum": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command != nil {
				return false
			}
			done(&wirepb.CallReply{
				Outcome: wirepb.Outcome_OUTCOME_ACCEPTED, Generation: e.machine.Generation(), Body: e.machine.Body(),
			})
			return true
		},
	},
	"1: a command is acknowledged before a quorum has stored it": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command == nil || !e.node.IsEstablishedLeader() {
				return false
			}
			e.Submit(command, func(*wirepb.CallReply) {})
			done(&wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_ACCEPTED})
			return true
		},
	},
	"1: a core without a leader rejects": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command.GetReplace() == nil || e.node.InSync() {
				return false
			}
			done(&wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_CONFLICT})
			return true
		},
	},
	"2: a retried command is not recognized": {
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
	"2: each core compares the base with its own version": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			change := command.GetReplace()
			if change == nil || change.Base == e.machine.Generation() {
				return false
			}
			done(&wirepb.CallReply{Outcome: wirepb.Outcome_OUTCOME_CONFLICT})
			return true
		},
	},
	"2: an evacuation command is forwarded as soon as it comes": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command.GetEvacuation() == nil {
				return false
			}
			e.Submit(command, done)
			return true
		},
	},
	"2: an evacuation command is accepted after its caller has gone": {
		submit: func(e *Engine, command *wirepb.Command, done func(*wirepb.CallReply)) bool {
			if command.GetEvacuation() == nil {
				return false
			}
			e.SubmitEvacuation(command, done) // never withdrawn
			return true
		},
	},
	"3: a replica that shuts down stops at once": {stopImmediately: true},
	"3: a replica becomes a voter before it has caught up": {
		send: func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
			m := envelope.GetConsensus()
			if m.GetKind() != wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY || m.Reject {
				return envelope
			}
			m.LogIndex += 3 // the replica acknowledges entries that it does not have
			return envelope
		},
	},
	"4: chunks of snapshots are never delivered": {
		send: func(_ *world, _ string, envelope *wirepb.Envelope) *wirepb.Envelope {
			if isSnapshotChunk(envelope) {
				return nil
			}
			return envelope
		},
	},
	"4: a wiped disk keeps its identity": {
		identity: func(m *machine, _ string) string { return consensus.FounderIdentity(m.host) },
	},
	"4: an acknowledgement before the sync": {ackBeforeSync: true},
	"5: a reply to another incarnation counts": {
		send: func(w *world, to string, envelope *wirepb.Envelope) *wirepb.Envelope {
			reply := envelope.GetReply()
			m := w.machine(to)
			if reply == nil || m == nil || m.process == nil {
				return envelope
			}
			other := proto.Clone(reply).(*wirepb.CallReply)
			other.Incarnation = m.process.engine.options.Incarnation
			return &wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: other}}
		},
		afterStep: restartForwardingCores,
	},
	"5: replies go to the next request": {
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

// restartForwardingCores restarts cores at random while they have forwarded requests, so that replies to an
// earlier incarnation arrive.
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

// TestPlantedFaultsAreFound checks that each planted fault leads to a violation in some schedule. A panic
// counts as one: a violated assumption may end the program before a check detects the fault.
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
			t.Errorf("no violation in %d schedules: the checks do not detect this fault", plantedFaultSchedules)
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
