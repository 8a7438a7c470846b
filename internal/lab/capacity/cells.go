package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"willowdeck/internal/lab/regression"
)

// formula returns "slope × size + intercept", in the unit of the measurement, or why there is none.
func (d *Demand) formula() string {
	slope, intercept, unit, sizeName := d.PerElement, d.Offset, d.Unit, strings.ReplaceAll(d.SizeKey, "_", " ")
	switch {
	case d.SizeKey == "one" || len(d.SumOf) > 0:
		return "-"
	case d.Model == nil && d.Figure != "":
		return "-"
	case d.Model == nil:
	case d.Model.Shape == regression.Flat:
		return strings.TrimSpace(formatFigure(d.Model.Predict(d.PlannedSize))+" "+d.MeasuredUnit) + " at any size"
	case d.Model.Shape == regression.Superlinear:
		return fmt.Sprintf("as %s^%.2f", sizeName, d.Model.Exponent)
	case d.Model.Shape != regression.Linear && d.Model.Shape != regression.Flat:
		return "no line holds"
	default:
		slope, intercept, unit = d.Model.Slope, d.Model.Intercept, d.MeasuredUnit
	}
	text := fmt.Sprintf("%s %s × %s %s", formatFigure(slope), unit, formatSize(d.PlannedSize), sizeName)
	if math.Abs(intercept) >= 0.005*math.Abs(slope*d.PlannedSize+intercept) {
		sign := "+"
		if intercept < 0 {
			sign = "−"
		}
		text += fmt.Sprintf(" %s %s", sign, formatFigure(math.Abs(intercept)))
	}
	return text
}

// limitCells returns the cells of the limit and of the utilization.
func (d *Demand) limitCells() (limit, utilization string) {
	if d.Limit == nil {
		return "none stated", ""
	}
	limit = formatFigure(d.Limit.Max) + " " + d.Limit.Unit
	if d.Limit.Source != sourceOperators {
		limit += " (" + d.Limit.Source + ")"
	}
	return limit, formatFigure(d.Utilization)
}

// basisText returns how the value is known, and from which run.
func (d *Demand) basisText() string {
	switch {
	case len(d.SumOf) > 0:
		return d.Basis + ": the sum of these"
	case d.Model == nil && d.Figure != "":
		return fmt.Sprintf("%s [%s], of too few sizes for a slope", d.Basis, d.runLabel)
	case d.Model == nil:
		return d.Basis + ": " + d.Reason
	}
	text := fmt.Sprintf("%s [%s]", d.Basis, d.runLabel)
	if d.Basis == basisExtrapolated || d.Basis == basisGuess {
		text = fmt.Sprintf("%s to %s [%s]", d.Basis, formatSize(d.Model.LargestPoint().Size), d.runLabel)
	}
	if d.MultiplierReason != "" {
		text += "; " + d.MultiplierReason
	}
	return text
}

// title returns what is needed, with the distribution or the change under which it was measured.
func (d *Demand) title() string {
	if d.AfterRun != "" && d.Entry.Run == d.AfterRun {
		return d.What + " (after)"
	}
	if d.Distribution != distributionDirect {
		return d.What + " (" + d.Distribution + ")"
	}
	return d.What
}

// changedDemand returns the demand after the change where its value differs by more than sameValueTolerance.
func (d *Demand) changedDemand() *Demand {
	if d.AfterChange == nil || math.Abs(d.AfterChange.Value-d.Value) <= sameValueTolerance*math.Abs(d.Value) {
		return nil
	}
	return d.AfterChange
}

// afterChangeCell returns the cell of a demand in the column of what holds after the change.
func (d *Demand) afterChangeCell() string {
	return fmt.Sprintf("%s (%s %s, %s)", formatFigure(d.Utilization), formatFigure(d.Value), d.Unit, d.Basis)
}

// hasReplacement reports whether an entry of the spec replaces this one, measured or not.
func (d *Demand) hasReplacement(demands []Demand) bool {
	return slices.ContainsFunc(demands, func(other Demand) bool { return other.Replaces == d.Name })
}
