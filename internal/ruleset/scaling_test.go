package ruleset

import (
	"encoding/csv"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
)

var (
	capacityOut    = flag.String("capacity", "", "file to write the figures of sizes to")
	capacityRun    = flag.String("run", "", "name of the run in that file")
	capacityCommit = flag.String("commit", "", "commit in that file")
)

// many are rules of so many members, one on each host, and five plans.
func many(n int, ceiling float64) *Rules {
	r := &Rules{Form: Form, Needs: []string{ManyMembers}, Bound: MostBound, Lease: 1000,
		Fallback: Fallback{Part: 0.5, For: 10000}}
	for i := range 5 {
		r.Plans = append(r.Plans, Plan{Name: fmt.Sprintf("plan-%d", i), Rate: ceiling, Burst: 10,
			CeilingRate: ceiling, CeilingDepth: ceiling, Credit: 1, Repay: 2000})
	}
	for i := range n {
		r.Members = append(r.Members, Member{Name: fmt.Sprintf("gk-%04d", i), Host: fmt.Sprintf("host-%04d", i),
			Peers: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255)})
	}
	return r
}

// The former ways, squared in members, which those of today have to give the same as.
func formerKeep(next *Rules, former []Member) error {
	for i, m := range next.Members {
		for j, o := range former {
			if m.Name != "" && o.Name == m.Name && i != j {
				return fmt.Errorf("members.%d.name: %s has place %d", i, m.Name, j)
			}
		}
	}
	return nil
}

func formerHosts(members []Member) []string {
	var all []string
	for _, m := range members {
		if m.Name != "" && !slices.Contains(all, m.Host) {
			all = append(all, m.Host)
		}
	}
	return all
}

func formerUnion(some, more []string) []string {
	for _, host := range more {
		if !slices.Contains(some, host) {
			some = append(some, host)
		}
	}
	return some
}

func formerNarrowed(s Stance, coming *Rules) Stance {
	var n Stance
	for _, m := range s.Members {
		if Place(coming, m.Name) >= 0 {
			n.Members = append(n.Members, m)
		}
	}
	for i, p := range s.Parts {
		n.Parts = append(n.Parts, p.least(Share(coming, i, 0)))
	}
	return n
}

func formerPasses(all []Stance, allowed []Part, next *Rules) string {
	member := map[string][]int{}
	var names []string
	for i, s := range all {
		for _, m := range s.Members {
			if m.Name == "" {
				continue
			}
			if member[m.Name] == nil {
				names = append(names, m.Name)
			}
			member[m.Name] = append(member[m.Name], i)
		}
	}
	for plan := range allowed {
		var sum Part
		for _, n := range names {
			var worst Part
			for _, i := range member[n] {
				if plan < len(all[i].Parts) {
					worst = worst.most(all[i].Parts[plan])
				}
			}
			sum = sum.plus(worst)
		}
		if !sum.within(allowed[plan]) {
			return next.Plans[plan].Name
		}
	}
	return ""
}

// formerWanted is the steward's own reckoning of whether the council gains by a host's word.
func formerWanted(s *State, host string, step uint64) bool {
	known, there := s.Seen[host]
	if !there || step <= known {
		return false
	}
	for _, h := range s.Held {
		if slices.Contains(h.Hosts, host) && known < h.Step && h.Step <= step {
			return true
		}
	}
	p := s.Pending
	return p != nil && slices.Contains(p.Hosts, host) && known < p.Step && p.Step <= step
}

