package capacity

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"willowdeck/internal/lab/regression"
)

const (
	page = "../../../docs/CAPACITY-gateway.md"
	fits = "../../../docs/capacity/fits.md"
	data = "../../../docs/capacity"
	spec = "../../../scenarios/capacity.toml"
)

// The tables of both pages, the gateway's and the system's, are those that the measurements on hand give.
func TestPageIsUpToDate(t *testing.T) {
	pages := []struct{ page, fits, data, spec string }{
		{page, fits, data, spec},
		{"../../../docs/CAPACITY.md", "../../../docs/capacity/system/fits.md", "../../../docs/capacity/system",
			"../../../scenarios/system-capacity.toml"},
	}
	for _, p := range pages {
		b, err := Work(p.spec, p.data)
		if err != nil {
			t.Fatal(err)
		}
		if err := b.Renew(p.page, p.fits, true); err != nil {
			t.Error(err)
		}
		if err := Chart(b.Needs, filepath.Join(t.TempDir(), "need.png")); err != nil {
			t.Error(err)
		}
	}
}

// copied gives a folder with what the page is made of.
func copied(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	files, _ := filepath.Glob(filepath.Join(data, "*.*"))
	for _, from := range append(files, page, spec) {
		raw, err := os.ReadFile(from)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(from)), raw, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// swap replaces what is in a file, once.
func swap(t *testing.T, path, old, new string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(raw), old) {
		t.Fatalf("%s: %v, or no %q", path, err, old)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), old, new, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A page that was changed by hand, a figure or a limit that has changed since: each is found, and mended by
// making the tables anew.
func TestStale(t *testing.T) {
	cases := []struct{ name, file, old, new string }{
		{"the page", "CAPACITY-gateway.md", "| 22 KB/s |", "| 23 KB/s |"},
		{"the page of fits", "fits.md", "linear", "squared"},
		{"a limit", "capacity.toml", "most = 22\n", "most = 23\n"},
		{"a coming size", "capacity.toml", "regions = 4", "regions = 5"},
		{"a figure", "elements.csv", ",7900,gatekeeper,answer with rules over members,B,",
			",7900,gatekeeper,answer with rules over members,B,9"},
		{"a refusal", "refusals.csv", "7900,500,", "7900,600,"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := copied(t)
			in := func(name string) string { return filepath.Join(dir, name) }
			swap(t, in(c.file), c.old, c.new)
			b, err := Work(in("capacity.toml"), dir)
			if err != nil {
				t.Fatal(err)
			}
			if err := b.Renew(in("CAPACITY-gateway.md"), in("fits.md"), true); !errors.Is(err, ErrStale) {
				t.Errorf("got %v, want %v", err, ErrStale)
			}
			if err := b.Renew(in("CAPACITY-gateway.md"), in("fits.md"), false); err != nil {
				t.Error(err)
			}
			if err := b.Renew(in("CAPACITY-gateway.md"), in("fits.md"), true); err != nil {
				t.Errorf("made anew: %v", err)
			}
		})
	}
}

func TestMarkers(t *testing.T) {
	const open, end = "<!-- a: made by willowdeck-lab capacity -->\n", "<!-- /a -->\n"
	cases := []struct{ name, page, says string }{
		{"right", "x\n" + open + "old\n" + end + "y\n", ""},
		{"no place", "x\n", "is not there once"},
		{"two places", open + end + open + end, "is not there once"},
		{"no end", open, "is not behind"},
		{"end ahead", end + open, "is not behind"},
		{"a place too many", open + end + strings.ReplaceAll(open+end, "a:", "b:"), "2 places for 1 parts"},
	}
	for _, c := range cases {
		got, err := Fill(c.page, map[string]string{"a": "new\n"})
		if c.says == "" && (err != nil || got != "x\n"+open+"new\n"+end+"y\n") ||
			c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
	}
}

const line = `
[[lines]]
name = "x"
role = "gatekeeper"
resource = "bytes"
what = "w"
carried = "c"
over = "gatekeepers"
figure = "f"
unit = "KB/s"
limit = "bytes"
`

// small is a spec with one line.
func small(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(spec)
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(raw), "\n[[lines]]")
	return head + line
}

