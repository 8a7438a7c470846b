// Package consensus implements raft for the replicas of the core: leader election, replication of one log,
// snapshots, and changes of the set of voters. It keeps the state of one replica in memory (term, vote, log,
// commit index, progress of the other replicas). Like etcd's raft library it has no I/O, no clock and no
// goroutines, and must not import a package that has any: the caller passes the time and received messages to
// Tick and Step, carries out what Ready returns, and reports completed writes with Persisted. The seed of the
// random source and the sequence of calls therefore determine a run. The package logs nothing.
//
// The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
// (2014), with the pre-vote, leadership transfer and joint consensus of Ongaro's dissertation (2014,
// sections 9.6, 3.10 and 4.3). The term serves as the fencing token of the leader. Two things differ from
// these sources:
//
//   - The election timeout of a voter increases with its position in the membership, so that normally the
//     first live voter becomes the leader.
//   - A replica is identified by its disk. A replica with a wiped disk is a new one: it is a learner without
//     a vote until it has caught up and a quorum has committed its admission (compare Liskov and Cowling,
//     "Viewstamped Replication Revisited", 2012, section 4.3 on recovery).
package consensus
