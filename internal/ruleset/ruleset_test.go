package ruleset

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
)

// entries are applied one by one; each outcome in short is what the table wants.
func TestCouncil(t *testing.T) {
	propose := func(id string, base uint64, r *Rules) LogEntry {
		return LogEntry{Type: EntryPropose, ID: id, Base: base, Rules: r}
	}
	seen := func(host string, step uint64) LogEntry {
		return LogEntry{Type: EntryAck, Host: "host-" + host, Step: step}
	}
	type line struct {
		e    LogEntry
		want string // in its refusal, or what it waits for, or "vN" of what it has put in force; "" is nothing
	}
	bad := small(96, "ab")
	bad.Plans[0].Burst = -1
	longer := small(96, "ab")
	longer.LeaseMillis = 1800
	planless := small(96, "ab")
	planless.Plans = nil
	first := line{propose("1", 0, small(96, "ab")), "v1"}
	second := line{propose("2", 1, small(48, "ab")), "v2"} // as far as the fallback of the first
	for name, lines := range map[string][]line{
		"one after the other": {first, second, {seen("a", 4), ""}, {seen("b", 4), ""},
			{propose("3", 2, small(96, "ab")), "v3"}},
		"another base":    {first, {propose("2", 0, small(96, "ab")), "base: version 0"}},
		"two at once":     {first, second, {propose("3", 1, small(90, "ab")), "base: version 1"}},
		"the same again":  {first, second, {second.e, "again v2"}, {first.e, "again v1"}},
		"wrong by key":    {first, {propose("2", 1, bad), "plans.p.burst: -1"}},
		"bound too long":  {first, {propose("2", 1, longer), "lease_ms: 1800"}},
		"no id":           {{propose("", 0, small(96, "ab")), "id:"}},
		"a place changes": {first, {propose("2", 1, small(96, "ba")), "members.0.name: b has place 1"}},
		"a place that one still holds": {first, {propose("2", 1, small(96, ".bc")), "v2"},
			{propose("3", 2, small(96, ".bca")), "members.3.name: a has"}},
		"waits for all to see": {first, {propose("2", 1, small(24, "ab")), "waits: fallbacks"}, {seen("a", 3), ""},
			{propose("3", 1, small(90, "ab")), "agreed already"}, {seen("b", 2), ""}, {seen("b", 3), "v2"}},
		"waits for its time": {first, {propose("2", 1, small(24, "ab")), "waits: fallbacks"}, {seen("a", 3), ""},
			{LogEntry{Type: EntryExpire, Step: 2, Fallbacks: true}, ""}, {LogEntry{Type: EntryExpire, Step: 3}, ""},
			{LogEntry{Type: EntryExpire, Step: 3, Fallbacks: true}, "v2"}},
		"one more, and more before that has settled": {first, {propose("2", 1, small(96, "abc")), "v2"},
			{propose("3", 2, small(96, "abcd")), "waits: who goes by version 1 still"},
			{LogEntry{Type: EntryExpire, Step: 4}, "v3"}},
		"down and up before that has settled": {first, second, {propose("3", 2, small(96, "ab")), "v3"}},
		"withdrawn": {first, {propose("2", 1, small(24, "ab")), "waits: fallbacks"},
			{LogEntry{Type: EntryWithdraw, ID: "w", Base: 1}, ""}, {seen("a", 3), ""}, {seen("b", 3), ""},
			{propose("3", 1, small(48, "ab")), "v2"}},
		"nothing to withdraw": {first, {LogEntry{Type: EntryWithdraw, ID: "w", Base: 1}, "base: nothing"}},
		"asked for again as it waits, and once it does not": {first,
			{propose("2", 1, small(24, "ab")), "waits: fall"}, {propose("2", 1, small(24, "ab")), "waits: fall"},
			{seen("a", 3), ""}, {seen("b", 3), "v2"}, {propose("2", 1, small(24, "ab")), "again v2"}},
		"a stranger":           {first, {seen("z", 1), "host:"}},
		"seen before it is":    {first, {seen("a", 99), "host:"}},
		"an act not known":     {{LogEntry{Type: 99}, "act:"}},
		"a plan may not go":    {first, {propose("2", 1, planless), "plans.p"}},
		"no rules, one worker": {{propose("1", 0, nil), "rules:"}},
	} {
		c := NewStateMachine()
		for i, l := range lines {
			raw, err := l.e.Encode()
			if err != nil {
				t.Fatal(err)
			}
			e, err := DecodeLogEntry(raw)
			if err != nil {
				t.Fatal(err)
			}
			o := c.Apply(e)
			got := o.Rejection
			switch {
			case o.Duplicate && o.PendingReason == "":
				got = fmt.Sprintf("again v%d", o.Activated)
			case o.PendingReason != "":
				got = "waits: " + o.PendingReason
			case o.Activated > 0:
				got = fmt.Sprintf("v%d", o.Activated)
			}
			if !strings.HasPrefix(got, l.want) && !strings.Contains(got, l.want) || l.want == "" && got != "" {
				t.Errorf("%s, entry %d: %q, not %q", name, i, got, l.want)
			}
		}
	}
}

