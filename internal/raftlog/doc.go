// Package raftlog replicates a log among the daemons of several hosts, with go.etcd.io/raft/v3 as the
// consensus library and go.etcd.io/bbolt as the store. It holds both halves of a daemon's part:
//
//   - Node: one daemon's voter in the raft group. It owns the store (log, vote, snapshot and the identity of
//     the disk), the messages between the hosts over HTTP, and the membership. A StateMachine gives the
//     entries a meaning.
//   - RulesetNode: a Node whose state machine decides which version of the ruleset is in force, and grants
//     the gateway processes of this host their leases on it.
//
// One goroutine per open store, that of a session, owns the raft state; all else reaches it through bounded
// queues, and reads what the session has last published.
//
// A disk, not a host, is a member: an empty disk draws a new identity, joins as a new member and replaces
// the one that its host had before. A store that is corrupt, that has fallen behind what its peers have
// seen of it, or that was removed from the group is moved aside and never votes again.
//
// The package must not import the supervisor, the distribution tree or any part of the gateway.
package raftlog
