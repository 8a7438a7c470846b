package ruleset

import (
	"fmt"
	"slices"
)

// supportedFeatures are what this program supports beyond the keys that every version has known.
var supportedFeatures = [...]string{FeatureManyMembers}

// SupportsFeature tells whether this program supports a feature that Rules.Needs may name.
func SupportsFeature(feature string) bool { return slices.Contains(supportedFeatures[:], feature) }

// UnsupportedFeature names the first thing that rules need and this program does not support; empty if there
// is none.
func UnsupportedFeature(rules *Rules) string {
	if rules.Format != SupportedFormat {
		return fmt.Sprintf("form %d", rules.Format)
	}
	for _, need := range rules.Needs {
		if !SupportsFeature(need) {
			return need
		}
	}
	return ""
}
