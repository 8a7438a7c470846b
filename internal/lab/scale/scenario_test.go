package scale

import (
	"path/filepath"
	"strings"
	"testing"
)

// Each key that is wrong is named, and none is passed over. Guards against a run of hours by a figure that
// was mistyped.
func TestDecode(t *testing.T) {
	const least = "name = \"x\"\nsizes = [20]\n"
	for _, c := range []struct{ text, want string }{
		{least, ""},
		{"sizes = [20]\n", "name:"},
		{"name = \"x\"\n", "sizes: there is none"},
		{"name = \"x\"\nsizes = []\n", "sizes: there is none"},
		{"name = \"x\"\nsizes = [0]\n", "sizes.0: 0"},
		{"name = \"x\"\nsizes = [20, 20]\n", "sizes.1: 20"},
		{"name = \"x\"\nsizes = [20, 20001]\n", "sizes.1: 20001"},
		{"name = \"x\"\nsizes = \n", "line 2"},
		{least + "size = 3\n", "line 3: size: unknown key"},
		{least + "[hollow]\nper_hosts = 3\n", "line 4: hollow.per_hosts: unknown key"},
		{least + "[hallow]\n", "hallow: unknown key"},
		{least + "distribution = \"pigeons\"\n", "distribution: \"pigeons\" is none of"},
		{least + "parts = [\"rules\", \"tides\"]\n", "parts.1: \"tides\""},
		{least + "[machine]\nmemory_mb = 0\n", "machine.memory_mb: 0"},
		{least + "[machine]\nprocesses = 1\n", "machine.processes: 1"},
		{least + "[machine]\nsize_s = nan\n", "machine.size_s: NaN"},
		{least + "[council]\ndaemons = 0\n", "council.daemons: 0"},
		{least + "[council]\ngatekeepers = -1\n", "council.gatekeepers: -1"},
		{least + "[council]\nmost_voters = 32\n", "council.most_voters: 32"},
		{least + "[council]\ndaemons = 5\nmost_voters = 5\n", "council.most_voters: 5 leaves no hollow host"},
		{least + "[council]\nlease_ms = 1\n", "council.lease_ms: 1"},
		{least + "[council]\nbound_ms = 1\n", "council.bound_ms: 1"},
		{least + "[council]\nfallback_ms = -1\n", "council.fallback_ms: -1"},
		{least + "[council]\nfallback_part = 2\n", "council.fallback_part: 2"},
		{least + "[council]\nplans = 61\n", "council.plans: 61"},
		{least + "[council]\nwindow_s = 0\n", "council.window_s: 0"},
		{least + "[hollow]\nper_host = 0\n", "hollow.per_host: 0"},
		{least + "[hollow]\nper_process = 0\n", "hollow.per_process: 0"},
		{least + "[hollow]\nmost_asking = 0\n", "hollow.most_asking: 0"},
		{least + "[hollow]\nmost_mb_s = 0\n", "hollow.most_mb_s: 0"},
		{least + "[hollow]\nbegin_per_s = -1\n", "hollow.begin_per_s: -1"},
		{least + "[hollow]\nsample = 0\n", "hollow.sample: 0"},
		{least + "[relays]\nregions = 0\n", "relays.regions: 0"},
		{least + "[relays]\nzones = 0\n", "relays.zones: 0"},
		{least + "[relays]\neach = 0\n", "relays.each: 0"},
		{least + "[relays]\nhosts = -1\n", "relays.hosts: -1"},
		{least + "[changes]\ncount = -1\n", "changes.count: -1"},
		{least + "[changes]\nevery_ms = 0\n", "changes.every_ms: 0"},
		{least + "[changes]\naway_ms = -1\n", "changes.away_ms: -1"},
		{least + "[changes]\nzone = 0\n", "changes.zone: 0"},
		{least + "[lists]\nworkers = 0\n", "lists.workers: 0"},
		{least + "[lists]\nwatches = 0\n", "lists.watches: 0"},
		{least + "[lists]\nchanges = -1\n", "lists.changes: -1"},
		{least + "[lists]\nevery_ms = 0\n", "lists.every_ms: 0"},
		{least + "[desk]\ntxns_per_s = 0\n", "desk.txns_per_s: 0"},
		{least + "[desk]\nseconds = 0\n", "desk.seconds: 0"},
		{least + "[desk]\nevery_ms = 0\n", "desk.every_ms: 0"},
		{least + "[desk]\nrules_ms = 0\n", "desk.rules_ms: 0"},
		{least + "[desk]\nstand = 0\n", "desk.stand: 0"},
		{least + "[words]\nspread = 1\n", "words.spread: 1"},
		{least + "[words]\ncustomers = 0\n", "words.customers: 0"},
		{least + "[words]\ntakes_per_s = 0\n", "words.takes_per_s: 0"},
		{least + "[words]\nperiods = 0\n", "words.periods: 0"},
		{least + "[words]\nrequests_per_s = 0\n", "words.requests_per_s: 0"},
		{least + "[[bounds]]\nrole = \"fleet\"\nfigure = \"in_force_worst\"\nmost = 1\n", ""},
		{least + "[[bounds]]\nrole = \"king\"\nfigure = \"in_force_worst\"\n", "bounds.0.role: \"king\""},
		{least + "[[bounds]]\nrole = \"fleet\"\nfigure = \"joy\"\n", "bounds.0.figure: there is no \"joy\""},
		{least + "[[bounds]]\nrole = \"fleet\"\nfigure = \"start\"\nfrom = 5\nto = 4\n", "bounds.0.to: 5 to 4"},
	} {
		_, err := Decode(c.text)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, not %q", c.text, err, c.want)
		}
	}
}

