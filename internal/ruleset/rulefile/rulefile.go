// Package rulefile encodes and decodes the rules of package ruleset as TOML, their only file format. It has
// no state, and its only I/O is reading the file in Read.
package rulefile

import (
	"bytes"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/strictoml"
)

// The default values of keys that a file leaves out, and the limit of its size.
const (
	// DefaultLeaseMillis plus the write delay and the clock drift is well below DefaultConflictBoundMillis.
	DefaultLeaseMillis      = 1000.0
	DefaultFallbackFraction = 0.5     // so that a rate limit may be halved at once despite fallbacks in use
	DefaultFallbackMillis   = 10000.0 // longer than a daemon's restart or an election takes
	MaxFileBytes            = 4 << 20 // enough for the longest rules that pass ruleset.Validate
	millisPerSecond         = 1000.0
)

// rulesTOML is the rules file. Operators write its keys, so they stay.
type rulesTOML struct {
	Format              int      `toml:"form"`
	Needs               []string `toml:"needs"`
	LeaseMillis         float64  `toml:"lease_ms"`
	ConflictBoundMillis float64  `toml:"bound_ms"`
	Fallback            struct {
		Fraction       float64 `toml:"part"`
		DurationMillis float64 `toml:"for_ms"`
	} `toml:"fallback"`
	Plans           []planTOML     `toml:"plans"`
	Members         []memberTOML   `toml:"members"`
	WorkerOverrides []overrideTOML `toml:"words"`
}

type planTOML struct {
	Name          string  `toml:"name"`
	Rate          float64 `toml:"rate"`
	Burst         float64 `toml:"burst"`
	CeilingRate   float64 `toml:"ceiling_rate"`
	CeilingDepth  float64 `toml:"ceiling_depth"`
	CreditSeconds float64 `toml:"credit_s"`
	RepaySeconds  float64 `toml:"repay_s"`
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

// Read reads and validates a rules file. An error names the file, and the line or the key.
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

// Decode decodes and validates the text of a rules file. An error names the line or the key.
func Decode(text string) (ruleset.Rules, error) {
	if len(text) > MaxFileBytes {
		return ruleset.Rules{}, fmt.Errorf("%d bytes are more than %d", len(text), MaxFileBytes)
	}
	parsed := rulesTOML{Format: ruleset.SupportedFormat, LeaseMillis: DefaultLeaseMillis,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis}
	parsed.Fallback.Fraction, parsed.Fallback.DurationMillis = DefaultFallbackFraction, DefaultFallbackMillis
	if err := strictoml.Decode(text, &parsed); err != nil {
		return ruleset.Rules{}, err
	}
	rules := ruleset.Rules{
		Format:              parsed.Format,
		Needs:               parsed.Needs,
		Fallback:            ruleset.Fallback(parsed.Fallback),
		LeaseMillis:         parsed.LeaseMillis,
		ConflictBoundMillis: parsed.ConflictBoundMillis,
	}
	for _, plan := range parsed.Plans {
		rules.Plans = append(rules.Plans, ruleset.Plan{
			Name: plan.Name, Rate: plan.Rate, Burst: plan.Burst, CeilingRate: plan.CeilingRate,
			CeilingDepth: plan.CeilingDepth, CreditSeconds: plan.CreditSeconds,
			RepayMillis: plan.RepaySeconds * millisPerSecond,
		})
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

// Encode returns the text of a rules file, which Decode reads. Operators edit it to change the rules in
// force.
func Encode(rules *ruleset.Rules) (string, error) {
	file := rulesTOML{Format: rules.Format, Needs: rules.Needs, LeaseMillis: rules.LeaseMillis,
		ConflictBoundMillis: rules.ConflictBoundMillis}
	file.Fallback.Fraction, file.Fallback.DurationMillis = rules.Fallback.Fraction, rules.Fallback.DurationMillis
	for _, plan := range rules.Plans {
		file.Plans = append(file.Plans, planTOML{
			Name: plan.Name, Rate: plan.Rate, Burst: plan.Burst, CeilingRate: plan.CeilingRate,
			CeilingDepth: plan.CeilingDepth, CreditSeconds: plan.CreditSeconds,
			RepaySeconds: plan.RepayMillis / millisPerSecond,
		})
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
