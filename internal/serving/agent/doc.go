// Package agent is the program beside each edge proxy. It subscribes to a core, keeps a replica of what the
// core publishes, and serves it to the proxy over loopback; in the other direction it reports the proxy's
// state to the core. A proxy that restarts finds all it needs here, and a proxy whose agent restarts
// continues with what it has. All state is in memory.
//
// Run is the entry point. The package must not import the core or the edge.
package agent
