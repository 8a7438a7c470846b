// Package workers keeps the registry of workers. Registry applies the endpoint lists of service discovery,
// assigns each worker a slot (the index by which the policy refers to it), and converts each change to the
// policy's endpoint type. An Upstream is a worker as of an attempt's decision; it reports whether the worker
// is unchanged since. The package makes no decisions and does no I/O; package proxy owns the registry.
package workers
