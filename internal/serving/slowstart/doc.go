// Package slowstart limits the requests that this edge sends to a worker that is warming up, so that all
// edges together keep to the worker's rate. It follows the design of rateguard: each edge keeps a token
// bucket and a demand estimate for each such worker. While a worker is quiet at an edge, that edge's
// share is rate×α/N for N edges, and causes no messages. While it is hot, the share is a floor of
// rate×β/N plus the remaining rate times this edge's demand divided by the total demand; the edges report
// their demands to each other. The requests of all edges together, partitioned or not,
// never exceed rate × overshoot + slack in any second:
//
//   - β equals α, so that the floor of a hot edge is the share of a quiet one. Whichever edges are hot, the
//     floors add up to rate×α, and the shares by demand to at most the rest.
//   - An edge that lacks a report of any other edge keeps to its floor.
//   - An increased demand counts for the edge itself only after two consecutive reports, but for the other
//     edges as soon as they receive it.
//
// A Limiter is not safe for concurrent use; package edge guards it by a mutex. The package has no I/O,
// clock or goroutines. Of the project it imports only gcra, decay and the message types (wirepb).
package slowstart
