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
type daemon struct {
	at    string
	mu    sync.Mutex
	lease ruleset.Lease
	says  func(http.ResponseWriter) // in place of the lease; nil for that
	asked int
	last  map[string]string // what the last question said
}

func newDaemon(t *testing.T) *daemon {
	d := &daemon{last: map[string]string{}}
	d.at = scripted(t, func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if r.URL.Path == AskPath { // as its mux does
			http.NotFound(w, r)
			return
		}
		d.asked++
		for key := range r.URL.Query() {
			d.last[key] = r.FormValue(key)
		}
		if r.URL.Path != LeasePath {
			t.Errorf("asked for %s", r.URL.Path)
		}
		if d.says != nil {
			d.says(w)
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
func (d *daemon) leases(number uint64, r ruleset.Rules, settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.says = nil
	d.lease = ruleset.Lease{
		Step:               max(d.lease.Step+1, number),
		Version:            ruleset.Version{Number: number, Rules: r},
		TransitionComplete: settled,
	}
}

// answers has it say something else.
func (d *daemon) answers(says func(http.ResponseWriter)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.says = says
}

func silent(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }

// rules are those of one gatekeeper whose basic plan has a ceiling.
func rules(rate, depth float64, words ...ruleset.WorkerOverride) ruleset.Rules {
	return ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 400,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis,
		Fallback:            ruleset.Fallback{Fraction: 0.5, DurationMillis: 600},
		Members:             []ruleset.Member{{Name: "n0", Host: "h"}}, WorkerOverrides: words,
		Plans: []ruleset.Plan{{Name: "basic", Rate: 1000, Burst: 1000, CeilingRate: rate, CeilingDepth: depth},
			{Name: "tiny", Rate: 0.1, Burst: 1}}}
}

// agreed starts a gatekeeper that asks a daemon which says nothing yet.
func agreed(t *testing.T, workers int) (*deployment, *daemon) {
	t.Helper()
	x := newDaemon(t)
	x.answers(silent)
	d := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharesEndpoints = x.at, true
		c.Charter.Plans[0].RateLimitPerSecond, c.Charter.Plans[0].RateLimitBurst = 1000, 1000
	}, workers, 5000)
	t.Cleanup(func() { close(d.gk.over) })
	return d, x
}

var serial atomic.Int64

// let asks one txn, and tells whether it is let in.
func (d *deployment) let() bool {
	d.t.Helper()
	s, _ := d.ask(check("/check", fmt.Sprint("let", serial.Add(1))))
	return s == "HTTP/1.1 200 OK"
}

// flood asks for so long, and gives how many were let in.
func (d *deployment) flood(span time.Duration) (in int) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		if d.let() {
			in++
		}
	}
	return in
}

func (d *deployment) mode(want ruleset.LeaseMode) {
	d.t.Helper()
	until(d.t, "it does not come to be "+want.String(), func() bool {
		return d.figure("rules.mode") == int64(want)
	})
}

// named gives the version that the newest submission names.
func (d *deployment) named() int {
	got := d.got()
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
func TestLeaseFallbackBare(t *testing.T) {
	d, x := agreed(t, 1)
	if d.mode(ruleset.ModeNoLease); d.flood(100*time.Millisecond) != 0 {
		t.Error("passes without a lease")
	}
	x.leases(1, rules(1000, 1000), true)
	d.mode(ruleset.ModeLeased)
	time.Sleep(100 * time.Millisecond) // what a start takes as spent
	if !d.let() || d.named() != 1 {
		t.Errorf("by version %d", d.named())
	}
	x.mu.Lock()
	if x.last["instance"] != "n0" || x.last["pid"] == "" || x.last["holds"] == "" || x.last["index"] == "" {
		t.Errorf("it asks %v", x.last)
	}
	x.mu.Unlock()
	x.answers(silent)
	if !d.let() || d.figure("rules.mode") != int64(ruleset.ModeLeased) {
		t.Error("a lease ends with the first answer that is missing")
	}
	d.mode(ruleset.ModeFallback)
	if d.flood(200*time.Millisecond) == 0 {
		t.Error("cut off it passes nothing")
	}
	d.mode(ruleset.ModeNoLease)
	if d.flood(100*time.Millisecond) != 0 {
		t.Error("passes under a ceiling when the fallback's time is up")
	}
	x.leases(1, rules(1000, 1000), true)
	d.mode(ruleset.ModeLeased)
	if !d.let() {
		t.Error("not back")
	}
}

// A ceiling that is lowered holds from the moment on at which it is adopted, by what workers are sent; one
// that is raised waits until nobody goes by the version before.
func TestCeilingDownAndUp(t *testing.T) {
	d, x := agreed(t, 1)
	x.leases(1, rules(1000, 1000), true)
	d.mode(ruleset.ModeLeased)
	until(t, "nothing passes", d.let)
	x.leases(2, rules(10, 5), false)
	until(t, "not taken up", func() bool { return d.figure("rules.version") == 2 })
	const span = 500 * time.Millisecond
	start := time.Now()
	in := d.flood(span)
	if most := 5 + 10*time.Since(start).Seconds() + 1; float64(in) > most || in < 3 {
		t.Errorf("%d in %v, of at most %.1f", in, time.Since(start), most)
	}
	x.leases(3, rules(2000, 2000), false)
	until(t, "not taken up", func() bool { return d.figure("rules.version") == 3 })
	start = time.Now()
	in = d.flood(span)
	if most := 5 + 10*time.Since(start).Seconds() + 1; float64(in) > most {
		t.Errorf("%d in %v before all have left the version before", in, time.Since(start))
	}
	x.leases(3, rules(2000, 2000), true)
	until(t, "never raised", func() bool { return d.flood(50*time.Millisecond) > 10 })
	x.leases(2, rules(10, 5), true) // an old word changes nothing, whatever its step
	if d.flood(200*time.Millisecond) < 20 || d.figure("rules.version") != 3 {
		t.Errorf("back to version %d", d.figure("rules.version"))
	}
}

// A worker that is barred gets nothing from then on, nor does one that is drained or of a hall that is;
// lifted, they are sent to again. Newcomers are told discovery's list, not the operators' words.
func TestWordsOnWorkers(t *testing.T) {
	d, x := agreed(t, 2)
	x.leases(1, rules(0, 0), true)
	d.mode(ruleset.ModeLeased)
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
		x.leases(number, rules(0, 0, c.words...), true)
		until(t, "not taken up", func() bool { return uint64(d.figure("rules.version")) == number })
		before := []int{d.workers[0].count(), d.workers[1].count()}
		d.flood(150 * time.Millisecond)
		for i, w := range d.workers {
			out := false
			for _, o := range c.out {
				out = out || o == i
			}
			if got := w.count() > before[i]; got == out {
				t.Errorf("%s: worker %d got %d", c.name, i, w.count()-before[i])
			}
		}
		if l, _, ok := d.gk.EncodedEndpoints(); ok {
			if told, err := endpoints.Decode(l); err != nil || len(told.Workers) != 2 || !told.Workers[0].Active {
				t.Errorf("%s: newcomers are told %s", c.name, l)
			}
		}
	}
}

