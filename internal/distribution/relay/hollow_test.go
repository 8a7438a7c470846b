package relay

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/versioned"
)

// generation gives a ruleset that encodes its generation in each part, so that a mix of two shows.
func generation(i int, members []ruleset.Member) ruleset.Rules {
	x := float64(i)
	return generationOf(i, members, 1000-x, 1000-x)
}

// generationOf is generation with ceilings of its own: one that is lower than the fallback allows has to be
// pending first.
func generationOf(i int, members []ruleset.Member, ceiling, depth float64) ruleset.Rules {
	x := float64(i)
	r := ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Fallback: ruleset.Fallback{Fraction: 0.5, DurationMillis: 2000},
		Plans: []ruleset.Plan{{Name: "basic", Rate: 500 + x, Burst: 500 + x},
			{Name: "capped", Rate: 200 + x, Burst: 200 + x, CeilingRate: ceiling, CeilingDepth: depth}},
		WorkerOverrides: []ruleset.WorkerOverride{{Worker: "w0", Weight: 1 + x}}}
	for place, m := range members {
		m.Peers = fmt.Sprintf("127.0.0.1:%d", 10000+100*place+i)
		r.Members = append(r.Members, m)
	}
	return r
}

// generationsIn gives the generations of the parts of a ruleset: one where it is consistent.
func generationsIn(r *ruleset.Rules) map[int]bool {
	all := map[int]bool{}
	for i, p := range r.Plans {
		all[int(p.Rate)-[2]int{500, 200}[i]] = true
	}
	for _, w := range r.WorkerOverrides {
		all[int(w.Weight)-1] = true
	}
	for place, m := range r.Members {
		if m.Name != "" {
			var port int
			_, _ = fmt.Sscanf(m.Peers, "127.0.0.1:%d", &port)
			all[port-10000-100*place] = true
		}
	}
	return all
}

// hollowHost is a host's daemon with its gateways, without processes and without requests of customers: it
// follows relays by the real client and grants leases by the real warden, and each gateway has the real
// holder.
type hollowHost struct {
	name         string
	client       *Client
	subscription *Subscription
	gateways     []*hollowGateway
	stop         context.CancelFunc
	wait         sync.WaitGroup

	mu           sync.Mutex
	grantor      ruleset.LeaseGrantor
	reportedStep uint64
	lastStates   [2]*versioned.State
	rules        ruleset.Version
	pending      *ruleset.Rules
}

// hollowGateway is a gateway of a hollowHost.
type hollowGateway struct {
	t         testing.TB
	name      string
	processID int
	host      *hollowHost
	log       *history.Log

	mu          sync.Mutex
	holder      *ruleset.LeaseHolder
	generations map[uint64]int // by version
}

var (
	incarnationsMu sync.Mutex
	incarnations   = map[string]uint32{}
)

// nextIncarnation counts the incarnations of a name.
func nextIncarnation(name string) uint32 {
	incarnationsMu.Lock()
	defer incarnationsMu.Unlock()
	incarnations[name]++
	return incarnations[name]
}

