// Package emulator simulates a fleet as discrete events in virtual time: clients, gateway instances that run
// the policy itself, workers, and the network between them. One seed gives one run, to the last bit: events
// run in one goroutine, each source of randomness is drawn in the order of events, and no map's order decides
// anything.
//
// A run owns all its state; Scenario and Result are its input and output, and both have stored forms. The
// package must not import the gateway or any wire format.
package emulator
