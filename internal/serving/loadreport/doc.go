// Package loadreport adds up the load that the other edges (peers) report for workers. Reports are
// datagrams. Each report of an edge replaces the previous one, so that the next report makes up for a lost
// one. The report of an edge that has stopped sending expires.
//
// Peers is not safe for concurrent use; package edge guards it by a mutex. The package has no I/O, clock or
// goroutines. Of the project it imports only the message types (wirepb).
package loadreport
