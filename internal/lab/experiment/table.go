package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"willowdeck/internal/lab/emulator"
)

// columns of a table. The first ones say what was played, the others are figures.
var columns = []string{"experiment", "scenario", "policy", "key", "value", "seed", "build",
	"score", "offered", "served", "asked", "tries", "settled", "late", "declined", "voided", "failed", "lost",
	"submissions", "full", "over_units", "messages", "events", "mean_ms", "p50_ms", "p99_ms", "p999_ms",
	"rule1", "rule2", "rule3", "rule4", "rule5", "falls", "near_fall", "worst_product", "worst_plan", "starved",
	"credit_messages", "lent", "repaid_late"}

const (
	figuresFrom = 7
	first       = 32 // columns that every table has; those after them came later, and older ones lack them
)

func columnOf(name string) int {
	for i, c := range columns {
		if c == name && i >= figuresFrom {
			return i
		}
	}
	return -1
}

func (r *Row) fields() []string {
	f := func(v float64) string { return strconv.FormatFloat(v, 'g', 10, 64) }
	d := func(v int64) string { return strconv.FormatInt(v, 10) }
	out := []string{r.Experiment, r.Scenario, r.Policy, r.Key, f(r.Value), d(r.Seed), r.Build,
		f(r.Score), f(r.Offered), f(r.Served), d(r.Asked), d(r.Tries), d(r.Settled), d(r.Late), d(r.Declined),
		d(r.Voided), d(r.Failed), d(r.Lost), d(r.Submissions), d(r.Full), f(r.OverUnits), d(r.Messages),
		d(r.Events), f(r.Mean), f(r.P50), f(r.P99), f(r.P999)}
	for rule := 1; rule <= 5; rule++ {
		out = append(out, strconv.Itoa(r.Breaks[rule]))
	}
	return append(out, strconv.Itoa(r.Falls), f(r.NearFall), f(emulator.Worst(r.Products).Share()),
		f(emulator.Worst(r.Plans).Share()), f(r.Starved), d(r.CreditMessages), f(r.Lent), f(r.RepaidLate))
}

// whole writes a file beside its place and moves it there: what is stopped leaves none that passes for whole.
func whole(path string, write func(io.Writer) error) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	if err = errors.Join(write(f), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// WriteTable writes rows as CSV.
func WriteTable(path string, rows []Row) error {
	return whole(path, func(w io.Writer) error {
		out := csv.NewWriter(w)
		_ = out.Write(columns)
		for i := range rows {
			_ = out.Write(rows[i].fields())
		}
		out.Flush()
		return out.Error()
	})
}

// Table is a table as it was read: figures by what was played.
type Table struct {
	Path string
	Rows []Line
}

// Line is one run of a table.
type Line struct {
	Experiment, Scenario, Policy, Key, Build string
	Value                                    float64
	Seed                                     int64
	Figures                                  map[string]float64
}

// ReadTable reads a table. An error names file, line and column.
func ReadTable(path string) (*Table, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := csv.NewReader(f)
	t, has := &Table{Path: path}, 0
	for line := 1; ; line++ {
		rec, err := in.Read()
		if errors.Is(err, io.EOF) {
			if len(t.Rows) == 0 {
				return nil, fmt.Errorf("%s: there is no run in it", path)
			}
			return t, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, line, err)
		}
		if line == 1 {
			if has = len(rec); has < first || has > len(columns) {
				return nil, fmt.Errorf("%s: line 1: there are %d columns, not %d to %d", path, has, first, len(columns))
			}
			for i, c := range rec {
				if columns[i] != c {
					return nil, fmt.Errorf("%s: line 1: column %d is %q, not %q", path, i+1, c, columns[i])
				}
			}
			continue
		}
		l := Line{Experiment: rec[0], Scenario: rec[1], Policy: rec[2], Key: rec[3], Build: rec[6],
			Figures: map[string]float64{}}
		number := func(i int) (v float64) {
			v, e := strconv.ParseFloat(rec[i], 64)
			if e != nil && err == nil {
				err = fmt.Errorf("%s: line %d: %s: %q is no number", path, line, columns[i], rec[i])
			}
			return v
		}
		l.Value, l.Seed = number(4), int64(number(5))
		for i := figuresFrom; i < has; i++ {
			l.Figures[columns[i]] = number(i)
		}
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, l)
	}
}

// WriteSeconds writes what became of each second of a run, for charts over time.
func WriteSeconds(path string, r *emulator.Result) error {
	return whole(path, func(w io.Writer) error {
		out := csv.NewWriter(w)
		_ = out.Write([]string{"second", "settled", "p99_ms", "most_ms"})
		for _, s := range r.Seconds {
			_ = out.Write([]string{strconv.Itoa(s.At), strconv.Itoa(s.Settled),
				strconv.FormatFloat(s.P99, 'f', 3, 64), strconv.FormatFloat(s.Most, 'f', 3, 64)})
		}
		out.Flush()
		return out.Error()
	})
}
