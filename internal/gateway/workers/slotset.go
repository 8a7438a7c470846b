package workers

import "math/bits"

// slotSet is an ordered set of slots, as a bitmap. The zero value is empty.
type slotSet struct {
	words     []uint64
	firstWord int // all words before it are 0
}

// set adds a slot if member is true, and removes it otherwise.
func (s *slotSet) set(slot int, member bool) {
	for len(s.words) <= slot/64 && member {
		s.words = append(s.words, 0)
	}
	if member {
		s.words[slot/64] |= 1 << (slot % 64)
		s.firstWord = min(s.firstWord, slot/64)
	} else if slot/64 < len(s.words) {
		s.words[slot/64] &^= 1 << (slot % 64)
	}
}

// takeFirst removes and returns the lowest slot that accept returns true for, or returns -1 if there is none.
func (s *slotSet) takeFirst(accept func(int) bool) int {
	for s.firstWord < len(s.words) && s.words[s.firstWord] == 0 {
		s.firstWord++
	}
	for i := s.firstWord; i < len(s.words); i++ {
		for rest := s.words[i]; rest != 0; rest &= rest - 1 {
			if slot := i*64 + bits.TrailingZeros64(rest); accept(slot) {
				s.set(slot, false)
				return slot
			}
		}
	}
	return -1
}
