package experiment

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"willowdeck/internal/forecast"
	"willowdeck/internal/lab/emulator"
)

// Foresight is a loss of halls as it was projected, and as it was then played in the emulator with the same
// arrivals. Rates are a second; the measure is the mean from the loss until shares have moved.
type Foresight struct {
	Scenario        string
	Loss            forecast.Loss
	Seed            int64
	Asked           float64 // value
	Foretold, Found float64 // value lost, what is lost at once spread over the span
	Replayed        float64 // lost in a replay from the words alone, with another seed
	Loads           []Load
}

// Load is what a hall that is left runs, txns.
type Load struct {
	Hall            string
	Foretold, Found float64
}

// Error is by how much the value lost was foretold too high, of the value asked.
func (f *Foresight) Error() float64 { return (f.Foretold - f.Found) / f.Asked }

// LoadError is the same of the load of the hall that is furthest off, of that hall's load.
func (f *Foresight) LoadError() (most float64) {
	for _, l := range f.Loads {
		if e := (l.Foretold - l.Found) / math.Max(l.Found, 1); math.Abs(e) > math.Abs(most) {
			most = e
		}
	}
	return most
}

// faultKinds are how the emulator plays a loss.
var faultKinds = map[forecast.Kind]string{forecast.Whole: "hall", forecast.Keepers: "keepers",
	forecast.Links: "links", forecast.Slowed: "hall"}

// Rules are what operators of an emulated fleet would state of it.
func Rules(s *emulator.Scenario) forecast.Rules {
	r := forecast.Usual
	r.Cores, r.Way = float64(s.Workers.Cores), 3*s.Network.WorkerMS // a connection, the txn and its answer
	r.Tries, r.Back = s.Clients.Retries+1, s.Clients.BackMS
	return r
}

// faulted is a scenario with a loss from a moment on.
func faulted(s *emulator.Scenario, l forecast.Loss, at, slow float64) *emulator.Scenario {
	played := s.Clone()
	f := emulator.Fault{Kind: faultKinds[l.Kind], FromS: at, ToS: s.Seconds + 1000}
	others := emulator.Fault{Kind: "slow", FromS: at, ToS: s.Seconds + 1000, Factor: slow}
	for h := range s.Workers.Zones {
		if slices.Contains(l.Halls, fmt.Sprintf("hall%d", h)) {
			f.Halls = append(f.Halls, h)
		} else {
			others.Halls = append(others.Halls, h)
		}
	}
	if played.Faults = append(played.Faults, f); l.Kind == forecast.Slowed {
		played.Faults = append(played.Faults, others)
	}
	return played
}

// Foresee projects some losses from the words of an emulated fleet at a moment, in seconds, and plays each.
// With replay each is also played from the words alone, for comparison.
func Foresee(ctx context.Context, s *emulator.Scenario, seed int64, at float64, losses []forecast.Loss,
	replay bool) ([]Foresight, *forecast.Outlook, error) {
	rules := Rules(s)
	before, words, err := emulator.RunWords(ctx, s, seed, at)
	if err != nil {
		return nil, nil, err
	}
	o := forecast.Project(words, rules)
	until := min(at+o.Moved/1000, s.Seconds)
	var all []Foresight
	var like *emulator.Scenario
	var calm *emulator.Result
	if replay {
		if like = likeness(words, rules, s); like == nil {
			return nil, nil, fmt.Errorf("replay: %s", strings.Join(o.Unknown, "; "))
		}
		if calm, err = emulator.Run(ctx, like, seed+1e6); err != nil {
			return nil, nil, err
		}
	}
	for _, l := range losses {
		i := slices.IndexFunc(o.Losses, func(c forecast.Cost) bool { return c.Loss.Same(l) })
		if i < 0 {
			return nil, nil, fmt.Errorf("loss of %s: not projected: %s", strings.Join(l.Halls, ", "),
				strings.Join(o.Unknown, "; "))
		}
		after, err := emulator.Run(ctx, faulted(s, l, at, rules.Slow), seed)
		if err != nil {
			return nil, nil, err
		}
		f := held(&o.Losses[i], before, after, seed, at, until)
		if replay {
			again, err := emulator.Run(ctx, faulted(like, l, at, rules.Slow), seed+1e6)
			if err != nil {
				return nil, nil, err
			}
			f.Replayed = held(&o.Losses[i], calm, again, seed, at, until).Found
		}
		all = append(all, f)
	}
	return all, o, nil
}

