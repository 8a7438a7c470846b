package consensus

import "slices"

// ReadState allows the read that Node.ReadIndex registered as RequestID. The read may be served from the
// state at Index or later.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

// pendingRead is a registered read that waits until a quorum has acknowledged a heartbeat round.
type pendingRead struct {
	requestID uint64
	round     uint64
	index     uint64
}

// ReadIndex registers a read. The read is added to Ready.ReadStates once a quorum has confirmed that this
// replica is still the leader (Ongaro's dissertation, section 6.4). ReadIndex returns false if this replica
// is not an established leader.
func (n *Node) ReadIndex(requestID uint64) bool {
	if !n.IsEstablishedLeader() {
		return false
	}
	n.broadcastHeartbeat()
	read := pendingRead{requestID: requestID, round: n.heartbeatRound, index: n.commitIndex}
	n.pendingReads = append(n.pendingReads, read)
	n.confirmReads()
	return true
}

// confirmReads moves the pending reads whose heartbeat round a quorum has acknowledged to Ready.ReadStates.
func (n *Node) confirmReads() {
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(read pendingRead) bool {
		confirmed := n.membership.hasQuorum(func(id string) bool {
			return id == n.id || n.progress[id] != nil && n.progress[id].ackedRound >= read.round
		})
		if confirmed {
			n.ready.ReadStates = append(n.ready.ReadStates, ReadState{RequestID: read.requestID, Index: read.index})
		}
		return confirmed
	})
}
