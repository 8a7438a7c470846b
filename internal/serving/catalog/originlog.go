package catalog

import (
	"cmp"
	"slices"
)

// compactAt is how many writes are kept before those that are no longer held are dropped.
const compactAt = 64

// writes lists the writes of one origin in the order of their sequences, so that what a holder lacks is
// found without a look at all records.
type writes struct {
	list []write
	live int // of list, those that are held
}

type write struct {
	sequence uint64
	key      string
}

func (w *writes) find(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(w.list, sequence, func(x write, s uint64) int {
		return cmp.Compare(x.sequence, s)
	})
}

// add notes a write that is held now. Most come in order.
func (w *writes) add(sequence uint64, key string) {
	w.live++
	at, known := w.find(sequence)
	if known {
		w.list[at].key = key
		return
	}
	w.list = slices.Insert(w.list, at, write{sequence: sequence, key: key})
}

// after returns the keys of the held writes behind a sequence.
func (w *writes) after(sequence uint64, held func(sequence uint64, key string) bool) []string {
	if len(w.list) > compactAt && len(w.list) > 2*w.live {
		w.list = slices.DeleteFunc(w.list, func(x write) bool { return !held(x.sequence, x.key) })
	}
	if len(w.list) == 0 || w.list[len(w.list)-1].sequence <= sequence {
		return nil
	}
	at, known := w.find(sequence)
	if known {
		at++
	}
	var keys []string
	for _, x := range w.list[at:] {
		if held(x.sequence, x.key) {
			keys = append(keys, x.key)
		}
	}
	return keys
}
