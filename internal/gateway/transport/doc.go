// Package transport is all that an instance does on sockets: it serves clients, sends requests to workers,
// follows discovery's list and exchanges datagrams with its peers.
//
// - A Frontend reads clients' requests from the connections that a LimitListener accepts, decodes each into a
// Request, hands it to the proxy and writes the FinalAnswer. - A WorkerPool keeps connections to workers. A
// WorkerConn carries one attempt of a request at a time and reads the Answer to it. - Watch follows
// discovery's endpoint list (package endpoints). - Peers sends and receives datagrams, whose content packages
// gossip and creditwire encode.
//
// The package owns connections, buffers and deadlines. It decides nothing about quotas, workers or retries,
// and must not import the proxy, the lifecycle or the admin port. Each message is decoded once into a small
// typed value and encoded once. Times in ms are float64, as in the policy; Millis converts them.
package transport