// What is linear in members now gives the same as what was squared.
func TestSameAsFormerWays(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	draw := func() *Rules {
		r := small([]float64{12, 24, 48, 96}[rng.Intn(4)], "a")
		r.Members = nil
		used := map[string]bool{}
		for range 1 + rng.Intn(12) {
			n := string(rune('a' + rng.Intn(16)))
			if rng.Intn(4) == 0 || used[n] {
				r.Members = append(r.Members, Member{})
				continue
			}
			used[n] = true
			r.Members = append(r.Members, Member{Name: n, Host: fmt.Sprint("h", rng.Intn(6))})
		}
		return r
	}
	differ := map[string]int{}
	for range 20000 {
		a, b, c := draw(), draw(), draw()
		was := fmt.Sprint(formerKeep(a, b.Members))
		if got, want := fmt.Sprint(keep(a, Stance{Members: b.Members})), was; got != want {
			t.Fatalf("keep: %s, not %s", got, want)
		} else if want != "<nil>" {
			differ["keep"]++
		}
		if got, want := hosts(a.Members), formerHosts(a.Members); !reflect.DeepEqual(got, want) {
			t.Fatalf("hosts: %v, not %v", got, want)
		}
		got, want := union(hosts(a.Members), hosts(b.Members)), formerUnion(hosts(a.Members), hosts(b.Members))
		if !slices.Equal(got, want) {
			t.Fatalf("union: %v, not %v", got, want)
		}
		n := fallback(a).narrowed(b)
		if want := formerNarrowed(fallback(a), b); !reflect.DeepEqual(n, want) {
			t.Fatalf("narrowed: %v, not %v", n, want)
		}
		all, allowed := []Stance{normal(c), fallback(a), n, normal(b)}, []Part{Whole(&c.Plans[0]).of(1.5)}
		x, y := passes(all, allowed, c), formerPasses(all, allowed, c)
		if x != y {
			t.Fatalf("passes: %q, not %q", x, y)
		} else if x != "" {
			differ["passes"]++
		}
	}
	if differ["keep"] < 1000 || differ["passes"] < 1000 || differ["passes"] > 19000 {
		t.Errorf("too little differs: %v", differ)
	}
}

// What the council gains by is reckoned for many hosts at once as for each alone.
func TestGains(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	met := map[bool]int{}
	for range 5000 {
		s := &State{Step: uint64(6 + rng.Intn(4)), Seen: map[string]uint64{}}
		some := func() (all []string) {
			for i := range 6 {
				if rng.Intn(2) == 0 {
					all = append(all, fmt.Sprint("h", i))
				}
			}
			return all
		}
		for range rng.Intn(3) {
			s.Held = append(s.Held, Held{Step: uint64(rng.Intn(8)), Hosts: some()})
		}
		if rng.Intn(2) == 0 {
			s.Pending = &Coming{Step: uint64(rng.Intn(8)), Hosts: some()}
		}
		for _, h := range some() {
			s.Seen[h] = uint64(rng.Intn(6))
		}
		var all, want []HostStep
		for i := range 6 {
			all = append(all, HostStep{Host: fmt.Sprint("h", i), Step: uint64(rng.Intn(10))})
		}
		for _, h := range all {
			yes := formerWanted(s, h.Host, h.Step) && h.Step <= s.Step
			if met[yes]++; yes {
				want = append(want, h)
			}
		}
		if got := s.Gains(all); !slices.Equal(got, want) {
			t.Fatalf("%+v: %v, not %v", s, got, want)
		}
	}
	if met[true] < 1000 || met[false] < 1000 {
		t.Errorf("%v", met)
	}
}

