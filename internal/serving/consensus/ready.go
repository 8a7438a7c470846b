package consensus

import "willowdeck/internal/serving/wirepb"

// Ready is what the caller has to do. The order is free, except that the messages of a write batch are sent
// after it is durable, and Snapshot is restored before CommittedEntries are applied.
type Ready struct {
	Messages         []*wirepb.Consensus
	Writes           []WriteBatch
	CommittedEntries []*wirepb.Entry  // to apply, in order
	Snapshot         *wirepb.Snapshot // replaces the applied state
	ReadStates       []ReadState
}

// Ready returns what the caller has to do since the last call.
func (n *Node) Ready() Ready {
	output := n.ready
	n.ready = Ready{}
	return output
}
