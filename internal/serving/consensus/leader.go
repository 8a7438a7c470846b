package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// addPeer begins to follow another replica's progress.
func (n *Node) addPeer(id string) {
	if id == n.id || n.peers[id] != nil {
		return
	}
	n.peers[id] = &peer{next: n.log.lastIndex() + 1, heard: n.now}
}

func (n *Node) tickLeader() {
	if !n.majorityHeard() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.nextHeartbeat {
		n.startRound()
	}
	n.changeMembership()
}

func (n *Node) majorityHeard() bool {
	heard := 0
	for _, member := range n.members {
		if member == n.id || n.peers[member] != nil && n.now-n.peers[member].heard < quorumTimeout {
			heard++
		}
	}
	return heard >= n.quorum()
}

// startRound sends a heartbeat, with whatever is missing, to everyone.
func (n *Node) startRound() {
	n.round++
	n.nextHeartbeat = n.now + HeartbeatInterval
	for _, id := range n.sortedPeers() {
		n.sendAppend(id, true)
	}
}

// broadcast sends what is missing to everyone.
func (n *Node) broadcast() {
	for _, id := range n.sortedPeers() {
		n.sendAppend(id, false)
	}
	n.advanceCommit()
}

// sortedPeers keeps the order of messages the same in each replay.
func (n *Node) sortedPeers() []string {
	ids := make([]string, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) appendEntry(kind wirepb.EntryKind, data []byte) uint64 {
	entry := &wirepb.Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(entry)
	n.persist(Persist{Entries: []*wirepb.Entry{entry}})
	if kind == wirepb.EntryKind_ENTRY_MEMBERSHIP {
		n.members, n.membersIndex = decodeMembership(data), entry.Index
	}
	return entry.Index
}

func (n *Node) sendAppend(id string, heartbeat bool) {
	p := n.peers[id]
	previousTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.from(p.next, appendBytes)
	if len(entries) == 0 && !heartbeat {
		return
	}
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND, To: id, Term: n.term,
		LogIndex: p.next - 1, LogTerm: previousTerm, Entries: entries, Commit: n.commit, Round: n.round,
	})
	p.next += uint64(len(entries)) // a loss shows when the next heartbeat is rejected
}

func (n *Node) sendSnapshot(id string, p *peer) {
	if p.sentSnapshot && n.now-p.snapshotSent < snapshotInterval {
		return
	}
	p.sentSnapshot = true
	p.snapshotSent = n.now
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_SNAPSHOT, To: id, Term: n.term, Round: n.round,
		Snapshot: n.log.snapshot,
	})
}

func (n *Node) stepAppendReply(m *wirepb.Consensus) {
	p := n.peers[m.From]
	if n.role != Leader || m.Term != n.term || p == nil {
		return
	}
	p.heard = n.now
	p.round = max(p.round, m.Round)
	n.confirmReads()
	if m.Reject {
		p.next = max(min(p.next-1, m.LogIndex+1), p.match+1)
		n.sendAppend(m.From, false)
		return
	}
	if m.LogIndex > p.match {
		p.match = m.LogIndex
		p.next = max(p.next, p.match+1)
		n.advanceCommit()
	}
	n.sendAppend(m.From, false)
}

// advanceCommit commits what a majority has on disk, if it is of this term (Ongaro and Ousterhout, section
// 5.4.2).
func (n *Node) advanceCommit() {
	matches := make([]uint64, 0, len(n.members))
	for _, member := range n.members {
		switch {
		case member == n.id:
			matches = append(matches, n.durable)
		case n.peers[member] != nil:
			matches = append(matches, n.peers[member].match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-n.quorum()]
	if candidate <= n.commit {
		return
	}
	if term, ok := n.log.term(candidate); !ok || term != n.term {
		return
	}
	n.setCommit(candidate)
	if !n.isMember(n.id) && n.commit >= n.membersIndex {
		n.becomeFollower(n.term, "")
		return
	}
	for _, id := range n.sortedPeers() {
		n.sendAppend(id, true) // followers apply soon
	}
}

func (n *Node) confirmReads() {
	kept := n.reads[:0]
	for _, read := range n.reads {
		confirmed := 0
		for _, member := range n.members {
			if member == n.id || n.peers[member] != nil && n.peers[member].round >= read.round {
				confirmed++
			}
		}
		if confirmed >= n.quorum() {
			n.output.Reads = append(n.output.Reads, ReadState{ID: read.id, Index: read.index})
		} else {
			kept = append(kept, read)
		}
	}
	n.reads = kept
}

// stepJoin takes up a replica that nobody spoke to: it is brought up to date before it is admitted.
func (n *Node) stepJoin(m *wirepb.Consensus) {
	if n.role != Leader {
		return
	}
	if n.peers[m.From] == nil {
		n.addPeer(m.From)
		n.peers[m.From].next = min(m.LogIndex, n.log.lastIndex()) + 1
	}
	n.peers[m.From].leaving = false
	n.sendAppend(m.From, true)
}

// changeMembership admits replicas that have caught up and removes surplus ones that are silent, one at a
// time.
func (n *Node) changeMembership() {
	if !n.Acting() || n.commit < n.membersIndex {
		return
	}
	if dead := n.removable(); dead != "" {
		members := slices.DeleteFunc(slices.Clone(n.members), func(id string) bool { return id == dead })
		n.appendEntry(wirepb.EntryKind_ENTRY_MEMBERSHIP, encodeMembership(members))
		delete(n.peers, dead)
		n.broadcast()
		return
	}
	for _, id := range n.sortedPeers() {
		p := n.peers[id]
		if n.isMember(id) {
			continue
		}
		if n.now-p.heard > deadAfter {
			delete(n.peers, id)
			continue
		}
		if p.match < n.commit || !n.admissible(id) {
			continue
		}
		members := append(slices.Clone(n.members), id)
		n.appendEntry(wirepb.EntryKind_ENTRY_MEMBERSHIP, encodeMembership(members))
		n.broadcast()
		return
	}
}

// admissible reports whether the quorum after the admission of id answers at present. An even number with a
// silent member first gives that one up: else silent members would add up.
func (n *Node) admissible(id string) bool {
	answering := 1 // id itself
	for _, member := range n.members {
		if member == n.id || n.now-n.peers[member].heard < ElectionTimeout {
			answering++
		}
	}
	if len(n.members)%2 == 0 && answering <= len(n.members) {
		return false
	}
	return answering >= (len(n.members)+1)/2+1
}

// removable returns a member to remove, or "": one that is dead, where the quorum becomes smaller by it.
// That is so with an even number of members, and with an odd one where two are dead.
func (n *Node) removable() string {
	var longest time.Duration
	worst, dead := "", 0
	for _, member := range n.members {
		if member == n.id {
			continue
		}
		silence := n.now - n.peers[member].heard
		gone := silence > 2*HeartbeatInterval && (n.peers[member].leaving || n.replaced(member))
		if !gone && silence <= deadAfter {
			continue
		}
		dead++
		if gone {
			silence += deadAfter
		}
		if silence > longest {
			longest, worst = silence, member
		}
	}
	if len(n.members)%2 == 0 && dead >= 1 || dead >= 2 {
		return worst
	}
	return ""
}

// replaced reports whether another identity than member's is known at its address.
func (n *Node) replaced(member string) bool {
	for id := range n.peers {
		if id != member && Address(id) == Address(member) {
			return true
		}
	}
	return false
}