// Each key is checked, and what is said names it.
func TestSpec(t *testing.T) {
	cases := []struct{ name, old, new, says string }{
		{"right", "", "", ""},
		{"a key that is none", "carried =", "carries =", "carries: unknown key"},
		{"within", "within = 0.25", "within = 0", "within: 0"},
		{"a size that is none", "tenants =", "tenant =", "coming.tenants: 0"},
		{"a size too many", "\none = 1\n", "\none = 1\ntwo = 2\n", "coming.two: unknown key"},
		{"a limit of nought", "most = 22\n", "most = 0\n", "limits[0].most: 0"},
		{"a limit twice", `name = "processor"`, `name = "bytes"`, `limits[1].name: "bytes"`},
		{"a limit of nobody", `by = "operators"`, `by = "us"`, `limits[0].by: "us"`},
		{"an assumed limit without why", "why = \"a machine of 8 cores\"\n", "", "why: it has to be there"},
		{"no name", `name = "x"`, `name = ""`, "lines[0].name"},
		{"a role that is none", `role = "gatekeeper"`, `role = "gate"`, `lines[0].role: "gate"`},
		{"a resource that is none", `resource = "bytes"`, `resource = "joy"`, `lines[0].resource: "joy"`},
		{"no mechanism", `carried = "c"`, `carried = ""`, "lines[0].carried"},
		{"over nothing", `over = "gatekeepers"`, `over = "peers"`, `lines[0].over: "peers"`},
		{"another unit", `unit = "KB/s"
limit`, `unit = "MB/s"
limit`, `lines[0].unit: "MB/s" is not the limit's`},
		{"no such limit", `limit = "bytes"`, `limit = "byte"`, `lines[0].limit: there is no limit "byte"`},
		{"times alone", `figure = "f"`, "figure = \"f\"\ntimes = 5", "lines[0].times_is"},
		{"assumed beside a figure", `figure = "f"`, "figure = \"f\"\nmark = \"assumed\"", "lines[0].figure"},
		{"no figure and no mark", `figure = "f"`, "each = 5", "lines[0].mark"},
		{"no figure and no why", `figure = "f"`, "each = 5\nmark = \"assumed\"", "lines[0].why"},
		{"no figure and nothing", `figure = "f"`, "why = \"y\"\nmark = \"assumed\"", "lines[0].each"},
		{"an event without what it touches", `figure = "f"`, "figure = \"f\"\nevent = \"a zone goes\"",
			"lines[0].touches"},
		{"an event that is none", `figure = "f"`, "figure = \"f\"\nevent = \"rain\"\ntouches = \"t\"",
			`lines[0].event: "rain"`},
		{"a sum of nothing", `figure = "f"`, "sum = [\"y\"]", `lines[0].sum: ["y"] are not all lines`},
		{"a sum and a figure", `figure = "f"`, "figure = \"f\"\nsum = [\"y\"]", "lines[0].sum: figure"},
		{"of nothing", `figure = "f"`, "figure = \"f\"\nof = \"y\"", `lines[0].of: there is no line "y"`},
		{"instead of nothing", `figure = "f"`, "figure = \"f\"\ninstead = \"y\"",
			`lines[0].instead: there is no line "y"`},
	}
	for _, c := range cases {
		text := small(t)
		if !strings.Contains(text, c.old) {
			t.Fatalf("%s: no %q", c.name, c.old)
		}
		_, err := DecodeSpec(strings.Replace(text, c.old, c.new, 1))
		if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.says)
		}
	}
}

// rows of a figure over sizes, in a run.
func rowsOf(run, way string, sizes []float64, f func(n float64) float64) (all []Row) {
	for _, n := range sizes {
		all = append(all, Row{run, "c0", way, n, "gatekeeper", "f", "B/s", f(n)})
	}
	return all
}

