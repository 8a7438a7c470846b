package ruleset

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"willowdeck/internal/versioned"
)

// The keys of a version's entries. A part of a version has the header, all plans and all words, and of the
// members those that its Interest names.
const (
	headerKey    = "rules"
	planKey      = "plan/"   // and its place, four digits
	memberKey    = "member/" // and its place, six digits; vacant places have none
	overrideKey  = "word/"   // and its place, four digits
	planDigits   = 4
	memberDigits = 6
)

// head is the header of a version's entries. Form and Needs keep their numbers in all forms.
type versionHeader struct {
	Format              int      `cbor:"1,keyasint"`
	Needs               []string `cbor:"2,keyasint,omitempty"`
	LeaseMillis         float64  `cbor:"3,keyasint"`
	ConflictBoundMillis float64  `cbor:"4,keyasint"`
	Fallback            Fallback `cbor:"5,keyasint"`
	Members             int      `cbor:"6,keyasint"` // places, the vacant ones too
	Plans               int      `cbor:"7,keyasint"`
	WorkerOverrides     int      `cbor:"8,keyasint"`
}

// ErrForeign is of a version that this program does not know whole: what it needs is named.
var ErrUnsupported = errors.New("rules that need what is not known here")

var (
	entryEncMode = must(cbor.CoreDetEncOptions().EncMode())
	entryDecMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: 1024,
		MaxMapPairs: 64, MaxNestedLevels: 8, UTF8: cbor.UTF8RejectInvalid}.DecMode())
	headerDecMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// place is a key with a place, so that keys are in the order of places.
func indexedKey(prefix string, digits, index int) string {
	decimal := strconv.Itoa(index)
	return prefix + strings.Repeat("0", max(digits-len(decimal), 0)) + decimal
}

// placed reads the place of a key.
func parseIndexedKey(prefix string, digits int, key string, count int) (int, error) {
	index, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || index < 0 || index >= count || indexedKey(prefix, digits, index) != key {
		return 0, fmt.Errorf("%s: it is no place of %d", key, count)
	}
	return index, nil
}

// Entries is a version as a state: its header, and an entry for each plan, word and member.
func VersionToState(v *Version) (*versioned.State, error) {
	rules := &v.Rules
	entries := make([]versioned.Entry, 0, 1+len(rules.Plans)+len(rules.Members)+len(rules.WorkerOverrides))
	var encodeErr error
	add := func(key string, value any) {
		raw, err := entryEncMode.Marshal(value)
		encodeErr = firstError(encodeErr, err)
		entries = append(entries, versioned.Entry{Key: key, Value: raw})
	}
	add(headerKey, versionHeader{rules.Format, rules.Needs, rules.LeaseMillis, rules.ConflictBoundMillis,
		rules.Fallback, len(rules.Members), len(rules.Plans), len(rules.WorkerOverrides)})
	for i := range rules.Plans {
		add(indexedKey(planKey, planDigits, i), &rules.Plans[i])
	}
	for i := range rules.WorkerOverrides {
		add(indexedKey(overrideKey, planDigits, i), &rules.WorkerOverrides[i])
	}
	for i := range rules.Members {
		if rules.Members[i].Name != "" {
			add(indexedKey(memberKey, memberDigits, i), &rules.Members[i])
		}
	}
	if encodeErr != nil {
		return nil, fmt.Errorf("version %d: %w", v.Number, encodeErr)
	}
	return versioned.New(v.Number, entries), nil
}

// readHead reads a header. What this program does not know is an ErrForeign, and the header is what it knows
// of it.
func decodeHeader(s *versioned.State) (versionHeader, error) {
	raw, exists := s.Get(headerKey)
	if !exists {
		return versionHeader{}, fmt.Errorf("%s: there is none", headerKey)
	}
	var header versionHeader
	if err := headerDecMode.Unmarshal(raw, &header); err != nil {
		return versionHeader{}, fmt.Errorf("%s: %w", headerKey, err)
	}
	if feature := UnsupportedFeature(&Rules{Format: header.Format, Needs: header.Needs}); feature != "" {
		return header, fmt.Errorf("%w: %s", ErrUnsupported, feature)
	}
	if err := entryDecMode.Unmarshal(raw, &header); err != nil {
		return header, fmt.Errorf("%w: %s: %v", ErrUnsupported, headerKey, err)
	}
	return header, nil
}