// The scenarios of the repository hold.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("../../../scenarios/scale*.toml")
	if len(files) < 2 {
		t.Fatalf("%v", files)
	}
	for _, f := range files {
		if _, err := Read(f); err != nil {
			t.Error(err)
		}
	}
	if _, err := Read("../../../scenarios/none.toml"); err == nil {
		t.Error("a file that is not there is read")
	}
}

// A bound is broken by what passes it, at the sizes that it is held to, and by what is no number.
func TestBroken(t *testing.T) {
	x := &Table{}
	for size, v := range map[int]float64{100: 5, 300: 15, 500: 25} {
		x.size = size
		x.add(fleetRole, "in_force_worst", v)
	}
	for _, c := range []struct {
		b    Bound
		want int
	}{
		{Bound{fleetRole, "in_force_worst", 25, 0, 0}, 0}, {Bound{fleetRole, "in_force_worst", 10, 0, 0}, 2},
		{Bound{fleetRole, "in_force_worst", 10, 500, 0}, 1}, {Bound{fleetRole, "in_force_worst", 10, 0, 300}, 1},
		{Bound{keeperRole, "in_force_worst", 10, 0, 0}, 0}, {Bound{fleetRole, "start", 0, 0, 0}, 0},
	} {
		if got := x.Broken([]Bound{c.b}); len(got) != c.want {
			t.Errorf("%+v: %q", c.b, got)
		}
	}
}

// A table comes back as it was written, with what another run adds in place of the same figures.
func TestTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.csv")
	write := func(size int, v float64) *Table {
		x := &Table{run: "r:1", commit: "c", distribution: Direct, size: size}
		x.add(fleetRole, "start", v)
		if err := x.Add(path); err != nil {
			t.Fatal(err)
		}
		if err := x.Write(path); err != nil {
			t.Fatal(err)
		}
		return x
	}
	write(300, 2)
	write(100, 1)
	x := write(300, 3)
	if len(x.Rows) != 2 || x.Rows[0].Size != 100 || x.Rows[0].Value != 1 || x.Rows[1].Value != 3 {
		t.Errorf("%+v", x.Rows)
	}
	if err := x.Chart(filepath.Join(t.TempDir(), "t.png")); err != nil {
		t.Error(err)
	}
}
