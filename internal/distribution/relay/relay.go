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
const perLease = 20

// Relay is one that runs: it follows upstreams, and answers those below.
type Relay struct {
	file    *File
	log     zerolog.Logger
	record  history.Recorder
	client  *Client
	feed    *Feed
	giver   *giver
	control *http.Server
	stop    context.CancelFunc
	wait    sync.WaitGroup

	last view // of Feed.Run's goroutine alone

	copy *Copy
}

// view is what was last made known of a View.
type view struct {
	rules, pending versioned.VersionID
	step           uint64
}

// Start starts a relay. The record may be nil.
func Start(f *File, record history.Recorder, log zerolog.Logger) (*Relay, error) {
	if f.Store != "" {
		if err := os.MkdirAll(filepath.Dir(f.Store), 0o700); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	r := &Relay{file: f, log: log, record: record, client: NewClient(f.Upstream, AskPath),
		copy: NewCopy(f.Store, f.Cluster, log)}
	seed := f.Seed
	if seed == 0 {
		seed = rand.Int63()
	}
	follower := distribution.NewFollower(
		distribution.Config{Name: f.Name, Cluster: f.Cluster, Upstream: len(f.Upstream),
			Interest: ruleset.Interest{All: true}, Lease: f.LeaseMS, PerLease: perLease,
			Seed: seed},
		Clock(),
	)
	r.copy.Base(follower)
	r.feed = NewFeed(follower, r.client, r.news)
	var err error
	r.giver, err = give(f.Listen, f.Limits.Connections, f.LeaseMS,
		distribution.NewSource(f.Name, f.Cluster, distribution.Bounds{
			WholeRate: f.Limits.WholeKBS * 1024, WholeBurst: f.Limits.WholeKB * 1024, Life: rand.Uint64()}), r.told)
	if err != nil {
		return nil, err
	}
	if err := r.open(); err != nil {
		r.giver.close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.wait.Add(2)
	go func() {
		defer r.wait.Done()
		r.feed.Run(ctx)
	}()
	go func() {
		defer r.wait.Done()
		r.copy.Run(ctx)
	}()
	log.Info().Str("listen", r.giver.at).Strs("upstream", f.Upstream).Msg("relay: begun")
	return r, nil
}

// At is where it listens for those below.
func (r *Relay) At() string { return r.giver.at }

// Close ends it and waits for all of its goroutines.
func (r *Relay) Close() {
	r.stop()
	r.giver.close()
	_ = r.control.Close()
	r.wait.Wait()
	r.client.Close()
}

// told sends up what those below have seen.
func (r *Relay) told(all []distribution.HostStep, index int64) {
	r.feed.With(func(f *distribution.Follower) {
		f.Tell(all)
		f.Index(index)
	})
}

// news gives on what the follower has come to know.
func (r *Relay) news() {
	v, ok := r.feed.View()
	if !ok {
		return
	}
	r.giver.offer(v)
	r.copy.Keep(v)
	now := view{rules: v.Rules.ID(), pending: v.Pending.ID(), step: v.Step}
	if now.rules != r.last.rules {
		r.tells(&v)
	}
	if now.rules != r.last.rules || now.pending != r.last.pending {
		r.log.Info().Uint64("version", now.rules.Number).Uint64("pending", now.pending.Number).
			Uint64("step", v.Step).Int("bytes", v.Rules.Bytes()).Msg("relay: in force")
	}
	r.last = now
}

// tells records a version that is given on from here.
func (r *Relay) tells(v *distribution.View) {
	if r.record == nil {
		return
	}
	e := history.Event{Kind: history.Gives, Version: v.Rules.ID().Number, Age: Clock() - v.Begun}
	if whole, err := ruleset.VersionFromState(v.Rules); err == nil {
		e.Mark = raftlog.RulesDigest(&whole.Rules)
	} else {
		e.Says = fmt.Sprintf("not rules of this program: %v", err)
	}
	r.record.Write(e)
}
