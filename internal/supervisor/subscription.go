package supervisor

import (
	"context"
	"errors"
	"math/rand"
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
	// initialLeaseMillis is the lease duration in use until the first rules with their own duration arrive.
	initialLeaseMillis = 1000.0
	// discoveryLagMillis is how long an instance may report an older discovery index than another instance
	// before the status lists it.
	discoveryLagMillis = 3000.0
)

// subscription provides the ruleset to a host that is not a voter. It receives the ruleset from relays,
// grants leases on it to the host's processes, and reports upstream the step that all processes of the host
// hold. The host has no vote; its only influence on an activation is that report, for which the raft group
// may wait. A subscription is safe for concurrent use, and no method blocks except Close.
type subscription struct {
	cluster    string
	hostName   string
	log        zerolog.Logger
	history    history.Recorder  // nil if no history is written
	checkpoint *relay.Checkpoint // of the snapshot applied last, on disk
	changed    chan struct{}     // buffered, capacity 1
	ctx        context.Context   // canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	upstreams    []string
	feed         *relay.Subscription  // nil until the first setUpstreams
	stopFeed     context.CancelFunc   // stops the feed
	grantor      ruleset.LeaseGrantor // tracks the step that each process holds
	discoveryLag *ruleset.IndexLag
	requesters   map[int]requester // by PID

	snapshot      distribution.Snapshot  // the snapshot applied last
	lease         ruleset.Lease          // made from snapshot
	rejected      [2]versioned.VersionID // rules and pending rules of the last invalid snapshot
	inForce       ruleset.Version        // last version in force that this program fully supports
	reportedStep  uint64                 // highest step reported as held by all processes to these upstreams
	reportedIndex int64                  // highest discovery index in the last report; -1: none
}

// requester is the latest lease request of a process.
type requester struct {
	name           string
	heldStep       uint64
	discoveryIndex int64 // -1: none
	requestedAt    time.Time
}

// newSubscription returns a subscription without upstreams. The recorder may be nil.
func newSubscription(
	cluster string,
	settings *RelaySettings,
	recorder history.Recorder,
	log zerolog.Logger,
) *subscription {
	s := &subscription{
		cluster:       cluster,
		hostName:      settings.HostName,
		log:           log,
		history:       recorder,
		checkpoint:    relay.NewCheckpoint(settings.StorePath, cluster, log),
		changed:       make(chan struct{}, 1),
		discoveryLag:  ruleset.NewIndexLag(),
		requesters:    map[int]requester{},
		reportedIndex: -1,
	}
	s.snapshot.DiscoveryIndex = -1
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.checkpoint.Run(s.ctx)
	}()
	return s
}

// setUpstreams subscribes to these relays instead of the previous ones; the rules received so far stay valid
// until their lease expires. Before the first call, all processes that an earlier daemon left running must
// have been recorded with ProcessStarted: the step that all processes hold is reported upstream at once, and
// a report cannot be withdrawn.
func (s *subscription) setUpstreams(upstreams []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(upstreams, s.upstreams) {
		return
	}
	follower := distribution.NewFollower(distribution.FollowerConfig{
		Name:        s.hostName,
		Cluster:     s.cluster,
		Upstreams:   len(upstreams),
		LeaseMillis: initialLeaseMillis,
		Interest:    ruleset.Interest{Host: s.hostName, Around: distribution.RingRadius},
		Seed:        rand.Int63(),
	}, raftlog.BootClockMillis())
	if s.feed == nil {
		s.checkpoint.LoadInto(follower)
	} else {
		follower.AddBases(s.snapshot.Rules, s.snapshot.Pending)
		s.stopFeed()
	}
	client := relay.NewClient(upstreams, relay.RequestPath)
	s.upstreams, s.reportedStep = slices.Clone(upstreams), 0
	feed := relay.NewSubscription(follower, client, s.onUpdate)
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

// onUpdate applies the follower's snapshot. The feed calls it after the follower has received an update.
func (s *subscription) onUpdate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applySnapshot()
}

// applySnapshot applies the follower's snapshot unless it is older than the one applied last, and calls
// reportSeen. An invalid snapshot is logged once and changes nothing. The caller holds the lock.
func (s *subscription) applySnapshot() {
	if s.feed == nil {
		return
	}
	snapshot, ok := s.feed.Snapshot()
	digests := [2]versioned.VersionID{snapshot.Rules.ID(), snapshot.Pending.ID()}
	earlier := snapshot.Step < s.snapshot.Step ||
		snapshot.Step == s.snapshot.Step && snapshot.ReadStartMillis < s.snapshot.ReadStartMillis
	if !ok || earlier || digests == s.rejected {
		return
	}
	previous := [2]versioned.VersionID{s.snapshot.Rules.ID(), s.snapshot.Pending.ID()}
	if digests != previous {
		lease, err := leaseFromSnapshot(&snapshot)
		if err != nil {
			s.rejected = digests
			s.log.Error().Err(err).
				Msg("invalid rules received: the previous ones stay in force until their lease expires")
			return
		}
		if lease.UnsupportedFeature != "" {
			s.log.Error().Str("needs", lease.UnsupportedFeature).
				Msg("rules in force need a feature that this version lacks: instances stay as they are")
		}
		s.lease = lease
		s.checkpoint.Save(snapshot)
	}
	s.snapshot, s.lease.Step, s.lease.TransitionComplete = snapshot, snapshot.Step, snapshot.TransitionComplete
	if digests[0] != previous[0] {
		s.activateRules()
	}
	s.reportSeen()
}

