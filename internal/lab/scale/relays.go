package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
)

// Ports of a relay's own address, and of what follows relays.
const (
	servePort   = 7900 // of a council's daemon, for relays
	relayPort   = 7900
	relayStatus = 7901
)

const trialAge = 100.0 // ms since a quorum's read, as a host below relays has it

// tree is the relays of a size, region by region and zone by zone.
type tree struct {
	regions, zones []*relayProcess
}

// relayProcess is a real relay.
type relayProcess struct {
	*child
	name, ip string
	upstream []string
}

func (r *relayProcess) at(port int) string { return fmt.Sprintf("%s:%d", r.ip, port) }

// rotate gives the same in an order that begins elsewhere, so that not all ask the same one first.
func rotate(all []string, by int) []string {
	if len(all) == 0 {
		return nil
	}
	by %= len(all)
	return slices.Concat(all[by:], all[:by])
}

// plant lays relays out: regions' follow the council's daemons, zones' their region's.
func (a *assembly) plant() {
	var serve []string
	for _, d := range a.real {
		serve = append(serve, d.at(servePort))
	}
	c := &a.s.Relays
	of := make([][]string, c.Regions)
	for i := range c.Regions {
		for k := range c.Each {
			r := &relayProcess{name: fmt.Sprintf("region-%d-%d", i, k), ip: a.net.ip(),
				upstream: rotate(serve, i*c.Each+k)}
			of[i] = append(of[i], r.at(relayPort))
			a.tree.regions = append(a.tree.regions, r)
		}
	}
	for i := range c.Zones {
		for k := range c.Each {
			r := &relayProcess{name: fmt.Sprintf("zone-%d-%d", i, k), ip: a.net.ip(),
				upstream: rotate(of[i%c.Regions], i+k)}
			a.tree.zones = append(a.tree.zones, r)
		}
	}
}

// zone gives the relays of a zone.
func (a *assembly) zoneRelays(zone, first int) (all []string) {
	for k := range a.s.Relays.Each {
		all = append(all, a.tree.zones[zone*a.s.Relays.Each+k].at(relayPort))
	}
	return rotate(all, first)
}

// grow starts the relays.
func (a *assembly) grow() error {
	for _, r := range slices.Concat(a.tree.regions, a.tree.zones) {
		quoted := make([]string, len(r.upstream))
		for i, at := range r.upstream {
			quoted[i] = fmt.Sprintf("%q", at)
		}
		text := fmt.Sprintf("name = %q\ncluster = \"scale\"\nlisten = %q\ncontrol = %q\nupstream = [%s]\n"+
			"store = %q\nlease_ms = %g\n", r.name, r.at(relayPort), r.at(relayStatus), strings.Join(quoted, ", "),
			filepath.Join(a.dir, r.name+".copy"), a.rules.LeaseMillis)
		file := r.name + ".toml"
		if err := os.WriteFile(filepath.Join(a.dir, file), []byte(text), 0o600); err != nil {
			return err
		}
		var err error
		if r.child, err = a.site.real(r.name, a.dir, a.program, "relay", "--config", file); err != nil {
			return err
		}
	}
	return nil
}

// status asks a relay, or a council's daemon.
func status(at string) (s relay.Status, err error) {
	page, err := ask(at, "/relay/status")
	if err == nil {
		err = json.Unmarshal([]byte(page), &s)
	}
	return s, err
}

// branchHost is a host's daemon below relays: it follows them by the real client, keeps the real books and
// answers its gatekeepers with the real handler and source, as fleet's does. It keeps no processes.
type branchHost struct {
	c       *HollowHost
	cluster string
	tally   *Tally
	in, out int64 // of links upward that have ended
	client  *relay.Client
	feed    *relay.Subscription
	stop    context.CancelFunc
	wait    sync.WaitGroup
	server  *http.Server

	mu     sync.Mutex
	warden ruleset.LeaseGrantor
	source *distribution.Source
	view   distribution.Snapshot
	told   uint64
	trial  *ruleset.Version // what it tells without anybody above it
}

// change puts the next version in force, with another quota of the first plan.
func (b *branchHost) change() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.trial == nil {
		b.trial = &ruleset.Version{}
		raw, err := os.ReadFile(b.c.Trial)
		if err == nil {
			err = json.Unmarshal(raw, &b.trial.Rules)
		}
		if err != nil {
			return err
		}
	}
	b.trial.Number++
	b.trial.Rules.Plans = slices.Clone(b.trial.Rules.Plans)
	b.trial.Rules.Plans[0].Rate += float64(b.trial.Number%2)*2 - 1
	rules, err := ruleset.VersionToState(b.trial)
	if err == nil {
		b.view = distribution.Snapshot{Step: b.trial.Number, TransitionComplete: true, Rules: rules,
			DiscoveryIndex: -1}
	}
	return err
}

