package stateview

import (
	"slices"

	"willowdeck/internal/serving/wirepb"
)

// Position describes the state that a subscriber already has.
type Position struct {
	Vector     *wirepb.VersionVector
	Generation uint64            // of its configuration; 0: none
	StateIndex uint64            // log index of its committed state
	Demands    map[string]uint64 // by demandKey: the sequence number that was sent last on this link
}

// Position returns the position with which the store subscribes to a provider. Its Demands are empty, so that
// the provider sends all demands on a new link.
func (s *Store) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := Position{Vector: s.catalog.Vector(), StateIndex: s.stateIndex}
	if s.document != nil {
		position.Generation = s.document.Generation
	}
	return position
}

// Apply applies an update from a provider. It returns false if the update's configuration cannot be applied
// to the one in force here, as for a delta from another generation: the committed state then stays as it
// was, and the subscriber has to subscribe again to get a full update. Committed state that is older than
// the store's is ignored.
func (s *Store) Apply(update *wirepb.WatchUpdate) (usable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	if update.QuorumContact {
		changed = update.Synced && !s.synced
		s.confirmQuorumContact(update.Synced)
	}
	usable = true
	if update.StateIndex >= s.stateIndex {
		applied, ok := s.applyCommitted(update)
		changed = changed || applied
		usable = ok
	}
	if len(s.catalog.Merge(s.clock(), update.Records, update.Vector)) > 0 {
		changed = true
	}
	if update.Synced && update.QuorumContact && s.catalog.DropUnknownOrigins(update.Vector) {
		changed = true
	}
	s.mergeDemands(update.Demands)
	if changed {
		s.notify()
	}
	return usable
}

// applyCommitted applies the parts of an update that were committed to the log. s.mu must be held.
func (s *Store) applyCommitted(update *wirepb.WatchUpdate) (changed, usable bool) {
	if update.Configuration != nil {
		document, err := s.document.Apply(update.Configuration)
		if err != nil {
			return false, false
		}
		s.setDocument(document)
		changed = true
	}
	if update.EvacuationsSet && !slices.Equal(s.evacuated, update.Evacuated) {
		s.evacuated = slices.Clone(update.Evacuated)
		changed = true
	}
	s.stateIndex = update.StateIndex
	return changed, true
}

// UpdateSince returns an update with the state that a subscriber at position lacks, and the subscriber's
// position after it has applied the update. If nothing is missing, the update serves as a heartbeat with the
// version vector, the log index and, unless the subscriber's log index is newer, the evacuated zones.
func (s *Store) UpdateSince(position Position) (*wirepb.WatchUpdate, Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := &wirepb.WatchUpdate{
		QuorumContact: s.hasQuorumContact(),
		Synced:        s.synced,
		StateIndex:    s.stateIndex,
	}
	next := position
	if s.stateIndex >= position.StateIndex {
		next.StateIndex = s.stateIndex
		update.EvacuationsSet = true
		update.Evacuated = s.evacuated
		if s.document != nil && s.document.Generation != position.Generation {
			update.Configuration = s.configurationUpdate(position.Generation)
			next.Generation = s.document.Generation
		}
	}
	update.Records = s.catalog.Since(s.clock(), position.Vector)
	update.Vector = s.catalog.Vector()
	update.Demands, next.Demands = s.demandsSince(position.Demands)
	next.Vector = update.Vector
	return update, next
}

// configurationUpdate returns the delta from the subscriber's generation, or a full update if that generation
// is not in the history. s.mu must be held.
func (s *Store) configurationUpdate(generation uint64) *wirepb.ConfigurationUpdate {
	for _, document := range s.history {
		if generation != 0 && document.Generation == generation {
			return document.UpdateTo(s.document)
		}
	}
	return s.document.FullUpdate()
}
