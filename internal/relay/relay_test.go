package relay

import (
	"fmt"
	"testing"

	"willowdeck/internal/accord"
	"willowdeck/internal/resource"
)

// rules are some that so many gatekeepers agree on, two on a host.
func rules(members int, ceiling float64) accord.Rules {
	r := accord.Rules{Form: accord.Form, Lease: 1000, Bound: accord.MostBound,
		Fallback: accord.Fallback{Part: 0.5, For: 500},
		Plans:    []accord.Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling, CeilingDepth: ceiling}}}
	for i := range members {
		r.Members = append(r.Members, accord.Member{Name: fmt.Sprintf("g%d", i), Host: fmt.Sprintf("h%d", i/2),
			Peers: fmt.Sprintf("127.0.%d.%d:9000", i/250, i%250)})
	}
	return r
}

func state(t testing.TB, number uint64, r accord.Rules) *resource.State {
	t.Helper()
	s, err := accord.Entries(&accord.Version{Number: number, Rules: r})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// told has a follower ask until it has something to say, and passes its questions to sources by way of their
// encoding. It gives the decisions other than Wake.
func told(t testing.TB, f *Follower, now float64, above ...*Source) (all []Decision) {
	t.Helper()
	f.Clock(now)
	for {
		d, ok := f.Next()
		if !ok {
			return all
		}
		if d.Kind == Wake {
			continue
		}
		all = append(all, d)
		if d.Kind == AskOf {
			raw, err := d.Ask.Bytes()
			if err != nil {
				t.Fatal(err)
			}
			a, err := ReadAsk(raw)
			if err != nil {
				t.Fatal(err)
			}
			r, err := above[d.Upstream].Answer(a, now)
			if err != nil {
				t.Fatal(err)
			}
			if raw, err = r.Bytes(); err != nil {
				t.Fatal(err)
			}
			if r, err = ReadAnswer(raw); err != nil {
				t.Fatal(err)
			}
			f.Heard(d.Upstream, now, r)
		}
	}
}

// A version goes once, whole and then as a delta; a renewal carries none; a chain adds up the ages.
func TestChain(t *testing.T) {
	root := NewSource("root", "c", Bounds{})
	mid, low := NewSource("mid", "c", Bounds{}), NewSource("low", "c", Bounds{})
	fm := NewFollower(Config{Name: "mid", Cluster: "c", Upstream: 1, Interest: accord.Interest{All: true}}, 0)
	fl := NewFollower(Config{Name: "low", Cluster: "c", Upstream: 1,
		Interest: accord.Interest{Host: "h3", Around: 1}}, 0)
	v1, v2 := state(t, 1, rules(20, 96)), state(t, 2, rules(20, 48))
	root.Offer(View{Step: 2, Begun: 500, Rules: v1, Index: 7})
	now := 500.0
	step := func(n int) {
		for range n {
			now += 50
			told(t, fm, now, root)
			if v, ok := fm.View(); ok {
				mid.Offer(v)
			}
			told(t, fl, now, mid)
			if v, ok := fl.View(); ok {
				low.Offer(v)
			}
		}
	}
	step(6)
	v, ok := fl.View()
	if !ok || v.Step != 2 || v.Begun != 500 || v.Depth != 2 || v.Index != 7 {
		t.Fatalf("%+v %v", v, ok)
	}
	got, err := accord.FromState(v.Rules)
	if err != nil || len(got.Rules.Members) != 20 || accord.Place(&got.Rules, "g5") != 5 ||
		accord.Place(&got.Rules, "g8") != 8 || accord.Place(&got.Rules, "g9") != -1 {
		t.Fatalf("%v %+v", err, got.Rules.Members)
	}
	root.Offer(View{Step: 3, Begun: now, Rules: v1, Pending: v2, Index: 7})
	step(6)
	if v, _ = fl.View(); v.Step != 3 || v.Pending.Mark().Number != 2 {
		t.Fatalf("%+v", v)
	}
	root.Offer(View{Step: 4, Begun: now, Rules: v2, Index: 7})
	step(6)
	if v, _ = fl.View(); v.Step != 4 || v.Pending != nil || v.Rules.Mark().Number != 2 {
		t.Fatalf("%+v", v)
	}
	if n := fl.Counts(); n.Wholes != 1 || n.Deltas != 1 || n.Bad+n.Base+n.Digest+n.Missing != 0 {
		t.Errorf("%+v", n)
	}
	if n := mid.Counts(); n.Wholes != 1 || n.Renewals < 3 {
		t.Errorf("%+v", n)
	}
	fl.Tell([]HostStep{{Host: "h3", Step: 4}})
	step(6)
	if all := mid.Told(); len(all) != 1 || all[0].Host != "h3" || all[0].Step != 4 {
		t.Errorf("%+v", all)
	}
	if now += 5000; len(told(t, fl, now, mid)) == 0 {
		t.Error("nothing asked")
	}
	if _, ok := fl.View(); ok {
		t.Error("it goes by what is over")
	}
}
