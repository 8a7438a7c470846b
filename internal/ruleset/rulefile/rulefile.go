// Package rulefile is the one file form of the rules that gatekeepers agree on.
package rulefile

import (
	"bytes"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/strictoml"
)

// What a file need not name.
const (
	Lease   = 1000.0  // ms: with the step and drift it keeps a bound well under two seconds
	Part    = 0.5     // of a ceiling's part: ceilings may be halved at once, whoever is cut off
	For     = 10000.0 // ms: longer than a daemon's restart or a new leader takes
	MostOf  = 4 << 20 // bytes of a file; the longest rules that pass ruleset.Check fit
	seconds = 1000.0  // ms in one
)

// file is the rules as their file says them.
type file struct {
	Form     int      `toml:"form"`
	Needs    []string `toml:"needs"`
	LeaseMS  float64  `toml:"lease_ms"`
	BoundMS  float64  `toml:"bound_ms"`
	Fallback struct {
		Part  float64 `toml:"part"`
		ForMS float64 `toml:"for_ms"`
	} `toml:"fallback"`
	Plans   []plan   `toml:"plans"`
	Members []member `toml:"members"`
	Words   []word   `toml:"words"`
}

type plan struct {
	Name         string  `toml:"name"`
	Rate         float64 `toml:"rate"`
	Burst        float64 `toml:"burst"`
	CeilingRate  float64 `toml:"ceiling_rate"`
	CeilingDepth float64 `toml:"ceiling_depth"`
	CreditS      float64 `toml:"credit_s"`
	RepayS       float64 `toml:"repay_s"`
}

type member struct {
	Name  string `toml:"name"`
	Host  string `toml:"host"`
	Peers string `toml:"peers"`
}

type word struct {
	Worker  string  `toml:"worker"`
	Hall    string  `toml:"hall"`
	Barred  bool    `toml:"barred"`
	Drained bool    `toml:"drained"`
	Weight  float64 `toml:"weight"`
}

// Read reads and checks rules. An error names the file, and the line or the key.
func Read(path string) (ruleset.Rules, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return ruleset.Rules{}, err
	}
	r, err := Decode(string(raw))
	if err != nil {
		return ruleset.Rules{}, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Decode takes rules from a file's text. An error names the line or the key.
func Decode(text string) (ruleset.Rules, error) {
	if len(text) > MostOf {
		return ruleset.Rules{}, fmt.Errorf("%d bytes are more than %d", len(text), MostOf)
	}
	f := file{Form: ruleset.Form, LeaseMS: Lease, BoundMS: ruleset.MostBound}
	f.Fallback.Part, f.Fallback.ForMS = Part, For
	if err := strictoml.Decode(text, &f); err != nil {
		return ruleset.Rules{}, err
	}
	r := ruleset.Rules{Form: f.Form, Needs: f.Needs, Lease: f.LeaseMS, Bound: f.BoundMS,
		Fallback: ruleset.Fallback{Part: f.Fallback.Part, For: f.Fallback.ForMS}}
	for _, p := range f.Plans {
		r.Plans = append(r.Plans, ruleset.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst,
			CeilingRate: p.CeilingRate, CeilingDepth: p.CeilingDepth, Credit: p.CreditS, Repay: p.RepayS * seconds})
	}
	for _, m := range f.Members {
		r.Members = append(r.Members, ruleset.Member(m))
	}
	for _, w := range f.Words {
		r.Words = append(r.Words, ruleset.Word(w))
	}
	if err := ruleset.Check(&r); err != nil {
		return ruleset.Rules{}, err
	}
	return r, nil
}

// Encode is rules as a file's text, which Decode takes: for operators that change what is in force.
func Encode(r *ruleset.Rules) (string, error) {
	f := file{Form: r.Form, Needs: r.Needs, LeaseMS: r.Lease, BoundMS: r.Bound}
	f.Fallback.Part, f.Fallback.ForMS = r.Fallback.Part, r.Fallback.For
	for _, p := range r.Plans {
		f.Plans = append(f.Plans, plan{p.Name, p.Rate, p.Burst, p.CeilingRate, p.CeilingDepth, p.Credit,
			p.Repay / seconds})
	}
	for _, m := range r.Members {
		f.Members = append(f.Members, member(m))
	}
	for _, w := range r.Words {
		f.Words = append(f.Words, word(w))
	}
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.Indent = ""
	err := e.Encode(f)
	return b.String(), err
}
