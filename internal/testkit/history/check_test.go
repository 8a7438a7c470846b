package history

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/invariants"
)

// Seeds are fixed unless asked for otherwise (-args -rapid.seed N, -rapid.checks N).
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("32")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// play makes a record of stated times.
type play struct {
	now    float64 // ms
	lives  map[string]uint32
	places map[incarnation]uint64
	events []Event
}

func newPlay() *play {
	return &play{now: 1, lives: map[string]uint32{}, places: map[incarnation]uint64{}}
}

// by adds what one has written, at a time in ms.
func (p *play) by(at float64, who string, e Event) {
	if p.now = at; p.lives[who] == 0 {
		p.lives[who] = 1
	}
	e.At, e.Who, e.Incarnation = nanos(at), who, p.lives[who]
	l := incarnation{who, e.Incarnation}
	p.places[l]++
	e.Seq = p.places[l]
	p.events = append(p.events, e)
}

// born begins another life.
func (p *play) born(at float64, who string) {
	p.lives[who]++
	p.by(at, who, Event{Kind: Began})
}

func (p *play) acts(at float64, who string, version uint64, mode string) {
	p.by(at, who, Event{Kind: Acts, Version: version, Mode: mode})
}

func (p *play) rig(at float64, k Kind, peer string) { p.by(at, "rig", Event{Kind: k, Peer: peer}) }

// units adds an entry of the ledger of customer 1.
func (p *play) units(at float64, who string, k Kind, units float64, peer string, serial uint64) {
	p.by(at, who, Event{Kind: k, Units: units, Peer: peer, Serial: serial, Customer: 1,
		PeerIncarnation: p.lives[peer]})
}

func (p *play) came(at float64, txn string, units float64) {
	p.by(at, "w", Event{Kind: Got, Txn: txn, Units: units, Customer: 1, Peer: "a", Version: 1})
}

func (p *play) once(at float64, who string, k Kind, serial uint64, says string) {
	e := Event{Kind: k, Txn: "t", Serial: serial, Says: says, Worker: "w"}
	if k == Asks {
		e.Peer, e.Product, e.Plan, e.Customer, e.Units, e.Expiry = "a", "pay", "p", 1, 1, nanos(1000)
	}
	p.by(at, who, e)
}

// many is so many txns that go to one worker at once.
func (p *play) many(n int) {
	for at, e := range []Event{{Who: "cl", Kind: Asks, Peer: "a", Product: "pay", Plan: "p", Customer: 1,
		Units: 1, Expiry: nanos(1000)}, {Who: "a", Kind: Sends, Worker: "w"},
		{Who: "cl", Kind: Ends, Says: Succeeded}} {
		for i := range n {
			e.Txn = fmt.Sprint("t", i)
			p.by(2+float64(at), e.Who, e)
		}
	}
}

func (p *play) record() Record { return merge(slices.Clone(p.events)) }

// What the tests go by: versions 1, 2 and 4 have one ceiling, 3 a lower one.
var (
	low       = []ruleset.Plan{{Name: "p", Rate: 10, Burst: 5, CeilingRate: 10, CeilingDepth: 5}}
	high      = []ruleset.Plan{{Name: "p", Rate: 10, Burst: 5, CeilingRate: 20, CeilingDepth: 5}}
	byVersion = Plainly(map[uint64]ruleset.Rules{1: {Plans: high, Fallback: ruleset.Fallback{Fraction: 0.4}},
		2: {Plans: high}, 3: {Plans: low}, 4: {Plans: high},
		6: {Plans: high, Fallback: ruleset.Fallback{Fraction: 0.6}},
		5: {Plans: high, WorkerOverrides: []ruleset.WorkerOverride{{Worker: "w", Barred: true}}}})
	cast = Cast{Gatekeepers: []string{"a", "b"}, Workers: []string{"w", "v"}, Products: []string{"ask", "pay"},
		Plans: []string{"p"}}
	fiveRules = invariants.Rules{Products: []invariants.Product{{}, {Repeat: invariants.Once}},
		Plans: []invariants.Plan{{RateLimit: 10, Depth: 5}}, Slack: 10, Grace: 250,
		Capacity: 1, WarmingFraction: 0.1, WarmUp: 3000, OverloadFactor: 0.01, OverloadWindow: 1000}
)

// line is 30 units, 10 by version 9.
func line(e Event) float64 {
	if e.Version == 9 {
		return 10
	}
	return 30
}

// limit is 10 a second and 5 at once; version 8 has another rate, version 9 another depth.
func limit(e Event) Limit {
	switch e.Version {
	case 8:
		return Limit{1000, 5}
	case 9:
		return Limit{10, 20}
	}
	return Limit{10, 5}
}

