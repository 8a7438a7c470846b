// Package catalog holds what is told of workers, edges and cores: records that several replicas write,
// merged without agreement. Each writer (origin) counts its writes; a version vector of these counts says
// what a holder has seen, so that another can send just what is missing (Parker et al., "Detection of
// Mutual Inconsistency in Distributed Systems", 1983; the pull of missing updates as in Petersen et al.,
// "Flexible Update Propagation", 1997).
//
// Which of two versions of a key is newer is said by their order, a number that the described party counts
// itself. The package has no I/O, clock or goroutines, and is not safe for concurrent use.
package catalog

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// Final is the order of a record that nothing follows: the incarnation of a worker that has deregistered.
const Final = 1<<63 - 1

// tombstoneLife is how long a deletion is kept, so that holders that were away hear of it.
const tombstoneLife = 5 * time.Minute

// Entry is a record as this holder keeps it.
type Entry struct {
	Record    *wirepb.Record
	ColdUntil time.Duration // workers: on the holder's clock
	Merged    time.Duration // when this version came
}

// Kind is what a record describes.
type Kind int

// The kinds of records.
const (
	Workers Kind = iota
	Edges
	Cores
	kinds
)

// kindOf tells a record's kind by its value.
func kindOf(record *wirepb.Record) Kind {
	switch record.Value.(type) {
	case *wirepb.Record_Edge:
		return Edges
	case *wirepb.Record_Core:
		return Cores
	}
	return Workers
}

// Catalog is one holder's copy.
type Catalog struct {
	origin    string
	vector    map[string]uint64
	entries   map[string]*Entry
	byKind    [kinds]map[string]*Entry
	byAddress map[string]map[string]*Entry // workers
	written   map[string]*writes           // by origin
}

// New makes an empty catalog. origin must be new with each life of the process; holders that write nothing
// pass "".
func New(origin string) *Catalog {
	c := &Catalog{
		origin: origin, vector: map[string]uint64{}, entries: map[string]*Entry{},
		byAddress: map[string]map[string]*Entry{}, written: map[string]*writes{},
	}
	for kind := range c.byKind {
		c.byKind[kind] = map[string]*Entry{}
	}
	return c
}

// WorkerKey returns the key of a worker incarnation's record.
func WorkerKey(instance string) string { return "worker/" + instance }

// EdgeKey returns the key of an edge's record.
func EdgeKey(name string) string { return "edge/" + name }

// CoreKey returns the key of a core's record.
func CoreKey(replica string) string { return "core/" + replica }

// Get returns the entry of key, deleted ones included, or nil.
func (c *Catalog) Get(key string) *Entry { return c.entries[key] }

// Entries returns all entries in the order of their keys, deleted ones included.
func (c *Catalog) Entries() []*Entry { return sorted(c.entries) }

// Of returns the entries of one kind in the order of their keys, deleted ones included.
func (c *Catalog) Of(kind Kind) []*Entry { return sorted(c.byKind[kind]) }

// AtAddress returns the workers at an address that are not deleted.
func (c *Catalog) AtAddress(address string) []*Entry {
	list := sorted(c.byAddress[address])
	return slices.DeleteFunc(list, func(entry *Entry) bool { return entry.Record.Deleted })
}

func sorted(entries map[string]*Entry) []*Entry {
	list := make([]*Entry, 0, len(entries))
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, entries[key])
	}
	return list
}

// Vector returns a copy of what has been seen of each origin. An origin of which something is held, but not
// all that comes before it, stands there with what is complete.
func (c *Catalog) Vector() *wirepb.VersionVector {
	sequences := maps.Clone(c.vector)
	for origin, written := range c.written {
		if _, known := sequences[origin]; !known && written.live > 0 {
			sequences[origin] = 0
		}
	}
	return &wirepb.VersionVector{Sequences: sequences}
}

// Publish writes a version of a record, and returns it, or nil where a version at least as new is held. Of
// the same order, a deletion alone is newer: of two writers, all holders must come to choose the same one.
func (c *Catalog) Publish(now time.Duration, record *wirepb.Record) *wirepb.Record {
	held := c.entries[record.Key]
	if held != nil && !(record.Order > held.Record.Order ||
		record.Order == held.Record.Order && record.Deleted && !held.Record.Deleted) {
		return nil
	}
	c.vector[c.origin]++
	record.Origin = c.origin
	record.Sequence = c.vector[c.origin]
	c.put(now, record)
	return record
}

