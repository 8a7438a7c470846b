package consensus

import (
	"github.com/pkg/errors"

	"willowdeck/internal/serving/wirepb"
)

// WriteBatch is what has to be durable before Messages may be sent. Nil parts are unchanged.
type WriteBatch struct {
	HardState *wirepb.HardState
	Entries   []*wirepb.Entry  // replace all stored entries from the first one's index on
	Snapshot  *wirepb.Snapshot // replaces the entire stored log
	Messages  []*wirepb.Consensus

	sequence uint64 // of the batches that the node has made, from 1
}

// DurableState is what the disk of a replica stores.
type DurableState struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.Snapshot
	Entries   []*wirepb.Entry
}

// BootstrapState returns the durable state of a founder before the first entry.
func BootstrapState(founders []string) DurableState {
	return DurableState{Snapshot: &wirepb.Snapshot{Membership: &wirepb.Membership{Replicas: founders}}}
}

// Apply applies a batch. It fails, and changes nothing, if the entries of the batch do not follow the stored
// ones.
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

// lastEntryOf returns the index and term of the last entry of the log once a batch is durable, 0 and 0 for a
// batch without entries and snapshot.
func lastEntryOf(batch WriteBatch) (uint64, uint64) {
	if count := len(batch.Entries); count > 0 {
		return batch.Entries[count-1].Index, batch.Entries[count-1].Term
	}
	return batch.Snapshot.GetIndex(), batch.Snapshot.GetTerm()
}
