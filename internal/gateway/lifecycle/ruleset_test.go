package lifecycle

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/ruleset"
)

// daemon stands in for the daemon of an instance's host, of a program that tells all rules each time.
type fakeDaemon struct {
	address   string
	mu        sync.Mutex
	lease     ruleset.Lease
	handler   func(http.ResponseWriter) // in place of the lease; nil for that
	requests  int
	lastQuery map[string]string // what the last question said
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	d := &fakeDaemon{lastQuery: map[string]string{}}
	d.address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if r.URL.Path == UpdatePath { // as its mux does
			http.NotFound(w, r)
			return
		}
		d.requests++
		for key := range r.URL.Query() {
			d.lastQuery[key] = r.FormValue(key)
		}
		if r.URL.Path != LeasePath {
			t.Errorf("asked for %s", r.URL.Path)
		}
		if d.handler != nil {
			d.handler(w)
			return
		}
		b, err := d.lease.Encode()
		if err != nil {
			t.Error(err)
		}
		w.Write(b)
	})
	return d
}

// leases has it tell a version from now on.
func (d *fakeDaemon) setLease(number uint64, r ruleset.Rules, settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = nil
	d.lease = ruleset.Lease{
		Step:               max(d.lease.Step+1, number),
		Version:            ruleset.Version{Number: number, Rules: r},
		TransitionComplete: settled,
	}
}

// answers has it say something else.
func (d *fakeDaemon) setHandler(says func(http.ResponseWriter)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = says
}

func unavailable(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }

// rules are those of one gatekeeper whose basic plan has a ceiling.
func testRules(rate, depth float64, words ...ruleset.WorkerOverride) ruleset.Rules {
	return ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 400,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		Fallback:            ruleset.Fallback{Fraction: 0.5, DurationMillis: 600},
		Members:             []ruleset.Member{{Name: "n0", Host: "h"}}, WorkerOverrides: words,
		Plans: []ruleset.Plan{{Name: "basic", Rate: 1000, Burst: 1000, CeilingRate: rate, CeilingDepth: depth},
			{Name: "tiny", Rate: 0.1, Burst: 1}}}
}

// agreed starts a gatekeeper that asks a daemon which says nothing yet.
func deployBelowDaemon(t *testing.T, workers int) (*deployment, *fakeDaemon) {
	t.Helper()
	x := newFakeDaemon(t)
	x.setHandler(unavailable)
	d := deployWith(t, func(c *config.Gatekeeper) {
		c.Agree, c.Tells = x.address, true
		c.Charter.Plans[0].CeilingRate, c.Charter.Plans[0].CeilingDepth = 1000, 1000
	}, workers, 5000)
	t.Cleanup(func() { close(d.gateway.done) })
	return d, x
}

var requestSerial atomic.Int64

// let asks one txn, and tells whether it is let in.
func (d *deployment) passes() bool {
	d.t.Helper()
	s, _ := d.send(checkRequest("/check", fmt.Sprint("let", requestSerial.Add(1))))
	return s == "HTTP/1.1 200 OK"
}

// flood asks for so long, and gives how many were let in.
func (d *deployment) countPassed(span time.Duration) (in int) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		if d.passes() {
			in++
		}
	}
	return in
}

func (d *deployment) awaitMode(want ruleset.LeaseMode) {
	d.t.Helper()
	waitFor(d.t, "it does not come to be "+want.String(), func() bool {
		return d.stat("rules.mode") == int64(want)
	})
}

// named gives the version that the newest submission names.
func (d *deployment) lastRulesVersion() int {
	got := d.submissions()
	_, after, found := strings.Cut(got[len(got)-1], "X-Rules: ")
	if !found {
		return -1
	}
	v, _, _ := strings.Cut(after, "\r\n")
	n, _ := strconv.Atoi(v)
	return n
}

