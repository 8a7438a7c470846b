package raftlog

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/ruleset"
)

// batchEach is the least pause between two entries that say what hosts below have seen: a change reaches a
// zone's hosts over some hundred ms, and each entry is written by most daemons.
const batchEach = 100 * time.Millisecond

// mostBelow bounds the hosts whose word is kept here; members name no more.
const mostBelow = 16384

// Word is what a quorum has confirmed last, for those that follow this daemon.
type Word struct {
	Step    uint64
	Begun   float64 // ms of Clock's: when the reading began
	Settled bool
	InForce ruleset.Version  // not to be changed
	Pending *ruleset.Version // agreed and waiting; nil: none is
}

// below is what those that follow this daemon have told.
type below struct {
	seen  map[string]uint64 // by host: what all of its processes go by, or later
	index int64             // the highest of discovery's list among them
	put   time.Time         // when some of it was last put to the log
}

// confirmed keeps what is in force as of a reading, under the lock. A daemon whose log is behind what it has
// told before (its store was given up) says nothing of it.
func (s *Seat) confirmed(begun float64) {
	st := s.council.State()
	if begun <= s.word.Begun || st.Step < s.word.Step || st.InForce.Number == 0 {
		return
	}
	s.word = Word{Step: st.Step, Begun: begun, Settled: st.TransitionComplete(), InForce: st.InForce}
	if st.Pending != nil {
		v := st.Pending.Version
		s.word.Pending = &v
	}
	select {
	case s.read <- struct{}{}:
	default:
	}
}

// Word gives what a quorum has confirmed last; false where it has nothing yet.
func (s *Seat) Word() (Word, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.word, s.word.InForce.Number > 0
}

// Often has a quorum read more often than the gatekeepers of this host need, for those that follow.
func (s *Seat) Often() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steward.SetFrequentReads(true)
}

// Confirmed tells that another reading was confirmed since it was last taken from.
func (s *Seat) Confirmed() <-chan struct{} { return s.read }

// Told takes what all processes of hosts below go by, or something later, and the highest index of
// discovery's list there. What the council gains by goes into the log. Twice, late and in any order is fine.
func (s *Seat) Told(all []ruleset.HostAck, index int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range all {
		if _, there := s.below.seen[h.Host]; there || len(s.below.seen) < mostBelow {
			s.below.seen[h.Host] = max(s.below.seen[h.Host], h.Step)
		}
	}
	if index > s.below.index {
		s.below.index = index
		s.newest()
	}
}

// newest has the other daemons told of the highest index of discovery's list here, under the lock.
func (s *Seat) newest() {
	most := s.below.index
	for _, t := range s.tellers {
		most = max(most, t.index)
	}
	s.Council.index.Store(most)
}

// batch gives the entry by which the council learns what hosts below have seen, if it gains by any, under the
// lock. It may be lost: it is put again until the council has it.
func (s *Seat) batch(now time.Time) []byte {
	if len(s.below.seen) == 0 || now.Sub(s.below.put) < batchEach {
		return nil
	}
	s.below.put = now
	st := s.council.State()
	if st.Pending == nil && len(st.Superseded) == 0 {
		return nil
	}
	all := make([]ruleset.HostAck, 0, len(s.below.seen))
	for _, h := range slices.Sorted(maps.Keys(s.below.seen)) {
		all = append(all, ruleset.HostAck{Host: h, Step: min(s.below.seen[h], st.Step)})
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
