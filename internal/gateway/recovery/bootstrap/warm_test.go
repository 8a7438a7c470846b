package bootstrap

import (
	"fmt"
	"math/rand"
	"net/netip"
	"testing"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/ruleset"
)

func worker(name string, active bool) endpoints.Worker {
	return endpoints.Worker{Name: name, Active: active, Address: netip.MustParseAddrPort("127.0.0.1:80")}
}

func whole(version int64, all ...endpoints.Worker) endpoints.List {
	return endpoints.List{Version: version, Snapshot: true, Workers: all}
}

// text is a list in short: a name alone is active, one in brackets is not.
func text(l endpoints.List) (s string) {
	for _, w := range l.Workers {
		if w.Active {
			s += w.Name + " "
		} else {
			s += "(" + w.Name + ") "
		}
	}
	return s
}

// Own sight beats hearsay, newer beats older, and hearsay takes away or adds, and never brings back.
func TestBook(t *testing.T) {
	known := whole(7, worker("a", true), worker("b", false), worker("c", true))
	for _, c := range []struct {
		name string
		of   endpoints.List
		age  float64
		want string // empty: not believed
	}{
		{"older", whole(6, worker("a", false)), 1, ""},
		{"of the same version", whole(7, worker("a", true)), 1, ""},
		{"newer: one drains, one is gone, one is new", whole(8, worker("a", false), worker("d", true)), 1,
			"(a) d "},
		{"newer, and wrong about one that drains", whole(8, worker("a", true), worker("b", true)), 1,
			"a (b) "},
		{"newer, and all are gone", whole(8), 1, ""},
		{"newer, and none takes anything", whole(8, worker("a", false)), 1, ""},
		{"not whole", endpoints.List{Version: 8, Workers: []endpoints.Worker{worker("a", false)}}, 1, ""},
		{"too old", whole(8, worker("a", true)), MostAge + 1, ""},
		{"of an age that is none", whole(8, worker("a", true)), -1, ""},
	} {
		b := NewBook(known)
		got, changed := b.Peer(c.of, c.age)
		if changed != (c.want != "") || text(got) != c.want {
			t.Errorf("%s: %q, %v", c.name, text(got), changed)
		}
		if _, _, ok := b.Tells(0); ok {
			t.Errorf("%s: hearsay is told on", c.name)
		}
		if whole, ends := b.Alive(5); ends != changed || ends && text(whole) != "a (b) c " {
			t.Errorf("%s: once discovery is heard: %q", c.name, text(whole))
		}
		if _, changed := b.Peer(whole(99, worker("z", true)), 1); changed {
			t.Errorf("%s: believed beside discovery", c.name)
		}
	}
	b := NewBook(known)
	b.Peer(whole(9, worker("a", true)), 1)
	if _, changed := b.Peer(whole(8, worker("c", true)), 1); changed {
		t.Error("older hearsay beats newer")
	}
	since := worker("a", true)
	since.StartedMillis = 500
	if l, _ := b.Peer(whole(10, since), 1); l.Workers[0].StartedMillis != 500 {
		t.Error("one that started anew does not count as cold")
	}
	change := endpoints.List{Version: 8, Workers: []endpoints.Worker{{Name: "c", Removed: true}}}
	if l := b.Discovery(change, 5); !l.Snapshot || text(l) != "a (b) " {
		t.Errorf("discovery's first word: %q", text(l))
	}
	change = endpoints.List{Version: 9, Workers: []endpoints.Worker{worker("e", true)}}
	if l := b.Discovery(change, 6); l.Snapshot || text(l) != "e " {
		t.Errorf("discovery's next word: %q", text(l))
	}
	l, age, ok := b.Tells(16)
	if !ok || age != 10 || l.Version != 9 || text(l) != "a (b) e " {
		t.Errorf("told on: %q, %v, %v", text(l), age, ok)
	}
}

