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

// fakeDaemon is the daemon of an instance's host, of an older version that sends the full ruleset each time.
type fakeDaemon struct {
	address   string
	mu        sync.Mutex
	lease     ruleset.Lease
	handler   func(http.ResponseWriter) // responds in place of the lease; nil for the lease
	requests  int
	lastQuery map[string]string // parameters of the last request
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{lastQuery: map[string]string{}}
	d.address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if r.URL.Path == UpdatePath { // as the older daemon's mux does
			http.NotFound(w, r)
			return
		}
		d.requests++
		for key := range r.URL.Query() {
			d.lastQuery[key] = r.FormValue(key)
		}
		if r.URL.Path != LeasePath {
			t.Errorf("request for %s", r.URL.Path)
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

// setLease has it grant leases of a version from now on.
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

// setHandler has it respond by a handler in place of a lease.
func (d *fakeDaemon) setHandler(handler func(http.ResponseWriter)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = handler
}

func unavailable(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }

// testRules are the rules of one gateway whose basic plan has a rate limit.
func testRules(rate, depth float64, overrides ...ruleset.WorkerOverride) ruleset.Rules {
	return ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 400,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		Fallback:            ruleset.Fallback{Fraction: 0.5, DurationMillis: 600},
		Members:             []ruleset.Member{{Name: "n0", Host: "h"}}, WorkerOverrides: overrides,
		Plans: []ruleset.Plan{{Name: "basic", Rate: 1000, Burst: 1000, CeilingRate: rate, CeilingDepth: depth},
			{Name: "tiny", Rate: 0.1, Burst: 1}}}
}

// deployBelowDaemon starts a gateway that requests leases from a daemon which is unavailable so far.
func deployBelowDaemon(t *testing.T, workers int) (*deployment, *fakeDaemon) {
	t.Helper()
	x := newFakeDaemon(t)
	x.setHandler(unavailable)
	d := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharesEndpoints = x.address, true
		c.Policy.Plans[0].RateLimitPerSecond, c.Policy.Plans[0].RateLimitBurst = 1000, 1000
	}, workers, 5000)
	t.Cleanup(func() { close(d.gateway.done) })
	return d, x
}

var requestSerial atomic.Int64

// passes sends a request, and reports whether it was served.
func (d *deployment) passes() bool {
	d.t.Helper()
	s, _ := d.send(checkRequest("/check", fmt.Sprint("let", requestSerial.Add(1))))
	return s == "HTTP/1.1 200 OK"
}

// countPassed sends requests one after another for a time, and counts those that were served.
func (d *deployment) countPassed(span time.Duration) (passed int) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		if d.passes() {
			passed++
		}
	}
	return passed
}

// awaitMode waits for a lease mode.
func (d *deployment) awaitMode(want ruleset.LeaseMode) {
	d.t.Helper()
	waitFor(d.t, "the lease mode does not become "+want.String(), func() bool {
		return d.stat("rules.mode") == int64(want)
	})
}

// lastRulesVersion gives the ruleset version that the newest submission names; -1 where it names none.
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

// TestLeaseModes: an instance passes nothing under a rate limit until it has a lease, then uses its version.
// When its daemon falls silent it goes on until the lease expires, then in fallback and then not at all, and
// is back with the next lease.
func TestLeaseModes(t *testing.T) {
	d, x := deployBelowDaemon(t, 1)
	if d.awaitMode(ruleset.ModeNoLease); d.countPassed(100*time.Millisecond) != 0 {
		t.Error("passes without a lease")
	}
	x.setLease(1, testRules(1000, 1000), true)
	d.awaitMode(ruleset.ModeLeased)
	time.Sleep(100 * time.Millisecond) // until what a start counts as used is refilled
	if !d.passes() || d.lastRulesVersion() != 1 {
		t.Errorf("version %d is in force", d.lastRulesVersion())
	}
	x.mu.Lock()
	if x.lastQuery["instance"] != "n0" || x.lastQuery["pid"] == "" || x.lastQuery["holds"] == "" ||
		x.lastQuery["index"] == "" {
		t.Errorf("it asks %v", x.lastQuery)
	}
	x.mu.Unlock()
	x.setHandler(unavailable)
	if !d.passes() || d.stat("rules.mode") != int64(ruleset.ModeLeased) {
		t.Error("a lease ends with the first response that is missing")
	}
	d.awaitMode(ruleset.ModeFallback)
	if d.countPassed(200*time.Millisecond) == 0 {
		t.Error("passes nothing in fallback")
	}
	d.awaitMode(ruleset.ModeNoLease)
	if d.countPassed(100*time.Millisecond) != 0 {
		t.Error("passes under a rate limit after the fallback")
	}
	x.setLease(1, testRules(1000, 1000), true)
	d.awaitMode(ruleset.ModeLeased)
	if !d.passes() {
		t.Error("not back")
	}
}

