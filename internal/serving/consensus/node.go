package consensus

import (
	"math/rand"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Times that the replicas go by. They are chosen for links of up to about 60 ms one way.
const (
	HeartbeatInterval      = 120 * time.Millisecond
	ElectionTimeout        = 500 * time.Millisecond // of silence, until the first in the order stands for election
	initialElectionTimeout = 180 * time.Millisecond // the same while no leader was heard in this life
	electionPriorityStep   = 180 * time.Millisecond // that each further replica in the order waits longer
	electionJitter         = 90 * time.Millisecond
	quorumTimeout          = 900 * time.Millisecond // without a quorum, until the leader steps down
	voteTimeout            = 400 * time.Millisecond // for the answers to a request for votes
	slowDiskThreshold      = 300 * time.Millisecond // of waiting for its disk, after which a replica does not stand
	joinInterval           = 300 * time.Millisecond
)

// Role is what a replica does at present.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// ReadState says that a read registered by Node.Read may be answered from the state at Index.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

// Output is what the caller has to carry out, in any order but for what Persist says.
type Ready struct {
	Messages         []*wirepb.Consensus
	Writes           []WriteBatch
	CommittedEntries []*wirepb.Entry  // to be applied, in order
	Snapshot         *wirepb.Snapshot // replaces the applied state; comes before Committed
	ReadStates       []ReadState
}

type pendingRead struct {
	requestID uint64
	round     uint64
	index     uint64
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	id        string
	options   Options
	random    *rand.Rand
	now       time.Duration
	startedAt time.Duration // when this life began

	term     uint64
	votedFor string
	role     Role
	leader   string // the leader of this term, as far as known

	log             replicatedLog
	membership      membership
	membershipIndex uint64
	commitIndex     uint64
	appliedIndex    uint64

	durableIndex       uint64        // index up to which the own disk has the log
	lastWriteSequence  uint64        // handed out so far
	lastReplacingWrite uint64        // the newest batch that replaced entries: earlier ones say nothing of the disk
	pendingWrites      int           // batches handed out that are not yet on disk
	writesPendingSince time.Duration // when the oldest of them was handed out

	matchIndex       uint64 // index up to which the log is known to be the leader's
	leaderContact    leaderContact
	leaderSeen       bool          // a leader was heard in this life
	electionDeadline time.Duration // of the present wait for an election
	votes            map[string]bool
	incomingSnapshot *incomingSnapshot
	replicaContacts  replicaContacts
	nextJoinAt       time.Duration
	shutdown         shutdownState
	hasCaughtUp      bool          // the state of this life has reached what a leader had committed
	lastInSyncAt     time.Duration // when a leader had committed nothing that was not here

	progress        map[string]*progress // leader: voters and learners but itself
	nextHeartbeatAt time.Duration
	heartbeatRound  uint64
	leaderSince     time.Duration
	termStartIndex  uint64 // index of the leader's first entry of its term
	pendingReads    []pendingRead
	commitSamples   commitSamples

	ready Ready
}

// Options are what a replica goes by. A zero means the default, but for Seats.
type Options struct {
	Voters             int // how many voting replicas there are to be; a quorum that has more keeps them
	RetainedLogBytes   int // of entries that a snapshot covers, kept for replicas a little behind
	SnapshotChunkBytes int // of a snapshot in one message
}

// New makes a replica out of what its disk holds. The membership is that of the stored snapshot and log; a
// replica outside it waits until it is admitted.
func New(id string, stored DurableState, options Options, now time.Duration, random *rand.Rand) *Node {
	n := &Node{
		id: id, options: options, random: random, now: now, startedAt: now, log: newLog(stored), replicaContacts: replicaContacts{},
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
	n.commitTo(min(stored.HardState.GetCommit(), n.log.lastIndex()))
	n.ready.Writes = nil // the disk has it
	n.pendingWrites = 0
	n.resetElectionDeadline()
	return n
}

// Leader returns the leader, or "" where none is known.
func (n *Node) Leader() string { return n.leader }

// Acting reports whether this replica leads and knows everything that was committed before its term.
func (n *Node) IsEstablishedLeader() bool {
	return n.role == Leader && n.commitIndex >= n.termStartIndex
}

// InTouch reports whether this replica leads, or hears the leader and has what the leader had committed
// when it spoke. One that is heard by nobody may still hear, and lack what is not sent to it any more.
func (n *Node) InSync() bool {
	if n.role == Leader {
		return n.IsEstablishedLeader()
	}
	return n.leader != "" && n.hasCaughtUp && n.now-n.lastInSyncAt < ElectionTimeout
}

// UpToDate reports whether the state of this life has reached what a leader had committed when it spoke.
func (n *Node) HasCaughtUp() bool { return n.hasCaughtUp }

// LeaderClock returns what the leader's clock shows at least, in microseconds: that of the term of Term.
func (n *Node) LeaderClock() uint64 {
	if n.role == Leader {
		return uint64(n.now / time.Microsecond)
	}
	return n.leaderContact.leaderClock(n.now)
}

// Term returns the present epoch.
func (n *Node) Term() uint64 { return n.term }

// Members returns the voting replicas in their agreed order.
func (n *Node) Voters() []string { return n.membership.voters() }

// Peers returns the other replicas that this one has to reach: the voters, and those that join.
func (n *Node) Peers() []string {
	ids := slices.DeleteFunc(n.membership.voters(), func(id string) bool { return id == n.id })
	for id := range n.progress {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Applied returns the index up to which entries have been handed out as committed.
func (n *Node) Applied() uint64 { return n.appliedIndex }

// Unconfirmed returns the entries that this replica holds and does not know to be committed.
func (n *Node) UncommittedEntries() []*wirepb.Entry { return n.log.entriesAfter(n.commitIndex) }

// LogBytes returns the size of the entries since the last snapshot.
func (n *Node) LogBytes() int { return n.log.sizeBetween(n.log.snapshot.Index, n.log.lastIndex()) }

// Tail returns what a disk has to hold beside snapshot: the entries after it, and the votes.
func (n *Node) DurableStateAfter(snapshot *wirepb.Snapshot) DurableState {
	return DurableState{HardState: n.hardState(), Snapshot: snapshot, Entries: n.log.entriesAfter(snapshot.Index)}
}

// SnapshotAt describes a snapshot of the state at the applied index.
func (n *Node) CreateSnapshot(data []byte) *wirepb.Snapshot {
	term, _ := n.log.term(n.appliedIndex)
	members, _ := n.log.membershipAt(n.appliedIndex)
	return &wirepb.Snapshot{Index: n.appliedIndex, Term: term, Membership: members.message(), Data: data}
}

// Compact makes a snapshot the base of the log in memory.
func (n *Node) Compact(snapshot *wirepb.Snapshot) {
	if snapshot.Index <= n.log.snapshot.Index || snapshot.Index > n.appliedIndex {
		return
	}
	n.log.compact(snapshot, n.options.RetainedLogBytes)
}

// Take returns what has to be carried out since the last call.
func (n *Node) Ready() Ready {
	output := n.ready
	n.ready = Ready{}
	return output
}

// Tick tells the time. It is called every few ten milliseconds, and before anything else is asked of a
// replica whose process may have stood still.
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

// tickJoin asks to be heard of: a replica that no leader speaks to tells all whom its caller can reach.
func (n *Node) requestJoin() {
	if n.now < n.nextJoinAt || n.leaderRecentlyActive() {
		return
	}
	n.nextJoinAt = n.now + joinInterval
	n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_JOIN, Term: n.term, LogIndex: n.durableIndex})
}

// Step takes a message of another replica.
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
		if n.leaderRecentlyActive() && !m.TakeOver {
			return // the leader is alive: a candidate that was cut off must not unseat it
		}
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	n.stepInTerm(m)
}

// stepInTerm takes a message whose term is at most this replica's.
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
	case wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_PART:
		n.handleSnapshotChunk(m)
	case wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_REPLY:
		n.handleSnapshotReply(m)
	case wirepb.ConsensusKind_CONSENSUS_TAKE_OVER:
		n.handleTimeoutNow(m)
	}
}

