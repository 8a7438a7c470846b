package control

import (
	"bytes"
	"encoding/json"
	"maps"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// testdata/workers was written by Engine.saveWorkers of 2 December 2026, and testdata/status.json by
// json.MarshalIndent of Status, as the core's /status does it. They are never rewritten: the one lies on
// disks in use, operators' tools read the other.
const (
	goldenWorkers = "testdata/workers"
	goldenStatus  = "testdata/status.json"
	goldenLife    = "core-a-1/0123456789ab"
)

func goldenFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// savingEnvironment keeps what is saved, and carries nothing else out.
type savingEnvironment struct {
	discardingEnvironment
	saved []byte
}

func (v *savingEnvironment) SaveWorkers(data []byte, _ func()) { v.saved = data }

// goldenEngine returns an engine with saved workers, an empty log and a stopped clock.
func goldenEngine(t *testing.T, saved []byte) (*Engine, *savingEnvironment) {
	t.Helper()
	environment := &savingEnvironment{}
	e, err := New(Options{
		Identity: "10.0.0.1#founder", Incarnation: goldenLife, Clock: func() time.Duration { return 0 },
		AddressOf: func(host string) string { return host }, Consensus: consensus.Options{Voters: 2},
		Random: rand.New(rand.NewSource(1)), Logger: zap.NewNop(), SavedWorkers: saved,
	}, consensus.BootstrapState([]string{"10.0.0.1#founder", "10.0.0.2#founder"}), environment)
	if err != nil {
		t.Fatal(err)
	}
	return e, environment
}

// goldenRecords are the first three of the records in the golden file, which between them have no field that
// is zero.
func goldenRecords() []*wirepb.Record {
	worker := func(worker *wirepb.Worker) *wirepb.Record_Worker { return &wirepb.Record_Worker{Worker: worker} }
	return []*wirepb.Record{
		{Key: "worker/w-1", Origin: goldenLife, Sequence: 1, Version: 11, Value: worker(&wirepb.Worker{
			InstanceId: "w-1", Service: "s1", Address: "10.0.1.1:8000", Zone: "a", Capacity: 64,
			WarmupRemainingMs: 4500, Software: "v2",
		})},
		{Key: "worker/w-2", Origin: goldenLife, Sequence: 2, Version: 12, Value: worker(&wirepb.Worker{
			InstanceId: "w-2", Service: "s2", Address: "10.0.1.2:8000", Zone: "b", Capacity: 32, Draining: true,
			WarmupRemainingMs: 1500, Software: "v3",
		})},
		{
			Key:      "worker/w-3",
			Origin:   goldenLife,
			Sequence: 3,
			Version:  13,
			Deleted:  true,
			Value: worker(&wirepb.Worker{
				InstanceId: "w-3", Service: "s2", Address: "10.0.1.3:8000", Zone: "b", Capacity: 16,
				WarmupRemainingMs: 2500, Software: "v3",
			}),
		},
	}
}

// TestGoldenWorkers compares the records of the file, as an engine takes them over, with what was written.
func TestGoldenWorkers(t *testing.T) {
	e, _ := goldenEngine(t, goldenFile(t, goldenWorkers))
	held := map[string]*wirepb.Record{}
	for _, entry := range e.StateView().Snapshot().Entries {
		held[entry.Record.Key] = entry.Record
	}
	keys := []string{"w-1", "w-2", "w-3", "w-draining", "w-gone", "w-unconfirmed"}
	for _, key := range keys {
		if held["worker/"+key] == nil {
			t.Errorf("%s is not held", key)
		}
	}
	if len(held) != len(keys) {
		t.Errorf("held %v", held)
	}
	for _, want := range goldenRecords() {
		if !proto.Equal(held[want.Key], want) {
			t.Errorf("%v instead of %v", held[want.Key], want)
		}
	}
}

// TestGoldenWorkersWritten saves the same workers to the same bytes.
func TestGoldenWorkersWritten(t *testing.T) {
	data := goldenFile(t, goldenWorkers)
	e, environment := goldenEngine(t, data)
	e.saveWorkers()
	if !bytes.Equal(environment.saved, data) {
		t.Errorf("saved %x instead of %x", environment.saved, data)
	}
}

// goldenStatusValue has no field that is zero.
func goldenStatusValue() Status {
	return Status{
		Replica: "10.0.0.1#a", Leader: "10.0.0.2#b", Term: 3, InSync: true,
		Members: []string{"10.0.0.2#b", "10.0.0.3#c"}, WaitReason: "catching up",
		Learners: []LearnerStatus{{Replica: "10.0.0.4#d", WaitSeconds: 1.5, Index: 40, CaughtUp: true}},
		Index:    41, Generation: 7, Evacuated: []string{"z"},
		Edges: []EdgeStatus{{
			Name: "edge-1", Address: "10.0.2.1:80", Zone: "a", Ready: true, Linked: true, Generation: 6,
		}},
		Workers: []WorkerStatus{{
			Instance: "w-1", Service: "s1", Address: "10.0.1.1:8000", Zone: "b", State: "draining",
		}},
	}
}

// TestGoldenStatus pins the keys of /status and their order.
func TestGoldenStatus(t *testing.T) {
	text, err := json.MarshalIndent(goldenStatusValue(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenFile(t, goldenStatus); !bytes.Equal(append(text, '\n'), want) {
		t.Errorf("status %s instead of %s", text, want)
	}
}

// TestGoldenWorkerStates pins the states of workers in /status.
func TestGoldenWorkerStates(t *testing.T) {
	e, _ := goldenEngine(t, goldenFile(t, goldenWorkers))
	status := e.Status()
	states := map[string]string{}
	for _, worker := range status.Workers {
		states[worker.Instance] = worker.State
	}
	want := map[string]string{
		"w-1": "cold", "w-2": "draining", "w-draining": "ready", "w-gone": "ready", "w-unconfirmed": "ready",
	}
	if !maps.Equal(states, want) {
		t.Errorf("states %v", states)
	}
	if !slices.Equal(status.Members, []string{"10.0.0.1#founder", "10.0.0.2#founder"}) {
		t.Errorf("members %v", status.Members)
	}
}
