package distribution

import (
	"slices"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// maxSubsetIndexes bounds the retained versions that have an index, of 2.5 MB at 7,900 members each. Older
// versions are rarely asked for, and theirs are built anew.
const maxSubsetIndexes = 4

// retainedVersion is a state that deltas can be made from.
type retainedVersion struct {
	state       *versioned.State
	subsetIndex *ruleset.StateIndex // finds subsets of the state; nil: not built
}

func (v *retainedVersion) subset(interest ruleset.Interest) *ruleset.StateSubset {
	if v.subsetIndex == nil {
		v.subsetIndex = ruleset.NewStateIndex(v.state)
	}
	return v.subsetIndex.Subset(interest)
}

// selection is the part of a snapshot that one interest needs.
type selection struct {
	rules, pending *ruleset.StateSubset
	pendingDelta   *versioned.Delta // of pending against rules
}

// versionPair names a delta.
type versionPair struct{ from, to versioned.VersionID }

// versionCache holds the states of the current snapshot and of earlier ones, with the selections and deltas
// that were made of them. It is owned by one Source.
type versionCache struct {
	maxVersions, maxSelections int

	rules, pending *versioned.State   // of the current snapshot
	versions       []*retainedVersion // the latest first
	selections     map[ruleset.Interest]*selection
	// previousSelections are those of the snapshot before, which most requesters have.
	previousSelections map[ruleset.Interest]*selection
	deltas             map[versionPair]*versioned.Delta
}

func newVersionCache(maxVersions, maxSelections int) versionCache {
	return versionCache{
		maxVersions:   maxVersions,
		maxSelections: maxSelections,
		selections:    map[ruleset.Interest]*selection{},
		deltas:        map[versionPair]*versioned.Delta{},
	}
}

// replace makes states the current ones. Pending may be nil.
func (c *versionCache) replace(rules, pending *versioned.State) {
	c.rules, c.pending = rules, pending
	c.previousSelections, c.selections = c.selections, map[ruleset.Interest]*selection{}
	clear(c.deltas)
	c.retain(pending)
	c.retain(rules)
}

// retain makes a state the latest one, and drops what is beyond the bounds.
func (c *versionCache) retain(state *versioned.State) {
	if state == nil {
		return
	}
	version := &retainedVersion{state: state}
	sameID := func(v *retainedVersion) bool { return v.state.ID() == state.ID() }
	if i := slices.IndexFunc(c.versions, sameID); i >= 0 {
		version = c.versions[i]
		c.versions = slices.Delete(c.versions, i, i+1)
	}
	c.versions = slices.Insert(c.versions, 0, version)
	if len(c.versions) > c.maxVersions {
		c.versions = slices.Delete(c.versions, c.maxVersions, len(c.versions))
	}
	for _, old := range c.versions[min(maxSubsetIndexes, len(c.versions)):] {
		old.subsetIndex = nil
	}
}

// retained gives the version with an ID; nil where it is not retained.
func (c *versionCache) retained(id versioned.VersionID) *retainedVersion {
	for _, v := range c.versions {
		if v.state.ID() == id {
			return v
		}
	}
	return nil
}

// selection gives what an interest needs of the current states.
func (c *versionCache) selection(interest ruleset.Interest) *selection {
	if cached := c.selections[interest]; cached != nil {
		return cached
	}
	s := &selection{rules: c.retained(c.rules.ID()).subset(interest)}
	if c.pending != nil {
		s.pending = c.retained(c.pending.ID()).subset(interest)
		s.pendingDelta = c.delta(s.rules, s.pending)
	}
	if len(c.selections) < c.maxSelections {
		c.selections[interest] = s
	}
	return s
}

// delta gives what makes one subset of another; from nil it is a full state.
func (c *versionCache) delta(from, to *ruleset.StateSubset) *versioned.Delta {
	key := versionPair{from.ID(), to.ID()}
	d := c.deltas[key]
	if d == nil {
		d = to.DeltaFrom(from)
		if len(c.deltas) < c.maxSelections {
			c.deltas[key] = d
		}
	}
	return d
}

// baseSubset gives the subset with an ID that an interest needed of a retained version; nil: there is
// none.
func (c *versionCache) baseSubset(id versioned.VersionID, interest ruleset.Interest) *ruleset.StateSubset {
	if id.IsNone() {
		return nil
	}
	if previous := c.previousSelections[interest]; previous != nil {
		for _, subset := range []*ruleset.StateSubset{previous.rules, previous.pending} {
			if subset.ID() == id {
				return subset
			}
		}
	}
	for _, v := range c.versions {
		if v.state.ID().Number == id.Number {
			if subset := v.subset(interest); subset.ID() == id {
				return subset
			}
		}
	}
	return nil
}