// TestRateLimitChanges: a rate limit that is lowered holds from the moment of its adoption, by what workers
// are sent. One that is raised waits until no instance uses the version before.
func TestRateLimitChanges(t *testing.T) {
	d, x := deployBelowDaemon(t, 1)
	x.setLease(1, testRules(1000, 1000), true)
	d.awaitMode(ruleset.ModeLeased)
	waitFor(t, "no request is served", d.passes)
	x.setLease(2, testRules(10, 5), false)
	waitFor(t, "the ruleset is not adopted", func() bool { return d.stat("rules.version") == 2 })
	const span = 500 * time.Millisecond
	start := time.Now()
	passed := d.countPassed(span)
	if maxPassed := 5 + 10*time.Since(start).Seconds() + 1; float64(passed) > maxPassed || passed < 3 {
		t.Errorf("%d in %v, of at most %.1f", passed, time.Since(start), maxPassed)
	}
	x.setLease(3, testRules(2000, 2000), false)
	waitFor(t, "the ruleset is not adopted", func() bool { return d.stat("rules.version") == 3 })
	start = time.Now()
	passed = d.countPassed(span)
	if maxPassed := 5 + 10*time.Since(start).Seconds() + 1; float64(passed) > maxPassed {
		t.Errorf("%d in %v before all instances have left the version before", passed, time.Since(start))
	}
	x.setLease(3, testRules(2000, 2000), true)
	waitFor(t, "the rate limit is never raised", func() bool { return d.countPassed(50*time.Millisecond) > 10 })
	x.setLease(2, testRules(10, 5), true) // an older version changes nothing, whatever its step
	if d.countPassed(200*time.Millisecond) < 20 || d.stat("rules.version") != 3 {
		t.Errorf("back to version %d", d.stat("rules.version"))
	}
}

// TestWorkerOverrides: a barred worker is sent nothing from then on, nor is one that is drained or in a
// region that is; when that is lifted they are used again. Joining instances receive discovery's list,
// without the overrides.
func TestWorkerOverrides(t *testing.T) {
	d, x := deployBelowDaemon(t, 2)
	x.setLease(1, testRules(0, 0), true)
	d.awaitMode(ruleset.ModeLeased)
	number := uint64(1)
	for _, c := range []struct {
		name      string
		overrides []ruleset.WorkerOverride
		notSent   []int // workers that are sent nothing
	}{
		{"barred", []ruleset.WorkerOverride{{Worker: "w0", Barred: true}}, []int{0}},
		{"drained", []ruleset.WorkerOverride{{Worker: "w1", Drained: true}}, []int{1}},
		{"weighted", []ruleset.WorkerOverride{{Worker: "w1", Weight: 2}}, nil},
		{"its region", []ruleset.WorkerOverride{{Region: "a", Barred: true}}, []int{0, 1}},
		{"another region", []ruleset.WorkerOverride{{Region: "b", Barred: true}}, nil},
	} {
		number++
		x.setLease(number, testRules(0, 0, c.overrides...), true)
		waitFor(t, "the ruleset is not adopted", func() bool { return uint64(d.stat("rules.version")) == number })
		before := []int{d.workers[0].count(), d.workers[1].count()}
		d.countPassed(150 * time.Millisecond)
		for i, w := range d.workers {
			notSent := false
			for _, o := range c.notSent {
				notSent = notSent || o == i
			}
			if got := w.count() > before[i]; got == notSent {
				t.Errorf("%s: worker %d got %d", c.name, i, w.count()-before[i])
			}
		}
		if l, _, ok := d.gateway.EncodedEndpoints(); ok {
			if list, err := endpoints.Decode(l); err != nil || len(list.Workers) != 2 || !list.Workers[0].Active {
				t.Errorf("%s: joining instances receive %s", c.name, l)
			}
		}
	}
}

