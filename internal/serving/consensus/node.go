package consensus

import (
	"math/rand"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Intervals and time-outs, chosen for links with up to about 60 ms of delay one way.
const (
	HeartbeatInterval      = 120 * time.Millisecond
	ElectionTimeout        = 500 * time.Millisecond // without a leader, until the first voter campaigns
	initialElectionTimeout = 180 * time.Millisecond // the same while this incarnation has seen no leader
	electionPriorityStep   = 180 * time.Millisecond // that each further voter in the order waits longer
	electionJitter         = 90 * time.Millisecond
	quorumTimeout          = 900 * time.Millisecond // without a quorum, until the leader steps down
	voteTimeout            = 400 * time.Millisecond // for the replies to a candidate's requests
	slowDiskThreshold      = 300 * time.Millisecond // of a pending write, until a replica does not campaign
	joinInterval           = 300 * time.Millisecond
)

// Role is the role of a replica in the present term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Node is the raft state of one replica. It is not safe for concurrent use: all of its methods are called on
// one goroutine.
type Node struct {
	id        string
	options   Options
	random    *rand.Rand
	now       time.Duration
	startedAt time.Duration // when this incarnation began

	term     uint64
	votedFor string
	role     Role
	leader   string // of this term, "" if not known

	log             replicatedLog
	membership      membership
	membershipIndex uint64
	commitIndex     uint64
	appliedIndex    uint64

	durableIndex       uint64        // up to which the log is durable on this replica's own disk
	lastWriteSequence  uint64        // sequence of the newest batch
	lastReplacingWrite uint64        // newest batch that replaced entries: earlier ones prove nothing
	pendingWrites      int           // number of batches that are not yet reported as durable
	writesPendingSince time.Duration // since when the oldest of them is pending

	matchIndex       uint64 // up to which the log is known to match the leader's
	leaderContact    leaderContact
	leaderSeen       bool          // this incarnation has received from a leader, or led
	electionDeadline time.Duration // when to campaign next
	votes            map[string]bool
	incomingSnapshot *incomingSnapshot
	replicaContacts  replicaContacts
	nextJoinAt       time.Duration
	shutdown         shutdownState
	hasCaughtUp      bool          // since the start, the state has reached a leader's commit index
	lastInSyncAt     time.Duration // when the newest commit index that is reached here was sent

	// The fields below are valid on the leader only.
	progress        map[string]*progress // of the other voters and the learners
	nextHeartbeatAt time.Duration
	heartbeatRound  uint64
	leaderSince     time.Duration
	termStartIndex  uint64 // index of the leader's first entry of its term
	pendingReads    []pendingRead
	commitSamples   commitSamples

	ready Ready
}

// New returns a replica with the state of its disk. Its membership is that of the stored snapshot and log; a
// replica outside it is a learner until it is admitted. random is used for the election jitter alone.
func New(id string, stored DurableState, options Options, now time.Duration, random *rand.Rand) *Node {
	n := &Node{
		id: id, options: options, random: random, now: now, startedAt: now, log: newLog(stored),
		replicaContacts: replicaContacts{},
	}
	if options.RetainedLogBytes == 0 {
		n.options.RetainedLogBytes = defaultRetainedLogBytes
	}
	if options.SnapshotChunkBytes == 0 {
		n.options.SnapshotChunkBytes = defaultSnapshotChunkBytes
	}
	n.term = max(stored.HardState.GetTerm(), n.log.lastTerm())
	if n.term == stored.HardState.GetTerm() {
		n.votedFor = stored.HardState.GetVotedFor()
	}
	n.durableIndex = n.log.lastIndex()
	n.commitIndex = n.log.snapshot.Index
	n.appliedIndex = n.commitIndex
	n.membership, n.membershipIndex = n.log.membership()
	n.commitTo(min(stored.HardState.GetCommitIndex(), n.log.lastIndex()))
	n.ready.Writes = nil // the hard state that commitTo wrote is stored already
	n.pendingWrites = 0
	n.resetElectionDeadline()
	return n
}

// Tick advances the time, which is monotonic. It is called every few tens of milliseconds, and before any
// other method if the process may have stalled.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.requestJoin()
	if now < n.electionDeadline {
		return
	}
	n.resetElectionDeadline()
	if n.membership.contains(n.id) && !n.diskStalled() && !n.shutdown.requested {
		n.preCampaign()
	}
}

