package capacity

import (
	"bytes"
	"fmt"
	"math"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// minFraction is the smallest fraction of the planned size that the chart shows: some 20 gatekeepers.
const minFraction = 1.0 / 400

// DrawChart draws the utilization over the fraction of the planned size, on logarithmic axes, of the demands
// that the spec marks for it: the measured points, the fit, and the limit at one. The file's extension names
// the format.
func DrawChart(demands []Demand, path string) error {
	chart := newChart()
	for i, d := range chartedDemands(demands) {
		if err := addToChart(chart, d, i); err != nil {
			return fmt.Errorf("%s: %w", d.Name, err)
		}
	}
	limitLine, err := plotter.NewLine(plotter.XYs{{X: minFraction, Y: 1}, {X: 1, Y: 1}})
	if err != nil {
		return err
	}
	limitLine.Width = vg.Points(1.5)
	chart.Add(limitLine, plotter.NewGrid())
	chart.Legend.Add("the limit", limitLine)
	chart.Y.Max *= 100 // space for the legend
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	writer, err := chart.WriterTo(18*vg.Centimeter, 12*vg.Centimeter, format)
	if err != nil {
		return err
	}
	var content bytes.Buffer
	if _, err := writer.WriteTo(&content); err != nil {
		return err
	}
	return writeFile(path, content.Bytes())
}

// newChart returns an empty chart with its axes.
func newChart() *plot.Plot {
	chart := plot.New()
	chart.Title.Text = "Need of one gatekeeper over its limit, on the way to the coming size"
	chart.X.Label.Text, chart.Y.Label.Text = "part of the coming size", "need / limit"
	chart.X.Scale, chart.Y.Scale = plot.LogScale{}, plot.LogScale{}
	chart.X.Tick.Marker, chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	chart.Legend.Left, chart.Legend.Top = true, true
	chart.X.Min, chart.X.Max = minFraction, 1
	chart.Y.Min, chart.Y.Max = 1, 1
	return chart
}

// chartedDemands returns the demands that are drawn, each followed by the one after the change.
func chartedDemands(demands []Demand) []*Demand {
	var charted []*Demand
	for i := range demands {
		for d := &demands[i]; d != nil && d.InChart; d = d.AfterChange {
			if d.Available() && d.Model != nil && d.Limit != nil {
				charted = append(charted, d)
			}
		}
	}
	return charted
}

// addToChart adds the fit and the measured points of a demand, in the colour and the marks of its index, and
// extends the vertical axis to the fit.
func addToChart(chart *plot.Plot, d *Demand, index int) error {
	var fitted, measured plotter.XYs
	for fraction := minFraction; fraction <= 1.0001; fraction *= math.Pow(400, 1.0/60) {
		if utilization := d.valueAtFraction(fraction) / d.Limit.Max; utilization > 0 {
			fitted = append(fitted, plotter.XY{X: fraction, Y: utilization})
		}
	}
	for _, point := range d.Model.Points {
		if fraction := point.Size / d.PlannedSize; fraction >= minFraction && fraction <= 1.05 && point.Value > 0 {
			utilization := point.Value / d.Model.Predict(d.PlannedSize) * d.Value / d.Limit.Max
			measured = append(measured, plotter.XY{X: fraction, Y: utilization})
		}
	}
	line, err := plotter.NewLine(fitted)
	if err != nil {
		return err
	}
	scatter, err := plotter.NewScatter(measured)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(index), plotutil.Dashes(index)
	scatter.Color, scatter.Shape = plotutil.Color(index), plotutil.Shape(index)
	chart.Add(line, scatter)
	chart.Legend.Add(legendName(d), line, scatter)
	for _, point := range fitted {
		chart.Y.Min, chart.Y.Max = math.Min(chart.Y.Min, point.Y), math.Max(chart.Y.Max, point.Y)
	}
	return nil
}

// legendName returns the name of a demand in the legend: the beginning of its description up to a comma or a
// colon, the change where it is one after it, and the resource.
func legendName(d *Demand) string {
	name, _, _ := strings.Cut(d.What, ",")
	name, _, _ = strings.Cut(name, ":")
	switch {
	case d.Distribution != distributionDirect:
		name += ", " + d.Distribution
	case d.AfterRun != "" && d.Entry.Run == d.AfterRun:
		name += ", after"
	}
	return name + ", " + d.Resource
}
