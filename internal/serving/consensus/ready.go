package consensus

import "willowdeck/internal/serving/wirepb"

// Ready is the work that the caller has to carry out. The order is free, with two exceptions: the messages
// of a write batch must be sent after the batch is durable, and Snapshot must be restored before
// CommittedEntries are applied.
type Ready struct {
	Messages         []*wirepb.Consensus
	Writes           []WriteBatch
	CommittedEntries []*wirepb.Entry  // to apply to the state machine, in this order
	Snapshot         *wirepb.Snapshot // to restore in place of the applied state; nil: none
	ReadStates       []ReadState
}

// Ready returns the work that has arisen since the last call.
func (n *Node) Ready() Ready {
	output := n.ready
	n.ready = Ready{}
	return output
}
