package wirepb_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"willowdeck/internal/serving/wirepb"
)

// The files in testdata were written once, by the code of 2 December 2026, by a program that filled each
// message with goldenScalar and wrote the lines that schemaLines returns; those of tallies were added so on
// 3 December 2026. They are never rewritten: other processes speak these bytes, and disks hold them. New
// fields and messages may be added beside them.
const (
	goldenSchema   = "testdata/schema.txt"   // MESSAGE NUMBER KIND CARDINALITY ONEOF, and enums and reserved
	goldenMessages = "testdata/messages.txt" // MESSAGE VARIANT HEX
	goldenNames    = "testdata/names.txt"    // MESSAGE.NUMBER NAME
)

// renamedFields leads from MESSAGE.NUMBER, with the message's name in the golden files, to the name that the
// field has got since, as in "HardState.2": "vote". Without an entry here a field keeps its name: so two
// fields of the same type cannot change places unseen. No message is printed as JSON or text today; one that
// is must keep its names by json_name.
var renamedFields = map[string]protoreflect.Name{
	"Call.5":          "incarnation",
	"CallReply.5":     "incarnation",
	"Consensus.10":    "heartbeat_round",
	"Consensus.12":    "snapshot_offset",
	"Consensus.13":    "shutting_down",
	"Consensus.14":    "successor_known",
	"Consensus.15":    "leadership_transfer",
	"Consensus.16":    "snapshot_chunk",
	"Consensus.17":    "received_index",
	"Consensus.18":    "rejected_index",
	"Consensus.19":    "shutting_down_ms",
	"Consensus.20":    "established",
	"Consensus.8":     "commit_index",
	"DeadNotice.2":    "connection_broken",
	"Demand.3":        "requests_per_second",
	"Demand.4":        "sequence",
	"Departure.2":     "version",
	"EdgeDatagram.5":  "worker_failure",
	"FeedRequest.6":   "edge_version",
	"FeedUpdate.1":    "quorum_contact",
	"FeedUpdate.10":   "synced",
	"HardState.3":     "commit_index",
	"LoadReport.2":    "sequence",
	"LogFrame.1":      "records",
	"Presence.3":      "heartbeat_ages",
	"Presence.4":      "incarnation",
	"PromptNotice.2":  "prefill_ms",
	"PromptNotice.3":  "interrupts_streams",
	"Record.4":        "version",
	"StateSnapshot.3": "accepted",
	"StateSnapshot.6": "evicted_generation",
	"StateSnapshot.7": "applied_evacuation_ids",
	"Worker.7":        "warmup_remaining_ms",
	"WorkerLoad.2":    "in_flight",
	"WorkerLoad.3":    "prefill_tokens",
}

// messageByGoldenName leads from the names in the golden files, which stay, to today's types.
var messageByGoldenName = map[string]proto.Message{
	"Entry":                &wirepb.Entry{},
	"Membership":           &wirepb.Membership{},
	"HardState":            &wirepb.HardState{},
	"Snapshot":             &wirepb.Snapshot{},
	"LogFrame":             &wirepb.LogFrame{},
	"LogPart":              &wirepb.LogRecord{},
	"Consensus":            &wirepb.Consensus{},
	"SnapshotPart":         &wirepb.SnapshotChunk{},
	"Command":              &wirepb.Command{},
	"ReplaceConfiguration": &wirepb.ReplaceConfiguration{},
	"SetEvacuation":        &wirepb.SetEvacuation{},
	"Departure":            &wirepb.Departure{},
	"StateSnapshot":        &wirepb.StateSnapshot{},
	"TakenChange":          &wirepb.AcceptedChange{},
	"Worker":               &wirepb.Worker{},
	"Edge":                 &wirepb.Edge{},
	"CoreNode":             &wirepb.CoreNode{},
	"Record":               &wirepb.Record{},
	"VersionVector":        &wirepb.VersionVector{},
	"CatalogBatch":         &wirepb.CatalogBatch{},
	"Heard":                &wirepb.HeartbeatAge{},
	"Presence":             &wirepb.Presence{},
	"Call":                 &wirepb.Call{},
	"CallReply":            &wirepb.CallReply{},
	"Envelope":             &wirepb.Envelope{},
	"ConfigurationUpdate":  &wirepb.ConfigurationUpdate{},
	"FeedRequest":          &wirepb.WatchRequest{},
	"Demand":               &wirepb.Demand{},
	"FeedUpdate":           &wirepb.WatchUpdate{},
	"EdgeDatagram":         &wirepb.EdgeDatagram{},
	"DeadNotice":           &wirepb.WorkerFailureNotice{},
	"PromptNotice":         &wirepb.PrefillNotice{},
	"PathProbe":            &wirepb.PathProbe{},
	"LoadReport":           &wirepb.LoadReport{},
	"WorkerLoad":           &wirepb.WorkerLoad{},
	"TallyAdd":             &wirepb.TallyAdd{},
	"TallyRecords":         &wirepb.TallyRecords{},
	"TallyLogFrame":        &wirepb.TallyLogFrame{},
	"TallyMessage":         &wirepb.TallyMessage{},
}

