package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"willowdeck/internal/lab/regression"
)

// Need is a line at the coming size.
type Need struct {
	*Line
	Fit   *regression.Model // in the measurement's own unit; nil where there is none
	In    string          // that unit
	Run   string
	Size  float64 // the coming one
	Value float64 // at it, in Line.Unit
	Known string  // measured, by slope, worked out, assumed, no run
	Ratio float64
	Most  *Limit
	After *Need // the same figure where runs with relays have it; nil where none has

	AfterIs string // how that is known, or why it is not

	letter string // of the run, on the page
}

// There tells whether there is something to show.
func (n *Need) There() bool { return n.Known != noRun && n.Known != tooFew }

const (
	tooFew    = "too few sizes"
	noRun     = "no run"
	measured  = "measured"
	bySlope   = "by slope"
	workedOut = "worked out"
	byNone    = "a guess: no line holds; by slope"
	sameSize  = 0.02 // part by which a measured size may differ from the coming one
)

// conversions from a measurement's unit to the one that it is told in.
var conversions = map[[2]string]float64{
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

func convert(from, to string) (float64, error) {
	if from == to || from == "" { // a count has no unit of its own
		return 1, nil
	}
	if f, there := conversions[[2]string{from, to}]; there {
		return f, nil
	}
	return 0, fmt.Errorf("unit: nothing turns %q to %q", from, to)
}

// Needs works all lines out of what was measured.
func Needs(s *Spec, rows []Row) ([]Need, error) {
	var all []Need
	for i := range s.Lines {
		n, err := s.need(&s.Lines[i], rows)
		if err != nil {
			return nil, fmt.Errorf("lines[%d] (%s).%w", i, s.Lines[i].Name, err)
		}
		if n.Figure != "" && !n.late() && !n.Former && n.There() {
			l := s.Lines[i]
			if l.Way, l.Run = relay, ""; l.AfterRun != "" {
				l.Way, l.Run = direct, l.AfterRun
			}
			after, err := s.need(&l, rows)
			if err != nil {
				return nil, fmt.Errorf("lines[%d] (%s, %s).%w", i, l.Name, relay, err)
			}
			if n.AfterIs = after.Known; after.There() {
				n.After = &after
			}
		}
		if len(n.Sum) > 0 {
			if err := n.sumOf(all); err != nil {
				return nil, fmt.Errorf("lines[%d] (%s).%w", i, s.Lines[i].Name, err)
			}
		}
		all = append(all, n)
	}
	return all, nil
}

// sumOf adds up lines that come before, and what comes after of those that change.
func (n *Need) sumOf(all []Need) error {
	after := *n
	changes := false
	for i := range all {
		o := &all[i]
		if !slices.Contains(n.Sum, o.Name) {
			continue
		}
		if o.Unit != n.Unit {
			return fmt.Errorf("sum: %q is in %q", o.Name, o.Unit)
		}
		n.Value += o.Value
		if after.Value += o.Value; o.After != nil {
			after.Value += o.After.Value - o.Value
			changes = true
		}
	}
	n.Known = workedOut
	if n.Most != nil {
		n.Ratio, after.Ratio = n.Value/n.Most.Most, after.Value/n.Most.Most
	}
	if after.Known = workedOut; changes {
		after.Line = &Line{}
		*after.Line = *n.Line
		after.Way = relay
		n.After = &after
	}
	return nil
}

func (s *Spec) need(l *Line, rows []Row) (Need, error) {
	n := Need{Line: l, Size: s.Coming[l.Over], Most: s.limit(l.Limit), Known: l.Mark}
	if len(l.Sum) > 0 {
		return n, nil
	}
	if l.Figure == "" {
		n.Value = (l.Each*n.Size + l.Offset) * l.Times
	} else if err := n.measured(s.Within, rows); err != nil {
		return n, err
	}
	if n.Most != nil && n.There() {
		n.Ratio = n.Value / n.Most.Most
	}
	return n, nil
}

// is tells whether a row is of a run, by its name, or by name@commit where several have one name.
func (r *Row) is(run string) bool { return run == r.Run || run == r.Run+"@"+r.Commit }

// late tells whether a line is of what came after today's distribution alone.
func (l *Line) late() bool { return l.Way != direct || l.AfterRun != "" && l.Run == l.AfterRun }

// of gives the rows of a figure: those of the run that is named, or of the last one of the file.
func of(l *Line, rows []Row) (all []Row) {
	for _, r := range rows {
		way := r.Distribution
		if way == trial && l.From == gatekeeper {
			way = direct
		}
		if r.Role == l.From && r.Figure == l.Figure && way == l.Way && (l.Run == "" || r.is(l.Run)) {
			all = append(all, r)
		}
	}
	if len(all) > 0 && l.Run == "" {
		last := all[len(all)-1].Run
		all = slices.DeleteFunc(all, func(r Row) bool { return r.Run != last })
	}
	return all
}

func (n *Need) measured(within float64, rows []Row) error {
	own := of(n.Line, rows)
	if len(own) == 0 {
		if n.Way == direct && !n.late() { // what is on hand has to be measured
			return fmt.Errorf("figure: %q of a %s, %s, run %q: no measurement", n.Figure, n.From, n.Way, n.Line.Run)
		}
		n.Known = noRun
		return nil
	}
	f, err := convert(own[0].Unit, n.Unit)
	if err != nil {
		return err
	}
	var points []regression.Point
	for _, r := range own {
		if r.Unit != own[0].Unit {
			return fmt.Errorf("figure: %q is in %q and in %q", n.Figure, own[0].Unit, r.Unit)
		}
		points = append(points, regression.Point{Size: r.Size, Value: r.Value})
	}
	fit, err := regression.Fit(points, within)
	if errors.Is(err, regression.ErrTooFewSizes) {
		n.Known, n.Run = tooFew, cmp.Or(n.Line.Run, own[0].Run)
		for _, p := range points {
			if math.Abs(p.Size-n.Size) <= sameSize*n.Size {
				n.Value, n.Known = p.Value*f*n.Times, measured
			}
		}
		if n.There() || n.Way != direct { // runs with relays may come one by one
			return nil
		}
	}
	if err != nil {
		return fmt.Errorf("figure: %q of a %s: %w", n.Figure, n.From, err)
	}
	n.Fit, n.In, n.Run = fit, own[0].Unit, cmp.Or(n.Line.Run, own[0].Run)
	if last := fit.LargestPoint(); math.Abs(last.Size-n.Size) <= sameSize*n.Size {
		n.Value, n.Known = last.Value*f*n.Times, measured
		return nil
	}
	if v, there := between(fit.Points, n.Size); there {
		n.Value, n.Known = v*f*n.Times, measured
		return nil
	}
	n.Value, n.Known = math.Max(fit.Predict(n.Size), 0)*f*n.Times, bySlope
	if fit.Shape == regression.Undetermined || fit.Shape == regression.Sublinear {
		n.Known = byNone
	}
	return nil
}

// between gives what lies at a size between two that were measured.
func between(points []regression.Point, size float64) (v float64, there bool) {
	for i := 1; i < len(points); i++ {
		if a, b := points[i-1], points[i]; a.Size <= size && size <= b.Size {
			return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size), true
		}
	}
	return 0, false
}

