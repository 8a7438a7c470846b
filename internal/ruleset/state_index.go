package ruleset

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"willowdeck/internal/versioned"
)

// Interest selects the part of a version that a receiver needs. The part has the header, all plans and
// overrides, the members of a host, the member of a name, and the members up to Around indexes before and
// after each of these. The indexes form a ring, on which instances share customers with their neighbours. The
// zero Interest selects no members. It is sent as a CBOR array: the order of the fields is the encoding.
type Interest struct {
	_      struct{} `cbor:",toarray"`
	All    bool     // the whole version, including entries that this program does not support
	Host   string
	Name   string
	Around int
}

// StateIndex indexes the members of a state by name and host. With it the IDs of subsets and the deltas
// between subsets are computed without building the subsets. It is immutable and safe for concurrent use.
type StateIndex struct {
	state         *versioned.State
	memberCount   int               // number of indexes, vacant ones included
	common        []versioned.Entry // the entries of every subset, sorted by key
	commonDigest  versioned.Digest
	commonBytes   int
	members       []versioned.Entry // by member index; a vacant index has an empty key
	memberDigests []versioned.Digest
	indexByName   map[string]int32
	indexesByHost map[string][]int32
}

// StateSubset is the part of a state that an Interest selects. It is immutable.
type StateSubset struct {
	index         *StateIndex
	all           bool    // the subset is the whole state
	memberIndexes []int32 // ascending
	id            versioned.VersionID
	bytes         int
}

// Check validates an interest received from another process.
func (i Interest) Check() error {
	if len(i.Host) > maxNameBytes || len(i.Name) > maxNameBytes || i.Around < 0 || i.Around > maxMembers {
		return fmt.Errorf("interest: names of %d and %d bytes, %d around", len(i.Host), len(i.Name), i.Around)
	}
	return nil
}

// NewStateIndex indexes a state. If the header can't be decoded, subsets have only the common entries. In
// this way rules of a later format are still forwarded.
func NewStateIndex(s *versioned.State) *StateIndex {
	header, _ := decodeHeader(s)
	x := &StateIndex{state: s, memberCount: min(max(header.Members, 0), maxMembers)}
	x.indexByName = make(map[string]int32, x.memberCount)
	x.indexesByHost = make(map[string][]int32, x.memberCount)
	x.members = make([]versioned.Entry, x.memberCount)
	x.memberDigests = make([]versioned.Digest, x.memberCount)
	for key, raw := range s.All() {
		entry := versioned.Entry{Key: key, Value: raw}
		if !strings.HasPrefix(key, memberKey) {
			x.common = append(x.common, entry)
			x.commonDigest = x.commonDigest.Add(entry.Digest())
			x.commonBytes += len(key) + len(raw)
			continue
		}
		i, err := parseIndexedKey(memberKey, memberDigits, key, x.memberCount)
		var m Member
		if err == nil && headerDecMode.Unmarshal(raw, &m) == nil {
			x.members[i], x.memberDigests[i] = entry, entry.Digest()
			x.indexByName[m.Name] = int32(i)
			x.indexesByHost[m.Host] = append(x.indexesByHost[m.Host], int32(i))
		}
	}
	return x
}

// Subset returns the part that an interest selects, with the number of the state. A subset of a subset equals
// the subset of the whole state if the first subset has all members that the second selects.
func (x *StateIndex) Subset(interest Interest) *StateSubset {
	subset := &StateSubset{index: x}
	switch i, found := x.indexByName[interest.Name]; {
	case interest.All:
		subset.all, subset.id, subset.bytes = true, x.state.ID(), x.state.Bytes()
		return subset
	case found && interest.Name != "":
		subset.addNeighbours(i, interest.Around)
	}
	if interest.Host != "" {
		for _, i := range x.indexesByHost[interest.Host] {
			subset.addNeighbours(i, interest.Around)
		}
	}
	slices.Sort(subset.memberIndexes)
	subset.memberIndexes = slices.Compact(subset.memberIndexes)
	subset.id = versioned.VersionID{Number: x.state.ID().Number, Digest: x.commonDigest}
	subset.bytes = x.commonBytes
	for _, i := range subset.memberIndexes {
		entry := x.members[i]
		subset.id.Digest = subset.id.Digest.Add(x.memberDigests[i])
		subset.bytes += len(entry.Key) + len(entry.Value)
	}
	return subset
}

