package catalog

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// FinalVersion is the version of a worker's incarnation that has deregistered: no later version of its record
// follows.
const FinalVersion = 1<<63 - 1

// tombstoneRetention is how long a deletion is kept, for replicas that were unreachable to receive it.
const tombstoneRetention = 5 * time.Minute

// Entry is a record, together with times on this replica's clock.
type Entry struct {
	Record       *wirepb.Record
	WarmingUntil time.Duration // for workers: end of the slow start; not after ReceivedAt if there is none
	ReceivedAt   time.Duration // when this version was published or merged here
}

// Kind is the kind of process that a record describes.
type Kind int

// The kinds of records.
const (
	Workers Kind = iota
	Edges
	Cores
	kinds
)

// kindOf returns a record's kind, which is that of the type of its value. A record without a value
// describes a worker, since deletions of workers have no value.
func kindOf(record *wirepb.Record) Kind {
	switch record.Value.(type) {
	case *wirepb.Record_Edge:
		return Edges
	case *wirepb.Record_Core:
		return Cores
	}
	return Workers
}

// Catalog is one replica of the table.
type Catalog struct {
	origin    string                       // origin of this replica's own writes
	vector    map[string]uint64            // by origin: sequence up to which all its writes were received
	entries   map[string]*Entry            // by key, tombstones included
	byKind    [kinds]map[string]*Entry     // the same entries by kind and key
	byAddress map[string]map[string]*Entry // entries of workers by address and key
	logs      map[string]*originLog        // by origin: its writes in the order of their sequences
}

// New returns an empty catalog. origin must be unique to this incarnation of the process; it is "" for
// replicas that publish nothing.
func New(origin string) *Catalog {
	c := &Catalog{
		origin: origin, vector: map[string]uint64{}, entries: map[string]*Entry{},
		byAddress: map[string]map[string]*Entry{}, logs: map[string]*originLog{},
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

// Get returns the entry of a key, which may be a tombstone, or nil if there is none.
func (c *Catalog) Get(key string) *Entry { return c.entries[key] }

// Entries returns all entries in the order of their keys, tombstones included.
func (c *Catalog) Entries() []*Entry { return sortedByKey(c.entries) }

// EntriesOf returns the entries of one kind in the order of their keys, tombstones included.
func (c *Catalog) EntriesOf(kind Kind) []*Entry { return sortedByKey(c.byKind[kind]) }

// WorkersAtAddress returns the workers at an address that are not deleted, in the order of their keys.
func (c *Catalog) WorkersAtAddress(address string) []*Entry {
	workers := sortedByKey(c.byAddress[address])
	return slices.DeleteFunc(workers, func(entry *Entry) bool { return entry.Record.Deleted })
}

func sortedByKey(entries map[string]*Entry) []*Entry {
	list := make([]*Entry, 0, len(entries))
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, entries[key])
	}
	return list
}

// Vector returns a copy of the version vector: for each origin, the sequence up to which all its writes were
// received. An origin is in it with 0 if its first write is missing but a later one is current here, so that
// the receiver does not consider it unknown (see DropUnknownOrigins).
func (c *Catalog) Vector() *wirepb.VersionVector {
	sequences := maps.Clone(c.vector)
	for origin, log := range c.logs {
		if _, known := sequences[origin]; !known && log.current > 0 {
			sequences[origin] = 0
		}
	}
	return &wirepb.VersionVector{Sequences: sequences}
}

// Publish writes a version of a record with this replica's origin and returns it with its sequence, or nil
// if the catalog has a version that is at least as new. A record with the same Version as the existing one
// replaces it only if it is a deletion and the existing one is not.
func (c *Catalog) Publish(now time.Duration, record *wirepb.Record) *wirepb.Record {
	existing := c.entries[record.Key]
	if existing != nil && !mayReplace(record, existing.Record) {
		return nil
	}
	c.vector[c.origin]++
	record.Origin = c.origin
	record.Sequence = c.vector[c.origin]
	c.put(now, record)
	return record
}

