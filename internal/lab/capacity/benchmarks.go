package capacity

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// readBench reads figures that "go test -bench" gave. The file's own lines "run: ", "commit: ",
// "distribution: " and "role: " say what is not in them. A benchmark's name ends with its size,
// Read/workers=200 or Read/200, with the number of cores behind it; a figure is that name and the unit.
func readBench(name string, in io.Reader) (rows []Row, err error) {
	r := benchfmt.NewReader(in, name)
	for r.Scan() {
		var b *benchfmt.Result
		switch x := r.Result().(type) {
		case *benchfmt.SyntaxError:
			return nil, x
		case *benchfmt.Result:
			b = x
		default: // units' own remarks
			continue
		}
		base, parts := b.Name.Parts()
		size, figure := 0.0, string(base)
		for _, part := range parts {
			s := strings.TrimLeft(string(part), "/-")
			_, after, keyed := strings.Cut(s, "=")
			if !keyed {
				after = s
			}
			if n, err := strconv.ParseFloat(after, 64); err == nil && part[0] == '/' {
				size = n
			} else if part[0] == '/' {
				figure += " " + s
			}
		}
		if size == 0 {
			return nil, fmt.Errorf("%s: %s has no size", name, b.Name)
		}
		row := Row{Run: b.GetConfig("run"), Commit: b.GetConfig("commit"),
			Distribution: b.GetConfig("distribution"),
			Size:         size, Role: b.GetConfig("role")}
		if row.Run == "" || row.Commit == "" || row.Distribution == "" || row.Role == "" {
			return nil, fmt.Errorf("%s: %s: run, commit, distribution or role is not said before it", name, b.Name)
		}
		for _, v := range b.Values {
			row.Figure, row.Unit, row.Value = figure+" "+v.Unit, v.Unit, v.Value
			if v.OrigUnit != "" {
				row.Figure, row.Unit, row.Value = figure+" "+v.OrigUnit, v.OrigUnit, v.OrigValue
			}
			rows = append(rows, row)
		}
	}
	return slices.Clip(rows), r.Err()
}