// Merge takes records and the vector of their sender, and returns the entries that changed. Records that
// come without a vector count as seen only where nothing of their origin is missing before them: else the
// gap would never be asked for.
func (c *Catalog) Merge(now time.Duration, records []*wirepb.Record, vector *wirepb.VersionVector) []*Entry {
	var changed []*Entry
	for _, record := range records {
		if held := c.entries[record.Key]; held == nil || newer(record, held.Record) {
			changed = append(changed, c.put(now, record))
		}
		if record.Sequence == c.vector[record.Origin]+1 {
			c.vector[record.Origin] = record.Sequence
		}
	}
	for origin, sequence := range vector.GetSequences() {
		c.vector[origin] = max(c.vector[origin], sequence)
	}
	return changed
}

// newer reports whether a replaces b. It is the same at each holder, whatever the order of arrival.
func newer(a, b *wirepb.Record) bool {
	if a.Order != b.Order {
		return a.Order > b.Order
	}
	if a.Deleted != b.Deleted {
		return a.Deleted
	}
	if a.Origin != b.Origin {
		return a.Origin > b.Origin
	}
	return a.Sequence > b.Sequence
}

func (c *Catalog) put(now time.Duration, record *wirepb.Record) *Entry {
	entry := &Entry{Record: record, Merged: now}
	if worker := record.GetWorker(); worker != nil {
		entry.ColdUntil = now + time.Duration(worker.ColdRemainingMs)*time.Millisecond
	}
	c.remove(record.Key)
	c.entries[record.Key] = entry
	c.byKind[kindOf(record)][record.Key] = entry
	if address := record.GetWorker().GetAddress(); address != "" {
		if c.byAddress[address] == nil {
			c.byAddress[address] = map[string]*Entry{}
		}
		c.byAddress[address][record.Key] = entry
	}
	if c.written[record.Origin] == nil {
		c.written[record.Origin] = &writes{}
	}
	c.written[record.Origin].add(record.Sequence, record.Key)
	return entry
}

// remove takes an entry out of all indexes but the writes, which leave out what is no longer held.
func (c *Catalog) remove(key string) {
	entry := c.entries[key]
	if entry == nil {
		return
	}
	delete(c.entries, key)
	delete(c.byKind[kindOf(entry.Record)], key)
	if address := entry.Record.GetWorker().GetAddress(); address != "" {
		delete(c.byAddress[address], key)
		if len(c.byAddress[address]) == 0 {
			delete(c.byAddress, address)
		}
	}
	c.written[entry.Record.Origin].live--
}

// Since returns the records that a holder of vector lacks. Times are told as they stand now.
func (c *Catalog) Since(now time.Duration, vector *wirepb.VersionVector) []*wirepb.Record {
	var records []*wirepb.Record
	for _, origin := range slices.Sorted(maps.Keys(c.written)) {
		for _, key := range c.written[origin].after(vector.GetSequences()[origin], c.holds(origin)) {
			records = append(records, told(now, c.entries[key]))
		}
	}
	return records
}

// holds tells whether a write of an origin is still the held version of its key.
func (c *Catalog) holds(origin string) func(sequence uint64, key string) bool {
	return func(sequence uint64, key string) bool {
		entry := c.entries[key]
		return entry != nil && entry.Record.Origin == origin && entry.Record.Sequence == sequence
	}
}

// Covered reports whether a holder of vector lacks nothing.
func (c *Catalog) Covered(vector *wirepb.VersionVector) bool {
	for origin, sequence := range c.vector {
		if vector.GetSequences()[origin] < sequence {
			return false
		}
	}
	return true
}

func told(now time.Duration, entry *Entry) *wirepb.Record {
	worker := entry.Record.GetWorker()
	if worker == nil || worker.ColdRemainingMs == 0 {
		return entry.Record
	}
	record := proto.Clone(entry.Record).(*wirepb.Record)
	remaining := (entry.ColdUntil - now + time.Millisecond - 1) / time.Millisecond
	record.GetWorker().ColdRemainingMs = int64(max(remaining, 0))
	return record
}

// Expire forgets deletions that are old.
func (c *Catalog) Expire(now time.Duration) {
	for key, entry := range c.entries {
		if entry.Record.Deleted && now-entry.Merged > tombstoneLife {
			c.remove(key)
		}
	}
}

// DropUnknownOrigins removes the records whose writer a settled provider does not know: they were written
// by an earlier life of the core, and nobody has told of their subjects since. It returns whether any was
// removed.
func (c *Catalog) DropUnknownOrigins(provider *wirepb.VersionVector) bool {
	removed := false
	for origin, written := range c.written {
		if _, known := provider.GetSequences()[origin]; known || written.live == 0 {
			continue
		}
		for _, key := range written.after(0, c.holds(origin)) {
			c.remove(key)
			removed = true
		}
	}
	return removed
}
