package capacity

import (
	"fmt"
	"math"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const leastPart = 1.0 / 400 // of the coming size: 20 gatekeepers

// Chart draws need over limit, over the part of the coming size, of the lines that want it: points as
// measured, and the fit. One is the limit. The file's ending says the form.
func Chart(needs []Need, path string) error {
	p := plot.New()
	p.Title.Text = "Need of one gatekeeper over its limit, on the way to the coming size"
	p.X.Label.Text, p.Y.Label.Text = "part of the coming size", "need / limit"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Left, p.Legend.Top = true, true
	p.X.Min, p.X.Max = leastPart, 1
	p.Y.Min, p.Y.Max = 1, 1
	drawn := 0
	var all []*Need
	for i := range needs {
		for n := &needs[i]; n != nil && n.Chart; n = n.After {
			if n.There() && n.Fit != nil && n.Most != nil {
				all = append(all, n)
			}
		}
	}
	for _, n := range all {
		var line, points plotter.XYs
		for part := leastPart; part <= 1.0001; part *= math.Pow(400, 1.0/60) {
			if y := n.part(part) / n.Most.Most; y > 0 {
				line = append(line, plotter.XY{X: part, Y: y})
			}
		}
		for _, at := range n.Fit.Points {
			if part := at.Size / n.Size; part >= leastPart && part <= 1.05 && at.Value > 0 {
				points = append(points, plotter.XY{X: part, Y: at.Value / n.Fit.Predict(n.Size) * n.Value / n.Most.Most})
			}
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return fmt.Errorf("%s: %w", n.Name, err)
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("%s: %w", n.Name, err)
		}
		l.Color, l.Dashes = plotutil.Color(drawn), plotutil.Dashes(drawn)
		s.Color, s.Shape = plotutil.Color(drawn), plotutil.Shape(drawn)
		p.Add(l, s)
		name, _, _ := strings.Cut(n.What, ",")
		name, _, _ = strings.Cut(name, ":")
		switch {
		case n.Way != direct:
			name += ", " + n.Way
		case n.AfterRun != "" && n.Line.Run == n.AfterRun:
			name += ", after"
		}
		p.Legend.Add(name+", "+n.Resource, l, s)
		drawn++
		for _, at := range line {
			p.Y.Min, p.Y.Max = math.Min(p.Y.Min, at.Y), math.Max(p.Y.Max, at.Y)
		}
	}
	one, err := plotter.NewLine(plotter.XYs{{X: leastPart, Y: 1}, {X: 1, Y: 1}})
	if err != nil {
		return err
	}
	one.Width = vg.Points(1.5)
	p.Add(one, plotter.NewGrid())
	p.Legend.Add("the limit", one)
	p.Y.Max *= 100 // room for the legend
	to, err := p.WriterTo(18*vg.Centimeter, 12*vg.Centimeter, strings.TrimPrefix(filepath.Ext(path), "."))
	if err != nil {
		return err
	}
	var b strings.Builder
	if _, err := to.WriteTo(&b); err != nil {
		return err
	}
	return put(path, []byte(b.String()))
}