// Facts of many hosts in one entry come to the same as each in its own; one that is no host keeps none out.
func TestSeenAll(t *testing.T) {
	first := Entry{Act: Propose, ID: "1", Rules: small(96, "abc")}
	next := Entry{Act: Propose, ID: "2", Base: 1, Rules: small(24, "abc")}
	one, all := NewCouncil(), NewCouncil()
	for _, c := range []*Council{one, all} {
		c.Apply(first)
		if o := c.Apply(next); o.Waits == "" {
			t.Fatalf("%+v", o)
		}
	}
	var facts []HostStep
	for _, h := range []string{"host-a", "host-z", "host-b"} {
		facts = append(facts, HostStep{Host: h, Step: 3})
		one.Apply(Entry{Act: Seen, Host: h, Step: 3})
	}
	facts = append(facts, HostStep{Host: "host-c", Step: 99}) // later than anything that was said
	same := func() {
		t.Helper()
		x, _ := one.Snapshot()
		y, _ := all.Snapshot()
		if string(x) != string(y) {
			t.Fatalf("%s\n%s", x, y)
		}
	}
	pass := func(e Entry) Outcome {
		raw, err := e.Bytes()
		if err != nil {
			t.Fatal(err)
		}
		if e, err = ReadEntry(raw); err != nil {
			t.Fatal(err)
		}
		return all.Apply(e)
	}
	if o := pass(Entry{Act: SeenAll, Hosts: facts}); o.Refused != "" {
		t.Fatalf("%+v", o)
	}
	same()
	one.Apply(Entry{Act: Seen, Host: "host-c", Step: 3})
	if o := pass(Entry{Act: SeenAll, Hosts: []HostStep{{Host: "host-c", Step: 3}}}); o.InForce != 2 {
		t.Fatalf("%+v", o)
	}
	same()
	if o := pass(Entry{Act: SeenAll, Hosts: []HostStep{{Host: "host-z", Step: 1}}}); o.Refused == "" {
		t.Error("a stranger alone is taken")
	}
	o := pass(Entry{Act: SeenAll, Hosts: make([]HostStep, MostSeen+1)})
	if !strings.Contains(o.Refused, "4001") {
		t.Errorf("%+v", o)
	}
}

// Rules of more members than programs once knew have to say that they need it, so that one which would refuse
// them stops at the entry instead of parting from the others.
func TestManyMembers(t *testing.T) {
	for _, c := range []struct {
		n     int
		needs bool
		want  string
	}{{500, false, ""}, {501, false, `needs: 501 members`}, {501, true, ""}, {mostMembers, true, ""},
		{mostMembers + 1, true, "members: 10001 are more"}} {
		r := many(c.n, 96)
		if !c.needs {
			r.Needs = nil
		}
		if err := fmt.Sprint(Check(r)); !strings.Contains(err, c.want) || c.want == "" && err != "<nil>" {
			t.Errorf("%d, %v: %s", c.n, c.needs, err)
		}
	}
}

// A fallback that was narrowed to what a version that waited names leaves members out. Guards against one
// who stays being taken for one that has moved up: the next change was refused by a key that nobody had
// touched.
func TestPlacesOfThoseThatStay(t *testing.T) {
	for _, needs := range [][]string{{ManyMembers}, nil} {
		c, id := NewCouncil(), 0
		propose := func(ceiling float64, members string) Outcome {
			r := small(ceiling, members)
			r.Needs = needs
			id++
			return c.Apply(Entry{Act: Propose, ID: fmt.Sprint(id), Base: c.s.InForce.Number, Rules: r})
		}
		propose(96, "abc")
		if o := propose(24, ".bc"); o.Waits == "" {
			t.Fatalf("%+v", o)
		}
		for _, h := range "abc" {
			c.Apply(Entry{Act: Seen, Host: "host-" + string(h), Step: 3})
		}
		if c.s.InForce.Number != 2 || len(c.s.Held) != 1 {
			t.Fatalf("%+v", c.s)
		}
		raw, err := c.Snapshot()
		if err != nil || c.Restore(raw) != nil {
			t.Fatal(err)
		}
		if o := propose(20, ".cb"); !strings.Contains(o.Refused, "members.1.name: c has place 2") && needs != nil {
			t.Errorf("it moves: %+v", o)
		}
		o := propose(20, ".bcd")
		if needs != nil && (o.Refused != "" || o.Number != 3) {
			t.Errorf("%+v", o)
		} else if needs == nil && !strings.Contains(o.Refused, "members.1.name: b has place 0") {
			t.Errorf("another program than those before takes what they refuse: %+v", o)
		}
	}
}