// A need by its measurements: at the size, between sizes, beyond them by the line or by the power; of the
// last run unless one is named; and what is wrong with it.
func TestNeed(t *testing.T) {
	linear := func(n float64) float64 { return 1000 + 100*n }
	squared := func(n float64) float64 { return n * n }
	whole, part := []float64{20, 300, 1000, 7900}, []float64{20, 100, 300, 1000, 3000}
	cases := []struct {
		name  string
		rows  []Row
		more  string // of the line
		want  float64
		known string
		says  string
	}{
		{"at the size", rowsOf("a", "direct", whole, linear), "", 791, measured, ""},
		{"nearly at it", rowsOf("a", "direct", []float64{20, 300, 1000, 7888}, linear), "", 789.8, measured, ""},
		{"between sizes", rowsOf("a", "direct", []float64{20, 300, 7000, 9000}, linear), "", 791, measured, ""},
		{"beyond them", rowsOf("a", "direct", part, linear), "", 791, bySlope, ""},
		{"beyond them, squared", rowsOf("a", "direct", part, squared), "", 62410, bySlope, ""},
		{"beyond them, no line", rowsOf("a", "direct", part, func(n float64) float64 {
			return n * math.Exp(-n/900)
		}), "", 0, byNone, ""},
		{"times", rowsOf("a", "direct", whole, linear), "times = 5\ntimes_is = \"t\"", 3955, measured, ""},
		{"the last run", append(rowsOf("a", "direct", whole, squared), rowsOf("b", "direct", whole, linear)...), "",
			791, measured, ""},
		{"a run that is named", append(rowsOf("a", "direct", whole, linear), rowsOf("b", "direct", whole,
			squared)...),
			`run = "a"`, 791, measured, ""},
		{"a trial beyond the check", append(rowsOf("a", "direct", part[:2], linear), rowsOf("a", "direct-trial",
			whole[1:], linear)...), "", 791, measured, ""},
		{"a run of a name that two have", append(rowsOf("a", "direct", whole, squared), func() []Row {
			r := rowsOf("a", "direct", whole, linear)
			for i := range r {
				r[i].Commit = "c9"
			}
			return r
		}()...), `run = "a@c9"`, 791, measured, ""},
		{"no run yet", rowsOf("a", "direct", whole, linear), `way = "relays"`, 0, noRun, ""},
		{"not measured", nil, "", 0, "", "no measurement"},
		{"a run that is not there", rowsOf("a", "direct", whole, linear), `run = "z"`, 0, "",
			`run "z": no measurement`},
		{"few sizes, with the coming one", rowsOf("a", "direct", whole[2:], linear), "", 791, measured, ""},
		{"three sizes", rowsOf("a", "direct", whole[:3], linear), "", 0, "", regression.ErrTooFewSizes.Error()},
		{"a unit that is none", func() []Row {
			r := rowsOf("a", "direct", whole, linear)
			for i := range r {
				r[i].Unit = "miles"
			}
			return r
		}(), "", 0, "", `nothing turns "miles" to "KB/s"`},
	}
	for _, c := range cases {
		s, err := DecodeSpec(small(t) + c.more)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got, err := Needs(s, c.rows)
		if c.says != "" {
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Errorf("%s: got %v, want %q", c.name, err, c.says)
			}
			continue
		}
		if err != nil || got[0].Known != c.known ||
			c.known != byNone && math.Abs(got[0].Value-c.want) > 0.01*c.want {
			t.Errorf("%s: %+v, %v; want %v, %s", c.name, got, err, c.want, c.known)
		}
		if want := got[0].Value / 22; got[0].Ratio != want {
			t.Errorf("%s: ratio %v, want %v", c.name, got[0].Ratio, want)
		}
	}
}

// The worst ratio is first, and what is refused is in the order of how far it is off.
func TestRanking(t *testing.T) {
	second := strings.Replace(line, `name = "x"`, `name = "y"`, 1) + "times = 5\ntimes_is = \"t\"\n"
	third := strings.Replace(line, `name = "x"`, `name = "z"`, 1) + "if = \"i\"\n"
	third += strings.Replace(line, `name = "x"`, `name = "part"`, 1) + "of = \"y\"\n"
	s, err := DecodeSpec(small(t) + second + third)
	if err != nil {
		t.Fatal(err)
	}
	needs, err := Needs(s, rowsOf("a", "direct", []float64{20, 300, 1000, 7900},
		func(n float64) float64 { return n }))
	if err != nil {
		t.Fatal(err)
	}
	got := Ranking(needs)
	if len(got) != 2 || got[0].Name != "y" || got[1].Name != "x" {
		t.Errorf("%+v", got)
	}
	bad := Refused([]Refusal{{What: "a", Coming: 10, Most: 5}, {What: "b", Coming: 10, Most: 10},
		{What: "c", Coming: 10, Most: 1}})
	if len(bad) != 2 || bad[0].What != "c" || bad[1].What != "a" {
		t.Errorf("%+v", bad)
	}
}