var enumByGoldenName = map[string]protoreflect.EnumDescriptor{
	"EntryKind":        wirepb.EntryKind(0).Descriptor(),
	"ConsensusKind":    wirepb.ConsensusKind(0).Descriptor(),
	"Outcome":          wirepb.Outcome(0).Descriptor(),
	"TallyMessageKind": wirepb.TallyMessageKind(0).Descriptor(),
}

// enumConstants pairs the constants of the code with the numbers that they had, since their names may be
// swapped where the numbers are not.
var enumConstants = map[protoreflect.Enum]protoreflect.EnumNumber{
	wirepb.EntryKind_ENTRY_NOOP:                   0,
	wirepb.EntryKind_ENTRY_COMMAND:                1,
	wirepb.EntryKind_ENTRY_MEMBERSHIP:             2,
	wirepb.ConsensusKind_CONSENSUS_APPEND:         0,
	wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY:   1,
	wirepb.ConsensusKind_CONSENSUS_PRE_VOTE:       2,
	wirepb.ConsensusKind_CONSENSUS_PRE_VOTE_REPLY: 3,
	wirepb.ConsensusKind_CONSENSUS_VOTE:           4,
	wirepb.ConsensusKind_CONSENSUS_VOTE_REPLY:     5,
	wirepb.ConsensusKind_CONSENSUS_JOIN:           7,
	wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_CHUNK: 9,
	wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_REPLY: 10,
	wirepb.ConsensusKind_CONSENSUS_TIMEOUT_NOW:    11,
	wirepb.Outcome_OUTCOME_UNKNOWN:                0,
	wirepb.Outcome_OUTCOME_ACCEPTED:               1,
	wirepb.Outcome_OUTCOME_CONFLICT:               2,
	wirepb.Outcome_OUTCOME_STALE:                  3,
	wirepb.TallyMessageKind_TALLY_STATE:           0,
	wirepb.TallyMessageKind_TALLY_PUSH:            1,
	wirepb.TallyMessageKind_TALLY_CONFIRM:         2,
	wirepb.TallyMessageKind_TALLY_PULL:            3,
	wirepb.TallyMessageKind_TALLY_BATCH:           4,
}

