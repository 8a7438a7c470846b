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

// requestsPerLease is how often a relay asks its upstream in a lease. A host's daemon asks half as often:
// each level of the tree adds its interval to the age of what the next one gets.
const requestsPerLease = 20

const bytesPerKB = 1024

// Relay is a relay process: it follows upstreams, and serves those below.
type Relay struct {
	config       *Config
	log          zerolog.Logger
	recorder     history.Recorder // nil: nothing is recorded
	client       *Client
	subscription *Subscription
	server       *server
	checkpoint   *Checkpoint
	adminServer  *http.Server
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup

	lastLogged loggedState // used by the subscription's goroutine alone
}

// loggedState is what onUpdate last made known of a snapshot.
type loggedState struct{ rules, pending versioned.VersionID }

// Start starts a relay. The recorder may be nil.
func Start(config *Config, recorder history.Recorder, log zerolog.Logger) (*Relay, error) {
	if config.CheckpointPath != "" {
		if err := os.MkdirAll(filepath.Dir(config.CheckpointPath), 0o700); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	r := &Relay{
		config:     config,
		log:        log,
		recorder:   recorder,
		client:     NewClient(config.Upstreams, RequestPath),
		checkpoint: NewCheckpoint(config.CheckpointPath, config.Cluster, log),
	}
	follower := newFollower(config)
	r.checkpoint.LoadInto(follower)
	r.subscription = NewSubscription(follower, r.client, r.onUpdate)
	var err error
	r.server, err = startServer(config.Listen, config.Limits.Connections, config.LeaseMillis, newSource(config),
		r.reportUpstream)
	if err != nil {
		return nil, err
	}
	if err := r.serveAdmin(); err != nil {
		r.server.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.goroutines.Add(2)
	go func() {
		defer r.goroutines.Done()
		r.subscription.Run(ctx)
	}()
	go func() {
		defer r.goroutines.Done()
		r.checkpoint.Run(ctx)
	}()
	log.Info().Str("listen", r.server.address).Strs("upstream", config.Upstreams).Msg("relay: started")
	return r, nil
}

func newFollower(config *Config) *distribution.Follower {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Int63()
	}
	return distribution.NewFollower(distribution.FollowerConfig{
		Name:             config.Name,
		Cluster:          config.Cluster,
		Upstreams:        len(config.Upstreams),
		Interest:         ruleset.Interest{All: true},
		LeaseMillis:      config.LeaseMillis,
		RequestsPerLease: requestsPerLease,
		Seed:             seed,
	}, nowMillis())
}

func newSource(config *Config) *distribution.Source {
	return distribution.NewSource(config.Name, config.Cluster, distribution.SourceConfig{
		FullStateBytesPerSecond: config.Limits.FullStateKBPerSecond * bytesPerKB,
		FullStateBurstBytes:     config.Limits.FullStateBurstKB * bytesPerKB,
		Incarnation:             rand.Uint64(),
	})
}

// Address is where the relay listens for requests from below.
func (r *Relay) Address() string { return r.server.address }

// Close stops the relay and waits for all of its goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.server.close()
	_ = r.adminServer.Close() // its connections serve operators alone
	r.goroutines.Wait()
	r.client.Close()
}

// reportUpstream sends up what was reported from below.
func (r *Relay) reportUpstream(acks []distribution.HostAck, highestIndex int64) {
	r.subscription.WithFollower(func(f *distribution.Follower) {
		f.ReportHostAcks(acks)
		f.SetDiscoveryIndex(highestIndex)
	})
}

// onUpdate publishes the follower's snapshot to those below, stores it, and logs and records new versions.
func (r *Relay) onUpdate() {
	snapshot, ok := r.subscription.Snapshot()
	if !ok {
		return
	}
	r.server.publish(snapshot)
	r.checkpoint.Save(snapshot)
	state := loggedState{rules: snapshot.Rules.ID(), pending: snapshot.Pending.ID()}
	if state.rules != r.lastLogged.rules {
		r.recordVersion(&snapshot)
	}
	if state != r.lastLogged {
		r.log.Info().Uint64("version", state.rules.Number).Uint64("pending", state.pending.Number).
			Uint64("step", snapshot.Step).Int("bytes", snapshot.Rules.Bytes()).Msg("relay: version in force")
	}
	r.lastLogged = state
}

// recordVersion records that a version is published from here.
func (r *Relay) recordVersion(snapshot *distribution.Snapshot) {
	if r.recorder == nil {
		return
	}
	event := history.Event{Kind: history.ReportedInForce, Version: snapshot.Rules.ID().Number,
		Age: nowMillis() - snapshot.ReadStartMillis}
	if version, err := ruleset.VersionFromState(snapshot.Rules); err == nil {
		event.Digest = raftlog.RulesDigest(&version.Rules)
	} else {
		event.Says = fmt.Sprintf("not a ruleset of this program: %v", err)
	}
	r.recorder.Write(event)
}
