package consensus

import (
	"github.com/pkg/errors"

	"willowdeck/internal/serving/wirepb"
)

// Persist is what has to be on disk before Messages may be sent. Nil parts are unchanged.
type WriteBatch struct {
	HardState *wirepb.HardState
	Entries   []*wirepb.Entry  // replace all stored entries from the first one's index on
	Snapshot  *wirepb.Snapshot // replaces the stored log as a whole
	Messages  []*wirepb.Consensus

	sequence uint64 // counted by the node
}

// Stored is what a disk holds of a replica.
type DurableState struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.Snapshot
	Entries   []*wirepb.Entry
}

// Founding returns what the disk of a founder holds before the first entry.
func BootstrapState(founders []string) DurableState {
	return DurableState{Snapshot: &wirepb.Snapshot{Membership: &wirepb.Membership{Replicas: founders}}}
}

// Apply carries a batch out on what a disk holds. It fails, and changes nothing, where the entries of the
// batch do not follow what is stored.
func (s *DurableState) Apply(batch WriteBatch) error {
	next := *s
	if batch.Snapshot != nil {
		next.Snapshot = batch.Snapshot
		next.Entries = nil
	}
	if batch.HardState != nil {
		next.HardState = batch.HardState
	}
	if len(batch.Entries) > 0 {
		base := next.Snapshot.GetIndex()
		first := batch.Entries[0].Index
		if first <= base || first > base+uint64(len(next.Entries))+1 {
			return errors.Errorf("entry %d does not follow entry %d: the log has a hole", first,
				base+uint64(len(next.Entries)))
		}
		kept := first - base - 1
		next.Entries = append(next.Entries[:kept:kept], batch.Entries...)
	}
	*s = next
	return nil
}

// lastOf returns the index and term up to which a batch brings the log on disk, or 0.
func lastEntryOf(batch WriteBatch) (uint64, uint64) {
	if count := len(batch.Entries); count > 0 {
		return batch.Entries[count-1].Index, batch.Entries[count-1].Term
	}
	return batch.Snapshot.GetIndex(), batch.Snapshot.GetTerm()
}
