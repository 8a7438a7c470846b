// Package versioned represents versioned state as immutable sets of entries, and computes deltas between
// two states whose application is verified by a digest. A new state shares memory with the one before it
// and costs time and memory only for the entries that differ.
//
// The package does no I/O and has no state of its own. It must not import any other package of this module.
// Delta, Entry and VersionID are encoded as CBOR arrays, so the order of their fields is part of the format.
package versioned
