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
)

// spread is a line with bars of one standard deviation over seeds.
type spread struct {
	plotter.XYs
	plotter.YErrors
}

// Chart draws a figure of a table over the swept key, a line for each policy with bars of one standard
// deviation over the seeds. The file's ending says the form: png, svg or pdf.
func Chart(t *Table, figure, path string) error {
	if columnOf(figure) < 0 {
		return fmt.Errorf("there is no figure %q", figure)
	}
	p := plot.New()
	p.Title.Text = t.Rows[0].Experiment
	p.Y.Label.Text = figure
	p.Legend.Top = true
	cells := t.cells(figure)
	lines := map[string]*spread{}
	var names []string
	for _, c := range t.order() {
		l := lines[c.policy]
		if l == nil {
			l = &spread{}
			lines[c.policy] = l
			names = append(names, c.policy)
		}
		mean, sd := meanSD(cells[c])
		l.XYs = append(l.XYs, plotter.XY{X: c.value, Y: mean})
		l.YErrors = append(l.YErrors, struct{ Low, High float64 }{sd, sd})
		if p.X.Label.Text = c.key; c.key == "" {
			p.X.Label.Text = "one setting"
		}
	}
	for i, name := range names {
		l := lines[name]
		line, points, err := plotter.NewLinePoints(l.XYs)
		if err != nil {
			return err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		bars, err := plotter.NewYErrorBars(l)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		p.Add(line, points, bars)
		p.Legend.Add(name, line, points)
	}
	return write(p, path)
}

// Curve is one line of a chart.
type Curve struct {
	Name string
	X, Y []float64
}

// Lines draws lines over one axis; log has the other in powers of ten.
func Lines(title, x, y string, log bool, lines []Curve, path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	if log {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, l := range lines {
		var points plotter.XYs
		for k := range l.X {
			points = append(points, plotter.XY{X: l.X[k], Y: l.Y[k]})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	return write(p, path)
}

// Points draws the first curve as a line, and the points of the others.
func Points(title, x, y string, curves []Curve, path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	for i, c := range curves {
		var at plotter.XYs
		for k := range c.X {
			at = append(at, plotter.XY{X: c.X[k], Y: c.Y[k]})
		}
		line, points, err := plotter.NewLinePoints(at)
		if err != nil {
			return err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		if i == 0 {
			p.Add(line)
			p.Legend.Add(c.Name, line)
			continue
		}
		p.Add(points)
		p.Legend.Add(c.Name, points)
	}
	return write(p, path)
}

func write(p *plot.Plot, path string) error {
	p.Add(plotter.NewGrid())
	form := strings.TrimPrefix(filepath.Ext(path), ".")
	return whole(path, func(w io.Writer) error {
		to, err := p.WriterTo(18*vg.Centimeter, 11*vg.Centimeter, form)
		if err != nil {
			return err
		}
		_, err = to.WriteTo(w)
		return err
	})
}
