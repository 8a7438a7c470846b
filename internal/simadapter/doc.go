// Package simadapter connects the gateway's policy to the simulator: it decodes batches of events from a
// stream of JSON lines into calls on the instances in this process, and encodes their decisions as the
// reply.
//
// A batch is a line ["ROUND", clock in us], events, and a line ["END"]; the reply to a batch ends with
// ["READY"]. The names of events and decisions, and the positions of their values, are the simulator's and
// never change. The package owns the instances and reads no clock. Begin at Run.
package simadapter
