// Package scale measures what control costs as a fleet grows: it starts real processes and hollow ones on
// loopback, one size after another, and tells what each role sends, works and holds. docs/scale.md is the
// page on it, with what is real and what is hollow.
package scale

import (
	"fmt"
	"os"
	"slices"

	"willowdeck/internal/strictoml"
)

// The ways in which agreed rules come to gatekeepers, and the parts of a run.
const (
	Direct = "direct" // each host's daemon is a voter of the council, its gatekeepers ask it for all
	Relays = "relays" // hosts' daemons follow relays by region and zone, gatekeepers are told changes

	Rules = "rules" // agreed rules, from their proposal to the last gatekeeper
	Lists = "lists" // discovery's list, and its changes
	Desk  = "desk"  // what changes of the list add to a txn at a real gatekeeper
	Words = "words" // peers' words; reckoned in the time of the module's own clock
)

var (
	distributions = []string{Direct, Relays}
	parts         = []string{Rules, Lists, Desk, Words}
)

// Scenario is a run as its file says it. Each size is a number of gatekeepers; all else follows from it.
type Scenario struct {
	Name         string
	Seed         int64
	Distribution string
	Sizes        []int
	Parts        []string

	Machine struct {
		MemoryMB  float64 `toml:"memory_mb"` // that all processes together may have
		Processes int     // that may run at once
		SizeS     float64 `toml:"size_s"` // that a part may take at one size; it is ended then, and the run fails
	}
	Council struct {
		Daemons      int     // real ones, each with its gatekeepers
		Gatekeepers  int     // real ones of each of them
		MostVoters   int     `toml:"most_voters"` // daemons and hollow hosts together, at most 31
		LeaseMS      float64 `toml:"lease_ms"`
		BoundMS      float64 `toml:"bound_ms"`
		FallbackMS   float64 `toml:"fallback_ms"`
		FallbackPart float64 `toml:"fallback_part"`
		Plans        int
		WindowS      float64 `toml:"window_s"` // in which nothing changes, for what goes on anyway
	}
	Hollow struct {
		PerHost    int     `toml:"per_host"`    // gatekeepers of a host, more where there are not hosts enough
		PerProcess int     `toml:"per_process"` // gatekeepers in a hollow process
		MostAsking int     `toml:"most_asking"` // hollow gatekeepers that run; the others are names in the rules
		MostMBS    float64 `toml:"most_mb_s"`   // of rules that all of them may be told; fewer run beyond it
		BeginPerS  float64 `toml:"begin_per_s"` // that are begun in a second at first; 0: all at once
		Sample     int     // that run where the rules are refused, and a trial goes on without the check
	}
	Relays struct {
		Regions, Zones int
		Each           int  // relays of a region, and of a zone
		Hosts          int  // real daemons below relays, each with its gatekeepers
		Faults         bool // changes are measured with relays killed and lying still, too
	}
	Changes struct {
		Count   int
		EveryMS float64 `toml:"every_ms"`
		AwayMS  float64 `toml:"away_ms"` // for which the zone's share is gone
		Zone    float64 // its share of all gatekeepers, and of all workers
		// RestartsPerS is how many hollow gatekeepers are killed and start anew in a second while as many changes
		// again are made; 0: none.
		RestartsPerS float64 `toml:"restarts_per_s"`
	}
	Lists struct {
		Workers float64 // for each gatekeeper
		Watches int     // hollow gatekeepers that follow the list
		Changes int     // of one worker each
		EveryMS float64 `toml:"every_ms"`
	}
	Desk struct {
		TxnsPerS float64 `toml:"txns_per_s"`
		Seconds  float64 // without changes, and as many with them
		EveryMS  float64 `toml:"every_ms"` // between two changes of one worker
		RulesMS  float64 `toml:"rules_ms"` // between two changes of the rules
		Stand    int     // stand-in workers that serve for all that are listed
	}
	Words struct {
		Spread       int     // gatekeepers that share a customer
		Customers    int     // that each shares with its neighbours
		TakesPerS    float64 `toml:"takes_per_s"` // messages that a gatekeeper is to take in
		Periods      int     // that are played
		RequestsPerS float64 `toml:"requests_per_s"`
	}
	Bounds []Bound
}

// Bound is what a figure may come to.
type Bound struct {
	Role, Figure string
	Most         float64
	From         int // sizes that it is held to: from this one
	To           int // up to this one; 0 is without an end
}

// usual is what a file need not name.
func usual() Scenario {
	s := Scenario{Seed: 1, Distribution: Direct, Parts: slices.Clone(parts)}
	s.Machine.MemoryMB, s.Machine.Processes, s.Machine.SizeS = 12000, 200, 120
	s.Council.Daemons, s.Council.Gatekeepers, s.Council.MostVoters = 3, 1, 31
	s.Council.LeaseMS, s.Council.BoundMS, s.Council.FallbackMS, s.Council.FallbackPart = 1000, 2000, 3000, 0.5
	s.Council.Plans, s.Council.WindowS = 5, 5
	s.Hollow.PerHost, s.Hollow.PerProcess, s.Hollow.MostAsking, s.Hollow.Sample = 25, 500, 200, 10
	s.Hollow.MostMBS = 50
	s.Relays.Regions, s.Relays.Zones, s.Relays.Each, s.Relays.Hosts = 4, 14, 2, 1
	s.Changes.Count, s.Changes.EveryMS, s.Changes.AwayMS, s.Changes.Zone = 5, 1500, 1000, 1.0/14
	s.Lists.Workers, s.Lists.Watches, s.Lists.Changes, s.Lists.EveryMS = 110000.0/7900, 4, 20, 100
	s.Desk.TxnsPerS, s.Desk.Seconds, s.Desk.EveryMS, s.Desk.Stand = 76, 5, 500, 8
	s.Desk.RulesMS = 2000
	s.Words.Spread, s.Words.Customers, s.Words.TakesPerS, s.Words.Periods = 12, 4, 60, 10
	s.Words.RequestsPerS = 20
	return s
}

