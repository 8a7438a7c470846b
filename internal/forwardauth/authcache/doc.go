// Package authcache decides the part of forward authentication that is not quota, worker selection or
// retry: how long a clearance and a decision of an auth service are valid, how long that service is waited
// for, and when its circuit breaker is open.
//
// It owns a ClearanceTable, the requests that proxies have asked to be cleared, and the state of one auth
// Service. It does no I/O and reads no clock: callers pass the time, in ms of a clock of their own. Nothing
// in it is safe for concurrent use. Packages authserver and authorizer do the I/O.
package authcache
