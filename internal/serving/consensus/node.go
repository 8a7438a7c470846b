package consensus

import (
	"math/rand"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// Times that the replicas go by. They are chosen for links of up to about 60 ms one way.
const (
	HeartbeatInterval = 120 * time.Millisecond
	ElectionTimeout   = 500 * time.Millisecond // of silence, until the first in the order stands for election
	firstElection     = 180 * time.Millisecond // the same while no acting replica was heard in this life
	orderStep         = 180 * time.Millisecond // that each further replica in the order waits longer
	electionJitter    = 90 * time.Millisecond
	quorumTimeout     = 900 * time.Millisecond // without a majority, until the acting replica stops acting
	voteTimeout       = 400 * time.Millisecond // for the answers to a request for votes
	slowDisk          = 300 * time.Millisecond // of waiting for its disk, after which a replica does not stand
	joinInterval      = 300 * time.Millisecond
	snapshotInterval  = 700 * time.Millisecond
	deadAfter         = 2200 * time.Millisecond // of silence, until a surplus member is removed
	appendBytes       = 1 << 20                 // of entries in one message
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

// Persist is what has to be on disk before Messages may be sent. Nil parts are unchanged.
type Persist struct {
	HardState *wirepb.HardState
	Entries   []*wirepb.Entry  // replace all stored entries from the first one's index on
	Snapshot  *wirepb.Snapshot // replaces the stored log as a whole
	Messages  []*wirepb.Consensus
}

// ReadState says that a read registered by Node.Read may be answered from the state at Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Output is what the caller has to carry out, in any order but for what Persist says.
type Output struct {
	Messages  []*wirepb.Consensus
	Persist   []Persist
	Committed []*wirepb.Entry  // to be applied, in order
	Restore   *wirepb.Snapshot // replaces the applied state; comes before Committed
	Reads     []ReadState
}

// Stored is what a disk holds of a replica.
type Stored struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.Snapshot
	Entries   []*wirepb.Entry
}

// peer is what the leader knows of another replica.
type peer struct {
	match        uint64
	next         uint64
	heard        time.Duration // when its last reply came
	round        uint64        // the newest heartbeat round that it has answered
	snapshotSent time.Duration
	sentSnapshot bool
	leaving      bool // it has said that it stops
}

type pendingRead struct {
	id    uint64
	round uint64
	index uint64
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	id     string
	random *rand.Rand
	now    time.Duration

	term     uint64
	votedFor string
	role     Role
	leader   string // the acting replica of this term, as far as known

	log          replicatedLog
	members      []string
	membersIndex uint64
	commit       uint64
	applied      uint64

	durable      uint64        // index up to which the own disk has the log
	persisting   int           // batches handed out that are not yet on disk
	persistSince time.Duration // when the oldest of them was handed out

	matched     uint64        // index up to which the log is known to be the acting replica's
	leaderHeard time.Duration // when the acting replica last spoke
	everHeard   bool
	everLed     bool          // an acting replica was heard in this life
	deadline    time.Duration // of the present wait for an election
	votes       map[string]bool

	peers         map[string]*peer // leader: members and joining replicas but itself
	nextHeartbeat time.Duration
	round         uint64
	termStart     uint64 // index of the leader's first entry of its term
	reads         []pendingRead
	nextJoin      time.Duration

	output Output
}

// New makes a replica out of what its disk holds. The membership is that of the stored snapshot and log; a
// replica outside it waits until it is admitted.
func New(id string, stored Stored, now time.Duration, random *rand.Rand) *Node {
	n := &Node{id: id, random: random, now: now}
	n.log.snapshot = stored.Snapshot
	if n.log.snapshot == nil {
		n.log.snapshot = &wirepb.Snapshot{}
	}
	n.log.append(stored.Entries...)
	n.term = max(stored.HardState.GetTerm(), n.log.lastTerm())
	if n.term == stored.HardState.GetTerm() {
		n.votedFor = stored.HardState.GetVotedFor()
	}
	n.durable = n.log.lastIndex()
	n.commit = n.log.snapshot.Index
	n.applied = n.commit
	n.members, n.membersIndex = n.log.membership()
	n.setCommit(min(stored.HardState.GetCommit(), n.log.lastIndex()))
	n.output.Persist = nil // the disk has it
	n.persisting = 0
	n.resetDeadline()
	return n
}

// Founding returns what the disk of a founder holds before the first entry.
func Founding(founders []string) Stored {
	membership := &wirepb.Membership{Replicas: founders}
	return Stored{Snapshot: &wirepb.Snapshot{Membership: membership}}
}

// Leader returns the acting replica, or "" where none is known.
func (n *Node) Leader() string { return n.leader }

// Acting reports whether this replica acts and knows everything that was committed before its term.
func (n *Node) Acting() bool { return n.role == Leader && n.commit >= n.termStart }

// InTouch reports whether this replica hears the acting replica, or is it.
func (n *Node) InTouch() bool {
	if n.role == Leader {
		return n.Acting()
	}
	return n.leader != "" && n.everHeard && n.now-n.leaderHeard < ElectionTimeout
}

// Term returns the present epoch.
func (n *Node) Term() uint64 { return n.term }

// Members returns the voting replicas in their agreed order.
func (n *Node) Members() []string { return n.members }

// Applied returns the index up to which entries have been handed out as committed.
func (n *Node) Applied() uint64 { return n.applied }

// LogBytes returns the size of the entries since the last snapshot.
func (n *Node) LogBytes() int {
	size := 0
	for _, entry := range n.log.entries {
		size += len(entry.Data)
	}
	return size
}

// Tail returns what a disk has to hold beside snapshot: the entries after it, and the votes.
func (n *Node) Tail(snapshot *wirepb.Snapshot) Stored {
	return Stored{HardState: n.hardState(), Snapshot: snapshot, Entries: n.log.from(snapshot.Index+1, 1<<40)}
}

// SnapshotAt describes a snapshot of the state at the applied index.
func (n *Node) SnapshotAt(data []byte) *wirepb.Snapshot {
	term, _ := n.log.term(n.applied)
	members := n.log.snapshot.Membership.GetReplicas()
	for _, entry := range n.log.entries {
		if entry.Index <= n.applied && entry.Kind == wirepb.EntryKind_ENTRY_MEMBERSHIP {
			members = decodeMembership(entry.Data)
		}
	}
	membership := &wirepb.Membership{Replicas: members}
	return &wirepb.Snapshot{Index: n.applied, Term: term, Membership: membership, Data: data}
}

// Compact makes a snapshot the base of the log in memory.
func (n *Node) Compact(snapshot *wirepb.Snapshot) {
	if snapshot.Index <= n.log.snapshot.Index || snapshot.Index > n.applied {
		return
	}
	n.log.compact(snapshot)
	n.members, n.membersIndex = n.log.membership()
}

// Take returns what has to be carried out since the last call.
func (n *Node) Take() Output {
	output := n.output
	n.output = Output{}
	return output
}

// Tick tells the time. It is called every few ten milliseconds.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.tickJoin()
	if now < n.deadline {
		return
	}
	n.resetDeadline()
	if n.isMember(n.id) && !n.diskIsSlow() {
		n.startPreVote()
	}
}

