// Package relay runs the processes of package distribution: it carries rulesets from the raft group down a
// tree of relays, and what hosts act on back up. Client and Subscription follow upstreams; Handler and Root
// respond to those below; Relay is a whole relay process; Checkpoint stores what was received last.
//
// The package owns connections, goroutines, the stored checkpoint and the counts of traffic. What is
// requested, accepted and sent is decided by package distribution. It must not import the gateway, but for
// its clock, nor package supervisor.
//
// Ages are counted by a clock that goes on while the process is stalled and while the machine sleeps. See
// docs/relay-design.md.
package relay
