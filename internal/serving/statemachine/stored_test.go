package statemachine

import (
	"os"
	"strings"
	"testing"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/wirepb"
)

// testdata/snapshot-accepted-earlier.bin was written by the build of 6 December 2026 (a58c20cb), with
// ../configuration/testdata/accepted-earlier.json in force. Neither must ever be rewritten: cores have such
// snapshots on their disks.
const (
	earlierSnapshot      = "testdata/snapshot-accepted-earlier.bin"
	earlierConfiguration = "../configuration/testdata/accepted-earlier.json"
)

// TestStoredConfigurationStaysInForce restores a configuration that this build refuses and an earlier one has
// accepted. It is read back as it was sent, and applied from the log alike; the next valid one replaces it.
func TestStoredConfigurationStaysInForce(t *testing.T) {
	text, err := os.ReadFile(earlierConfiguration)
	if err != nil {
		t.Fatal(err)
	}
	body := strings.TrimSuffix(string(text), "\n")
	if _, err := configuration.ParseAndValidate([]byte(body)); err == nil {
		t.Error("this build accepts the configuration: the test shows nothing")
	}
	data, err := os.ReadFile(earlierSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	applied := New()
	apply(t, applied, encodedReplace(t, 0, 3, "x"))
	command, err := ReplaceCommand(3, 7, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	apply(t, applied, encoded(t, command))
	for name, m := range map[string]*Machine{"restored": restored, "applied": applied} {
		stored, err := Decompress(m.Body())
		if err != nil || string(stored) != body || m.Generation() != 7 || len(m.Document().Routes()) != 3 {
			t.Errorf("%s: generation %d, body %s, error %v", name, m.Generation(), stored, err)
		}
		if m.Document().Generation != 7 {
			t.Errorf("%s: the document has generation %d", name, m.Document().Generation)
		}
		if got := apply(t, m, encodedReplace(t, 7, 8, "y")); got != wirepb.Outcome_OUTCOME_ACCEPTED {
			t.Errorf("%s: the next configuration has outcome %v", name, got)
		}
	}
}

// TestStoredGenerationIsThatOfTheCommand applies a configuration whose generation an earlier build has read
// from a key in another case. All replicas and what they feed go by the generation that was accepted.
func TestStoredGenerationIsThatOfTheCommand(t *testing.T) {
	m := New()
	apply(t, m, encodedReplace(t, 0, 3, "x"))
	body := `{"generation":2,"Generation":9,"routes":[],"services":[]}`
	command, err := ReplaceCommand(3, 9, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	apply(t, m, encoded(t, command))
	for name, machine := range map[string]*Machine{"applied": m, "restored": restoreCopy(t, m)} {
		if machine.Generation() != 9 || machine.Document().Generation != 9 {
			t.Errorf("%s: generation %d, that of the document %d", name, machine.Generation(),
				machine.Document().Generation)
		}
	}
}
