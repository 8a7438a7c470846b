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
	initialLeaseMillis = 1000.0 // ms, until rules have told theirs
	discoveryLagMillis = 3000.0 // ms behind another's list of discovery until one is named
)

// branch is the part in agreed rules of a daemon without a seat: it follows relays, tells the processes of
// its host what those say, and says up the chain what all of its processes go by. It has no vote, and no
// other host waits for it but for that word. It is safe for concurrent use, and nothing of it waits.
type subscription struct {
	cluster    string
	hostName   string
	log        zerolog.Logger
	history    history.Recorder
	replica    *relay.Copy
	changed    chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex
	upstreams    []string
	follower     *distribution.Follower // by way of feed alone
	feed         *relay.Feed
	stopFeed     context.CancelFunc // ends the feed
	grantor      ruleset.Warden
	discoveryLag *ruleset.Lag
	requesters   map[int]requester

	view          distribution.View // as last taken
	lease         ruleset.Lease
	rejected      [2]versioned.Mark // of rules, and pending ones, that were told and make no sense
	inForce       ruleset.Version
	reportedStep  uint64 // the step that was last told to have been seen
	reportedIndex int64  // of discovery's list, the highest here
}

// asker is a process that has asked.
type requester struct {
	name           string
	heldStep       uint64
	discoveryIndex int64
	requestedAt    time.Time
}

func newSubscription(cluster string, relaySettings *RelaySettings, record history.Recorder, log zerolog.Logger) *subscription {
	s := &subscription{cluster: cluster, hostName: relaySettings.HostName, log: log, history: record,
		replica: relay.NewCopy(relaySettings.StorePath, cluster, log),
		changed: make(chan struct{}, 1), discoveryLag: ruleset.NewLag(), requesters: map[int]requester{}, reportedIndex: -1}
	s.view.Index = -1
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.replica.Run(s.ctx)
	}()
	return s
}

// follows has it ask these from now on. What was heard goes on until its time. It is to be called first when
// all processes have been booked that a daemon before this one has left: what their daemon has seen is told
// up the chain as soon as it is known here, and can't be taken back.
func (b *subscription) setUpstreams(upstreams []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(upstreams, b.upstreams) {
		return
	}
	follower := distribution.NewFollower(distribution.Config{Name: b.hostName, Cluster: b.cluster, Upstream: len(upstreams),
		Lease: initialLeaseMillis, Interest: ruleset.Interest{Host: b.hostName, Around: distribution.Around}, Seed: rand.Int63()},
		raftlog.Clock())
	if b.feed == nil {
		b.replica.Base(follower)
	} else {
		follower.Base(b.view.Rules, b.view.Pending)
		b.stopFeed()
	}
	client := relay.NewClient(upstreams, relay.AskPath)
	b.upstreams, b.follower, b.reportedStep = slices.Clone(upstreams), follower, 0
	feed := relay.NewFeed(follower, client, b.onUpdate)
	b.feed = feed
	var ctx context.Context
	ctx, b.stopFeed = context.WithCancel(b.ctx)
	b.goroutines.Add(1)
	go func() {
		defer b.goroutines.Done()
		feed.Run(ctx)
		client.Close()
	}()
}

// news takes what the follower has come to know.
func (b *subscription) onUpdate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyView()
}

