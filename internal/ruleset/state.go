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
	headKey    = "rules"
	planKey    = "plan/"   // and its place, four digits
	memberKey  = "member/" // and its place, six digits; vacant places have none
	wordKey    = "word/"   // and its place, four digits
	planWide   = 4
	memberWide = 6
)

// head is the header of a version's entries. Form and Needs keep their numbers in all forms.
type head struct {
	Form     int      `cbor:"1,keyasint"`
	Needs    []string `cbor:"2,keyasint,omitempty"`
	Lease    float64  `cbor:"3,keyasint"`
	Bound    float64  `cbor:"4,keyasint"`
	Fallback Fallback `cbor:"5,keyasint"`
	Members  int      `cbor:"6,keyasint"` // places, the vacant ones too
	Plans    int      `cbor:"7,keyasint"`
	Words    int      `cbor:"8,keyasint"`
}

// ErrForeign is of a version that this program does not know whole: what it needs is named.
var ErrForeign = errors.New("rules that need what is not known here")

var (
	entryOut = must(cbor.CoreDetEncOptions().EncMode())
	entryIn  = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: 1024,
		MaxMapPairs: 64, MaxNestedLevels: 8, UTF8: cbor.UTF8RejectInvalid}.DecMode())
	headIn = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// place is a key with a place, so that keys are in the order of places.
func place(prefix string, wide, i int) string {
	n := strconv.Itoa(i)
	return prefix + strings.Repeat("0", max(wide-len(n), 0)) + n
}

// placed reads the place of a key.
func placed(prefix string, wide int, key string, places int) (int, error) {
	i, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || i < 0 || i >= places || place(prefix, wide, i) != key {
		return 0, fmt.Errorf("%s: it is no place of %d", key, places)
	}
	return i, nil
}

// Entries is a version as a state: its header, and an entry for each plan, word and member.
func Entries(v *Version) (*versioned.State, error) {
	r := &v.Rules
	all := make([]versioned.Entry, 0, 1+len(r.Plans)+len(r.Members)+len(r.Words))
	var bad error
	add := func(key string, value any) {
		raw, err := entryOut.Marshal(value)
		bad = first(bad, err)
		all = append(all, versioned.Entry{Key: key, Value: raw})
	}
	add(headKey, head{r.Form, r.Needs, r.Lease, r.Bound, r.Fallback, len(r.Members), len(r.Plans), len(r.Words)})
	for i := range r.Plans {
		add(place(planKey, planWide, i), &r.Plans[i])
	}
	for i := range r.Words {
		add(place(wordKey, planWide, i), &r.Words[i])
	}
	for i := range r.Members {
		if r.Members[i].Name != "" {
			add(place(memberKey, memberWide, i), &r.Members[i])
		}
	}
	if bad != nil {
		return nil, fmt.Errorf("version %d: %w", v.Number, bad)
	}
	return versioned.New(v.Number, all), nil
}

// readHead reads a header. What this program does not know is an ErrForeign, and the header is what it knows
// of it.
func readHead(s *versioned.State) (head, error) {
	raw, there := s.Get(headKey)
	if !there {
		return head{}, fmt.Errorf("%s: there is none", headKey)
	}
	var h head
	if err := headIn.Unmarshal(raw, &h); err != nil {
		return head{}, fmt.Errorf("%s: %w", headKey, err)
	}
	if what := Unknown(&Rules{Form: h.Form, Needs: h.Needs}); what != "" {
		return h, fmt.Errorf("%w: %s", ErrForeign, what)
	}
	if err := entryIn.Unmarshal(raw, &h); err != nil {
		return h, fmt.Errorf("%w: %s: %v", ErrForeign, headKey, err)
	}
	return h, nil
}

