package edge

import (
	"net/netip"
	"testing"
	"time"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/pathhealth"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wirepb"
)

func workerIn(zone, region string) worker {
	return worker{Worker: loadbalancer.Worker{Instance: "i-" + zone, Zone: zone, Region: region}}
}

// TestRoutesBehindSuspectedZones says for which suspected zones an edge cannot serve all routes.
func TestRoutesBehindSuspectedZones(t *testing.T) {
	everywhere := &configuration.Route{Backend: "s"}
	homes := &configuration.Route{Backend: "s", AllowedRegions: []string{"north"}}
	empty := &configuration.Route{Backend: "unknown"}
	workers := map[string][]worker{"s": {workerIn("a", "south"), workerIn("n", "north"), workerIn("m", "north")}}
	cases := []struct {
		name      string
		routes    []*configuration.Route
		suspected []string
		cutOff    bool
	}{
		{"nothing suspected", []*configuration.Route{everywhere, homes}, nil, false},
		{"one of two home zones", []*configuration.Route{everywhere, homes}, []string{"n"}, false},
		{"both home zones", []*configuration.Route{everywhere, homes}, []string{"n", "m"}, true},
		{"both, and no route has homes", []*configuration.Route{everywhere}, []string{"n", "m"}, false},
		{"a route without workers", []*configuration.Route{empty}, []string{"n", "m"}, false},
	}
	for _, c := range cases {
		table := &table{hosts: map[string][]*configuration.Route{"h": c.routes}, workers: workers}
		suspected := map[string]bool{}
		for _, zone := range c.suspected {
			suspected[zone] = true
		}
		if table.cutOff(suspected) != c.cutOff {
			t.Errorf("%s: cut off is not %v", c.name, c.cutOff)
		}
	}
}

// cutOffZone makes an edge suspect the zone of its workers, which is not its own.
func cutOffZone(e *Edge) {
	e.paths.published.Store(&map[string]bool{"a": true})
}

// TestNoPathIsRefusedAtOnce has all workers behind a suspected path: what may run once is not risked, with a
// promise that it has not run; what may be repeated is tried.
func TestNoPathIsRefusedAtOnce(t *testing.T) {
	w := newStandInWorker(t, whole(200, "good", "Server-Signature: s"))
	e, server := startEdge(t, w)
	cutOffZone(e)
	got := ask(t, server, "/once/")
	if got.status != 503 || got.header.Get("Retry-After") == "" || w.count() != 0 {
		t.Errorf("answer %+v, sent %d times", got, w.count())
	}
	if got := ask(t, server, "/idem/"); got.status != 200 {
		t.Errorf("answer %+v", got)
	}
}

// TestProbesAreAnswered has two edges prove the path between them.
func TestProbesAreAnswered(t *testing.T) {
	config := func(name, ip, zone string) *settings.Settings {
		return &settings.Settings{
			NodeName: name, IP: ip, Zone: zone, Region: zone, Zones: map[string]string{"a": "a", "b": "b"},
		}
	}
	first, second := newPaths(config("e1", "127.0.0.1", "a"), 7), newPaths(config("e2", "127.0.0.1", "b"), 9)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	other := target{
		Target: pathhealth.Target{
			Name: "e2", FailureDomain: pathhealth.FailureDomain{Zone: "b", Region: "b"}, Linked: true,
		},
		address: address,
	}
	view := &table{targets: []target{other}}
	probes := first.due(0, view)
	if len(probes) != 1 || probes[0].Target != "e2" || len(second.due(0, &table{})) != 0 {
		t.Fatalf("probes %v", probes)
	}
	lost := 0
	for now := time.Duration(0); now < 2*time.Second; now += pathInterval {
		lost += len(first.due(now, view))
	}
	if !first.suspected("b") || first.suspected("a") || lost < 3 {
		t.Errorf("%d probes without an answer, suspected: %v", lost, first.suspected("b"))
	}
	last := first.due(3*time.Second, view)
	for _, probe := range last {
		first.answered(3*time.Second+time.Millisecond, probe.Number)
	}
	if len(last) != 1 || first.suspected("b") {
		t.Errorf("%d probes, still suspected: %v", len(last), first.suspected("b"))
	}
}

// TestStrictestPauseCounts tells how long streams of a service may pause, by all routes that lead there.
func TestStrictestPauseCounts(t *testing.T) {
	table := &table{pauses: map[string]float64{}}
	for _, route := range []*configuration.Route{
		{Backend: "s", TargetGapMs: 600}, {Backend: "s"}, {Backend: "other", TargetGapMs: 100},
		{TrafficSplit: []configuration.Split{{Backend: "s"}, {Backend: "new", Weight: 1}}, TargetGapMs: 400},
	} {
		table.notePause(route)
	}
	if table.pauses["s"] != 400 || table.pauses["new"] != 400 || table.pauses["other"] != 100 {
		t.Errorf("pauses %v", table.pauses)
	}
}

// TestNoticesReachTheBalancer takes what another edge says of a prompt, and of nothing.
func TestNoticesReachTheBalancer(t *testing.T) {
	e, _ := startEdge(t)
	notice := &wirepb.PromptNotice{InstanceId: "i-0", ReadMs: 900, Long: true}
	long := &wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Prompt{Prompt: notice}}
	e.takeDatagram(nil, netip.AddrPort{}, long)
	e.takeDatagram(nil, netip.AddrPort{}, &wirepb.EdgeDatagram{})
	if e.decide.balancer.ServesLongPrompts(e.now(), "i-0") {
		t.Error("one long prompt bars affinity")
	}
	for range 3 {
		e.takeDatagram(nil, netip.AddrPort{}, long)
	}
	if !e.decide.balancer.ServesLongPrompts(e.now(), "i-0") {
		t.Error("several long prompts do not bar affinity")
	}
}
