// Package execution records what is known of a request's execution at the workers that it was sent to, and
// which responses that knowledge allows.
//
// The statuses 408, 421, 429 and 503 promise a client that its request was not executed and will not be: a
// client repeats a non-idempotent request after them. A proxy may respond with one only where each attempt
// has ended with evidence for it. A Record collects the outcomes of the attempts. It is not safe for
// concurrent use. The package does no I/O.
package execution