// mayReplace reports whether a replica may publish a in place of b. If two replicas publish different
// records with the same Version, newer decides which one remains.
func mayReplace(a, b *wirepb.Record) bool {
	return a.Version > b.Version || a.Version == b.Version && a.Deleted && !b.Deleted
}

// Merge adds the records of another replica and returns the entries that changed. vector is the sender's
// version vector, or nil for records that were pushed one by one. A pushed record advances this replica's
// vector only if no earlier write of its origin is missing; otherwise the missing writes would never be
// pulled.
func (c *Catalog) Merge(now time.Duration, records []*wirepb.Record, vector *wirepb.VersionVector) []*Entry {
	var changed []*Entry
	for _, record := range records {
		if existing := c.entries[record.Key]; existing == nil || newer(record, existing.Record) {
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

// newer reports whether a replaces b. It is a total order, so that all replicas choose the same version in
// whatever order the records arrive.
func newer(a, b *wirepb.Record) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.Deleted != b.Deleted {
		return a.Deleted
	}
	if a.Origin != b.Origin {
		return a.Origin > b.Origin
	}
	return a.Sequence > b.Sequence
}

// put makes record the current version of its key.
func (c *Catalog) put(now time.Duration, record *wirepb.Record) *Entry {
	entry := &Entry{Record: record, ReceivedAt: now}
	if worker := record.GetWorker(); worker != nil {
		entry.WarmingUntil = now + time.Duration(worker.WarmupRemainingMs)*time.Millisecond
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
	if c.logs[record.Origin] == nil {
		c.logs[record.Origin] = &originLog{}
	}
	c.logs[record.Origin].add(record.Sequence, record.Key)
	return entry
}

// remove removes an entry from the entries and all indexes. The log of its origin keeps the write until it is
// compacted; reads of the log skip writes that are not current.
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
	c.logs[entry.Record.Origin].current--
}

// Since returns the current records that a replica with a version vector lacks, ordered by origin and
// sequence. The remaining slow start times in them are as of now.
func (c *Catalog) Since(now time.Duration, vector *wirepb.VersionVector) []*wirepb.Record {
	var records []*wirepb.Record
	for _, origin := range slices.Sorted(maps.Keys(c.logs)) {
		for _, key := range c.logs[origin].after(vector.GetSequences()[origin], c.isCurrent(origin)) {
			records = append(records, recordAt(now, c.entries[key]))
		}
	}
	return records
}

// isCurrent returns a function that reports whether a write of origin is the current version of its key.
func (c *Catalog) isCurrent(origin string) func(sequence uint64, key string) bool {
	return func(sequence uint64, key string) bool {
		entry := c.entries[key]
		return entry != nil && entry.Record.Origin == origin && entry.Record.Sequence == sequence
	}
}

// recordAt returns the record to send at now. For a worker in slow start it is a copy with the remaining slow
// start time.
func recordAt(now time.Duration, entry *Entry) *wirepb.Record {
	worker := entry.Record.GetWorker()
	if worker == nil || worker.WarmupRemainingMs == 0 {
		return entry.Record
	}
	record := proto.Clone(entry.Record).(*wirepb.Record)
	remaining := (entry.WarmingUntil - now + time.Millisecond - 1) / time.Millisecond
	record.GetWorker().WarmupRemainingMs = int64(max(remaining, 0))
	return record
}

// ExpireTombstones removes the tombstones that are older than tombstoneRetention.
func (c *Catalog) ExpireTombstones(now time.Duration) {
	for key, entry := range c.entries {
		if entry.Record.Deleted && now-entry.ReceivedAt > tombstoneRetention {
			c.remove(key)
		}
	}
}

// DropUnknownOrigins removes the records whose origin is not in the version vector of a synchronized
// provider. Such records were written by an earlier incarnation of the core, and no later report has
// replaced them. It reports whether any record was removed.
func (c *Catalog) DropUnknownOrigins(providerVector *wirepb.VersionVector) bool {
	removed := false
	for origin, log := range c.logs {
		if _, known := providerVector.GetSequences()[origin]; known || log.current == 0 {
			continue
		}
		for _, key := range log.after(0, c.isCurrent(origin)) {
			c.remove(key)
			removed = true
		}
	}
	return removed
}
