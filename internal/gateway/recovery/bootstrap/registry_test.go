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

func fullList(version int64, all ...endpoints.Worker) endpoints.List {
	return endpoints.List{Version: version, Snapshot: true, Workers: all}
}

// summary is a list in short: the name of an active worker, and in brackets that of an inactive one.
func summary(l endpoints.List) (s string) {
	for _, w := range l.Workers {
		if w.Active {
			s += w.Name + " "
		} else {
			s += "(" + w.Name + ") "
		}
	}
	return s
}

// TestPeerListMerge: discovery's list beats a peer's, a newer one an older, and a peer's list makes
// workers inactive or adds some, and never activates a draining one.
func TestPeerListMerge(t *testing.T) {
	known := fullList(7, worker("a", true), worker("b", false), worker("c", true))
	for _, c := range []struct {
		name string
		of   endpoints.List
		age  float64
		want string // empty: rejected
	}{
		{"older", fullList(6, worker("a", false)), 1, ""},
		{"of the same version", fullList(7, worker("a", true)), 1, ""},
		{"newer: one drains, one is gone, one is new", fullList(8, worker("a", false), worker("d", true)), 1,
			"(a) d "},
		{"newer, and wrong about one that drains", fullList(8, worker("a", true), worker("b", true)), 1,
			"a (b) "},
		{"newer, and all are gone", fullList(8), 1, ""},
		{"newer, and none is active", fullList(8, worker("a", false)), 1, ""},
		{"not full", endpoints.List{Version: 8, Workers: []endpoints.Worker{worker("a", false)}}, 1, ""},
		{"too old", fullList(8, worker("a", true)), MaxAgeMillis + 1, ""},
		{"of a negative age", fullList(8, worker("a", true)), -1, ""},
	} {
		registry := NewRegistry(known)
		got, changed := registry.ApplyPeerList(c.of, c.age)
		if changed != (c.want != "") || summary(got) != c.want {
			t.Errorf("%s: %q, %v", c.name, summary(got), changed)
		}
		if _, _, ok := registry.Shared(0); ok {
			t.Errorf("%s: a peer's list is shared", c.name)
		}
		if whole, ends := registry.DiscoveryAlive(5); ends != changed || ends && summary(whole) != "a (b) c " {
			t.Errorf("%s: once discovery answers: %q", c.name, summary(whole))
		}
		if _, changed := registry.ApplyPeerList(fullList(99, worker("z", true)), 1); changed {
			t.Errorf("%s: accepted beside discovery", c.name)
		}
	}
	registry := NewRegistry(known)
	registry.ApplyPeerList(fullList(9, worker("a", true)), 1)
	if _, changed := registry.ApplyPeerList(fullList(8, worker("c", true)), 1); changed {
		t.Error("an older peer list replaces a newer one")
	}
	since := worker("a", true)
	since.StartedMillis = 500
	if l, _ := registry.ApplyPeerList(fullList(10, since), 1); l.Workers[0].StartedMillis != 500 {
		t.Error("a restarted worker gets no slow start")
	}
	change := endpoints.List{Version: 8, Workers: []endpoints.Worker{{Name: "c", Removed: true}}}
	if l := registry.ApplyDiscovery(change, 5); !l.Snapshot || summary(l) != "a (b) " {
		t.Errorf("discovery's first update: %q", summary(l))
	}
	change = endpoints.List{Version: 9, Workers: []endpoints.Worker{worker("e", true)}}
	if l := registry.ApplyDiscovery(change, 6); l.Snapshot || summary(l) != "e " {
		t.Errorf("discovery's next update: %q", summary(l))
	}
	l, age, ok := registry.Shared(16)
	if !ok || age != 10 || l.Version != 9 || summary(l) != "a (b) e " {
		t.Errorf("shared: %q, %v, %v", summary(l), age, ok)
	}
}