// FromState is the version that a state is of, or a part of one. Members has a place for each, and those
// that the state does not name come out vacant. A state of rules that this program does not know whole is an
// ErrForeign.
func FromState(s *versioned.State) (Version, error) {
	h, err := readHead(s)
	if err != nil {
		return Version{}, err
	}
	for _, n := range []struct {
		key       string
		have, max int
	}{{"plans", h.Plans, mostPlans}, {"members", h.Members, mostMembers}, {"words", h.Words, mostWords}} {
		if n.have < 0 || n.have > n.max {
			return Version{}, fmt.Errorf("%s: %d are not from 0 to %d", n.key, n.have, n.max)
		}
	}
	v := Version{Number: s.ID().Number, Rules: Rules{Form: h.Form, Needs: h.Needs, Lease: h.Lease,
		Bound: h.Bound, Fallback: h.Fallback}}
	r := &v.Rules
	r.Plans, r.Words = make([]Plan, h.Plans), make([]Word, h.Words)
	r.Members = make([]Member, h.Members)
	plans, words := 0, 0
	for key, raw := range s.All() {
		var into any
		i := 0
		switch {
		case key == headKey:
			continue
		case strings.HasPrefix(key, planKey):
			if i, err = placed(planKey, planWide, key, h.Plans); err == nil {
				into = &r.Plans[i]
			}
			plans++
		case strings.HasPrefix(key, wordKey):
			if i, err = placed(wordKey, planWide, key, h.Words); err == nil {
				into = &r.Words[i]
			}
			words++
		case strings.HasPrefix(key, memberKey):
			if i, err = placed(memberKey, memberWide, key, h.Members); err == nil {
				into = &r.Members[i]
			}
		default:
			err = fmt.Errorf("%w: an entry %q", ErrForeign, key)
		}
		if err != nil {
			return Version{}, err
		}
		if err := entryIn.Unmarshal(raw, into); err != nil {
			return Version{}, fmt.Errorf("%w: %s: %v", ErrForeign, key, err)
		}
	}
	if plans != h.Plans || words != h.Words {
		return Version{}, fmt.Errorf("%s: %d plans and %d words, not %d and %d", headKey, plans, words, h.Plans,
			h.Words)
	}
	return v, nil
}

// LeaseOf gives the lease that a state's rules have, ms; 0 where it has none that can be read.
func LeaseOf(s *versioned.State) float64 {
	h, err := readHead(s)
	if err != nil && !errors.Is(err, ErrForeign) || !(h.Lease >= leastLease) {
		return 0
	}
	return h.Lease
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
	if len(i.Host) > mostName || len(i.Name) > mostName || i.Around < 0 || i.Around > mostMembers {
		return fmt.Errorf("interest: names of %d and %d bytes, %d around", len(i.Host), len(i.Name), i.Around)
	}
	return nil
}

// Index finds the members of a state by name and host, so that parts of it can be named and compared for many
// interests without being made. It is safe for concurrent use.
type Index struct {
	state  *versioned.State
	places int
	common []versioned.Entry // that all need, by key
	shared versioned.Digest  // of these
	bytes  int               // of these
	member []versioned.Entry // by place; without a key where it is vacant
	digest []versioned.Digest
	names  map[string]int32
	hosts  map[string][]int32
}

// NewIndex makes one of a state. One whose header can't be read has the entries that all need alone, which
// is how rules of a later form go through.
func NewIndex(s *versioned.State) *Index {
	h, _ := readHead(s)
	x := &Index{state: s, places: min(max(h.Members, 0), mostMembers)}
	x.names, x.hosts = make(map[string]int32, x.places), make(map[string][]int32, x.places)
	x.member, x.digest = make([]versioned.Entry, x.places), make([]versioned.Digest, x.places)
	for key, raw := range s.All() {
		e := versioned.Entry{Key: key, Value: raw}
		if !strings.HasPrefix(key, memberKey) {
			x.common = append(x.common, e)
			x.shared, x.bytes = x.shared.Add(e.Digest()), x.bytes+len(key)+len(raw)
			continue
		}
		i, err := placed(memberKey, memberWide, key, x.places)
		var m Member
		if err == nil && headIn.Unmarshal(raw, &m) == nil {
			x.member[i], x.digest[i] = e, e.Digest()
			x.names[m.Name] = int32(i)
			x.hosts[m.Host] = append(x.hosts[m.Host], int32(i))
		}
	}
	return x
}

