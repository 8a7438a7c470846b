// Package endpoints encodes and decodes discovery's endpoint list: the workers with their addresses, zones
// and states, as a snapshot or as the changes up to a version of it.
//
// Decode reads one list from memory, Append encodes one, and a Stream reads one after another from a
// connection within Limits. The package owns no state beyond a Stream, does no I/O of its own and must not
// import the policy or any other part of the gateway.
package endpoints