// An instance passes nothing under a ceiling until it has a lease, then goes by its version; when its daemon
// falls silent it goes on until the lease has run out, by the fallback after that and then not at all; and is
// back with the next answer.
func TestLeaseModes(t *testing.T) {
	d, x := deployBelowDaemon(t, 1)
	if d.awaitMode(ruleset.ModeNoLease); d.countPassed(100*time.Millisecond) != 0 {
		t.Error("passes without a lease")
	}
	x.setLease(1, testRules(1000, 1000), true)
	d.awaitMode(ruleset.ModeLeased)
	time.Sleep(100 * time.Millisecond) // what a start takes as spent
	if !d.passes() || d.lastRulesVersion() != 1 {
		t.Errorf("by version %d", d.lastRulesVersion())
	}
	x.mu.Lock()
	if x.lastQuery["instance"] != "n0" || x.lastQuery["pid"] == "" || x.lastQuery["holds"] == "" ||
		x.lastQuery["index"] == "" {
		t.Errorf("it asks %v", x.lastQuery)
	}
	x.mu.Unlock()
	x.setHandler(unavailable)
	if !d.passes() || d.stat("rules.mode") != int64(ruleset.ModeLeased) {
		t.Error("a lease ends with the first answer that is missing")
	}
	d.awaitMode(ruleset.ModeFallback)
	if d.countPassed(200*time.Millisecond) == 0 {
		t.Error("cut off it passes nothing")
	}
	d.awaitMode(ruleset.ModeNoLease)
	if d.countPassed(100*time.Millisecond) != 0 {
		t.Error("passes under a ceiling when the fallback's time is up")
	}
	x.setLease(1, testRules(1000, 1000), true)
	d.awaitMode(ruleset.ModeLeased)
	if !d.passes() {
		t.Error("not back")
	}
}

// A ceiling that is lowered holds from the moment on at which it is adopted, by what workers are sent; one
// that is raised waits until nobody goes by the version before.
func TestRateLimitChanges(t *testing.T) {
	d, x := deployBelowDaemon(t, 1)
	x.setLease(1, testRules(1000, 1000), true)
	d.awaitMode(ruleset.ModeLeased)
	waitFor(t, "nothing passes", d.passes)
	x.setLease(2, testRules(10, 5), false)
	waitFor(t, "not taken up", func() bool { return d.stat("rules.version") == 2 })
	const span = 500 * time.Millisecond
	start := time.Now()
	in := d.countPassed(span)
	if most := 5 + 10*time.Since(start).Seconds() + 1; float64(in) > most || in < 3 {
		t.Errorf("%d in %v, of at most %.1f", in, time.Since(start), most)
	}
	x.setLease(3, testRules(2000, 2000), false)
	waitFor(t, "not taken up", func() bool { return d.stat("rules.version") == 3 })
	start = time.Now()
	in = d.countPassed(span)
	if most := 5 + 10*time.Since(start).Seconds() + 1; float64(in) > most {
		t.Errorf("%d in %v before all have left the version before", in, time.Since(start))
	}
	x.setLease(3, testRules(2000, 2000), true)
	waitFor(t, "never raised", func() bool { return d.countPassed(50*time.Millisecond) > 10 })
	x.setLease(2, testRules(10, 5), true) // an old word changes nothing, whatever its step
	if d.countPassed(200*time.Millisecond) < 20 || d.stat("rules.version") != 3 {
		t.Errorf("back to version %d", d.stat("rules.version"))
	}
}

// A worker that is barred gets nothing from then on, nor does one that is drained or of a hall that is;
// lifted, they are sent to again. Newcomers are told discovery's list, not the operators' words.
func TestWorkerOverrides(t *testing.T) {
	d, x := deployBelowDaemon(t, 2)
	x.setLease(1, testRules(0, 0), true)
	d.awaitMode(ruleset.ModeLeased)
	number := uint64(1)
	for _, c := range []struct {
		name  string
		words []ruleset.WorkerOverride
		out   []int // workers that get nothing
	}{
		{"barred", []ruleset.WorkerOverride{{Worker: "w0", Barred: true}}, []int{0}},
		{"drained", []ruleset.WorkerOverride{{Worker: "w1", Drained: true}}, []int{1}},
		{"weighed", []ruleset.WorkerOverride{{Worker: "w1", Weight: 2}}, nil},
		{"the hall", []ruleset.WorkerOverride{{Region: "a", Barred: true}}, []int{0, 1}},
		{"another hall", []ruleset.WorkerOverride{{Region: "b", Barred: true}}, nil},
	} {
		number++
		x.setLease(number, testRules(0, 0, c.words...), true)
		waitFor(t, "not taken up", func() bool { return uint64(d.stat("rules.version")) == number })
		before := []int{d.workers[0].count(), d.workers[1].count()}
		d.countPassed(150 * time.Millisecond)
		for i, w := range d.workers {
			out := false
			for _, o := range c.out {
				out = out || o == i
			}
			if got := w.count() > before[i]; got == out {
				t.Errorf("%s: worker %d got %d", c.name, i, w.count()-before[i])
			}
		}
		if l, _, ok := d.gateway.List(); ok {
			if told, err := endpoints.Decode(l); err != nil || len(told.Workers) != 2 || !told.Workers[0].Active {
				t.Errorf("%s: newcomers are told %s", c.name, l)
			}
		}
	}
}