// newHollowHost starts a host with its members; history goes to the records folder.
func newHollowHost(tb testing.TB, host, cluster, records string, upstream []string,
	members []ruleset.Member, checkpoint *Checkpoint) *hollowHost {
	tb.Helper()
	hollow := &hollowHost{name: host, client: NewClient(upstream, RequestPath)}
	follower := distribution.NewFollower(distribution.FollowerConfig{Name: host, Cluster: cluster,
		Upstreams: len(upstream),
		Interest:  ruleset.Interest{Host: host}, LeaseMillis: 1000,
		Seed: int64(len(host)) + int64(host[len(host)-1])},
		nowMillis())
	if checkpoint == nil {
		checkpoint = NewCheckpoint("", cluster, zerolog.Nop())
	}
	checkpoint.LoadInto(follower)
	hollow.subscription = NewSubscription(follower, hollow.client, func() {
		if v, ok := hollow.subscription.Snapshot(); ok {
			checkpoint.Save(v)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	hollow.stop = stop
	run := func(follower func(context.Context)) {
		hollow.wait.Add(1)
		go func() {
			defer hollow.wait.Done()
			follower(ctx)
		}()
	}
	run(hollow.subscription.Run)
	run(checkpoint.Run)
	for place, m := range members {
		if m.Host != host {
			continue
		}
		gateway := &hollowGateway{t: tb, name: m.Name, processID: place + 1, host: hollow,
			generations: map[uint64]int{},
			holder:      ruleset.NewLeaseHolder(m.Name, generation(0, members))}
		incarnation := nextIncarnation(m.Name)
		var err error
		path := filepath.Join(records, fmt.Sprintf("%s.%d.jsonl", m.Name, incarnation))
		if gateway.log, err = history.Open(path, m.Name, incarnation); err != nil {
			tb.Fatal(err)
		}
		hollow.grantor.ProcessStarted(gateway.processID, false)
		hollow.gateways = append(hollow.gateways, gateway)
		run(gateway.run)
	}
	return hollow
}

// close stops the host and all of its gateways.
func (h *hollowHost) close() {
	h.stop()
	h.wait.Wait()
	h.client.Close()
	for _, k := range h.gateways {
		_ = k.log.Close()
	}
}

// lease grants a lease to a gateway, as a host's daemon does.
func (h *hollowHost) lease(tb testing.TB, processID int, ackedStep uint64) (ruleset.Lease, bool) {
	tb.Helper()
	h.mu.Lock()
	snapshot, ok := h.subscription.Snapshot()
	if !ok || !h.grantor.RecordRequest(processID, ackedStep) {
		h.mu.Unlock()
		return ruleset.Lease{}, false
	}
	if states := [2]*versioned.State{snapshot.Rules, snapshot.Pending}; states != h.lastStates {
		whole, err := ruleset.VersionFromState(snapshot.Rules)
		if err != nil {
			tb.Errorf("%s: %v", h.name, err)
		}
		h.lastStates, h.rules, h.pending = states, whole, nil
		if snapshot.Pending != nil {
			p, err := ruleset.VersionFromState(snapshot.Pending)
			if err != nil {
				tb.Errorf("%s: %v", h.name, err)
			}
			h.pending = &p.Rules
		}
	}
	lease := ruleset.Lease{
		Step:               snapshot.Step,
		Version:            h.rules,
		TransitionComplete: snapshot.TransitionComplete,
		Pending:            h.pending,
		AgeMillis:          snapshot.AgeMillis(nowMillis()),
	}
	h.grantor.RecordGrant(processID)
	seen := h.grantor.AckedStep(snapshot.Step)
	newlySeen := seen > h.reportedStep
	h.reportedStep = max(h.reportedStep, seen)
	h.mu.Unlock()
	if newlySeen {
		h.subscription.WithFollower(func(f *distribution.Follower) {
			f.ReportHostAcks([]distribution.HostAck{{Host: h.name, Step: seen}})
		})
	}
	return lease, true
}

// run acts on rulesets until the context ends.
func (k *hollowGateway) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		k.mu.Lock()
		k.holder.SetTime(nowMillis())
		for {
			d, ok := k.holder.NextAction()
			if !ok {
				break
			}
			switch d.Kind {
			case ruleset.ActionAdopt:
				k.adopt(d.Effective)
			case ruleset.ActionRequestLease:
				sentAt := nowMillis()
				if l, ok := k.host.lease(k.t, k.processID, k.holder.AckedStep()); ok {
					k.holder.SetTime(nowMillis())
					k.holder.ReceiveLease(l, sentAt)
				}
			case ruleset.ActionWake:
				timer.Reset(max(toDuration(d.WakeAtMillis-nowMillis()), 0))
			}
		}
		k.mu.Unlock()
	}
}

// adopt records the terms that the gateway acts on, and fails at a mix of two versions.
func (k *hollowGateway) adopt(terms ruleset.EffectiveRules) {
	mode := [...]string{ruleset.ModeNoLease: history.Bare, ruleset.ModeFallback: history.Fallback,
		ruleset.ModeLeased: history.Leased}[terms.Mode]
	k.log.Write(history.Event{Kind: history.Acts, Version: terms.Version, Mode: mode})
	if terms.Version == 0 {
		return
	}
	r := ruleset.Rules{WorkerOverrides: terms.WorkerOverrides}
	for _, p := range terms.Plans {
		r.Plans = append(r.Plans, p.Plan)
	}
	mixed := generationsIn(&r)
	if len(mixed) != 1 {
		k.t.Errorf("%s acts on version %d with parts of generations %v", k.name, terms.Version, mixed)
	}
	for i := range mixed {
		if known, there := k.generations[terms.Version]; there && known != i {
			k.t.Errorf("%s had version %d as generation %d, and now as %d", k.name, terms.Version, known, i)
		}
		k.generations[terms.Version] = i
	}
}

// leasedGeneration gives the generation that the gateway has a lease on; false where it has none.
func (k *hollowGateway) leasedGeneration() (int, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.holder.Effective()
	if t.Mode != ruleset.ModeLeased || !k.holder.MayAct(nowMillis()) {
		return 0, false
	}
	return k.generations[t.Version], true
}

// mode gives the holder's mode.
func (k *hollowGateway) mode() ruleset.LeaseMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Effective().Mode
}

// lapses gives how often the gateway lost its lease.
func (k *hollowGateway) lapses() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Counters().Expirations
}

// knownGenerations gives the generations that the gateway has acted on, by version.
func (k *hollowGateway) knownGenerations() map[uint64]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := map[uint64]int{}
	for v, i := range k.generations {
		all[v] = i
	}
	return all
}
