package pathhealth

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns a map's keys in a fixed order, so that equal histories have equal outcomes.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