// FromState is the version that a state is of, or a part of one. Members has a place for each, and those
// that the state does not name come out vacant. A state of rules that this program does not know whole is an
// ErrForeign.
func VersionFromState(s *versioned.State) (Version, error) {
	header, err := decodeHeader(s)
	if err != nil {
		return Version{}, err
	}
	for _, limit := range []struct {
		key       string
		have, max int
	}{{"plans", header.Plans, maxPlans}, {"members", header.Members, maxMembers}, {"words",
		header.WorkerOverrides, maxWorkerOverrides}} {
		if limit.have < 0 || limit.have > limit.max {
			return Version{}, fmt.Errorf("%s: %d are not from 0 to %d", limit.key, limit.have, limit.max)
		}
	}
	version := Version{Number: s.ID().Number, Rules: Rules{Format: header.Format, Needs: header.Needs,
		LeaseMillis:         header.LeaseMillis,
		ConflictBoundMillis: header.ConflictBoundMillis, Fallback: header.Fallback}}
	rules := &version.Rules
	rules.Plans, rules.WorkerOverrides = make([]Plan, header.Plans), make([]WorkerOverride,
		header.WorkerOverrides)
	rules.Members = make([]Member, header.Members)
	plans, overrides := 0, 0
	for key, raw := range s.All() {
		var into any
		i := 0
		switch {
		case key == headerKey:
			continue
		case strings.HasPrefix(key, planKey):
			if i, err = parseIndexedKey(planKey, planDigits, key, header.Plans); err == nil {
				into = &rules.Plans[i]
			}
			plans++
		case strings.HasPrefix(key, overrideKey):
			if i, err = parseIndexedKey(overrideKey, planDigits, key, header.WorkerOverrides); err == nil {
				into = &rules.WorkerOverrides[i]
			}
			overrides++
		case strings.HasPrefix(key, memberKey):
			if i, err = parseIndexedKey(memberKey, memberDigits, key, header.Members); err == nil {
				into = &rules.Members[i]
			}
		default:
			err = fmt.Errorf("%w: an entry %q", ErrUnsupported, key)
		}
		if err != nil {
			return Version{}, err
		}
		if err := entryDecMode.Unmarshal(raw, into); err != nil {
			return Version{}, fmt.Errorf("%w: %s: %v", ErrUnsupported, key, err)
		}
	}
	if plans != header.Plans || overrides != header.WorkerOverrides {
		return Version{}, fmt.Errorf("%s: %d plans and %d words, not %d and %d", headerKey, plans, overrides,
			header.Plans,
			header.WorkerOverrides)
	}
	return version, nil
}

// LeaseOf gives the lease that a state's rules have, ms; 0 where it has none that can be read.
func StateLeaseMillis(s *versioned.State) float64 {
	header, err := decodeHeader(s)
	if err != nil && !errors.Is(err, ErrUnsupported) || !(header.LeaseMillis >= minLeaseMillis) {
		return 0
	}
	return header.LeaseMillis
}

// Interest is what of a version one needs. Header, plans and words are needed by all. Members are those of a
// host, the one of a name, and as many places as Around on either side of each of these, on the ring of all
// places: where a gatekeeper shares customers with its neighbours. The zero Interest needs no members.
type Interest struct {
	_      struct{} `cbor:",toarray"`
	All    bool
	Host   string
	Name   string
	Around int
}

// Check tells what is wrong with an interest that came from elsewhere.
func (i Interest) Check() error {
	if len(i.Host) > maxNameBytes || len(i.Name) > maxNameBytes || i.Around < 0 || i.Around > maxMembers {
		return fmt.Errorf("interest: names of %d and %d bytes, %d around", len(i.Host), len(i.Name), i.Around)
	}
	return nil
}