// What is not a table is refused by file and line.
func TestTables(t *testing.T) {
	const head, one = "run,commit,distribution,size,role,figure,unit,value\n",
		"a,c0,direct,20,gatekeeper,f,B,5\n"
	const no = "run,commit,distribution,role,what,coming,most,says\n"
	const bench = "run: a\ncommit: c0\ndistribution: direct\nrole: gatekeeper\n"
	cases := []struct{ name, file, text, says string }{
		{"a table", "x.csv", head + one, ""},
		{"refusals", "refusals.csv", no + "a,c0,direct,gatekeeper,w,10,5,it says no\n", ""},
		{"benchmarks", "x.txt", bench + "BenchmarkRead/workers=200-8 \t 10\t 35 ns/op\t 7 B/op\nPASS\n", ""},
		{"other columns", "x.csv", strings.Replace(head, "size", "count", 1) + one, "x.csv: line 1"},
		{"empty", "x.csv", "", "x.csv: line 1"},
		{"a column less", "x.csv", head + "a,c0,direct,20\n", "x.csv: record on line 2"},
		{"no number", "x.csv", head + strings.Replace(one, ",5", ",five", 1), `x.csv: line 2: value: "five"`},
		{"a count", "x.csv", head + strings.Replace(one, ",B,", ",,", 1), ""},
		{"no figure", "x.csv", head + one + strings.Replace(one, ",f,", ",,", 1), "x.csv: line 3: figure"},
		{"a refusal of no number", "refusals.csv", no + "a,c0,direct,gatekeeper,w,ten,5,no\n", "line 2: coming"},
		{"a benchmark without size", "x.txt", bench + "BenchmarkRead-8 10 35 ns/op\n", "has no size"},
		{"a benchmark without run", "x.txt", "BenchmarkRead/200-8 10 35 ns/op\n", "run, commit"},
	}
	for _, c := range cases {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, c.file), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := ReadAll(dir)
		if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.says)
		}
	}
}

// What is written is read as it was; benchmarks give their size, and figures by name and unit.
func TestReadAll(t *testing.T) {
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

func TestFigure(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 2537.4: "2,540", 12345678: "12,300,000",
		0.0012345: "0.00123",
		61.27:     "61.3", 1: "1", 999.9: "1,000", -1234: "-1,230", 20: "20"} {
		if got := figure(v); got != want {
			t.Errorf("%v: %q, want %q", v, got, want)
		}
	}
}

