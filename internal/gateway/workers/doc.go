// Package workers keeps the workers by index. Registry applies the endpoint lists of service discovery,
// assigns each worker a slot (the index by which the policy names it), and gives the policy's form of each
// change. An Upstream is a worker as it was when an attempt was decided on; it tells whether the worker is
// still the same. The package decides nothing and does no I/O; package proxy owns the registry.
package workers
