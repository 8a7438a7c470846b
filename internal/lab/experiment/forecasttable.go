package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"willowdeck/internal/atomicfile"
)

// forecastColumns are the columns of a table of forecast checks.
var forecastColumns = []string{"scenario", "gatekeepers", "asks", "loss", "halls", "seed", "asked",
	"foretold", "found", "error", "replayed", "replay_error", "load_error"}

// ForecastChecks are the checks of one scenario and load.
type ForecastChecks struct {
	Gatekeepers int
	OfferedLoad float64 // factor of the scenario's own load
	Checks      []ForecastCheck
}

// WriteForecastChecks writes checks as CSV.
func WriteForecastChecks(path string, groups []ForecastChecks) error {
	return atomicfile.Write(path, tableMode, func(w io.Writer) error {
		writer := csv.NewWriter(w)
		_ = writer.Write(forecastColumns)
		formatFloat := func(value float64) string { return strconv.FormatFloat(value, 'f', 4, 64) }
		for _, group := range groups {
			for i := range group.Checks {
				check := &group.Checks[i]
				_ = writer.Write([]string{check.Scenario, strconv.Itoa(group.Gatekeepers),
					formatFloat(group.OfferedLoad), check.Loss.Kind.String(),
					strings.Join(check.Loss.Regions, " "), strconv.FormatInt(check.Seed, 10), formatFloat(check.Offered),
					formatFloat(check.Predicted),
					formatFloat(check.Observed), formatFloat(check.RelativeError()), formatFloat(check.Replayed),
					formatFloat((check.Replayed - check.Observed) / check.Offered),
					formatFloat(check.MaxLoadError())})
			}
		}
		writer.Flush()
		return writer.Error()
	})
}

// DrawForecastChecks draws the predicted value lost over the observed one, as parts of the value offered, by
// the number of gatekeepers.
func DrawForecastChecks(path string, groups []ForecastChecks) error {
	curves := []Curve{{Name: "as found", X: []float64{0, 1}, Y: []float64{0, 1}}}
	for _, group := range groups {
		name := fmt.Sprintf("foretold, %d gatekeepers", group.Gatekeepers)
		i := slices.IndexFunc(curves, func(curve Curve) bool { return curve.Name == name })
		if i < 0 {
			i = len(curves)
			curves = append(curves, Curve{Name: name})
		}
		for _, check := range group.Checks {
			curves[i].X = append(curves[i].X, check.Observed/check.Offered)
			curves[i].Y = append(curves[i].Y, check.Predicted/check.Offered)
		}
	}
	return DrawScatter("value lost, of the value asked (simulated)", "found", "foretold", curves, path)
}
