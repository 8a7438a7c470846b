// Package bootstrap decides which list of workers a starting instance uses until discovery has answered
// it: the list in its own configuration, completed by the lists of running peers.
//
// It owns the known list, the operators' overrides of workers and the peer list in use, and does no I/O:
// the lifecycle package requests the peers' lists, and passes on what discovery sends. Begin at Registry.
package bootstrap
