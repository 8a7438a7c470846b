package policy

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// watchScript plays a discovery that serves one call after another, each of which takes it so many ms; one
// that it cannot answer in 2 s is rejected, at once or when its time is over, which costs it a fifth. At
// first it is down for so long: calls are refused, or else swallowed for WatchQuiet. after gives the pause
// before a call: after so many in a row that cost it something in vain, the last of which took so long. It
// gives when each asker has a list, in order, ms from when discovery is up.
type watchScript struct {
	askers          int
	work, down      float64
	refuses, atOnce bool
	seed            int64
	after           func(tries int, took, chance float64) float64
}

func (d watchScript) run(within float64) (had []float64) {
	rng := rand.New(rand.NewSource(d.seed))
	due, tries := make([]float64, d.askers), make([]int, d.askers)
	for i := range due {
		due[i] = d.after(0, 0, rng.Float64())
	}
	for free := 0.0; ; {
		who := 0
		for i := range due {
			if due[i] < due[who] {
				who = i
			}
		}
		now, took := due[who], 0.0
		if now > d.down+within || len(had) == d.askers {
			return had
		}
		switch wait := max(free, now) + d.work - now; {
		case now < d.down && d.refuses:
			tries[who] = 0
		case now < d.down:
			took = WatchHeartbeatTimeoutMillis
		case wait <= 2000:
			free = max(free, now) + d.work
			had = append(had, free-d.down)
			due[who] = math.Inf(1)
			continue
		default:
			if free = max(free, now) + d.work/5; !d.atOnce {
				took = 2000
			}
		}
		tries[who]++
		due[who] = now + took + d.after(tries[who], took, rng.Float64())
	}
}

// Guards against a fleet that asks at once, after a start or an outage, and whose calls for the list keep
// discovery so busy that it lets nobody in: seen with eighty gateways, of which 47 never had a list again
// in 28 s. The pauses leave room for that though none is longer than what is due allows; left to chance whole
// each time, they would not.
func TestWatchRetryDelay(t *testing.T) {
	for _, c := range []struct {
		askers               int
		work, within, atOnce float64 // ms; the share that is let in where all ask each 100 ms
		chance               float64 // the share at least that stays out where each pause is left to chance whole
	}{{1, 60, 100, 1, 0}, {3, 60, 1000, 1, 0}, {20, 60, 5000, 1, 0}, {80, 60, 15000, 0.5, 0},
		{300, 10, 6000, 1, 0}, {300, 20, 15000, 0.9, 0}, {300, 40, 30000, 0.3, 0}, {300, 60, 60000, 0.2, 0.5}} {
		for _, d := range []watchScript{{}, {atOnce: true}, {down: 8000, refuses: true, atOnce: true}, {down: 8000},
			{down: 8000, atOnce: true}, {down: 8000, refuses: true}} {
			within := c.within
			if d.down > 0 && !d.refuses {
				within += WatchHeartbeatTimeoutMillis // a call that was swallowed just before
			}
			for d.seed = range int64(3) {
				what := fmt.Sprintf("%d askers, %v ms each, down for %v, refuses %v, turns away at once %v", c.askers,
					c.work, d.down, d.refuses, d.atOnce)
				d.askers, d.work = c.askers, c.work
				d.after = func(tries int, took, chance float64) float64 {
					return WatchRetryDelay(tries, c.askers, WatchCatchUpMillis-took, chance)
				}
				if had := d.run(within); len(had) < c.askers {
					t.Errorf("%s: %d have a list within %v ms", what, len(had), within)
				} else if d.seed == 0 {
					t.Logf("%s: half have a list after %.1f s, nine in ten %.1f, all %.1f", what, had[c.askers/2]/1000,
						had[c.askers*9/10]/1000, had[c.askers-1]/1000)
				}
				d.after = func(tries int, _, _ float64) float64 { return math.Min(float64(tries), 1) * WatchRetryMillis }
				if herd := len(d.run(within)); d.atOnce && float64(herd) > c.atOnce*float64(c.askers) {
					t.Errorf("%s: %d have a list where all ask at once", what, herd)
				}
				d.after = func(tries int, took, chance float64) float64 {
					most := min(WatchRetryPerGatewayMillis*float64(c.askers), WatchCatchUpMillis-WatchResponseMillis-took)
					return max(most*chance, WatchRetryMillis/2*float64(min(tries, 1)))
				}
				if out := c.askers - len(d.run(within)); d.atOnce && float64(out) < c.chance*float64(c.askers) {
					t.Errorf("%s: only %d stay out where chance alone spreads them", what, out)
				}
			}
		}
	}
	if at := WatchRetryDelay(0, 0, WatchCatchUpMillis, 1); at != 0 {
		t.Errorf("the first call waits %v ms where nobody else asks", at)
	}
	for _, c := range []struct {
		tries, askers int
		least, most   float64
	}{{1, 0, 50, 100}, {9, 0, 50, 100}, {1, 1, 50, 50}, {2, 1, 90, 100}, {9, 1, 180, 200}, {50, 1, 180, 200},
		{1, 20, 50, 500}, {2, 20, 900, 1000}, {3, 20, 1800, 2000}, {4, 20, 3420, 3800}, {9, 20, 3420, 3800},
		{1, 300, 50, 3800}, {2, 300, 3420, 3800}, {50, 300, 3420, 3800}} {
		least, most := WatchRetryDelay(c.tries, c.askers, WatchCatchUpMillis, 0), WatchRetryDelay(c.tries, c.askers,
			WatchCatchUpMillis, 1)
		if math.Abs(least-c.least) > 1e-6 || math.Abs(most-c.most) > 1e-6 {
			t.Errorf("after %d tries %d wait %v to %v ms: want %v to %v", c.tries, c.askers, least, most, c.least,
				c.most)
		}
	}
}

