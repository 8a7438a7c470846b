// Package authcache decides the part of forward authentication that is not quota, worker selection or
// retry: how long a clearance and a decision of an auth service are valid, how long a request waits for that
// service, and when its circuit breaker is open.
//
// ClearanceTable holds the requests for which reverse proxies have asked for clearance. Service holds the
// state of one auth service. The package does no I/O and reads no clock: callers pass the time in ms, on a
// clock of their choice. Nothing in it is safe for concurrent use. Packages authserver and authorizer do
// the I/O.
package authcache
