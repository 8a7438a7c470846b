package tally

import (
	"maps"
	"slices"

	"willowdeck/internal/serving/wirepb"
)

// Add is one add to a tally. Within a tally, each id counts once.
type Add struct {
	Tally  string
	ID     string
	Amount uint64
}

// Vector is a version vector: for each origin, the sequence number up to which records are held. Origins
// without records are left out.
type Vector map[string]uint64

// covers reports whether v includes all records of other.
func (v Vector) covers(other Vector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}

// advance raises v to include all records of other as well.
func (v Vector) advance(other Vector) {
	for origin, sequence := range other {
		v[origin] = max(v[origin], sequence)
	}
}

// Estimates of the memory that a Set takes in addition to the bytes of its strings.
const (
	recordHeapBytes = 136 // of a record and its entry in Set.counted
	tallyHeapBytes  = 88  // of a namedTally and its entry in Set.tallies
)

// recordOverheadBytes estimates the encoded size of a record without its strings.
const recordOverheadBytes = 24

// record is an add in the sequence of its origin.
type record struct {
	tally  *namedTally
	id     string
	amount uint64
}

// encodedBytes estimates the size of the record in a message.
func (r *record) encodedBytes() int { return len(r.tally.name) + len(r.id) + recordOverheadBytes }

// originRecords are the records of one origin, from sequence number 1 and without gaps.
type originRecords struct {
	origin  string
	records []record
}

// namedTally is one tally.
type namedTally struct {
	name  string
	total uint64
}

// addKey identifies an add.
type addKey struct {
	tally *namedTally
	id    string
}

// location identifies a record by its origin and sequence number.
type location struct {
	origin   *originRecords
	sequence uint64
}

// amount returns the amount of the record at a location.
func (l location) amount() uint64 { return l.origin.records[l.sequence-1].amount }

// Set is the state of all tallies of a replica. It is not safe for concurrent use.
type Set struct {
	origins map[string]*originRecords
	tallies map[string]*namedTally
	counted map[addKey]location // the record that counts for each add
	records int
	bytes   int // estimated memory
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		origins: map[string]*originRecords{}, tallies: map[string]*namedTally{}, counted: map[addKey]location{},
	}
}

// Total returns the total of a tally, which is 0 if it has no adds.
func (s *Set) Total(name string) uint64 {
	if tally := s.tallies[name]; tally != nil {
		return tally.total
	}
	return 0
}

// Records returns the number of records, including several records of one add.
func (s *Set) Records() int { return s.records }

// HeapBytes returns the estimated memory that the set takes.
func (s *Set) HeapBytes() int { return s.bytes }

// Sequence returns the sequence number up to which the records of an origin are held.
func (s *Set) Sequence(origin string) uint64 {
	if held := s.origins[origin]; held != nil {
		return uint64(len(held.records))
	}
	return 0
}

// Vector returns the version vector of the set.
func (s *Set) Vector() Vector {
	vector := make(Vector, len(s.origins))
	for origin, held := range s.origins {
		vector[origin] = uint64(len(held.records))
	}
	return vector
}

// find returns the location of the record that counts for an add, and whether there is one.
func (s *Set) find(name, id string) (location, bool) {
	found, ok := s.counted[addKey{s.tallies[name], id}]
	return found, ok
}

// record records an add as the next one of an origin, and returns its sequence number. If the add already
// has a record of the same amount, the new record counts instead.
func (s *Set) record(origin string, add Add) uint64 {
	sequence := s.append(origin, add)
	s.counted[addKey{s.tallies[add.Tally], add.ID}] = location{s.origins[origin], sequence}
	return sequence
}

// append appends an add to the records of an origin, and returns its sequence number.
func (s *Set) append(origin string, add Add) uint64 {
	held := s.origins[origin]
	if held == nil {
		held = &originRecords{origin: origin}
		s.origins[origin] = held
	}
	tally := s.tallies[add.Tally]
	if tally == nil {
		tally = &namedTally{name: add.Tally}
		s.tallies[add.Tally] = tally
		s.bytes += tallyHeapBytes + len(add.Tally)
	}
	held.records = append(held.records, record{tally: tally, id: add.ID, amount: add.Amount})
	s.records++
	s.bytes += recordHeapBytes + len(add.ID)
	sequence := uint64(len(held.records))
	s.count(tally, add, location{held, sequence})
	return sequence
}

// count includes an add in the total of its tally. If an id has been used with different amounts, the
// greatest one counts, whatever the order of the records.
func (s *Set) count(tally *namedTally, add Add, at location) {
	key := addKey{tally, add.ID}
	known, found := s.counted[key]
	if found && add.Amount <= known.amount() {
		return
	}
	if found {
		tally.total -= known.amount()
	}
	tally.total += add.Amount
	s.counted[key] = at
}

// Merge appends the records that directly follow those held of their origin, and returns them. complete is
// false if records before them are missing.
func (s *Set) Merge(records *wirepb.TallyRecords) (merged *wirepb.TallyRecords, complete bool) {
	held := s.Sequence(records.Origin)
	if records.First == 0 || records.First > held+1 {
		return nil, false
	}
	known := held + 1 - records.First
	if known >= uint64(len(records.Adds)) {
		return nil, true
	}
	adds := records.Adds[known:]
	for _, add := range adds {
		s.append(records.Origin, Add{Tally: add.Tally, ID: add.Id, Amount: add.Amount})
	}
	return &wirepb.TallyRecords{Origin: records.Origin, First: held + 1, Adds: adds}, true
}

// Since returns records that a replica with the given vector lacks, in order for each origin. It returns at
// most about maxBytes of records, and at least one record if any is missing.
func (s *Set) Since(vector Vector, maxBytes int) []*wirepb.TallyRecords {
	var missing []*wirepb.TallyRecords
	for _, origin := range slices.Sorted(maps.Keys(s.origins)) {
		held := s.origins[origin]
		first := vector[origin]
		if first >= uint64(len(held.records)) {
			continue
		}
		records := &wirepb.TallyRecords{Origin: origin, First: first + 1}
		for i := first; i < uint64(len(held.records)) && maxBytes > 0; i++ {
			entry := &held.records[i]
			records.Adds = append(records.Adds, entry.message())
			maxBytes -= entry.encodedBytes()
		}
		missing = append(missing, records)
		if maxBytes <= 0 {
			break
		}
	}
	return missing
}

// message returns the record as it is encoded in messages.
func (r *record) message() *wirepb.TallyAdd {
	return &wirepb.TallyAdd{Tally: r.tally.name, Id: r.id, Amount: r.amount}
}
