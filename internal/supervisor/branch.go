package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/versioned"
)

const (
	bornLease = 1000.0 // ms, until rules have told theirs
	lagAfter  = 3000.0 // ms behind another's list of discovery until one is named
)

// branch is the part in agreed rules of a daemon without a seat: it follows relays, tells the processes of
// its host what those say, and says up the chain what all of its processes go by. It has no vote, and no
// other host waits for it but for that word. It is safe for concurrent use, and nothing of it waits.
type branch struct {
	cluster string
	me      string
	log     zerolog.Logger
	record  history.Recorder
	copy    *relay.Checkpoint
	changed chan struct{}
	ctx     context.Context
	end     context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	upstream []string
	follower *distribution.Follower // by way of feed alone
	feed     *relay.Subscription
	leave    context.CancelFunc // ends the feed
	warden   ruleset.LeaseGrantor
	lag      *ruleset.IndexLag
	askers   map[int]asker

	view    distribution.Snapshot // as last taken
	lease   ruleset.Lease
	bad     [2]versioned.VersionID // of rules, and pending ones, that were told and make no sense
	inForce ruleset.Version
	said    uint64 // the step that was last told to have been seen
	index   int64  // of discovery's list, the highest here
}

// asker is a process that has asked.
type asker struct {
	name  string
	holds uint64
	index int64
	at    time.Time
}

func newBranch(cluster string, r *RelayFile, record history.Recorder, log zerolog.Logger) *branch {
	b := &branch{cluster: cluster, me: r.Me, log: log, record: record,
		copy:    relay.NewCheckpoint(r.Store, cluster, log),
		changed: make(chan struct{}, 1), lag: ruleset.NewIndexLag(), askers: map[int]asker{}, index: -1}
	b.view.DiscoveryIndex = -1
	b.ctx, b.end = context.WithCancel(context.Background())
	b.wait.Add(1)
	go func() {
		defer b.wait.Done()
		b.copy.Run(b.ctx)
	}()
	return b
}

// follows has it ask these from now on. What was heard goes on until its time. It is to be called first when
// all processes have been booked that a daemon before this one has left: what their daemon has seen is told
// up the chain as soon as it is known here, and can't be taken back.
func (b *branch) follows(upstream []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(upstream, b.upstream) {
		return
	}
	f := distribution.NewFollower(distribution.FollowerConfig{Name: b.me, Cluster: b.cluster,
		Upstreams:   len(upstream),
		LeaseMillis: bornLease, Interest: ruleset.Interest{Host: b.me, Around: distribution.RingRadius},
		Seed: rand.Int63()},
		raftlog.BootClockMillis())
	if b.feed == nil {
		b.copy.LoadInto(f)
	} else {
		f.AddBases(b.view.Rules, b.view.Pending)
		b.leave()
	}
	client := relay.NewClient(upstream, relay.RequestPath)
	b.upstream, b.follower, b.said = slices.Clone(upstream), f, 0
	feed := relay.NewSubscription(f, client, b.news)
	b.feed = feed
	var ctx context.Context
	ctx, b.leave = context.WithCancel(b.ctx)
	b.wait.Add(1)
	go func() {
		defer b.wait.Done()
		feed.Run(ctx)
		client.Close()
	}()
}

// news takes what the follower has come to know.
func (b *branch) news() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take()
}

