// Package authserver is the server side of forward authentication: before reverse proxies forward a client's
// request, they ask this server whether they may. The policy decides by the customer's quota. A clearance
// reserves quota until the request is received at the gateway's own port.
//
// The package owns the listener for reverse proxies and the table of clearances, which package authcache
// implements.
package authserver
