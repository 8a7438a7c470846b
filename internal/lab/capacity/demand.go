package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"willowdeck/internal/lab/regression"
)

// Demand is the need of an entry of the spec at the planned size.
type Demand struct {
	*Entry
	Model        *regression.Model // fit in the unit of the measurement; nil where there is none
	MeasuredUnit string            // unit of the measurement
	Run          string
	PlannedSize  float64 // the planned number of what the entry grows with
	Value        float64 // at the planned size, in Entry.Unit
	Basis        string  // how the value is known: one of the basis constants
	Utilization  float64 // Value over Limit; zero without a limit
	Limit        *Limit
	AfterChange  *Demand // the same figure in runs with relays or in AfterRun; nil where none has it

	AfterChangeBasis string // its basis, also where it has no value

	runLabel string // of the run, on the page; assignRunLetters sets it
}

// The bases of a value, as the page prints them.
const (
	basisTooFewSizes  = "too few sizes"
	basisNoRun        = "no run"
	basisMeasured     = "measured"
	basisExtrapolated = "by slope"
	basisCalculated   = "worked out"
	basisGuess        = "a guess: no line holds; by slope"
	basisAssumed      = "assumed"
)

// sizeTolerance is the part by which a measured size may differ from the planned one.
const sizeTolerance = 0.02

// Available reports whether there is a value.
func (d *Demand) Available() bool { return d.Basis != basisNoRun && d.Basis != basisTooFewSizes }

// ComputeDemands computes the demand of each entry of a spec from the measurements. An error names the entry
// and the key.
func ComputeDemands(spec *Spec, rows []Row) ([]Demand, error) {
	var demands []Demand
	for i := range spec.Entries {
		demand, err := spec.demand(&spec.Entries[i], rows)
		if err != nil {
			return nil, fmt.Errorf("lines[%d] (%s).%w", i, spec.Entries[i].Name, err)
		}
		if demand.Figure != "" && !demand.onlyAfterChange() && !demand.ObsoleteAfterChange && demand.Available() {
			changed := spec.Entries[i]
			if changed.Distribution, changed.Run = distributionRelays, ""; changed.AfterRun != "" {
				changed.Distribution, changed.Run = distributionDirect, changed.AfterRun
			}
			after, err := spec.demand(&changed, rows)
			if err != nil {
				return nil, fmt.Errorf("lines[%d] (%s, %s).%w", i, changed.Name, distributionRelays, err)
			}
			if demand.AfterChangeBasis = after.Basis; after.Available() {
				demand.AfterChange = &after
			}
		}
		if len(demand.SumOf) > 0 {
			if err := demand.addUp(demands); err != nil {
				return nil, fmt.Errorf("lines[%d] (%s).%w", i, spec.Entries[i].Name, err)
			}
		}
		demands = append(demands, demand)
	}
	return demands, nil
}

// demand computes the demand of an entry other than a sum.
func (s *Spec) demand(entry *Entry, rows []Row) (Demand, error) {
	d := Demand{Entry: entry, PlannedSize: s.Planned[entry.SizeKey], Limit: s.limit(entry.LimitName),
		Basis: entry.DeclaredBasis}
	if len(entry.SumOf) > 0 {
		return d, nil
	}
	if entry.Figure == "" {
		d.Value = (entry.PerElement*d.PlannedSize + entry.Offset) * entry.Multiplier
	} else if err := d.fromMeasurements(s.Tolerance, rows); err != nil {
		return d, err
	}
	if d.Limit != nil && d.Available() {
		d.Utilization = d.Value / d.Limit.Max
	}
	return d, nil
}

// addUp sets the demand to the sum of the earlier ones that its entry names. Its demand after the change is
// the sum with those addends that the change affects.
func (d *Demand) addUp(earlier []Demand) error {
	afterChange := *d
	var changed []string // distributions of the addends that the change affects
	for i := range earlier {
		addend := &earlier[i]
		if !slices.Contains(d.SumOf, addend.Name) {
			continue
		}
		if addend.Unit != d.Unit {
			return fmt.Errorf("sum: %q is in %q", addend.Name, addend.Unit)
		}
		d.Value += addend.Value
		if afterChange.Value += addend.Value; addend.AfterChange != nil {
			afterChange.Value += addend.AfterChange.Value - addend.Value
			changed = append(changed, addend.AfterChange.Distribution)
		}
	}
	d.Basis = basisCalculated
	if d.Limit != nil {
		d.Utilization, afterChange.Utilization = d.Value/d.Limit.Max, afterChange.Value/d.Limit.Max
	}
	if afterChange.Basis = basisCalculated; len(changed) > 0 {
		afterChange.Entry = &Entry{}
		*afterChange.Entry = *d.Entry
		afterChange.Distribution = distributionDirect
		if slices.Contains(changed, distributionRelays) {
			afterChange.Distribution = distributionRelays
		}
		d.AfterChange = &afterChange
	}
	return nil
}

