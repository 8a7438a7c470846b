package tally

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// plantedSeeds is the number of schedules within which a planted fault has to be found.
const plantedSeeds = 12

// sometimes chooses about one event of eight for a planted fault.
func sometimes(p *process) bool { return p.machine.world.random.Intn(8) == 0 }

// changeRecords returns a change of some of the pushed and pulled records.
func changeRecords(change func(p *process, add *wirepb.TallyAdd)) messageChange {
	return func(p *process, message *wirepb.TallyMessage) *wirepb.TallyMessage {
		if len(message.Records) == 0 || !sometimes(p) {
			return message
		}
		changed := proto.Clone(message).(*wirepb.TallyMessage)
		for _, records := range changed.Records {
			for _, add := range records.Adds {
				change(p, add)
			}
		}
		return changed
	}
}

func renameID(p *process, add *wirepb.TallyAdd) {
	add.Id = fmt.Sprintf("%s at %s", add.Id, p.machine.address)
}

func zeroAmount(_ *process, add *wirepb.TallyAdd) { add.Amount = 0 }

// TestPlantedFaults checks that the checks find faults of the replicas, by the rule that callers would see.
func TestPlantedFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		planted plantedFault
		found   []string // one of them is in the violations
	}{
		{"an id counts once for each core", plantedFault{send: changeRecords(renameID)}, []string{"TWICE"}},
		{"a record is lost on its way", plantedFault{send: changeRecords(zeroAmount)}, []string{"STALE"}},
		{"a start forgets the disk", plantedFault{forgetLog: true}, []string{"LOST", "lacks add"}},
		{"a read goes back", plantedFault{read: func(p *process, total uint64) uint64 {
			if sometimes(p) {
				return total / 2
			}
			return total
		}}, []string{"BACKWARDS", "STALE"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var last []string
			for seed := range int64(plantedSeeds) {
				w := newWorld(seed, test.planted)
				last = w.runSchedule(w.drawSchedule())
				for _, found := range test.found {
					if strings.Contains(strings.Join(last, "\n"), found) {
						t.Logf("found with seed %d", seed)
						return
					}
				}
			}
			t.Errorf("not found; violations of the last seed: %v", last)
		})
	}
}
