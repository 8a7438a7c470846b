// Package connlimit bounds the memory that the connections of HTTP clients take in a process before their
// requests reach a handler: buffers, stacks, and the heads of requests that have come in part. A connection
// or a head that does not fit gets 503 with the time after which there should be room.
package connlimit
