package capacity

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A malformed table is rejected, with file and line.
func TestReadAllRejectsMalformedTables(t *testing.T) {
	const head, one = "run,commit,distribution,size,role,figure,unit,value\n",
		"a,c0,direct,20,gatekeeper,f,B,5\n"
	const no = "run,commit,distribution,role,what,coming,most,says\n"
	const bench = "run: a\ncommit: c0\ndistribution: direct\nrole: gatekeeper\n"
	cases := []struct{ name, file, text, message string }{
		{"measurements", "x.csv", head + one, ""},
		{"refusals", "refusals.csv", no + "a,c0,direct,gatekeeper,w,10,5,it says no\n", ""},
		{"benchmarks", "x.txt", bench + "BenchmarkRead/workers=200-8 \t 10\t 35 ns/op\t 7 B/op\nPASS\n", ""},
		{"wrong columns", "x.csv", strings.Replace(head, "size", "count", 1) + one, "x.csv: line 1"},
		{"empty", "x.csv", "", "x.csv: line 1"},
		{"missing column", "x.csv", head + "a,c0,direct,20\n", "x.csv: record on line 2"},
		{"not a number", "x.csv", head + strings.Replace(one, ",5", ",five", 1), `x.csv: line 2: value: "five"`},
		{"count without a unit", "x.csv", head + strings.Replace(one, ",B,", ",,", 1), ""},
		{"no figure", "x.csv", head + one + strings.Replace(one, ",f,", ",,", 1), "x.csv: line 3: figure"},
		{"refusal without a number", "refusals.csv", no + "a,c0,direct,gatekeeper,w,ten,5,no\n", "line 2: coming"},
		{"benchmark without a size", "x.txt", bench + "BenchmarkRead-8 10 35 ns/op\n", "has no size"},
		{"benchmark without a run", "x.txt", "BenchmarkRead/200-8 10 35 ns/op\n", "run, commit"},
	}
	for _, c := range cases {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, c.file), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := ReadAll(dir)
		if c.message == "" && err != nil || c.message != "" && (err == nil || !strings.Contains(err.Error(),
			c.message)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.message)
		}
	}
}

// Written tables are read back equal; benchmarks give their size, and figures named by benchmark and unit.
func TestReadAllReadsWhatWasWritten(t *testing.T) {
	dir := t.TempDir()
	row := Row{"a", "c0", "direct", 7900, "gatekeeper", "f, with a comma", "B", 0.25}
	no := Refusal{"a", "c0", "direct", "gatekeeper", "w", 10, 5, `it says "no", twice`}
	if err := errors.Join(Write(filepath.Join(dir, "x.csv"), []Row{row}),
		WriteRefusals(filepath.Join(dir, "refusals.csv"), []Refusal{no}),
		os.WriteFile(filepath.Join(dir, "y.txt"),
			[]byte("run: b\ncommit: c1\ndistribution: direct\nrole: gatekeeper\n"+
				"BenchmarkFirst/workers=200-8 \t 10\t 35 ns/op\t 7 B/op\nBenchmarkChange/110000-4 3 9 ns/op\n"),
			0o600)); err != nil {
		t.Fatal(err)
	}
	rows, refusals, err := ReadAll(dir)
	if err != nil {
		t.Fatal(err)
	}
	want := []Row{row, {"b", "c1", "direct", 200, "gatekeeper", "First ns/op", "ns/op", 35},
		{"b", "c1", "direct", 200, "gatekeeper", "First B/op", "B/op", 7},
		{"b", "c1", "direct", 110000, "gatekeeper", "Change ns/op", "ns/op", 9}}
	if len(rows) != len(want) || len(refusals) != 1 || refusals[0] != no {
		t.Fatalf("%+v, %+v", rows, refusals)
	}
	for i := range want {
		if rows[i] != want[i] {
			t.Errorf("%+v, want %+v", rows[i], want[i])
		}
	}
}