// The checks as the tests ask for them.
var checks = map[string]func(Record) Result{
	"contradiction": func(r Record) Result { return Contradiction(r, byVersion, 1000, 50).Result },
	"versions":      func(r Record) Result { return Versions(r).Result },
	"ledger":        func(r Record) Result { return Ledger(r, line, 5000, 100).Result },
	"ledger order": func(r Record) Result {
		f, _ := LedgerOrder(r, line, 0.5)
		return f
	},
	"window": func(r Record) Result { return Window(r, Got, limit).Result },
	"ceiling": func(r Record) Result {
		return RateLimit(r, Got, func(Event) Limit { return Limit{10, 4} }, 100).Result
	},
	"heard": ReceivedTwice,
	"judge": func(r Record) Result {
		j := CheckInvariants(r, cast, fiveRules)
		if j.OddOf > 0 {
			j.violate(0, nil, "%v", j.Odd)
		}
		return j.Result
	},
}

// Each check finds what is planted, says so and names events; what only looks like a break passes.
func TestPlanted(t *testing.T) {
	lease := func(p *play) { p.acts(0, "a", 1, Leased); p.acts(0, "b", 1, Leased) }
	rights := func(p *play) {
		for _, who := range []string{"a", "b", "c"} {
			p.by(0, who, Event{Kind: Holds, Units: 10, Customer: 1})
		}
	}
	takenBy := func(p *play) {
		p.by(10, "d", Event{Kind: Proposed, Version: 1})
		p.by(20, "c", Event{Kind: Decided, Version: 1, Peer: "d"})
		p.by(30, "d", Event{Kind: Proposed, Version: 2, Base: 1})
	}
	gives := func(p *play, at float64, version uint64, age float64) {
		p.by(at, "d", Event{Kind: ReportedInForce, Version: version, Age: age})
	}
	cases := []struct {
		check, name, says string // says is empty where nothing is broken
		do                func(*play)
	}{
		{"contradiction", "changed within the bound", "", func(p *play) {
			lease(p)
			p.acts(100, "b", 3, Leased)
			p.acts(1099, "a", 3, Leased)
		}},
		{"contradiction", "an old version acted on", "contradict each other for 1001.000 ms", func(p *play) {
			lease(p)
			p.acts(100, "b", 3, Leased)
			p.acts(1101, "a", 3, Leased)
		}},
		{"contradiction", "no ceiling is another", "", func(p *play) {
			lease(p)
			p.acts(100, "b", 2, Leased)
			p.acts(9000, "a", 2, Leased)
		}},
		{"contradiction", "a bar that one does not go by", "contradict", func(p *play) {
			lease(p)
			p.acts(100, "b", 5, Leased)
			p.acts(9000, "a", 5, Leased)
		}},
		{"contradiction", "its fallback fits the later", "", func(p *play) {
			lease(p)
			p.acts(100, "a", 1, Fallback)
			p.acts(100, "b", 3, Leased)
			p.acts(9000, "a", 3, Leased)
		}},
		{"contradiction", "a lease taken as longer over a stall", "for 5020.000 ms", func(p *play) {
			lease(p)
			p.rig(50, Stalls, "a")
			p.acts(100, "b", 3, Leased)
			p.rig(5100, Wakes, "a")
			p.by(5110, "a", Event{Kind: Sends, Version: 1, Txn: "t", Worker: "w"})
			p.acts(5120, "a", 3, Leased)
		}},
		{"contradiction", "checked after a stall", "", func(p *play) {
			lease(p)
			p.rig(50, Stalls, "a")
			p.acts(100, "b", 3, Leased)
			p.rig(5100, Wakes, "a")
			p.acts(5120, "a", 3, Leased)
			p.born(6000, "a")
		}},
		{"contradiction", "not checked after a stall", "contradict", func(p *play) {
			lease(p)
			p.rig(50, Stalls, "a")
			p.acts(100, "b", 3, Leased)
			p.rig(5100, Wakes, "a")
			p.acts(5200, "a", 3, Leased)
		}},
		{"contradiction", "killed", "", func(p *play) {
			lease(p)
			p.rig(500, Died, "a")
			p.acts(600, "b", 3, Leased)
			p.born(9000, "a")
			p.acts(9000, "a", 3, Leased)
		}},
		{"contradiction", "killed after its last line", "", func(p *play) {
			lease(p)
			p.acts(600, "b", 3, Leased)
			p.born(9000, "a")
			p.acts(9000, "a", 3, Leased)
		}},
		{"contradiction", "handed over to a life that began before", "", func(p *play) {
			lease(p)
			p.born(500, "a")
			p.acts(500, "a", 1, Leased)
			p.lives["a"] = 1
			p.by(600, "a", Event{Kind: Gone})
			p.lives["a"] = 2
			p.acts(700, "b", 3, Leased)
			p.came(800, "t", 1)
			p.acts(900, "a", 3, Leased)
		}},
		{"contradiction", "sent once more after it has left", "for 1039.000 ms", func(p *play) {
			lease(p)
			p.acts(100, "b", 3, Leased)
			p.acts(1090, "a", 3, Leased)
			p.by(1139, "a", Event{Kind: Sends, Version: 1, Txn: "t", Worker: "w"})
		}},
		{"contradiction", "killed for good", "", func(p *play) {
			lease(p)
			p.rig(500, Died, "a")
			p.acts(600, "b", 3, Leased)
			p.came(9000, "t", 0)
			p.events[len(p.events)-1].Version = 0
		}},
		{"contradiction", "a later version's fallback is more than the lease", "contradict", func(p *play) {
			p.acts(0, "a", 3, Leased)
			p.acts(0, "b", 6, Fallback)
			p.rig(1001, Faults, "")
		}},
		{"contradiction", "goes by no version", "", func(p *play) {
			lease(p)
			p.acts(90, "a", 1, Bare)
			p.acts(100, "b", 3, Leased)
			p.acts(9000, "a", 3, Leased)
		}},
		{"contradiction", "sent by a version without going by it", "60.000 ms after", func(p *play) {
			lease(p)
			p.acts(90, "a", 1, Bare)
			p.came(150, "t", 1)
		}},
		{"contradiction", "the worker saw an old version", "60.000 ms after", func(p *play) {
			p.acts(0, "a", 1, Leased)
			p.acts(100, "a", 2, Leased)
			p.came(160, "t", 1)
		}},
		{"contradiction", "on its way", "", func(p *play) {
			p.acts(0, "a", 1, Leased)
			p.acts(100, "a", 2, Leased)
			p.came(149, "t", 1)
		}},
		{"contradiction", "the worker saw what it never said", "has not acted on it", func(p *play) {
			p.acts(0, "a", 2, Leased)
			p.came(10, "t", 1)
		}},

		{"versions", "read in time", "", func(p *play) {
			takenBy(p)
			gives(p, 35, 1, 0)
			gives(p, 36, 2, 0)
			gives(p, 40, 1, 10)
			p.by(50, "c", Event{Kind: Decided, Version: 2, Base: 1, Peer: "d"})
			gives(p, 60, 1, 25)
		}},
		{"versions", "without an outcome", "", func(p *play) {
			takenBy(p)
			gives(p, 900, 1, 0)
			gives(p, 950, 2, 0)
		}},
		{"versions", "an old version read", "cannot have been", func(p *play) {
			takenBy(p)
			p.by(50, "c", Event{Kind: Decided, Version: 2, Base: 1, Peer: "d"})
			gives(p, 70, 1, 19)
		}},
		{"versions", "back to the old", "cannot have been", func(p *play) {
			takenBy(p)
			gives(p, 35, 2, 0)
			gives(p, 36, 1, 0)
		}},
		{"versions", "read too early", "cannot have been", func(p *play) { takenBy(p); gives(p, 29, 2, 0) }},
		{"versions", "from nowhere", "nobody has proposed", func(p *play) { takenBy(p); gives(p, 40, 3, 0) }},
		{"versions", "refused, and read", "nobody has proposed", func(p *play) {
			takenBy(p)
			p.by(40, "c", Event{Kind: Decided, Version: 2, Base: 1, Peer: "d", Says: "no"})
			gives(p, 50, 2, 0)
		}},
		{"versions", "two in place of one", "both in force after 1", func(p *play) {
			takenBy(p)
			p.by(40, "d", Event{Kind: Proposed, Version: 3, Base: 1})
			p.by(50, "c", Event{Kind: Decided, Version: 2, Base: 1})
			p.by(60, "c", Event{Kind: Decided, Version: 3, Base: 1})
		}},
		{"versions", "acted on before it was wanted", "cannot have been", func(p *play) {
			takenBy(p)
			p.acts(29, "a", 2, Leased)
		}},
		{"versions", "goes by none", "", func(p *play) { takenBy(p); p.acts(29, "a", 2, Bare) }},
		{"versions", "acted on long after", "", func(p *play) {
			takenBy(p)
			p.by(50, "c", Event{Kind: Decided, Version: 2, Base: 1, Peer: "d"})
			p.acts(900, "a", 1, Fallback)
		}},
		{"versions", "in place of two", "in place of 1 and of 0", func(p *play) {
			takenBy(p)
			p.by(50, "c", Event{Kind: Decided, Version: 2, Base: 1})
			p.by(60, "e", Event{Kind: Decided, Version: 2})
		}},
		{"versions", "in place of nothing", "which never was", func(p *play) {
			takenBy(p)
			p.by(40, "d", Event{Kind: Proposed, Version: 4, Base: 3})
			p.by(50, "c", Event{Kind: Decided, Version: 4, Base: 3})
		}},
		{"versions", "refused and in force", "proposal x is both", func(p *play) {
			takenBy(p)
			p.by(50, "c", Event{Kind: Decided, Version: 2, Base: 1, Txn: "x"})
			p.by(60, "e", Event{Kind: Decided, Version: 2, Base: 1, Txn: "x", Says: "no"})
		}},
		{"versions", "one number, two contents", "not the same", func(p *play) {
			takenBy(p)
			p.by(40, "d", Event{Kind: ReportedInForce, Version: 1, Digest: "x"})
			p.by(40, "b", Event{Kind: Acts, Version: 1, Digest: "y"})
		}},

		{"ledger", "handed, lent, repaid", "", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.units(2, "b", Takes, 4, "a", 1)
			p.units(3, "b", Lends, 14, "", 0)
			p.units(4, "c", Repays, 14, "b", 1)
			p.units(5, "b", Lends, 14, "", 0)
			p.units(5105, "b", Repays, 14, "", 1)
		}},
		{"ledger", "paid by idle time", "", func(p *play) {
			rights(p)
			p.units(5, "b", Lends, 1, "", 0)
			p.by(90000, "b", Event{Kind: Repays, Customer: 1, Units: 1, Age: 86000})
		}},
		{"ledger", "a right taken twice", "again", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.units(2, "b", Takes, 4, "a", 1)
			p.units(3, "b", Takes, 4, "a", 1)
		}},
		{"ledger", "a right made of nothing", "not handed on", func(p *play) {
			rights(p)
			p.units(3, "b", Takes, 4, "a", 7)
		}},
		{"ledger", "more taken than handed", "takes 5 units of a right to 4", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.units(2, "b", Takes, 5, "a", 1)
		}},
		{"ledger", "a serial used again", "again with the same serial", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.units(2, "a", Hands, 4, "b", 1)
		}},
		{"ledger", "lent after it was handed on", "with a right to 6", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.units(2, "a", Lends, 7, "", 0)
		}},
		{"ledger", "a loan forgotten over a kill", "with a right to 2", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 8, "", 0)
			p.rig(2, Died, "a")
			p.born(3, "a")
			p.units(4, "a", Lends, 8, "", 0)
		}},
		{"ledger", "a loan counted once too few", "of whose loans 5", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0) // and another of 3 that it has not written
			p.units(2, "a", Repays, 8, "", 1)
		}},
		{"ledger", "repaid twice", "same repayment", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.units(2, "b", Repays, 2, "a", 1)
			p.units(3, "b", Repays, 2, "a", 1)
		}},
		{"ledger", "repaid late", "repaid late", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.units(5102, "a", Repays, 5, "", 1)
		}},
		{"ledger", "never repaid", "not repaid", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.by(9000, "a", Event{Kind: Received})
		}},
		{"ledger", "repaid after a stall", "", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.rig(10, Stalls, "a")
			p.rig(7000, Wakes, "a")
			p.units(7099, "a", Repays, 5, "", 1)
		}},
		{"ledger", "repaid after a kill", "", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.rig(10, Died, "a")
			p.born(4000, "a")
			p.units(9000, "a", Repays, 5, "", 1)
		}},
		{"ledger", "its successor goes on", "", func(p *play) {
			rights(p)
			p.by(1, "a", Event{Kind: Began})
			p.born(500, "a")
			p.lives["a"] = 1
			p.by(600, "a", Event{Kind: Gone})
			p.lives["a"] = 2
			p.units(700, "a", Lends, 5, "", 0)
			p.units(5750, "a", Repays, 5, "", 1)
		}},
		{"ledger", "lent again with a debt that is due", "not repaid yet", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.units(6000, "a", Lends, 5, "", 0)
		}},
		{"ledger", "less than nothing lent", "-1 units", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, -1, "", 0)
		}},
		{"ledger", "taken from a life that is not told", "", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.by(2, "b", Event{Kind: Takes, Customer: 1, Peer: "a", Serial: 1, Units: 4})
		}},
		{"ledger", "a right on the way counts", "4 on the way", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.by(2, "a", Event{Kind: Holds, Units: 10, Customer: 1})
		}},
		{"ledger", "the line is lowered", "", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			for _, who := range []string{"a", "b", "c"} {
				p.by(2, who, Event{Kind: Holds, Units: 3, Customer: 1, Version: 9})
			}
		}},
		{"ledger", "lent over a lowered line", "over the line of 10", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 8, "", 0)
			p.by(2, "b", Event{Kind: Lends, Units: 3, Customer: 1, Version: 9})
		}},
		{"ledger", "more rights than the line", "over the line of 30", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.by(2, "d", Event{Kind: Holds, Units: 1, Customer: 1})
		}},
		{"ledger", "the rights of one gone for long are split anew", "", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.rig(2, Died, "a")
			p.by(5103, "b", Event{Kind: Holds, Units: 20, Customer: 1})
		}},
		{"ledger", "they are too early", "over the line", func(p *play) {
			rights(p)
			p.units(1, "a", Lends, 5, "", 0)
			p.rig(2, Died, "a")
			p.by(5101, "b", Event{Kind: Holds, Units: 20, Customer: 1})
		}},
		{"ledger order", "two lines within the step", "", func(p *play) {
			rights(p)
			p.units(1, "b", Takes, 4, "a", 1)
			p.units(1.2, "a", Hands, 4, "b", 1)
		}},
		{"ledger order", "a right taken twice", "no order", func(p *play) {
			rights(p)
			p.units(1, "a", Hands, 4, "b", 1)
			p.units(2, "b", Takes, 4, "a", 1)
			p.units(3, "b", Takes, 4, "a", 1)
		}},

		{"window", "all at once, then at the rate", "", func(p *play) {
			p.came(0, "1", 5)
			p.came(100, "2", 1)
			p.came(100, "2", 1) // another submission of it
			p.came(600, "3", 5)
		}},
		{"window", "over it between two rests", "6 units in a window of 99.000 ms", func(p *play) {
			p.came(0, "1", 5)
			p.came(1000, "2", 5)
			p.came(1099, "3", 1)
		}},
		{"window", "another depth, another rate", "", func(p *play) {
			p.came(0, "1", 5)
			p.by(1, "w", Event{Kind: Got, Txn: "2", Units: 15, Customer: 1, Version: 9})
			p.by(1501, "w", Event{Kind: Got, Txn: "3", Units: 5, Customer: 1, Version: 8})
			p.came(1511, "4", 5)
		}},
		{"ceiling", "a unit beyond it", "6 units", func(p *play) { p.came(0, "1", 5); p.came(1, "2", 1) }},
		{"ceiling", "with its slack", "", func(p *play) { p.came(0, "1", 5); p.came(100, "2", 1) }},

		{"heard", "another life, another peer", "", func(p *play) {
			for _, peer := range []string{"a", "b"} {
				p.units(1, "c", Received, 0, peer, 1)
			}
			p.born(2, "c")
			p.units(3, "c", Received, 0, "a", 1)
			p.lives["a"] = 2
			p.units(4, "c", Received, 0, "a", 1)
		}},
		{"heard", "a datagram believed twice", "again", func(p *play) {
			p.units(1, "c", Received, 0, "a", 1)
			p.units(2, "c", Received, 0, "a", 2)
			p.units(3, "c", Received, 0, "a", 1)
		}},

		{"judge", "refused, sent again, run once", "", func(p *play) {
			p.once(1, "cl", Asks, 0, "")
			p.once(2, "a", Sends, 1, "")
			p.once(3, "w", Got, 1, "")
			p.once(4, "w", AttemptEnded, 1, NeverRan)
			p.once(5, "a", AttemptEnded, 1, NeverRan)
			p.once(6, "a", Sends, 2, "")
			p.once(7, "w", Ran, 2, "")
			p.once(8, "a", AttemptEnded, 2, Answered)
			p.once(9, "cl", Ends, 0, Succeeded)
			p.by(2000, "cl", Event{Kind: Gone})
		}},
		{"judge", "a once-only run twice", "run 2 times", func(p *play) {
			p.once(1, "cl", Asks, 0, "")
			p.once(2, "a", Sends, 1, "")
			p.once(7, "w", Ran, 1, "")
			p.once(8, "w", Ran, 1, "")
		}},
		{"judge", "sent again, and the worker has the first", "may have run when 1 is sent", func(p *play) {
			p.once(1, "cl", Asks, 0, "")
			p.once(2, "a", Sends, 1, "")
			p.once(3, "w", Got, 1, "")
			p.once(5, "a", AttemptEnded, 1, NeverRan)
			p.once(6, "a", Sends, 2, "")
		}},
		{"judge", "its client has left", "", func(p *play) {
			p.once(1, "cl", Asks, 0, "")
			p.once(2, "cl", Ends, 0, Left)
			p.by(2000, "cl", Event{Kind: Gone})
		}},
		{"judge", "too much for a worker that has just started", "worker 0, started at", func(p *play) {
			p.by(0, "w", Event{Kind: Began})
			p.by(1, "a", Event{Kind: Notified, Worker: "w", Mode: Active})
			p.many(3)
		}},
		{"judge", "as much as it bears", "", func(p *play) {
			p.by(0, "w", Event{Kind: Began})
			p.by(1, "a", Event{Kind: Notified, Worker: "w", Mode: Active})
			p.many(2)
		}},
		{"judge", "too much for it, by one who does not know of its start", "", func(p *play) {
			p.by(1, "w", Event{Kind: Began})
			p.many(3)
		}},
		{"judge", "no answer", "no final answer", func(p *play) {
			p.once(1, "cl", Asks, 0, "")
			p.by(2000, "cl", Event{Kind: Gone})
		}},
		{"judge", "no answer of one that was killed", "", func(p *play) {
			p.once(1, "cl", Asks, 0, "")
			p.rig(500, Died, "a")
			p.by(2000, "cl", Event{Kind: Gone})
		}},
		{"judge", "killed, and nobody says when", "", func(p *play) {
			p.by(1, "a", Event{Kind: Began})
			p.once(2, "cl", Asks, 0, "")
			p.born(500, "a")
			p.by(2000, "cl", Event{Kind: Gone})
		}},
		{"judge", "handed over, and forgotten", "no final answer", func(p *play) {
			p.by(1, "a", Event{Kind: Began})
			p.once(2, "cl", Asks, 0, "")
			p.by(400, "a", Event{Kind: Gone})
			p.born(500, "a")
			p.by(2000, "cl", Event{Kind: Gone})
		}},
		{"judge", "sent to one told to drain", "told to drain", func(p *play) {
			p.by(0, "a", Event{Kind: Notified, Worker: "w"})
			p.once(1, "cl", Asks, 0, "")
			p.once(252, "a", Sends, 1, "")
		}},
	}
	for _, c := range cases {
		t.Run(c.check+"/"+c.name, func(t *testing.T) {
			p := newPlay()
			c.do(p)
			f := checks[c.check](p.record())
			switch {
			case f.Seen == 0:
				t.Error("it has looked at nothing")
			case c.says == "" && f.Count > 0:
				t.Error(f)
			case c.says != "" && (f.Count == 0 || !strings.Contains(f.Violations[0].Says, c.says) ||
				f.Violations[0].Rests == nil):
				t.Errorf("want %q, got %v", c.says, f)
			}
		})
	}
}

