// Package consensus decides how the replicas of the core agree on one log: which replica acts, which
// entries are committed, and who belongs to the quorum. It has no I/O, no clock and no goroutines: its
// caller brings time and messages, and carries out what Take returns. One seed therefore replays a whole
// run.
//
// Method: the replicated log of Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
// (2014), with pre-votes and one-at-a-time membership changes of Ongaro's dissertation (2014, sections 4
// and 9.6). The term is the epoch that fences the acting replica. Two things differ:
//
//   - Replicas stand for election in an agreed order (the order of the membership): each further replica
//     waits longer, so that the first live one acts.
//   - A replica's identity is that of its disk. A wiped disk is a new replica: it votes for nothing until
//     the acting replica has brought it up to date and a majority has admitted it (compare Liskov and
//     Cowling, "Viewstamped Replication Revisited", 2012, section 4.3 on recovery).
package consensus