// Answers that can't be gone by are counted, and change nothing: the former rules go on until their time.
func TestAnswersRefused(t *testing.T) {
	good := rules(1000, 1000)
	with := func(change func(*ruleset.Lease)) func(http.ResponseWriter) {
		l := ruleset.Lease{Step: 50, Version: ruleset.Version{Number: 50, Rules: rules(0, 0)},
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
			d, x := agreed(t, 1)
			x.leases(1, good, true)
			d.mode(ruleset.ModeLeased)
			before := d.figure("rules.refused")
			x.answers(c.says)
			until(t, "not counted", func() bool { return d.figure("rules.refused") > before })
			if v := d.figure("rules.version"); v != 1 {
				t.Errorf("by version %d", v)
			}
			until(t, "the lease does not end",
				func() bool { return d.figure("rules.mode") != int64(ruleset.ModeLeased) })
			if x.leases(51, good, true); true {
				d.mode(ruleset.ModeLeased)
			}
		})
	}
	t.Run("a stranger", func(t *testing.T) {
		d, x := agreed(t, 1)
		x.answers(with(func(l *ruleset.Lease) { l.Version.Rules.Members[0].Name = "other" }))
		until(t, "not counted", func() bool { return d.figure("rules.refused") > 0 })
		if d.figure("rules.mode") != int64(ruleset.ModeNoLease) || d.let() {
			t.Error("goes by rules that do not name it")
		}
	})
}

// Rules with another number of gatekeepers are taken up in service, and so is one that they no longer name:
// nothing passes under its ceilings.
func TestMembersByRules(t *testing.T) {
	d, x := agreed(t, 1)
	// Guards against messages that outgrow a datagram once rules are gone by, as their word was forgotten.
	if n := d.gk.agreed.wide.ReportsPerMessage; n != transport.MaxReportsPerMessage {
		t.Errorf("%d reports to a message, where there is room for %d", n, transport.MaxReportsPerMessage)
	}
	r := rules(1000, 1000)
	x.leases(1, r, true)
	d.mode(ruleset.ModeLeased)
	until(t, "nothing passes", d.let)
	r.Members = append(r.Members, ruleset.Member{Name: "n1", Host: "h"}, ruleset.Member{Name: "n2", Host: "i"})
	x.leases(2, r, true)
	until(t, "not three", func() bool { return d.figure("members") == 3 })
	until(t, "a txn of a set of three does not pass", func() bool {
		s, _ := d.ask(strings.Replace(check("/check", fmt.Sprint("of3", serial.Add(1))), "spread=1", "spread=3", 1))
		return s == "HTTP/1.1 200 OK"
	})
	r.Members = []ruleset.Member{{}, {Name: "n1", Host: "h"}}
	x.leases(3, r, true)
	until(t, "not taken up", func() bool { return d.figure("rules.version") == 3 })
	if d.flood(100*time.Millisecond) != 0 {
		t.Error("one that is no member passes something")
	}
}