// Whatever peers say, in whatever order, a worker that was known to drain is never active on their word, and
// discovery's word ends all of it.
func TestHearsayAtRandom(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		list := func() endpoints.List {
			l := whole(int64(rng.Intn(12)))
			for i := range 6 {
				if rng.Intn(3) > 0 {
					l.Workers = append(l.Workers, worker(fmt.Sprint(i), rng.Intn(2) == 0))
				}
			}
			return l
		}
		known := list()
		drains, version := map[string]bool{}, known.Version
		for _, w := range known.Workers {
			drains[w.Name] = !w.Active
		}
		b := NewBook(known)
		for range 20 {
			l, changed := b.Peer(list(), rng.Float64()*1e5)
			if !changed {
				continue
			}
			if b.hearsay.Version <= version {
				t.Fatalf("seed %d: version %d after %d", seed, b.hearsay.Version, version)
			}
			version = b.hearsay.Version
			for _, w := range l.Workers {
				if w.Active && drains[w.Name] {
					t.Fatalf("seed %d: %s drains and is taken for active", seed, w.Name)
				}
			}
		}
		b.Alive(1)
		if b.inForce || text(b.Own()) != text(NewBook(known).Own()) {
			t.Fatalf("seed %d: hearsay outlives discovery's word", seed)
		}
	}
}

// A list that is behind what others have for long, though discovery goes on being heard, is held against
// theirs: until it has caught up what they say takes away and adds. Guards against a discovery that hangs
// and says that all is well.
func TestLags(t *testing.T) {
	b := NewBook(whole(0))
	b.Discovery(whole(7, worker("a", true), worker("b", true)), 0)
	newer := whole(9, worker("a", true), worker("c", true))
	if b.Lags(9, 10) || b.Waits() {
		t.Error("late at once")
	}
	if _, changed := b.Peer(newer, 1); changed {
		t.Error("hearsay is believed at once")
	}
	if _, changed := b.Alive(10 + LagFor + 1); changed || !b.Waits() {
		t.Error("it does not come to ask")
	}
	if l, changed := b.Peer(newer, 1); !changed || text(l) != "a c " || b.Waits() {
		t.Errorf("%q, %v", text(l), changed)
	}
	if _, changed := b.Alive(2000); changed {
		t.Error("the old list is back with a sign of life")
	}
	part := endpoints.List{Version: 8, Workers: []endpoints.Worker{worker("a", false)}}
	if l := b.Discovery(part, 2100); text(l) != "(a) c " {
		t.Errorf("with news that are old yet: %q", text(l))
	}
	if l := b.Words([]ruleset.WorkerOverride{{Worker: "c", Drained: true}}); text(l) != "(a) (c) " {
		t.Errorf("with a word on it: %q", text(l))
	}
	if l := b.Discovery(whole(9, worker("a", true), worker("c", true)), 2200); text(l) != "a (c) " || b.Waits() {
		t.Errorf("when it has caught up: %q", text(l))
	}
	if b.Lags(9, 9000) {
		t.Error("late for good")
	}
}

// The operators' words hold over any list, and what is told on is without them.
func TestWords(t *testing.T) {
	list := whole(1, worker("a", true), worker("b", true))
	list.Workers[0].Zone, list.Workers[1].Zone = "x", "y"
	for _, c := range []struct {
		words  []ruleset.WorkerOverride
		want   string
		gone   int
		rating float64 // of the first
	}{
		{nil, "a b ", 0, 0},
		{[]ruleset.WorkerOverride{{Worker: "a", Drained: true}}, "(a) b ", 0, 0},
		{[]ruleset.WorkerOverride{{Worker: "a", Barred: true}}, "(a) b ", 1, 0},
		{[]ruleset.WorkerOverride{{Region: "y", Barred: true}, {Worker: "a", Weight: 3}, {Region: "x", Weight: 2}},
			"a (b) ", 1,
			3},
		{[]ruleset.WorkerOverride{{Region: "y", Worker: "a", Barred: true}, {Barred: true}}, "a b ", 0, 0},
	} {
		b := NewBook(whole(0))
		b.Words(c.words)
		l := b.Discovery(list, 1)
		gone := 0
		for _, w := range l.Workers {
			if w.Removed {
				gone++
			}
		}
		if text(l) != c.want || gone != c.gone || l.Workers[0].Weight != c.rating {
			t.Errorf("%v: %q, %d gone, of %v", c.words, text(l), gone, l.Workers[0].Weight)
		}
		if told, _, ok := b.Tells(1); !ok || text(told) != "a b " {
			t.Errorf("%v: told on is %q", c.words, text(told))
		}
	}
}