// The state is bounded: of proposals that are remembered, and of fallbacks that may be held.
func TestBoundedCouncil(t *testing.T) {
	c := NewStateMachine()
	refused := ""
	for i := range 3 * maxRecentOutcomes {
		base := c.state.InForce.Number
		o := c.Apply(LogEntry{Type: EntryPropose, ID: fmt.Sprint(i), Base: base, Rules: small(96, "ab")})
		for _, h := range c.state.Superseded {
			c.Apply(LogEntry{Type: EntryExpire, Step: h.Step})
		}
		if o.Rejection != "" {
			refused = o.Rejection
		}
	}
	if len(c.state.Superseded) != maxSuperseded || len(c.state.RecentOutcomes) != maxRecentOutcomes ||
		!strings.Contains(refused, "host-a host-b") {
		t.Errorf("%d held, %d answered, %q", len(c.state.Superseded), len(c.state.RecentOutcomes), refused)
	}
}

// The promise is derived from the lease, the drift and the step, and stays under two seconds by default.
func TestBound(t *testing.T) {
	r := small(1, "a")
	r.LeaseMillis = 1000
	if b := ConflictBoundMillis(r); math.Abs(b-1250.45) > 0.01 || b > DefaultConflictBoundMillis {
		t.Errorf("%v", b)
	}
}

