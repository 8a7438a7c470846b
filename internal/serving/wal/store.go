package wal

import "willowdeck/internal/serving/consensus"

// Store is a log together with a copy of what it should hold, so that a segment whose write has failed can be
// replaced by a whole one. It is not safe for concurrent use.
type Store struct {
	log  *Log
	held consensus.DurableState
}

// NewStore makes a store of an open log and what it holds.
func NewStore(log *Log, held consensus.DurableState) *Store { return &Store{log: log, held: held} }

// Write puts batches on disk. After an error nothing of them counts before Repair has succeeded.
func (s *Store) Write(batches []consensus.WriteBatch) error {
	for _, batch := range batches {
		if err := s.held.Apply(batch); err != nil {
			return err
		}
	}
	if !s.log.Healthy() {
		return s.Repair()
	}
	return s.log.Append(batches)
}

// Rewrite begins a new segment that holds exactly stored. After an error nothing of it counts before Repair
// has succeeded.
func (s *Store) Rewrite(stored consensus.DurableState) error {
	s.held = stored
	return s.Repair()
}

// Repair begins a new segment that holds all that should be on disk.
func (s *Store) Repair() error { return s.log.Rewrite(s.held) }

// Size returns the bytes of the present segment.
func (s *Store) Size() int64 { return s.log.Size() }
