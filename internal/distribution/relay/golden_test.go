package relay

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/strictoml"
	"willowdeck/internal/testkit/goldenform"
	"willowdeck/internal/versioned"
)

// The golden files were written once, at commit d6a566a, by a test that was not kept: it wrote what
// Form.Encode made of Form.Value, the stored checkpoint by keepCopy, now writeCheckpoint, and relay.toml as
// TOML with its keys in lower case. They stand for what an earlier program stored and sent, and are never
// written again; a test that fails here is met by a tag or a type of the old form.

const goldenCluster = "golden cluster"

var goldenForms = []goldenform.Form{
	{File: "status.json", New: func() any { return &Status{} }, Encode: json.Marshal, Decode: json.Unmarshal},
	{File: "status.txt", New: func() any { return &Status{} },
		Encode: func(v any) ([]byte, error) { return []byte(v.(*Status).Lines()), nil }},
	{File: "relay.toml", New: func() any { return &Config{} },
		Decode: func(raw []byte, into any) error { return strictoml.Decode(string(raw), into) }},
}

func TestGoldenForms(t *testing.T) {
	for _, form := range goldenForms {
		t.Run(form.File, form.Check)
	}
}

// goldenVersion has a value that is not zero in each field of its rules.
func goldenVersion(number uint64) *ruleset.Version {
	v := &ruleset.Version{}
	goldenform.Fill(v)
	v.Number, v.Rules.Format, v.Rules.Needs = number, ruleset.SupportedFormat,
		[]string{ruleset.FeatureManyMembers}
	return v
}

func goldenStates(t *testing.T) (rules, pending *versioned.State) {
	t.Helper()
	rules, err := ruleset.VersionToState(goldenVersion(7))
	if err != nil {
		t.Fatal(err)
	}
	if pending, err = ruleset.VersionToState(goldenVersion(8)); err != nil {
		t.Fatal(err)
	}
	return rules, pending
}

func TestGoldenStoredCheckpoint(t *testing.T) {
	golden := filepath.Join("testdata", "golden", "copy")
	rules, pending, err := readCheckpoint(golden, goldenCluster)
	if err != nil {
		t.Fatal(err)
	}
	for number, state := range map[uint64]*versioned.State{7: rules, 8: pending} {
		want := goldenVersion(number)
		if zeros := goldenform.Zeros(want); len(zeros) > 0 {
			t.Errorf("the known version has zero fields: %v", zeros)
		}
		if got, err := ruleset.VersionFromState(state); err != nil || !reflect.DeepEqual(&got, want) {
			t.Errorf("%v: version %d is read as\n%+v\nwant\n%+v", err, number, got, *want)
		}
		var keys []string
		for key := range state.All() {
			keys = append(keys, key)
		}
		if want := []string{"member/000000", "member/000001", "plan/0000", "plan/0001", "rules", "word/0000",
			"word/0001"}; !reflect.DeepEqual(keys, want) {
			t.Errorf("version %d has the keys %q, want %q", number, keys, want)
		}
	}
	rules, pending = goldenStates(t)
	path := filepath.Join(t.TempDir(), "copy")
	if err := writeCheckpoint(path, goldenCluster, rules, pending); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if want := goldenform.Read(t, "copy"); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v: the copy is written as\n%q\nwant\n%q", err, got, want)
	}
}

// Names that other processes and operators go by.
func TestGoldenNames(t *testing.T) {
	for got, want := range map[string]string{RequestPath: "/relay/ask", contentType: "application/cbor",
		string(checkpointMagic): "willowdeck relay copy 1\n", reasonTooLong: "too_long",
		reasonUnacceptable: "unfit",
		reasonNoResponse:   "unanswered"} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
