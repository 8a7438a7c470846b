// Package authserver is the server that reverse proxies ask, before they forward a client's request,
// whether it may come: forward authentication, as its server. The policy decides by the customer's quota; a
// clearance reserves that until the request comes to the gateway's own port.
//
// It owns the listener for proxies and the table of clearances, whose decisions are in package authcache.
package authserver
