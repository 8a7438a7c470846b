package capacity

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// readBenchmarks reads the output of "go test -bench". The configuration lines "run: ", "commit: ",
// "distribution: " and "role: " give what the benchmarks do not have. A benchmark's name ends with its size,
// Read/workers=200 or Read/200, before the number of processors; a figure is the name and the unit.
func readBenchmarks(name string, in io.Reader) (rows []Row, err error) {
	reader := benchfmt.NewReader(in, name)
	for reader.Scan() {
		var result *benchfmt.Result
		switch x := reader.Result().(type) {
		case *benchfmt.SyntaxError:
			return nil, x
		case *benchfmt.Result:
			result = x
		default: // units' own remarks
			continue
		}
		baseName, parts := result.Name.Parts()
		size, figure := 0.0, string(baseName)
		for _, part := range parts {
			text := strings.TrimLeft(string(part), "/-")
			_, after, keyed := strings.Cut(text, "=")
			if !keyed {
				after = text
			}
			if number, err := strconv.ParseFloat(after, 64); err == nil && part[0] == '/' {
				size = number
			} else if part[0] == '/' {
				figure += " " + text
			}
		}
		if size == 0 {
			return nil, fmt.Errorf("%s: %s has no size", name, result.Name)
		}
		row := Row{Run: result.GetConfig("run"), Commit: result.GetConfig("commit"),
			Distribution: result.GetConfig("distribution"),
			Size:         size, Role: result.GetConfig("role")}
		if row.Run == "" || row.Commit == "" || row.Distribution == "" || row.Role == "" {
			return nil, fmt.Errorf("%s: %s: run, commit, distribution or role is not said before it", name,
				result.Name)
		}
		for _, v := range result.Values {
			row.Figure, row.Unit, row.Value = figure+" "+v.Unit, v.Unit, v.Value
			if v.OrigUnit != "" {
				row.Figure, row.Unit, row.Value = figure+" "+v.OrigUnit, v.OrigUnit, v.OrigValue
			}
			rows = append(rows, row)
		}
	}
	return slices.Clip(rows), reader.Err()
}
