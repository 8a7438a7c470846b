// Package authorizer asks an external auth service whether a request may be forwarded to a worker: forward
// authentication, as its client. Package authcache decides what is cached and when the service is asked;
// the policy decides quota, worker and retry. Quota is reserved while the service is asked, and spent only
// when the request is forwarded.
//
// It owns the connections to one auth service and the state of that service.
package authorizer