// Answers that can't be gone by are counted, and change nothing: the former rules go on until their time.
func TestInvalidLeases(t *testing.T) {
	good := testRules(1000, 1000)
	with := func(change func(*ruleset.Lease)) func(http.ResponseWriter) {
		l := ruleset.Lease{Step: 50, Version: ruleset.Version{Number: 50, Rules: testRules(0, 0)},
			TransitionComplete: true}
		change(&l)
		b, err := l.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return func(w http.ResponseWriter) { w.Write(b) }
	}
	text := func(s string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { io.WriteString(w, s) }
	}
	for _, c := range []struct {
		name string
		says func(http.ResponseWriter)
	}{
		{"garbled", text(`{"Step":50,"Number":`)},
		{"nothing", text("")},
		{"too long", func(w http.ResponseWriter) { w.Write(bytes.Repeat([]byte(" "), ruleset.MaxEncodedBytes+1)) }},
		{"another form", with(func(l *ruleset.Lease) { l.Version.Rules.Format = 7 })},
		{"needs what is not known", with(func(l *ruleset.Lease) { l.Version.Rules.Needs = []string{"moon"} })},
		{"a stranger's place", with(func(l *ruleset.Lease) {
			l.Version.Rules.Members = []ruleset.Member{{Name: "m0", Host: "h"}, {Name: "n0", Host: "h"}}
		})},
		{"rules that make no sense", with(func(l *ruleset.Lease) { l.Version.Rules.Plans[0].Rate = -1 })},
		{"no time", with(func(l *ruleset.Lease) { l.AgeMillis = -5 })},
		{"an address that is none", with(func(l *ruleset.Lease) { l.Version.Rules.Members[0].Peers = "x" })},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d, x := deployBelowDaemon(t, 1)
			x.setLease(1, good, true)
			d.awaitMode(ruleset.ModeLeased)
			before := d.stat("rules.refused")
			x.setHandler(c.says)
			waitFor(t, "not counted", func() bool { return d.stat("rules.refused") > before })
			if v := d.stat("rules.version"); v != 1 {
				t.Errorf("by version %d", v)
			}
			waitFor(t, "the lease does not end",
				func() bool { return d.stat("rules.mode") != int64(ruleset.ModeLeased) })
			if x.setLease(51, good, true); true {
				d.awaitMode(ruleset.ModeLeased)
			}
		})
	}
	t.Run("a stranger", func(t *testing.T) {
		d, x := deployBelowDaemon(t, 1)
		x.setHandler(with(func(l *ruleset.Lease) { l.Version.Rules.Members[0].Name = "other" }))
		waitFor(t, "not counted", func() bool { return d.stat("rules.refused") > 0 })
		if d.stat("rules.mode") != int64(ruleset.ModeNoLease) || d.passes() {
			t.Error("goes by rules that do not name it")
		}
	})
}

// Rules with another number of gatekeepers are taken up in service, and so is one that they no longer name:
// nothing passes under its ceilings.
func TestMembersFromRuleset(t *testing.T) {
	d, x := deployBelowDaemon(t, 1)
	// Guards against messages that outgrow a datagram once rules are gone by, as their word was forgotten.
	if n := d.gateway.ruleset.baseCharter.ReportsPerTell; n != transport.MaxReportsPerMessage {
		t.Errorf("%d reports to a message, where there is room for %d", n, transport.MaxReportsPerMessage)
	}
	r := testRules(1000, 1000)
	x.setLease(1, r, true)
	d.awaitMode(ruleset.ModeLeased)
	waitFor(t, "nothing passes", d.passes)
	r.Members = append(r.Members, ruleset.Member{Name: "n1", Host: "h"}, ruleset.Member{Name: "n2", Host: "i"})
	x.setLease(2, r, true)
	waitFor(t, "not three", func() bool { return d.stat("members") == 3 })
	waitFor(t, "a txn of a set of three does not pass", func() bool {
		s, _ := d.send(
			strings.Replace(
				checkRequest("/check", fmt.Sprint("of3", requestSerial.Add(1))),
				"spread=1",
				"spread=3",
				1,
			),
		)
		return s == "HTTP/1.1 200 OK"
	})
	r.Members = []ruleset.Member{{}, {Name: "n1", Host: "h"}}
	x.setLease(3, r, true)
	waitFor(t, "not taken up", func() bool { return d.stat("rules.version") == 3 })
	if d.countPassed(100*time.Millisecond) != 0 {
		t.Error("one that is no member passes something")
	}
}