// What a watch misses counts as told WatchDue after its silence or its end, and WatchMoved after a move.
// Guards against pauses that grow with the fleet beyond that. The sums are at the worst chance.
func TestWatchCatchUp(t *testing.T) {
	const connect = 10.0
	for n := 1; n <= 300; n++ {
		for _, c := range []struct {
			what     string
			sum, due float64
		}{
			{"asked, silent", WatchIdleTimeout(n, 1) + WatchResponseMillis, WatchCatchUpMillis},
			{"asked, ended", WatchRetryDelay(1, n, WatchCatchUpMillis, 1) + WatchResponseMillis, WatchCatchUpMillis},
			{"asked, a start", WatchRetryDelay(0, n, WatchCatchUpMillis, 1) + WatchResponseMillis, WatchCatchUpMillis},
			{"asked, moved", WatchRetryDelay(0, n, WatchFailoverCatchUpMillis, 1) + WatchResponseMillis,
				WatchFailoverCatchUpMillis},
			{"asked, moved, refused at first", WatchRetryDelay(1, n, WatchFailoverCatchUpMillis, 1) +
				WatchResponseMillis, WatchFailoverCatchUpMillis},
			{"asked, moved, turned away at first", WatchRetryDelay(9, n, WatchFailoverCatchUpMillis, 1) +
				WatchResponseMillis, WatchFailoverCatchUpMillis},
			{"asked, refused, up since", WatchRetryDelay(1, n, WatchCatchUpMillis, 1) + WatchResponseMillis,
				WatchCatchUpMillis},
			{"asked, turned away at once, up since", WatchRetryDelay(9, n, WatchCatchUpMillis, 1) +
				WatchResponseMillis, WatchCatchUpMillis},
			{"asked, turned away after 2 s, up since the call", 2000 + WatchRetryDelay(9, n, WatchCatchUpMillis-2000,
				1) +
				WatchResponseMillis, WatchCatchUpMillis},
			{"asked, black-holed, up since the call", WatchHeartbeatTimeoutMillis + WatchRetryDelay(1, n,
				WatchCatchUpMillis-WatchHeartbeatTimeoutMillis, 1) +
				WatchResponseMillis, WatchCatchUpMillis},
			{"asked, swallowed, up since the call", WatchHeartbeatTimeoutMillis + WatchRetryDelay(9, n,
				WatchCatchUpMillis-WatchHeartbeatTimeoutMillis, 1) +
				WatchResponseMillis, WatchCatchUpMillis},
			{"pushed, silent", WatchIdleTimeout(0, 1) + connect, WatchCatchUpMillis},
			{"pushed, silent, as are the next two", WatchIdleTimeout(0, 1) + WatchHeaderTimeoutMillis +
				WatchRetryDelay(1, 0, WatchCatchUpMillis, 1) +
				WatchHeaderTimeoutMillis + WatchRetryDelay(2, 0, WatchCatchUpMillis, 1) + connect, WatchCatchUpMillis},
			{"pushed, silent, as is the next but for its head", WatchIdleTimeout(0, 1) + WatchHeartbeatTimeoutMillis +
				WatchRetryDelay(1, 0, WatchCatchUpMillis, 1) + connect, WatchCatchUpMillis},
			{"pushed, moved, silent twice", WatchHeaderTimeoutMillis + WatchRetryDelay(1, 0,
				WatchFailoverCatchUpMillis, 1) + WatchHeaderTimeoutMillis +
				WatchRetryDelay(2, 0, WatchFailoverCatchUpMillis, 1) + connect, WatchFailoverCatchUpMillis},
			{"pushed, moved, silent but for its head", WatchHeartbeatTimeoutMillis + WatchRetryDelay(1, 0,
				WatchFailoverCatchUpMillis, 1) + connect,
				WatchFailoverCatchUpMillis},
		} {
			if c.sum > c.due {
				t.Fatalf("%s: told after %v ms by %d gateways, due in %v", c.what, c.sum, n, c.due)
			}
		}
		if least := WatchIdleTimeout(n, 0); least < 2500 { // a sign each 2 s, and one late
			t.Fatalf("a watch of %d counts as silent after %v ms", n, least)
		}
	}
}
