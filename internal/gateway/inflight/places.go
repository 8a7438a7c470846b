package inflight

import "math/bits"

// places is a set of places, in order. The zero value is empty.
type places struct {
	words []uint64
	from  int // words before it are empty
}

// set puts a place in, or takes it out.
func (p *places) set(i int, in bool) {
	for len(p.words) <= i/64 && in {
		p.words = append(p.words, 0)
	}
	if in {
		p.words[i/64] |= 1 << (i % 64)
		p.from = min(p.from, i/64)
	} else if i/64 < len(p.words) {
		p.words[i/64] &^= 1 << (i % 64)
	}
}

// first gives the first place of which ok is true, and takes it out; -1 where there is none.
func (p *places) first(ok func(int) bool) int {
	for p.from < len(p.words) && p.words[p.from] == 0 {
		p.from++
	}
	for k := p.from; k < len(p.words); k++ {
		for left := p.words[k]; left != 0; left &= left - 1 {
			if i := k*64 + bits.TrailingZeros64(left); ok(i) {
				p.set(i, false)
				return i
			}
		}
	}
	return -1
}