// fleet is a small model of a fleet that keeps all the promises. It makes records.
type fleet struct {
	*play
	t        *rapid.T
	version  uint64
	since    float64 // when the version in force was proposed
	serial   uint64
	rights   map[string]float64
	due      float64 // GCRA's theoretical time of arrival, ms: another way than the checks'
	messages uint64
}

func (f *fleet) pick(names ...string) string { return rapid.SampledFrom(names).Draw(f.t, "who") }

func (f *fleet) wait(most float64) float64 {
	f.now += 0.001 + float64(rapid.IntRange(0, int(most*1000)).Draw(f.t, "wait"))/1000
	return f.now
}

// step does one thing of a kind.
func (f *fleet) step(kind int) {
	g := f.pick("a", "b")
	switch kind {
	case 0: // a version
		f.by(f.wait(50), "d", Event{Kind: Proposed, Version: f.version + 1, Base: f.version,
			Txn: fmt.Sprint(f.now)})
		id, was := f.events[len(f.events)-1].Txn, f.now
		if rapid.Bool().Draw(f.t, "refused") && f.version > 0 {
			f.by(f.wait(50), "e", Event{Kind: Decided, Version: f.version + 1, Base: f.version, Txn: id, Says: "no"})
			return
		}
		f.by(f.wait(50), "e", Event{Kind: Decided, Version: f.version + 1, Base: f.version, Txn: id})
		f.version, f.since = f.version+1, was
		f.acts(f.wait(400), "a", f.version, Leased)
		f.acts(f.wait(400), "b", f.version, Leased)
	case 1: // a read, by one behind its time
		at := f.wait(100)
		f.by(at, "d", Event{Kind: ReportedInForce, Version: f.version,
			Age: rapid.Float64Range(0, 50).Draw(f.t, "age")})
		if f.version > 1 {
			f.by(at, "e", Event{Kind: ReportedInForce, Version: f.version - 1, Age: at - f.since + 0.001})
		}
	case 2: // credit
		u := min(rapid.Float64Range(0.5, 8).Draw(f.t, "units"), f.rights[g])
		if u <= 0.01 {
			return
		}
		to := map[string]string{"a": "b", "b": "a"}[g]
		f.serial++
		f.units(f.wait(50), g, Hands, u, to, f.serial)
		f.units(f.wait(50), to, Takes, u, g, f.serial)
		f.rights[g], f.rights[to] = f.rights[g]-u, f.rights[to]+u
		f.units(f.wait(50), to, Lends, u, "", 0)
		f.units(f.wait(50), to, Repays, u/2, "", f.serial)
		f.units(f.wait(50), g, Repays, u/2, to, f.serial)
	case 3: // a txn
		u := float64(rapid.IntRange(1, 4).Draw(f.t, "units"))
		at := max(f.wait(100), f.due+u*100-499) // it is seen up to 0.02 ms later
		f.due = max(f.due, at) + u*100
		f.serial++
		id, worker := fmt.Sprint("t", f.serial), f.pick("w", "v")
		until := nanos(at + 5000)
		f.by(at, "cl", Event{Kind: Asks, Txn: id, Peer: g, Product: "pay", Plan: "p", Customer: 1, Units: u,
			Expiry: until})
		f.by(f.wait(0.01), g, Event{Kind: Sends, Txn: id, Worker: worker, Version: f.version})
		f.by(f.wait(0.01), worker, Event{Kind: Got, Txn: id, Peer: g, Version: f.version})
		f.by(f.wait(0.01), worker, Event{Kind: Ran, Txn: id})
		f.by(f.wait(1), g, Event{Kind: AttemptEnded, Txn: id, Worker: worker, Says: Answered})
		f.by(f.wait(1), "cl", Event{Kind: Ends, Txn: id, Says: Succeeded})
	case 4: // a message
		f.messages++
		f.units(f.wait(5), g, Received, 0, f.pick("c", "d"), f.messages)
	case 5: // a kill
		f.rig(f.wait(50), Died, g)
		f.born(f.wait(3000), g)
		f.acts(f.wait(5), g, f.version, Leased)
	case 6: // a stall
		f.rig(f.wait(50), Stalls, g)
		f.rig(f.wait(3000), Wakes, g)
	}
}

