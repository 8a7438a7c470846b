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
	initialLeaseMillis = 1000.0 // until the first rules name theirs
	// discoveryLagMillis is how long an instance may be behind another's discovery index before it is listed.
	discoveryLagMillis = 3000.0
)

// subscription is a host's part in the ruleset below relays: it follows the relays, grants leases to the
// host's processes by what they send, and reports up the chain which step all processes of the host hold. The
// host has no vote, and others wait for it only by that report. It is safe for concurrent use, and no method
// blocks.
type subscription struct {
	cluster    string
	hostName   string
	log        zerolog.Logger
	history    history.Recorder  // nil if no history is written
	checkpoint *relay.Checkpoint // on disk, of the version received last
	changed    chan struct{}     // has room for one value
	ctx        context.Context   // ended by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex // guards all below
	upstreams    []string
	feed         *relay.Subscription  // nil until the first setUpstreams
	stopFeed     context.CancelFunc   // ends the feed
	grantor      ruleset.LeaseGrantor // which step each process holds
	discoveryLag *ruleset.IndexLag
	requesters   map[int]requester // by PID

	snapshot      distribution.Snapshot  // as applied last
	lease         ruleset.Lease          // of the snapshot
	rejected      [2]versioned.VersionID // of the rules and the pending ones that were invalid
	inForce       ruleset.Version        // the last one that this program knows all of
	reportedStep  uint64                 // the step last reported as seen
	reportedIndex int64                  // the highest discovery index on this host as last reported; -1: none
}

// requester is a process that has asked for its lease.
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

// setUpstreams makes the subscription ask these relays from now on; what was received before holds until its
// lease expires. The first call has to come after all processes that an earlier daemon has left have been
// booked: what the host has seen is reported up the chain at once, and cannot be taken back.
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

// onUpdate is called by the feed when the follower has received something.
func (s *subscription) onUpdate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applySnapshot()
}

// applySnapshot takes over the follower's snapshot, if it is later than the one applied last, and reports
// what there is to report. An invalid snapshot is logged once and changes nothing. The caller holds the lock.
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
				Msg("rules in force that this version does not know: instances stay as they are")
		}
		s.lease = lease
		s.checkpoint.Save(snapshot)
	}
	s.snapshot, s.lease.Step, s.lease.TransitionComplete = snapshot, snapshot.Step, snapshot.TransitionComplete
	if digests[0] != previous[0] {
		s.enterForce()
	}
	s.reportSeen()
}

// enterForce records that the snapshot has other rules in force than before, and signals it if this program
// knows all of them. The caller holds the lock.
func (s *subscription) enterForce() {
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

// leaseFromSnapshot returns the lease by a snapshot, without its age. Rules that this program does not
// know all of are left empty, with what it does not know in UnsupportedFeature or, of the pending ones, in
// PendingUnsupportedFeature.
func leaseFromSnapshot(snapshot *distribution.Snapshot) (lease ruleset.Lease, err error) {
	if lease.Version, lease.UnsupportedFeature, err = versionOf(snapshot.Rules); err != nil ||
		snapshot.Pending == nil {
		return lease, err
	}
	pending, unknown, err := versionOf(snapshot.Pending)
	lease.Pending, lease.PendingUnsupportedFeature = &pending.Rules, unknown
	return lease, err
}

// versionOf returns the version that a state holds; if this program does not know all of its rules, only its
// number, and what is not known.
func versionOf(state *versioned.State) (version ruleset.Version, unknown string, err error) {
	version, err = ruleset.VersionFromState(state)
	if errors.Is(err, ruleset.ErrUnsupported) {
		return ruleset.Version{Number: state.ID().Number}, err.Error(), nil
	}
	if err == nil {
		err = ruleset.ValidateSubset(&version.Rules)
	}
	return version, "", err
}

// reportSeen has the follower report the step that all processes of this host hold, and their highest
// discovery index, if either has changed. The caller holds the lock.
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

// Changed receives a value when another version has come in force.
func (s *subscription) Changed() <-chan struct{} { return s.changed }

// InForce returns the part of the version in force that this host needs; its number is 0 until one is known.
func (s *subscription) InForce() ruleset.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// ProcessStarted records a process of this host; adopted says that it ran before this daemon did.
func (s *subscription) ProcessStarted(pid int, adopted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantor.ProcessStarted(pid, adopted)
}

// ProcessExited records the end of a process.
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

// RenewLease records the step that a process holds and its discovery index (-1: none), and returns the lease
// for it, or false if none can be granted: no rules have been received, or their lease has expired.
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

// currentSnapshot returns the snapshot that was applied last: of the step for which a lease was granted last,
// or later.
func (s *subscription) currentSnapshot() distribution.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// HighestDiscoveryIndex returns the highest discovery index that any process has reported, on this host or
// elsewhere; 0 if none has.
func (s *subscription) HighestDiscoveryIndex() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.reportedIndex, s.snapshot.DiscoveryIndex, 0)
}

// Close ends the subscription, and returns when its goroutines have ended.
func (s *subscription) Close() {
	s.cancel()
	s.goroutines.Wait()
}