// part is the need at a part of the coming size, by the fit.
func (n *Need) part(of float64) float64 { return n.Fit.Predict(n.Size*of) / n.Fit.Predict(n.Size) * n.Value }

// Ranking gives the needs with a limit, the worst first: what goes on all the time or in an event alike, each
// with the line that takes its place, if there is one.
func Ranking(needs []Need) []Need {
	var all []Need
	for _, n := range needs {
		if n.Most != nil && n.There() && n.If == "" && n.Instead == "" && n.Of == "" {
			all = append(all, n)
		}
	}
	slices.SortStableFunc(all, func(a, b Need) int { return cmp.Compare(b.Ratio, a.Ratio) })
	return all
}

// Instead gives the line that takes the place of one, if it was measured.
func Instead(needs []Need, name string) *Need {
	for i := range needs {
		if needs[i].Line.Instead == name && needs[i].There() {
			return &needs[i]
		}
	}
	return nil
}

// Refused gives the bounds that refuse what is coming, the furthest first.
func Refused(all []Refusal) []Refusal {
	var bad []Refusal
	for _, r := range all {
		if r.Most < r.Coming {
			bad = append(bad, r)
		}
	}
	slices.SortStableFunc(bad, func(a, b Refusal) int { return cmp.Compare(b.Coming/b.Most, a.Coming/a.Most) })
	return bad
}
