package ruleset

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"willowdeck/internal/versioned"
)

// The keys of a version's entries. A subset of a version has the header, all plans, all overrides, and the
// members that its Interest selects. Keys and widths are stored and are part of digests.
const (
	headerKey    = "rules"
	planKey      = "plan/"   // followed by the index, planDigits wide
	memberKey    = "member/" // followed by the index, memberDigits wide; vacant indexes have no entry
	overrideKey  = "word/"   // followed by the index, planDigits wide
	planDigits   = 4
	memberDigits = 6
)

// versionHeader is the header entry. The field numbers of Format and Needs are the same in all formats.
type versionHeader struct {
	Format              int      `cbor:"1,keyasint"`
	Needs               []string `cbor:"2,keyasint,omitempty"`
	LeaseMillis         float64  `cbor:"3,keyasint"`
	ConflictBoundMillis float64  `cbor:"4,keyasint"`
	Fallback            Fallback `cbor:"5,keyasint"`
	Members             int      `cbor:"6,keyasint"` // number of indexes, vacant ones included
	Plans               int      `cbor:"7,keyasint"`
	WorkerOverrides     int      `cbor:"8,keyasint"`
}

// ErrUnsupported marks a version that this program does not support; the wrapping error names the cause.
var ErrUnsupported = errors.New("rules are not supported by this program")

// The CBOR modes. Entries are decoded strictly. The header is first decoded without rejecting unknown fields,
// so that Format and Needs of a later format can be read.
var (
	entryEncMode = must(cbor.CoreDetEncOptions().EncMode())
	entryDecMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: 1024,
		MaxMapPairs: 64, MaxNestedLevels: 8, UTF8: cbor.UTF8RejectInvalid}.DecMode())
	headerDecMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

// must returns a value, or panics on an error, which only invalid constant options can cause.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// indexedKey returns a key with an index, zero-padded so that keys sort by index.
func indexedKey(prefix string, digits, index int) string {
	decimal := strconv.Itoa(index)
	return prefix + strings.Repeat("0", max(digits-len(decimal), 0)) + decimal
}

// parseIndexedKey returns the index of a key, which must be below count.
func parseIndexedKey(prefix string, digits int, key string, count int) (int, error) {
	index, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || index < 0 || index >= count || indexedKey(prefix, digits, index) != key {
		return 0, fmt.Errorf("%s: not a valid index of %d", key, count)
	}
	return index, nil
}

// VersionToState encodes a version as a state: a header, and an entry for each plan, override and member.
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

// decodeHeader decodes the header. For a header that this program does not support it returns ErrUnsupported
// and the fields that it could decode.
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
		return header, fmt.Errorf("%w: %s: %w", ErrUnsupported, headerKey, err)
	}
	return header, nil
}

// VersionFromState decodes a version or a subset of one; indexes without a member entry are vacant. For rules
// that this program does not support it returns ErrUnsupported.
func VersionFromState(s *versioned.State) (Version, error) {
	header, err := decodeHeader(s)
	if err != nil {
		return Version{}, err
	}
	if err := header.checkCounts(); err != nil {
		return Version{}, err
	}
	version := Version{Number: s.ID().Number, Rules: Rules{
		Format: header.Format, Needs: header.Needs, LeaseMillis: header.LeaseMillis,
		ConflictBoundMillis: header.ConflictBoundMillis, Fallback: header.Fallback,
		Plans: make([]Plan, header.Plans), Members: make([]Member, header.Members),
		WorkerOverrides: make([]WorkerOverride, header.WorkerOverrides),
	}}
	plans, overrides := 0, 0
	for key, raw := range s.All() {
		if key == headerKey {
			continue
		}
		if err := decodeEntry(&version.Rules, key, raw); err != nil {
			return Version{}, err
		}
		switch {
		case strings.HasPrefix(key, planKey):
			plans++
		case strings.HasPrefix(key, overrideKey):
			overrides++
		}
	}
	if plans != header.Plans || overrides != header.WorkerOverrides {
		return Version{}, fmt.Errorf("%s: %d plans and %d words, not %d and %d", headerKey, plans, overrides,
			header.Plans, header.WorkerOverrides)
	}
	return version, nil
}

// checkCounts checks the numbers of plans, members and overrides before anything of their size is allocated.
func (h *versionHeader) checkCounts() error {
	for _, limit := range []struct {
		key       string
		have, max int
	}{
		{"plans", h.Plans, maxPlans},
		{"members", h.Members, maxMembers},
		{"words", h.WorkerOverrides, maxWorkerOverrides},
	} {
		if limit.have < 0 || limit.have > limit.max {
			return fmt.Errorf("%s: %d are not from 0 to %d", limit.key, limit.have, limit.max)
		}
	}
	return nil
}

// decodeEntry decodes the entry of a plan, an override or a member into rules, whose slices must already have
// their final lengths.
func decodeEntry(rules *Rules, key string, raw []byte) error {
	var into any
	var index int
	var err error
	switch {
	case strings.HasPrefix(key, planKey):
		if index, err = parseIndexedKey(planKey, planDigits, key, len(rules.Plans)); err == nil {
			into = &rules.Plans[index]
		}
	case strings.HasPrefix(key, overrideKey):
		if index, err = parseIndexedKey(overrideKey, planDigits, key, len(rules.WorkerOverrides)); err == nil {
			into = &rules.WorkerOverrides[index]
		}
	case strings.HasPrefix(key, memberKey):
		if index, err = parseIndexedKey(memberKey, memberDigits, key, len(rules.Members)); err == nil {
			into = &rules.Members[index]
		}
	default:
		err = fmt.Errorf("%w: unknown entry %q", ErrUnsupported, key)
	}
	if err != nil {
		return err
	}
	if err := entryDecMode.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnsupported, key, err)
	}
	return nil
}

// StateLeaseMillis returns LeaseMillis of a state's rules; 0 if it can't be decoded or is below the minimum.
func StateLeaseMillis(s *versioned.State) float64 {
	header, err := decodeHeader(s)
	if err != nil && !errors.Is(err, ErrUnsupported) || !(header.LeaseMillis >= minLeaseMillis) {
		return 0
	}
	return header.LeaseMillis
}
