package raftlog

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/ruleset"
)

// batchEach is the least pause between two entries that say what hosts below have seen: a change reaches a
// zone's hosts over some hundred ms, and each entry is written by most daemons.
const hostStepsInterval = 100 * time.Millisecond

// mostBelow bounds the hosts whose word is kept here; members name no more.
const maxReportingHosts = 16384

// Word is what a quorum has confirmed last, for those that follow this daemon.
type ConfirmedState struct {
	Step            uint64
	ReadStartMillis float64 // ms of Clock's: when the reading began
	Settled         bool
	InForce         ruleset.Version  // not to be changed
	Pending         *ruleset.Version // agreed and waiting; nil: none is
}

// below is what those that follow this daemon have told.
type followerReports struct {
	hostSteps      map[string]uint64 // by host: what all of its processes go by, or later
	discoveryIndex int64             // the highest of discovery's list among them
	lastProposed   time.Time         // when some of it was last put to the log
}

// confirmed keeps what is in force as of a reading, under the lock. A daemon whose log is behind what it has
// told before (its store was given up) says nothing of it.
func (s *RulesetNode) recordConfirmed(begun float64) {
	st := s.activation.State()
	if begun <= s.confirmed.ReadStartMillis || st.Step < s.confirmed.Step || st.InForce.Number == 0 {
		return
	}
	s.confirmed = ConfirmedState{Step: st.Step, ReadStartMillis: begun, Settled: st.TransitionComplete(),
		InForce: st.InForce}
	if st.Pending != nil {
		v := st.Pending.Version
		s.confirmed.Pending = &v
	}
	select {
	case s.confirmations <- struct{}{}:
	default:
	}
}

// Word gives what a quorum has confirmed last; false where it has nothing yet.
func (s *RulesetNode) LastConfirmed() (ConfirmedState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed, s.confirmed.InForce.Number > 0
}

// Often has a quorum read more often than the gatekeepers of this host need, for those that follow.
func (s *RulesetNode) RequestFrequentReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantor.SetFrequentReads(true)
}

// Confirmed tells that another reading was confirmed since it was last taken from.
func (s *RulesetNode) Confirmations() <-chan struct{} { return s.confirmations }

// Told takes what all processes of hosts below go by, or something later, and the highest index of
// discovery's list there. What the council gains by goes into the log. Twice, late and in any order is fine.
func (s *RulesetNode) RecordHostSteps(all []ruleset.HostAck, index int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range all {
		if _, there := s.followers.hostSteps[h.Host]; there || len(s.followers.hostSteps) < maxReportingHosts {
			s.followers.hostSteps[h.Host] = max(s.followers.hostSteps[h.Host], h.Step)
		}
	}
	if index > s.followers.discoveryIndex {
		s.followers.discoveryIndex = index
		s.publishDiscoveryIndex()
	}
}

// newest has the other daemons told of the highest index of discovery's list here, under the lock.
func (s *RulesetNode) publishDiscoveryIndex() {
	most := s.followers.discoveryIndex
	for _, t := range s.clients {
		most = max(most, t.discoveryIndex)
	}
	s.Node.discoveryIndex.Store(most)
}

// batch gives the entry by which the council learns what hosts below have seen, if it gains by any, under the
// lock. It may be lost: it is put again until the council has it.
func (s *RulesetNode) hostStepsEntry(now time.Time) []byte {
	if len(s.followers.hostSteps) == 0 || now.Sub(s.followers.lastProposed) < hostStepsInterval {
		return nil
	}
	s.followers.lastProposed = now
	st := s.activation.State()
	if st.Pending == nil && len(st.Superseded) == 0 {
		return nil
	}
	all := make([]ruleset.HostAck, 0, len(s.followers.hostSteps))
	for _, h := range slices.Sorted(maps.Keys(s.followers.hostSteps)) {
		all = append(all, ruleset.HostAck{Host: h, Step: min(s.followers.hostSteps[h], st.Step)})
	}
	if all = st.UsefulAcks(all); len(all) == 0 {
		return nil
	}
	all = all[:min(len(all), ruleset.MaxAcksPerEntry)]
	raw, err := ruleset.LogEntry{Type: ruleset.EntryAckBatch, Acks: all}.Encode()
	if err != nil {
		return nil
	}
	return raw
}
