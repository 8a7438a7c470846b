package scale

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"willowdeck/internal/lab/experiment"
)

// The roles that figures are of.
const (
	councilRole = "council daemon"
	regionRole  = "region relay"
	zoneRole    = "zone relay"
	hostRole    = "host daemon"
	keeperRole  = "gatekeeper"
	listRole    = "discovery"
	fleetRole   = "fleet" // all of them together
	machineRole = "machine"
)

var roles = []string{councilRole, regionRole, zoneRole, hostRole, keeperRole, listRole, fleetRole,
	machineRole}

// units are the figures that there are, with their units.
var units = map[string]string{
	"bytes_in_per_s": "B/s", "bytes_out_per_s": "B/s", "messages_per_s": "1/s", "cpu": "% of a core",
	"rss": "MB", "cpu_real": "% of a core", "rss_real": "MB", "rss_each": "KB", "descriptors": "",
	"descriptors_each": "",
	"in_force_median":  "ms", "in_force_worst": "ms", "in_force_median_gatekeeper": "ms", "start": "ms",
	"zone_back": "ms", "in_force_still": "ms", "in_force_killed": "ms", "in_force_leader": "ms",
	"control_back": "ms", "rules_real": "B/s", "in_force_restarts": "ms", "restarts": "",
	"refused": "", "asking": "", "leased": "", "late": "", "silent": "", "spoilt": "",
	"rules_bytes": "B", "answer_bytes": "B", "hosts": "", "per_host": "", "processes": "",
	"list_bytes": "B", "workers": "", "first_list": "ms", "read_list": "ms", "place_list": "ms", "change": "ms",
	"change_worst": "ms", "change_bytes": "B", "change_cpu": "ms", "zone_change": "ms", "zone_bytes": "B",
	"list_kb": "KB",
	"p50":     "ms", "p99": "ms", "p99_changes": "ms", "p99_added": "ms", "p50_changes": "ms",
	"hold_list": "ms", "hold_change": "ms", "hold_rules": "ms", "rules_taken": "",
	"answered": "", "cpu_changes": "% of a core", "rss_list": "MB", "list_up_real": "ms", "lag_p99": "ms",
	"words_period": "ms", "words_in_per_s": "1/s", "words_bytes_per_s": "B/s", "words_peers": "",
}

// Figure is one measured number.
type Figure struct {
	Run, Commit, Distribution string
	Size                      int
	Role, Name                string
	Value                     float64
}

// header is the first line of a table.
var header = []string{"run", "commit", "distribution", "size", "role", "figure", "unit", "value"}

// Table is what a run has measured.
type Table struct {
	run, commit, distribution string
	Rows                      []Figure
	Refused                   []string // what the program said to a size that it takes no more
	Notes                     []string
	size                      int
}

// build is the revision that the program is of.
func build() string {
	info, ok := debug.ReadBuildInfo()
	rev, dirty := "unknown", ""
	if ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				rev = s.Value[:min(len(s.Value), 12)]
			case s.Key == "vcs.modified" && s.Value == "true":
				dirty = "+"
			}
		}
	}
	return rev + dirty
}

// NewTable makes an empty one for a scenario.
func NewTable(s *Scenario) *Table {
	return &Table{run: fmt.Sprintf("%s:%d", s.Name, s.Seed), commit: build(), distribution: s.Distribution}
}

// Commit names what was measured, where the build does not say.
func (t *Table) Commit(name string) {
	for i := range t.Rows {
		t.Rows[i].Commit = name
	}
}

func (t *Table) add(role, name string, v float64) {
	if _, known := units[name]; !known {
		panic("figure " + name + " has no unit")
	}
	t.Rows = append(t.Rows, Figure{t.run, t.commit, t.distribution, t.size, role, name, v})
}

// most adds a figure, or raises it where the same size has it already.
func (t *Table) most(role, name string, v float64) {
	for i := range t.Rows {
		if f := &t.Rows[i]; f.Size == t.size && f.Role == role && f.Name == name {
			f.Value = max(f.Value, v)
			return
		}
	}
	t.add(role, name, v)
}

func (t *Table) refuse(why string) {
	t.Refused = append(t.Refused, fmt.Sprintf("size %d: refused: %s", t.size, why))
}

