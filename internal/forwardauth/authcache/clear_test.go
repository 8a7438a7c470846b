package authcache

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"testing"
)

var sale = Facts{Customer: 7, Product: 1, Units: 1, SetSize: 3, First: 2}

// A mark's life: open, known, used; each end lets it go, and what a txn is told follows.
func TestBook(t *testing.T) {
	b := NewBook[int](100, 500, 3)
	other := sale
	other.Customer++
	step := func(what string, got, want Finding) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	come := func(mark string, f Facts, now float64) Finding {
		found, _ := b.Come(mark, f, true, now)
		return found
	}
	step("new", b.Ask("a", sale, 0), New)
	step("while it is decided on", b.Ask("a", sale, 0), Open)
	step("it comes meanwhile", come("a", sale, 0), Open)
	if until := b.Grant("a", 42, 0); until != 100 {
		t.Errorf("known until %v", until)
	}
	step("again", b.Ask("a", sale, 50), Known)
	step("by another", b.Ask("a", other, 50), Others)
	step("it comes as another", come("a", other, 50), Others)
	if found, hold := b.Come("a", sale, true, 99); found != Known || hold != 42 {
		t.Errorf("it comes: %v, %v", found, hold)
	}
	step("it comes twice", come("a", sale, 100), Used)
	step("it is asked for again", b.Ask("a", sale, 598), Used)
	b.Drop("a")
	step("what is used is not dropped", come("a", sale, 598), Used)
	step("its time is over", b.Ask("a", sale, 599), New)
	b.Drop("a")
	step("turned down", come("a", sale, 599), New)

	b.Ask("i", sale, 600)
	b.Grant("i", 1, 600)
	b.Come("i", sale, false, 600)
	step("one that may come again", come("i", sale, 600), New)
	b.Ask("l", sale, 600)
	b.Grant("l", 1, 600)
	step("lapsed", come("l", sale, 700), New)
	for i := range 3 {
		step("filling", b.Ask(fmt.Sprint("f", i), sale, 700), New)
	}
	step("full", b.Ask("more", sale, 700), Full)
	step("known ones are not new", b.Ask("f1", sale, 700), Open)
	b.Grant("f1", 5, 700)
	b.Come("f1", sale, true, 710)
	b.Grant("f2", 6, 720)
	all, holds := b.Leave(730)
	if len(all) != 2 || len(holds) != 1 || holds[0] != 6 {
		t.Fatalf("left %+v, %v", all, holds)
	}
	step("another process has it", b.Ask("x", sale, 730), Moved)
	step("a txn then", come("f2", sale, 730), Moved)
	if until := b.Grant("f0", 5, 730); until > 730 { // it was open as the book was left
		t.Errorf("granted after that, until %v", until)
	}
	h := NewBook[int](100, 500, 2)
	for i, c := range append(all, all[0], Clearance{Mark: "over", Until: 700},
		Clearance{Mark: "one more", Until: 9e9}) {
		if h.Inherit(c, 9, 730) != (i < 2) {
			t.Errorf("entry %d of the heir's", i)
		}
	}
	found, hold := h.Come("f2", sale, true, 740)
	if found != Known || hold != 9 {
		t.Errorf("at the heir: %v, %v", found, hold)
	}
	found, _ = h.Come("f1", sale, true, 740)
	step("used before the heir", found, Used)
}

// Whatever is asked, in whatever order, no mark comes twice within its memory, what is kept stays within its
// bound, and all of it is let go in the end.
func TestBookAtRandom(t *testing.T) {
	const most = 40
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		b, now := NewBook[int](100, 400, most), 0.0
		came := map[string]float64{}
		for range 5000 {
			now += rng.ExpFloat64() * 5
			mark := fmt.Sprint(rng.Intn(80))
			switch rng.Intn(4) {
			case 0, 1:
				if b.Ask(mark, sale, now) == New {
					if rng.Intn(3) == 0 {
						b.Drop(mark)
					} else {
						b.Grant(mark, 1, now)
					}
				}
			case 2:
				if found, _ := b.Come(mark, sale, true, now); found == Known {
					if last, there := came[mark]; there && now < last+400 {
						t.Fatalf("seed %d: %s comes at %v and %v", seed, mark, last, now)
					}
					came[mark] = now
				}
			case 3:
				all, _ := b.Leave(now)
				if b = NewBook[int](100, 400, most); rng.Intn(2) == 0 {
					for _, c := range all {
						b.Inherit(c, 1, now)
					}
				} else {
					clear(came) // it was killed: the bound that is stated
				}
			}
			if n := b.Len(now); n > most || len(b.known)+len(b.used) > 2*most {
				t.Fatalf("seed %d: %d known, %d and %d due", seed, n, len(b.known), len(b.used))
			}
		}
		if n := b.Len(now + 1000); n != 0 {
			t.Errorf("seed %d: %d are never let go", seed, n)
		}
	}
}

