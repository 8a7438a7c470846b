package consensus

import "willowdeck/internal/serving/wirepb"

// DurableStateAfter returns the state that the disk has to store once it has a snapshot: the snapshot, the
// entries after it, and the hard state.
func (n *Node) DurableStateAfter(snapshot *wirepb.Snapshot) DurableState {
	return DurableState{
		HardState: n.hardState(), Snapshot: snapshot, Entries: n.log.entriesAfter(snapshot.Index),
	}
}

// CreateSnapshot returns a snapshot of the state machine's data at the applied index.
func (n *Node) CreateSnapshot(data []byte) *wirepb.Snapshot {
	term, _ := n.log.term(n.appliedIndex)
	members, _ := n.log.membershipAt(n.appliedIndex)
	return &wirepb.Snapshot{Index: n.appliedIndex, Term: term, Membership: members.message(), Data: data}
}

// Compact makes a snapshot the base of the log in memory. It does nothing if the snapshot is not newer than
// the log's, or is beyond the applied index.
func (n *Node) Compact(snapshot *wirepb.Snapshot) {
	if snapshot.Index <= n.log.snapshot.Index || snapshot.Index > n.appliedIndex {
		return
	}
	n.log.compact(snapshot, n.options.RetainedLogBytes)
}