// clean makes a record in which each thing happens at least once.
func clean(t *rapid.T) *fleet {
	f := &fleet{play: newPlay(), t: t, rights: map[string]float64{"a": 15, "b": 15}}
	for _, g := range []string{"a", "b"} {
		f.by(f.now, g, Event{Kind: Holds, Units: 15, Customer: 1})
	}
	steps := append([]int{0, 0, 0}, rapid.SliceOfN(rapid.IntRange(0, 6), 0, 25).Draw(t, "steps")...)
	for _, k := range append(steps, 0, 1, 2, 3, 4, 5, 6, 0) {
		f.step(k)
	}
	f.by(f.wait(10000)+6000, "cl", Event{Kind: Gone})
	return f
}

// some draws an event of a kind.
func (f *fleet) some(k Kind) int {
	var at []int
	for i, e := range f.events {
		if e.Kind == k && e.Says != "no" {
			at = append(at, i)
		}
	}
	return rapid.SampledFrom(at).Draw(f.t, "which")
}

func (f *fleet) again(k Kind, change func(*Event)) {
	i := f.some(k)
	e := f.events[i]
	e.At += 500
	change(&e)
	f.events = slices.Insert(f.events, i+1, e)
}

// spoilt has one way to spoil a record for each check that has to find it.
var spoilt = map[string]func(*fleet){
	"versions": func(f *fleet) { // the one before the last is read anew
		f.by(f.now+1, "d", Event{Kind: ReportedInForce, Version: f.version - 1, Age: 0.5})
	},
	"contradiction": func(f *fleet) { // one goes on by the former version, which has another ceiling
		f.acts(f.now+1, "a", 3, Leased)
		f.acts(f.now, "b", 4, Leased)
		f.by(f.now+1001, "a", Event{Kind: Received, Serial: 1 << 40})
	},
	"ledger":       func(f *fleet) { i := f.some(Lends); f.events = slices.Delete(f.events, i, i+1) },
	"ledger order": func(f *fleet) { f.again(Takes, func(*Event) {}) },
	"window":       func(f *fleet) { f.again(Got, func(e *Event) { e.Txn, e.Customer, e.Units = "x", 1, 5.1 }) },
	"ceiling":      func(f *fleet) { f.again(Got, func(e *Event) { e.Txn, e.Customer, e.Units = "x", 1, 5.1 }) },
	"heard":        func(f *fleet) { f.again(Received, func(*Event) {}) },
	"judge":        func(f *fleet) { f.again(Ran, func(*Event) {}) },
}

