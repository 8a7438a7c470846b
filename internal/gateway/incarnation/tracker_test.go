package incarnation

import (
	"math"
	"math/rand"
	"testing"
)

// Each message is news once; what comes late, twice or from a former life is not, also where numbers wrap.
func TestHear(t *testing.T) {
	for _, base := range []uint32{0, 7, math.MaxUint32 - 1, math.MaxInt32} {
		x := NewTable()
		for i, c := range []struct {
			inc, seq uint32
			want     Verdict
		}{{5, 10, News}, {5, 11, News}, {5, 11, Old}, {5, 10, Old}, {5, 15, News}, {5, 12, Old}, {4, 99, Old},
			{6, 0, Returned}, {5, 16, Old}, {6, 1, News}, {9, 3, Returned}, {6, 2, Old}, {9, 4, News}} {
			if got := x.Hear(3, Word{base + c.inc, base + c.seq}); got != c.want {
				t.Errorf("from %d, message %d: %v", base, i, got)
			}
		}
		if got := x.Hear(4, Word{base, base}); got != News {
			t.Errorf("another's first: %v", got)
		}
		x.Keep(4)
		if a, b := x.Hear(3, Word{base + 9, base + 4}), x.Hear(4, Word{base - 1, base}); a != Old || b != News {
			t.Errorf("after one is no more: %v, %v", a, b)
		}
	}
}

// Lives that send, crash and send again, over a way that loses, doubles, delays and reorders: what counts as
// news comes in the order in which it was said, and nothing of a former life after the first word of a later.
func TestHearAtRandom(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		x, word := NewTable(), Word{uint32(rng.Int63()), 0}
		var way []Word
		var last Word
		heard, lives := false, 0
		for range 500 {
			word.Sequence++
			if rng.Intn(30) == 0 {
				word, lives = Word{word.Incarnation + 1 + uint32(rng.Intn(100)), 0}, lives+1
			}
			way = append(way, word)
			for rng.Intn(3) > 0 && len(way) > 0 {
				i := rng.Intn(len(way))
				w := way[i]
				if rng.Intn(5) > 0 {
					way = append(way[:i], way[i+1:]...)
				}
				v := x.Hear(1, w)
				newer := !heard || after(w.Incarnation, last.Incarnation) ||
					w.Incarnation == last.Incarnation && after(w.Sequence, last.Sequence)
				if (v != Old) != newer || (v == Returned) != (heard && newer && w.Incarnation != last.Incarnation) {
					t.Fatalf("seed %d: %+v after %+v is %v", seed, w, last, v)
				}
				if newer {
					last, heard = w, true
				}
			}
		}
		if lives == 0 {
			t.Errorf("seed %d: one life", seed)
		}
	}
}

// What a former life had heard tells a peer that has returned meanwhile from one that goes on, and what was
// said before from news. Guards against a demand that counts twice where two come back at the same time.
func TestRecall(t *testing.T) {
	one, two := NewTable(), NewTable()
	one.Hear(1, Word{5, 9})
	one.Hear(2, Word{6, 3})
	words := one.Words(nil, 4)
	two.Hear(2, Word{9, 1}) // heard already
	if got := two.Recall(words); len(got) != 1 || got[0] != 2 {
		t.Errorf("%v have returned", got)
	}
	for i, c := range []struct {
		from int
		w    Word
		want Verdict
	}{{1, Word{5, 9}, Old}, {1, Word{5, 10}, News}, {1, Word{7, 1}, Returned}, {2, Word{6, 4}, Old},
		{2, Word{9, 2}, News}, {3, Word{1, 1}, News}} {
		if got := two.Hear(c.from, c.w); got != c.want {
			t.Errorf("%d: %v is %v, want %v", i, c.w, got, c.want)
		}
	}
	if n := testing.AllocsPerRun(10, func() { words = one.Words(words, 4) }); n > 0 || len(words) != 4 {
		t.Errorf("%v allocations", n)
	}
}
