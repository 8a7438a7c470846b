// Package loadbalancer selects the worker of each request from what one edge knows: which parts of the prompt
// a worker has in its prefix cache, how many requests it has in flight, how far away it is, and how its
// recent responses ended. A worker whose requests failed is ejected for a time, as by outlier detection: its
// cost is raised so far that it is hardly selected while others have capacity.
//
// All edges agree without messages on the worker that a shared prompt has affinity to, by rendezvous hashing
// (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998); load moves requests away
// from it, as with consistent hashing with bounded loads.
//
// Costs are in milliseconds of the time to the first token; prices other than time are converted to it.
//
// Use: Choose selects among candidates and RecordSent counts the request there. RecordFirstToken or
// ReleasePrefill follows once, and Release at the end. Times are those of the caller's clock.
//
// A Balancer is owned by the edge's decisions and is not safe for concurrent use. The package has no I/O,
// clock or goroutines, and imports nothing of the project but decay.
package loadbalancer
