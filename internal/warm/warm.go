// Package warm decides what an instance that has just started believes of what running ones know of
// workers. It is free of I/O.
package warm

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Version is of the message. Those of another are not read.
const Version = 1

const (
	// Oldest is how old a fact may be, ms: a jam or a restart of a worker is over by then, as often as not.
	Oldest = 10000.0
	// Weight is the part of own sight that hearsay counts as: a peer that is wrong about a worker then keeps
	// fewer txns from it, and for a shorter while.
	Weight = 0.7
	// MostFacts bounds a message: ten times the workers of a large fleet.
	MostFacts = 10000
	mostScore = 100.0
	longest   = 1e6 // ms; no answer takes so long
)

// Fact is what one instance knows of one worker.
type Fact struct {
	Worker   string  `json:"worker"`
	Since    float64 `json:"since"`    // start of its process as the list told it, Unix ms; 0 long ago
	Distrust float64 `json:"distrust"` // as it is now
	Pace     float64 `json:"pace"`     // ms of a usual answer; 0 is not known
	Age      float64 `json:"age"`      // ms since the worker was last heard or found silent
}

// Message is what one instance says.
type Message struct {
	Version int    `json:"version"`
	From    string `json:"from"`
	Facts   []Fact `json:"facts"`
}

// Check tells why a message can't be believed.
func (m *Message) Check() error {
	switch {
	case m.Version != Version:
		return fmt.Errorf("version: %d is not %d", m.Version, Version)
	case len(m.Facts) > MostFacts:
		return errors.New("facts: too many")
	}
	for i, f := range m.Facts {
		for _, v := range [...]struct {
			key     string
			v, most float64
		}{{"since", f.Since, math.MaxFloat64}, {"distrust", f.Distrust, mostScore}, {"pace", f.Pace, longest},
			{"age", f.Age, math.MaxFloat64}} {
			if !(v.v >= 0) || v.v > v.most {
				return fmt.Errorf("facts[%d].%s: %v", i, v.key, v.v)
			}
		}
		if f.Worker == "" {
			return fmt.Errorf("facts[%d].worker: there is none", i)
		}
	}
	return nil
}

// Merge gives what is believed of some messages by one that has the workers of a list, by name with the
// starts of their processes: at most one fact a worker, the newest; in the order of their names.
func Merge(all []Message, list map[string]float64) []Fact {
	best := map[string]Fact{}
	for i := range all {
		if all[i].Check() != nil {
			continue
		}
		for _, f := range all[i].Facts {
			since, listed := list[f.Worker]
			if !listed || since != f.Since || f.Age > Oldest { // the list's word on its life beats any peer's
				continue
			}
			if old, known := best[f.Worker]; !known || f.Age < old.Age {
				best[f.Worker] = f
			}
		}
	}
	var out []Fact
	for _, f := range best {
		f.Distrust *= Weight
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fact) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return out
}
