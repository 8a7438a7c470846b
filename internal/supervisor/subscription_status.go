package supervisor

import (
	"time"

	"willowdeck/internal/distribution"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
)

// SubscriptionStatus is the status of a subscription that /fleet/relay returns.
type SubscriptionStatus struct {
	Cluster            string   `json:"cluster"`
	HostName           string   `json:"me"`
	Upstreams          []string `json:"upstream"`
	CurrentUpstream    string   `json:"asked"` // the relay of Upstreams that is in use
	Depth              int      `json:"depth"` // number of relays from here to the raft group
	Version            uint64   `json:"version"`
	Digest             string   `json:"mark,omitempty"` // of this host's part of the rules
	Members            int      `json:"members"`        // all members of the fleet
	KnownMembers       int      `json:"known"`          // members in this host's part of the rules
	Step               uint64   `json:"step"`
	TransitionComplete bool     `json:"settled"`
	// ConfirmedAgoMillis is the time since a quorum last confirmed the rules; -1 if it never has.
	ConfirmedAgoMillis float64 `json:"read_ms"`
	PendingVersion     uint64  `json:"pending,omitempty"`
	UnknownRules       string  `json:"foreign,omitempty"` // unsupported features of the rules
	SeenStep           uint64  `json:"seen"`              // reported upstream as held by all processes
	// OutdatedInstances maps the instances that hold an older step than Step to the step that they hold.
	OutdatedInstances map[string]uint64 `json:"behind,omitempty"`
	// DisconnectedInstances maps the instances without a valid lease to the milliseconds since their last lease
	// request.
	DisconnectedInstances map[string]float64          `json:"cut_off,omitempty"`
	DiscoveryLags         []ruleset.LaggingMember     `json:"lags,omitempty"`
	Counts                distribution.FollowerCounts `json:"counts"`
	Checkpoint            struct {                    // counts of the checkpoint file since the daemon's start
		Written  int64 `json:"written"`
		Failed   int64 `json:"failed"`
		SetAside int64 `json:"aside"` // unusable files moved aside
	} `json:"copies"`
}

// status returns the current status.
func (s *subscription) status() SubscriptionStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := SubscriptionStatus{
		Cluster:               s.cluster,
		HostName:              s.hostName,
		Upstreams:             s.upstreams,
		Depth:                 s.snapshot.Depth,
		ConfirmedAgoMillis:    -1,
		Step:                  s.snapshot.Step,
		TransitionComplete:    s.snapshot.TransitionComplete,
		UnknownRules:          s.lease.UnsupportedFeature,
		SeenStep:              s.reportedStep,
		OutdatedInstances:     map[string]uint64{},
		DisconnectedInstances: map[string]float64{},
	}
	if s.feed == nil {
		return status
	}
	s.feed.WithFollower(func(f *distribution.Follower) {
		status.CurrentUpstream, status.Counts = s.upstreams[f.CurrentUpstream()], f.Counts()
	})
	status.Checkpoint.Written, status.Checkpoint.Failed, status.Checkpoint.SetAside = s.checkpoint.Counts()
	leaseMillis := initialLeaseMillis
	if s.snapshot.Step > 0 {
		status.Version, status.Digest = s.snapshot.Rules.ID().Number, s.snapshot.Rules.ID().String()
		status.PendingVersion = s.snapshot.Pending.ID().Number
		status.ConfirmedAgoMillis = raftlog.BootClockMillis() - s.snapshot.ReadStartMillis
		leaseMillis = ruleset.StateLeaseMillis(s.snapshot.Rules)
	}
	status.Members = len(s.lease.Version.Rules.Members)
	for _, member := range s.lease.Version.Rules.Members {
		if member.Name != "" {
			status.KnownMembers++
		}
	}
	s.addInstances(&status, leaseMillis)
	status.DiscoveryLags = s.discoveryLag.Lagging(raftlog.BootClockMillis(), discoveryLagMillis)
	return status
}

// addInstances adds the outdated and the disconnected instances to the status. The caller holds the lock.
func (s *subscription) addInstances(status *SubscriptionStatus, leaseMillis float64) {
	noLease := status.ConfirmedAgoMillis < 0 || status.ConfirmedAgoMillis > leaseMillis
	for _, request := range s.requesters {
		if request.heldStep < s.snapshot.Step {
			status.OutdatedInstances[request.name] = request.heldStep
		}
		ageMillis := float64(time.Since(request.requestedAt)) / float64(time.Millisecond)
		if noLease || ageMillis > leaseMillis {
			status.DisconnectedInstances[request.name] = ageMillis
		}
	}
}
