// Package pathhealth detects which failure domains an edge has no network path to, there and back. It has
// one edge of each other zone probed in turn, and a domain is suspected once several probes in a row, to
// different edges, have stayed without an answer. This is the failure detection of SWIM (Das, Gupta and
// Motivala, 2002) applied to paths in place of members: the edges there stand for the workers, so that a
// partition or the loss of a region is seen at once, and not by each worker's time-outs.
//
// A probe is answered by its receiver at once, so an answer proves both directions as of the moment at
// which the probe was sent; so does the head of a worker's response. A first unanswered probe is followed
// by others in quick succession. What a domain costs does not grow with the number of edges, and all
// probes of an edge together keep within probesPerSecond.
//
// A Detector is owned by the edge's paths and is not safe for concurrent use. The package has no I/O,
// clock or goroutines, and imports nothing of the project.
package pathhealth