func goldenLines(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// goldenNameOf returns the name that the golden files have for a type.
func goldenNameOf(descriptor protoreflect.Descriptor) string {
	for name, message := range messageByGoldenName {
		if message.ProtoReflect().Descriptor() == descriptor {
			return name
		}
	}
	for name, enum := range enumByGoldenName {
		if enum == descriptor {
			return name
		}
	}
	return "none"
}

func kindOf(field protoreflect.FieldDescriptor) string {
	switch {
	case field.IsMap():
		return "map:" + kindOf(field.MapKey()) + ":" + kindOf(field.MapValue())
	case field.Message() != nil:
		return "message:" + goldenNameOf(field.Message())
	case field.Enum() != nil:
		return "enum:" + goldenNameOf(field.Enum())
	}
	return field.Kind().String()
}

// schemaLines describes today's messages and enums in the form of the golden file, without names of fields.
func schemaLines() map[string]bool {
	lines := map[string]bool{}
	for name, message := range messageByGoldenName {
		descriptor := message.ProtoReflect().Descriptor()
		for i := range descriptor.Fields().Len() {
			field := descriptor.Fields().Get(i)
			oneof := "-"
			if field.ContainingOneof() != nil {
				oneof = fmt.Sprint("oneof", field.ContainingOneof().Index())
			}
			lines[fmt.Sprintf("field %s %d %s %s %s", name, field.Number(), kindOf(field),
				field.Cardinality(), oneof)] = true
		}
		for i := range descriptor.ReservedRanges().Len() {
			reserved := descriptor.ReservedRanges().Get(i)
			lines[fmt.Sprintf("reserved %s %d %d", name, reserved[0], reserved[1])] = true
		}
	}
	for name, enum := range enumByGoldenName {
		for i := range enum.Values().Len() {
			lines[fmt.Sprintf("enum %s %d", name, enum.Values().Get(i).Number())] = true
		}
		for i := range enum.ReservedRanges().Len() {
			reserved := enum.ReservedRanges().Get(i)
			lines[fmt.Sprintf("reserved %s %d %d", name, reserved[0], reserved[1])] = true
		}
	}
	return lines
}

// TestGoldenSchema compares number, kind, cardinality and oneof of each field that has ever been spoken, and
// the numbers of enums.
func TestGoldenSchema(t *testing.T) {
	today := schemaLines()
	for _, line := range goldenLines(t, goldenSchema) {
		if !today[line] {
			t.Errorf("gone or changed: %s", line)
		}
	}
	for constant, number := range enumConstants {
		if constant.Number() != number {
			t.Errorf("%v is %d instead of %d", constant, constant.Number(), number)
		}
	}
}

// TestGoldenNames compares the name of each field with the one that it had, or was given on purpose.
func TestGoldenNames(t *testing.T) {
	for _, line := range goldenLines(t, goldenNames) {
		place, name, _ := strings.Cut(line, " ")
		want := protoreflect.Name(name)
		if renamed, ok := renamedFields[place]; ok {
			want = renamed
		}
		var number protoreflect.FieldNumber
		message, digits, _ := strings.Cut(place, ".")
		if _, err := fmt.Sscan(digits, &number); err != nil {
			t.Fatal(err)
		}
		field := messageByGoldenName[message].ProtoReflect().Descriptor().Fields().ByNumber(number)
		if field == nil || field.Name() != want {
			t.Errorf("%s is %v instead of %s", place, field, want)
		}
	}
}

// goldenScalar is a value that is not zero and differs between fields and between elements of a list.
func goldenScalar(kind protoreflect.Kind, number protoreflect.FieldNumber, element int) any {
	value := 1000*int(number) + element
	switch kind {
	case protoreflect.BoolKind:
		return true
	case protoreflect.Uint32Kind:
		return uint32(value)
	case protoreflect.Uint64Kind:
		return uint64(value) << 32
	case protoreflect.Int64Kind:
		return int64(-value) << 32
	case protoreflect.DoubleKind:
		return float64(value) + 0.25
	case protoreflect.StringKind:
		return fmt.Sprint("text ", value)
	case protoreflect.BytesKind:
		return []byte{0xff, byte(number), byte(element), 0}
	case protoreflect.EnumKind:
		return protoreflect.EnumNumber(1) // each enum has it
	}
	panic("goldenScalar: no value for " + kind.String())
}

// fieldsOf returns the fields that a golden message holds: of a oneof, the one that the variant has.
func fieldsOf(t *testing.T, message protoreflect.Message, variant int) []protoreflect.FieldDescriptor {
	t.Helper()
	name := goldenNameOf(message.Descriptor())
	var fields, choices []protoreflect.FieldDescriptor
	for _, line := range goldenLines(t, goldenSchema) {
		var of, kind, cardinality, oneof string
		var number protoreflect.FieldNumber
		_, err := fmt.Sscanf(line, "field %s %d %s %s %s", &of, &number, &kind, &cardinality, &oneof)
		if err != nil || of != name {
			continue
		}
		field := message.Descriptor().Fields().ByNumber(number)
		if field == nil {
			t.Fatalf("%s has no field %d", name, number)
		}
		if oneof == "-" {
			fields = append(fields, field)
		} else {
			choices = append(choices, field)
		}
	}
	if len(choices) > 0 {
		fields = append(fields, choices[variant%len(choices)])
	}
	return fields
}

// checkMessage compares each field of a golden message, and of those in it, with what was written.
func checkMessage(t *testing.T, path string, message protoreflect.Message, variant int) {
	t.Helper()
	if unknown := message.GetUnknown(); len(unknown) > 0 {
		t.Errorf("%s: bytes %x are no field", path, unknown)
	}
	set := 0
	message.Range(func(protoreflect.FieldDescriptor, protoreflect.Value) bool { set++; return true })
	fields := fieldsOf(t, message, variant)
	if set != len(fields) {
		t.Errorf("%s: %d fields instead of %d", path, set, len(fields))
	}
	for _, field := range fields {
		place := fmt.Sprintf("%s.%d", path, field.Number())
		value := message.Get(field)
		switch {
		case field.IsMap():
			for element := range 2 {
				key := protoreflect.ValueOf(goldenScalar(field.MapKey().Kind(), 1, element)).MapKey()
				checkValue(t, place, field.MapValue(), 2, element, value.Map().Get(key), variant)
			}
		case field.IsList():
			if value.List().Len() != 2 {
				t.Errorf("%s: %d elements instead of 2", place, value.List().Len())
				continue
			}
			for element := range 2 {
				checkValue(t, place, field, field.Number(), element, value.List().Get(element), variant)
			}
		default:
			checkValue(t, place, field, field.Number(), 0, value, variant)
		}
	}
}

func checkValue(
	t *testing.T, place string, field protoreflect.FieldDescriptor, number protoreflect.FieldNumber, element int,
	got protoreflect.Value, variant int,
) {
	t.Helper()
	if field.Message() != nil {
		checkMessage(t, place, got.Message(), variant)
		return
	}
	want := protoreflect.ValueOf(goldenScalar(field.Kind(), number, element))
	if !got.IsValid() || !got.Equal(want) {
		t.Errorf("%s: %v instead of %v", place, got, want)
	}
}

// TestGoldenMessages decodes one message of each kind, with every field set, and each choice of a oneof once;
// it encodes the same again to the same bytes.
func TestGoldenMessages(t *testing.T) {
	seen := map[string]bool{}
	for _, line := range goldenLines(t, goldenMessages) {
		var name, text string
		var variant int
		if _, err := fmt.Sscanf(line, "%s %d %s", &name, &variant, &text); err != nil {
			t.Fatal(err)
		}
		seen[name] = true
		data, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		message := messageByGoldenName[name].ProtoReflect().New()
		if err := proto.Unmarshal(data, message.Interface()); err != nil {
			t.Errorf("%s %d: %v", name, variant, err)
			continue
		}
		checkMessage(t, fmt.Sprint(name, " ", variant), message, variant)
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message.Interface())
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("%s %d: encoded to %x instead of %x, error %v", name, variant, again, data, err)
		}
	}
	for name := range messageByGoldenName {
		if !seen[name] {
			t.Errorf("%s has no golden message", name)
		}
	}
}

