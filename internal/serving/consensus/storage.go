package consensus

import (
	"github.com/pkg/errors"

	"willowdeck/internal/serving/wirepb"
)

// WriteBatch is a change of the durable state, which has to be durable before Messages may be sent. A part
// that is nil does not change.
type WriteBatch struct {
	HardState *wirepb.HardState
	Entries   []*wirepb.Entry  // replace all stored entries from the index of Entries[0] on
	Snapshot  *wirepb.Snapshot // replaces the entire stored log
	Messages  []*wirepb.Consensus

	sequence uint64 // number of the batch among those of the node, from 1
}

// DurableState is the state that a replica stores on its disk.
type DurableState struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.Snapshot
	Entries   []*wirepb.Entry
}

// BootstrapState returns the durable state of a founder before the first entry.
func BootstrapState(founders []string) DurableState {
	return DurableState{Snapshot: &wirepb.Snapshot{Membership: &wirepb.Membership{Replicas: founders}}}
}

// Apply applies a batch. It returns an error, and changes nothing, if the entries of the batch neither
// follow nor replace stored entries.
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
			return errors.Errorf("entry %d does not follow entry %d: entries are missing in the log", first,
				base+uint64(len(next.Entries)))
		}
		kept := first - base - 1
		next.Entries = append(next.Entries[:kept:kept], batch.Entries...)
	}
	*s = next
	return nil
}

// lastEntryOf returns the index and term of the last entry that a batch writes, or that its snapshot covers
// if it has no entries. It returns 0 and 0 for a batch without entries and snapshot.
func lastEntryOf(batch WriteBatch) (uint64, uint64) {
	if count := len(batch.Entries); count > 0 {
		return batch.Entries[count-1].Index, batch.Entries[count-1].Term
	}
	return batch.Snapshot.GetIndex(), batch.Snapshot.GetTerm()
}