// Read reads and checks a scenario. An error names the file, and the line or the key.
func Read(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Decode(string(raw))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Decode takes a scenario from its text.
func Decode(text string) (*Scenario, error) {
	s := usual()
	if err := strictoml.Decode(text, &s); err != nil {
		return nil, err
	}
	return &s, s.Check()
}

// span is a figure's key, and what it may be.
type span struct {
	key         string
	v           float64
	least, most float64
}

// Check finds what is wrong with a scenario; the error names the key.
func (s *Scenario) Check() error {
	if s.Name == "" {
		return fmt.Errorf("name: there is none")
	}
	if !slices.Contains(distributions, s.Distribution) {
		return fmt.Errorf("distribution: %q is none of %v", s.Distribution, distributions)
	}
	if len(s.Sizes) == 0 {
		return fmt.Errorf("sizes: there is none")
	}
	for i, n := range s.Sizes {
		if n < 1 || n > 20000 || i > 0 && n <= s.Sizes[i-1] {
			return fmt.Errorf("sizes.%d: %d is not from 1 to 20000, or not above the one before", i, n)
		}
	}
	for i, p := range s.Parts {
		if !slices.Contains(parts, p) {
			return fmt.Errorf("parts.%d: %q is none of %v", i, p, parts)
		}
	}
	for _, x := range []span{
		{"machine.memory_mb", s.Machine.MemoryMB, 100, 1e6},
		{"machine.processes", float64(s.Machine.Processes), 2, 500},
		{"machine.size_s", s.Machine.SizeS, 1, 3600},
		{"council.daemons", float64(s.Council.Daemons), 1, 31},
		{"council.gatekeepers", float64(s.Council.Gatekeepers), 0, 10},
		{"council.most_voters", float64(s.Council.MostVoters), 1, 31},
		{"council.lease_ms", s.Council.LeaseMS, 100, 60000},
		{"council.bound_ms", s.Council.BoundMS, 100, 60000},
		{"council.fallback_ms", s.Council.FallbackMS, 0, 3.6e6},
		{"council.fallback_part", s.Council.FallbackPart, 0, 1},
		{"council.plans", float64(s.Council.Plans), 1, 60},
		{"council.window_s", s.Council.WindowS, 0.1, 600},
		{"hollow.per_host", float64(s.Hollow.PerHost), 1, 500},
		{"hollow.per_process", float64(s.Hollow.PerProcess), 1, 5000},
		{"hollow.most_asking", float64(s.Hollow.MostAsking), 1, 20000},
		{"hollow.most_mb_s", s.Hollow.MostMBS, 0.1, 10000},
		{"hollow.begin_per_s", s.Hollow.BeginPerS, 0, 1e6},
		{"hollow.sample", float64(s.Hollow.Sample), 1, 1000},
		{"relays.regions", float64(s.Relays.Regions), 1, 20},
		{"relays.zones", float64(s.Relays.Zones), 1, 50},
		{"relays.each", float64(s.Relays.Each), 1, 4},
		{"relays.hosts", float64(s.Relays.Hosts), 0, 20},
		{"changes.count", float64(s.Changes.Count), 0, 1000},
		{"changes.every_ms", s.Changes.EveryMS, 10, 600000},
		{"changes.away_ms", s.Changes.AwayMS, 0, 60000},
		{"changes.zone", s.Changes.Zone, 0.001, 1},
		{"changes.restarts_per_s", s.Changes.RestartsPerS, 0, 100},
		{"lists.workers", s.Lists.Workers, 0.01, 1000},
		{"lists.watches", float64(s.Lists.Watches), 1, 1000},
		{"lists.changes", float64(s.Lists.Changes), 0, 10000},
		{"lists.every_ms", s.Lists.EveryMS, 1, 600000},
		{"desk.txns_per_s", s.Desk.TxnsPerS, 1, 100000},
		{"desk.seconds", s.Desk.Seconds, 0.5, 600},
		{"desk.every_ms", s.Desk.EveryMS, 1, 600000},
		{"desk.rules_ms", s.Desk.RulesMS, 1, 600000},
		{"desk.stand", float64(s.Desk.Stand), 1, 100},
		{"words.spread", float64(s.Words.Spread), 2, 100},
		{"words.customers", float64(s.Words.Customers), 1, 100000},
		{"words.takes_per_s", s.Words.TakesPerS, 1, 1e6},
		{"words.periods", float64(s.Words.Periods), 1, 1000},
		{"words.requests_per_s", s.Words.RequestsPerS, 1, 1e6},
	} {
		if !(x.v >= x.least && x.v <= x.most) {
			return fmt.Errorf("%s: %v is not from %v to %v", x.key, x.v, x.least, x.most)
		}
	}
	if s.Council.Daemons >= s.Council.MostVoters {
		return fmt.Errorf("council.most_voters: %d leaves no hollow host beside %d daemons", s.Council.MostVoters,
			s.Council.Daemons)
	}
	for i, b := range s.Bounds {
		key := fmt.Sprintf("bounds.%d", i)
		if !slices.Contains(roles, b.Role) {
			return fmt.Errorf("%s.role: %q is none of %v", key, b.Role, roles)
		}
		if _, known := units[b.Figure]; !known {
			return fmt.Errorf("%s.figure: there is no %q", key, b.Figure)
		}
		if b.From < 0 || b.To < 0 || b.To > 0 && b.To < b.From {
			return fmt.Errorf("%s.to: %d to %d is no span of sizes", key, b.From, b.To)
		}
	}
	return nil
}