// sized are the things whose cost grows with the members; each gives what is to be measured at a size.
var sized = []struct {
	name string
	make func(n int) func()
}{
	{"keep, former", func(n int) func() {
		r := many(n, 96)
		return func() { _ = formerKeep(r, r.Members) }
	}},
	{"keep", func(n int) func() {
		r := many(n, 96)
		return func() { _ = keep(r, Stance{Members: r.Members}) }
	}},
	{"hosts, former", func(n int) func() {
		r := many(n, 96)
		return func() { formerHosts(r.Members) }
	}},
	{"hosts", func(n int) func() {
		r := many(n, 96)
		return func() { hosts(r.Members) }
	}},
	{"union, former", func(n int) func() {
		a, b := hosts(many(n, 96).Members), hosts(many(n, 96).Members)
		return func() { formerUnion(slices.Clone(a), b) }
	}},
	{"union", func(n int) func() {
		a, b := hosts(many(n, 96).Members), hosts(many(n, 96).Members)
		return func() { union(slices.Clone(a), b) }
	}},
	{"narrowed, former", func(n int) func() {
		r, s := many(n, 96), fallback(many(n, 96))
		return func() { formerNarrowed(s, r) }
	}},
	{"narrowed", func(n int) func() {
		r, s := many(n, 96), fallback(many(n, 96))
		return func() { s.narrowed(r) }
	}},
	{"contradicts, 4 held", func(n int) func() {
		r := many(n, 96)
		held := []Stance{fallback(r), fallback(r), fallback(r), fallback(r)}
		return func() { Contradicts(held, r) }
	}},
	{"check", func(n int) func() {
		r := many(n, 96)
		return func() {
			if err := Check(r); err != nil {
				panic(err)
			}
		}
	}},
	{"a change applied, with all hosts' words", func(n int) func() {
		c, low, high := NewCouncil(), many(n, 24), many(n, 96)
		c.Apply(Entry{Act: Propose, ID: "first", Rules: high})
		i := 0
		return func() {
			i++
			r := high
			if i%2 == 1 {
				r = low
			}
			c.Apply(Entry{Act: Propose, ID: fmt.Sprint(i), Base: c.s.InForce.Number, Rules: r})
			for range 2 { // the pending one, and then the one in force
				var facts []HostStep
				for _, m := range r.Members {
					facts = append(facts, HostStep{Host: m.Host, Step: c.s.Step})
				}
				for some := range slices.Chunk(facts, MostSeen) {
					c.Apply(Entry{Act: SeenAll, Hosts: some})
				}
			}
			if len(c.s.Held) > 0 || c.s.Pending != nil {
				panic("the change is not over")
			}
		}
	}},
	{"gains of all hosts' words", func(n int) func() {
		c, low := NewCouncil(), many(n, 24)
		c.Apply(Entry{Act: Propose, ID: "first", Rules: many(n, 96)})
		c.Apply(Entry{Act: Propose, ID: "low", Base: 1, Rules: low})
		var facts []HostStep
		for _, m := range low.Members {
			facts = append(facts, HostStep{Host: m.Host, Step: c.s.Step})
		}
		return func() {
			if len(c.s.Gains(facts)) != n {
				panic("it gains by none")
			}
		}
	}},
	{"snapshot", func(n int) func() {
		c := held4(n)
		return func() { _, _ = c.Snapshot() }
	}},
	{"restore", func(n int) func() {
		raw, _ := held4(n).Snapshot()
		return func() {
			if err := NewCouncil().Restore(raw); err != nil {
				panic(err)
			}
		}
	}},
	{"entry read", func(n int) func() {
		raw, _ := Entry{Act: Propose, ID: "1", Rules: many(n, 96)}.Bytes()
		return func() {
			if _, err := ReadEntry(raw); err != nil {
				panic(err)
			}
		}
	}},
	{"version to entries", func(n int) func() {
		v := &Version{Number: 1, Rules: *many(n, 96)}
		return func() { _, _ = Entries(v) }
	}},
	{"entries to version", func(n int) func() {
		s, _ := Entries(&Version{Number: 1, Rules: *many(n, 96)})
		return func() { _, _ = FromState(s) }
	}},
	{"index of parts", func(n int) func() {
		s, _ := Entries(&Version{Number: 1, Rules: *many(n, 96)})
		return func() { NewIndex(s) }
	}},
	{"part of a gatekeeper, 20 around", func(n int) func() {
		s, _ := Entries(&Version{Number: 1, Rules: *many(n, 96)})
		x := NewIndex(s)
		return func() { x.Select(Interest{Name: "gk-0050", Around: 20}) }
	}},
	{"part to version", func(n int) func() {
		s, _ := Entries(&Version{Number: 1, Rules: *many(n, 96)})
		p := Select(s, Interest{Name: "gk-0050", Around: 20})
		return func() { _, _ = FromState(p) }
	}},
}

