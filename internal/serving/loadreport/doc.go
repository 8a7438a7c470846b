// Package loadreport adds up the load that the other edges report for workers. Reports are datagrams:
// each one replaces the one before it, so that a lost one is made good by the next, and the report of an
// edge that has stopped sending expires.
//
// A Peers is owned by the edge's decisions and is not safe for concurrent use. The package has no I/O,
// clock or goroutines, and imports nothing of the project but the messages' types (wirepb).
package loadreport