// tickJoin asks to be heard of: a replica that no acting replica speaks to tells all whom its caller can
// reach.
func (n *Node) tickJoin() {
	if n.now < n.nextJoin || n.leader != "" && n.now-n.leaderHeard < ElectionTimeout {
		return
	}
	n.nextJoin = n.now + joinInterval
	n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_JOIN, Term: n.term, LogIndex: n.durable})
}

// Step takes a message of another replica.
func (n *Node) Step(now time.Duration, m *wirepb.Consensus) {
	n.now = now
	switch m.Kind {
	case wirepb.ConsensusKind_CONSENSUS_JOIN:
		n.stepJoin(m)
		return
	case wirepb.ConsensusKind_CONSENSUS_LEAVE:
		if p := n.peers[m.From]; n.role == Leader && p != nil {
			p.leaving = true
		}
		return
	case wirepb.ConsensusKind_CONSENSUS_PRE_VOTE:
		n.stepPreVote(m)
		return
	case wirepb.ConsensusKind_CONSENSUS_PRE_VOTE_REPLY:
		n.stepPreVoteReply(m)
		return
	case wirepb.ConsensusKind_CONSENSUS_VOTE:
		if n.heardLeaderLately() {
			return // the acting replica is alive: a candidate that was cut off must not unseat it
		}
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case wirepb.ConsensusKind_CONSENSUS_VOTE:
		n.stepVote(m)
	case wirepb.ConsensusKind_CONSENSUS_VOTE_REPLY:
		n.stepVoteReply(m)
	case wirepb.ConsensusKind_CONSENSUS_APPEND:
		n.stepAppend(m)
	case wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY:
		n.stepAppendReply(m)
	case wirepb.ConsensusKind_CONSENSUS_SNAPSHOT:
		n.stepSnapshot(m)
	}
}