func (b *branchHost) start() error {
	f := distribution.NewFollower(
		distribution.FollowerConfig{Name: b.c.Name, Cluster: b.cluster, Upstreams: len(b.c.Upstream),
			LeaseMillis: 1000, Interest: ruleset.Interest{Host: b.c.Name, Around: distribution.RingRadius},
			Seed: rand.Int63()},
		raftlog.BootClockMillis(),
	)
	if b.c.Changes {
		if err := b.change(); err != nil {
			return err
		}
	}
	b.client = relay.NewClient(b.c.Upstream, relay.RequestPath)
	b.mu.Lock()
	b.warden, b.told = ruleset.LeaseGrantor{}, 0
	if b.trial == nil {
		b.view = distribution.Snapshot{}
	}
	b.source = distribution.NewSource(
		b.cluster,
		b.cluster,
		distribution.SourceConfig{FullStateBytesPerSecond: 64 << 20, FullStateBurstBytes: 64 << 20,
			Incarnation: rand.Uint64()},
	)
	feed := relay.NewSubscription(f, b.client, b.news)
	b.feed = feed
	b.mu.Unlock()
	l, err := net.Listen("tcp", b.c.Control)
	if err != nil {
		return err
	}
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	if b.trial == nil {
		b.wait.Go(func() { feed.Run(ctx) })
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+lifecycle.UpdatePath, relay.NewHandler(b.ask))
	server := &http.Server{Handler: mux, ReadTimeout: time.Second, WriteTimeout: time.Second,
		MaxHeaderBytes: 4096, IdleTimeout: time.Minute}
	b.server = server
	b.wait.Go(func() { _ = server.Serve(listener{l, b.tally}) })
	return nil
}

// end ends it; nothing that it knows is kept.
func (b *branchHost) end() {
	if b.server == nil {
		return
	}
	_ = b.server.Close()
	b.stop()
	b.wait.Wait()
	t := b.client.Traffic()
	b.in, b.out = b.in+t.ReceivedBytes, b.out+t.SentBytes
	b.client.Close()
	b.server = nil
}

// traffic is what has passed upward.
func (b *branchHost) traffic() (in, out, asks int64) {
	t := b.client.Traffic()
	if b.server == nil {
		t = relay.Traffic{}
	}
	return b.in + t.ReceivedBytes, b.out + t.SentBytes, t.Requests
}

func (b *branchHost) news() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take()
}

// take goes over to what the follower knows, and says up what all here go by; under the lock.
func (b *branchHost) take() {
	if b.trial != nil {
		b.view.ReadStartMillis = raftlog.BootClockMillis() - trialAge
		b.source.Publish(b.view)
		return
	}
	v, ok := b.feed.Snapshot()
	if !ok || v.Step < b.view.Step || v.Step == b.view.Step && v.ReadStartMillis < b.view.ReadStartMillis {
		return
	}
	b.view = v
	b.source.Publish(v)
	if seen := b.warden.AckedStep(v.Step); seen > b.told {
		b.told = seen
		b.feed.WithFollower(
			func(f *distribution.Follower) {
				f.ReportHostAcks([]distribution.HostAck{{Host: b.c.Name, Step: seen}})
			},
		)
	}
}

var errUnconfirmed = errors.New("no quorum has confirmed within the lease what is in force")

func (b *branchHost) ask(a *distribution.Request) (*distribution.Response, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := raftlog.BootClockMillis()
	if !b.warden.RecordRequest(a.ProcessID, a.AckedStep) {
		return nil, errors.New("too many processes")
	}
	b.take()
	if b.view.Step == 0 || !(now-b.view.ReadStartMillis < ruleset.StateLeaseMillis(b.view.Rules)) {
		return nil, errUnconfirmed
	}
	b.warden.RecordGrant(a.ProcessID)
	a.Cluster, a.HostAcks = b.cluster, nil
	return b.source.Respond(a, now)
}

// ended books the ends of processes.
func (b *branchHost) ended(from, to int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for pid := from; pid < to; pid++ {
		b.warden.ProcessExited(pid)
	}
}

// callFor asks for changes, as lifecycle does of a daemon that answers so.
func (k *keeper) callFor(a *distribution.Request, within float64) (got answered) {
	got.asked = boot()
	got.told, got.err = k.changes.Fetch(0, a, within)
	got.spoilt = errors.Is(got.err, relay.ErrCorruptResponse)
	return got
}

// replica takes what is told of changes, and gives it as a lease; false where there is none.
func (k *keeper) replica(told *distribution.Response) (l ruleset.Lease, ok bool) {
	next, news, err := k.copied.HandleResponse(told, boot())
	switch {
	case errors.Is(err, distribution.ErrDeferred):
		k.silent.Add(1)
		return l, false
	case err != nil:
		k.spoilt.Add(1)
		k.says(err.Error())
		return l, false
	}
	if news && next.UnsupportedFeature == "" {
		if why := k.misfit(&next.Version.Rules, ruleset.ValidateSubset); why != "" {
			k.spoilt.Add(1)
			k.says(why)
			return l, false
		}
	}
	return next, next.Version.Number > 0
}

// flows is what relays and the council's daemons have passed, with their processor time.
type flows struct {
	in, out, asks, cpu, rss float64
	descriptors             int
}