// Records of a fleet that keeps its promises pass all checks; one spoilt in one way fails that check.
func TestModel(t *testing.T) {
	for name, check := range checks {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := clean(t)
				if found := check(f.record()); found.Count > 0 || found.Seen == 0 {
					t.Fatal(found)
				}
				spoilt[name](f)
				if found := check(f.record()); found.Count == 0 {
					t.Fatal("what was spoilt is not found")
				}
			})
		})
	}
}

// Versions' one pass and porcupine are of one mind, over histories right and wrong.
func TestVersionsAsPorcupine(t *testing.T) {
	wrong := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay()
		at := func(name string) float64 { return float64(rapid.IntRange(10, 60).Draw(t, name)) }
		for v := range uint64(3) {
			w := at("wants")
			p.by(w, "d", Event{Kind: Proposed, Version: v + 1, Base: v})
			if rapid.IntRange(0, 2).Draw(t, "known") > 0 {
				p.by(w+at("takes")/2, "d", Event{Kind: Decided, Version: v + 1, Base: v, Peer: "d"})
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "reads") {
			p.by(at("read"), "e", Event{
				Kind:    rapid.SampledFrom([]Kind{ReportedInForce, ReportedInForce, Acts}).Draw(t, "kind"),
				Version: uint64(rapid.IntRange(0, 3).Draw(t, "version")), Age: at("age") / 4})
		}
		v := Versions(p.record())
		if (v.Checker == "Ok") != (v.Count == 0) ||
			v.Count > 0 && strings.Contains(v.Violations[0].Says, "porcupine") {
			t.Fatalf("porcupine says %s: %v", v.Checker, v)
		}
		wrong += min(v.Count, 1)
	})
	if wrong == 0 {
		t.Error("no history was wrong")
	}
}

