package capacity

import (
	"errors"
	"fmt"
	"strings"

	"willowdeck/internal/lab/regression"
)

// nonlinearTable lists the fits that are not linear up to the largest size, and counts the others.
func nonlinearTable(demands []Demand) string {
	t := newMarkdownTable("figure", "sizes", "exponent (95%)", "a line holds until", "R²", "off the line by",
		"shape")
	seen, linear, measuredNonlinear := map[string]bool{}, 0, 0
	for i := range demands {
		d := &demands[i]
		if d.Model == nil {
			continue
		}
		key := d.MeasuredRole + ": " + d.Figure
		if d.Distribution != distributionDirect {
			key += ", " + d.Distribution
		}
		if seen[key+d.Run] {
			continue
		}
		seen[key+d.Run] = true
		model := d.Model
		if model.LinearUpTo == model.LargestPoint().Size && model.Shape != regression.Superlinear {
			linear++
			continue
		}
		if d.Basis == basisMeasured && model.Shape != regression.Superlinear {
			measuredNonlinear++
			continue
		}
		linearUpTo := formatSize(model.LinearUpTo)
		if model.LinearUpTo == model.LargestPoint().Size {
			linearUpTo += ", the largest"
		}
		t.row(key, fmt.Sprintf("%s to %s", formatSize(model.Points[0].Size), formatSize(model.LargestPoint().Size)),
			fmt.Sprintf("%.2f (%.2f to %.2f)", model.Exponent, model.ExponentLow, model.ExponentHigh), linearUpTo,
			fmt.Sprintf("%.3f", model.R2),
			fmt.Sprintf("%.0f%%", 100*model.MaxRelativeError), model.Shape.String())
	}
	return fmt.Sprintf("%s\nOf the other figures on this page %d go by one line up to their largest "+
		"size. %d do not, and were measured at the coming size, so that nothing rests on a line.\n",
		t.String(), linear, measuredNonlinear)
}

// fitsPage returns the page of fits: a row for each figure that was measured at enough sizes, by run and
// distribution. tolerance is that of regression.Fit.
func fitsPage(tolerance float64, rows []Row) (string, error) {
	type key struct{ run, role, figure, unit, distribution string }
	points := map[key][]regression.Point{}
	var order []key
	for _, r := range rows {
		k := key{r.Run, r.Role, r.Figure, r.Unit, r.Distribution}
		if points[k] == nil {
			order = append(order, k)
		}
		points[k] = append(points[k], regression.Point{Size: r.Size, Value: r.Value})
	}
	t := newMarkdownTable("run", "role", "figure", "slope", "offset", "R²", "exponent (95%)",
		"a line holds until",
		"shape",
		"size: figure (residual)")
	tooFew := 0
	for _, k := range order {
		model, err := regression.Fit(points[k], tolerance)
		if errors.Is(err, regression.ErrTooFewSizes) {
			tooFew++
			continue
		}
		if err != nil {
			return "", fmt.Errorf("%s, %s: %w", k.run, k.figure, err)
		}
		var values []string
		for i, p := range model.Points {
			values = append(values, fmt.Sprintf("%s: %s (%s)", formatSize(p.Size), formatFigure(p.Value),
				formatFigure(model.Residuals[i])))
		}
		t.row(k.run, k.role, k.figure+", "+k.unit, formatFigure(model.Slope), formatFigure(model.Intercept),
			fmt.Sprintf("%.3f", model.R2),
			fmt.Sprintf("%.2f (%.2f to %.2f)", model.Exponent, model.ExponentLow, model.ExponentHigh),
			formatSize(model.LinearUpTo), model.Shape.String(),
			strings.Join(values, "; "))
	}
	return fmt.Sprintf(`# Every measured figure over its sizes

Made by willowdeck-lab capacity from the tables beside this file;
docs/CAPACITY-gateway.md says what each column means.
%d figures have fewer than %d sizes and no fit.

`, tooFew, regression.MinSizes) + t.String(), nil
}
