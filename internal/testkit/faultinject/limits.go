package faultinject

import "time"

const (
	// maxQueuedDatagrams bounds the datagrams that a direction queues; more are dropped. It is a second of a
	// busy peer's.
	maxQueuedDatagrams = 1024
	// kernelBytes is asked of the kernel for what comes to a relay that has no core: what overflows is lost
	// without being counted.
	kernelBytes = 1 << 20
	// datagramBytes is the largest datagram there is.
	datagramBytes = 1 << 16
	// chunkBytes and maxChunks bound what a direction of one connection holds; its reader waits then, as
	// before a full window. A quarter of a megabyte; a chunk passes a slow link as one.
	chunkBytes, maxChunks = 4 << 10, 64
	// maxConnections is how many connections a stream has at once; one more is ended.
	maxConnections = 1024
	// defaultReorderDelay is how long a reordered datagram is held back where a Shape names no time: at gossip's
	// rate a few later ones overtake it.
	defaultReorderDelay = 20 * time.Millisecond
	// dialTimeout bounds a relay's own dial: on loopback one that is not established by then never will be.
	dialTimeout = 2 * time.Second
	// pollInterval is how often a condition that is waited for is checked.
	pollInterval = 5 * time.Millisecond
	// exitTimeout bounds the time until an ended process is reaped: the kernel has to tear it down.
	exitTimeout = 10 * time.Second
	// outputTimeout bounds the wait for the output of a process that has ended.
	outputTimeout = 500 * time.Millisecond
	// stopTimeout bounds the time until a stop signal takes effect.
	stopTimeout = 2 * time.Second
	// execTimeout bounds the time from a process's fork to its exec, on a loaded machine.
	execTimeout = 2 * time.Second
	// maxReplays bounds the plays of one Shrink: minutes, with plays of a few seconds.
	maxReplays = 200
	// minStepMillis is the shortest fault that is drawn, in milliseconds: shorter ones are lost in the
	// scheduling of a process.
	minStepMillis = 50
	// meanStepFraction is the mean duration of a drawn fault as a fraction of the schedule's span: several
	// overlap.
	meanStepFraction = 0.1
	// quietFraction is the fraction of a schedule's span at its end that has no faults.
	quietFraction = 0.2
)

// T is the part of testing.T that the rig uses; a program may bring its own.
type T interface {
	Helper()
	Cleanup(func())
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	TempDir() string
}
