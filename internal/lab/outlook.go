package lab

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"

	"willowdeck/internal/emu"
	"willowdeck/internal/outlook"
)

// Foresight is a loss of halls as it was projected, and as it was then played in the emulator with the same
// arrivals. Rates are a second; the measure is the mean from the loss until shares have moved.
type Foresight struct {
	Scenario        string
	Loss            outlook.Loss
	Seed            int64
	Asked           float64 // value
	Foretold, Found float64 // value lost, what is lost at once spread over the span
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
var faultKinds = map[outlook.Kind]string{outlook.Whole: "hall", outlook.Keepers: "keepers",
	outlook.Links: "links", outlook.Slowed: "hall"}

// Rules are what operators of an emulated fleet would state of it.
func Rules(s *emu.Scenario) outlook.Rules {
	r := outlook.Usual
	r.Cores, r.Way = float64(s.Workers.Cores), 3*s.Network.WorkerMS // a connection, the txn and its answer
	r.Tries, r.Back = s.Clients.Retries+1, s.Clients.BackMS
	return r
}

// Foresee projects some losses from the words of an emulated fleet at a moment, in seconds, and plays each.
func Foresee(ctx context.Context, s *emu.Scenario, seed int64, at float64,
	losses []outlook.Loss) ([]Foresight, *outlook.Outlook, error) {
	rules := Rules(s)
	before, words, err := emu.RunWords(ctx, s, seed, at)
	if err != nil {
		return nil, nil, err
	}
	o := outlook.Project(words, rules)
	until := min(at+o.Moved/1000, s.Seconds)
	var all []Foresight
	for _, l := range losses {
		i := slices.IndexFunc(o.Losses, func(c outlook.Cost) bool {
			return c.Loss.Kind == l.Kind && slices.Equal(c.Loss.Halls, l.Halls)
		})
		if i < 0 {
			return nil, nil, fmt.Errorf("loss of %s: not projected: %s", strings.Join(l.Halls, ", "),
				strings.Join(o.Unknown, "; "))
		}
		played := s.Clone()
		f := emu.Fault{Kind: faultKinds[l.Kind], FromS: at, ToS: s.Seconds + 1000}
		slow := emu.Fault{Kind: "slow", FromS: at, ToS: s.Seconds + 1000, Factor: rules.Slow}
		for h := range s.Workers.Zones {
			if slices.Contains(l.Halls, fmt.Sprintf("hall%d", h)) {
				f.Halls = append(f.Halls, h)
			} else {
				slow.Halls = append(slow.Halls, h)
			}
		}
		if played.Faults = append(played.Faults, f); l.Kind == outlook.Slowed {
			played.Faults = append(played.Faults, slow)
		}
		after, err := emu.Run(ctx, played, seed)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, held(&o.Losses[i], before, after, seed, at, until))
	}
	return all, o, nil
}

// held holds what was projected against what came.
func held(c *outlook.Cost, before, after *emu.Result, seed int64, at, until float64) Foresight {
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