// What comes after stands beside what was there before: a line that takes another's place, the same figure of
// runs with relays, or that there is no run of it.
func TestAfter(t *testing.T) {
	sizes := []float64{20, 300, 1000, 7900}
	n := func(n float64) float64 { return 10 * n }
	instead := strings.NewReplacer(`"x"`, `"y"`, `figure = "f"`, `figure = "g"`).Replace(line) +
		"way = \"relays\"\ninstead = \"x\"\n"
	before := rowsOf("a", "direct", sizes, n)
	other := rowsOf("b", "relays", sizes, func(float64) float64 { return 1100 })
	for i := range other {
		other[i].Figure = "g"
	}
	cases := []struct {
		name, lines string
		rows        []Row
		refusals    []Refusal
		want        []string
	}{
		{"no run", "", before, nil, []string{"| 3.59 | no run |"}},
		{"the same figure", "", append(rowsOf("b", "relays", sizes, func(n float64) float64 { return n }),
			before...), nil,
			[]string{"| 3.59 | 0.359 (7.9 KB/s, measured) |"}},
		{"too few sizes", "", append(rowsOf("b", "relays", sizes[:3], n), before...), nil,
			[]string{"| 3.59 | too few sizes |"}},
		{"too few sizes, with the coming one", "", append(rowsOf("b", "relays", sizes[2:], func(n float64) float64 {
			return n
		}), before...), nil, []string{"| 3.59 | 0.359 (7.9 KB/s, measured) |"}},
		{"the same figure of another run", "run = \"a\"\nafter_run = \"b\"\n", append(rowsOf("b", "direct", sizes,
			func(n float64) float64 { return n }), before...), nil, []string{"| 3.59 | 0.359 (7.9 KB/s, measured) |"}},
		{"of another run alone", "after_run = \"b\"\n", append(rowsOf("b", "direct", sizes,
			func(n float64) float64 {
				return n
			}), before...), nil, []string{"| - | 22 KB/s | - | 0.359 (7.9 KB/s, measured) |"}},
		{"gone with relays", "former = true\n", append(rowsOf("b", "relays", sizes, n), before...), nil,
			[]string{"| 3.59 | gone |"}},
		{"a line instead, no run", instead, before, nil, []string{"| 3.59 | no run |"}},
		{"a line instead", instead, append(other, before...), nil,
			[]string{"| 3.59 | 0.05 (1.1 KB/s, measured) |"}},
		{"refused, no run", "", before, []Refusal{{"a", "c", "direct", "r", "w", 79, 5, "s"}},
			[]string{"| 1 | r | w | 79, refused | 5 (program) | 15.8 | no run |", "| 2 | gatekeeper |"}},
		{"refused, then taken", "", before, []Refusal{{"a", "c", "direct", "r", "w", 79, 5, "s"},
			{"b", "c", "relays", "r", "w", 79, 79, "taken"}}, []string{"| 15.8 | taken |"}},
		{"refused still", "", before, []Refusal{{"a", "c", "direct", "r", "w", 79, 5, "s"},
			{"b", "c", "relays", "r", "w", 79, 50, "s"}}, []string{"| 15.8 | 50, refused beyond |"}},
		{"refused, and needed no more", "", before, []Refusal{{"a", "c", "direct", "r", "u", 79, 5, "s"},
			{"b", "c", "relays", "r", "u", 79, 5, "s"}}, []string{"| 15.8 | gone |"}},
		{"refused, and not needed", "", before, []Refusal{{"a", "c", "direct", "r", "v", 79, 5, "s"}},
			[]string{"| 1 | gatekeeper |"}},
	}
	notes := "\n[[refusals]]\nwhat = \"w\"\nneeded = true\n\n[[refusals]]\nwhat = \"v\"\nmeans = \"m\"\n" +
		"\n[[refusals]]\nwhat = \"u\"\nneeded = true\nafter = \"gone\"\n"
	for _, c := range cases {
		s, err := DecodeSpec(small(t) + c.lines + notes)
		if err != nil {
			t.Fatal(err)
		}
		needs, err := Needs(s, c.rows)
		if err != nil {
			t.Fatal(err)
		}
		got := s.ranking(needs, c.refusals)
		for _, want := range c.want {
			if !strings.Contains(got, want) {
				t.Errorf("%s: no %q in\n%s", c.name, want, got)
			}
		}
	}
	s, err := DecodeSpec(small(t) + notes)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.refused([]Refusal{{What: "z", Distribution: "direct", Coming: 2, Most: 1}},
		nil); err == nil ||
		!strings.Contains(err.Error(), `"z"`) {
		t.Errorf("a refusal of which nothing is said: %v", err)
	}
}

// A sum adds up lines, and what comes after of those that change; units are one.
func TestSum(t *testing.T) {
	sizes := []float64{20, 300, 1000, 7900}
	more := strings.NewReplacer(`"x"`, `"y"`, "figure = \"f\"",
		"each = 0.01\nmark = \"assumed\"\nwhy = \"w\"").Replace(line)
	sum := strings.NewReplacer(`"x"`, `"all"`, `figure = "f"`, `sum = ["x", "y"]`).Replace(line)
	s, err := DecodeSpec(small(t) + more + sum)
	if err != nil {
		t.Fatal(err)
	}
	before := rowsOf("a", "direct", sizes, func(n float64) float64 { return 10 * n })
	needs, err := Needs(s, before)
	if err != nil || math.Abs(needs[2].Value-158) > 1 || needs[2].After != nil ||
		needs[2].Ratio != needs[2].Value/22 {
		t.Fatalf("%+v, %v", needs[2], err)
	}
	needs, err = Needs(s, append(before, rowsOf("b", "relays", sizes, func(n float64) float64 { return n })...))
	if err != nil || needs[2].After == nil || math.Abs(needs[2].After.Value-86.9) > 1 ||
		math.Abs(needs[2].Value-158) > 1 {
		t.Fatalf("%+v, %v", needs[2], err)
	}
	if s, err = DecodeSpec(small(t) + strings.NewReplacer(`"KB/s"`, `"MB/s"`, "limit = \"bytes\"\n",
		"").Replace(sum+
		more)); err == nil {
		t.Errorf("a sum ahead of its lines: %+v", s)
	}
}
