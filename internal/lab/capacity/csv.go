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

	"willowdeck/internal/atomicfile"
)

// fileMode is the mode of tables, pages and charts.
const fileMode = 0o644

// Row is a measurement of one figure of a role: at a size, in a run of a commit, with a way of distributing
// rules.
type Row struct {
	Run, Commit, Distribution string
	Size                      float64
	Role, Figure, Unit        string
	Value                     float64
}

// Refusal is a bound of the program that a run has found: the maximum that it takes, beside the planned
// number. Message is the program's error, or "taken".
type Refusal struct {
	Run, Commit, Distribution, Role, What string
	Planned, Max                          float64
	Message                               string
}

var (
	rowColumns     = []string{"run", "commit", "distribution", "size", "role", "figure", "unit", "value"}
	refusalColumns = []string{"run", "commit", "distribution", "role", "what", "coming", "most", "says"}
)

// Write writes measurements to a CSV file, in place of those that it has.
func Write(path string, rows []Row) error {
	records := [][]string{rowColumns}
	for _, r := range rows {
		records = append(records, []string{r.Run, r.Commit, r.Distribution, formatCSV(r.Size), r.Role, r.Figure,
			r.Unit,
			formatCSV(r.Value)})
	}
	return writeCSV(path, records)
}

// WriteRefusals writes refusals to a CSV file, in place of those that it has.
func WriteRefusals(path string, refusals []Refusal) error {
	records := [][]string{refusalColumns}
	for _, r := range refusals {
		records = append(records, []string{r.Run, r.Commit, r.Distribution, r.Role, r.What, formatCSV(r.Planned),
			formatCSV(r.Max),
			r.Message})
	}
	return writeCSV(path, records)
}

// formatCSV formats a number with six significant digits.
func formatCSV(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// writeCSV replaces a file by records.
func writeCSV(path string, records [][]string) error {
	var text strings.Builder
	if err := csv.NewWriter(&text).WriteAll(records); err != nil {
		return err
	}
	return writeFile(path, []byte(text.String()))
}

// writeFile replaces a file.
func writeFile(path string, content []byte) error {
	return atomicfile.WriteBytes(path, fileMode, content)
}

// ReadAll reads all tables of a folder: measurements (*.csv), refusals (refusals*.csv) and the output of
// benchmarks (*.txt), by file name. An error names the file and the line.
func ReadAll(dir string) (rows []Row, refusals []Refusal, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.csv"))
	benchmarkFiles, globErr := filepath.Glob(filepath.Join(dir, "*.txt"))
	if err = errors.Join(err, globErr); err != nil {
		return nil, nil, err
	}
	files = append(files, benchmarkFiles...)
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
			var benchmarkFiles []Refusal
			benchmarkFiles, err = readRefusals(in)
			refusals = append(refusals, benchmarkFiles...)
		case filepath.Ext(path) == ".txt":
			found, err = readBenchmarks(filepath.Base(path), in)
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

// readRows reads a table of measurements.
func readRows(in io.Reader) (rows []Row, err error) {
	records, err := readCSV(in, rowColumns)
	if err != nil {
		return nil, err
	}
	for i, fields := range records {
		size, sizeErr := parseNumber(i, "size", fields[3])
		value, valueErr := parseNumber(i, "value", fields[7])
		if err := errors.Join(checkFilled(i, rowColumns, fields), sizeErr, valueErr); err != nil {
			return nil, err
		}
		rows = append(rows, Row{fields[0], fields[1], fields[2], size, fields[4], fields[5], fields[6], value})
	}
	return rows, nil
}

// readRefusals reads a table of refusals.
func readRefusals(in io.Reader) (refusals []Refusal, err error) {
	records, err := readCSV(in, refusalColumns)
	if err != nil {
		return nil, err
	}
	for i, fields := range records {
		planned, plannedErr := parseNumber(i, "coming", fields[5])
		maxValue, maxErr := parseNumber(i, "most", fields[6])
		if err := errors.Join(checkFilled(i, refusalColumns, fields), plannedErr, maxErr); err != nil {
			return nil, err
		}
		refusals = append(refusals, Refusal{fields[0], fields[1], fields[2], fields[3], fields[4], planned,
			maxValue, fields[7]})
	}
	return refusals, nil
}

// readCSV reads the records behind a header that has to name the columns.
func readCSV(in io.Reader, columns []string) ([][]string, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = len(columns)
	records, err := reader.ReadAll()
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || !slices.Equal(records[0], columns) {
		return nil, fmt.Errorf("line 1: the columns are not %s", strings.Join(columns, ","))
	}
	return records[1:], nil
}

// parseNumber parses a column of a record; records count from zero behind the header.
func parseNumber(record int, column, text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("line %d: %s: %q is no number", record+2, column, text)
	}
	return value, nil
}

// checkFilled checks that every column is filled. Only the unit may be empty, as that of a count is.
func checkFilled(record int, columns, fields []string) error {
	for i, field := range fields {
		if strings.TrimSpace(field) == "" && columns[i] != "unit" {
			return fmt.Errorf("line %d: %s: there is none", record+2, columns[i])
		}
	}
	return nil
}
