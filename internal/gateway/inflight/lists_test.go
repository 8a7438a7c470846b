package inflight

import (
	"fmt"
	"math/rand"
	"net/netip"
	"reflect"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// oldList is the model of Workers.
type oldList struct {
	zones, kinds Index
	places       map[string]int
	all          []*oldWorker
	postings     []policy.Posting
}

type oldWorker struct {
	name       string
	addr       netip.AddrPort
	since      float64
	active     bool
	gone       bool
	zone, cell int
	life       atomic.Int64
}

// Update takes a list as it was taken when all places were gone over for each worker.
func (w *oldList) Update(l endpoints.List, vacant func(int) bool) (list []policy.Posting, ended []int) {
	w.postings = w.postings[:0]
	named := map[int]bool{}
	for _, e := range l.Workers {
		i, known := w.places[e.Name]
		if !known {
			i = w.place(e, vacant)
		}
		named[i] = true
		x, zone := w.all[i], w.zones.Of(e.Zone)
		if !known { // nothing was meant for it elsewhere
			x.zone, x.cell = zone, e.Cell
		}
		if x.become(e.Address, e.Since, e.Active, zone, e.Cell) {
			ended = append(ended, i)
		}
		x.gone = e.Gone
		w.postings = append(w.postings, policy.Posting{Worker: i, Zone: zone, Cell: e.Cell,
			Kind: w.kinds.Of(e.Kind), Rating: e.Rating,
			Active: e.Active, Since: e.Since, New: !known})
	}
	for i, x := range w.all {
		if l.Whole && !named[i] {
			if x.gone = true; x.become(x.addr, x.since, false, x.zone, x.cell) {
				ended = append(ended, i)
			}
		}
	}
	return w.postings, ended
}

// place gives a worker that is not known a place: that of one that is gone, or a new one. Guards against
// workers without end, each under a name of its own, that fill the memory.
func (w *oldList) place(e endpoints.Worker, vacant func(int) bool) int {
	x, at := &oldWorker{name: e.Name, since: e.Since, addr: e.Address}, len(w.all)
	for i, other := range w.all {
		if other.gone && vacant(i) {
			at = i
			break
		}
	}
	if at == len(w.all) {
		w.all = append(w.all, x)
	} else {
		delete(w.places, w.all[at].name)
		w.all[at] = x
	}
	if w.places == nil {
		w.places = map[string]int{}
	}
	w.places[e.Name] = at
	return at
}

// become notes a worker's state, and tells whether that ends what was meant for it as it was: a repeat that
// is on its way must not reach it outside of its txn's group.
func (w *oldWorker) become(addr netip.AddrPort, since float64, active bool, zone, cell int) bool {
	if w.addr == addr && w.since == since && w.active == active && w.zone == zone && w.cell == cell {
		return false
	}
	w.addr, w.since, w.active, w.zone, w.cell = addr, since, active, zone, cell
	w.life.Add(1)
	return true
}

// sight is all that lists make of the workers, but for what a posting is worth where nothing has changed.
type sight struct {
	listed map[int]policy.Posting // the module's, as it keeps them
	order  []policy.Posting       // of those of others' places, or of other lives: these draw chance
}

func (s *sight) take(list []policy.Posting, whole bool) {
	s.order = nil
	for i, p := range s.listed {
		if whole {
			p.Active = false
			s.listed[i] = p
		}
	}
	for _, p := range list {
		was, known := s.listed[p.Worker]
		if p.New || !known || was.Since != p.Since {
			s.order = append(s.order, p)
		}
		p.New = false
		s.listed[p.Worker] = p
	}
}

// Guards against places, lives or changes that come out otherwise than when each list was gone over with all
// places. What only the changes of a whole list give the module comes to the same as the whole list.
func TestListsAsBefore(t *testing.T) {
	reused, whole, none, twice := 0, 0, 0, 0
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		var was oldList
		var is, by Workers
		wasSight, isSight, bySight := sight{listed: map[int]policy.Posting{}}, sight{}, sight{}
		isSight.listed, bySight.listed = map[int]policy.Posting{}, map[int]policy.Posting{}
		names := 4 + rng.Intn(60)
		last := map[string]endpoints.Worker{}
		for range 60 {
			l := endpoints.List{Whole: rng.Intn(3) == 0}
			for range rng.Intn(2 + names) {
				name := fmt.Sprint(rng.Intn(2 * names))
				e, known := last[name]
				if !known || rng.Intn(5) == 0 {
					e = endpoints.Worker{Name: name, Zone: fmt.Sprint("z", rng.Intn(3)), Cell: rng.Intn(3),
						Kind: fmt.Sprint("k", rng.Intn(2)), Rating: float64(rng.Intn(2)), Since: float64(rng.Intn(3)),
						Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(rng.Intn(3)))}
					e.Active = rng.Intn(3) > 0
					e.Gone = !e.Active && rng.Intn(2) == 0
				}
				if last[name] = e; rng.Intn(50) > 0 && slices.ContainsFunc(l.Workers, func(o endpoints.Worker) bool {
					return o.Name == name
				}) {
					continue
				}
				l.Workers = append(l.Workers, e)
			}
			if len(l.Workers) > 0 && rng.Intn(20) == 0 { // named twice, the last time as it was
				l.Workers = append([]endpoints.Worker{{Name: l.Workers[0].Name, Since: 9}}, l.Workers...)
			}
			refers := rng.Intn(1 + names)
			vacant := func(i int) bool { return i%7 != refers%7 }
			wasList, wasEnded := was.Update(l, vacant)
			isList, isEnded := is.Update(l, vacant)
			if !slices.Equal(wasList, isList) || !slices.Equal(wasEnded, isEnded) {
				t.Fatalf("seed %d: %v, %v; was %v, %v", seed, isList, isEnded, wasList, wasEnded)
			}
			change := by.Changes(l)
			byList, byEnded := by.Update(change, vacant)
			if l.Whole && !change.Whole {
				whole++
				if len(byList) == 0 {
					none++
				}
			} else if l.Whole && len(by.all) > 0 {
				twice++
			}
			if !slices.Equal(wasEnded, byEnded) {
				t.Fatalf("seed %d: by its changes %v end, was %v", seed, byEnded, wasEnded)
			}
			wasSight.take(wasList, l.Whole)
			bySight.take(byList, change.Whole)
			// Of a worker that is not listed the module keeps what it was last told, be it active or not.
			for i, p := range bySight.listed {
				o := wasSight.listed[i]
				if !p.Active && !o.Active {
					o.Active = p.Active
				}
				if o != p {
					t.Fatalf("seed %d: place %d is %+v by its changes, was %+v", seed, i, p, o)
				}
			}
			if !slices.Equal(wasSight.order, bySight.order) || len(wasSight.listed) != len(bySight.listed) {
				t.Fatalf("seed %d: %v are news by its changes, were %v", seed, bySight.order, wasSight.order)
			}
			for _, w := range []*Workers{&is, &by} {
				if !reflect.DeepEqual(w.places, was.places) || len(w.all) != len(was.all) ||
					!slices.Equal(w.zones.names, was.zones.names) {
					t.Fatalf("seed %d: other places: %v, were %v", seed, w.places, was.places)
				}
				active := false
				for i, x := range w.all {
					o := was.all[i]
					active = active || o.active
					if x.name != o.name || x.addr != o.addr || x.since != o.since || x.active != o.active ||
						x.gone != o.gone || x.zone != o.zone || x.cell != o.cell || x.life.Load() != o.life.Load() {
						t.Fatalf("seed %d: place %d is %+v, was %+v", seed, i, x, o)
					}
				}
				if w.Active() != active {
					t.Fatalf("seed %d: active %v", seed, !active)
				}
			}
			for _, p := range isList {
				if p.New && p.Worker < len(was.all)-1 {
					reused++
				}
			}
		}
	}
	if reused < 500 || whole < 1000 || none < 5 || twice < 5 {
		t.Errorf("%d places were reused, %d whole lists came by changes, %d changed nothing, %d went whole", reused,
			whole, none, twice)
	}
}

