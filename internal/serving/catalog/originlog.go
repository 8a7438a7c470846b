package catalog

import (
	"cmp"
	"slices"
)

// compactionThreshold is the number of writes up to which a log is not compacted.
const compactionThreshold = 64

// originLog lists the writes of one origin in the order of their sequences, so that the writes that a replica
// lacks are found without a scan of all records.
type originLog struct {
	writes  []write
	current int // number of the writes that are the current versions of their keys
}

// write is one write of an origin.
type write struct {
	sequence uint64
	key      string
}

// find returns the index of the write with a sequence, or the index at which to insert it, and whether the
// log has it.
func (l *originLog) find(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(l.writes, sequence, func(w write, wanted uint64) int {
		return cmp.Compare(w.sequence, wanted)
	})
}

// add adds a write that has become the current version of its key. Most writes are added in the order of
// their sequences.
func (l *originLog) add(sequence uint64, key string) {
	l.current++
	index, found := l.find(sequence)
	if found {
		l.writes[index].key = key
		return
	}
	l.writes = slices.Insert(l.writes, index, write{sequence: sequence, key: key})
}

// after returns the keys of the current writes after a sequence. It first compacts the log if the log is
// longer than compactionThreshold and more than half of its writes are not current.
func (l *originLog) after(sequence uint64, isCurrent func(sequence uint64, key string) bool) []string {
	if len(l.writes) > compactionThreshold && len(l.writes) > 2*l.current {
		l.writes = slices.DeleteFunc(l.writes, func(w write) bool {
			return !isCurrent(w.sequence, w.key)
		})
	}
	if len(l.writes) == 0 || l.writes[len(l.writes)-1].sequence <= sequence {
		return nil
	}
	index, found := l.find(sequence)
	if found {
		index++
	}
	var keys []string
	for _, w := range l.writes[index:] {
		if isCurrent(w.sequence, w.key) {
			keys = append(keys, w.key)
		}
	}
	return keys
}
