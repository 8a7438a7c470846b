// Package loadbalancer selects the worker of each request by what one edge knows about the workers: which
// parts of the prompt are in a worker's prefix cache, how many requests it has in flight, how far away it
// is, and whether its recent responses failed. A worker whose requests failed is ejected for a time
// (outlier ejection): its cost is raised so much that it is hardly selected while others have capacity.
//
// All edges agree without messages on the worker that a shared prompt has affinity to, by rendezvous
// hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). When that
// worker is loaded, its cost moves requests to other workers, as in consistent hashing with bounded loads.
//
// Costs are in milliseconds of the time to the first token; other costs are converted to that unit.
//
// Choose selects one of the candidates, and RecordSent counts the request at it. The caller then calls
// RecordFirstToken or ReleasePrefill once, and Release when the request has ended. Times are on the caller's
// clock.
//
// A Balancer is not safe for concurrent use; package edge guards it by a mutex. The package has no I/O,
// clock or goroutines. Of the project it imports only decay.
package loadbalancer
