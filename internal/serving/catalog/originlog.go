package catalog

import (
	"cmp"
	"slices"
)

// compactionThreshold is the length up to which a log is left with its writes that are no longer current.
const compactionThreshold = 64

// originLog lists the writes of one origin in the order of their sequences, so that what a replica lacks is
// found without a scan of all records.
type originLog struct {
	writes  []write
	current int // how many of writes are the current versions of their keys
}

type write struct {
	sequence uint64
	key      string
}

// find returns the index of the write with that sequence, or the one at which it would be inserted.
func (l *originLog) find(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(l.writes, sequence, func(w write, wanted uint64) int {
		return cmp.Compare(w.sequence, wanted)
	})
}

// add adds a write that is the current version of its key now. Most arrive in the order of their sequences.
func (l *originLog) add(sequence uint64, key string) {
	l.current++
	index, found := l.find(sequence)
	if found {
		l.writes[index].key = key
		return
	}
	l.writes = slices.Insert(l.writes, index, write{sequence: sequence, key: key})
}

// after returns the keys of the current writes after a sequence, and compacts the log where more than half of
// it is out of date.
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
