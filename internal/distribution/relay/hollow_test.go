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

// generation is rules that say in each part which generation they are of, so that a mix of two shows.
func generation(i int, members []ruleset.Member) ruleset.Rules {
	x := float64(i)
	return generationOf(i, members, 1000-x, 1000-x)
}

// generationOf has ceilings of its own: one that is lower than its fallback allows has to wait.
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

// generations gives those that rules are of: one where they are whole.
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

// hollowHost is a host's daemon with its gatekeepers, without processes, links or txns: it follows relays by
// the real client, keeps the real books, and each gatekeeper has the real holder.
type hollowHost struct {
	name         string
	client       *Client
	subscription *Subscription
	gateways     []*hollowGateway
	stop         context.CancelFunc
	wait         sync.WaitGroup

	mu           sync.Mutex
	warden       ruleset.LeaseGrantor
	reportedStep uint64
	lastStates   [2]*versioned.State
	rules        ruleset.Version
	pending      *ruleset.Rules
}

// hollowKeeper is a gatekeeper of one.
type hollowGateway struct {
	t         testing.TB
	name      string
	processID int
	host      *hollowHost
	log       *history.Log

	mu          sync.Mutex
	holder      *ruleset.LeaseHolder
	generations map[uint64]int // generation by version
}

var (
	incarnationsMu sync.Mutex
	incarnations   = map[string]uint32{}
)

// lifeOf counts the lives of a name.
func nextIncarnation(name string) uint32 {
	incarnationsMu.Lock()
	defer incarnationsMu.Unlock()
	incarnations[name]++
	return incarnations[name]
}

// newHollowHost starts one with its members; records go to a folder.
func newHollowHost(t testing.TB, host, cluster, records string, upstream []string,
	members []ruleset.Member, copied *Checkpoint) *hollowHost {
	t.Helper()
	h := &hollowHost{name: host, client: NewClient(upstream, RequestPath)}
	f := distribution.NewFollower(distribution.FollowerConfig{Name: host, Cluster: cluster,
		Upstreams: len(upstream),
		Interest:  ruleset.Interest{Host: host}, LeaseMillis: 1000,
		Seed: int64(len(host)) + int64(host[len(host)-1])},
		nowMillis())
	if copied == nil {
		copied = NewCheckpoint("", cluster, zerolog.Nop())
	}
	copied.LoadInto(f)
	h.subscription = NewSubscription(f, h.client, func() {
		if v, ok := h.subscription.Snapshot(); ok {
			copied.Save(v)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	run := func(f func(context.Context)) {
		h.wait.Add(1)
		go func() {
			defer h.wait.Done()
			f(ctx)
		}()
	}
	run(h.subscription.Run)
	run(copied.Run)
	for place, m := range members {
		if m.Host != host {
			continue
		}
		k := &hollowGateway{t: t, name: m.Name, processID: place + 1, host: h, generations: map[uint64]int{},
			holder: ruleset.NewLeaseHolder(m.Name, generation(0, members))}
		life := nextIncarnation(m.Name)
		var err error
		path := filepath.Join(records, fmt.Sprintf("%s.%d.jsonl", m.Name, life))
		if k.log, err = history.Open(path, m.Name, life); err != nil {
			t.Fatal(err)
		}
		h.warden.ProcessStarted(k.processID, false)
		h.gateways = append(h.gateways, k)
		run(k.run)
	}
	return h
}

// end ends it with all of its gatekeepers.
func (h *hollowHost) close() {
	h.stop()
	h.wait.Wait()
	h.client.Close()
	for _, k := range h.gateways {
		_ = k.log.Close()
	}
}

// lease answers one of its gatekeepers, as a host's daemon does.
func (h *hollowHost) lease(t testing.TB, pid int, holds uint64) (ruleset.Lease, bool) {
	h.mu.Lock()
	v, ok := h.subscription.Snapshot()
	if !ok || !h.warden.RecordRequest(pid, holds) {
		h.mu.Unlock()
		return ruleset.Lease{}, false
	}
	if now := [2]*versioned.State{v.Rules, v.Pending}; now != h.lastStates {
		whole, err := ruleset.VersionFromState(v.Rules)
		if err != nil {
			t.Errorf("%s: %v", h.name, err)
		}
		h.lastStates, h.rules, h.pending = now, whole, nil
		if v.Pending != nil {
			p, err := ruleset.VersionFromState(v.Pending)
			if err != nil {
				t.Errorf("%s: %v", h.name, err)
			}
			h.pending = &p.Rules
		}
	}
	l := ruleset.Lease{
		Step:               v.Step,
		Version:            h.rules,
		TransitionComplete: v.Settled,
		Pending:            h.pending,
		AgeMillis:          v.AgeMillis(nowMillis()),
	}
	h.warden.RecordGrant(pid)
	seen := h.warden.AckedStep(v.Step)
	news := seen > h.reportedStep
	h.reportedStep = max(h.reportedStep, seen)
	h.mu.Unlock()
	if news {
		h.subscription.WithFollower(func(f *distribution.Follower) {
			f.ReportHostSteps([]distribution.HostStep{{Host: h.name, Step: seen}})
		})
	}
	return l, true
}

// run goes by rules until it ends.
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
				asked := nowMillis()
				if l, ok := k.host.lease(k.t, k.processID, k.holder.AckedStep()); ok {
					k.holder.SetTime(nowMillis())
					k.holder.ReceiveLease(l, asked)
				}
			case ruleset.ActionWake:
				timer.Reset(max(toDuration(d.WakeAtMillis-nowMillis()), 0))
			}
		}
		k.mu.Unlock()
	}
}

// adopt records what it goes by, and finds a mix of two versions.
func (k *hollowGateway) adopt(t ruleset.EffectiveRules) {
	mode := [...]string{ruleset.ModeNoLease: history.Bare, ruleset.ModeFallback: history.Fallback,
		ruleset.ModeLeased: history.Leased}[t.Mode]
	k.log.Write(history.Event{Kind: history.Acts, Version: t.Version, Mode: mode})
	if t.Version == 0 {
		return
	}
	r := ruleset.Rules{WorkerOverrides: t.WorkerOverrides}
	for _, p := range t.Plans {
		r.Plans = append(r.Plans, p.Plan)
	}
	all := generationsIn(&r)
	if len(all) != 1 {
		k.t.Errorf("%s goes by version %d with parts of generations %v", k.name, t.Version, all)
	}
	for i := range all {
		if was, there := k.generations[t.Version]; there && was != i {
			k.t.Errorf("%s knew version %d as generation %d, and now as %d", k.name, t.Version, was, i)
		}
		k.generations[t.Version] = i
	}
}

// stands tells the generation that it is leased by; false where it has no lease.
func (k *hollowGateway) leasedGeneration() (int, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.holder.Effective()
	if t.Mode != ruleset.ModeLeased || !k.holder.MayAct(nowMillis()) {
		return 0, false
	}
	return k.generations[t.Version], true
}

// mode tells how it goes.
func (k *hollowGateway) mode() ruleset.LeaseMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Effective().Mode
}

// lapses tells how often it lost its lease.
func (k *hollowGateway) lapses() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Counters().Expirations
}

// known gives the generations by version that it has gone by.
func (k *hollowGateway) knownGenerations() map[uint64]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := map[uint64]int{}
	for v, i := range k.generations {
		all[v] = i
	}
	return all
}