// Portion is a part of a state, by the places of its members. It is immutable.
type Portion struct {
	of     *Index
	all    bool    // it is the state itself, whatever is in it
	places []int32 // of those that it has, in their order
	mark   versioned.VersionID
	bytes  int
}

// Portion gives the part that an interest needs, under the state's own number. A part of a part is what it
// would be of the whole, where the first has all that the second needs.
func (x *Index) Portion(in Interest) *Portion {
	p := &Portion{of: x}
	switch i, there := x.names[in.Name]; {
	case in.All:
		p.all, p.mark, p.bytes = true, x.state.ID(), x.state.Bytes()
		return p
	case there && in.Name != "":
		p.near(i, in.Around)
	}
	if in.Host != "" {
		for _, i := range x.hosts[in.Host] {
			p.near(i, in.Around)
		}
	}
	slices.Sort(p.places)
	p.places = slices.Compact(p.places)
	p.mark, p.bytes = versioned.VersionID{Number: x.state.ID().Number, Digest: x.shared}, x.bytes
	for _, i := range p.places {
		e := x.member[i]
		p.mark.Digest, p.bytes = p.mark.Digest.Add(x.digest[i]), p.bytes+len(e.Key)+len(e.Value)
	}
	return p
}

// near adds the members around a place on the ring.
func (p *Portion) near(centre int32, around int) {
	n := p.of.places
	around = min(max(around, 0), n/2)
	for i := int(centre) - around; i <= int(centre)+around; i++ {
		if at := ((i % n) + n) % n; p.of.member[at].Key != "" {
			p.places = append(p.places, int32(at))
		}
	}
}

// Mark names the part; nil has none.
func (p *Portion) Mark() versioned.VersionID {
	if p == nil {
		return versioned.VersionID{}
	}
	return p.mark
}

// Bytes is the size of its keys and values.
func (p *Portion) Bytes() int { return p.bytes }

// entries are all of its entries, by key where the state's own keys are in order with the members' places.
func (p *Portion) entries() []versioned.Entry {
	if p == nil {
		return nil
	}
	all := make([]versioned.Entry, 0, len(p.of.common)+len(p.places))
	all = append(all, p.of.common...)
	for _, i := range p.places {
		all = append(all, p.of.member[i])
	}
	slices.SortFunc(all, func(a, b versioned.Entry) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// State makes the part a state; of nil there is none.
func (p *Portion) State() *versioned.State {
	switch {
	case p == nil:
		return nil
	case p.all:
		return p.of.state
	}
	return versioned.New(p.mark.Number, p.entries())
}

// Since is the delta that makes the part of another one, or of nothing where that is nil.
func (p *Portion) Since(from *Portion) *versioned.Delta {
	if p.all || from != nil && from.all {
		return versioned.Diff(from.State(), p.State())
	}
	d := &versioned.Delta{From: from.Mark(), To: p.mark}
	if from == nil {
		d.Set = p.entries()
		return d
	}
	if from.of != p.of {
		d.Set, d.Delete = changes(d.Set, d.Delete, from.of.common, p.of.common)
	}
	had := from.places
	for _, i := range p.places {
		for ; len(had) > 0 && had[0] < i; had = had[1:] {
			d.Delete = append(d.Delete, from.of.member[had[0]].Key)
		}
		same := len(had) > 0 && had[0] == i
		if same {
			had = had[1:]
		}
		if e := p.of.member[i]; !same || from.of.digest[i] != p.of.digest[i] {
			d.Set = append(d.Set, e)
		}
	}
	for _, i := range had {
		d.Delete = append(d.Delete, from.of.member[i].Key)
	}
	return d
}

// changes adds what makes some entries of others, both by key.
func changes(set []versioned.Entry, drop []string, from, to []versioned.Entry) ([]versioned.Entry, []string) {
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
func (x *Index) Select(in Interest) *versioned.State {
	if in.All {
		return x.state
	}
	return x.Portion(in).State()
}

// Select gives the part of a state that an interest needs; see Index.Select.
func Select(s *versioned.State, in Interest) *versioned.State {
	if in.All {
		return s
	}
	return NewIndex(s).Select(in)
}
