package wal

import "willowdeck/internal/serving/consensus"

// Store is a log together with its intended content in memory, so that a segment whose write has failed can
// be replaced by a complete one. It is not safe for concurrent use.
type Store struct {
	log   *Log
	state consensus.DurableState // what the log has to contain, including batches whose write has failed
}

// NewStore returns a store of an open log and the state that it contains.
func NewStore(log *Log, state consensus.DurableState) *Store { return &Store{log: log, state: state} }

// Write makes batches durable. After an error none of them may be acknowledged before Repair has succeeded.
func (s *Store) Write(batches []consensus.WriteBatch) error {
	for _, batch := range batches {
		if err := s.state.Apply(batch); err != nil {
			return err
		}
	}
	if !s.log.Healthy() {
		return s.Repair()
	}
	return s.log.Append(batches)
}

// Rewrite begins a new segment that contains exactly state, as after a compaction. After an error none of it
// may be acknowledged before Repair has succeeded.
func (s *Store) Rewrite(state consensus.DurableState) error {
	s.state = state
	return s.Repair()
}

// Repair begins a new segment with the complete intended content.
func (s *Store) Repair() error { return s.log.Rewrite(s.state) }

// Size returns the size of the current segment in bytes.
func (s *Store) Size() int64 { return s.log.Size() }
