package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"willowdeck/internal/atomicfile"
	"willowdeck/internal/lab/emulator"
)

// columns are those of a table. The first ones say what was played, the others are figures.
var columns = []string{"experiment", "scenario", "policy", "key", "value", "seed", "build",
	"score", "offered", "served", "asked", "tries", "settled", "late", "declined", "voided", "failed", "lost",
	"submissions", "full", "over_units", "messages", "events", "mean_ms", "p50_ms", "p99_ms", "p999_ms",
	"rule1", "rule2", "rule3", "rule4", "rule5", "falls", "near_fall", "worst_product", "worst_plan", "starved",
	"credit_messages", "lent", "repaid_late"}

const (
	firstFigure = 7  // index of the first figure in columns
	minColumns  = 32 // columns that every table has; older tables lack later ones
	tableMode   = 0o644
)

// figureColumn returns the index of a figure's column, or -1.
func figureColumn(name string) int {
	for i, column := range columns {
		if column == name && i >= firstFigure {
			return i
		}
	}
	return -1
}

// csvFields returns the cells of a row, by columns.
func (r *Row) csvFields() []string {
	formatFloat := func(value float64) string { return strconv.FormatFloat(value, 'g', 10, 64) }
	formatInt := func(value int64) string { return strconv.FormatInt(value, 10) }
	fields := []string{r.Experiment, r.Scenario, r.Policy, r.Key, formatFloat(r.Value), formatInt(r.Seed),
		r.Build,
		formatFloat(r.Score), formatFloat(r.Offered), formatFloat(r.Served), formatInt(r.Transactions),
		formatInt(r.Requests), formatInt(r.Completed), formatInt(r.Late), formatInt(r.Rejected),
		formatInt(r.Uncertain), formatInt(r.Abandoned), formatInt(r.Unreachable), formatInt(r.Attempts),
		formatInt(r.WorkerRejections),
		formatFloat(r.OverQuotaUnits), formatInt(r.PeerMessages),
		formatInt(r.Events), formatFloat(r.MeanMillis), formatFloat(r.P50Millis), formatFloat(r.P99Millis),
		formatFloat(r.P999Millis)}
	for rule := 1; rule <= 5; rule++ {
		fields = append(fields, strconv.Itoa(r.Violations[rule]))
	}
	return append(fields, strconv.Itoa(r.WarmingOverloads), formatFloat(r.HighestWarmingLoad),
		formatFloat(emulator.WorstServed(r.Products).ServedShare()),
		formatFloat(emulator.WorstServed(r.Plans).ServedShare()), formatFloat(r.StarvedFraction),
		formatInt(r.BorrowingMessages),
		formatFloat(r.BorrowedUnits), formatFloat(r.LateRepaidUnits))
}

// WriteTable writes rows as CSV.
func WriteTable(path string, rows []Row) error {
	return atomicfile.Write(path, tableMode, func(w io.Writer) error {
		writer := csv.NewWriter(w)
		_ = writer.Write(columns)
		for i := range rows {
			_ = writer.Write(rows[i].csvFields())
		}
		writer.Flush()
		return writer.Error()
	})
}

// Table is a table as it was read.
type Table struct {
	Path string
	Rows []TableRow
}

// TableRow is one run of a table.
type TableRow struct {
	Experiment, Scenario, Policy, Key, Build string
	Value                                    float64
	Seed                                     int64
	Figures                                  map[string]float64
}

// ReadTable reads a table, also an older one that lacks the last columns. An error names file, line and
// column.
func ReadTable(path string) (*Table, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	reader := csv.NewReader(f)
	table, columnCount := &Table{Path: path}, 0
	for line := 1; ; line++ {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			if len(table.Rows) == 0 {
				return nil, fmt.Errorf("%s: there is no run in it", path)
			}
			return table, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, line, err)
		}
		if line == 1 {
			if err := checkHeader(record); err != nil {
				return nil, fmt.Errorf("%s: line 1: %w", path, err)
			}
			columnCount = len(record)
			continue
		}
		row, err := parseRow(record[:columnCount])
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, line, err)
		}
		table.Rows = append(table.Rows, row)
	}
}

// checkHeader checks that a header has the columns, the last of which may be missing.
func checkHeader(record []string) error {
	if n := len(record); n < minColumns || n > len(columns) {
		return fmt.Errorf("there are %d columns, not %d to %d", n, minColumns, len(columns))
	}
	for i, column := range record {
		if columns[i] != column {
			return fmt.Errorf("column %d is %q, not %q", i+1, column, columns[i])
		}
	}
	return nil
}

// parseRow parses a record. The error names the first column that is not a number.
func parseRow(record []string) (TableRow, error) {
	row := TableRow{Experiment: record[0], Scenario: record[1], Policy: record[2], Key: record[3],
		Build:   record[6],
		Figures: map[string]float64{}}
	var err error
	parse := func(i int) float64 {
		value, parseErr := strconv.ParseFloat(record[i], 64)
		if parseErr != nil && err == nil {
			err = fmt.Errorf("%s: %q is not a number", columns[i], record[i])
		}
		return value
	}
	row.Value, row.Seed = parse(4), int64(parse(5))
	for i := firstFigure; i < len(record); i++ {
		row.Figures[columns[i]] = parse(i)
	}
	return row, err
}

// WriteSeconds writes the seconds of a run as CSV, for charts over time.
func WriteSeconds(path string, result *emulator.Result) error {
	return atomicfile.Write(path, tableMode, func(w io.Writer) error {
		writer := csv.NewWriter(w)
		_ = writer.Write([]string{"second", "settled", "p99_ms", "most_ms"})
		for _, second := range result.Seconds {
			_ = writer.Write([]string{strconv.Itoa(second.Index), strconv.Itoa(second.Completed),
				strconv.FormatFloat(second.P99Millis, 'f', 3, 64), strconv.FormatFloat(second.MaxMillis, 'f', 3, 64)})
		}
		writer.Flush()
		return writer.Error()
	})
}
