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

// TestUnreachableRoutes says for which suspected zones an edge cannot serve all routes.
func TestUnreachableRoutes(t *testing.T) {
	everywhere := &configuration.Route{Backend: "s"}
	northOnly := &configuration.Route{Backend: "s", AllowedRegions: []string{"north"}}
	empty := &configuration.Route{Backend: "unknown"}
	workers := map[string][]worker{"s": {workerIn("a", "south"), workerIn("n", "north"), workerIn("m", "north")}}
	cases := []struct {
		name        string
		routes      []*configuration.Route
		suspected   []string
		unreachable bool
	}{
		{"nothing suspected", []*configuration.Route{everywhere, northOnly}, nil, false},
		{"one of two allowed zones", []*configuration.Route{everywhere, northOnly}, []string{"n"}, false},
		{"both allowed zones", []*configuration.Route{everywhere, northOnly}, []string{"n", "m"}, true},
		{"both, and no route needs them", []*configuration.Route{everywhere}, []string{"n", "m"}, false},
		{"a route without workers", []*configuration.Route{empty}, []string{"n", "m"}, false},
	}
	for _, c := range cases {
		table := &routingTable{
			routeSet:         &routeSet{routesByHost: map[string][]*configuration.Route{"h": c.routes}},
			workersByService: workers,
		}
		suspected := map[string]bool{}
		for _, zone := range c.suspected {
			suspected[zone] = true
		}
		if table.hasUnreachableRoute(suspected) != c.unreachable {
			t.Errorf("%s: unreachable is not %v", c.name, c.unreachable)
		}
	}
}

// suspectWorkerZone makes an edge suspect the path to the zone of its workers.
func suspectWorkerZone(e *Edge) {
	e.paths.suspectedZones.Store(&map[string]bool{"a": true})
}

// TestSuspectedPathRejectsNonIdempotent has all workers behind a suspected path: a non-idempotent request is
// rejected at once, and may be retried; an idempotent one is attempted.
func TestSuspectedPathRejectsNonIdempotent(t *testing.T) {
	w := newFakeWorker(t, complete(200, "good", "Server-Signature: s"))
	e, server := startEdge(t, w)
	suspectWorkerZone(e)
	got := post(t, server, "/once/")
	if got.status != 503 || got.header.Get("Retry-After") == "" || w.count() != 0 {
		t.Errorf("response %+v, sent %d times", got, w.count())
	}
	if got := post(t, server, "/idem/"); got.status != 200 {
		t.Errorf("response %+v", got)
	}
}

// TestPathIsSuspectedUntilAProbeIsAnswered probes the path to another edge, without answers at first.
func TestPathIsSuspectedUntilAProbeIsAnswered(t *testing.T) {
	config := func(name, ip, zone string) *settings.Settings {
		return &settings.Settings{
			NodeName: name, IP: ip, Zone: zone, Region: zone, Zones: map[string]string{"a": "a", "b": "b"},
		}
	}
	first := newPathMonitor(config("e1", "127.0.0.1", "a"), 7)
	second := newPathMonitor(config("e2", "127.0.0.1", "b"), 9)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	other := peer{
		Target: pathhealth.Target{
			Name: "e2", FailureDomain: pathhealth.FailureDomain{Zone: "b", Region: "b"}, Linked: true,
		},
		address: address,
	}
	table := &routingTable{peers: []peer{other}}
	probes := first.dueProbes(0, table)
	if len(probes) != 1 || probes[0].Target != "e2" || len(second.dueProbes(0, &routingTable{})) != 0 {
		t.Fatalf("probes %v", probes)
	}
	unanswered := 0
	for now := time.Duration(0); now < 2*time.Second; now += pathTick {
		unanswered += len(first.dueProbes(now, table))
	}
	if !first.suspected("b") || first.suspected("a") || unanswered < 3 {
		t.Errorf("%d probes without an answer, suspected: %v", unanswered, first.suspected("b"))
	}
	last := first.dueProbes(3*time.Second, table)
	for _, probe := range last {
		first.recordAnswer(3*time.Second+time.Millisecond, probe.Number)
	}
	if len(last) != 1 || first.suspected("b") {
		t.Errorf("%d probes, still suspected: %v", len(last), first.suspected("b"))
	}
}

// TestStrictestStreamGapCounts bounds the gaps in streams of a service by all routes that lead there.
func TestStrictestStreamGapCounts(t *testing.T) {
	table := &routingTable{routeSet: &routeSet{maxStreamGapMillis: map[string]float64{}}}
	for _, route := range []*configuration.Route{
		{Backend: "s", TargetGapMs: 600}, {Backend: "s"}, {Backend: "other", TargetGapMs: 100},
		{TrafficSplit: []configuration.Split{{Backend: "s"}, {Backend: "new", Weight: 1}}, TargetGapMs: 400},
	} {
		table.addStreamGap(route)
	}
	gaps := table.maxStreamGapMillis
	if gaps["s"] != 400 || gaps["new"] != 400 || gaps["other"] != 100 {
		t.Errorf("gaps %v", gaps)
	}
}

// TestPrefillNoticesReachTheBalancer handles another edge's notices of a prompt, and an empty datagram.
func TestPrefillNoticesReachTheBalancer(t *testing.T) {
	e, _ := startEdge(t)
	notice := &wirepb.PrefillNotice{InstanceId: "i-0", PrefillMs: 900, InterruptsStreams: true}
	long := &wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Prompt{Prompt: notice}}
	e.handleDatagram(nil, netip.AddrPort{}, long)
	e.handleDatagram(nil, netip.AddrPort{}, &wirepb.EdgeDatagram{})
	if e.decisions.balancer.ServesLongPrompts(e.now(), "i-0") {
		t.Error("one long prompt bars affinity")
	}
	for range 3 {
		e.handleDatagram(nil, netip.AddrPort{}, long)
	}
	if !e.decisions.balancer.ServesLongPrompts(e.now(), "i-0") {
		t.Error("several long prompts do not bar affinity")
	}
}