// Pieces of a list come to what the list comes to, with what is taken away first. Guards against a last word
// on a worker that is overtaken, and against a moment at which hardly any worker is left.
func TestPieces(t *testing.T) {
	change := func(from, to int, active func(i int) bool) endpoints.List {
		l := vast(to, true)
		l.Whole, l.Workers = false, l.Workers[from:]
		for i := range l.Workers {
			l.Workers[i].Active = active(i)
		}
		return l
	}
	odd := func(i int) bool { return i%2 > 0 }
	twice := change(0, 100, odd)
	twice.Workers[99] = twice.Workers[0]
	twice.Workers[99].Active = true
	whole := change(0, 100, odd)
	whole.Whole = true
	for _, c := range []struct {
		name   string
		l      endpoints.List
		pieces int
	}{
		{"short", change(0, 30, odd), 1},
		{"long", change(0, 100, odd), 4},
		{"all new, few of all", change(290, 390, odd), 4},
		{"half of all", change(0, 151, odd), 1},
		{"whole", whole, 1},
		{"one twice", twice, 1},
		{"nothing", endpoints.List{}, 1},
	} {
		var one, cut Workers
		one.Update(vast(300, true), empty)
		cut.Update(vast(300, true), empty)
		pieces := cut.Pieces(c.l, 30)
		if len(pieces) != c.pieces {
			t.Errorf("%s: %d pieces", c.name, len(pieces))
		}
		one.Update(c.l, empty)
		added := false
		for _, p := range pieces {
			for _, e := range p.Workers {
				if added = added || e.Active; added && !e.Active && len(pieces) > 1 {
					t.Errorf("%s: %s is taken away after others were added", c.name, e.Name)
				}
			}
			cut.Update(p, empty)
		}
		if len(one.all) != len(cut.all) || one.Active() != cut.Active() {
			t.Errorf("%s: %d places, %d in one go", c.name, len(cut.all), len(one.all))
		}
		for name, at := range one.places {
			x, o := cut.all[cut.places[name]], one.all[at]
			if x.name != name || x.active != o.active || x.gone != o.gone || x.addr != o.addr {
				t.Errorf("%s: %s is %+v, in one go %+v", c.name, name, x, o)
			}
		}
	}
}

