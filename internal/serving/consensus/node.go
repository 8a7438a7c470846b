package consensus

import (
	"math/rand"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Intervals and timeouts, chosen for links with a one-way delay of up to about 60 ms.
const (
	// HeartbeatInterval is the interval between the heartbeats of the leader.
	HeartbeatInterval = 120 * time.Millisecond
	// ElectionTimeout is how long the first voter of the membership waits without a message of a leader before
	// it campaigns.
	ElectionTimeout = 500 * time.Millisecond
	// initialElectionTimeout replaces ElectionTimeout while this incarnation has seen no leader.
	initialElectionTimeout = 180 * time.Millisecond
	// electionPriorityStep is added to the election timeout for each preceding voter of the membership.
	electionPriorityStep = 180 * time.Millisecond
	// electionJitter bounds the random part of the election timeout.
	electionJitter = 90 * time.Millisecond
	// quorumTimeout is how long a leader leads without responses of a quorum before it steps down.
	quorumTimeout = 900 * time.Millisecond
	// voteTimeout is how long a voter postpones its own campaign for a candidate that precedes it.
	voteTimeout = 400 * time.Millisecond
	// slowDiskThreshold is how long a write may be pending before the replica no longer campaigns.
	slowDiskThreshold = 300 * time.Millisecond
	// joinInterval is the minimum interval between two join requests of a replica without a leader.
	joinInterval = 300 * time.Millisecond
)

// Role is the role of a replica in the current term.
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
	leader   string // the leader of the current term, "" if it is not known

	log             replicatedLog
	membership      membership
	membershipIndex uint64
	commitIndex     uint64
	appliedIndex    uint64

	durableIndex       uint64        // the log is durable on this replica's own disk up to this index
	lastWriteSequence  uint64        // sequence of the newest batch
	lastReplacingWrite uint64        // sequence of the newest batch that replaced entries of earlier batches
	pendingWrites      int           // number of batches that are not yet reported as durable
	writesPendingSince time.Duration // when the wait for the oldest pending batch began

	matchIndex       uint64 // the log is known to match the leader's up to this index
	leaderContact    leaderContact
	leaderSeen       bool            // this incarnation has received a message of a leader, or has led
	electionDeadline time.Duration   // when to campaign next
	votes            map[string]bool // replicas that granted the vote or pre-vote of the current campaign
	incomingSnapshot *incomingSnapshot
	replicaContacts  replicaContacts
	nextJoinAt       time.Duration
	shutdown         shutdownState
	hasCaughtUp      bool          // this incarnation has once reached the commit index of a leader
	lastInSyncAt     time.Duration // when the leader sent the newest commit index that this replica has reached

	// The fields from progress to commitSamples are valid on the leader only; on a follower, heartbeatRound is
	// the round of the leader's last message.
	progress        map[string]*progress // progress of the other voters and of the learners
	nextHeartbeatAt time.Duration
	heartbeatRound  uint64
	leaderSince     time.Duration
	termStartIndex  uint64 // index of the leader's first entry of its term
	pendingReads    []pendingRead
	commitSamples   commitSamples

	ready Ready
}

// New returns a replica with the state stored on its disk. The membership is read from the stored snapshot
// and log; a replica that is not in it is a learner until it is admitted. random is used only for the
// election jitter.
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
	n.ready.Writes = nil // commitTo enqueued the hard state, which is stored already
	n.pendingWrites = 0
	n.resetElectionDeadline()
	return n
}

// Tick advances the time, which must be monotonic. The caller calls it every few tens of milliseconds, and
// before any other method if the process may have stalled.
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

// Step handles a message from another replica.
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
			return // a candidate that was partitioned must not depose a leader that is alive
		}
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	n.stepInTerm(m)
}

// stepInTerm handles a message whose term is not higher than this replica's.
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

// Propose appends a command to the log and returns its index. It returns false if this replica is not the
// leader, or is transferring the leadership.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != Leader || n.transferringLeadership() {
		return 0, false
	}
	index := n.appendEntry(wirepb.EntryKind_ENTRY_COMMAND, data)
	n.broadcastAppend()
	return index, true
}

// leaderRecentlyActive reports whether the leader has sent a message within the election timeout.
func (n *Node) leaderRecentlyActive() bool {
	if n.role == Leader {
		return true // a leader without a quorum steps down (check-quorum)
	}
	return n.leader != "" && n.leaderContact.within(n.now, ElectionTimeout)
}

// send sets the sender of a message to this replica and adds the message to Ready.Messages.
func (n *Node) send(m *wirepb.Consensus) {
	m.From = n.id
	n.ready.Messages = append(n.ready.Messages, m)
}

// resetElectionDeadline sets the time of the next campaign, with random jitter. Voters that come first in the
// membership campaign earlier.
func (n *Node) resetElectionDeadline() {
	priority := max(slices.Index(n.membership.voters(), n.id), 0)
	jitter := time.Duration(n.random.Int63n(int64(electionJitter)))
	timeout := ElectionTimeout
	if !n.leaderSeen {
		timeout = initialElectionTimeout
	}
	n.electionDeadline = n.now + timeout + time.Duration(priority)*electionPriorityStep + jitter
}

// becomeFollower makes this replica a follower in a term that is not lower than the current one.
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

// commitTo advances the commit index and adds the newly committed entries to Ready.CommittedEntries.
func (n *Node) commitTo(index uint64) {
	if index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	for n.appliedIndex < n.commitIndex {
		n.appliedIndex++
		n.ready.CommittedEntries = append(n.ready.CommittedEntries, n.log.entryAt(n.appliedIndex))
	}
	n.enqueueWrite(WriteBatch{HardState: n.hardState()}) // a restart begins with this commit index
}