// fromMeasurements sets the value: as measured at the planned size or between two measured sizes, and else
// extrapolated by the fit.
func (d *Demand) fromMeasurements(tolerance float64, rows []Row) error {
	measurements := rowsOfEntry(d.Entry, rows)
	if len(measurements) == 0 {
		if d.Distribution == distributionDirect && !d.onlyAfterChange() { // today's distribution has to be measured
			return fmt.Errorf("figure: %q of a %s, %s, run %q: no measurement",
				d.Figure, d.MeasuredRole, d.Distribution, d.Entry.Run)
		}
		d.Basis = basisNoRun
		return nil
	}
	unit := measurements[0].Unit
	factor, err := conversionFactor(unit, d.Unit)
	if err != nil {
		return err
	}
	var points []regression.Point
	for _, r := range measurements {
		if r.Unit != unit {
			return fmt.Errorf("figure: %q is in %q and in %q", d.Figure, unit, r.Unit)
		}
		points = append(points, regression.Point{Size: r.Size, Value: r.Value})
	}
	d.Run = cmp.Or(d.Entry.Run, measurements[0].Run)
	model, err := regression.Fit(points, tolerance)
	if errors.Is(err, regression.ErrTooFewSizes) {
		d.Basis = basisTooFewSizes
		for _, p := range points {
			if d.isPlannedSize(p.Size) {
				d.Value, d.Basis = p.Value*factor*d.Multiplier, basisMeasured
			}
		}
		if d.Available() || d.Distribution != distributionDirect { // runs with relays may come one by one
			return nil
		}
	}
	if err != nil {
		return fmt.Errorf("figure: %q of a %s: %w", d.Figure, d.MeasuredRole, err)
	}
	d.Model, d.MeasuredUnit = model, unit
	d.fromModel(factor)
	return nil
}

// fromModel sets value and basis by the fit; factor converts the measurement's unit to the entry's.
func (d *Demand) fromModel(factor float64) {
	if largest := d.Model.LargestPoint(); d.isPlannedSize(largest.Size) {
		d.Value, d.Basis = largest.Value*factor*d.Multiplier, basisMeasured
		return
	}
	if value, ok := interpolate(d.Model.Points, d.PlannedSize); ok {
		d.Value, d.Basis = value*factor*d.Multiplier, basisMeasured
		return
	}
	d.Value, d.Basis = math.Max(d.Model.Predict(d.PlannedSize), 0)*factor*d.Multiplier, basisExtrapolated
	if d.Model.Shape == regression.Undetermined || d.Model.Shape == regression.Sublinear {
		d.Basis = basisGuess
	}
}

// isPlannedSize reports whether a measured size counts as the planned one.
func (d *Demand) isPlannedSize(size float64) bool {
	return math.Abs(size-d.PlannedSize) <= sizeTolerance*d.PlannedSize
}

// onlyAfterChange reports whether an entry has no value for the distribution in use today.
func (e *Entry) onlyAfterChange() bool {
	return e.Distribution != distributionDirect || e.AfterRun != "" && e.Run == e.AfterRun
}

// isOfRun reports whether a row is of a run, given as its name, or as name@commit where several have one
// name.
func (r *Row) isOfRun(run string) bool { return run == r.Run || run == r.Run+"@"+r.Commit }

// rowsOfEntry returns the measurements of an entry's figure: those of the run that the entry names, or of the
// last run that has it.
func rowsOfEntry(entry *Entry, rows []Row) (matching []Row) {
	for _, r := range rows {
		distribution := r.Distribution
		if distribution == distributionTrial && entry.MeasuredRole == roleGatekeeper {
			distribution = distributionDirect
		}
		if r.Role == entry.MeasuredRole && r.Figure == entry.Figure && distribution == entry.Distribution &&
			(entry.Run == "" || r.isOfRun(entry.Run)) {
			matching = append(matching, r)
		}
	}
	if len(matching) > 0 && entry.Run == "" {
		lastRun := matching[len(matching)-1].Run
		matching = slices.DeleteFunc(matching, func(r Row) bool { return r.Run != lastRun })
	}
	return matching
}

// interpolate returns the value at a size between two measured sizes; ok is false outside them.
func interpolate(points []regression.Point, size float64) (value float64, ok bool) {
	for i := 1; i < len(points); i++ {
		if lower, upper := points[i-1], points[i]; lower.Size <= size && size <= upper.Size {
			return lower.Value + (upper.Value-lower.Value)*(size-lower.Size)/(upper.Size-lower.Size), true
		}
	}
	return 0, false
}

// valueAtFraction returns the value at a fraction of the planned size, by the fit.
func (d *Demand) valueAtFraction(fraction float64) float64 {
	return d.Model.Predict(d.PlannedSize*fraction) / d.Model.Predict(d.PlannedSize) * d.Value
}
