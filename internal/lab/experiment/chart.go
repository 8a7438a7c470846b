package experiment

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"willowdeck/internal/atomicfile"
)

// pointsWithErrors is a curve with error bars.
type pointsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// DrawSweep draws a figure of a table over the swept key: a line for each policy, with bars of one standard
// deviation over the seeds. The file's extension names the format: png, svg or pdf.
func DrawSweep(table *Table, figure, path string) error {
	if figureColumn(figure) < 0 {
		return fmt.Errorf("there is no figure %q", figure)
	}
	chart := plot.New()
	chart.Title.Text = table.Rows[0].Experiment
	chart.Y.Label.Text = figure
	chart.Legend.Top = true
	values := table.figureBySetting(figure)
	curves := map[string]*pointsWithErrors{}
	var policies []string
	for _, key := range table.settings() {
		curve := curves[key.policy]
		if curve == nil {
			curve = &pointsWithErrors{}
			curves[key.policy] = curve
			policies = append(policies, key.policy)
		}
		mean, stdDev := meanAndStdDev(values[key])
		curve.XYs = append(curve.XYs, plotter.XY{X: key.value, Y: mean})
		curve.YErrors = append(curve.YErrors, struct{ Low, High float64 }{stdDev, stdDev})
		if chart.X.Label.Text = key.key; key.key == "" {
			chart.X.Label.Text = "one setting"
		}
	}
	for i, policy := range policies {
		curve := curves[policy]
		line, points, err := plotter.NewLinePoints(curve.XYs)
		if err != nil {
			return err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		errorBars, err := plotter.NewYErrorBars(curve)
		if err != nil {
			return err
		}
		errorBars.Color = plotutil.Color(i)
		chart.Add(line, points, errorBars)
		chart.Legend.Add(policy, line, points)
	}
	return saveChart(chart, path)
}

// Curve is one line of a chart.
type Curve struct {
	Name string
	X, Y []float64
}

// DrawLines draws curves as lines. With logScale the vertical axis is logarithmic.
func DrawLines(title, xLabel, yLabel string, logScale bool, curves []Curve, path string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, xLabel, yLabel
	chart.Legend.Top = true
	if logScale {
		chart.Y.Scale, chart.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, curve := range curves {
		var points plotter.XYs
		for k := range curve.X {
			points = append(points, plotter.XY{X: curve.X[k], Y: curve.Y[k]})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		chart.Add(line)
		chart.Legend.Add(curve.Name, line)
	}
	return saveChart(chart, path)
}

// DrawScatter draws the first curve as a line, and the others as points.
func DrawScatter(title, xLabel, yLabel string, curves []Curve, path string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, xLabel, yLabel
	chart.Legend.Top, chart.Legend.Left = true, true
	for i, curve := range curves {
		var xys plotter.XYs
		for k := range curve.X {
			xys = append(xys, plotter.XY{X: curve.X[k], Y: curve.Y[k]})
		}
		line, points, err := plotter.NewLinePoints(xys)
		if err != nil {
			return err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		if i == 0 {
			chart.Add(line)
			chart.Legend.Add(curve.Name, line)
			continue
		}
		chart.Add(points)
		chart.Legend.Add(curve.Name, points)
	}
	return saveChart(chart, path)
}

// saveChart adds a grid and writes the chart in the format of the file's extension.
func saveChart(chart *plot.Plot, path string) error {
	chart.Add(plotter.NewGrid())
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	return atomicfile.Write(path, tableMode, func(w io.Writer) error {
		writer, err := chart.WriterTo(18*vg.Centimeter, 11*vg.Centimeter, format)
		if err != nil {
			return err
		}
		_, err = writer.WriteTo(w)
		return err
	})
}