// envelopeWithoutTallies returns the type of the envelope as programs before the tallies know it.
func envelopeWithoutTallies(t *testing.T) protoreflect.MessageType {
	t.Helper()
	file := protodesc.ToFileDescriptorProto(wirepb.File_internal_serving_wirepb_serving_proto)
	for _, message := range file.MessageType {
		if message.GetName() == "Envelope" {
			message.Field = slices.DeleteFunc(message.Field, func(field *descriptorpb.FieldDescriptorProto) bool {
				return field.GetName() == "tally"
			})
		}
	}
	former, err := protodesc.NewFile(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	return dynamicpb.NewMessageType(former.Messages().ByName("Envelope"))
}

// goldenTallyVariant is the variant of the golden envelope with a message of tallies.
const goldenTallyVariant = 6

// TestFormerProgramIgnoresTallies decodes a message of tallies as a program does that knows none: without an
// error and without a body, which such a program passes over.
func TestFormerProgramIgnoresTallies(t *testing.T) {
	for _, line := range goldenLines(t, goldenMessages) {
		var variant int
		var text string
		if _, err := fmt.Sscanf(line, "Envelope %d %s", &variant, &text); err != nil {
			continue
		}
		data, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		envelope := envelopeWithoutTallies(t).New()
		if err := proto.Unmarshal(data, envelope.Interface()); err != nil {
			t.Fatal(err)
		}
		body := envelope.WhichOneof(envelope.Descriptor().Oneofs().Get(0))
		isTally := variant == goldenTallyVariant
		if isTally != (body == nil) || isTally != (len(envelope.GetUnknown()) > 0) {
			t.Errorf("envelope %d: body %v", variant, body)
		}
	}
}
