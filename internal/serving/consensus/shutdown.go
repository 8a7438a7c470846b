package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

const takeOverInterval = 250 * time.Millisecond

// departure is what a replica that is to stop goes by.
type departure struct {
	begun        bool
	since        time.Duration
	told         bool // the leader has spoken since
	successor    bool // and knows a replica that may take over a seat
	nextTakeOver time.Duration
}

// milliseconds returns for how long the departure has been under way.
func (d *departure) milliseconds(now time.Duration) uint64 {
	if !d.begun {
		return 0
	}
	return uint64((now - d.since) / time.Millisecond)
}

// heard notes what the leader says.
func (d *departure) heard(successor bool) {
	d.told = d.begun
	d.successor = successor
}

// Leave begins the end of this replica's part: it hands the lead over, and asks that its seat be taken over.
// Its caller goes on with it until MayStop.
func (n *Node) Leave() {
	if n.leaving.begun {
		return
	}
	n.leaving = departure{begun: true, since: n.now}
	if n.role != Leader && n.leader != "" {
		n.replyAppend(n.leader, n.round)
	}
	n.handOver()
}

// MayStop reports whether a leaving replica is not needed any more: its seat was taken over and the change is
// committed, or a leader has said that there is nobody to take it over. Without a leader it is needed.
func (n *Node) MayStop() bool {
	if !n.members.has(n.id) && n.commit >= n.membersIndex {
		return true
	}
	if n.role == Leader {
		return n.successorInLead() == "" && !n.hasSuccessor(n.leaving.since)
	}
	return n.leaving.told && n.InTouch() && !n.leaving.successor
}

// handingOver reports whether this replica leads and is to pass the lead on.
func (n *Node) handingOver() bool {
	return n.role == Leader && n.leaving.begun && n.successorInLead() != ""
}

// handOver asks a replica that has the whole log to take the lead over (Ongaro's dissertation, section 3.10).
func (n *Node) handOver() {
	if !n.handingOver() || n.now < n.leaving.nextTakeOver {
		return
	}
	n.leaving.nextTakeOver = n.now + takeOverInterval
	target := n.successorInLead()
	if n.peers[target].match < n.log.lastIndex() {
		return
	}
	n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_TAKE_OVER, To: target, Term: n.term})
}

// successorInLead returns the replica that has the most of the log among those that answer, the first in the
// agreed order of several.
func (n *Node) successorInLead() string {
	target := ""
	for _, id := range n.members.replicas {
		p := n.peers[id]
		if p == nil || p.leaving || !n.answers(id) {
			continue
		}
		if target == "" || p.match > n.peers[target].match {
			target = id
		}
	}
	return target
}

// stepTakeOver stands for election at once.
func (n *Node) stepTakeOver(m *wirepb.Consensus) {
	if m.Term != n.term || m.From != n.leader || n.role != Follower || n.leaving.begun || !n.members.has(n.id) {
		return
	}
	n.startVote(true)
}
