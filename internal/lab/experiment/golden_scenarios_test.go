package experiment_test

import (
	"os"
	"path/filepath"
	"testing"

	"willowdeck/internal/lab/capacity"
	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/lab/experiment"
	"willowdeck/internal/strictoml"
)

// readAs names the reader of a scenario's file by a key that only that kind of file has.
func readAs(text string) (string, func(path string) error) {
	switch {
	case strictoml.Has(text, "scenario"):
		return "experiment", func(path string) error { _, err := experiment.Read(path); return err }
	case strictoml.Has(text, "coming"):
		return "capacity", func(path string) error { _, err := capacity.ReadSpec(path); return err }
	}
	return "scenario", func(path string) error { _, err := emulator.Read(path); return err }
}

// TestGoldenScenarios: each file of scenarios/ is read by its program, which refuses unknown keys. Files may
// be added; of each kind there have to be as many as there were, at least.
func TestGoldenScenarios(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		kind, read := readAs(string(raw))
		count[kind]++
		if err := read(path); err != nil {
			t.Errorf("%s: %v", kind, err)
		}
	}
	t.Logf("read: %v", count)
	for kind, least := range map[string]int{"scenario": 18, "experiment": 14, "capacity": 2} {
		if count[kind] < least {
			t.Errorf("%s: %d files, there were %d", kind, count[kind], least)
		}
	}
}
