// Package incarnation tells news from old messages among instances that come back: each message bears its
// sender's incarnation, which grows with each of its starts, and its place in that one's sequence. It is free
// of I/O. Both are compared as serial numbers (RFC 1982), so that they may wrap.
package incarnation

// Verdict is what a message is.
type Verdict uint8

// The verdicts.
const (
	News     Verdict = iota // the next word of one that is known, or the first of one that is not
	Returned                // the first word of one that was known in a former life
	Old                     // said before what has been heard of it, or by a former life: no news
)

// Word says which message of which life of its sender a message is.
type Word struct{ Incarnation, Sequence uint32 }

// Table knows the newest word of each sender, by its number. It is not safe for concurrent use.
type Table struct{ heard map[int]Word }

// NewTable makes a table in which nobody is known.
func NewTable() *Table { return &Table{heard: map[int]Word{}} }

// Hear takes a message's word, and tells what the message is. One that is Old changes nothing.
func (t *Table) Hear(from int, w Word) Verdict {
	last, known := t.heard[from]
	switch {
	case !known:
		t.heard[from] = w
		return News
	case w.Incarnation == last.Incarnation && after(w.Sequence, last.Sequence):
		t.heard[from] = w
		return News
	case after(w.Incarnation, last.Incarnation):
		t.heard[from] = w
		return Returned
	}
	return Old
}

// Words gives the newest words of so many, by number, in place of what is in all; none of those not known.
func (t *Table) Words(all []Word, n int) []Word {
	all = all[:0]
	for i := range n {
		all = append(all, t.heard[i])
	}
	return all
}

// Recall takes words as a former life had heard them, of those that are not known yet. It gives those that
// were heard since in another life than then.
func (t *Table) Recall(all []Word) (returned []int) {
	for from, w := range all {
		now, known := t.heard[from]
		switch {
		case w == (Word{}):
		case !known:
			t.heard[from] = w
		case now.Incarnation != w.Incarnation:
			returned = append(returned, from)
		}
	}
	return returned
}

// Keep forgets all from a number on: they are no more, and others may come under their numbers.
func (t *Table) Keep(below int) {
	for from := range t.heard {
		if from >= below {
			delete(t.heard, from)
		}
	}
}

// Forget forgets one: another comes under its number.
func (t *Table) Forget(from int) { delete(t.heard, from) }

// after tells whether a serial number comes after another.
func after(a, b uint32) bool { return int32(a-b) > 0 }
