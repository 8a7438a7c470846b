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
	DefaultLeaseMillis      = 1000.0  // ms: with the step and drift it keeps a bound well under two seconds
	DefaultFallbackFraction = 0.5     // of a ceiling's part: ceilings may be halved at once, whoever is cut off
	DefaultFallbackMillis   = 10000.0 // ms: longer than a daemon's restart or a new leader takes
	MaxFileBytes            = 4 << 20 // bytes of a file; the longest rules that pass ruleset.Check fit
	millisPerSecond         = 1000.0  // ms in one
)

// file is the rules as their file says them.
type rulesTOML struct {
	Format   int      `toml:"form"`
	Needs    []string `toml:"needs"`
	LeaseMS  float64  `toml:"lease_ms"`
	BoundMS  float64  `toml:"bound_ms"`
	Fallback struct {
		Part  float64 `toml:"part"`
		ForMS float64 `toml:"for_ms"`
	} `toml:"fallback"`
	Plans           []planTOML     `toml:"plans"`
	Members         []memberTOML   `toml:"members"`
	WorkerOverrides []overrideTOML `toml:"words"`
}

type planTOML struct {
	Name         string  `toml:"name"`
	Rate         float64 `toml:"rate"`
	Burst        float64 `toml:"burst"`
	CeilingRate  float64 `toml:"ceiling_rate"`
	CeilingDepth float64 `toml:"ceiling_depth"`
	CreditS      float64 `toml:"credit_s"`
	RepayS       float64 `toml:"repay_s"`
}

type memberTOML struct {
	Name  string `toml:"name"`
	Host  string `toml:"host"`
	Peers string `toml:"peers"`
}

type overrideTOML struct {
	Worker  string  `toml:"worker"`
	Region  string  `toml:"hall"`
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
	rules, err := Decode(string(raw))
	if err != nil {
		return ruleset.Rules{}, fmt.Errorf("%s: %w", path, err)
	}
	return rules, nil
}

// Decode takes rules from a file's text. An error names the line or the key.
func Decode(text string) (ruleset.Rules, error) {
	if len(text) > MaxFileBytes {
		return ruleset.Rules{}, fmt.Errorf("%d bytes are more than %d", len(text), MaxFileBytes)
	}
	parsed := rulesTOML{Format: ruleset.SupportedFormat, LeaseMS: DefaultLeaseMillis,
		BoundMS: ruleset.DefaultConflictBoundMillis}
	parsed.Fallback.Part, parsed.Fallback.ForMS = DefaultFallbackFraction, DefaultFallbackMillis
	if err := strictoml.Decode(text, &parsed); err != nil {
		return ruleset.Rules{}, err
	}
	rules := ruleset.Rules{Format: parsed.Format, Needs: parsed.Needs, LeaseMillis: parsed.LeaseMS,
		ConflictBoundMillis: parsed.BoundMS,
		Fallback: ruleset.Fallback{Fraction: parsed.Fallback.Part,
			DurationMillis: parsed.Fallback.ForMS}}
	for _, plan := range parsed.Plans {
		rules.Plans = append(rules.Plans, ruleset.Plan{Name: plan.Name, Rate: plan.Rate, Burst: plan.Burst,
			CeilingRate: plan.CeilingRate, CeilingDepth: plan.CeilingDepth, CreditSeconds: plan.CreditS,
			RepayMillis: plan.RepayS * millisPerSecond})
	}
	for _, member := range parsed.Members {
		rules.Members = append(rules.Members, ruleset.Member(member))
	}
	for _, override := range parsed.WorkerOverrides {
		rules.WorkerOverrides = append(rules.WorkerOverrides, ruleset.WorkerOverride(override))
	}
	if err := ruleset.Validate(&rules); err != nil {
		return ruleset.Rules{}, err
	}
	return rules, nil
}

// Encode is rules as a file's text, which Decode takes: for operators that change what is in force.
func Encode(rules *ruleset.Rules) (string, error) {
	file := rulesTOML{Format: rules.Format, Needs: rules.Needs, LeaseMS: rules.LeaseMillis,
		BoundMS: rules.ConflictBoundMillis}
	file.Fallback.Part, file.Fallback.ForMS = rules.Fallback.Fraction, rules.Fallback.DurationMillis
	for _, plan := range rules.Plans {
		file.Plans = append(file.Plans, planTOML{plan.Name, plan.Rate, plan.Burst, plan.CeilingRate,
			plan.CeilingDepth, plan.CreditSeconds,
			plan.RepayMillis / millisPerSecond})
	}
	for _, member := range rules.Members {
		file.Members = append(file.Members, memberTOML(member))
	}
	for _, override := range rules.WorkerOverrides {
		file.WorkerOverrides = append(file.WorkerOverrides, overrideTOML(override))
	}
	var text bytes.Buffer
	encoder := toml.NewEncoder(&text)
	encoder.Indent = ""
	err := encoder.Encode(file)
	return text.String(), err
}