// held4 is a council with four versions that may still be gone by.
func held4(n int) *Council {
	c := NewCouncil()
	for i := range 5 {
		c.Apply(Entry{Act: Propose, ID: fmt.Sprint(i), Base: c.s.InForce.Number, Rules: many(n, 96-float64(i))})
	}
	if len(c.s.Held) != 4 {
		panic(fmt.Sprintf("%d held: %s", len(c.s.Held), c.s.Waits()))
	}
	return c
}

func BenchmarkSizes(b *testing.B) {
	for _, s := range sized {
		for _, n := range []int{100, 300, 1000, 3000, 7900} {
			b.Run(fmt.Sprintf("%s/%d", s.name, n), func(b *testing.B) {
				do := s.make(n)
				b.ReportAllocs()
				for b.Loop() {
					do()
				}
			})
		}
	}
}

// lengths are sizes in bytes.
func lengths(n int) map[string]int {
	r := many(n, 96)
	rules, _ := json.Marshal(r)
	snapshot, _ := held4(n).Snapshot()
	s, _ := Entries(&Version{Number: 1, Rules: *r})
	return map[string]int{"rules as JSON": len(rules), "snapshot, 4 held": len(snapshot), "state": s.Bytes(),
		"part of a gatekeeper, 20 around": Select(s, Interest{Name: "gk-0050", Around: 20}).Bytes()}
}

// TestSizes writes the figures of docs/capacity/accord.csv, where -args -capacity names the file.
func TestSizes(t *testing.T) {
	if *capacityOut == "" {
		t.Skip("-args -capacity FILE -run NAME -commit C")
	}
	f, err := os.Create(*capacityOut)
	if err != nil {
		t.Fatal(err)
	}
	w := csv.NewWriter(f)
	line := func(n int, figure, unit, value string) {
		if err := w.Write([]string{*capacityRun, *capacityCommit, "one to a host", fmt.Sprint(n), "council", figure,
			unit, value}); err != nil {
			t.Fatal(err)
		}
	}
	_ = w.Write([]string{"run", "commit", "distribution", "size", "role", "figure", "unit", "value"})
	for _, n := range []int{100, 300, 1000, 3000, 7900} {
		for _, s := range sized {
			do := s.make(n)
			runtime.GC()
			res := testing.Benchmark(func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					do()
				}
			})
			line(n, s.name, "ms", fmt.Sprintf("%.4g", float64(res.T.Nanoseconds())/1e6/float64(res.N)))
			line(n, s.name+", allocated", "KB", fmt.Sprintf("%.4g", float64(res.AllocedBytesPerOp())/1024))
		}
		all := lengths(n)
		for _, name := range []string{"rules as JSON", "snapshot, 4 held", "state",
			"part of a gatekeeper, 20 around"} {
			line(n, name, "B", fmt.Sprint(all[name]))
		}
	}
	w.Flush()
	if err := first(w.Error(), f.Close()); err != nil {
		t.Fatal(err)
	}
}