// take goes over to what the follower knows, if that is later, and says up the chain what there is to say;
// under the lock.
func (b *subscription) applyView() {
	if b.feed == nil {
		return
	}
	view, ok := b.feed.View()
	digests := [2]versioned.Mark{view.Rules.Mark(), view.Pending.Mark()}
	if !ok || view.Step < b.view.Step || view.Step == b.view.Step && view.Begun < b.view.Begun || digests == b.rejected {
		return
	}
	rules, pending := b.view.Rules.Mark(), b.view.Pending.Mark()
	if view.Rules.Mark() != rules || view.Pending.Mark() != pending {
		lease, err := leaseFromView(&view)
		if err != nil {
			b.rejected = digests
			b.log.Error().Err(err).Msg("rules that make no sense: those before go on until their time")
			return
		}
		if lease.Foreign != "" {
			b.log.Error().Str("needs", lease.Foreign).
				Msg("rules in force that this program does not know: instances stay as they are")
		}
		b.lease = lease
		b.replica.Keep(view)
	}
	b.view, b.lease.Step, b.lease.Settled = view, view.Step, view.Settled
	if view.Rules.Mark() != rules {
		if b.history != nil {
			b.history.Write(history.Event{Kind: history.Gives, Version: view.Rules.Mark().Number,
				Age: raftlog.Clock() - view.Begun})
		}
		if b.lease.Foreign == "" {
			b.inForce = b.lease.Version
			select {
			case b.changed <- struct{}{}:
			default:
			}
		}
	}
	b.reportSeen()
}

// leaseOf reads what a view says. Rules that this program does not know whole are left empty, and named.
func leaseFromView(view *distribution.View) (lease ruleset.Lease, err error) {
	read := func(s *versioned.State) (ruleset.Version, string, error) {
		view, err := ruleset.FromState(s)
		if errors.Is(err, ruleset.ErrForeign) {
			return ruleset.Version{Number: s.Mark().Number}, err.Error(), nil
		}
		if err == nil {
			err = ruleset.CheckPart(&view.Rules)
		}
		return view, "", err
	}
	if lease.Version, lease.Foreign, err = read(view.Rules); err != nil || view.Pending == nil {
		return lease, err
	}
	pending, unknown, err := read(view.Pending)
	lease.Pending, lease.Strange = &pending.Rules, unknown
	return lease, err
}

// say has the follower tell what all processes of this host go by, where that is news; under the lock.
func (b *subscription) reportSeen() {
	seenStep, highestIndex := b.grantor.Seen(b.view.Step), int64(-1)
	for _, request := range b.requesters {
		highestIndex = max(highestIndex, request.discoveryIndex)
	}
	if b.feed == nil || seenStep <= b.reportedStep && highestIndex == b.reportedIndex {
		return
	}
	newStep := seenStep > b.reportedStep
	b.reportedStep, b.reportedIndex = max(seenStep, b.reportedStep), highestIndex
	b.feed.With(func(f *distribution.Follower) {
		if f.Index(highestIndex); newStep {
			f.Tell([]distribution.HostStep{{Host: b.hostName, Step: seenStep}})
		}
	})
}

// Changed tells that another version than before is in force.
func (b *subscription) Changed() <-chan struct{} { return b.changed }

// InForce gives the version in force as far as it is known here: the part that this host needs.
func (b *subscription) InForce() ruleset.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inForce
}

// Began tells of a process of this host's gatekeepers; before: it ran before this daemon did.
func (b *subscription) Began(pid int, adopted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantor.Began(pid, adopted)
}

// Ended tells that a process is no more.
func (b *subscription) Ended(pid int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantor.Ended(pid)
	if request, known := b.requesters[pid]; known {
		b.discoveryLag.Left(request.name)
		delete(b.requesters, pid)
	}
	b.reportSeen()
}

// Asked answers a process of a gatekeeper, as raftlog.Seat's does.
func (b *subscription) Asked(pid int, name string, heldStep uint64, discoveryIndex int64) (ruleset.Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := raftlog.Clock()
	if !b.grantor.Asked(pid, heldStep) {
		return ruleset.Lease{}, false
	}
	b.requesters[pid] = requester{name, heldStep, discoveryIndex, time.Now()}
	if discoveryIndex >= 0 {
		b.discoveryLag.Told(name, discoveryIndex, now)
	}
	b.applyView()
	b.reportSeen()
	lease := b.lease
	lease.Age = raftlog.Clock() - b.view.Begun
	if b.view.Step == 0 || !(lease.Age < ruleset.LeaseOf(b.view.Rules)) {
		return ruleset.Lease{}, false
	}
	b.grantor.Given(pid)
	return lease, true
}

