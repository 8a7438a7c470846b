package lifecycle

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// teller stands in for the daemon of an instance's host, of a program that tells changes.
type teller struct {
	t      *testing.T
	at     string
	mu     sync.Mutex
	older  bool                         // it tells all, as a daemon of an older program does
	tells  func(*distribution.Response) // what it does to an answer; nil for nothing
	says   func(w http.ResponseWriter)  // in place of one; nil for that
	lease  ruleset.Lease
	source *distribution.Source
	last   distribution.Request
	asked  int // for changes
	whole  int // for all
	bare   int // with nothing here
}

func newTeller(t *testing.T) *teller {
	x := &teller{t: t}
	handler := relay.NewHandler(x.answer)
	x.at = scripted(t, func(w http.ResponseWriter, r *http.Request) {
		x.mu.Lock()
		older, says, lease := x.older, x.says, x.lease
		if r.URL.Path == LeasePath {
			x.whole++
		}
		x.mu.Unlock()
		switch {
		case r.URL.Path == AskPath && older:
			http.NotFound(w, r)
		case says != nil:
			says(w)
		case r.URL.Path == AskPath:
			handler.ServeHTTP(w, r)
		default:
			b, err := lease.Encode()
			if err != nil {
				t.Error(err)
			}
			w.Write(b)
		}
	})
	return x
}

func (x *teller) answer(a *distribution.Request) (*distribution.Response, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last = *a
	if x.asked++; a.Rules.IsNone() {
		x.bare++
	}
	if x.source == nil {
		return nil, &relay.RejectionError{Reason: "unconfirmed", Message: "nothing is in force"}
	}
	now := boot()
	v := distribution.Snapshot{Step: x.lease.Step, TransitionComplete: x.lease.TransitionComplete,
		ReadStartMillis: now,
		DiscoveryIndex:  -1}
	var err error
	if v.Rules, err = ruleset.VersionToState(&x.lease.Version); err == nil && x.lease.Pending != nil {
		next := ruleset.Version{Number: x.lease.Version.Number + 1, Rules: *x.lease.Pending}
		v.Pending, err = ruleset.VersionToState(&next)
	}
	if err != nil {
		return nil, err
	}
	a.Cluster = "till"
	x.source.Publish(v)
	got, err := x.source.Respond(a, now)
	if err != nil || x.tells == nil {
		return got, err
	}
	other := *got
	x.tells(&other)
	return &other, nil
}

// leases has it tell a version from now on, and what is pending.
func (x *teller) leases(number uint64, r ruleset.Rules, pending *ruleset.Rules) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tells, x.says = nil, nil
	if x.source == nil {
		x.source = distribution.NewSource("h", "till", distribution.SourceConfig{})
	}
	x.lease = ruleset.Lease{Step: x.lease.Step + 1, Version: ruleset.Version{Number: number, Rules: r},
		TransitionComplete: true, Pending: pending}
}

// begins anew has it forget all that it has given, as a daemon that starts does.
func (x *teller) begins(older bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.older, x.source = older, distribution.NewSource("h", "till", distribution.SourceConfig{})
}

// does has it change its answers from now on.
func (x *teller) does(tells func(*distribution.Response)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tells = tells
}

func (x *teller) answers(says func(http.ResponseWriter)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.says = says
}

// seen gives what it was asked last, and how often.
func (x *teller) seen() (last distribution.Request, asked, whole, bare int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.last, x.asked, x.whole, x.bare
}

// asksFor starts a gatekeeper below one that tells nothing yet.
func asksFor(t *testing.T, x *teller) *deployment {
	t.Helper()
	d := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharesEndpoints = x.at, true
		c.Charter.Plans[0].RateLimitPerSecond, c.Charter.Plans[0].RateLimitBurst = 1000, 1000
	}, 1, 5000)
	t.Cleanup(func() { close(d.gk.over) })
	return d
}

// A daemon that is busy, and takes longer for the first answer than a quarter of the shortest lease there is,
// is waited for: the instance is leased by that answer. Guards against a host whose many instances start at
// once, give up at once, and ask anew.
func TestFirstAnswerLate(t *testing.T) {
	x := newTeller(t)
	x.leases(1, rules(1000, 1000), nil)
	x.does(func(a *distribution.Response) {
		if a.RulesDelta != nil { // renewals come at once
			time.Sleep(80 * time.Millisecond)
		}
	})
	asksFor(t, x).mode(ruleset.ModeLeased)
}