func TestContradicts(t *testing.T) {
	fall := func(c float64, who string) AllowanceSet { return fallbackAllowances(small(c, who)) }
	for _, c := range []struct {
		name string
		held []AllowanceSet
		next *Rules
		want string
	}{
		{"half of it", []AllowanceSet{fall(96, "ab")}, small(48, "ab"), ""},
		{"less than half", []AllowanceSet{fall(96, "ab")}, small(47, "ab"), "p"},
		{"one more", []AllowanceSet{fall(96, "ab")}, small(96, "abc"), ""},
		{"one less, who may be cut off", []AllowanceSet{fall(96, "abc")}, small(96, "ab"), "p"},
		{"one less, who knows", []AllowanceSet{fall(96, "abc").narrowed(small(96, "ab"))}, small(96, "ab"), ""},
		{"one in the place of another", []AllowanceSet{fall(96, "ab")}, small(96, "cb"), "p"},
		{"each fits alone, together they do not", []AllowanceSet{fall(48, "a"), fall(96, ".b")}, small(60,
			"...cd"), "p"},
	} {
		if got := ConflictingPlan(c.held, c.next); got != c.want {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}

// Rules that this program does not know whole are not gone by: guards against a key of a later one that is
// passed over in silence.
func TestForms(t *testing.T) {
	r := small(96, "a")
	l := Lease{Step: 7, Version: Version{3, *r}, TransitionComplete: true, Pending: r, AgeMillis: 5}
	raw, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeLease(raw); err != nil || got.UnsupportedFeature+got.PendingUnsupportedFeature != "" ||
		got.Version.Rules.Plans[0] !=
			r.Plans[0] || got.Pending == nil || got.Step != 7 || got.AgeMillis != 5 {
		t.Errorf("%+v, %v", got, err)
	}
	e, _ := LogEntry{Type: EntryPropose, Rules: r}.Encode()
	for old, put := range map[string]string{`"Form":1`: `"Form":2`, `"Needs":null`: `"Needs":["tides"]`,
		`"Lease":`: `"Tides":1,"Lease":`} {
		changed := strings.ReplaceAll(string(raw), old, put)
		got, err := DecodeLease([]byte(changed))
		if changed == string(raw) || err != nil || got.UnsupportedFeature == "" ||
			got.PendingUnsupportedFeature == "" ||
			got.Version.Number != 3 || len(got.Version.Rules.Plans) > 0 {
			t.Errorf("%s: %+v, %v", put, got, err)
		}
		if _, err := DecodeLogEntry([]byte(strings.ReplaceAll(string(e), old, put))); err == nil {
			t.Errorf("%s: an entry of it is taken", put)
		}
	}
	for _, bad := range []string{"", "{", "[]", `{"Step":-1}`, strings.Repeat(" ", MaxEncodedBytes+1)} {
		if _, err := DecodeLease([]byte(bad)); err == nil {
			t.Errorf("%.10q is a lease", bad)
		}
		if _, err := DecodeLogEntry([]byte(bad)); err == nil {
			t.Errorf("%.10q is an entry", bad)
		}
		if err := NewStateMachine().Restore([]byte(bad)); err == nil {
			t.Errorf("%.10q is a snapshot", bad)
		}
	}
}

// A life of one holder, step by step: what it goes by, what part it has, and what it counts.
func TestHolder(t *testing.T) {
	v := func(n uint64, c float64, who string) Version { return Version{n, *small(c, who)} } // leases of 499 ms
	h := NewLeaseHolder("a", Rules{Plans: []Plan{{Name: "p", CeilingRate: 96, CeilingDepth: 96}}})
	later := small(24, "ab")
	for i, l := range []struct {
		now    float64
		lease  *Lease
		asked  float64
		want   string // mode, version and part
		counts LeaseCounters
	}{
		{0, nil, 0, "bare v0 0", LeaseCounters{}},
		// not settled
		{10, &Lease{Step: 2, Version: v(1, 96, "ab"), AgeMillis: 5}, 10, "leased v1 0", LeaseCounters{}},
		{20, &Lease{Step: 2, Version: v(1, 96, "ab"), TransitionComplete: true, AgeMillis: 5}, 20, "leased v1 48",
			LeaseCounters{}},
		{30, &Lease{Step: 1, Version: v(1, 96, "ab")}, 30, "leased v1 48", LeaseCounters{Stale: 1}},
		{30, &Lease{Step: 2, Version: v(1, 96, "ab"), AgeMillis: -1}, 30, "leased v1 48", LeaseCounters{Stale: 1,
			Invalid: 1}},
		{30, &Lease{Step: 2, Version: v(1, 96, "ab"), AgeMillis: math.NaN()}, 30, "leased v1 48",
			LeaseCounters{Stale: 1, Invalid: 2}},
		{30, &Lease{Step: 2, Version: v(1, 96, "ab")}, 31, "leased v1 48", LeaseCounters{Stale: 1, Invalid: 3}},
		{513, nil, 0, "leased v1 48", LeaseCounters{Stale: 1, Invalid: 3}},
		{514, nil, 0, "cut off v1 24", LeaseCounters{Stale: 1, Invalid: 3, Expirations: 1}}, // 20 - 5 + 499
		{520, &Lease{Step: 3, Version: v(1, 96, "ab"), TransitionComplete: true, Pending: later}, 500,
			"leased v1 48",
			LeaseCounters{Stale: 1, Invalid: 3, Expirations: 1}},
		// the pending one's part
		{999, nil, 0, "cut off v1 12", LeaseCounters{Stale: 1, Invalid: 3, Expirations: 2}},
		{1249, nil, 0, "bare v1 0", LeaseCounters{Stale: 1, Invalid: 3, Expirations: 2}},
		{1300, &Lease{Step: 3, Version: v(1, 96, "ab"), Pending: later}, 700, "bare v1 0",
			LeaseCounters{Stale: 2, Invalid: 3, Expirations: 2}}, // its time was up when it came
		{1300, &Lease{Step: 4, Version: v(1, 96, "ab"), TransitionComplete: true, Pending: &Rules{},
			PendingUnsupportedFeature: "tides"}, 1290,
			"leased v1 48", LeaseCounters{Stale: 2, Invalid: 3, Expirations: 2, UnsupportedPending: 1}},
		{1789, nil, 0, "cut off v1 0", LeaseCounters{Stale: 2, Invalid: 3, Expirations: 3, UnsupportedPending: 1}},
		{1790, &Lease{Step: 5, Version: v(2, 192, "ab")}, 1790, "leased v2 0",
			LeaseCounters{Stale: 2, Invalid: 3, Expirations: 3, UnsupportedPending: 1}},
		{1791, &Lease{Step: 5, Version: v(2, 192, "ab"), TransitionComplete: true}, 1791, "leased v2 96",
			LeaseCounters{Stale: 2, Invalid: 3, Expirations: 3, UnsupportedPending: 1}},
		{1800, &Lease{Step: 6, Version: v(3, 24, "ab")}, 1800, "leased v3 12", // down at once
			LeaseCounters{Stale: 2, Invalid: 3, Expirations: 3, UnsupportedPending: 1}},
		{1900, &Lease{Step: 7, Version: Version{Number: 4}, UnsupportedFeature: "tides"}, 1900, "cut off v3 6",
			LeaseCounters{Stale: 2, Invalid: 3, Expirations: 4, UnsupportedPending: 1, Unsupported: 1}},
	} {
		h.SetTime(l.now)
		if l.lease != nil {
			h.ReceiveLease(*l.lease, l.asked)
		}
		for {
			d, more := h.NextAction()
			if !more {
				break
			}
			if d.Kind == ActionWake && d.WakeAtMillis <= l.now {
				t.Fatalf("line %d: woken at %v", i, d.WakeAtMillis)
			}
		}
		c := h.Effective()
		got := fmt.Sprintf("%s v%d %v", c.Mode, c.Version, c.Plans[0].Allowance.Rate)
		if got != l.want || h.Counters() != l.counts || !h.MayAct(l.now) {
			t.Errorf("line %d: %s, %+v, not %s, %+v", i, got, h.Counters(), l.want, l.counts)
		}
		if i == 2 && !c.AllowanceGrew || i == 3 && (!h.MayAct(513.9) || h.MayAct(514)) ||
			c.LendingAllowed != (c.Mode == ModeLeased) {
			t.Errorf("line %d: %+v", i, c)
		}
	}
	// What it holds follows what it has adopted by a step, and is never what it has only heard of.
	for _, c := range []struct {
		now  float64
		want uint64
	}{{1901, 4}, {2149, 4}, {2151, 6}} { // it was cut off at 1900, and went by step 6 from then on
		if h.SetTime(c.now); h.AckedStep() != c.want {
			t.Errorf("at %v it holds %d, not %d", c.now, h.AckedStep(), c.want)
		}
	}
	if n := testing.AllocsPerRun(100, func() { h.MayAct(1) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// What a daemon tells: guards against an age that is too low, a lease past its time, and a host that is said
// to have seen what one of its processes has not.
func TestSteward(t *testing.T) {
	c := NewStateMachine()
	c.Apply(LogEntry{Type: EntryPropose, ID: "1", Rules: small(96, "ab")}) // step 2, leases of 499 ms
	s := NewHostAgent("host-a", c)
	s.ProcessStarted(1, true) // it ran before this daemon did
	said := func() (entries []LogEntry) {
		s.EntriesApplied()
		for {
			d, more := s.NextAction()
			if !more {
				return entries
			}
			if d.Kind == ActionSubmit {
				entries = append(entries, d.Entry)
			}
		}
	}
	if _, ok := s.GrantLease(2, 0); ok {
		t.Error("told before anything was read")
	}
	s.SetTime(100)
	s.ReadConfirmed(90)
	s.SetTime(500)
	if l, ok := s.GrantLease(2, 0); !ok || l.AgeMillis != 410 || !l.TransitionComplete || l.Step != 2 {
		t.Errorf("%+v, %v", l, ok)
	}
	s.SetTime(589)
	if _, ok := s.GrantLease(2, 0); ok {
		t.Error("told past its time")
	}
	c.Apply(LogEntry{Type: EntryPropose, ID: "2", Base: 1, Rules: small(24, "ab")}) // step 3, and it waits
	s.SetTime(600)
	s.ReadConfirmed(595)
	if l, ok := s.GrantLease(2, 2); !ok || l.Pending == nil || l.Version.Number != 1 {
		t.Errorf("%+v, %v", l, ok)
	}
	if got := said(); len(got) > 0 {
		t.Errorf("%+v, though no process has said that it holds it", got)
	}
	s.GrantLease(2, 3)
	if got := said(); len(got) > 0 {
		t.Errorf("%+v, though one from before this daemon has not", got)
	}
	s.ProcessExited(1)
	if got := fmt.Sprintf("%+v", said()); !strings.Contains(got, "Host:host-a Step:3") {
		t.Errorf("%s", got)
	}
	if got := said(); len(got) > 0 {
		t.Errorf("%+v, again at once", got)
	}
	c.Apply(LogEntry{Type: EntryAck, Host: "host-a", Step: 3})
	s.SetTime(600 + fallbackLifetimeMillis(small(24, "ab")) + 1)
	if got := said(); len(got) > 0 {
		t.Errorf("%+v, and it does not lead", got)
	}
	s.SetLeader(true)
	if got := fmt.Sprintf("%+v", said()); !strings.Contains(got, "Step:3 Fallbacks:true") {
		t.Errorf("%s", got)
	}
}

// How long changes take where all are in touch, by virtual time and with 10 ms each way. One that contradicts
// no fallback is everyone's, and settled, after two asks and a step; one that does takes as much again.
func TestTimeInForce(t *testing.T) {
	for _, c := range []struct {
		ceiling, inForce, all float64 // ms, at most
	}{{48, 20, 850}, {24, 600, 1400}} {
		w := &walk{rng: rand.New(rand.NewSource(1)), truth: NewStateMachine(), counts: map[string]int{}, calm: 10}
		w.people("abc")
		first, second := small(96, "abc"), small(c.ceiling, "abc")
		first.LeaseMillis, second.LeaseMillis = 1000, 1000
		w.commit(LogEntry{Type: EntryPropose, ID: "1", Rules: first})
		inForce, settled := 0.0, 0.0
		for at := 3000.0; w.now < at+5000 && settled == 0; w.now++ {
			if w.now == at {
				w.commit(LogEntry{Type: EntryPropose, ID: "2", Base: 1, Rules: second})
			}
			w.pass()
			w.drive()
			if inForce == 0 && w.truth.state.InForce.Number == 2 {
				inForce = w.now - at
			}
			all := w.truth.state.TransitionComplete()
			for _, s := range w.hosts {
				all = all && s.holder.effective.Version == 2 && s.holder.effective.Mode == ModeLeased
			}
			if all {
				settled = w.now - at
			}
		}
		t.Logf("from 96 to %v: in force after %v ms, with all and settled after %v", c.ceiling, inForce, settled)
		if inForce > c.inForce || settled == 0 || settled > c.all {
			t.Errorf("in force after %v, with all after %v", inForce, settled)
		}
	}
}

func TestLag(t *testing.T) {
	l := NewIndexLag()
	l.Report("a", 5, 0)
	l.Report("b", 5, 10)
	l.Report("a", 6, 100)
	l.Report("c", 2, 110)
	l.Report("b", 5, 120) // says the same again: it lags since 100 all the same
	for _, c := range []struct {
		now  float64
		want string
	}{{200, "[]"}, {1000, "[{c 2 6 1000}]"}, {1200, "[{b 5 6 1100} {c 2 6 1200}]"}} {
		if got := fmt.Sprint(l.Lagging(c.now, 999)); got != c.want {
			t.Errorf("%v: %s", c.now, got)
		}
	}
	l.Report("b", 6, 1300)
	l.Remove("c")
	if got := l.Lagging(5000, 999); len(got) > 0 {
		t.Errorf("%v", got)
	}
	for i := range 10 * maxTrackedIndexes {
		l.Report(fmt.Sprint(i), int64(i), float64(i))
	}
	if len(l.firstReportedMillis) > maxTrackedIndexes || len(l.latest) > 2*maxMembers {
		t.Error("not bounded")
	}
}

func BenchmarkMay(b *testing.B) {
	h := NewLeaseHolder("a", Rules{})
	h.ReceiveLease(Lease{Step: 2, Version: Version{1, *small(96, "ab")}, TransitionComplete: true}, 0)
	for _, more := h.NextAction(); more; _, more = h.NextAction() {
	}
	b.ReportAllocs()
	for i := range b.N {
		h.MayAct(float64(i))
	}
}

// One change among as many gatekeepers as a file may name, on ten hosts: proposed, and seen by each.
func BenchmarkApply(b *testing.B) {
	r := small(96, "a")
	r.Members = nil
	for i := range maxMembers {
		r.Members = append(r.Members, Member{Name: fmt.Sprint(i), Host: fmt.Sprint(i % 10)})
	}
	c := NewStateMachine()
	b.ReportAllocs()
	for i := range b.N {
		if o := c.Apply(LogEntry{Type: EntryPropose, ID: fmt.Sprint(i), Base: uint64(i),
			Rules: r}); o.Activated == 0 {
			b.Fatal(o)
		}
		for h := range 10 {
			c.Apply(LogEntry{Type: EntryAck, Host: fmt.Sprint(h), Step: c.state.Step})
		}
	}
}
