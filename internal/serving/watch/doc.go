// Package watch carries the core's state to the edges: a core serves it to agents, and an agent to its
// proxy. Each end holds a stateview.Store. The subscriber opens the link with a request that states its
// position; the provider sends an update at each change and a heartbeat otherwise, and the subscriber
// sends its status as heartbeats the other way.
//
// Serve is the provider's end, Subscriber.Run the other one. The package owns the links and no state; it
// must not import the programs (core, agent, edge).
package watch
