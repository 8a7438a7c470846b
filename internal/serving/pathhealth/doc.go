// Package pathhealth detects failure domains (zones and regions) with which an edge has no network path in
// one direction or the other. It sends probes to the edges of the other zones in turn. A domain is
// suspected after several consecutive probes to different edges were not answered. This is the failure
// detection of SWIM (Das, Gupta and Motivala, 2002), applied to paths in place of members. The edges of a
// domain represent its workers, so that a network partition or the loss of a region is detected at once,
// and not only by the timeouts of each worker.
//
// The receiver of a probe answers at once. An answer therefore proves that both directions worked after the
// probe was sent, and so does the head of a worker's response for its request. The first unanswered probe
// is followed by others in quick succession. The number of probes to a region does not grow with the number
// of its edges, and while no probe is missed an edge sends at most about probesPerSecond probes per second.
//
// A Detector is not safe for concurrent use; package edge guards it by a mutex. The package has no I/O,
// clock or goroutines, and imports nothing of the project.
package pathhealth