// An instance is told the rules whole once. While nothing changes an answer is small, whatever is in force;
// another version comes as a change; and the daemon is told who asks, of which life, and what that holds.
func TestAskedForChanges(t *testing.T) {
	x := newTeller(t)
	d := asksFor(t, x)
	r := rules(1000, 1000)
	r.Needs = []string{ruleset.FeatureManyMembers}
	for i := range 999 {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprint("m", i), Host: fmt.Sprint("h", i/10),
			Peers: fmt.Sprintf("127.0.0.1:%d", 2000+i)})
	}
	x.leases(1, r, nil)
	d.mode(ruleset.ModeLeased)
	if n := d.figure("members"); n != 1000 {
		t.Errorf("%d members", n)
	}
	until(t, "it does not say what it holds", func() bool {
		last, _, _, _ := x.seen()
		return last.AckedStep == 1
	})
	last, _, _, _ := x.seen()
	if last.Sender != "n0" || last.ProcessID == 0 ||
		last.Interest != (ruleset.Interest{Name: "n0", Around: distribution.RingRadius}) {
		t.Errorf("it asks %+v", last)
	}
	in, renewals := d.figure("rules.bytes_in"), d.figure("rules.renewals")
	until(t, "no renewals", func() bool { return d.figure("rules.renewals") >= renewals+5 })
	in = d.figure("rules.bytes_in") - in
	if per := float64(in) / float64(d.figure("rules.renewals")-renewals); per > 700 {
		t.Errorf("%.0f bytes for each renewal", per)
	}
	in = d.figure("rules.bytes_in")
	for number := uint64(2); number < 5; number++ {
		r.Plans = slices.Clone(r.Plans)
		r.Plans[1].Rate += 1
		x.leases(number, r, nil)
		until(t, "not taken up", func() bool { return uint64(d.figure("rules.version")) == number })
	}
	if in = d.figure("rules.bytes_in") - in; in > 9000 {
		t.Errorf("%d bytes for three changes", in)
	}
	if w, n := d.figure("rules.wholes"), d.figure("rules.deltas"); w != 1 || n != 3 {
		t.Errorf("%d wholes, %d deltas", w, n)
	}
	if _, _, whole, bare := x.seen(); whole != 0 || d.figure("rules.spoilt") != 0 {
		t.Errorf("asked for all %d times, for a whole %d times", whole, bare)
	}
	if d.figure("rules.work_us") == 0 || d.figure("rules.bytes_out") == 0 {
		t.Error("work and bytes are not counted")
	}
}

// A change that is spoilt, against other rules than are here, or without one that is needed changes nothing
// and is counted; the next question asks for all, and by its answer the version is gone by.
func TestChangesSpoilt(t *testing.T) {
	for _, c := range []struct {
		name   string
		tells  func(*distribution.Response)
		figure string
		base   bool // what is here is still a base
	}{
		{"another value", func(a *distribution.Response) {
			if a.RulesDelta != nil {
				d := *a.RulesDelta
				d.Set = slices.Clone(d.Set)
				d.Set[0].Value = append(slices.Clone(d.Set[0].Value), 0)
				a.RulesDelta = &d
			}
		}, "rules.spoilt.digest", false},
		{"a value is missing", func(a *distribution.Response) {
			if a.RulesDelta != nil {
				d := *a.RulesDelta
				d.Set = d.Set[1:]
				a.RulesDelta = &d
			}
		}, "rules.spoilt.digest", false},
		{"against another base", func(a *distribution.Response) {
			if a.RulesDelta != nil {
				d := *a.RulesDelta
				d.From.Number += 7
				a.RulesDelta = &d
			}
		}, "rules.spoilt.base", false},
		{"without the change", func(a *distribution.Response) { a.RulesDelta = nil }, "rules.spoilt.base", false},
		{"another pending one", func(a *distribution.Response) {
			a.Pending = versioned.VersionID{Number: 9, Digest: versioned.Digest{1}}
		}, "rules.spoilt.base", false},
		{"another form", func(a *distribution.Response) { a.FormatVersion = 9 }, "rules.spoilt", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newTeller(t)
			d := asksFor(t, x)
			x.leases(1, rules(1000, 1000), nil)
			d.mode(ruleset.ModeLeased)
			_, _, _, before := x.seen()
			x.leases(2, rules(500, 500), nil)
			x.does(c.tells)
			until(t, "not counted", func() bool { return d.figure(c.figure) > 0 && d.figure("rules.refused") > 0 })
			if v := d.figure("rules.version"); v != 1 {
				t.Errorf("by version %d", v)
			}
			x.does(nil)
			until(t, "not by version 2", func() bool { return d.figure("rules.version") == 2 })
			_, _, whole, bare := x.seen()
			if whole > 0 || (bare > before) == c.base || (d.figure("rules.wholes") == 2) == c.base {
				t.Errorf("asked for all %d times, for a whole %d times and given %d", whole, bare-before,
					d.figure("rules.wholes"))
			}
			d.mode(ruleset.ModeLeased)
		})
	}
}