// TestRandomPeerListsNeverUndrain: whatever lists peers send, in whatever order, a worker that was known
// to drain never becomes active by them, and discovery's answer ends their use.
func TestRandomPeerListsNeverUndrain(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		list := func() endpoints.List {
			l := fullList(int64(rng.Intn(12)))
			for i := range 6 {
				if rng.Intn(3) > 0 {
					l.Workers = append(l.Workers, worker(fmt.Sprint(i), rng.Intn(2) == 0))
				}
			}
			return l
		}
		known := list()
		draining, version := map[string]bool{}, known.Version
		for _, w := range known.Workers {
			draining[w.Name] = !w.Active
		}
		registry := NewRegistry(known)
		for range 20 {
			l, changed := registry.ApplyPeerList(list(), rng.Float64()*1e5)
			if !changed {
				continue
			}
			if registry.peerList.Version <= version {
				t.Fatalf("seed %d: version %d after %d", seed, registry.peerList.Version, version)
			}
			version = registry.peerList.Version
			for _, w := range l.Workers {
				if w.Active && draining[w.Name] {
					t.Fatalf("seed %d: %s drains and is active", seed, w.Name)
				}
			}
		}
		registry.DiscoveryAlive(1)
		if registry.usesPeerList || summary(registry.Local()) != summary(NewRegistry(known).Local()) {
			t.Fatalf("seed %d: a peer's list is used after discovery's answer", seed)
		}
	}
}

// TestDiscoveryLagsBehindPeers: while the local list is behind the peers' for long although discovery
// answers, their lists are used until it has caught up. Guards against a discovery service that hangs and
// reports that all is well.
func TestDiscoveryLagsBehindPeers(t *testing.T) {
	b := NewRegistry(fullList(0))
	b.ApplyDiscovery(fullList(7, worker("a", true), worker("b", true)), 0)
	newer := fullList(9, worker("a", true), worker("c", true))
	if b.ObserveIndex(9, 10) || b.NeedsPeers() {
		t.Error("lags at once")
	}
	if _, changed := b.ApplyPeerList(newer, 1); changed {
		t.Error("a peer's list is accepted at once")
	}
	if _, changed := b.DiscoveryAlive(10 + LagToleranceMillis + 1); changed || !b.NeedsPeers() {
		t.Error("it does not ask peers")
	}
	if l, changed := b.ApplyPeerList(newer, 1); !changed || summary(l) != "a c " || b.NeedsPeers() {
		t.Errorf("%q, %v", summary(l), changed)
	}
	if _, changed := b.DiscoveryAlive(2000); changed {
		t.Error("the old list is back with discovery's answer")
	}
	part := endpoints.List{Version: 8, Workers: []endpoints.Worker{worker("a", false)}}
	if l := b.ApplyDiscovery(part, 2100); summary(l) != "(a) c " {
		t.Errorf("with an update that is still old: %q", summary(l))
	}
	if l := b.SetOverrides([]ruleset.WorkerOverride{{Worker: "c", Drained: true}}); summary(l) != "(a) (c) " {
		t.Errorf("with an override: %q", summary(l))
	}
	if l := b.ApplyDiscovery(fullList(9, worker("a", true), worker("c", true)), 2200); summary(l) != "a (c) " ||
		b.NeedsPeers() {
		t.Errorf("when it has caught up: %q", summary(l))
	}
	if b.ObserveIndex(9, 9000) {
		t.Error("lags for good")
	}
}

// TestOverrides: the operators' overrides apply to any list, and the list shared with peers is without
// them.
func TestOverrides(t *testing.T) {
	list := fullList(1, worker("a", true), worker("b", true))
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
		registry := NewRegistry(fullList(0))
		registry.SetOverrides(c.words)
		l := registry.ApplyDiscovery(list, 1)
		gone := 0
		for _, w := range l.Workers {
			if w.Removed {
				gone++
			}
		}
		if summary(l) != c.want || gone != c.gone || l.Workers[0].Weight != c.rating {
			t.Errorf("%v: %q, %d gone, of %v", c.words, summary(l), gone, l.Workers[0].Weight)
		}
		if told, _, ok := registry.Shared(1); !ok || summary(told) != "a b " {
			t.Errorf("%v: shared is %q", c.words, summary(told))
		}
	}
}