// TestInvalidLeases: responses that can't be used are counted and change nothing: the ruleset in force stays
// until its lease expires.
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
		name    string
		handler func(http.ResponseWriter)
	}{
		{"corrupt", text(`{"Step":50,"Number":`)},
		{"empty", text("")},
		{"too long", func(w http.ResponseWriter) { w.Write(bytes.Repeat([]byte(" "), ruleset.MaxEncodedBytes+1)) }},
		{"another format", with(func(l *ruleset.Lease) { l.Version.Rules.Format = 7 })},
		{"needs an unknown feature", with(func(l *ruleset.Lease) { l.Version.Rules.Needs = []string{"moon"} })},
		{"another member's place", with(func(l *ruleset.Lease) {
			l.Version.Rules.Members = []ruleset.Member{{Name: "m0", Host: "h"}, {Name: "n0", Host: "h"}}
		})},
		{"invalid rules", with(func(l *ruleset.Lease) { l.Version.Rules.Plans[0].Rate = -1 })},
		{"negative age", with(func(l *ruleset.Lease) { l.AgeMillis = -5 })},
		{"invalid address", with(func(l *ruleset.Lease) { l.Version.Rules.Members[0].Peers = "x" })},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d, x := deployBelowDaemon(t, 1)
			x.setLease(1, good, true)
			d.awaitMode(ruleset.ModeLeased)
			before := d.stat("rules.refused")
			x.setHandler(c.handler)
			waitFor(t, "the rejection is not counted", func() bool { return d.stat("rules.refused") > before })
			if v := d.stat("rules.version"); v != 1 {
				t.Errorf("version %d is in force", v)
			}
			waitFor(t, "the lease does not expire",
				func() bool { return d.stat("rules.mode") != int64(ruleset.ModeLeased) })
			if x.setLease(51, good, true); true {
				d.awaitMode(ruleset.ModeLeased)
			}
		})
	}
	t.Run("not a member", func(t *testing.T) {
		d, x := deployBelowDaemon(t, 1)
		x.setHandler(with(func(l *ruleset.Lease) { l.Version.Rules.Members[0].Name = "other" }))
		waitFor(t, "the rejection is not counted", func() bool { return d.stat("rules.refused") > 0 })
		if d.stat("rules.mode") != int64(ruleset.ModeNoLease) || d.passes() {
			t.Error("adopts a ruleset that does not name it")
		}
	})
}

// TestMembersFromRuleset: a ruleset with another number of members is adopted in service, and so is one that
// no longer names this gateway: nothing passes under its rate limits.
func TestMembersFromRuleset(t *testing.T) {
	d, x := deployBelowDaemon(t, 1)
	// Guards against messages that outgrow a datagram once a ruleset is adopted.
	if n := d.gateway.ruleset.baseSettings.ReportsPerMessage; n != transport.MaxReportsPerMessage {
		t.Errorf("%d reports to a message, where there is room for %d", n, transport.MaxReportsPerMessage)
	}
	next := testRules(1000, 1000)
	x.setLease(1, next, true)
	d.awaitMode(ruleset.ModeLeased)
	waitFor(t, "no request is served", d.passes)
	next.Members = append(next.Members, ruleset.Member{Name: "n1", Host: "h"},
		ruleset.Member{Name: "n2", Host: "i"})
	x.setLease(2, next, true)
	waitFor(t, "the number of members is not three", func() bool { return d.stat("members") == 3 })
	waitFor(t, "a request that is spread over three is not served", func() bool {
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
	next.Members = []ruleset.Member{{}, {Name: "n1", Host: "h"}}
	x.setLease(3, next, true)
	waitFor(t, "the ruleset is not adopted", func() bool { return d.stat("rules.version") == 3 })
	if d.countPassed(100*time.Millisecond) != 0 {
		t.Error("passes requests without being a member")
	}
}

// TestReplacementWithRuleset: a successor has its lease before it takes over, and what its predecessor has
// left of a rate limit: the replacement costs none of it. Guards against a successor that counts all as
// used, or nothing.
func TestReplacementWithRuleset(t *testing.T) {
	const rate, depth, spent = 20, 60, 20
	x := newFakeDaemon(t)
	x.setLease(1, testRules(rate, depth), true)
	d := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharedDir = x.address, t.TempDir()
		c.Policy.Plans[0].RateLimitPerSecond, c.Policy.Plans[0].RateLimitBurst = rate, depth
	}, 1, 5000)
	d.awaitMode(ruleset.ModeLeased)
	time.Sleep(3100 * time.Millisecond) // until the rate limit is full
	burst := func(n int) (passed int) {
		for range n {
			if d.passes() {
				passed++
			}
		}
		return passed
	}
	start := time.Now()
	if passed := burst(spent); passed != spent {
		t.Fatalf("%d passed of a full rate limit", passed)
	}
	successor := d.startSuccessor(func(c *config.Gateway) { c.ListenAddress = "127.0.0.1:0" })
	waitFor(t, "the successor has no lease",
		func() bool { return successor.ruleset.mode.Load() == int64(ruleset.ModeLeased) })
	d.gateway.Stop()
	d.address = successor.Address
	passed := burst(depth)
	maxPassed := depth - spent + rate*time.Since(start).Seconds() + 1
	if passed < depth-spent || float64(passed) > maxPassed {
		t.Errorf("%d passed in the successor, of %d to %.0f", passed, depth-spent, maxPassed)
	}
}