// given is the view as it was last taken: of the step that a process was just booked to be given, or later.
func (b *subscription) currentView() distribution.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// Highest gives the highest index of discovery's list that any process has told, here or elsewhere.
func (b *subscription) Highest() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.reportedIndex, b.view.Index, 0)
}

// Close ends it.
func (b *subscription) Close() {
	b.cancel()
	b.goroutines.Wait()
}

// Following is how a daemon below relays stands, for operators.
type SubscriptionStatus struct {
	Cluster         string   `json:"cluster"`
	HostName        string   `json:"me"`
	Upstreams       []string `json:"upstream"`
	CurrentUpstream string   `json:"asked"` // of them, the one that is asked now
	Depth           int      `json:"depth"` // of relays from here to the council
	Version         uint64   `json:"version"`
	Digest          string   `json:"mark,omitempty"` // of the part that this host needs
	Members         int      `json:"members"`        // of all that there are places for
	KnownMembers    int      `json:"known"`          // and those that this host is told of
	Step            uint64   `json:"step"`
	Settled         bool     `json:"settled"`
	// ago that a quorum confirmed it; below nought nothing has been
	ConfirmedAgoMillis    float64             `json:"read_ms"`
	PendingVersion        uint64              `json:"pending,omitempty"`
	UnknownRules          string              `json:"foreign,omitempty"` // what of the rules this program does not know
	SeenStep              uint64              `json:"seen"`              // the step that all processes here go by, or later
	OutdatedInstances     map[string]uint64   `json:"behind,omitempty"`  // instances that hold an older one
	DisconnectedInstances map[string]float64  `json:"cut_off,omitempty"` // instances here: ms since they last asked
	DiscoveryLags         []ruleset.Behind    `json:"lags,omitempty"`
	Counts                distribution.Counts `json:"counts"`
	Replica               struct {
		Written  int64 `json:"written"`
		Failed   int64 `json:"failed"`
		SetAside int64 `json:"aside"`
	} `json:"copies"`
}

// stands tells how it stands.
func (b *subscription) status() SubscriptionStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	status := SubscriptionStatus{Cluster: b.cluster, HostName: b.hostName, Upstreams: b.upstreams, Depth: b.view.Depth, ConfirmedAgoMillis: -1,
		Step: b.view.Step, Settled: b.view.Settled, UnknownRules: b.lease.Foreign, SeenStep: b.reportedStep,
		OutdatedInstances: map[string]uint64{}, DisconnectedInstances: map[string]float64{}}
	if b.feed == nil {
		return status
	}
	b.feed.With(func(f *distribution.Follower) {
		status.CurrentUpstream, status.Counts = b.upstreams[f.Current()], f.Counts()
	})
	status.Replica.Written, status.Replica.Failed, status.Replica.SetAside = b.replica.Counts()
	leaseMillis := initialLeaseMillis
	if b.view.Step > 0 {
		status.Version, status.Digest = b.view.Rules.Mark().Number, b.view.Rules.Mark().String()
		status.PendingVersion = b.view.Pending.Mark().Number
		status.ConfirmedAgoMillis, leaseMillis = raftlog.Clock()-b.view.Begun, ruleset.LeaseOf(b.view.Rules)
	}
	status.Members = len(b.lease.Version.Rules.Members)
	for _, member := range b.lease.Version.Rules.Members {
		if member.Name != "" {
			status.KnownMembers++
		}
	}
	for _, request := range b.requesters {
		if request.heldStep < b.view.Step {
			status.OutdatedInstances[request.name] = request.heldStep
		}
		ageMillis := float64(time.Since(request.requestedAt)) / float64(time.Millisecond)
		if ageMillis > leaseMillis || status.ConfirmedAgoMillis < 0 || status.ConfirmedAgoMillis > leaseMillis {
			status.DisconnectedInstances[request.name] = ageMillis
		}
	}
	status.DiscoveryLags = b.discoveryLag.Late(raftlog.Clock(), discoveryLagMillis)
	return status
}

// follows answers operators.
func (d *Daemon) handleSubscriptionStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	_ = e.Encode(d.rules.subscription.status())
}
