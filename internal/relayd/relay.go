package relayd

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/accord"
	"willowdeck/internal/council"
	"willowdeck/internal/history"
	"willowdeck/internal/relay"
	"willowdeck/internal/resource"
)

// copyAgain is the pause before a copy is tried again that could not be written.
const copyAgain = 5 * time.Second

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

	save    chan struct{}
	latest  atomic.Pointer[relay.View]
	written atomic.Int64 // copies
	failed  atomic.Int64 // copies that could not be written
	aside   atomic.Int64 // copies that could not be used
}

// view is what was last made known of a View.
type view struct {
	rules, pending resource.Mark
	step           uint64
}

// Start starts a relay. The record may be nil.
func Start(f *File, record history.Recorder, log zerolog.Logger) (*Relay, error) {
	r := &Relay{file: f, log: log, record: record, client: NewClient(f.Upstream, AskPath),
		save: make(chan struct{}, 1)}
	seed := f.Seed
	if seed == 0 {
		seed = rand.Int63()
	}
	follower := relay.NewFollower(relay.Config{Name: f.Name, Cluster: f.Cluster, Upstream: len(f.Upstream),
		Interest: accord.Interest{All: true}, Lease: f.LeaseMS, Seed: seed}, Clock())
	r.base(follower)
	r.feed = NewFeed(follower, r.client, r.news)
	var err error
	r.giver, err = give(f.Listen, f.Limits.Connections, f.LeaseMS,
		relay.NewSource(f.Name, f.Cluster, relay.Bounds{
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
		r.keep(ctx)
	}()
	log.Info().Str("listen", r.giver.at).Strs("upstream", f.Upstream).Msg("relay: begun")
	return r, nil
}

// base has the follower begin with the copy on disk, as a base for deltas.
func (r *Relay) base(f *relay.Follower) {
	if r.file.Store == "" {
		return
	}
	rules, pending, err := readCopy(r.file.Store, r.file.Cluster)
	switch {
	case errors.Is(err, errNoCopy):
	case err != nil:
		r.aside.Add(1)
		aside, moved := setCopyAside(r.file.Store)
		r.log.Warn().Err(err).Str("aside", aside).AnErr("moved", moved).Msg("copy set aside: all is asked for anew")
	default:
		f.Base(rules, pending)
		r.log.Info().Uint64("version", rules.Mark().Number).Msg("copy taken as a base")
	}
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
func (r *Relay) told(all []relay.HostStep, index int64) {
	r.feed.With(func(f *relay.Follower) {
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
	r.latest.Store(&v)
	now := view{rules: v.Rules.Mark(), pending: v.Pending.Mark(), step: v.Step}
	if now.rules != r.last.rules {
		r.tells(&v)
	}
	if now.rules != r.last.rules || now.pending != r.last.pending {
		r.log.Info().Uint64("version", now.rules.Number).Uint64("pending", now.pending.Number).
			Uint64("step", v.Step).Int("bytes", v.Rules.Bytes()).Msg("relay: in force")
		select {
		case r.save <- struct{}{}:
		default:
		}
	}
	r.last = now
}

// tells records a version that is given on from here.
func (r *Relay) tells(v *relay.View) {
	if r.record == nil {
		return
	}
	e := history.Event{Kind: history.Gives, Version: v.Rules.Mark().Number, Age: Clock() - v.Begun}
	if whole, err := accord.FromState(v.Rules); err == nil {
		e.Mark = council.Mark(&whole.Rules)
	} else {
		e.Says = fmt.Sprintf("not rules of this program: %v", err)
	}
	r.record.Write(e)
}

// keep writes the copy each time that it has changed.
func (r *Relay) keep(ctx context.Context) {
	if r.file.Store == "" {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.save:
		}
		v := r.latest.Load()
		err := keepCopy(r.file.Store, r.file.Cluster, v.Rules, v.Pending)
		if err == nil {
			r.written.Add(1)
			continue
		}
		r.failed.Add(1)
		r.log.Error().Err(err).Msg("copy not written: a start after this one asks for all anew")
		select {
		case <-ctx.Done():
			return
		case <-time.After(copyAgain):
		}
		select {
		case r.save <- struct{}{}:
		default:
		}
	}
}