// Value gives a figure, and whether it was measured.
func (t *Table) Value(size int, role, name string) (float64, bool) {
	for _, f := range t.Rows {
		if f.Size == size && f.Role == role && f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}

// Broken names the bounds that figures pass.
func (t *Table) Broken(bounds []Bound) (all []string) {
	for _, b := range bounds {
		for _, f := range t.Rows {
			if f.Role == b.Role && f.Name == b.Figure && f.Size >= b.From && (b.To == 0 || f.Size <= b.To) &&
				!(f.Value <= b.Most) {
				all = append(all, fmt.Sprintf("size %d: %s of the %s is %.4g %s, over %.4g", f.Size, f.Name, f.Role,
					f.Value, units[f.Name], b.Most))
			}
		}
	}
	return all
}

// Write writes the table as CSV, whole or not at all.
func (t *Table) Write(path string) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	_ = w.Write(header)
	for _, r := range t.Rows {
		_ = w.Write([]string{r.Run, r.Commit, r.Distribution, strconv.Itoa(r.Size), r.Role, r.Name, units[r.Name],
			strconv.FormatFloat(r.Value, 'g', 6, 64)})
	}
	w.Flush()
	if err = w.Error(); err == nil {
		err = f.Chmod(0o644)
	}
	if bad := f.Close(); err == nil {
		err = bad
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// Add puts the figures of a table that was written before ahead of this one's, but for those that this one
// has anew. No file is no table.
func (t *Table) Add(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	all, err := csv.NewReader(f).ReadAll()
	if err != nil || len(all) == 0 || !slices.Equal(all[0], header) {
		return fmt.Errorf("%s: it is no table of a scale run: %w", path, err)
	}
	var former []Figure
	for i, r := range all[1:] {
		size, err := strconv.Atoi(r[3])
		v, bad := strconv.ParseFloat(r[7], 64)
		if err := errors.Join(err, bad); err != nil {
			return fmt.Errorf("%s: line %d: %w", path, i+2, err)
		}
		x := Figure{r[0], r[1], r[2], size, r[4], r[5], v}
		if !slices.ContainsFunc(t.Rows, func(o Figure) bool {
			return o.Distribution == x.Distribution && o.Size == x.Size && o.Role == x.Role && o.Name == x.Name
		}) {
			former = append(former, x)
		}
	}
	t.Rows = append(former, t.Rows...)
	slices.SortStableFunc(t.Rows, func(x, y Figure) int { return x.Size - y.Size })
	return nil
}

// sizes gives the sizes that there are figures of.
func (t *Table) sizes() (all []int) {
	for _, f := range t.Rows {
		if !slices.Contains(all, f.Size) {
			all = append(all, f.Size)
		}
	}
	slices.Sort(all)
	return all
}

// Print prints a line for each figure and a column for each size, and then what was refused and noted.
func (t *Table) Print(to io.Writer) {
	sizes := t.sizes()
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "role\tfigure\tunit")
	for _, n := range sizes {
		fmt.Fprintf(w, "\t%d", n)
	}
	fmt.Fprintln(w)
	var done []string
	for _, role := range roles {
		for _, f := range t.Rows {
			if f.Role != role || slices.Contains(done, role+f.Name) {
				continue
			}
			done = append(done, role+f.Name)
			cells := []string{role, f.Name, units[f.Name]}
			for _, n := range sizes {
				cell := "-"
				if v, there := t.Value(n, role, f.Name); there {
					cell = fmt.Sprintf("%.4g", v)
				}
				cells = append(cells, cell)
			}
			fmt.Fprintln(w, strings.Join(cells, "\t"))
		}
	}
	_ = w.Flush()
	for _, line := range slices.Concat(t.Refused, t.Notes) {
		fmt.Fprintln(to, line)
	}
}

// Chart draws some figures over the size.
func (t *Table) Chart(path string) error {
	var lines []experiment.Curve
	for _, c := range []struct{ role, name string }{{keeperRole, "bytes_in_per_s"},
		{councilRole, "bytes_out_per_s"}, {hostRole, "bytes_out_per_s"}, {fleetRole, "in_force_worst"},
		{fleetRole, "start"}, {fleetRole, "zone_back"}, {keeperRole, "first_list"}, {keeperRole, "words_period"}} {
		l := experiment.Curve{Name: fmt.Sprintf("%s %s, %s", c.role, c.name, units[c.name])}
		for _, n := range t.sizes() {
			if v, there := t.Value(n, c.role, c.name); there && v > 0 {
				l.X, l.Y = append(l.X, float64(n)), append(l.Y, v)
			}
		}
		if len(l.X) > 1 {
			lines = append(lines, l)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("chart: it needs two sizes at least")
	}
	return experiment.DrawLines(t.run+" "+t.distribution, "gatekeepers", "", true, lines, path)
}
