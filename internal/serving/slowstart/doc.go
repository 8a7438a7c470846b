// Package slowstart decides how much of the rate of a worker that is warming up this edge may send, after
// rateguard: each edge keeps a token bucket and a demand estimate for each such worker. A quiet worker gets
// rate/N×α from each of N edges and causes no messages. A hot one gets a floor of rate×β/N, and the rest
// by own demand over total demand, which the edges report to each other. Summed over all edges, partitioned
// or not, what is sent never passes rate × overshoot + slack in any second:
//
//   - β equals α, so that a hot edge's floor is a quiet edge's share: whichever edges have turned hot, the
//     floors add up to rate×α, and the shares by demand to the rest.
//   - An edge that lacks a report of any other edge stays at its floor.
//   - A demand counts for its own edge only once it has been reported for an interval, and for the others at
//     once.
//
// A Limiter is owned by the edge's decisions and is not safe for concurrent use. The package has no I/O,
// clock or goroutines, and imports nothing of the project but gcra, decay and the messages' types (wirepb).
package slowstart
