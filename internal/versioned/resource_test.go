package versioned

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// entries draws some of few keys, so that states overlap.
func entries(t *rapid.T, label string) []Entry {
	n := rapid.IntRange(0, 12).Draw(t, label)
	var all []Entry
	for range n {
		all = append(all, Entry{Key: fmt.Sprintf("k%d", rapid.IntRange(0, 9).Draw(t, "key")),
			Value: rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "value")})
	}
	return all
}

// held is what a state has, as a map.
func held(s *State) map[string]string {
	m := map[string]string{}
	for k, v := range s.All() {
		m[k] = string(v)
	}
	return m
}

func TestStatesAreSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := entries(t, "entries")
		want, bytes := map[string]string{}, 0
		for _, e := range all {
			want[e.Key] = string(e.Value)
		}
		for k, v := range want {
			bytes += len(k) + len(v)
		}
		s := New(3, all)
		if got := held(s); !maps.Equal(got, want) || s.Len() != len(want) || s.Bytes() != bytes {
			t.Fatalf("%v, not %v", got, want)
		}
		var again []Entry // in another order, each once, and some twice
		for _, k := range slices.Backward(slices.Sorted(maps.Keys(want))) {
			again = append(again, Entry{Key: k, Value: []byte(want[k])}, Entry{Key: k, Value: []byte(want[k])})
		}
		if o := New(3, again); o.Mark() != s.Mark() {
			t.Fatalf("%v and %v of the same", o.Mark(), s.Mark())
		}
		if New(4, all).Mark() == s.Mark() {
			t.Fatal("another number has the same mark")
		}
	})
}

// A delta makes the one state of the other, against that base alone, and once; another base or anything
// spoilt is refused, and the base stays as it was.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to, third := New(1, entries(t, "from")), New(2, entries(t, "to")), New(3, entries(t, "third"))
		before := held(from)
		d := Between(from, to)
		got, err := from.Apply(d)
		if err != nil || got.Mark() != to.Mark() || !maps.Equal(held(got), held(to)) || got.Bytes() != to.Bytes() {
			t.Fatalf("%v: %v, not %v", err, got.Mark(), to.Mark())
		}
		if _, err := got.Apply(d); !errors.Is(err, ErrBase) { // doubled
			t.Fatalf("twice: %v", err)
		}
		if _, err := third.Apply(d); !errors.Is(err, ErrBase) { // the wrong base, or one before it was lost
			t.Fatalf("on another: %v", err)
		}
		if _, err := (*State)(nil).Apply(d); !errors.Is(err, ErrBase) {
			t.Fatalf("on nothing: %v", err)
		}
		w, err := third.Apply(Whole(to))
		if err != nil || w.Mark() != to.Mark() || !maps.Equal(held(w), held(to)) {
			t.Fatalf("whole: %v", err)
		}
		if x := spoil(t, d); x != nil {
			if o, err := from.Apply(x); err == nil && !maps.Equal(held(o), held(to)) {
				t.Fatalf("spoilt: %+v gives %v", x, held(o))
			} else if err == nil && o.Mark() != to.Mark() {
				t.Fatalf("spoilt: %v", o.Mark())
			}
		}
		if !maps.Equal(held(from), before) || from.Mark() != New(1, Whole(from).Set).Mark() {
			t.Fatal("the base has changed")
		}
	})
}

// spoil gives a delta with something else in it; its marks stay. nil: there is nothing to be spoilt.
func spoil(t *rapid.T, d *Delta) *Delta {
	x := &Delta{From: d.From, To: d.To, Set: slices.Clone(d.Set), Drop: slices.Clone(d.Drop)}
	switch how := rapid.IntRange(0, 5).Draw(t, "spoilt"); {
	case how == 0 && len(x.Set) > 0:
		x.Set = x.Set[1:]
	case how == 1 && len(x.Drop) > 0:
		x.Drop = x.Drop[1:]
	case how == 2 && len(x.Set) > 0:
		x.Set[0].Value = append(slices.Clone(x.Set[0].Value), 'x')
	case how == 3 && len(x.Set) > 0:
		x.Set[0].Key += "x"
	case how == 4:
		x.Set = append(x.Set, Entry{Key: "strange"})
	case how == 5:
		x.Drop = append(x.Drop, "k1", "k2")
	default:
		return nil
	}
	return x
}

// A chain of deltas gives what a whole does, and the states on the way stay as they are.
func TestChainOfDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(1, entries(t, "first"))
		all := []*State{s}
		for n := uint64(2); n < 8; n++ {
			to := New(n, entries(t, "next"))
			got, err := s.Apply(Between(s, to))
			if err != nil || got.Mark() != to.Mark() {
				t.Fatalf("%v", err)
			}
			s = got
			all = append(all, s)
		}
		for i, o := range all {
			if o.Mark() != New(uint64(i+1), Whole(o).Set).Mark() {
				t.Fatalf("state %d is another than its mark", i+1)
			}
		}
	})
}

func TestPrefixAndGet(t *testing.T) {
	s := New(1, []Entry{{Key: "a/1", Value: []byte("x")}, {Key: "a/2"}, {Key: "b", Value: []byte("y")}})
	var got []string
	for k := range s.Prefix("a/") {
		got = append(got, k)
	}
	if !slices.Equal(got, []string{"a/1", "a/2"}) {
		t.Errorf("%v", got)
	}
	if v, there := s.Get("b"); !there || string(v) != "y" {
		t.Errorf("%s %v", v, there)
	}
	if _, there := s.Get("a/"); there {
		t.Error("a prefix is no entry")
	}
	for range s.All() { // ends at once where one breaks off
		break
	}
	var none *State
	if none.Len()+none.Bytes() != 0 || !none.Mark().None() {
		t.Error("nil is no empty state")
	}
	if _, there := none.Get("b"); there {
		t.Error("nil has something")
	}
	if empty := New(1, nil); empty.Mark().None() || empty.Len() != 0 {
		t.Error("an empty state of a number has no mark")
	}
}

// A delta costs what it changes of a large state, not what that has.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 7900} {
		var all []Entry
		for i := range n {
			all = append(all, Entry{Key: fmt.Sprintf("member/%06d", i), Value: make([]byte, 40)})
		}
		from := New(1, all)
		d := Between(from, New(2, append(all, Entry{Key: "member/000050", Value: make([]byte, 41)})))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := from.Apply(d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
