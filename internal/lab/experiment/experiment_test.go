package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"willowdeck/internal/lab/emulator"
)

func sweepOfWorkerCount(t *testing.T) *Experiment {
	t.Helper()
	scenario, err := emulator.Read("../../../scenarios/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	scenario.Seconds = 4
	experiment, err := FromScenario(scenario, []string{"willowdeck", "static"}, 3)
	if err != nil {
		t.Fatal(err)
	}
	experiment.SweepKey, experiment.SweepValues = "workers.count", []float64{2, 8}
	return experiment
}

// A sweep gives the same bytes whatever the number of cores, and its table can be read, drawn and compared.
func TestSweepIsIndependentOfCores(t *testing.T) {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	for name, cores := range map[string]int{"one.csv": 1, "six.csv": 6} {
		rows, err := sweepOfWorkerCount(t).Run(context.Background(), cores, nil)
		if err != nil || len(rows) != 12 {
			t.Fatalf("%d rows, %v", len(rows), err)
		}
		if err := WriteTable(file(name), rows); err != nil {
			t.Fatal(err)
		}
	}
	a, _ := os.ReadFile(file("one.csv"))
	b, _ := os.ReadFile(file("six.csv"))
	if !bytes.Equal(a, b) || len(a) == 0 {
		t.Error("the number of cores changes the result")
	}
	one, err := ReadTable(file("one.csv"))
	if err != nil {
		t.Fatal(err)
	}
	for _, form := range []string{"png", "svg"} {
		if err := DrawSweep(one, "p99_ms", file("c."+form)); err != nil {
			t.Errorf("%s: %v", form, err)
		}
		if st, err := os.Stat(file("c." + form)); err != nil || st.Size() < 2000 {
			t.Errorf("%s: %v, %v", form, st, err)
		}
	}
	same, err := Compare(one, one, []string{"score"})
	if err != nil || len(same) != 4 || same[0].Significant {
		t.Errorf("a table compared with itself: %+v, %v", same, err)
	}
	text := strings.ReplaceAll(string(a), ",workers.count,2,", ",workers.count,9,")
	text = strings.ReplaceAll(text, ",workers.count,8,", ",workers.count,2,")
	text = strings.ReplaceAll(text, ",workers.count,9,", ",workers.count,8,")
	os.WriteFile(file("swapped.csv"), []byte(text), 0o600)
	swapped, err := ReadTable(file("swapped.csv"))
	if err != nil {
		t.Fatal(err)
	}
	if all, err := Compare(one, swapped, []string{"score"}); err != nil || !all[0].Significant ||
		all[0].Threshold <= 0 {
		t.Errorf("two workers in place of eight: %+v, %v", all, err)
	}
	if all, _ := os.ReadDir(dir); len(all) != 5 {
		t.Errorf("%d files are left", len(all))
	}
}

// An interrupted sweep has no rows, and a file that could not be finished does not exist.
func TestInterruptedRunLeavesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	rows, err := sweepOfWorkerCount(t).Run(ctx, 2, func(Row) {
		if n++; n == 3 {
			cancel()
		}
	})
	if err == nil || rows != nil {
		t.Errorf("%d rows, %v", len(rows), err)
	}
	dir := t.TempDir()
	table := &Table{Rows: []TableRow{{Policy: "p", Figures: map[string]float64{"score": 1}}}}
	if err := DrawSweep(table, "score", filepath.Join(dir, "c.xyz")); err == nil {
		t.Error("an unknown chart format is accepted")
	}
	if all, _ := os.ReadDir(dir); len(all) > 0 {
		t.Errorf("%v is left", all)
	}
}

func TestMalformedFilesAreRejected(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	raw, err := os.ReadFile("../../../scenarios/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	write("small.toml", string(raw))
	const good = "name = \"x\"\nscenario = \"small.toml\"\nseeds = 2\n"
	cases := []struct{ name, text, message string }{
		{"good", good, ""},
		{"no TOML", "name = ", "line 1"},
		{"unknown key", good + "colour = 1\n", "colour: unknown key"},
		{"no scenario", strings.Replace(good, "small", "none", 1), "none.toml"},
		{"no seeds", strings.Replace(good, "2", "0", 1), "seeds"},
		{"unknown policy", good + "policies = [\"best\"]\n", "policies[0]"},
		{"unknown figure", good + "key = \"workers.colour\"\nvalues = [1]\n", "values[0]"},
		{"impossible figure", good + "key = \"workers.count\"\nvalues = [3, -1]\n", "values[1]: workers.count"},
		{"no values", good + "key = \"workers.count\"\n", "values"},
		{"unknown column", good + "chart = \"beauty\"\n", "chart"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read(write("x.toml", c.text))
			if c.message == "" && err != nil || c.message != "" && (err == nil || !strings.Contains(err.Error(),
				c.message)) {
				t.Errorf("got %v, want %q", err, c.message)
			}
		})
	}
	head := strings.Join(columns, ",") + "\n"
	tables := []struct{ name, text, message string }{
		{"empty", "", "no run"}, {"no run", head, "no run"}, {"wrong columns", strings.Replace(head, "policy",
			"p", 1),
			"line 1: column 3"}, {"truncated", head + "a,b,c\n", "line 2"},
		{"fewer than any table had", "experiment\n", "line 1: there are 1 columns"},
		{"not a number", head + strings.Repeat("x,", len(columns)-1) + "x\n", "line 2: value"},
	}
	// Guards against tables that were written before a column came being of no use any more.
	older, err := ReadTable("../../../docs/lab/vast-size.csv")
	if err != nil || len(older.Rows) == 0 || older.Rows[0].Figures["score"] <= 0 {
		t.Errorf("an older table: %v", err)
	}
	for _, c := range tables {
		t.Run(c.name, func(t *testing.T) {
			path := write("t.csv", c.text)
			if _, err := ReadTable(path); err == nil || !strings.Contains(err.Error(), c.message) ||
				!strings.Contains(err.Error(), path) {
				t.Errorf("got %v, want %q", err, c.message)
			}
		})
	}
}
