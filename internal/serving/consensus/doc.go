// Package consensus implements raft for the replicas of the core: leader election, replication of one log,
// snapshots, and changes of the set of voters. It owns the state of one replica in memory (term, vote, log,
// commit index, progress of the other replicas). Like etcd's raft library it has no I/O, no clock and no
// goroutines, and must not import anything that has: the caller passes the time and received messages to
// Tick and Step, carries out what Ready returns, and reports completed writes with Persisted. A run is
// therefore determined by its seed. It logs nothing.
//
// Method: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), with pre-vote,
// leadership transfer and joint consensus of Ongaro's dissertation (2014, sections 9.6, 3.10 and 4.3). The
// term is the epoch that fences the leader. Two things differ:
//
//   - Replicas campaign in the order of the membership: each further voter waits longer, so that normally
//     the first live one becomes the leader.
//   - A replica's identity is that of its disk. A wiped disk is a new replica: it is a learner without a vote
//     until it has caught up and a quorum has committed its admission (compare Liskov and Cowling,
//     "Viewstamped Replication Revisited", 2012, section 4.3 on recovery).
package consensus