// flow asks one.
func flow(c *child, at string) (f flows, err error) {
	s, err := status(at)
	if err != nil {
		return f, fmt.Errorf("%s: %w", c.name, err)
	}
	f.in, f.out, f.asks = float64(s.DownstreamTraffic.ReceivedBytes), float64(s.DownstreamTraffic.SentBytes),
		float64(s.DownstreamTraffic.Requests)
	if s.UpstreamTraffic != nil {
		f.in, f.out, f.asks = f.in+float64(s.UpstreamTraffic.ReceivedBytes),
			f.out+float64(s.UpstreamTraffic.SentBytes), f.asks+float64(s.UpstreamTraffic.Requests)
	}
	f.cpu, f.rss, f.descriptors = usage(c.pid())
	return f, nil
}

// relays gives the flows of all, by role.
func (a *assembly) relays() (all map[string][]flows, err error) {
	all = map[string][]flows{}
	for _, x := range []struct {
		role string
		of   []*relayProcess
	}{{regionRole, a.tree.regions}, {zoneRole, a.tree.zones}} {
		for _, r := range x.of {
			f, err := flow(r.child, r.at(relayStatus))
			if err != nil {
				return nil, err
			}
			all[x.role] = append(all[x.role], f)
		}
	}
	return all, nil
}

// relayWindow tells what relays did in a span: of each role the worst of its processes.
func (a *assembly) relayWindow(before, after map[string][]flows, span float64) {
	for _, role := range []string{regionRole, zoneRole} {
		all := after[role]
		if len(all) == 0 {
			continue
		}
		var in, out, asks, cpu, rss, descriptors []float64
		for i, f := range all {
			b := before[role][i]
			in, out = append(in, (f.in-b.in)/span), append(out, (f.out-b.out)/span)
			asks = append(asks, (f.asks-b.asks)/span)
			cpu, rss = append(cpu, (f.cpu-b.cpu)/span*100), append(rss, f.rss/1e6)
			descriptors = append(descriptors, float64(f.descriptors))
		}
		for _, x := range []struct {
			name string
			of   []float64
		}{{"bytes_in_per_s", in}, {"bytes_out_per_s", out}, {"messages_per_s", asks}, {"cpu", cpu}, {"rss", rss},
			{"descriptors", descriptors}} {
			a.t.add(role, x.name, slices.Max(x.of))
		}
	}
}

// faults measures changes while relays lie still or are gone, and the council's leader is, and how all come
// back once control was wholly gone.
func (a *assembly) faults(ctx context.Context, version uint64) error {
	if !a.s.Relays.Faults || len(a.tree.zones) < 2 || len(a.real) < 3 {
		return nil
	}
	region, zone := a.tree.regions[0], a.tree.zones[0]
	change := func(figure string) error {
		took, err := a.changed(ctx, &version)
		if err != nil {
			return fmt.Errorf("%s: %w", figure, err)
		}
		a.t.add(fleetRole, figure, slices.Max(append(took, 0)))
		return nil
	}
	if err := zone.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := errors.Join(change("in_force_still"), zone.signal(syscall.SIGCONT)); err != nil {
		return err
	}
	if err := a.gone(ctx); err != nil {
		return err
	}
	if err := errors.Join(zone.signal(syscall.SIGKILL), region.signal(syscall.SIGKILL)); err != nil {
		return err
	}
	if err := change("in_force_killed"); err != nil {
		return err
	}
	leader, err := a.leader()
	if err != nil {
		return err
	}
	a.proposer = (leader + 1) % len(a.real)
	if err := a.real[leader].signal(syscall.SIGKILL); err != nil {
		return err
	}
	return change("in_force_leader")
}

// gone has all of the council's daemons stand still until no hollow gatekeeper is leased, and measures how
// long it takes once they go on until all are.
func (a *assembly) gone(ctx context.Context) error {
	for _, d := range a.real {
		if err := d.signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	leased := func(all bool) func() (bool, error) {
		return func() (bool, error) {
			r, err := a.all(Order{Do: "reached"})
			return r.Reached == 0 && !all || r.Reached == r.Count && all, err
		}
	}
	err := wait(ctx, 20*time.Second, "none is leased", leased(false))
	for _, d := range a.real {
		err = errors.Join(err, d.signal(syscall.SIGCONT))
	}
	from := boot()
	if err != nil {
		return err
	}
	if err := wait(ctx, 30*time.Second, "all are leased again", leased(true)); err != nil {
		return err
	}
	a.t.add(fleetRole, "control_back", boot()-from)
	return nil
}

// leader gives the place of the daemon that leads the council.
func (a *assembly) leader() (int, error) {
	for i, d := range a.real {
		page, err := ask(d.at(controlPort), "/fleet/council")
		var s struct{ Leader string }
		if err != nil || json.Unmarshal([]byte(page), &s) != nil {
			continue
		}
		for k, o := range a.real {
			if o.name == s.Leader {
				return k, nil
			}
		}
		return 0, fmt.Errorf("%s: %q leads, which is none of the real daemons", a.real[i].name, s.Leader)
	}
	return 0, errors.New("no daemon says who leads")
}
