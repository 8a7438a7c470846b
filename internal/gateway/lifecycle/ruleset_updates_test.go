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

// fakeUpdateDaemon is the daemon of an instance's host, of a version that sends changes.
type fakeUpdateDaemon struct {
	t                 *testing.T
	address           string
	mu                sync.Mutex
	legacy            bool                         // it serves LeasePath alone, as older daemons do
	alterUpdate       func(*distribution.Response) // alters an update; nil for none
	handler           func(w http.ResponseWriter)  // responds in place of an update; nil for updates
	lease             ruleset.Lease
	source            *distribution.Source
	lastRequest       distribution.Request
	updateRequests    int // at UpdatePath
	leaseRequests     int // at LeasePath
	fullStateRequests int // at UpdatePath, from an instance without a version
}

func newFakeUpdateDaemon(t *testing.T) *fakeUpdateDaemon {
	t.Helper()
	x := &fakeUpdateDaemon{t: t}
	handler := relay.NewHandler(x.respond)
	x.address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		x.mu.Lock()
		legacy, reply, lease := x.legacy, x.handler, x.lease
		if r.URL.Path == LeasePath {
			x.leaseRequests++
		}
		x.mu.Unlock()
		switch {
		case r.URL.Path == UpdatePath && legacy:
			http.NotFound(w, r)
		case reply != nil:
			reply(w)
		case r.URL.Path == UpdatePath:
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

func (x *fakeUpdateDaemon) respond(request *distribution.Request) (*distribution.Response, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastRequest = *request
	if x.updateRequests++; request.Rules.IsNone() {
		x.fullStateRequests++
	}
	if x.source == nil {
		return nil, &relay.RejectionError{Reason: "unconfirmed", Message: "nothing is in force"}
	}
	now := bootMillis()
	snapshot := distribution.Snapshot{Step: x.lease.Step, TransitionComplete: x.lease.TransitionComplete,
		ReadStartMillis: now,
		DiscoveryIndex:  -1}
	var err error
	if snapshot.Rules, err = ruleset.VersionToState(&x.lease.Version); err == nil && x.lease.Pending != nil {
		next := ruleset.Version{Number: x.lease.Version.Number + 1, Rules: *x.lease.Pending}
		snapshot.Pending, err = ruleset.VersionToState(&next)
	}
	if err != nil {
		return nil, err
	}
	request.Cluster = "till"
	x.source.Publish(snapshot)
	response, err := x.source.Respond(request, now)
	if err != nil || x.alterUpdate == nil {
		return response, err
	}
	altered := *response
	x.alterUpdate(&altered)
	return &altered, nil
}

// setLease has it grant leases of a version from now on, with a pending one or nil.
func (x *fakeUpdateDaemon) setLease(number uint64, r ruleset.Rules, pending *ruleset.Rules) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.alterUpdate, x.handler = nil, nil
	if x.source == nil {
		x.source = distribution.NewSource("h", "till", distribution.SourceConfig{})
	}
	x.lease = ruleset.Lease{Step: x.lease.Step + 1, Version: ruleset.Version{Number: number, Rules: r},
		TransitionComplete: true, Pending: pending}
}

// restart has it forget all that it has sent, as a daemon that starts does. A legacy one serves LeasePath
// alone.
func (x *fakeUpdateDaemon) restart(legacy bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.legacy, x.source = legacy, distribution.NewSource("h", "till", distribution.SourceConfig{})
}

// setAlterUpdate has it alter its updates from now on; nil for not.
func (x *fakeUpdateDaemon) setAlterUpdate(alter func(*distribution.Response)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.alterUpdate = alter
}

func (x *fakeUpdateDaemon) setHandler(handler func(http.ResponseWriter)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handler = handler
}

// requestStats gives its last request, and how many there were.
func (x *fakeUpdateDaemon) requestStats() (last distribution.Request, updates, leases, fullStates int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastRequest, x.updateRequests, x.leaseRequests, x.fullStateRequests
}

// deployBelowUpdateDaemon starts a gateway below one.
func deployBelowUpdateDaemon(t *testing.T, x *fakeUpdateDaemon) *deployment {
	t.Helper()
	d := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharesEndpoints = x.address, true
		c.Policy.Plans[0].RateLimitPerSecond, c.Policy.Plans[0].RateLimitBurst = 1000, 1000
	}, 1, 5000)
	t.Cleanup(func() { close(d.gateway.done) })
	return d
}

