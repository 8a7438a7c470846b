// Package circuitbreaker stops calls to a dependency that keeps failing (M. Nygard, Release It!, "Circuit
// Breaker"). The backoff grows exponentially and has jitter.
//
// It owns the state of one Breaker per dependency, does no I/O and reads no clock: its caller passes the
// time. Every call that Allow has admitted is followed by Record or CancelAttempt.
package circuitbreaker