// addNeighbours adds the member at an index and the members around it on the ring.
func (p *StateSubset) addNeighbours(centre int32, around int) {
	memberCount := p.index.memberCount
	around = min(max(around, 0), memberCount/2)
	for i := int(centre) - around; i <= int(centre)+around; i++ {
		if index := ((i % memberCount) + memberCount) % memberCount; p.index.members[index].Key != "" {
			p.memberIndexes = append(p.memberIndexes, int32(index))
		}
	}
}

// ID returns the number of the state and the digest of the subset; zero for a nil subset.
func (p *StateSubset) ID() versioned.VersionID {
	if p == nil {
		return versioned.VersionID{}
	}
	return p.id
}

// Bytes returns the total size of the keys and values.
func (p *StateSubset) Bytes() int { return p.bytes }

// entries returns all entries, sorted by key; none for a nil subset.
func (p *StateSubset) entries() []versioned.Entry {
	if p == nil {
		return nil
	}
	entries := make([]versioned.Entry, 0, len(p.index.common)+len(p.memberIndexes))
	entries = append(entries, p.index.common...)
	for _, i := range p.memberIndexes {
		entries = append(entries, p.index.members[i])
	}
	slices.SortFunc(entries, func(a, b versioned.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// State builds the subset as a state; nil for a nil subset.
func (p *StateSubset) State() *versioned.State {
	switch {
	case p == nil:
		return nil
	case p.all:
		return p.index.state
	}
	return versioned.New(p.id.Number, p.entries())
}

// DeltaFrom returns the delta from another subset, which may be nil for an empty one.
func (p *StateSubset) DeltaFrom(from *StateSubset) *versioned.Delta {
	if p.all || from != nil && from.all {
		return versioned.Diff(from.State(), p.State())
	}
	delta := &versioned.Delta{From: from.ID(), To: p.id}
	if from == nil {
		delta.Set = p.entries()
		return delta
	}
	if from.index != p.index {
		delta.Set, delta.Delete = appendChanges(delta.Set, delta.Delete, from.index.common, p.index.common)
	}
	previous := from.memberIndexes
	for _, i := range p.memberIndexes {
		for ; len(previous) > 0 && previous[0] < i; previous = previous[1:] {
			delta.Delete = append(delta.Delete, from.index.members[previous[0]].Key)
		}
		unchanged := len(previous) > 0 && previous[0] == i
		if unchanged {
			previous = previous[1:]
		}
		if entry := p.index.members[i]; !unchanged || from.index.memberDigests[i] != p.index.memberDigests[i] {
			delta.Set = append(delta.Set, entry)
		}
	}
	for _, i := range previous {
		delta.Delete = append(delta.Delete, from.index.members[i].Key)
	}
	return delta
}

// appendChanges appends the entries to set and the keys to delete that turn the entries of from into those of
// to. Both have to be sorted by key.
func appendChanges(set []versioned.Entry, drop []string, from, to []versioned.Entry) ([]versioned.Entry,
	[]string) {
	for _, e := range to {
		for ; len(from) > 0 && from[0].Key < e.Key; from = from[1:] {
			drop = append(drop, from[0].Key)
		}
		if len(from) > 0 && from[0].Key == e.Key {
			if !bytes.Equal(from[0].Value, e.Value) {
				set = append(set, e)
			}
			from = from[1:]
			continue
		}
		set = append(set, e)
	}
	for _, e := range from {
		drop = append(drop, e.Key)
	}
	return set, drop
}

// Select builds the part of the state that an interest selects; see Subset.
func (x *StateIndex) Select(interest Interest) *versioned.State {
	if interest.All {
		return x.state
	}
	return x.Subset(interest).State()
}

// Select builds the part of a state that an interest selects; see StateIndex.Select.
func Select(s *versioned.State, interest Interest) *versioned.State {
	if interest.All {
		return s
	}
	return NewStateIndex(s).Select(interest)
}