// TestSlowFirstResponse: a busy daemon takes longer for the first response than a quarter of the shortest
// lease. The instance waits and is leased by that response. Guards against a host whose many instances start
// at once, give up at once and request again.
func TestSlowFirstResponse(t *testing.T) {
	x := newFakeUpdateDaemon(t)
	x.setLease(1, testRules(1000, 1000), nil)
	x.setAlterUpdate(func(a *distribution.Response) {
		if a.RulesDelta != nil { // renewals come at once
			time.Sleep(80 * time.Millisecond)
		}
	})
	deployBelowUpdateDaemon(t, x).awaitMode(ruleset.ModeLeased)
}

// TestRulesetUpdates: an instance receives the full ruleset once. While nothing changes an update is small,
// whatever is in force; another version comes as a delta; and the daemon learns who requests, in which
// process, and which version it has.
func TestRulesetUpdates(t *testing.T) {
	x := newFakeUpdateDaemon(t)
	d := deployBelowUpdateDaemon(t, x)
	r := testRules(1000, 1000)
	r.Needs = []string{ruleset.FeatureManyMembers}
	for i := range 999 {
		r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprint("m", i), Host: fmt.Sprint("h", i/10),
			Peers: fmt.Sprintf("127.0.0.1:%d", 2000+i)})
	}
	x.setLease(1, r, nil)
	d.awaitMode(ruleset.ModeLeased)
	if n := d.stat("members"); n != 1000 {
		t.Errorf("%d members", n)
	}
	waitFor(t, "it does not acknowledge the step", func() bool {
		last, _, _, _ := x.requestStats()
		return last.AckedStep == 1
	})
	last, _, _, _ := x.requestStats()
	if last.Sender != "n0" || last.ProcessID == 0 ||
		last.Interest != (ruleset.Interest{Name: "n0", Around: distribution.RingRadius}) {
		t.Errorf("it asks %+v", last)
	}
	bytesIn, renewals := d.stat("rules.bytes_in"), d.stat("rules.renewals")
	waitFor(t, "no lease renewals", func() bool { return d.stat("rules.renewals") >= renewals+5 })
	bytesIn = d.stat("rules.bytes_in") - bytesIn
	if per := float64(bytesIn) / float64(d.stat("rules.renewals")-renewals); per > 700 {
		t.Errorf("%.0f bytes for each renewal", per)
	}
	bytesIn = d.stat("rules.bytes_in")
	for number := uint64(2); number < 5; number++ {
		r.Plans = slices.Clone(r.Plans)
		r.Plans[1].Rate++
		x.setLease(number, r, nil)
		waitFor(t, "the ruleset is not adopted", func() bool { return uint64(d.stat("rules.version")) == number })
	}
	if bytesIn = d.stat("rules.bytes_in") - bytesIn; bytesIn > 9000 {
		t.Errorf("%d bytes for three changes", bytesIn)
	}
	if w, n := d.stat("rules.wholes"), d.stat("rules.deltas"); w != 1 || n != 3 {
		t.Errorf("%d full states, %d deltas", w, n)
	}
	_, _, leaseRequests, fullStateRequests := x.requestStats()
	if leaseRequests != 0 || d.stat("rules.spoilt") != 0 {
		t.Errorf("%d lease requests, %d requests for the full state", leaseRequests, fullStateRequests)
	}
	if d.stat("rules.work_us") == 0 || d.stat("rules.bytes_out") == 0 {
		t.Error("work and bytes are not counted")
	}
}