// A process that gets ready to take another's place has its lease before it does, and what that one has left
// of a ceiling: the change costs none of it. Guards against an heir that counts all as spent, or nothing.
func TestReplacementWithRuleset(t *testing.T) {
	const rate, depth, spent = 20, 60, 20
	x := newFakeDaemon(t)
	x.setLease(1, testRules(rate, depth), true)
	d := deployWith(t, func(c *config.Gatekeeper) {
		c.Agree, c.Scratch = x.address, t.TempDir()
		c.Charter.Plans[0].CeilingRate, c.Charter.Plans[0].CeilingDepth = rate, depth
	}, 1, 5000)
	d.awaitMode(ruleset.ModeLeased)
	time.Sleep(3100 * time.Millisecond) // until the ceiling is full
	burst := func(n int) (in int) {
		for range n {
			if d.passes() {
				in++
			}
		}
		return in
	}
	began := time.Now()
	if in := burst(spent); in != spent {
		t.Fatalf("%d let in of a full ceiling", in)
	}
	heir := d.startSuccessor(func(c *config.Gatekeeper) { c.Listen = "127.0.0.1:0" })
	waitFor(t, "the heir has no lease",
		func() bool { return heir.ruleset.mode.Load() == int64(ruleset.ModeLeased) })
	d.gateway.Stop()
	d.address = heir.Address
	in := burst(depth)
	most := depth - spent + rate*time.Since(began).Seconds() + 1
	if in < depth-spent || float64(in) > most {
		t.Errorf("%d let in by the heir, of %d to %.0f", in, depth-spent, most)
	}
}

// Where rules are agreed on, a copy of quotas is gone by with the first lease, and not before, if it names
// the version of that lease; else nothing is recalled. Guards against quotas as they were by other rules, or
// while the former life was cut off, and against a copy that is dropped as the rules are not known yet.
func TestCheckpointWithRuleset(t *testing.T) {
	leased := func(x *fakeDaemon, version uint64, d *deployment) {
		x.setLease(version, testRules(1000, 1000), true)
		d.awaitMode(ruleset.ModeLeased)
	}
	for _, c := range []struct {
		name     string
		version  uint64 // of the later life's first lease
		cut, met bool   // the former was cut off; the customer comes before the lease
		recalled int64
		says     string
	}{
		{"the same version", 1, false, false, 1, "429 Too Many Requests"},
		{"another version", 2, false, false, 0, "200 OK"},
		{"cut off", 1, true, false, 0, "200 OK"},
		{"known by then", 1, false, true, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, path := newFakeDaemon(t), filepath.Join(t.TempDir(), "residue")
			life := func() *deployment {
				x.setHandler(unavailable)
				return deployWith(t, func(conf *config.Gatekeeper) {
					conf.Agree, conf.Tells, conf.Residue, conf.Recall = x.address, true, path, true
				}, 1, 5000)
			}
			of := func(d *deployment) string {
				status, _ := d.send(strings.NewReplacer("basic", "tiny", "b4d65521", "b4d65530").
					Replace(checkRequest("/check", fmt.Sprint("r", requestSerial.Add(1)))))
				return strings.TrimPrefix(status, "HTTP/1.1 ")
			}
			d := life()
			leased(x, 1, d)
			if s := of(d); s != "200 OK" {
				t.Fatalf("a first start: %q", s)
			}
			if c.cut {
				x.setHandler(unavailable)
				d.awaitMode(ruleset.ModeFallback)
			}
			n := d.gateway.dispatcher.CheckpointStats().Written.Load()
			waitFor(
				t,
				"no copies are written",
				func() bool { return d.gateway.dispatcher.CheckpointStats().Written.Load() > n+1 },
			)
			d.gateway.listener.Close() // as at a sudden end
			d.gateway.dispatcher.Stop()
			close(d.gateway.done)

			d = life()
			t.Cleanup(func() { close(d.gateway.done) })
			if c.met {
				of(d)
			}
			if n := d.stat("copies.recalled"); n > 0 {
				t.Errorf("%d recalled before there are rules", n)
			}
			leased(x, c.version, d)
			s, n := of(d), d.stat("copies.recalled")
			if n != c.recalled || c.says != "" && s != c.says || d.gateway.unrestoredCheckpoint.Load() != nil {
				t.Errorf("%q, %d recalled", s, n)
			}
		})
	}
}

