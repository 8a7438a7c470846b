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
func (s *subscription) setUpstreams(upstreams []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(upstreams, s.upstreams) {
		return
	}
	follower := distribution.NewFollower(distribution.Config{Name: s.hostName, Cluster: s.cluster, Upstream: len(upstreams),
		Lease: initialLeaseMillis, Interest: ruleset.Interest{Host: s.hostName, Around: distribution.Around}, Seed: rand.Int63()},
		raftlog.Clock())
	if s.feed == nil {
		s.replica.Base(follower)
	} else {
		follower.Base(s.view.Rules, s.view.Pending)
		s.stopFeed()
	}
	client := relay.NewClient(upstreams, relay.AskPath)
	s.upstreams, s.follower, s.reportedStep = slices.Clone(upstreams), follower, 0
	feed := relay.NewFeed(follower, client, s.onUpdate)
	s.feed = feed
	var ctx context.Context
	ctx, s.stopFeed = context.WithCancel(s.ctx)
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		feed.Run(ctx)
		client.Close()
	}()
}

// news takes what the follower has come to know.
func (s *subscription) onUpdate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView()
}

// take goes over to what the follower knows, if that is later, and says up the chain what there is to say;
// under the lock.
func (s *subscription) applyView() {
	if s.feed == nil {
		return
	}
	view, ok := s.feed.View()
	digests := [2]versioned.Mark{view.Rules.Mark(), view.Pending.Mark()}
	if !ok || view.Step < s.view.Step || view.Step == s.view.Step && view.Begun < s.view.Begun || digests == s.rejected {
		return
	}
	rules, pending := s.view.Rules.Mark(), s.view.Pending.Mark()
	if view.Rules.Mark() != rules || view.Pending.Mark() != pending {
		lease, err := leaseFromView(&view)
		if err != nil {
			s.rejected = digests
			s.log.Error().Err(err).Msg("rules that make no sense: those before go on until their time")
			return
		}
		if lease.Foreign != "" {
			s.log.Error().Str("needs", lease.Foreign).
				Msg("rules in force that this program does not know: instances stay as they are")
		}
		s.lease = lease
		s.replica.Keep(view)
	}
	s.view, s.lease.Step, s.lease.Settled = view, view.Step, view.Settled
	if view.Rules.Mark() != rules {
		if s.history != nil {
			s.history.Write(history.Event{Kind: history.Gives, Version: view.Rules.Mark().Number,
				Age: raftlog.Clock() - view.Begun})
		}
		if s.lease.Foreign == "" {
			s.inForce = s.lease.Version
			select {
			case s.changed <- struct{}{}:
			default:
			}
		}
	}
	s.reportSeen()
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
func (s *subscription) reportSeen() {
	seenStep, highestIndex := s.grantor.Seen(s.view.Step), int64(-1)
	for _, request := range s.requesters {
		highestIndex = max(highestIndex, request.discoveryIndex)
	}
	if s.feed == nil || seenStep <= s.reportedStep && highestIndex == s.reportedIndex {
		return
	}
	newStep := seenStep > s.reportedStep
	s.reportedStep, s.reportedIndex = max(seenStep, s.reportedStep), highestIndex
	s.feed.With(func(f *distribution.Follower) {
		if f.Index(highestIndex); newStep {
			f.Tell([]distribution.HostStep{{Host: s.hostName, Step: seenStep}})
		}
	})
}

// Changed tells that another version than before is in force.
func (s *subscription) Changed() <-chan struct{} { return s.changed }

// InForce gives the version in force as far as it is known here: the part that this host needs.
func (s *subscription) InForce() ruleset.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Began tells of a process of this host's gatekeepers; before: it ran before this daemon did.
func (s *subscription) Began(pid int, adopted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantor.Began(pid, adopted)
}

// Ended tells that a process is no more.
func (s *subscription) Ended(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantor.Ended(pid)
	if request, known := s.requesters[pid]; known {
		s.discoveryLag.Left(request.name)
		delete(s.requesters, pid)
	}
	s.reportSeen()
}

// Asked answers a process of a gatekeeper, as raftlog.Seat's does.
func (s *subscription) Asked(pid int, name string, heldStep uint64, discoveryIndex int64) (ruleset.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := raftlog.Clock()
	if !s.grantor.Asked(pid, heldStep) {
		return ruleset.Lease{}, false
	}
	s.requesters[pid] = requester{name, heldStep, discoveryIndex, time.Now()}
	if discoveryIndex >= 0 {
		s.discoveryLag.Told(name, discoveryIndex, now)
	}
	s.applyView()
	s.reportSeen()
	lease := s.lease
	lease.Age = raftlog.Clock() - s.view.Begun
	if s.view.Step == 0 || !(lease.Age < ruleset.LeaseOf(s.view.Rules)) {
		return ruleset.Lease{}, false
	}
	s.grantor.Given(pid)
	return lease, true
}

// given is the view as it was last taken: of the step that a process was just booked to be given, or later.
func (s *subscription) currentView() distribution.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Highest gives the highest index of discovery's list that any process has told, here or elsewhere.
func (s *subscription) Highest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.reportedIndex, s.view.Index, 0)
}

// Close ends it.
func (s *subscription) Close() {
	s.cancel()
	s.goroutines.Wait()
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
func (s *subscription) status() SubscriptionStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := SubscriptionStatus{Cluster: s.cluster, HostName: s.hostName, Upstreams: s.upstreams, Depth: s.view.Depth, ConfirmedAgoMillis: -1,
		Step: s.view.Step, Settled: s.view.Settled, UnknownRules: s.lease.Foreign, SeenStep: s.reportedStep,
		OutdatedInstances: map[string]uint64{}, DisconnectedInstances: map[string]float64{}}
	if s.feed == nil {
		return report
	}
	s.feed.With(func(f *distribution.Follower) {
		report.CurrentUpstream, report.Counts = s.upstreams[f.Current()], f.Counts()
	})
	report.Replica.Written, report.Replica.Failed, report.Replica.SetAside = s.replica.Counts()
	leaseMillis := initialLeaseMillis
	if s.view.Step > 0 {
		report.Version, report.Digest = s.view.Rules.Mark().Number, s.view.Rules.Mark().String()
		report.PendingVersion = s.view.Pending.Mark().Number
		report.ConfirmedAgoMillis, leaseMillis = raftlog.Clock()-s.view.Begun, ruleset.LeaseOf(s.view.Rules)
	}
	report.Members = len(s.lease.Version.Rules.Members)
	for _, member := range s.lease.Version.Rules.Members {
		if member.Name != "" {
			report.KnownMembers++
		}
	}
	for _, request := range s.requesters {
		if request.heldStep < s.view.Step {
			report.OutdatedInstances[request.name] = request.heldStep
		}
		ageMillis := float64(time.Since(request.requestedAt)) / float64(time.Millisecond)
		if ageMillis > leaseMillis || report.ConfirmedAgoMillis < 0 || report.ConfirmedAgoMillis > leaseMillis {
			report.DisconnectedInstances[request.name] = ageMillis
		}
	}
	report.DiscoveryLags = s.discoveryLag.Late(raftlog.Clock(), discoveryLagMillis)
	return report
}

// follows answers operators.
func (d *Daemon) handleSubscriptionStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	_ = encoder.Encode(d.rules.subscription.status())
}
