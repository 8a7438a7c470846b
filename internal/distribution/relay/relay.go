package relay

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/versioned"
)

// perLease is how often one above is asked in a lease. A gatekeeper's host asks half as often: each level
// adds to the age of what the next one is told.
const requestsPerLease = 20

// Relay is one that runs: it follows upstreams, and answers those below.
type Relay struct {
	config       *Config
	log          zerolog.Logger
	recorder     history.Recorder
	client       *Client
	subscription *Subscription
	server       *server
	adminServer  *http.Server
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup

	lastLogged loggedState // of Feed.Run's goroutine alone

	checkpoint *Checkpoint
}

// view is what was last made known of a View.
type loggedState struct {
	rules, pending versioned.VersionID
	step           uint64
}

// Start starts a relay. The record may be nil.
func Start(f *Config, record history.Recorder, log zerolog.Logger) (*Relay, error) {
	if f.CheckpointPath != "" {
		if err := os.MkdirAll(filepath.Dir(f.CheckpointPath), 0o700); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	r := &Relay{config: f, log: log, recorder: record, client: NewClient(f.Upstreams, RequestPath),
		checkpoint: NewCheckpoint(f.CheckpointPath, f.Cluster, log)}
	seed := f.Seed
	if seed == 0 {
		seed = rand.Int63()
	}
	follower := distribution.NewFollower(
		distribution.FollowerConfig{Name: f.Name, Cluster: f.Cluster, Upstreams: len(f.Upstreams),
			Interest: ruleset.Interest{All: true}, LeaseMillis: f.LeaseMillis, RequestsPerLease: requestsPerLease,
			Seed: seed},
		nowMillis(),
	)
	r.checkpoint.LoadInto(follower)
	r.subscription = NewSubscription(follower, r.client, r.onUpdate)
	var err error
	r.server, err = startServer(f.Listen, f.Limits.Connections, f.LeaseMillis,
		distribution.NewSource(f.Name, f.Cluster, distribution.SourceConfig{
			FullStateBytesPerSecond: f.Limits.FullStateKBPerSecond * 1024,
			FullStateBurstBytes:     f.Limits.FullStateBurstKB * 1024, Incarnation: rand.Uint64()}), r.reportUpstream)
	if err != nil {
		return nil, err
	}
	if err := r.serveAdmin(); err != nil {
		r.server.close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.cancel = stop
	r.goroutines.Add(2)
	go func() {
		defer r.goroutines.Done()
		r.subscription.Run(ctx)
	}()
	go func() {
		defer r.goroutines.Done()
		r.checkpoint.Run(ctx)
	}()
	log.Info().Str("listen", r.server.address).Strs("upstream", f.Upstreams).Msg("relay: begun")
	return r, nil
}

// At is where it listens for those below.
func (r *Relay) Address() string { return r.server.address }

// Close ends it and waits for all of its goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.server.close()
	_ = r.adminServer.Close()
	r.goroutines.Wait()
	r.client.Close()
}

// told sends up what those below have seen.
func (r *Relay) reportUpstream(all []distribution.HostStep, index int64) {
	r.subscription.WithFollower(func(f *distribution.Follower) {
		f.ReportHostSteps(all)
		f.SetDiscoveryIndex(index)
	})
}

// news gives on what the follower has come to know.
func (r *Relay) onUpdate() {
	v, ok := r.subscription.Snapshot()
	if !ok {
		return
	}
	r.server.publish(v)
	r.checkpoint.Save(v)
	now := loggedState{rules: v.Rules.ID(), pending: v.Pending.ID(), step: v.Step}
	if now.rules != r.lastLogged.rules {
		r.recordVersion(&v)
	}
	if now.rules != r.lastLogged.rules || now.pending != r.lastLogged.pending {
		r.log.Info().Uint64("version", now.rules.Number).Uint64("pending", now.pending.Number).
			Uint64("step", v.Step).Int("bytes", v.Rules.Bytes()).Msg("relay: in force")
	}
	r.lastLogged = now
}

// tells records a version that is given on from here.
func (r *Relay) recordVersion(v *distribution.Snapshot) {
	if r.recorder == nil {
		return
	}
	e := history.Event{Kind: history.Gives, Version: v.Rules.ID().Number, Age: nowMillis() - v.ReadStartMillis}
	if whole, err := ruleset.VersionFromState(v.Rules); err == nil {
		e.Mark = raftlog.RulesDigest(&whole.Rules)
	} else {
		e.Says = fmt.Sprintf("not rules of this program: %v", err)
	}
	r.recorder.Write(e)
}
