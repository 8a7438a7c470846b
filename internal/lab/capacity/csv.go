// Package capacity reads what was measured over sizes and says what each role needs at the size that is
// coming, beside the operators' limits: as tables of a page in docs and one chart.
package capacity

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Row is one measurement: in a run of a commit, with a way of distributing agreed rules, at a size, a role's
// figure.
type Row struct {
	Run, Commit, Distribution string
	Size                      float64
	Role, Figure, Unit        string
	Value                     float64
}

// Refusal is a bound of the program that a run has met: the most that it takes, of how many are coming.
type Refusal struct {
	Run, Commit, Distribution, Role, What string
	Coming, Most                          float64
	Says                                  string
}

var (
	rowHead     = []string{"run", "commit", "distribution", "size", "role", "figure", "unit", "value"}
	refusalHead = []string{"run", "commit", "distribution", "role", "what", "coming", "most", "says"}
)

func text(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// Write writes measurements in place of those that a file has.
func Write(path string, rows []Row) error {
	all := [][]string{rowHead}
	for _, r := range rows {
		all = append(all, []string{r.Run, r.Commit, r.Distribution, text(r.Size), r.Role, r.Figure, r.Unit,
			text(r.Value)})
	}
	return write(path, all)
}

// WriteRefusals does the same for bounds that were met.
func WriteRefusals(path string, all []Refusal) error {
	lines := [][]string{refusalHead}
	for _, r := range all {
		lines = append(lines, []string{r.Run, r.Commit, r.Distribution, r.Role, r.What, text(r.Coming),
			text(r.Most),
			r.Says})
	}
	return write(path, lines)
}

// write writes beside the place and moves it there: what is stopped leaves none that passes for whole.
func write(path string, lines [][]string) error {
	var b strings.Builder
	if err := csv.NewWriter(&b).WriteAll(lines); err != nil {
		return err
	}
	return put(path, []byte(b.String()))
}

func put(path string, b []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	if err = f.Chmod(0o644); err != nil {
		return errors.Join(err, f.Close())
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// ReadAll reads all tables of a folder: those of measurements, refusals*.csv, and what benchmarks gave,
// *.txt. An error names file and line.
func ReadAll(dir string) (rows []Row, refusals []Refusal, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.csv"))
	more, bad := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err = errors.Join(err, bad); err != nil {
		return nil, nil, err
	}
	files = append(files, more...)
	slices.Sort(files)
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		in := strings.NewReader(string(raw))
		var found []Row
		switch {
		case strings.HasPrefix(filepath.Base(path), "refusals"):
			var more []Refusal
			more, err = readRefusals(in)
			refusals = append(refusals, more...)
		case filepath.Ext(path) == ".txt":
			found, err = readBench(filepath.Base(path), in)
		default:
			found, err = readRows(in)
		}
		rows = append(rows, found...)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return rows, refusals, nil
}

func lines(in io.Reader, head []string) ([][]string, error) {
	r := csv.NewReader(in)
	r.FieldsPerRecord = len(head)
	all, err := r.ReadAll()
	if err != nil {
		return nil, err
	}
	if len(all) == 0 || !slices.Equal(all[0], head) {
		return nil, fmt.Errorf("line 1: the columns are not %s", strings.Join(head, ","))
	}
	return all[1:], nil
}

// number reads a column of a line, which counts from 0 behind the head.
func number(line int, column, s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("line %d: %s: %q is no number", line+2, column, s)
	}
	return v, nil
}

// named checks that each column says something; a count has no unit.
func named(line int, head, l []string) error {
	for i, s := range l {
		if strings.TrimSpace(s) == "" && head[i] != "unit" {
			return fmt.Errorf("line %d: %s: there is none", line+2, head[i])
		}
	}
	return nil
}

func readRows(in io.Reader) (rows []Row, err error) {
	all, err := lines(in, rowHead)
	if err != nil {
		return nil, err
	}
	for i, l := range all {
		size, bad := number(i, "size", l[3])
		value, worse := number(i, "value", l[7])
		if err := errors.Join(named(i, rowHead, l), bad, worse); err != nil {
			return nil, err
		}
		rows = append(rows, Row{l[0], l[1], l[2], size, l[4], l[5], l[6], value})
	}
	return rows, nil
}

func readRefusals(in io.Reader) (refusals []Refusal, err error) {
	all, err := lines(in, refusalHead)
	if err != nil {
		return nil, err
	}
	for i, l := range all {
		coming, bad := number(i, "coming", l[5])
		most, worse := number(i, "most", l[6])
		if err := errors.Join(named(i, refusalHead, l), bad, worse); err != nil {
			return nil, err
		}
		refusals = append(refusals, Refusal{l[0], l[1], l[2], l[3], l[4], coming, most, l[7]})
	}
	return refusals, nil
}