// TestCheckpointWithRuleset: where rulesets are agreed on, a checkpoint is restored with the first lease,
// and not before, if it is of that version; else nothing is. Guards against quotas as they were under
// another ruleset or in fallback, and against a checkpoint that is dropped because the ruleset is not known
// yet.
func TestCheckpointWithRuleset(t *testing.T) {
	leased := func(x *fakeDaemon, version uint64, d *deployment) {
		x.setLease(version, testRules(1000, 1000), true)
		d.awaitMode(ruleset.ModeLeased)
	}
	for _, c := range []struct {
		name    string
		version uint64 // of the later incarnation's first lease
		// The former incarnation was in fallback; the customer's request comes before the lease.
		inFallback, customerKnown bool
		restored                  int64
		wantStatus                string
	}{
		{"the same version", 1, false, false, 1, "429 Too Many Requests"},
		{"another version", 2, false, false, 0, "200 OK"},
		{"fallback", 1, true, false, 0, "200 OK"},
		{"customer known by then", 1, false, true, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, path := newFakeDaemon(t), filepath.Join(t.TempDir(), "residue")
			startNext := func() *deployment {
				x.setHandler(unavailable)
				return deployWith(t, func(conf *config.Gateway) {
					conf.RulesetAddress, conf.SharesEndpoints = x.address, true
					conf.CrashStatePath, conf.KeepsCheckpoint = path, true
				}, 1, 5000)
			}
			sendTiny := func(d *deployment) string {
				status, _ := d.send(strings.NewReplacer("basic", "tiny", "b4d65521", "b4d65530").
					Replace(checkRequest("/check", fmt.Sprint("r", requestSerial.Add(1)))))
				return strings.TrimPrefix(status, "HTTP/1.1 ")
			}
			d := startNext()
			leased(x, 1, d)
			if s := sendTiny(d); s != "200 OK" {
				t.Fatalf("at a first start: %q", s)
			}
			if c.inFallback {
				x.setHandler(unavailable)
				d.awaitMode(ruleset.ModeFallback)
			}
			n := d.gateway.dispatcher.CheckpointStats().Written.Load()
			waitFor(
				t,
				"no checkpoints are written",
				func() bool { return d.gateway.dispatcher.CheckpointStats().Written.Load() > n+1 },
			)
			d.gateway.listener.Close() // as in a crash
			d.gateway.dispatcher.Stop()
			close(d.gateway.done)

			d = startNext()
			t.Cleanup(func() { close(d.gateway.done) })
			if c.customerKnown {
				sendTiny(d)
			}
			if n := d.stat("copies.recalled"); n > 0 {
				t.Errorf("%d restored before a ruleset is adopted", n)
			}
			leased(x, c.version, d)
			s, n := sendTiny(d), d.stat("copies.recalled")
			if n != c.restored || c.wantStatus != "" && s != c.wantStatus ||
				d.gateway.unrestoredCheckpoint.Load() != nil {
				t.Errorf("%q, %d restored", s, n)
			}
		})
	}
}

