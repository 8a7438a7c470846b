package capacity

import "fmt"

// unitConversions are the factors from a measurement's unit to the unit of an entry.
var unitConversions = map[[2]string]float64{
	{"B", "KB"}: 1e-3, {"B", "MB"}: 1e-6, {"B/s", "KB/s"}: 1e-3, {"B/s", "MB/s"}: 1e-6, {"B", "KB/s"}: 1e-3,
	{"B", "MB/s"}: 1e-6, {"B", "GB"}: 1e-9, {"KB", "MB"}: 1e-3, {"ms", "% of a core"}: 0.1,
	{"ms", "% of time"}:   0.1,
	{"ns", "% of a core"}: 1e-7, {"ns", "µs"}: 1e-3, {"ns/op", "ms"}: 1e-6, {"ns/op", "% of a core"}: 1e-7,
	{"ns/op", "% of time"}: 1e-7, {"ms", "s"}: 1e-3, {"s", "min"}: 1.0 / 60, {"B", "TB"}: 1e-12,
	{"MB", "GB"}: 1e-3, {"us", "% of a core"}: 1e-4, {"us", "s"}: 1e-6, {"ms_per_s", "% of a core"}: 0.1,
	{"hold-ms", "% of time"}: 0.1,
	{"worst-hold-ms", "ms"}:  1, {"B/module", "MB"}: 1e-6, {"bytes", "KB"}: 1e-3, {"bytes", "KB/s"}: 1e-3,
	{"bytes", "MB"}: 1e-6, {"bytes", "MB/s"}: 1e-6,
}

// conversionFactor returns the factor from one unit to another.
func conversionFactor(from, to string) (float64, error) {
	if from == to || from == "" { // a count has no unit of its own
		return 1, nil
	}
	if factor, ok := unitConversions[[2]string{from, to}]; ok {
		return factor, nil
	}
	return 0, fmt.Errorf("unit: nothing turns %q to %q", from, to)
}