// Index finds the members of a state by name and host, so that parts of it can be named and compared for many
// interests without being made. It is safe for concurrent use.
type StateIndex struct {
	state         *versioned.State
	memberCount   int
	common        []versioned.Entry // that all need, by key
	commonDigest  versioned.Digest  // of these
	commonBytes   int               // of these
	members       []versioned.Entry // by place; without a key where it is vacant
	memberDigests []versioned.Digest
	indexByName   map[string]int32
	indexesByHost map[string][]int32
}

// NewIndex makes one of a state. One whose header can't be read has the entries that all need alone, which
// is how rules of a later form go through.
func NewStateIndex(s *versioned.State) *StateIndex {
	header, _ := decodeHeader(s)
	x := &StateIndex{state: s, memberCount: min(max(header.Members, 0), maxMembers)}
	x.indexByName, x.indexesByHost = make(map[string]int32, x.memberCount), make(map[string][]int32,
		x.memberCount)
	x.members, x.memberDigests = make([]versioned.Entry, x.memberCount), make([]versioned.Digest, x.memberCount)
	for key, raw := range s.All() {
		entry := versioned.Entry{Key: key, Value: raw}
		if !strings.HasPrefix(key, memberKey) {
			x.common = append(x.common, entry)
			x.commonDigest, x.commonBytes = x.commonDigest.Add(entry.Digest()), x.commonBytes+len(key)+len(raw)
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

// Portion is a part of a state, by the places of its members. It is immutable.
type StateSubset struct {
	index         *StateIndex
	all           bool    // it is the state itself, whatever is in it
	memberIndexes []int32 // of those that it has, in their order
	mark          versioned.VersionID
	bytes         int
}

// Portion gives the part that an interest needs, under the state's own number. A part of a part is what it
// would be of the whole, where the first has all that the second needs.
func (x *StateIndex) Subset(interest Interest) *StateSubset {
	subset := &StateSubset{index: x}
	switch i, found := x.indexByName[interest.Name]; {
	case interest.All:
		subset.all, subset.mark, subset.bytes = true, x.state.ID(), x.state.Bytes()
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
	subset.mark, subset.bytes = versioned.VersionID{Number: x.state.ID().Number, Digest: x.commonDigest},
		x.commonBytes
	for _, i := range subset.memberIndexes {
		entry := x.members[i]
		subset.mark.Digest, subset.bytes = subset.mark.Digest.Add(x.memberDigests[i]),
			subset.bytes+len(entry.Key)+len(entry.Value)
	}
	return subset
}

// near adds the members around a place on the ring.
func (p *StateSubset) addNeighbours(centre int32, around int) {
	memberCount := p.index.memberCount
	around = min(max(around, 0), memberCount/2)
	for i := int(centre) - around; i <= int(centre)+around; i++ {
		if index := ((i % memberCount) + memberCount) % memberCount; p.index.members[index].Key != "" {
			p.memberIndexes = append(p.memberIndexes, int32(index))
		}
	}
}

// Mark names the part; nil has none.
func (p *StateSubset) Mark() versioned.VersionID {
	if p == nil {
		return versioned.VersionID{}
	}
	return p.mark
}

// Bytes is the size of its keys and values.
func (p *StateSubset) Bytes() int { return p.bytes }

// entries are all of its entries, by key where the state's own keys are in order with the members' places.
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

// State makes the part a state; of nil there is none.
func (p *StateSubset) State() *versioned.State {
	switch {
	case p == nil:
		return nil
	case p.all:
		return p.index.state
	}
	return versioned.New(p.mark.Number, p.entries())
}

// Since is the delta that makes the part of another one, or of nothing where that is nil.
func (p *StateSubset) DeltaFrom(from *StateSubset) *versioned.Delta {
	if p.all || from != nil && from.all {
		return versioned.Diff(from.State(), p.State())
	}
	delta := &versioned.Delta{From: from.Mark(), To: p.mark}
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

// changes adds what makes some entries of others, both by key.
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

// Select gives the part of the state that an interest needs; see Portion.
func (x *StateIndex) Select(interest Interest) *versioned.State {
	if interest.All {
		return x.state
	}
	return x.Subset(interest).State()
}

// Select gives the part of a state that an interest needs; see Index.Select.
func Select(s *versioned.State, interest Interest) *versioned.State {
	if interest.All {
		return s
	}
	return NewStateIndex(s).Select(interest)
}
