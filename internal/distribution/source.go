package distribution

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// maxNameBytes bounds the names of clusters, senders and hosts.
const maxNameBytes = 200

// Source responds to requests from below with a snapshot, which is a raft group's own or a Follower's. It is
// not safe for concurrent use.
type Source struct {
	name, cluster string
	config        SourceConfig

	hasSnapshot bool
	snapshot    Snapshot
	versions    versionCache

	hostAcks   map[string]uint64 // highest known step by host
	unreported map[string]bool   // hosts whose step is newer than at the last TakeHostAcks

	indexes    indexTracker
	fullStates fullStateLimiter
	counts     SourceCounts
}

// NewSource makes a source that has no snapshot yet.
func NewSource(name, cluster string, config SourceConfig) *Source {
	config = config.withDefaults()
	return &Source{
		name:       name,
		cluster:    cluster,
		config:     config,
		snapshot:   Snapshot{DiscoveryIndex: -1},
		versions:   newVersionCache(config.RetainedVersions, config.CachedSelections),
		hostAcks:   map[string]uint64{},
		unreported: map[string]bool{},
		indexes:    newIndexTracker(config.TrackedClients),
		fullStates: newFullStateLimiter(config.FullStateBytesPerSecond, config.FullStateBurstBytes),
	}
}

// Publish replaces the snapshot. One of a lower step, or of the same step and an older read, is ignored.
func (s *Source) Publish(next Snapshot) {
	if next.Rules == nil || s.hasSnapshot && (next.Step < s.snapshot.Step ||
		next.Step == s.snapshot.Step && next.ReadStartMillis < s.snapshot.ReadStartMillis) {
		return
	}
	if !s.hasSnapshot || next.Rules.ID() != s.snapshot.Rules.ID() ||
		next.Pending.ID() != s.snapshot.Pending.ID() {
		s.versions.replace(next.Rules, next.Pending)
	}
	if s.hasSnapshot {
		next.ReadStartMillis = math.Max(next.ReadStartMillis, s.snapshot.ReadStartMillis)
	}
	s.hasSnapshot, s.snapshot = true, next
}

// Respond answers a request at a time that was taken after the request had come, by the clock of the
// snapshot's ReadStartMillis. The response is not to be changed. An error names what is wrong with the
// request.
func (s *Source) Respond(request *Request, now float64) (*Response, error) {
	s.counts.Requests++
	if err := s.validate(request); err != nil {
		s.counts.Rejected++
		return nil, err
	}
	s.recordHostAcks(request.HostAcks)
	s.indexes.record(request.Sender, request.DiscoveryIndex, now)
	r := &Response{
		FormatVersion:  FormatVersion,
		Cluster:        s.cluster,
		Sender:         s.name,
		Incarnation:    s.config.Incarnation,
		DiscoveryIndex: -1,
		Nonce:          request.Nonce,
	}
	if !s.hasSnapshot {
		return r, nil
	}
	selected := s.versions.selection(request.Interest)
	r.Depth, r.Step, r.TransitionComplete = s.snapshot.Depth, s.snapshot.Step, s.snapshot.TransitionComplete
	r.AgeMillis = math.Max(now-s.snapshot.ReadStartMillis, 0)
	r.DiscoveryIndex = max(s.snapshot.DiscoveryIndex, s.HighestDiscoveryIndex(now))
	r.Rules, r.Pending = selected.rules.ID(), selected.pending.ID()
	if r.Rules == request.Rules && (r.Pending.IsNone() || r.Pending == request.Pending) || request.RenewalOnly {
		s.counts.Renewals++
		return r, nil
	}
	if r.Rules != request.Rules && r.Rules != request.Pending && !s.addRules(r, request, selected, now) {
		return r, nil
	}
	if r.Pending != request.Pending {
		r.PendingDelta = selected.pendingDelta
	}
	return r, nil
}

// addRules adds the selected rules to a response: as a delta where the requester's base is retained, and in
// full else. Without capacity for a full state it defers the requester and returns false.
func (s *Source) addRules(r *Response, request *Request, selected *selection, now float64) bool {
	rules := selected.rules
	switch base := s.versions.baseSubset(request.Rules, request.Interest); {
	case base != nil:
		r.RulesDelta = s.versions.delta(base, rules)
		s.counts.Deltas++
	case s.fullStates.take(rules.Bytes(), now):
		r.RulesDelta = s.versions.delta(nil, rules)
		s.counts.FullStates++
		s.counts.FullStateBytes += int64(rules.Bytes())
	default:
		r.RetryAfterMillis = s.fullStates.retryAfter(rules.Bytes())
		s.counts.Deferred++
		return false
	}
	return true
}

// validate returns an error that begins with the key of the first field that is wrong.
func (s *Source) validate(r *Request) error {
	switch {
	case r.FormatVersion != FormatVersion:
		return fmt.Errorf("form: %d is not supported", r.FormatVersion)
	case r.Cluster != s.cluster:
		return fmt.Errorf("cluster: %q is not this one", r.Cluster)
	case r.Sender == "" || len(r.Sender) > maxNameBytes:
		return fmt.Errorf("from: a name has 1 to %d bytes, not %d", maxNameBytes, len(r.Sender))
	case len(r.HostAcks) > MaxHostAcks:
		return fmt.Errorf("seen: %d are more than %d", len(r.HostAcks), MaxHostAcks)
	}
	return r.Interest.Check()
}

// recordHostAcks merges acks by the highest step of each host.
func (s *Source) recordHostAcks(acks []HostAck) {
	for _, ack := range acks {
		known, exists := s.hostAcks[ack.Host]
		if ack.Step <= known || ack.Host == "" || len(ack.Host) > maxNameBytes {
			continue
		}
		if !exists && len(s.hostAcks) >= s.config.TrackedHosts {
			s.counts.DroppedHosts++
			host := lowestStepHost(s.hostAcks)
			delete(s.hostAcks, host)
			delete(s.unreported, host)
		}
		s.hostAcks[ack.Host], s.unreported[ack.Host] = ack.Step, true
		s.counts.HostAcks++
	}
}

// TakeHostAcks gives the acks that are new since its last call, for Follower.ReportHostAcks or the raft
// group.
func (s *Source) TakeHostAcks() []HostAck {
	acks := make([]HostAck, 0, len(s.unreported))
	for host := range s.unreported {
		acks = append(acks, HostAck{Host: host, Step: s.hostAcks[host]})
	}
	clear(s.unreported)
	return sortByHost(acks)
}

// HostAcks gives all acks.
func (s *Source) HostAcks() []HostAck {
	acks := make([]HostAck, 0, len(s.hostAcks))
	for host, step := range s.hostAcks {
		acks = append(acks, HostAck{Host: host, Step: step})
	}
	return sortByHost(acks)
}

func sortByHost(acks []HostAck) []HostAck {
	slices.SortFunc(acks, func(a, b HostAck) int { return cmp.Compare(a.Host, b.Host) })
	return acks
}

// HighestDiscoveryIndex gives the highest index of the discovery service's list that clients have reported
// lately; negative: none.
func (s *Source) HighestDiscoveryIndex(now float64) int64 { return s.indexes.highestAt(now) }

// Counts gives what the source has met.
func (s *Source) Counts() SourceCounts { return s.counts }
