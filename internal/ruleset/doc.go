// Package ruleset decides which version of the rules is in force, and until when a gateway instance may act
// on it.
//
// It has three kinds of state. StateMachine is the activation state that every voter of the raft group
// derives from the same log: the version in force, the pending version, and the superseded versions that some
// instance may still act on. LeaseHolder is one instance's lease on a version: its expiry, the fallback after
// the expiry, and the fencing step that the instance acknowledges. HostAgent is the part of a host's daemon
// that connects the two: it grants leases from confirmed reads, and submits acknowledgements and expirations
// to the log. LeaseGrantor is the part of HostAgent that records which processes may hold leases.
//
// A fencing step numbers the changes of the content of leases. It grows by one with each proposal, withdrawal
// and activation. A host acknowledges a step once none of its processes acts on an older one.
//
// The package does no I/O, reads no clock and starts no goroutine: the caller sets the time, passes in the
// events that have arrived, and pulls the resulting actions. Times are in milliseconds on a clock that keeps
// running while the process is suspended. The package must not import packages that do I/O. No type here is
// safe for concurrent use unless its comment says so.
package ruleset
