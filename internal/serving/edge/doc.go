// Package edge is the reverse proxy that clients connect to: it receives their requests, selects a worker for
// each, and relays the response. Its view of configuration and workers comes from the agent on its host; it
// decides alone, and waits for nobody but the worker.
//
// The package owns the process's sockets and goroutines. Each request runs in the goroutine of its client's
// connection and reads one immutable routingTable; what requests share is behind the locks of decisions,
// healthChecker and pathMonitor. Edges exchange datagrams about load, long prompts, unhealthy workers and
// network paths; a lost one costs only accuracy.
//
// The package must not import core, control or consensus. Run starts it.
package edge