// Without agreement no submission names rules, and no figure speaks of them.
func TestWithoutRuleset(t *testing.T) {
	d := deploy(t, 1, 5000)
	if !d.passes() || d.lastRulesVersion() != -1 {
		t.Error("it names rules")
	}
	for _, f := range d.gateway.Figures().More {
		if strings.HasPrefix(f.Name, "rules.") {
			t.Errorf("there is %s", f.Name)
		}
	}
}

// What terms make of the charter: ceilings as this one may use them while leased, the rest withheld while it
// is not; what it has no share of never fills, so that a share that comes later counts as spent.
func TestCharterFor(t *testing.T) {
	type want struct {
		rate, depth, withheld float64
		narrow                bool
	}
	term := func(version uint64, mode ruleset.LeaseMode, me int, rate, depth,
		of float64) ruleset.EffectiveRules {
		return ruleset.EffectiveRules{Version: version, Mode: mode, MemberIndex: me, MemberCount: 3,
			Plans: []ruleset.EffectivePlan{
				{Plan: ruleset.Plan{Name: "basic", Rate: 1, Burst: 1, CeilingRate: rate, CeilingDepth: depth},
					CeilingFraction: of},
				{Plan: ruleset.Plan{Name: "not known here", CeilingRate: 1, CeilingDepth: 1}, CeilingFraction: 1}}}
	}
	for name, steps := range map[string][]struct {
		ruleset.EffectiveRules
		want
	}{
		"born": {{term(0, ruleset.ModeNoLease, 0, 10, 20, 0), want{10, 20, 1, true}}},
		"leased, cut off, bare, leased": {{term(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{term(1, ruleset.ModeFallback, 0, 30, 60, 0.25), want{30, 60, 0.75, true}},
			{term(1, ruleset.ModeNoLease, 0, 30, 60, 0), want{30, 60, 1, true}},
			{term(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}}},
		"no share yet": {{term(1, ruleset.ModeLeased, 0, 30, 60, 0), want{0, 60, 0, false}},
			{term(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}}},
		"up": {{term(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{term(2, ruleset.ModeLeased, 0, 60, 120, 0.5), want{30, 60, 0, false}},
			{term(2, ruleset.ModeFallback, 0, 60, 120, 0.25), want{30, 60, 0.5, true}},
			{term(2, ruleset.ModeLeased, 0, 60, 120, 1), want{60, 120, 0, false}}},
		"another version as it is cut off": {{term(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{term(2, ruleset.ModeFallback, 0, 40, 80, 0.25), want{10, 20, 0, true}}},
		"no member any more": {{term(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{term(2, ruleset.ModeLeased, -1, 30, 60, 0), want{0, 60, 0, true}}},
		"no ceiling": {{term(1, ruleset.ModeLeased, 0, 0, 0, 1), want{0, 0, 0, false}},
			{term(1, ruleset.ModeNoLease, 0, 0, 0, 1), want{0, 0, 0, true}}},
	} {
		g := &Gateway{}
		g.config.Names.Plans = map[string]int{"basic": 0}
		g.config.Charter = policy.Charter{Gatekeepers: 3, Plans: []policy.Plan{{CeilingRate: 10, CeilingDepth: 20}}}
		a := &rulesetClient{gateway: g, baseCharter: g.config.Charter, ceilingShares: make([]float64, 1)}
		a.baseCharter.Plans = append([]policy.Plan(nil), a.baseCharter.Plans...)
		for i, s := range steps {
			c := a.charterFor(s.EffectiveRules)
			p := c.Plans[0]
			if got := (want{p.CeilingRate, p.CeilingDepth, p.Withheld, c.Narrow}); got != s.want {
				t.Errorf("%s, step %d: %+v, not %+v", name, i, got, s.want)
			}
			a.effective = s.EffectiveRules
		}
	}
}
