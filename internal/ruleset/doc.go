// Package ruleset decides which version of the rules is in force, and until when a gatekeeper may act on it.
//
// It owns three states. StateMachine is the activation state that every voter of the raft group derives from
// the same log: the version in force, the pending one, and the superseded ones that somebody may still act
// on. LeaseHolder is one gatekeeper's lease on a version: its expiry, the fallback after it, and the fencing
// step that the gatekeeper acknowledges. HostAgent is a host's daemon between the two: it grants leases from
// confirmed reads, and submits acknowledgements and expirations to the log; LeaseGrantor is the part of it
// that remembers which processes hold leases.
//
// A fencing step is the number of a change of what leases say. It grows with each proposal, withdrawal and
// activation. A host acknowledges a step once none of its processes acts on anything older.
//
// The package does no I/O, reads no clock and starts no goroutine: its host sets the time, hands in what has
// arrived, and pulls the actions that follow. Times are milliseconds on a clock that goes on while the
// process is suspended. It must not import packages that do I/O. No type here is safe for concurrent use
// unless its comment says so.
package ruleset
