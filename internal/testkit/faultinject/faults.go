// Package faultinject runs processes of the real program on loopback and breaks what is between them, by a
// script
// that a seed makes. It needs no privileges: links are broken in relays, processes by signals, disks between
// two lives of a process or by a limit on its files. docs/rig.md is the page on it.
//
// What is decided (drawing a schedule, its order, what undoes a step, making it smaller) is free of I/O:
// schedule.go, acts.go and shrink.go. Relays, processes and disks carry it out.
package faultinject

import "time"

const (
	// mostDatagrams is how many datagrams a direction holds, more are dropped: a second of a busy peer's.
	mostDatagrams = 1024
	// kernelBytes is asked of the kernel for what comes to a relay that has no core: what overflows is lost
	// without being counted.
	kernelBytes = 1 << 20
	// datagramBytes is the largest datagram there is.
	datagramBytes = 1 << 16
	// chunkBytes and mostChunks bound what a direction of one connection holds; its reader waits then, as
	// before a full window. A quarter of a megabyte; a chunk passes a slow link as one.
	chunkBytes, mostChunks = 4 << 10, 64
	// mostConnections is how many connections a stream has at once; one more is ended.
	mostConnections = 1024
	// usualBack is by how long a datagram is held back where a Shape does not say: a few of those that follow
	// at gossip's pace pass it.
	usualBack = 20 * time.Millisecond
	// dialLimit ends a relay's own call: on loopback one that is not up by then never will be.
	dialLimit = 2 * time.Second
	// lookEach is how often what is waited for is looked at.
	lookEach = 5 * time.Millisecond
	// endLimit is how long an ended process may take until it is reaped: the kernel has to tear it down.
	endLimit = 10 * time.Second
	// lastWords is how long the output of a process that has ended is waited for.
	lastWords = 500 * time.Millisecond
	// stopLimit is how long a signal to stop may take to act.
	stopLimit = 2 * time.Second
	// startsWithin is how long a process may take from its fork to its exec, on a loaded machine.
	startsWithin = 2 * time.Second
	// mostReplays is how often Shrink asks whether a schedule breaks: with plays of a few seconds, minutes.
	mostReplays = 200
	// leastStep is the shortest fault that is drawn, ms: shorter ones are lost in the scheduling of a process.
	leastStep = 50
	// usualPart is the share of a schedule's span that a drawn fault lasts on average: several overlap.
	usualPart = 0.1
	// calmPart is the share of a schedule's span that is left without faults at its end.
	calmPart = 0.2
)

// T is what the rig needs of a test: *testing.T has it, and a program may bring its own.
type T interface {
	Helper()
	Cleanup(func())
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	TempDir() string
}
