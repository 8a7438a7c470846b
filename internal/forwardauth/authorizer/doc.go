// Package authorizer is the client side of forward authentication: it asks an external auth service whether
// a request may be forwarded to a worker. Package authcache decides what is cached and when the service is
// queried; the policy decides on quota, worker and retries. Quota is reserved during the query, and spent
// only when the request is forwarded.
//
// The package owns the connections to one auth service and the state of that service.
package authorizer