// activateRules records in the history that the snapshot has other rules in force than the one before. If
// this program supports all of these rules, it makes them the version in force and signals the change. The
// caller holds the lock.
func (s *subscription) activateRules() {
	if s.history != nil {
		s.history.Write(history.Event{Kind: history.ReportedInForce, Version: s.snapshot.Rules.ID().Number,
			Age: raftlog.BootClockMillis() - s.snapshot.ReadStartMillis})
	}
	if s.lease.UnsupportedFeature != "" {
		return
	}
	s.inForce = s.lease.Version
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// leaseFromSnapshot returns the lease of a snapshot's rules and pending rules, without age and step. If this
// program does not support all of the rules, they are left empty and UnsupportedFeature says what is not
// supported; PendingUnsupportedFeature does the same for the pending rules.
func leaseFromSnapshot(snapshot *distribution.Snapshot) (lease ruleset.Lease, err error) {
	if lease.Version, lease.UnsupportedFeature, err = versionOf(snapshot.Rules); err != nil ||
		snapshot.Pending == nil {
		return lease, err
	}
	pending, unsupported, err := versionOf(snapshot.Pending)
	lease.Pending, lease.PendingUnsupportedFeature = &pending.Rules, unsupported
	return lease, err
}

// versionOf returns the version that a state holds. If this program does not support all of its rules, the
// version has only its number, and unsupported says what is not supported.
func versionOf(state *versioned.State) (version ruleset.Version, unsupported string, err error) {
	version, err = ruleset.VersionFromState(state)
	if errors.Is(err, ruleset.ErrUnsupported) {
		return ruleset.Version{Number: state.ID().Number}, err.Error(), nil
	}
	if err == nil {
		err = ruleset.ValidateSubset(&version.Rules)
	}
	return version, "", err
}

// reportSeen makes the follower report the step that all processes of this host hold and their highest
// discovery index, if the step has increased or the index has changed. The caller holds the lock.
func (s *subscription) reportSeen() {
	seenStep, highestIndex := s.grantor.AckedStep(s.snapshot.Step), int64(-1)
	for _, request := range s.requesters {
		highestIndex = max(highestIndex, request.discoveryIndex)
	}
	if s.feed == nil || seenStep <= s.reportedStep && highestIndex == s.reportedIndex {
		return
	}
	newStep := seenStep > s.reportedStep
	s.reportedStep, s.reportedIndex = max(seenStep, s.reportedStep), highestIndex
	s.feed.WithFollower(func(f *distribution.Follower) {
		if f.SetDiscoveryIndex(highestIndex); newStep {
			f.ReportHostAcks([]distribution.HostAck{{Host: s.hostName, Step: seenStep}})
		}
	})
}

// Changed returns a channel that receives a value when another version comes into force.
func (s *subscription) Changed() <-chan struct{} { return s.changed }

// InForce returns the part of the version in force that this host needs. The version number is 0 until a
// version is known.
func (s *subscription) InForce() ruleset.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// ProcessStarted records a process of this host. adopted is true if an earlier daemon started the process.
func (s *subscription) ProcessStarted(pid int, adopted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantor.ProcessStarted(pid, adopted)
}

// ProcessExited records the exit of a process and reports the step that the remaining processes hold.
func (s *subscription) ProcessExited(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantor.ProcessExited(pid)
	if request, known := s.requesters[pid]; known {
		s.discoveryLag.Remove(request.name)
		delete(s.requesters, pid)
	}
	s.reportSeen()
}

// RenewLease records the step that a process holds and its discovery index (-1: none). It returns a lease for
// the process, or false if none can be granted: no rules have been received, their lease has expired, or too
// many processes are recorded.
func (s *subscription) RenewLease(
	pid int,
	name string,
	heldStep uint64,
	discoveryIndex int64,
) (ruleset.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := raftlog.BootClockMillis()
	if !s.grantor.RecordRequest(pid, heldStep) {
		return ruleset.Lease{}, false
	}
	s.requesters[pid] = requester{name, heldStep, discoveryIndex, time.Now()}
	if discoveryIndex >= 0 {
		s.discoveryLag.Report(name, discoveryIndex, now)
	}
	s.applySnapshot()
	s.reportSeen()
	lease := s.lease
	lease.AgeMillis = raftlog.BootClockMillis() - s.snapshot.ReadStartMillis
	if s.snapshot.Step == 0 || !(lease.AgeMillis < ruleset.StateLeaseMillis(s.snapshot.Rules)) {
		return ruleset.Lease{}, false
	}
	s.grantor.RecordGrant(pid)
	return lease, true
}

// currentSnapshot returns the snapshot that was applied last. Its step is that of the lease granted last, or
// a later one.
func (s *subscription) currentSnapshot() distribution.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// HighestDiscoveryIndex returns the highest discovery index that any process has reported, on this host or
// another, or 0 if none has.
func (s *subscription) HighestDiscoveryIndex() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.reportedIndex, s.snapshot.DiscoveryIndex, 0)
}

// Close ends the subscription and returns when its goroutines have ended.
func (s *subscription) Close() {
	s.cancel()
	s.goroutines.Wait()
}
