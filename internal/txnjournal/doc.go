// Package txnjournal decides what the durable journal of non-idempotent transactions says: how records are
// encoded and decoded, what may be relied on when a segment is damaged, which of three verdicts an operator
// gets who asks whether a transaction was sent, and when segments are begun, checkpointed and removed.
//
// It owns the Index, the state that replaying the segments yields. It does no I/O and reads no clock; package
// store keeps the files. Times are Unix milliseconds by the system's clock.
//
// A journal is a sequence of segments, each a SegmentHeader and the Records behind it (compare etcd's wal
// and Prometheus's tsdb/wlog). A KindIntent record is durable before an attempt is sent; a KindOutcome
// record says how the attempt ended. A KindCheckpoint record at the head of a segment says that older ones
// may be removed.
package txnjournal
