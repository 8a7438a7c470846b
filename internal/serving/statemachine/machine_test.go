package statemachine

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

func encodedReplace(t *testing.T, base, generation uint64, mark string) []byte {
	t.Helper()
	body := []byte(fmt.Sprintf(`{"generation":%d,"routes":[],"services":[],"mark":%q}`, generation, mark))
	compressed, err := Compress(body)
	if err != nil {
		t.Fatal(err)
	}
	change := &wirepb.ReplaceConfiguration{
		Base: base, Generation: generation, Digest: Digest(base, body), Body: compressed,
	}
	return encoded(t, &wirepb.Command{Change: &wirepb.Command_Replace{Replace: change}})
}

func encoded(t *testing.T, command *wirepb.Command) []byte {
	t.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func apply(t *testing.T, m *Machine, data []byte) wirepb.Outcome {
	t.Helper()
	result, err := m.Apply(data)
	if err != nil {
		t.Fatal(err)
	}
	return result.Outcome
}

// restoreCopy returns a new machine restored from a snapshot of m.
func restoreCopy(t *testing.T, m *Machine) *Machine {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	return restored
}

func TestReplace(t *testing.T) {
	const (
		accepted = wirepb.Outcome_OUTCOME_ACCEPTED
		conflict = wirepb.Outcome_OUTCOME_CONFLICT
		stale    = wirepb.Outcome_OUTCOME_STALE
	)
	m := New()
	steps := []struct {
		name             string
		base, generation uint64
		mark             string
		want             wirepb.Outcome
	}{
		{"first configuration", 0, 3, "a", accepted},
		{"retry of the first", 0, 3, "a", accepted},
		{"another change of the same base", 0, 4, "b", conflict},
		{"next configuration", 3, 7, "c", accepted},
		{"retry of the first after newer ones", 0, 3, "a", accepted},
		{"generation in force with another body", 3, 7, "d", conflict},
		{"generation in force based on itself", 7, 7, "d", stale},
		{"older generation based on the current one", 7, 5, "d", stale},
		{"older body based on the current generation", 7, 3, "a", stale},
		{"based on a generation that never existed", 6, 9, "e", conflict},
	}
	for _, step := range steps {
		if got := apply(t, m, encodedReplace(t, step.base, step.generation, step.mark)); got != step.want {
			t.Errorf("%s: outcome %v, want %v", step.name, got, step.want)
		}
	}
	if m.Generation() != 7 {
		t.Errorf("generation %d is in force, want 7", m.Generation())
	}
}

func TestSnapshotRestoresState(t *testing.T) {
	m := New()
	apply(t, m, encodedReplace(t, 0, 3, "a"))
	apply(t, m, encodedReplace(t, 3, 8, "b"))
	for zone, active := range map[string]bool{"x": true, "y": false} {
		data, err := proto.Marshal(&wirepb.Command{Change: &wirepb.Command_Evacuation{
			Evacuation: &wirepb.SetEvacuation{Zone: zone, Active: active},
		}})
		if err != nil {
			t.Fatal(err)
		}
		apply(t, m, data)
	}
	restored := restoreCopy(t, m)
	if restored.Generation() != 8 || restored.Document().Generation != 8 {
		t.Errorf("generation %d", restored.Generation())
	}
	if zones := restored.Evacuated(); len(zones) != 1 || zones[0] != "x" {
		t.Errorf("evacuated %v", zones)
	}
	if got := apply(t, restored, encodedReplace(t, 0, 3, "a")); got != wirepb.Outcome_OUTCOME_ACCEPTED {
		t.Errorf("retry of a command that was accepted before the snapshot: %v", got)
	}
	body, err := Decompress(restored.Body())
	if err != nil || string(body) != `{"generation":8,"routes":[],"services":[],"mark":"b"}` {
		t.Errorf("body %s, error %v", body, err)
	}
}

// TestRetryOfEvictedChangeIsNotRejected checks that a retry of a change whose digest was evicted gets an
// unknown outcome: the change may have been accepted, so that it must not be reported as a conflict.
func TestRetryOfEvictedChangeIsNotRejected(t *testing.T) {
	m := New()
	for generation := range uint64(maxAcceptedChanges + 3) {
		got := apply(t, m, encodedReplace(t, generation, generation+1, "a"))
		if got != wirepb.Outcome_OUTCOME_ACCEPTED {
			t.Fatal(generation, got)
		}
	}
	restored := restoreCopy(t, m)
	for name, machine := range map[string]*Machine{"original": m, "restored": restored} {
		if got := apply(t, machine, encodedReplace(t, 0, 1, "a")); got != wirepb.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("%s: retry of an evicted change: %v", name, got)
		}
		if got := apply(t, machine, encodedReplace(t, 3, 4, "a")); got != wirepb.Outcome_OUTCOME_ACCEPTED {
			t.Errorf("%s: retry of the oldest change in the history: %v", name, got)
		}
		if got := apply(t, machine, encodedReplace(t, 9, 20, "b")); got != wirepb.Outcome_OUTCOME_CONFLICT {
			t.Errorf("%s: another change based on an old generation: %v", name, got)
		}
	}
}

// TestEvacuationCommandsAreIdempotent checks that the retry of a command has no effect if it is committed
// after the command that reverted the first one.
func TestEvacuationCommandsAreIdempotent(t *testing.T) {
	m := New()
	encoded := func(id string, active bool) []byte {
		command := EvacuationCommand("x", active)
		command.Id = id
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for _, data := range [][]byte{encoded("start", true), encoded("stop", false), encoded("start", true)} {
		if got := apply(t, m, data); got != wirepb.Outcome_OUTCOME_ACCEPTED {
			t.Fatal(got)
		}
	}
	if zones := m.Evacuated(); len(zones) != 0 {
		t.Errorf("evacuated %v after a retry of a reverted command", zones)
	}
	apply(t, m, encoded("start again", true))
	if zones := m.Evacuated(); len(zones) != 1 {
		t.Errorf("evacuated %v after a new command", zones)
	}
}

// TestDepartures checks that an older departure of an incarnation does not replace a newer one, and that none
// replaces a final one.
func TestDepartures(t *testing.T) {
	m := New()
	report := func(version uint64, final bool) {
		command := &wirepb.Command{Change: &wirepb.Command_Departure{
			Departure: &wirepb.Departure{InstanceId: "i", Version: version, Final: final},
		}}
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		apply(t, m, data)
	}
	report(7, false)
	report(5, false)
	if got := m.Departure("i"); got.Version != 7 || got.Final {
		t.Errorf("%v after an older departure", got)
	}
	report(9, true)
	report(12, false)
	if got := m.Departure("i"); !got.Final {
		t.Errorf("%v after a final departure", got)
	}
	if got := restoreCopy(t, m).Departure("i"); !got.GetFinal() {
		t.Errorf("%v after restoring a snapshot", got)
	}
}