// take goes over to what the follower knows, if that is later, and says up the chain what there is to say;
// under the lock.
func (b *branch) take() {
	if b.feed == nil {
		return
	}
	v, ok := b.feed.Snapshot()
	said := [2]versioned.VersionID{v.Rules.ID(), v.Pending.ID()}
	if !ok || v.Step < b.view.Step || v.Step == b.view.Step && v.ReadStartMillis < b.view.ReadStartMillis ||
		said == b.bad {
		return
	}
	rules, pending := b.view.Rules.ID(), b.view.Pending.ID()
	if v.Rules.ID() != rules || v.Pending.ID() != pending {
		l, err := leaseOf(&v)
		if err != nil {
			b.bad = said
			b.log.Error().Err(err).Msg("rules that make no sense: those before go on until their time")
			return
		}
		if l.UnsupportedFeature != "" {
			b.log.Error().Str("needs", l.UnsupportedFeature).
				Msg("rules in force that this program does not know: instances stay as they are")
		}
		b.lease = l
		b.copy.Save(v)
	}
	b.view, b.lease.Step, b.lease.TransitionComplete = v, v.Step, v.TransitionComplete
	if v.Rules.ID() != rules {
		if b.record != nil {
			b.record.Write(history.Event{Kind: history.Gives, Version: v.Rules.ID().Number,
				Age: raftlog.BootClockMillis() - v.ReadStartMillis})
		}
		if b.lease.UnsupportedFeature == "" {
			b.inForce = b.lease.Version
			select {
			case b.changed <- struct{}{}:
			default:
			}
		}
	}
	b.say()
}

// leaseOf reads what a view says. Rules that this program does not know whole are left empty, and named.
func leaseOf(v *distribution.Snapshot) (l ruleset.Lease, err error) {
	read := func(s *versioned.State) (ruleset.Version, string, error) {
		v, err := ruleset.VersionFromState(s)
		if errors.Is(err, ruleset.ErrUnsupported) {
			return ruleset.Version{Number: s.ID().Number}, err.Error(), nil
		}
		if err == nil {
			err = ruleset.ValidateSubset(&v.Rules)
		}
		return v, "", err
	}
	if l.Version, l.UnsupportedFeature, err = read(v.Rules); err != nil || v.Pending == nil {
		return l, err
	}
	p, strange, err := read(v.Pending)
	l.Pending, l.PendingUnsupportedFeature = &p.Rules, strange
	return l, err
}

// say has the follower tell what all processes of this host go by, where that is news; under the lock.
func (b *branch) say() {
	seen, highest := b.warden.AckedStep(b.view.Step), int64(-1)
	for _, a := range b.askers {
		highest = max(highest, a.index)
	}
	if b.feed == nil || seen <= b.said && highest == b.index {
		return
	}
	more := seen > b.said
	b.said, b.index = max(seen, b.said), highest
	b.feed.WithFollower(func(f *distribution.Follower) {
		if f.SetDiscoveryIndex(highest); more {
			f.ReportHostAcks([]distribution.HostAck{{Host: b.me, Step: seen}})
		}
	})
}

// Changed tells that another version than before is in force.
func (b *branch) Changed() <-chan struct{} { return b.changed }

// InForce gives the version in force as far as it is known here: the part that this host needs.
func (b *branch) InForce() ruleset.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inForce
}

// ProcessStarted tells of a process of this host's gatekeepers; before: it ran before this daemon did.
func (b *branch) ProcessStarted(pid int, before bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warden.ProcessStarted(pid, before)
}

// ProcessExited tells that a process is no more.
func (b *branch) ProcessExited(pid int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warden.ProcessExited(pid)
	if a, there := b.askers[pid]; there {
		b.lag.Remove(a.name)
		delete(b.askers, pid)
	}
	b.say()
}

// RenewLease answers a process of a gatekeeper, as raftlog.RulesetNode's does.
func (b *branch) RenewLease(pid int, name string, holds uint64, index int64) (ruleset.Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := raftlog.BootClockMillis()
	if !b.warden.RecordRequest(pid, holds) {
		return ruleset.Lease{}, false
	}
	b.askers[pid] = asker{name, holds, index, time.Now()}
	if index >= 0 {
		b.lag.Report(name, index, now)
	}
	b.take()
	b.say()
	l := b.lease
	l.AgeMillis = raftlog.BootClockMillis() - b.view.ReadStartMillis
	if b.view.Step == 0 || !(l.AgeMillis < ruleset.StateLeaseMillis(b.view.Rules)) {
		return ruleset.Lease{}, false
	}
	b.warden.RecordGrant(pid)
	return l, true
}