// TestCorruptUpdates: an update that is corrupt, against another base or without a delta that is needed
// changes nothing and is counted. The next request is for the full state, and its version is adopted.
func TestCorruptUpdates(t *testing.T) {
	for _, c := range []struct {
		name      string
		alter     func(*distribution.Response)
		figure    string
		keepsBase bool // the instance's version is still usable as a base
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
		{"without the delta", func(a *distribution.Response) { a.RulesDelta = nil }, "rules.spoilt.base", false},
		{"another pending version", func(a *distribution.Response) {
			a.Pending = versioned.VersionID{Number: 9, Digest: versioned.Digest{1}}
		}, "rules.spoilt.base", false},
		{"another format", func(a *distribution.Response) { a.FormatVersion = 9 }, "rules.spoilt", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newFakeUpdateDaemon(t)
			d := deployBelowUpdateDaemon(t, x)
			x.setLease(1, testRules(1000, 1000), nil)
			d.awaitMode(ruleset.ModeLeased)
			_, _, _, before := x.requestStats()
			x.setLease(2, testRules(500, 500), nil)
			x.setAlterUpdate(c.alter)
			waitFor(t, "the rejection is not counted", func() bool {
				return d.stat(c.figure) > 0 && d.stat("rules.refused") > 0
			})
			if v := d.stat("rules.version"); v != 1 {
				t.Errorf("version %d is in force", v)
			}
			x.setAlterUpdate(nil)
			waitFor(t, "version 2 is not adopted", func() bool { return d.stat("rules.version") == 2 })
			_, _, leaseRequests, fullStateRequests := x.requestStats()
			if leaseRequests > 0 || (fullStateRequests > before) == c.keepsBase ||
				(d.stat("rules.wholes") == 2) == c.keepsBase {
				t.Errorf("%d lease requests, %d requests for the full state, %d received", leaseRequests,
					fullStateRequests-before, d.stat("rules.wholes"))
			}
			d.awaitMode(ruleset.ModeLeased)
		})
	}
}

// TestInvalidUpdates: complete updates whose ruleset can't be used are rejected, as TestInvalidLeases has
// it.
func TestInvalidUpdates(t *testing.T) {
	with := func(change func(*ruleset.Rules)) func(x *fakeUpdateDaemon) {
		return func(x *fakeUpdateDaemon) {
			r := testRules(1000, 1000)
			r.Plans, r.Members = slices.Clone(r.Plans), slices.Clone(r.Members)
			change(&r)
			x.setLease(50, r, nil)
		}
	}
	withHandler := func(handler func(http.ResponseWriter)) func(x *fakeUpdateDaemon) {
		return func(x *fakeUpdateDaemon) { x.setHandler(handler) }
	}
	for _, c := range []struct {
		name  string
		apply func(x *fakeUpdateDaemon)
	}{
		{"another format", with(func(r *ruleset.Rules) { r.Format = 7 })},
		{"needs an unknown feature", with(func(r *ruleset.Rules) { r.Needs = []string{"moon"} })},
		{"another member's place", with(func(r *ruleset.Rules) {
			r.Members = []ruleset.Member{{Name: "m0", Host: "h"}, {Name: "n0", Host: "h"}}
		})},
		{"invalid rules", with(func(r *ruleset.Rules) { r.Plans[0].Rate = -1 })},
		{"invalid address", with(func(r *ruleset.Rules) { r.Members[0].Peers = "x" })},
		{"negative age", func(x *fakeUpdateDaemon) {
			x.setAlterUpdate(func(a *distribution.Response) { a.AgeMillis = -5 })
		}},
		{"corrupt", withHandler(func(w http.ResponseWriter) { w.Write([]byte("\x81\x01")) })},
		{"empty", withHandler(func(w http.ResponseWriter) {})},
		{"too long", withHandler(func(w http.ResponseWriter) {
			w.Write(bytes.Repeat([]byte(" "),
				distribution.MaxResponseBytes+1))
		})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newFakeUpdateDaemon(t)
			d := deployBelowUpdateDaemon(t, x)
			x.setLease(1, testRules(1000, 1000), nil)
			d.awaitMode(ruleset.ModeLeased)
			before := d.stat("rules.refused")
			c.apply(x)
			waitFor(t, "the rejection is not counted", func() bool { return d.stat("rules.refused") > before })
			if v := d.stat("rules.version"); v != 1 {
				t.Errorf("version %d is in force", v)
			}
			waitFor(t, "the lease does not expire",
				func() bool { return d.stat("rules.mode") != int64(ruleset.ModeLeased) })
			x.setLease(51, testRules(1000, 1000), nil)
			d.awaitMode(ruleset.ModeLeased)
		})
	}
}