// A process that gets ready to take another's place has its lease before it does, and what that one has left
// of a ceiling: the change costs none of it. Guards against an heir that counts all as spent, or nothing.
func TestReplacedUnderAgreement(t *testing.T) {
	const rate, depth, spent = 20, 60, 20
	x := newDaemon(t)
	x.leases(1, rules(rate, depth), true)
	d := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharedDir = x.at, t.TempDir()
		c.Charter.Plans[0].RateLimitPerSecond, c.Charter.Plans[0].RateLimitBurst = rate, depth
	}, 1, 5000)
	d.mode(ruleset.ModeLeased)
	time.Sleep(3100 * time.Millisecond) // until the ceiling is full
	burst := func(n int) (in int) {
		for range n {
			if d.let() {
				in++
			}
		}
		return in
	}
	began := time.Now()
	if in := burst(spent); in != spent {
		t.Fatalf("%d let in of a full ceiling", in)
	}
	heir := d.second(func(c *config.Gateway) { c.ListenAddress = "127.0.0.1:0" })
	until(t, "the heir has no lease",
		func() bool { return heir.agreed.mode.Load() == int64(ruleset.ModeLeased) })
	d.gk.Stop()
	d.at = heir.At
	in := burst(depth)
	most := depth - spent + rate*time.Since(began).Seconds() + 1
	if in < depth-spent || float64(in) > most {
		t.Errorf("%d let in by the heir, of %d to %.0f", in, depth-spent, most)
	}
}

// Where rules are agreed on, a copy of quotas is gone by with the first lease, and not before, if it names
// the version of that lease; else nothing is recalled. Guards against quotas as they were by other rules, or
// while the former life was cut off, and against a copy that is dropped as the rules are not known yet.
func TestRecallUnderAgreement(t *testing.T) {
	leased := func(x *daemon, version uint64, d *deployment) {
		x.leases(version, rules(1000, 1000), true)
		d.mode(ruleset.ModeLeased)
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
			x, path := newDaemon(t), filepath.Join(t.TempDir(), "residue")
			life := func() *deployment {
				x.answers(silent)
				return deployWith(t, func(conf *config.Gateway) {
					conf.RulesetAddress, conf.SharesEndpoints = x.at, true
					conf.CrashStatePath, conf.KeepsCheckpoint = path, true
				}, 1, 5000)
			}
			of := func(d *deployment) string {
				status, _ := d.ask(strings.NewReplacer("basic", "tiny", "b4d65521", "b4d65530").
					Replace(check("/check", fmt.Sprint("r", serial.Add(1)))))
				return strings.TrimPrefix(status, "HTTP/1.1 ")
			}
			d := life()
			leased(x, 1, d)
			if s := of(d); s != "200 OK" {
				t.Fatalf("a first start: %q", s)
			}
			if c.cut {
				x.answers(silent)
				d.mode(ruleset.ModeFallback)
			}
			n := d.gk.desk.CheckpointStats().Written.Load()
			until(t, "no copies are written", func() bool { return d.gk.desk.CheckpointStats().Written.Load() > n+1 })
			d.gk.limit.Close() // as at a sudden end
			d.gk.desk.Stop()
			close(d.gk.over)

			d = life()
			t.Cleanup(func() { close(d.gk.over) })
			if c.met {
				of(d)
			}
			if n := d.figure("copies.recalled"); n > 0 {
				t.Errorf("%d recalled before there are rules", n)
			}
			leased(x, c.version, d)
			s, n := of(d), d.figure("copies.recalled")
			if n != c.recalled || c.says != "" && s != c.says || d.gk.copied.Load() != nil {
				t.Errorf("%q, %d recalled", s, n)
			}
		})
	}
}

// Without agreement no submission names rules, and no figure speaks of them.
func TestWithoutAgreement(t *testing.T) {
	d := deploy(t, 1, 5000)
	if !d.let() || d.named() != -1 {
		t.Error("it names rules")
	}
	for _, f := range d.gk.Stats().Extra {
		if strings.HasPrefix(f.Name, "rules.") {
			t.Errorf("there is %s", f.Name)
		}
	}
}

// What terms make of the charter: ceilings as this one may use them while leased, the rest withheld while it
// is not; what it has no share of never fills, so that a share that comes later counts as spent.
func TestCharterOfTerms(t *testing.T) {
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
		g := &Gatekeeper{}
		g.conf.Names.Plans = map[string]int{"basic": 0}
		g.conf.Charter = policy.Settings{GatewayCount: 3, Plans: []policy.Plan{{RateLimitPerSecond: 10, RateLimitBurst: 20}}}
		a := &agreement{g: g, wide: g.conf.Charter, of: make([]float64, 1)}
		a.wide.Plans = append([]policy.Plan(nil), a.wide.Plans...)
		for i, s := range steps {
			c := a.charter(s.EffectiveRules)
			p := c.Plans[0]
			if got := (want{p.RateLimitPerSecond, p.RateLimitBurst, p.WithheldFraction, c.QuotaWithoutGossip}); got != s.want {
				t.Errorf("%s, step %d: %+v, not %+v", name, i, got, s.want)
			}
			a.taken = s.EffectiveRules
		}
	}
}