// Answers that came whole and can't be gone by are refused as those of an older daemon are.
func TestChangesRefused(t *testing.T) {
	with := func(change func(*ruleset.Rules)) func(x *teller) {
		return func(x *teller) {
			r := rules(1000, 1000)
			r.Plans, r.Members = slices.Clone(r.Plans), slices.Clone(r.Members)
			change(&r)
			x.leases(50, r, nil)
		}
	}
	bare := func(says func(http.ResponseWriter)) func(x *teller) {
		return func(x *teller) { x.answers(says) }
	}
	for _, c := range []struct {
		name string
		does func(x *teller)
	}{
		{"another form", with(func(r *ruleset.Rules) { r.Format = 7 })},
		{"needs what is not known", with(func(r *ruleset.Rules) { r.Needs = []string{"moon"} })},
		{"a stranger's place", with(func(r *ruleset.Rules) {
			r.Members = []ruleset.Member{{Name: "m0", Host: "h"}, {Name: "n0", Host: "h"}}
		})},
		{"rules that make no sense", with(func(r *ruleset.Rules) { r.Plans[0].Rate = -1 })},
		{"an address that is none", with(func(r *ruleset.Rules) { r.Members[0].Peers = "x" })},
		{"no time", func(x *teller) { x.does(func(a *distribution.Response) { a.AgeMillis = -5 }) }},
		{"garbled", bare(func(w http.ResponseWriter) { w.Write([]byte("\x81\x01")) })},
		{"nothing", bare(func(w http.ResponseWriter) {})},
		{"too long", bare(func(w http.ResponseWriter) {
			w.Write(bytes.Repeat([]byte(" "),
				distribution.MaxResponseBytes+1))
		})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newTeller(t)
			d := asksFor(t, x)
			x.leases(1, rules(1000, 1000), nil)
			d.mode(ruleset.ModeLeased)
			before := d.figure("rules.refused")
			c.does(x)
			until(t, "not counted", func() bool { return d.figure("rules.refused") > before })
			if v := d.figure("rules.version"); v != 1 {
				t.Errorf("by version %d", v)
			}
			until(t, "the lease does not end",
				func() bool { return d.figure("rules.mode") != int64(ruleset.ModeLeased) })
			x.leases(51, rules(1000, 1000), nil)
			d.mode(ruleset.ModeLeased)
		})
	}
}

// A daemon of an older program is asked for all, from its first answer on and with no lease lost; one of a
// newer program that takes its place is asked for changes again within a while. Guards against an instance
// that stays bare below the other program.
func TestDaemonsOfTwoPrograms(t *testing.T) {
	x := newTeller(t)
	x.begins(true)
	d := asksFor(t, x)
	x.leases(1, rules(1000, 1000), nil)
	d.mode(ruleset.ModeLeased)
	if _, asked, whole, _ := x.seen(); asked != 0 || whole == 0 || d.figure("rules.wholes") != 0 {
		t.Errorf("asked for changes %d times, for all %d times", asked, whole)
	}
	if d.figure("rules.bytes_in") == 0 {
		t.Error("bytes are not counted")
	}
	x.begins(false)
	for end := time.Now().Add(olderFor*2*time.Millisecond + 0); d.figure("rules.renewals") < 3; {
		if time.Now().After(end) {
			t.Fatal("a newer daemon is never asked for changes")
		}
		if d.figure("rules.mode") != int64(ruleset.ModeLeased) {
			t.Fatal("the lease is lost")
		}
		time.Sleep(10 * time.Millisecond)
	}
	x.leases(2, rules(900, 900), nil)
	until(t, "not by version 2", func() bool { return d.figure("rules.version") == 2 })
	x.begins(true) // and back
	_, _, before, _ := x.seen()
	until(t, "never asked for all", func() bool { _, _, n, _ := x.seen(); return n > before+5 })
	x.leases(3, rules(800, 800), nil)
	until(t, "not by version 3", func() bool { return d.figure("rules.version") == 3 })
	if d.figure("rules.mode") != int64(ruleset.ModeLeased) || d.gk.agreed.holder.Counters().Expirations > 0 {
		t.Error("the lease was lost on the way")
	}
}

