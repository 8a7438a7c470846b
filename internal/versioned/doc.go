// Package versioned keeps versioned state as immutable sets of entries, and makes deltas between two states
// that can be checked. A new state costs time and memory for what it changes of the one before, as they
// share the rest.
//
// The package does no I/O and keeps no state of its own. It must not import any other package of this module.
// Delta, Entry and VersionID are encoded as CBOR arrays: the order of their fields is their form.
package versioned
