package statemachine

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

func replaceCommand(t *testing.T, base, generation uint64, mark string) []byte {
	t.Helper()
	body := []byte(fmt.Sprintf(`{"generation":%d,"routes":[],"services":[],"mark":%q}`, generation, mark))
	packed, err := Compress(body)
	if err != nil {
		t.Fatal(err)
	}
	change := &wirepb.ReplaceConfiguration{
		Base: base, Generation: generation, Digest: Digest(base, body), Body: packed,
	}
	data, err := proto.Marshal(&wirepb.Command{Change: &wirepb.Command_Replace{Replace: change}})
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

// restoredFrom returns another machine in the state of m, by way of a snapshot.
func restoredFrom(t *testing.T, m *Machine) *Machine {
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
		taken    = wirepb.Outcome_OUTCOME_TAKEN
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
		{"the first", 0, 3, "a", taken},
		{"the first once more", 0, 3, "a", taken},
		{"a second one on the same version", 0, 4, "b", conflict},
		{"the next", 3, 7, "c", taken},
		{"the first again, after newer ones", 0, 3, "a", taken},
		{"the same number with another body", 3, 7, "d", conflict},
		{"the same number on the newest version", 7, 7, "d", stale},
		{"an older number on the newest version", 7, 5, "d", stale},
		{"an old body on the newest version", 7, 3, "a", stale},
		{"a version that never was", 6, 9, "e", conflict},
	}
	for _, step := range steps {
		if got := apply(t, m, replaceCommand(t, step.base, step.generation, step.mark)); got != step.want {
			t.Errorf("%s: %v instead of %v", step.name, got, step.want)
		}
	}
	if m.Generation() != 7 {
		t.Errorf("generation %d in force", m.Generation())
	}
}

func TestSnapshotKeepsAll(t *testing.T) {
	m := New()
	apply(t, m, replaceCommand(t, 0, 3, "a"))
	apply(t, m, replaceCommand(t, 3, 8, "b"))
	for zone, active := range map[string]bool{"x": true, "y": false} {
		data, err := proto.Marshal(&wirepb.Command{Change: &wirepb.Command_Evacuation{
			Evacuation: &wirepb.SetEvacuation{Zone: zone, Active: active},
		}})
		if err != nil {
			t.Fatal(err)
		}
		apply(t, m, data)
	}
	restored := restoredFrom(t, m)
	if restored.Generation() != 8 || restored.Document().Generation != 8 {
		t.Errorf("generation %d", restored.Generation())
	}
	if zones := restored.Evacuated(); len(zones) != 1 || zones[0] != "x" {
		t.Errorf("evacuated %v", zones)
	}
	if got := apply(t, restored, replaceCommand(t, 0, 3, "a")); got != wirepb.Outcome_OUTCOME_TAKEN {
		t.Errorf("an order that was taken before the snapshot: %v", got)
	}
	body, err := Decompress(restored.Body())
	if err != nil || string(body) != `{"generation":8,"routes":[],"services":[],"mark":"b"}` {
		t.Errorf("body %s, error %v", body, err)
	}
}

// TestForgottenOrderIsNotRefused sends orders again that are so old that their digests are not kept: no
// refusal, since they were taken.
func TestForgottenOrderIsNotRefused(t *testing.T) {
	m := New()
	for generation := range uint64(rememberedChanges + 3) {
		got := apply(t, m, replaceCommand(t, generation, generation+1, "a"))
		if got != wirepb.Outcome_OUTCOME_TAKEN {
			t.Fatal(generation, got)
		}
	}
	restored := restoredFrom(t, m)
	for name, machine := range map[string]*Machine{"as it is": m, "restored": restored} {
		if got := apply(t, machine, replaceCommand(t, 0, 1, "a")); got != wirepb.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("%s: the oldest order: %v", name, got)
		}
		if got := apply(t, machine, replaceCommand(t, 3, 4, "a")); got != wirepb.Outcome_OUTCOME_TAKEN {
			t.Errorf("%s: the oldest order that is remembered: %v", name, got)
		}
		if got := apply(t, machine, replaceCommand(t, 9, 20, "b")); got != wirepb.Outcome_OUTCOME_CONFLICT {
			t.Errorf("%s: another order on an old version: %v", name, got)
		}
	}
}

// TestEvacuationTriesActOnce lets the second try of an order come behind the order that ended it.
func TestEvacuationTriesActOnce(t *testing.T) {
	m := New()
	order := func(id string, active bool) []byte {
		command := EvacuationCommand("x", active)
		command.Id = id
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for _, data := range [][]byte{order("start", true), order("stop", false), order("start", true)} {
		if got := apply(t, m, data); got != wirepb.Outcome_OUTCOME_TAKEN {
			t.Fatal(got)
		}
	}
	if zones := m.Evacuated(); len(zones) != 0 {
		t.Errorf("evacuated %v by a try of an order that was over", zones)
	}
	apply(t, m, order("start again", true))
	if zones := m.Evacuated(); len(zones) != 1 {
		t.Errorf("evacuated %v by a new order", zones)
	}
}

// TestDepartures looks that what a worker has said last counts, and a deregistration for ever.
func TestDepartures(t *testing.T) {
	m := New()
	tell := func(order uint64, final bool) {
		command := &wirepb.Command{Change: &wirepb.Command_Departure{
			Departure: &wirepb.Departure{InstanceId: "i", Order: order, Final: final},
		}}
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		apply(t, m, data)
	}
	tell(7, false)
	tell(5, false)
	if got := m.Departure("i"); got.Order != 7 || got.Final {
		t.Errorf("%v after a late heartbeat", got)
	}
	tell(9, true)
	tell(12, false)
	if got := m.Departure("i"); !got.Final {
		t.Errorf("%v after a deregistration", got)
	}
	if got := restoredFrom(t, m).Departure("i"); !got.GetFinal() {
		t.Errorf("%v restored", got)
	}
}
