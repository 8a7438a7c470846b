// Package circuitbreaker stops calls to a dependency that keeps failing (M. Nygard, Release It!, "Circuit
// Breaker"). The backoff grows exponentially and has jitter.
//
// Each Breaker holds the state of one dependency. The package does no I/O and reads no clock: callers pass
// the current time, and must call Record or CancelAttempt after each call that Allow admits.
package circuitbreaker
