package logic

import (
	"math"
	"math/rand"
	"testing"
)

// overbooked plays a discovery that serves one call after another, each of which takes it so many ms; one
// that it cannot answer in 2 s is turned away, which costs it a fifth. It gives the share of the askers that
// are let in within so many ms, where all start at once.
func overbooked(askers int, work, within float64, after func(tries int, chance float64) float64) float64 {
	rng := rand.New(rand.NewSource(1))
	due, tries, in := make([]float64, askers), make([]int, askers), 0
	for i := range due {
		due[i] = after(0, rng.Float64())
	}
	for free := 0.0; ; {
		who := 0
		for i := range due {
			if due[i] < due[who] {
				who = i
			}
		}
		now := due[who]
		if now > within {
			return float64(in) / float64(askers)
		}
		free = math.Max(free, now)
		answered := now
		switch wait := free + work - now; {
		case wait > 2000:
			free += work / 5
		default:
			free += work
			in++
			due[who] = math.Inf(1)
			continue
		}
		tries[who]++
		due[who] = answered + after(tries[who], rng.Float64())
	}
}

// Guards against a fleet that starts at once and whose calls for the list keep discovery so busy that it lets
// nobody in: seen with eighty gatekeepers, of which 47 never had a list again in 28 s.
func TestWatchAfter(t *testing.T) {
	for _, c := range []struct {
		askers         int
		within, atOnce float64 // ms; the share that is let in where all ask each 100 ms
	}{{1, 100, 1}, {3, 1000, 1}, {80, 15000, 0.5}, {300, 60000, 0.2}} {
		spread := overbooked(c.askers, 60, c.within, func(tries int, chance float64) float64 {
			if tries == 0 {
				return WatchAfter(0, c.askers, WatchDue, chance)
			}
			return WatchAfter(tries, c.askers, math.Inf(1), chance)
		})
		herd := overbooked(c.askers, 60, c.within, func(tries int, _ float64) float64 {
			return math.Min(float64(tries), 1) * WatchAgain
		})
		if spread < 1 || herd > c.atOnce {
			t.Errorf("%d askers: %.2f are let in within %v ms, %.2f where all ask at once", c.askers, spread,
				c.within, herd)
		}
	}
	if at := WatchAfter(0, 0, WatchDue, 1); at != 0 {
		t.Errorf("the first call waits %v ms where nobody else asks", at)
	}
	inf := math.Inf(1)
	if at := WatchAfter(9, 0, inf, 1); at > WatchAgain || WatchAfter(50, 80, inf, 1) > WatchEach*80*WatchLonger {
		t.Errorf("a watch that has ended waits %v ms", at)
	}
	for tries, want := range []float64{1: 5625, 2: 11250, 3: 22500, 4: 45000, 9: 45000} { // by vast.md
		if at := WatchAfter(tries, 300, inf, 0.5); tries > 0 && want > 0 && at != want {
			t.Errorf("after %d tries in an outage 300 wait %v ms, not %v", tries, at, want)
		}
	}
}

// What a watch misses counts as told WatchDue after its silence or its end, and WatchMoved after a move.
// Guards against pauses that grow with the fleet beyond that. The sums are at the worst chance.
func TestWatchDue(t *testing.T) {
	const connect = 10.0
	for n := 1; n <= 300; n++ {
		for _, c := range []struct {
			what     string
			sum, due float64
		}{
			{"asked, silent", WatchSilent(n, 1) + WatchAnswer, WatchDue},
			{"asked, ended", WatchAfter(1, n, WatchDue, 1) + WatchAnswer, WatchDue},
			{"asked, a start", WatchAfter(0, n, WatchDue, 1) + WatchAnswer, WatchDue},
			{"asked, moved", WatchAfter(0, n, WatchMoved, 1) + WatchAnswer, WatchMoved},
			{"asked, moved, refused at first", WatchAfter(9, n, WatchMoved, 1) + WatchAnswer, WatchMoved},
			{"pushed, silent", WatchSilent(0, 1) + connect, WatchDue},
			{"pushed, silent, as is the next", WatchSilent(0, 1) + WatchQuiet + WatchAfter(1, 0, math.Inf(1), 1) +
				connect, WatchDue},
			{"pushed, moved, silent", WatchAfter(0, 0, WatchMoved, 1) + WatchQuiet +
				WatchAfter(1, 0, WatchMoved, 1) + connect, WatchMoved},
		} {
			if c.sum > c.due {
				t.Fatalf("%s: told after %v ms by %d gatekeepers, due in %v", c.what, c.sum, n, c.due)
			}
		}
		if least := WatchSilent(n, 0); least < 2500 { // a sign each 2 s, and one late
			t.Fatalf("a watch of %d counts as silent after %v ms", n, least)
		}
	}
}
