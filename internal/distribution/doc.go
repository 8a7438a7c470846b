// Package distribution decides how rulesets that are in force go from a small raft group to thousands of
// gateways, down a tree of relays. A Follower requests the current state from one of several upstreams, a
// Source responds to those below, and a Replica is a gateway's copy of its part of the ruleset. One Snapshot
// between a Follower and a Source makes a relay.
//
// The package owns the state of followers, sources and replicas, and the encoding of their messages. It does
// no I/O, reads no clock and starts no goroutine: the host passes in the time and the messages, and carries
// out what NextAction returns. It must not import packages that do I/O. No type is safe for concurrent use.
//
// Times and durations are float64 milliseconds throughout, of one clock of the host that goes on while the
// process is stalled. The reasons of the protocol are in docs/relay-design.md.
package distribution
