// Package bootstrap decides which list of workers a starting gateway uses until service discovery has
// answered: the list known at the start, merged with the newest list of a running peer. Later it uses a
// peer's list only while the answers of discovery are outdated.
//
// The package keeps the local list, the operators' overrides of workers and the peer's list in use, and
// does no I/O: package lifecycle requests the peers' lists, and passes on the updates of discovery. The
// central type is Registry.
package bootstrap
