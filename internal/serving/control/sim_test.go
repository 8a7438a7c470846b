package control

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The long form: go test ./internal/serving/control -run TestSchedules -args -schedules 100000 -first 0
var (
	scheduleCount = flag.Int("schedules", 320, "number of schedules to run, over all shapes")
	firstSeed     = flag.Int64("first", 0, "seed of the first schedule")
)

const keptSchedules = "testdata/schedules.json"

// keptSchedule is a minimized schedule that failed once.
type keptSchedule struct {
	Name     string       `json:"name"`
	Seed     int64        `json:"seed"`
	Schedule []faultEvent `json:"schedule"`
}

// TestKeptSchedules runs the schedules that failed once, with the seed of the failure and with others.
func TestKeptSchedules(t *testing.T) {
	text, err := os.ReadFile(keptSchedules)
	if err != nil {
		t.Fatal(err)
	}
	var kept []keptSchedule
	if err := json.Unmarshal(text, &kept); err != nil {
		t.Fatal(err)
	}
	for _, k := range kept {
		t.Run(k.Name, func(t *testing.T) {
			t.Parallel()
			for luck := range int64(4) {
				seed := k.Seed + luck*int64(len(shapes)) // of the same shape
				s, _ := drawRun(seed)
				if problems := runSchedule(seed, s, k.Schedule, plantedFault{}); len(problems) > 0 {
					t.Errorf("seed %d: %s", seed, strings.Join(problems, "\n"))
				}
			}
		})
	}
}

// Flags of TestTrace.
var (
	traceSeed   = flag.Int64("trace", -1, "seed of the schedule of which each half second is printed")
	traceFaults = flag.String("troubles", "", "its faults, as JSON; empty: those drawn")
)

const shardCount = 8

var shapes = []shape{
	{cores: 3, tolerated: 1, edges: 2},
	{cores: 5, tolerated: 2, edges: 2},
	{cores: 3, tolerated: 1, edges: 2, slow: true, large: true},
	{cores: 5, tolerated: 2, edges: 2, large: true},
}

// drawRun returns the shape and the faults of a seed.
func drawRun(seed int64) (shape, []faultEvent) {
	return shapes[seed%int64(len(shapes))], drawSchedule(rand.New(rand.NewSource(seed)))
}

func TestSchedules(t *testing.T) {
	for shard := range int64(shardCount) {
		t.Run(strconv.FormatInt(shard, 10), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed + shard; seed < *firstSeed+int64(*scheduleCount); seed += shardCount {
				s, schedule := drawRun(seed)
				if problems := runSchedule(seed, s, schedule, plantedFault{}); len(problems) > 0 {
					t.Errorf("seed %d: %s\n%s", seed, strings.Join(problems, "\n"), minimize(seed, s, schedule))
					return
				}
			}
		})
	}
}

// TestTrace runs the schedule of -trace and logs the state of all machines twice a second.
func TestTrace(t *testing.T) {
	if *traceSeed < 0 {
		t.Skip("no -trace")
	}
	s, schedule := drawRun(*traceSeed)
	if *traceFaults != "" {
		if err := json.Unmarshal([]byte(*traceFaults), &schedule); err != nil {
			t.Fatal(err)
		}
	}
	next := time.Duration(0)
	problems := runSchedule(*traceSeed, s, schedule, plantedFault{afterStep: func(w *world) {
		if w.now < next {
			return
		}
		next = w.now + 500*time.Millisecond
		t.Log(w.describe())
	}})
	t.Log(strings.Join(problems, "\n"))
}

// describe returns the state of each machine in a line.
func (w *world) describe() string {
	text := fmt.Sprintf("%v lost %d:", w.now, w.disksLost())
	for _, m := range w.presentMachines() {
		if m.process == nil {
			text += fmt.Sprintf(" [%s down]", m.host)
			continue
		}
		e := m.process.engine
		text += fmt.Sprintf(
			" [%s in sync %v term %d leader %s voters %v index %d lost %v frozen %v shutting down %v]",
			e.options.Identity[5:14], e.node.InSync(), e.node.Term(), e.node.Leader(), e.node.Voters(),
			e.node.Applied(), m.diskLost, m.frozenUntil > w.now, m.process.shuttingDown)
	}
	return text
}

// minimize removes faults from a schedule for as long as the rest still fails, and returns it as text.
func minimize(seed int64, s shape, schedule []faultEvent) string {
	for i := 0; i < len(schedule); {
		candidate := append(append([]faultEvent(nil), schedule[:i]...), schedule[i+1:]...)
		if len(runSchedule(seed, s, candidate, plantedFault{})) > 0 {
			schedule = candidate
			i = 0
			continue
		}
		i++
	}
	text, err := json.Marshal(schedule)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("reduced: seed %d, cores %d, schedule %s", seed, s.cores, text)
}