// Step handles a message of another replica.
func (n *Node) Step(now time.Duration, m *wirepb.Consensus) {
	n.now = now
	n.replicaContacts.observe(m.From, now)
	switch m.Kind {
	case wirepb.ConsensusKind_CONSENSUS_JOIN:
		n.handleJoin(m)
		return
	case wirepb.ConsensusKind_CONSENSUS_PRE_VOTE:
		n.handlePreVote(m)
		return
	case wirepb.ConsensusKind_CONSENSUS_PRE_VOTE_REPLY:
		n.handlePreVoteReply(m)
		return
	case wirepb.ConsensusKind_CONSENSUS_VOTE:
		if n.leaderRecentlyActive() && !m.LeadershipTransfer {
			return // the leader is alive: a candidate that was partitioned must not depose it
		}
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	n.stepInTerm(m)
}

// stepInTerm handles a message whose term is at most this replica's.
func (n *Node) stepInTerm(m *wirepb.Consensus) {
	switch m.Kind {
	case wirepb.ConsensusKind_CONSENSUS_VOTE:
		n.handleVote(m)
	case wirepb.ConsensusKind_CONSENSUS_VOTE_REPLY:
		n.handleVoteReply(m)
	case wirepb.ConsensusKind_CONSENSUS_APPEND:
		n.handleAppend(m)
	case wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY:
		n.handleAppendReply(m)
	case wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_CHUNK:
		n.handleSnapshotChunk(m)
	case wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_REPLY:
		n.handleSnapshotReply(m)
	case wirepb.ConsensusKind_CONSENSUS_TIMEOUT_NOW:
		n.handleTimeoutNow(m)
	}
}

// Propose appends a command and returns its index. It returns false if this replica does not lead, or is
// transferring the leadership.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != Leader || n.transferringLeadership() {
		return 0, false
	}
	index := n.appendEntry(wirepb.EntryKind_ENTRY_COMMAND, data)
	n.broadcastAppend()
	return index, true
}

// leaderRecentlyActive reports whether the leader has sent a message within the election time-out.
func (n *Node) leaderRecentlyActive() bool {
	if n.role == Leader {
		return true // check-quorum: otherwise it would have stepped down
	}
	return n.leader != "" && n.leaderContact.within(n.now, ElectionTimeout)
}

// send addresses a message from this replica and adds it to the output.
func (n *Node) send(m *wirepb.Consensus) {
	m.From = n.id
	n.ready.Messages = append(n.ready.Messages, m)
}

// resetElectionDeadline draws the next time to campaign. Voters that come first in the membership campaign
// earlier.
func (n *Node) resetElectionDeadline() {
	priority := max(slices.Index(n.membership.voters(), n.id), 0)
	jitter := time.Duration(n.random.Int63n(int64(electionJitter)))
	timeout := ElectionTimeout
	if !n.leaderSeen {
		timeout = initialElectionTimeout
	}
	n.electionDeadline = n.now + timeout + time.Duration(priority)*electionPriorityStep + jitter
}

// becomeFollower makes this replica a follower of a term that is not lower than the present one.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
	}
	n.role = Follower
	n.leader = leader
	n.matchIndex = 0
	n.progress = nil
	n.pendingReads = nil
	n.resetElectionDeadline()
}

// commitTo advances the commit index, and hands out the entries that it covers.
func (n *Node) commitTo(index uint64) {
	if index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	for n.appliedIndex < n.commitIndex {
		n.appliedIndex++
		n.ready.CommittedEntries = append(n.ready.CommittedEntries, n.log.entryAt(n.appliedIndex))
	}
	n.enqueueWrite(WriteBatch{HardState: n.hardState()}) // so that a restart begins with this index
}