// Persisted reports that a batch of Output.Persist is on disk. Batches are reported in the order of their
// making. A batch that a later one has replaced in part says nothing of what the disk will hold, even where
// the log has the same entry again.
func (n *Node) Persisted(now time.Duration, batch WriteBatch) {
	n.now = now
	n.pendingWrites--
	n.writesPendingSince = now
	if batch.sequence < n.lastReplacingWrite {
		return
	}
	index, term := lastEntryOf(batch)
	if loggedTerm, ok := n.log.term(index); !ok || loggedTerm != term || index <= n.durableIndex {
		return
	}
	n.durableIndex = index
	if n.role == Leader {
		n.advanceCommit()
		return
	}
	if n.leader != "" {
		n.sendAppendReply(n.leader, n.heartbeatRound)
	}
}

// Propose appends a command. It returns false where this replica does not lead, or hands the lead over.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != Leader || n.transferringLeadership() {
		return 0, false
	}
	index := n.appendEntry(wirepb.EntryKind_ENTRY_COMMAND, data)
	n.broadcastAppend()
	return index, true
}

// Read registers a read, which Output.Reads allows once a quorum has confirmed that this replica still
// leads. It returns false where this replica does not act.
func (n *Node) ReadIndex(requestID uint64) bool {
	if !n.IsEstablishedLeader() {
		return false
	}
	n.broadcastHeartbeat()
	n.pendingReads = append(n.pendingReads, pendingRead{requestID: requestID, round: n.heartbeatRound, index: n.commitIndex})
	n.confirmReads()
	return true
}