// given is the view as it was last taken: of the step that a process was just booked to be given, or later.
func (b *branch) given() distribution.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// HighestDiscoveryIndex gives the highest index of discovery's list that any process has told, here or elsewhere.
func (b *branch) HighestDiscoveryIndex() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.index, b.view.DiscoveryIndex, 0)
}

// Close ends it.
func (b *branch) Close() {
	b.end()
	b.wait.Wait()
}

// Following is how a daemon below relays stands, for operators.
type Following struct {
	Cluster  string   `json:"cluster"`
	Me       string   `json:"me"`
	Upstream []string `json:"upstream"`
	Asked    string   `json:"asked"` // of them, the one that is asked now
	Depth    int      `json:"depth"` // of relays from here to the council
	Version  uint64   `json:"version"`
	Mark     string   `json:"mark,omitempty"` // of the part that this host needs
	Members  int      `json:"members"`        // of all that there are places for
	Known    int      `json:"known"`          // and those that this host is told of
	Step     uint64   `json:"step"`
	Settled  bool     `json:"settled"`
	// ago that a quorum confirmed it; below nought nothing has been
	ReadMS  float64 `json:"read_ms"`
	Pending uint64  `json:"pending,omitempty"`
	// what of the rules this program does not know
	Foreign string `json:"foreign,omitempty"`
	// the step that all processes here go by, or later
	Seen   uint64                      `json:"seen"`
	Behind map[string]uint64           `json:"behind,omitempty"`  // instances that hold an older one
	CutOff map[string]float64          `json:"cut_off,omitempty"` // instances here: ms since they last asked
	Lags   []ruleset.LaggingMember     `json:"lags,omitempty"`
	Counts distribution.FollowerCounts `json:"counts"`
	Copies struct {
		Written int64 `json:"written"`
		Failed  int64 `json:"failed"`
		Aside   int64 `json:"aside"`
	} `json:"copies"`
}

// stands tells how it stands.
func (b *branch) stands() Following {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Following{Cluster: b.cluster, Me: b.me, Upstream: b.upstream, Depth: b.view.Depth, ReadMS: -1,
		Step: b.view.Step, Settled: b.view.TransitionComplete, Foreign: b.lease.UnsupportedFeature, Seen: b.said,
		Behind: map[string]uint64{}, CutOff: map[string]float64{}}
	if b.feed == nil {
		return s
	}
	b.feed.WithFollower(func(f *distribution.Follower) {
		s.Asked, s.Counts = b.upstream[f.CurrentUpstream()], f.Counts()
	})
	s.Copies.Written, s.Copies.Failed, s.Copies.Aside = b.copy.Counts()
	lease := bornLease
	if b.view.Step > 0 {
		s.Version, s.Mark = b.view.Rules.ID().Number, b.view.Rules.ID().String()
		s.Pending = b.view.Pending.ID().Number
		s.ReadMS, lease = raftlog.BootClockMillis()-b.view.ReadStartMillis, ruleset.StateLeaseMillis(b.view.Rules)
	}
	s.Members = len(b.lease.Version.Rules.Members)
	for _, m := range b.lease.Version.Rules.Members {
		if m.Name != "" {
			s.Known++
		}
	}
	for _, a := range b.askers {
		if a.holds < b.view.Step {
			s.Behind[a.name] = a.holds
		}
		age := float64(time.Since(a.at)) / float64(time.Millisecond)
		if age > lease || s.ReadMS < 0 || s.ReadMS > lease {
			s.CutOff[a.name] = age
		}
	}
	s.Lags = b.lag.Lagging(raftlog.BootClockMillis(), lagAfter)
	return s
}

// follows answers operators.
func (d *Daemon) follows(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	_ = e.Encode(d.seat.branch.stands())
}