// Window's one pass finds a break where a look at all windows does, and only there.
func TestWindowAsAllWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay()
		type one struct{ at, units float64 }
		var all []one
		for i := range rapid.IntRange(1, 12).Draw(t, "n") {
			o := one{p.now + float64(rapid.IntRange(0, 400).Draw(t, "gap")),
				float64(rapid.IntRange(1, 5).Draw(t, "units"))}
			p.came(o.at, fmt.Sprint(i), o.units)
			all = append(all, o)
		}
		over := false
		for i := range all {
			sum := 0.0
			for _, o := range all[i:] {
				sum += o.units
				over = over || sum > (o.at-all[i].at)/100+5+1e-5
			}
		}
		if f := checks["window"](p.record()); (f.Count > 0) != over {
			t.Fatalf("over it in some window: %v, and %v", over, f)
		}
	})
}

// BenchmarkMillion reads and checks a record of a million events.
func BenchmarkMillion(b *testing.B) {
	dir, p := b.TempDir(), newPlay()
	var lines strings.Builder
	for i := range 125000 {
		at, id := float64(i)*0.5+1, fmt.Sprint("txn-", i)
		c, g := uint64(i%10000+1), fmt.Sprint("g", i%300)
		if i < 300 {
			p.acts(at, g, 1, Leased)
		}
		p.by(at, "cl", Event{Kind: Asks, Txn: id, Peer: g, Product: "ask", Plan: "p", Customer: c, Units: 1,
			Expiry: nanos(at + 1000)})
		p.by(at, g, Event{Kind: Sends, Txn: id, Worker: "w", Version: 1})
		p.by(at, "w", Event{Kind: Got, Txn: id, Peer: g, Version: 1})
		p.by(at, "w", Event{Kind: Ran, Txn: id})
		p.by(at, g, Event{Kind: AttemptEnded, Txn: id, Worker: "w", Says: Answered})
		p.by(at, "cl", Event{Kind: Ends, Txn: id, Says: Succeeded})
		p.by(at, g, Event{Kind: Received, Peer: "w", Serial: uint64(i)})
		p.by(at, "d", Event{Kind: ReportedInForce, Version: 1, Age: 1})
	}
	by := map[string][]Event{}
	for _, e := range p.events {
		by[e.Who] = append(by[e.Who], e)
	}
	for who, events := range by {
		lines.Reset()
		l := zerolog.New(&lines)
		for _, e := range events {
			encode(&l, &e)
		}
		if err := os.WriteFile(filepath.Join(dir, who+".jsonl"), []byte(lines.String()), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	var r Record
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			var err error
			if r, err = Read(dir); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(r.Events)), "events")
	})
	for name, check := range checks {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				check(r)
			}
		})
	}
}
