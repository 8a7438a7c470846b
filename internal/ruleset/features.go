package ruleset

import (
	"fmt"
	"slices"
)

// supportedFeatures are the features that this program supports beyond the keys that every version of it has
// supported.
var supportedFeatures = [...]string{FeatureManyMembers}

// SupportsFeature reports whether this program supports a feature that Rules.Needs may name.
func SupportsFeature(feature string) bool { return slices.Contains(supportedFeatures[:], feature) }

// UnsupportedFeature names the first requirement of rules, a format or a feature, that this program does not
// support; empty if there is none.
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
