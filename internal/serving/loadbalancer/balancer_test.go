package loadbalancer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

func workers(count int) []Worker {
	list := make([]Worker, count)
	for i := range list {
		list[i] = Worker{Instance: fmt.Sprintf("i-%d", i), Zone: "a", Region: "south", Capacity: 64, Engine: true}
	}
	return list
}

func newBalancer(seed int64) *Balancer { return New("a", "south", rand.New(rand.NewSource(seed))) }

func prompt(shared string) *Request {
	return &Request{Parts: ParsePrompt(fmt.Sprintf("base:500,%s:4800,own:6000", shared))}
}

func TestParsePrompt(t *testing.T) {
	cases := map[string]int{
		"5c1e07a2:800,91bd3f06:410,e4402b7d:250": 3,
		" a:1 , b:2 ":                            2,
		"":                                       0,
		"a":                                      0,
		"a:1,b:x,c:3":                            1,
		"a:-1":                                   0,
		"a:NaN":                                  0,
		"a:1e300":                                0,
	}
	for header, want := range cases {
		if got := ParsePrompt(header); len(got) != want {
			t.Errorf("%q: %v", header, got)
		}
	}
}

// TestEdgesAgreeOnHomes lets edges that know nothing of one another choose for the same shared prompts.
func TestEdgesAgreeOnHomes(t *testing.T) {
	first, second := newBalancer(1), newBalancer(2)
	candidates := workers(10)
	counts := map[int]int{}
	for i := range 200 {
		shared := fmt.Sprintf("part%d", i)
		chosen := first.Choose(0, prompt(shared), candidates)
		if other := second.Choose(0, prompt(shared), candidates); other != chosen {
			t.Fatalf("%s goes to %d and to %d", shared, chosen, other)
		}
		counts[chosen]++
	}
	for i := range candidates {
		if counts[i] < 5 || counts[i] > 50 {
			t.Errorf("worker %d is home of %d parts of 200", i, counts[i])
		}
	}
}

// TestHomesStayWhenAWorkerGoes removes a worker: only its own parts move.
func TestHomesStayWhenAWorkerGoes(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(10)
	for i := range 200 {
		shared := fmt.Sprintf("part%d", i)
		before := candidates[b.Choose(0, prompt(shared), candidates)].Instance
		after := candidates[b.Choose(0, prompt(shared), candidates[:9])].Instance
		if before != "i-9" && before != after {
			t.Errorf("%s moves from %s to %s", shared, before, after)
		}
	}
}

func TestLoadMovesRequestsAway(t *testing.T) {
	candidates := workers(4)
	cases := map[string]func(b *Balancer, home string){
		"own requests": func(b *Balancer, home string) {
			for i := range 6 {
				b.Sent(0, prompt(fmt.Sprintf("x%d", i)), home)
			}
		},
		"requests of other edges": func(b *Balancer, home string) { b.Others(home, 5, 60_000, true) },
		"requests that wait":      func(b *Balancer, home string) { b.Load(0, home, 10, 20) },
		"doubt":                   func(b *Balancer, home string) { b.Failed(0, home) },
		"another edge's doubt":    func(b *Balancer, home string) { b.Dead(0, home, true) },
		"full places":             func(b *Balancer, home string) { b.Others(home, 64, 0, true) },
	}
	for name, press := range cases {
		b := newBalancer(1)
		home := candidates[b.Choose(0, prompt("p"), candidates)].Instance
		press(b, home)
		if candidates[b.Choose(0, prompt("p"), candidates)].Instance == home {
			t.Errorf("%s: the request still goes to its home", name)
		}
	}
}

func TestDoubtEnds(t *testing.T) {
	b := newBalancer(1)
	now := time.Duration(0)
	for range 10 {
		b.Failed(now, "i-1")
		if !b.tracked("i-1").inDoubt(now+firstDoubt/2) || b.tracked("i-1").inDoubt(now+longestDoubt+1) {
			t.Fatal("doubt does not last for its time")
		}
	}
	b.Succeeded(0, "i-1")
	if b.tracked("i-1").inDoubt(now) {
		t.Error("doubt outlasts a sign of life")
	}
}

func TestOtherRegionsAreDear(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(2)
	candidates[0].Zone, candidates[0].Region = "n", "north"
	for i := range 50 {
		short := &Request{Parts: ParsePrompt(fmt.Sprintf("s%d:100,own:700", i))}
		if b.Choose(0, short, candidates) != 1 {
			t.Fatal("a short prompt goes to another region")
		}
	}
	b.Others("i-1", 30, 30_000, true)
	if b.Choose(0, prompt("x"), candidates) != 0 {
		t.Error("an overloaded region keeps its requests")
	}
}

func TestWhatIsInHandAddsUp(t *testing.T) {
	b := newBalancer(1)
	request := prompt("p")
	b.Choose(0, request, workers(1))
	b.Sent(0, request, "i-0")
	if list := b.InHand(); len(list) != 1 || list[0].InHand != 1 || list[0].Unread != 6000 {
		t.Errorf("%+v: the home keeps the shared parts", list)
	}
	b.FirstToken(0, request, "i-0")
	b.FirstToken(0, request, "i-0")
	if list := b.InHand(); list[0].Unread != 0 {
		t.Errorf("%+v", list)
	}
	b.Done("i-0")
	if list := b.InHand(); len(list) != 0 {
		t.Errorf("%+v", list)
	}
}