// Persisted reports that a batch of Output.Persist is on disk. Batches are reported in the order of their
// making.
func (n *Node) Persisted(now time.Duration, batch Persist) {
	n.now = now
	n.persisting--
	n.persistSince = now
	index, term := lastOf(batch)
	if held, ok := n.log.term(index); !ok || held != term || index <= n.durable {
		return
	}
	n.durable = index
	if n.role == Leader {
		n.advanceCommit()
		return
	}
	if n.leader != "" {
		n.replyAppend(n.leader, n.round)
	}
}

// lastOf returns the index and term up to which a batch brings the log on disk, or 0.
func lastOf(batch Persist) (uint64, uint64) {
	if count := len(batch.Entries); count > 0 {
		return batch.Entries[count-1].Index, batch.Entries[count-1].Term
	}
	return batch.Snapshot.GetIndex(), batch.Snapshot.GetTerm()
}

// Propose appends a command. It returns false where this replica does not act.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != Leader {
		return 0, false
	}
	index := n.appendEntry(wirepb.EntryKind_ENTRY_COMMAND, data)
	n.broadcast()
	return index, true
}

// Leave tells the acting replica that this one stops, so that a surplus seat is given up at once.
func (n *Node) Leave() {
	if n.leader != "" && n.leader != n.id {
		n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_LEAVE, To: n.leader, Term: n.term})
	}
}

// Read registers a read, which Output.Reads allows once a majority has confirmed that this replica still
// acts. It returns false where this replica does not act.
func (n *Node) Read(id uint64) bool {
	if !n.Acting() {
		return false
	}
	n.startRound()
	n.reads = append(n.reads, pendingRead{id: id, round: n.round, index: n.commit})
	n.confirmReads()
	return true
}

func (n *Node) isMember(id string) bool { return slices.Contains(n.members, id) }

func (n *Node) quorum() int { return len(n.members)/2 + 1 }

func (n *Node) diskIsSlow() bool { return n.persisting > 0 && n.now-n.persistSince > slowDisk }

func (n *Node) heardLeaderLately() bool {
	if n.role == Leader {
		return true // a majority answers: else it would have stepped down
	}
	return n.leader != "" && n.everHeard && n.now-n.leaderHeard < ElectionTimeout
}

func (n *Node) send(m *wirepb.Consensus) {
	m.From = n.id
	n.output.Messages = append(n.output.Messages, m)
}

func (n *Node) persist(p Persist) {
	if n.persisting == 0 {
		n.persistSince = n.now
	}
	n.persisting++
	n.output.Persist = append(n.output.Persist, p)
}

func (n *Node) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: n.term, VotedFor: n.votedFor, Commit: n.commit}
}

// resetDeadline draws the next time to stand for election. The order of the membership comes first.
func (n *Node) resetDeadline() {
	rank := max(slices.Index(n.members, n.id), 0)
	jitter := time.Duration(n.random.Int63n(int64(electionJitter)))
	silence := ElectionTimeout
	if !n.everLed {
		silence = firstElection
	}
	n.deadline = n.now + silence + time.Duration(rank)*orderStep + jitter
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.votedFor = ""
	}
	if n.role == Leader {
		n.everHeard = false
	}
	n.role = Follower
	n.leader = leader
	n.matched = 0
	n.peers = nil
	n.reads = nil
	n.resetDeadline()
}

func (n *Node) setCommit(commit uint64) {
	if commit <= n.commit {
		return
	}
	n.commit = commit
	for n.applied < n.commit {
		n.applied++
		n.output.Committed = append(n.output.Committed, n.log.entries[n.applied-n.log.firstIndex()])
	}
	n.persist(Persist{HardState: n.hardState()}) // after a restart, this much is known at once
}

func decodeMembership(data []byte) []string {
	var membership wirepb.Membership
	if err := proto.Unmarshal(data, &membership); err != nil {
		panic("consensus: membership entry does not decode: " + err.Error())
	}
	return membership.Replicas
}

func encodeMembership(members []string) []byte {
	data, err := proto.Marshal(&wirepb.Membership{Replicas: members})
	if err != nil {
		panic("consensus: membership does not encode: " + err.Error())
	}
	return data
}