// TestLegacyDaemon: a daemon of an older version is requested at LeasePath, from its first response on and
// without losing the lease; one of a newer version that replaces it is requested for updates again within a
// while. Guards against an instance without a lease below the other version.
func TestLegacyDaemon(t *testing.T) {
	x := newFakeUpdateDaemon(t)
	x.restart(true)
	d := deployBelowUpdateDaemon(t, x)
	x.setLease(1, testRules(1000, 1000), nil)
	d.awaitMode(ruleset.ModeLeased)
	_, updateRequests, leaseRequests, _ := x.requestStats()
	if updateRequests != 0 || leaseRequests == 0 || d.stat("rules.wholes") != 0 {
		t.Errorf("%d update requests, %d lease requests", updateRequests, leaseRequests)
	}
	if d.stat("rules.bytes_in") == 0 {
		t.Error("bytes are not counted")
	}
	x.restart(false)
	for end := time.Now().Add(legacyRetryMillis*2*time.Millisecond + 0); d.stat("rules.renewals") < 3; {
		if time.Now().After(end) {
			t.Fatal("a newer daemon is never requested for updates")
		}
		if d.stat("rules.mode") != int64(ruleset.ModeLeased) {
			t.Fatal("the lease is lost")
		}
		time.Sleep(10 * time.Millisecond)
	}
	x.setLease(2, testRules(900, 900), nil)
	waitFor(t, "version 2 is not adopted", func() bool { return d.stat("rules.version") == 2 })
	x.restart(true) // and back
	_, _, before, _ := x.requestStats()
	waitFor(t, "LeasePath is never requested", func() bool {
		_, _, n, _ := x.requestStats()
		return n > before+5
	})
	x.setLease(3, testRules(800, 800), nil)
	waitFor(t, "version 3 is not adopted", func() bool { return d.stat("rules.version") == 3 })
	if d.stat("rules.mode") != int64(ruleset.ModeLeased) ||
		d.gateway.ruleset.leaseHolder.Counters().Expirations > 0 {
		t.Error("the lease was lost on the way")
	}
}

// TestDeferredFullState: a daemon that defers the full state is polled until the time it gives. The gateway
// has no lease meanwhile, and no request waits.
func TestDeferredFullState(t *testing.T) {
	x := newFakeUpdateDaemon(t)
	d := deployBelowUpdateDaemon(t, x)
	x.setLease(1, testRules(1000, 1000), nil)
	x.setAlterUpdate(func(a *distribution.Response) {
		if a.RulesDelta != nil {
			a.RulesDelta, a.RetryAfterMillis = nil, 400
		}
	})
	waitFor(t, "the full state is never deferred", func() bool { return d.stat("rules.busy") > 0 })
	if d.stat("rules.mode") != int64(ruleset.ModeNoLease) {
		t.Error("it has adopted a ruleset that it did not receive")
	}
	start := time.Now()
	if d.passes(); time.Since(start) > 100*time.Millisecond {
		t.Errorf("a request took %v", time.Since(start))
	}
	x.setAlterUpdate(nil)
	d.awaitMode(ruleset.ModeLeased)
}