// Each mark has one home in its set, the same whoever asks, and the homes share the work.
func TestHome(t *testing.T) {
	var at [5]int
	sale := sale
	sale.First = 3
	for i := range 3000 {
		mark := fmt.Sprint(i)
		h := Home(mark, sale, 5)
		if h != Home(mark, sale, 5) {
			t.Fatal("not the same")
		}
		at[h]++
	}
	if at[1]+at[2] != 0 || at[0] < 800 || at[3] < 800 || at[4] < 800 { // 3 in a row from 3, round 5
		t.Errorf("homes %v", at)
	}
}

func terms() Terms {
	return Terms{Limit: 150, Share: 0.4, Yes: 5000, No: 1000, Kept: 8, After: 3, Pause: 100, MostPause: 400}
}

// An answer is good from when it was asked for, for its kind's time, and no longer: a credential that is
// withdrawn passes for so long at most.
func TestAnswersEnd(t *testing.T) {
	s := NewService(terms(), 1)
	a, b := Digest{1}, Digest{2}
	s.Heard(a, Answer{Yes: true}, 1000, 1140, true)
	s.Heard(b, Answer{Status: 403}, 1000, 1140, true)
	s.Heard(Digest{3}, Answer{Yes: true}, 1000, 9000, true) // it took longer than it is good for
	s.Heard(Digest{4}, Answer{Yes: true}, 1000, 1140, false)
	for _, c := range []struct {
		d      Digest
		now    float64
		known  bool
		passes bool
	}{{a, 5999, true, true}, {a, 6000, false, false}, {b, 1999, true, false}, {b, 2000, false, false},
		{Digest{3}, 9000, false, false}, {Digest{4}, 1140, false, false}} {
		got, ok := s.Recall(c.d, c.now)
		if ok != c.known || ok && got.Yes != c.passes {
			t.Errorf("%v at %v: %+v, %v", c.d[0], c.now, got, ok)
		}
	}
	if p := s.Patience(1000); p != 150 {
		t.Errorf("patience of much time %v", p)
	}
	if p := s.Patience(100); p != 40 {
		t.Errorf("patience of little time %v", p)
	}
}

// A service that fails is left alone, longer each time and never in step with others, then asked once.
func TestBreaker(t *testing.T) {
	s := NewService(terms(), 1)
	fail := func(now float64) {
		t.Helper()
		if ok, _ := s.MayAsk(now); !ok {
			t.Fatalf("not asked at %v", now)
		}
		s.Lost(now)
	}
	fail(0)
	fail(1)
	s.Heard(Digest{1}, Answer{Yes: true}, 2, 2, true) // and all is forgotten
	now := 3.0
	for range 3 {
		fail(now)
	}
	for i, span := range []float64{100, 200, 400, 400} {
		if !s.Shut(now) {
			t.Errorf("not left alone after failure %d", i)
		}
		s.Lost(now + 1) // under way before
		ok, wait := s.MayAsk(now)
		if ok || wait < span*0.75 || wait > span*1.25 {
			t.Errorf("pause %d: %v, %v", i, ok, wait)
		}
		if ok, _ := s.MayAsk(now + wait - 0.01); ok {
			t.Errorf("pause %d: asked in it", i)
		}
		now += wait
		if ok, _ := s.MayAsk(now); !ok {
			t.Fatalf("pause %d: not asked after it", i)
		}
		if ok, _ := s.MayAsk(now); ok {
			t.Errorf("pause %d: asked twice at once after it", i)
		}
		if i == 1 { // there was no connection for it
			s.Unasked()
			if ok, _ := s.MayAsk(now); !ok {
				t.Error("not asked after one that was not")
			}
		}
		s.Lost(now)
	}
	_, wait := s.MayAsk(now)
	now += wait
	s.MayAsk(now)
	s.Heard(Digest{1}, Answer{Status: 401}, now, now, true) // a no is an answer
	if ok, _ := s.MayAsk(now); !ok || s.Shut(now) {
		t.Error("left alone after an answer")
	}
	x, y := NewService(terms(), 2), NewService(terms(), 3)
	for range 3 {
		x.Lost(0)
		y.Lost(0)
	}
	_, a := x.MayAsk(1)
	_, b := y.MayAsk(1)
	if a == b {
		t.Error("two come back in step")
	}
}

// A hundred thousand credentials are kept in bounded memory, and a million asked for go through it.
func TestCredentialsBounded(t *testing.T) {
	x := terms()
	x.Kept = 100000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewService(x, 1)
	for i := range uint64(1000000) {
		var d Digest
		binary.LittleEndian.PutUint64(d[:], i)
		s.Heard(d, Answer{Yes: true, Named: true, Customer: i}, 0, 0, true)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	mb := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	if s.Kept() != x.Kept || mb > 40 || math.IsNaN(mb) {
		t.Errorf("%d kept in %.1f MB", s.Kept(), mb)
	}
	t.Logf("%d kept in %.1f MB", s.Kept(), mb)
}

func BenchmarkBook(b *testing.B) {
	book := NewBook[int](100, 400, 65536)
	marks := make([]string, 4096)
	for i := range marks {
		marks[i] = fmt.Sprintf("%016x", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		now, m := float64(i), marks[i%len(marks)]
		if book.Ask(m, sale, now) == New {
			book.Grant(m, 1, now)
			book.Come(m, sale, true, now)
		}
	}
}