// likeness is a scenario as words alone show it: what they do not show (queues, how long clients wait, how
// news travels) is as a scenario has it that stands for an operator's knowledge.
func likeness(words []*forecast.Word, r forecast.Rules, known *emulator.Scenario) *emulator.Scenario {
	l := forecast.Liken(words, r)
	if l == nil {
		return nil
	}
	s := known.Clone()
	s.Faults, s.Shapes, s.Trace = nil, nil, ""
	s.Workers.Zones, s.Workers.Count = len(l.Halls), 0
	for _, n := range l.Workers {
		s.Workers.Count += n
	}
	s.Workers.Exponential, s.Workers.Spread = false, math.Sqrt(math.Log(1+l.CV2))
	s.Workers.ServiceMS = l.Service[0] / math.Sqrt(1+l.CV2)
	s.Network.WorkerMS, s.Network.AcrossMS = r.Way/3, l.Across/3
	for i := range s.Products {
		s.Products[i].Work = l.Service[i] / l.Service[0]
		s.Products[i].Weight = 0
		for _, p := range l.Plans {
			s.Products[i].Weight += p.Products[i]
		}
	}
	for i, p := range l.Plans {
		q := &s.Plans[i]
		q.Customers, q.Spread, q.Units, q.Skew = int(math.Round(p.Customers)), p.Spread, 2*p.Size-1, 0
		q.Asks = p.Asked * p.Size / float64(q.Customers) / q.Rate
	}
	return s
}

// held holds what was projected against what came.
func held(c *forecast.Cost, before, after *emulator.Result, seed int64, at, until float64) Foresight {
	f := Foresight{Scenario: before.Scenario, Loss: c.Loss, Seed: seed}
	secs := until - at
	ran := make([]float64, len(c.First.Halls))
	for i := int(at); i < int(until); i++ {
		f.Asked += before.Seconds[i].Offered / secs
		f.Found += (before.Seconds[i].Served - after.Seconds[i].Served) / secs
		for h, n := range after.Seconds[i].Ran {
			ran[h] += n / secs
		}
	}
	f.Foretold = c.First.Lost + c.AtOnce/secs
	for h, x := range c.First.Halls {
		if x.Workers > 0 {
			f.Loads = append(f.Loads, Load{x.Name, x.Run, ran[h]})
		}
	}
	return f
}

// foresightColumns are those of a table of foresights.
var foresightColumns = []string{"scenario", "gatekeepers", "asks", "loss", "halls", "seed", "asked",
	"foretold", "found", "error", "replayed", "replay_error", "load_error"}

// Foresights are those of one scenario and load.
type Foresights struct {
	Gatekeepers int
	Asks        float64 // of the scenario's own asking
	All         []Foresight
}

// WriteForesights writes a table of losses as foretold and found.
func WriteForesights(path string, all []Foresights) error {
	return whole(path, func(w io.Writer) error {
		out := csv.NewWriter(w)
		_ = out.Write(foresightColumns)
		num := func(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
		for _, g := range all {
			for i := range g.All {
				f := &g.All[i]
				_ = out.Write([]string{f.Scenario, strconv.Itoa(g.Gatekeepers), num(g.Asks), f.Loss.Kind.String(),
					strings.Join(f.Loss.Halls, " "), strconv.FormatInt(f.Seed, 10), num(f.Asked), num(f.Foretold),
					num(f.Found), num(f.Error()), num(f.Replayed), num((f.Replayed - f.Found) / f.Asked),
					num(f.LoadError())})
			}
		}
		out.Flush()
		return out.Error()
	})
}

// ChartForesights draws the value lost as foretold over what was found, both as parts of the value asked, by
// the number of gatekeepers.
func ChartForesights(path string, all []Foresights) error {
	curves := []Curve{{Name: "as found", X: []float64{0, 1}, Y: []float64{0, 1}}}
	for _, g := range all {
		name := fmt.Sprintf("foretold, %d gatekeepers", g.Gatekeepers)
		i := slices.IndexFunc(curves, func(c Curve) bool { return c.Name == name })
		if i < 0 {
			i = len(curves)
			curves = append(curves, Curve{Name: name})
		}
		for _, f := range g.All {
			curves[i].X = append(curves[i].X, f.Found/f.Asked)
			curves[i].Y = append(curves[i].Y, f.Foretold/f.Asked)
		}
	}
	return Points("value lost, of the value asked (simulated)", "found", "foretold", curves, path)
}