// TestWithoutRuleset: without a daemon, no submission names a ruleset and there are no stats of it.
func TestWithoutRuleset(t *testing.T) {
	d := deploy(t, 1, 5000)
	if !d.passes() || d.lastRulesVersion() != -1 {
		t.Error("a submission names a ruleset")
	}
	for _, f := range d.gateway.Stats().Extra {
		if strings.HasPrefix(f.Name, "rules.") {
			t.Errorf("there is %s", f.Name)
		}
	}
}

// TestCharterFor: rate limits are set to what this member may use while it is leased, and the rest is
// withheld while it is not. A limit that it has no share of never fills, so that a share that comes later
// counts as used up.
func TestCharterFor(t *testing.T) {
	type want struct {
		rate, depth, withheld float64
		narrow                bool
	}
	effectiveRules := func(version uint64, mode ruleset.LeaseMode, me int, rate, depth,
		of float64) ruleset.EffectiveRules {
		return ruleset.EffectiveRules{Version: version, Mode: mode, MemberIndex: me, MemberCount: 3,
			Plans: []ruleset.EffectivePlan{
				{Plan: ruleset.Plan{Name: "basic", Rate: 1, Burst: 1, CeilingRate: rate, CeilingDepth: depth},
					RateLimitFraction: of},
				{Plan: ruleset.Plan{Name: "not known here", CeilingRate: 1, CeilingDepth: 1}, RateLimitFraction: 1}}}
	}
	for name, steps := range map[string][]struct {
		ruleset.EffectiveRules
		want
	}{
		"before any lease": {{effectiveRules(0, ruleset.ModeNoLease, 0, 10, 20, 0), want{10, 20, 1, true}}},
		"leased, fallback, no lease, leased": {
			{effectiveRules(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{effectiveRules(1, ruleset.ModeFallback, 0, 30, 60, 0.25), want{30, 60, 0.75, true}},
			{effectiveRules(1, ruleset.ModeNoLease, 0, 30, 60, 0), want{30, 60, 1, true}},
			{effectiveRules(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}}},
		"no share yet": {{effectiveRules(1, ruleset.ModeLeased, 0, 30, 60, 0), want{0, 60, 0, false}},
			{effectiveRules(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}}},
		"raised": {{effectiveRules(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{effectiveRules(2, ruleset.ModeLeased, 0, 60, 120, 0.5), want{30, 60, 0, false}},
			{effectiveRules(2, ruleset.ModeFallback, 0, 60, 120, 0.25), want{30, 60, 0.5, true}},
			{effectiveRules(2, ruleset.ModeLeased, 0, 60, 120, 1), want{60, 120, 0, false}}},
		"another version in fallback": {
			{effectiveRules(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{effectiveRules(2, ruleset.ModeFallback, 0, 40, 80, 0.25), want{10, 20, 0, true}}},
		"no longer a member": {{effectiveRules(1, ruleset.ModeLeased, 0, 30, 60, 1), want{30, 60, 0, false}},
			{effectiveRules(2, ruleset.ModeLeased, -1, 30, 60, 0), want{0, 60, 0, true}}},
		"no ceiling": {{effectiveRules(1, ruleset.ModeLeased, 0, 0, 0, 1), want{0, 0, 0, false}},
			{effectiveRules(1, ruleset.ModeNoLease, 0, 0, 0, 1), want{0, 0, 0, true}}},
	} {
		g := &Gateway{}
		g.config.Names.Plans = map[string]int{"basic": 0}
		g.config.Policy = policy.Settings{GatewayCount: 3,
			Plans: []policy.Plan{{RateLimitPerSecond: 10, RateLimitBurst: 20}}}
		a := &rulesetClient{gateway: g, baseSettings: g.config.Policy, rateLimitShares: make([]float64, 1)}
		a.baseSettings.Plans = append([]policy.Plan(nil), a.baseSettings.Plans...)
		for i, s := range steps {
			c := a.settingsFor(s.EffectiveRules)
			p := c.Plans[0]
			got := want{p.RateLimitPerSecond, p.RateLimitBurst, p.WithheldFraction, c.QuotaWithoutGossip}
			if got != s.want {
				t.Errorf("%s, step %d: %+v, not %+v", name, i, got, s.want)
			}
			a.effective = s.EffectiveRules
		}
	}
}
