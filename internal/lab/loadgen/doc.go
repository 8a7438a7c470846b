// Package loadgen is an open-loop load generator: it sends requests over HTTP to gateway instances by a
// schedule that package workload made ahead. Each request is sent when it is due, whatever became of those
// before it, and its latency counts from that moment.
//
// A running load owns its HTTP client, its goroutines and its report; Run returns after the last of them has
// ended. The package must not import the gateway, which it measures from outside.
package loadgen