// TestPendingRuleset: a pending ruleset narrows the fallback, and its step is acknowledged; withdrawn, the
// fallback is what it was. Each comes as a delta.
func TestPendingRuleset(t *testing.T) {
	x := newFakeUpdateDaemon(t)
	d := deployBelowUpdateDaemon(t, x)
	x.setLease(1, testRules(1000, 1000), nil)
	d.awaitMode(ruleset.ModeLeased)
	pending := testRules(10, 10)
	x.setLease(1, testRules(1000, 1000), &pending)
	awaitAcked := func(step uint64) {
		t.Helper()
		waitFor(t, fmt.Sprintf("step %d is not acknowledged", step), func() bool {
			last, _, _, _ := x.requestStats()
			return last.AckedStep == step
		})
	}
	awaitAcked(2)
	last, _, _, _ := x.requestStats()
	if last.Pending.Number != 2 || d.stat("rules.wholes") != 1 || d.stat("rules.deltas") != 1 {
		t.Errorf("%+v, %d full states, %d deltas", last, d.stat("rules.wholes"), d.stat("rules.deltas"))
	}
	x.setHandler(unavailable)
	d.awaitMode(ruleset.ModeFallback)
	if n := d.countPassed(100 * time.Millisecond); n > 12 {
		t.Errorf("%d pass in a fallback that is bounded by ten", n)
	}
	x.setLease(1, testRules(1000, 1000), nil)
	d.awaitMode(ruleset.ModeLeased)
	awaitAcked(3)
	x.setLease(1, testRules(1000, 1000), &pending)
	awaitAcked(4)
	deltasBefore, bytesIn := d.stat("rules.deltas"), d.stat("rules.bytes_in")
	x.setLease(2, pending, nil) // the pending version is in force: the gateway has it already
	waitFor(t, "version 2 is not adopted", func() bool { return d.stat("rules.version") == 2 })
	if d.stat("rules.deltas") != deltasBefore || d.stat("rules.wholes") != 1 || d.stat("rules.spoilt") != 0 {
		t.Errorf("%d full states, %d deltas, %d corrupt, %d bytes", d.stat("rules.wholes"),
			d.stat("rules.deltas")-deltasBefore, d.stat("rules.spoilt"), d.stat("rules.bytes_in")-bytesIn)
	}
}

// TestPeerAddresses: addresses are those of the ruleset, those of the configuration where it has none for a
// member, and none where it names no member. Guards against an address of a former member, under which
// another's datagrams would be counted, and against thousands of members that count as another's at a start.
func TestPeerAddresses(t *testing.T) {
	parse := func(s ...string) (all []netip.AddrPort) {
		for _, x := range s {
			a, _ := netip.ParseAddrPort(x)
			all = append(all, a)
		}
		return all
	}
	a := &rulesetClient{gateway: &Gateway{}}
	a.gateway.config.PeerAddresses = parse("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "0.0.0.0:0", "10.0.0.5:1")
	a.newest.Rules.Members = []ruleset.Member{{Name: "a", Peers: "10.0.1.1:1"}, {Name: "b"}, {}, {}, {},
		{Name: "f"}, {Name: "g", Peers: "10.0.1.7:1"}}
	want := parse("10.0.1.1:1", "10.0.0.2:1", "", "0.0.0.0:0", "", "", "10.0.1.7:1")
	if got := a.peerAddresses(); !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}

// TestPartialMembership: a ruleset of which a daemon below relays knows a part is adopted, whichever path it
// comes by; the number of gateways is that of all members. Guards against a lease that is lost while a
// daemon is taken for an older one.
func TestPartialMembership(t *testing.T) {
	for name, legacy := range map[string]bool{"changes": false, "all": true} {
		t.Run(name, func(t *testing.T) {
			x := newFakeUpdateDaemon(t)
			x.restart(legacy)
			r := testRules(3000, 3000)
			r.Members = append(r.Members, ruleset.Member{}, ruleset.Member{})
			x.setLease(1, r, nil)
			d := deployBelowUpdateDaemon(t, x)
			d.awaitMode(ruleset.ModeLeased)
			if n := d.stat("members"); n != 3 || d.stat("rules.refused") > 0 {
				t.Errorf("%d members, %d refused", n, d.stat("rules.refused"))
			}
		})
	}
}
