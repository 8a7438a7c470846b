package policy

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
)

// Benchmarks of what grows with the number of workers and customers. Those of lists begin from Roster; all of
// them hold the desk's lock in a gatekeeper.

var (
	workerSizes = []int{200, 2000, 6000, 20000, 60000, 110000}
	clientSizes = []int{1000, 10000, 50000, 150000, 490000}
)

const hall = 7900 // workers of one zone

// vast is a charter of 7,900 gatekeepers, unless there are others, with 20 sorts of txns.
func vast(gatekeepers int) Charter {
	c := Charter{Gatekeepers: gatekeepers, LargestUnits: 8, MaxSubmissions: 3, LoadTold: true, MayTell: true,
		PeerInPerS: 60, ReportsPerTell: 20, ColdFrom: 0.2, WarmUp: 20000, Whole: 1, MayOverlap: true,
		MayWithdraw: true, MayAdvise: true, MaxAdvice: 1000}
	for i := range 4 {
		c.Products = append(c.Products, Product{SLA: 500 + 200*float64(i), Value: 1})
	}
	for i := range 5 {
		c.Plans = append(c.Plans, Plan{Rate: 1000 * float64(i+1), Burst: 2000, Factor: 1})
	}
	return c
}

func posts(n int) []Posting {
	var l []Posting
	for i := range n {
		l = append(l, Posting{Worker: i, Zone: i / hall, Cell: i / 38, Kind: i % 5, Rating: 1 + float64(i%3)/2,
			Active: true, New: true})
	}
	return l
}

// listing is a gatekeeper with a list of so many workers, of which some are cold.
func listing(n, cold int) *Gatekeeper {
	g := New(vast(7900), 1)
	g.Clock(1e6)
	l := posts(n)
	for i := range cold {
		l[i*(n/cold)].Since = 1e6 - 10
	}
	g.Roster(l, false)
	return g
}

func pulled(g *Gatekeeper) (last Decision) {
	for {
		d, ok := g.Next()
		if !ok {
			return last
		}
		last = d
	}
}

func BenchmarkFirstList(b *testing.B) {
	for _, n := range workerSizes {
		l := posts(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				g := New(vast(7900), 1)
				g.Clock(1e6)
				g.Roster(l, false)
			}
		})
	}
}

func BenchmarkListAgain(b *testing.B) {
	for _, n := range workerSizes {
		l := posts(n)
		for i := range l {
			l[i].New = false
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := listing(n, 0)
			for b.Loop() {
				g.Roster(l, false)
			}
		})
	}
}

// BenchmarkChange is one worker that drains, or is back, while so many are cold.
func BenchmarkChange(b *testing.B) {
	for _, cold := range []int{0, 15, hall} {
		for _, n := range workerSizes {
			if cold > n/2 {
				continue
			}
			b.Run(fmt.Sprintf("cold-%d/%d", cold, n), func(b *testing.B) {
				g := listing(n, cold)
				rng, up := rand.New(rand.NewSource(1)), make([]bool, n)
				one := make([]Posting, 1)
				for b.Loop() {
					i := rng.Intn(n)
					one[0] = Posting{Worker: i, Kind: i % 5, Rating: 1, Active: up[i], Since: g.workers[i].Since}
					up[i] = !up[i]
					g.Roster(one, true)
				}
			})
		}
	}
}

// BenchmarkHall is a zone's workers that drain, and are back, in one list and in a list for each of them; a
// round is both.
func BenchmarkHall(b *testing.B) {
	for _, n := range workerSizes {
		if n < 2*hall {
			continue
		}
		for _, how := range []string{"one", "many"} {
			b.Run(fmt.Sprintf("%s/%d", how, n), func(b *testing.B) {
				g, l := listing(n, 0), posts(hall)
				for i := range l {
					l[i].New = false
				}
				for round := 0; b.Loop(); round++ {
					for _, up := range []bool{false, true} {
						for i := range l {
							if l[i].Active = up; up {
								l[i].Since = 1e6 + float64(round) // each has started anew, and is cold
							}
						}
						if how == "one" {
							g.Roster(l, true)
							continue
						}
						for i := range l {
							g.Roster(l[i:i+1], true)
						}
					}
				}
			})
		}
	}
}

// BenchmarkDraw is a txn from its coming to its end, with so many workers of which some are cold.
func BenchmarkDraw(b *testing.B) {
	for _, cold := range []int{0, 15, hall} {
		for _, n := range workerSizes {
			if cold > n/2 {
				continue
			}
			b.Run(fmt.Sprintf("cold-%d/%d", cold, n), func(b *testing.B) {
				g, now := listing(n, cold), 1e6
				g.window = 1e9
				for id := uint64(1); b.Loop(); id++ {
					now += 0.01
					g.Clock(now)
					g.Take(Arrival{ID: id, Customer: id % 50, Plan: int(id % 5), Units: 1, SetSize: 3, Left: 500})
					if d := pulled(g); d.Kind != Wake {
						g.Clock(now + 0.005)
					}
					g.Ended(id, 0, Settled, 50, true)
					pulled(g)
				}
			})
		}
	}
}

// BenchmarkPeriod is what a period's end goes over: workers, and customers.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range workerSizes {
		b.Run(fmt.Sprintf("workers/%d", n), func(b *testing.B) {
			g := listing(n, 0)
			for b.Loop() {
				g.sweep()
			}
		})
	}
	for _, n := range clientSizes {
		b.Run(fmt.Sprintf("customers/%d", n), func(b *testing.B) {
			g := touched(n)
			for b.Loop() {
				g.sweep()
			}
		})
	}
}

// touched is a gatekeeper through which so many customers have come.
func touched(n int) *Gatekeeper {
	g := listing(200, 0)
	g.window = 1e9
	for id := uint64(1); id <= uint64(n); id++ {
		g.Take(Arrival{ID: id, Customer: id, Plan: int(id % 5), Units: 1, SetSize: 20, Left: 500})
		pulled(g)
		g.Ended(id, 0, Settled, 50, true)
		pulled(g)
	}
	return g
}

// BenchmarkTally is a look at the module's counts, by workers and customers.
func BenchmarkTally(b *testing.B) {
	for _, n := range workerSizes {
		b.Run(fmt.Sprintf("workers/%d", n), func(b *testing.B) {
			for g := listing(n, 0); b.Loop(); {
				g.Tally()
			}
		})
	}
	for _, n := range clientSizes {
		b.Run(fmt.Sprintf("customers/%d", n), func(b *testing.B) {
			for g := touched(n); b.Loop(); {
				g.Tally()
			}
		})
	}
}

// BenchmarkSight is a look at all workers, as an instance that tells of its hall has it each time.
func BenchmarkSight(b *testing.B) {
	for _, n := range workerSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s Sight
			for g := listing(n, 0); b.Loop(); {
				g.Look(&s, 0)
			}
		})
	}
}

// BenchmarkMemory gives the bytes of the heap that a module keeps, by workers and customers.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	run := func(name string, sizes []int, of func(n int) *Gatekeeper) {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for range b.N {
					before := heap()
					g := of(n)
					kept := heap() - before
					runtime.KeepAlive(g)
					b.ReportMetric(kept, "B/module")
					b.ReportMetric(kept/float64(n), "B/each")
				}
			})
		}
	}
	run("workers", workerSizes, func(n int) *Gatekeeper { return listing(n, 0) })
	run("customers", clientSizes, touched)
}