// A daemon that puts whole rules off is asked quietly until its time, and then for all; the gatekeeper is
// bare meanwhile, and no txn waits.
func TestWholePutOff(t *testing.T) {
	x := newTeller(t)
	d := asksFor(t, x)
	x.leases(1, rules(1000, 1000), nil)
	x.does(func(a *distribution.Response) {
		if a.RulesDelta != nil {
			a.RulesDelta, a.RetryAfterMillis = nil, 400
		}
	})
	until(t, "never put off", func() bool { return d.figure("rules.busy") > 0 })
	if d.figure("rules.mode") != int64(ruleset.ModeNoLease) {
		t.Error("it goes by what it was not told")
	}
	began := time.Now()
	if d.let(); time.Since(began) > 100*time.Millisecond {
		t.Errorf("a txn took %v", time.Since(began))
	}
	x.does(nil)
	d.mode(ruleset.ModeLeased)
}

// Of pending rules a gatekeeper narrows its fallback, and says that it holds their step; withdrawn, the
// fallback is what it was. Each comes as a change.
func TestPendingAsChange(t *testing.T) {
	x := newTeller(t)
	d := asksFor(t, x)
	x.leases(1, rules(1000, 1000), nil)
	d.mode(ruleset.ModeLeased)
	p := rules(10, 10)
	x.leases(1, rules(1000, 1000), &p)
	holds := func(step uint64) {
		t.Helper()
		until(t, fmt.Sprintf("it does not hold step %d", step), func() bool {
			last, _, _, _ := x.seen()
			return last.AckedStep == step
		})
	}
	holds(2)
	last, _, _, _ := x.seen()
	if last.Pending.Number != 2 || d.figure("rules.wholes") != 1 || d.figure("rules.deltas") != 1 {
		t.Errorf("%+v, %d wholes, %d deltas", last, d.figure("rules.wholes"), d.figure("rules.deltas"))
	}
	x.answers(silent)
	d.mode(ruleset.ModeFallback)
	if n := d.flood(100 * time.Millisecond); n > 12 {
		t.Errorf("%d pass by a fallback that is to be within ten", n)
	}
	x.leases(1, rules(1000, 1000), nil)
	d.mode(ruleset.ModeLeased)
	holds(3)
	x.leases(1, rules(1000, 1000), &p)
	holds(4)
	before, in := d.figure("rules.deltas"), d.figure("rules.bytes_in")
	x.leases(2, p, nil) // it has come in force: the gatekeeper has it already
	until(t, "not by version 2", func() bool { return d.figure("rules.version") == 2 })
	if d.figure("rules.deltas") != before || d.figure("rules.wholes") != 1 || d.figure("rules.spoilt") != 0 {
		t.Errorf("%d wholes, %d deltas, %d spoilt, %d bytes", d.figure("rules.wholes"),
			d.figure("rules.deltas")-before, d.figure("rules.spoilt"), d.figure("rules.bytes_in")-in)
	}
}

// Where the peers of a gatekeeper's part hear: by the rules, by its own configuration where they have none
// for a member, and nowhere where they name none. Guards against an address that was a former member's, under
// which another's datagrams would be booked, and against thousands of places that count as another's at a
// start.
func TestAddresses(t *testing.T) {
	at := func(s ...string) (all []netip.AddrPort) {
		for _, x := range s {
			a, _ := netip.ParseAddrPort(x)
			all = append(all, a)
		}
		return all
	}
	a := &agreement{g: &Gatekeeper{}}
	a.g.conf.PeerAddresses = at("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "0.0.0.0:0", "10.0.0.5:1")
	a.heard.Rules.Members = []ruleset.Member{{Name: "a", Peers: "10.0.1.1:1"}, {Name: "b"}, {}, {}, {},
		{Name: "f"}, {Name: "g", Peers: "10.0.1.7:1"}}
	want := at("10.0.1.1:1", "10.0.0.2:1", "", "0.0.0.0:0", "", "", "10.0.1.7:1")
	if got := a.addresses(); !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}

// Rules of which a daemon below relays knows a part are gone by, whichever way they are told; the number of
// gatekeepers is that of all places. Guards against a lease that is lost while a daemon is taken for an older
// one.
func TestPartOfMembers(t *testing.T) {
	for name, older := range map[string]bool{"changes": false, "all": true} {
		t.Run(name, func(t *testing.T) {
			x := newTeller(t)
			x.begins(older)
			r := rules(3000, 3000)
			r.Members = append(r.Members, ruleset.Member{}, ruleset.Member{})
			x.leases(1, r, nil)
			d := asksFor(t, x)
			d.mode(ruleset.ModeLeased)
			if n := d.figure("members"); n != 3 || d.figure("rules.refused") > 0 {
				t.Errorf("%d members, %d refused", n, d.figure("rules.refused"))
			}
		})
	}
}