func (n *Node) diskStalled() bool {
	return n.pendingWrites > 0 && n.now-n.writesPendingSince > slowDiskThreshold
}

func (n *Node) leaderRecentlyActive() bool {
	if n.role == Leader {
		return true // a quorum answers: else it would have stepped down
	}
	return n.leader != "" && n.leaderContact.within(n.now, ElectionTimeout)
}

func (n *Node) send(m *wirepb.Consensus) {
	m.From = n.id
	n.ready.Messages = append(n.ready.Messages, m)
}

func (n *Node) enqueueWrite(batch WriteBatch) {
	if n.pendingWrites == 0 {
		n.writesPendingSince = n.now
	}
	n.pendingWrites++
	n.lastWriteSequence++
	batch.sequence = n.lastWriteSequence
	n.ready.Writes = append(n.ready.Writes, batch)
}

// persistReplacing hands out a batch that replaces entries which earlier batches brought.
func (n *Node) enqueueReplacingWrite(batch WriteBatch) {
	n.enqueueWrite(batch)
	n.lastReplacingWrite = n.lastWriteSequence
}

func (n *Node) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: n.term, VotedFor: n.votedFor, Commit: n.commitIndex}
}

// resetDeadline draws the next time to stand for election. The order of the membership comes first.
func (n *Node) resetElectionDeadline() {
	priority := max(slices.Index(n.membership.voters(), n.id), 0)
	jitter := time.Duration(n.random.Int63n(int64(electionJitter)))
	timeout := ElectionTimeout
	if !n.leaderSeen {
		timeout = initialElectionTimeout
	}
	n.electionDeadline = n.now + timeout + time.Duration(priority)*electionPriorityStep + jitter
}

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

func (n *Node) commitTo(index uint64) {
	if index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	for n.appliedIndex < n.commitIndex {
		n.appliedIndex++
		n.ready.CommittedEntries = append(n.ready.CommittedEntries, n.log.entryAt(n.appliedIndex))
	}
	n.enqueueWrite(WriteBatch{HardState: n.hardState()}) // after a restart, this much is known at once
}