func vast(n int, active bool) endpoints.List {
	l := endpoints.List{Whole: true}
	for i := range n {
		l.Workers = append(
			l.Workers,
			endpoints.Worker{Name: fmt.Sprint("worker-", i), Zone: fmt.Sprint("z", i/7900),
				Cell: i / 38, Kind: fmt.Sprint("k", i%5), Rating: 1, Active: active,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)},
		)
	}
	return l
}

var sizes = []int{200, 2000, 6000, 20000, 60000, 110000}

func empty(int) bool { return true }

func BenchmarkFirst(b *testing.B) {
	for _, n := range sizes {
		l := vast(n, true)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var w Workers
				w.Update(l, empty)
			}
		})
	}
}

// BenchmarkFirstOfOthers is a whole list of workers that are all others than before.
func BenchmarkFirstOfOthers(b *testing.B) {
	for _, n := range sizes {
		one, two := vast(n, true), vast(n, true)
		for i := range two.Workers {
			two.Workers[i].Name = "other-" + two.Workers[i].Name
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var w Workers
			for b.Loop() {
				w.Update(one, empty)
				w.Update(two, empty)
			}
		})
	}
}

func BenchmarkAgain(b *testing.B) {
	for _, n := range sizes {
		l := vast(n, true)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var w Workers
			w.Update(l, empty)
			for b.Loop() {
				w.Update(l, empty)
			}
		})
	}
}

// BenchmarkOne is one worker's change: it drains, or is back.
func BenchmarkOne(b *testing.B) {
	for _, n := range sizes {
		up, down := vast(n, true), vast(n, false)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var w Workers
			w.Update(up, empty)
			for i := 0; b.Loop(); i++ {
				of, at := &down, (i/2*7919)%n
				if i%2 > 0 {
					of = &up
				}
				w.Update(endpoints.List{Workers: of.Workers[at : at+1]}, empty)
			}
		})
	}
}

// BenchmarkHall is a zone's 7,900 changes in one list.
func BenchmarkHall(b *testing.B) {
	for _, n := range sizes {
		if n < 7900 {
			continue
		}
		up, down := vast(7900, true), vast(7900, false)
		up.Whole, down.Whole = false, false
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var w Workers
			w.Update(vast(n, true), empty)
			for i := 0; b.Loop(); i++ {
				if i%2 == 0 {
					w.Update(down, empty)
				} else {
					w.Update(up, empty)
				}
			}
		})
	}
}

// BenchmarkMemory gives the bytes of the heap that a list keeps here, beside its own texts.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := vast(n, true)
			for range b.N {
				before := heap()
				w := &Workers{}
				w.Update(l, empty)
				kept := heap() - before
				runtime.KeepAlive(w)
				b.ReportMetric(kept/float64(n), "B/each")
			}
		})
	}
}
