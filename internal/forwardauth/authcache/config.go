package authcache

// Defaults and limits of the settings in the operators' file for the server that reverse proxies ask for
// clearances.
const (
	// DefaultClearanceLifetimeMillis is several round trips, within which a proxy forwards a cleared request.
	DefaultClearanceLifetimeMillis = 2000.0
	// MaxClearanceLifetimeMillis limits for how long the quota that is reserved for one request is not available
	// to others.
	MaxClearanceLifetimeMillis = 60000.0
	// DefaultUsedRetentionMillis is longer than proxies keep retrying a request.
	DefaultUsedRetentionMillis = 120000.0
	MaxUsedRetentionMillis     = 3.6e6
	DefaultMaxClearances       = 65536 // clearances and used request ids together; about 20 MB
	LargestMaxClearances       = 1 << 20
	DefaultMaxCallers          = 64 // concurrent connections of proxies

	MaxTargetBytes    = 2048 // of a forwarded path and query; workers' own limits are higher
	MaxHeaderBytes    = 512  // of any other forwarded header
	MaxForwardedHops  = 8    // addresses in a forwarded chain; more indicate a loop or a forgery
	CallTimeoutMillis = 1000.0
	// IdleTimeoutMillis is the time after which an idle connection is closed. Proxies close theirs earlier.
	IdleTimeoutMillis = 60000.0
	// RebindIntervalMillis is the time between attempts to bind an address that the predecessor process still
	// uses.
	RebindIntervalMillis = 50.0
	// FullRetryMillis is the time after which a proxy may ask again if the table is full.
	FullRetryMillis = 1000.0
)

// Defaults and limits of the settings in the operators' file for the auth service that the gateway queries.
const (
	DefaultTimeoutMillis = 150.0 // a lookup at a nearby service takes a few ms
	MaxTimeoutMillis     = 10000.0
	DefaultTimeoutShare  = 0.4 // part of a request's remaining time; the worker needs the rest
	// DefaultAllowTTLMillis is the longest time for which a revoked credential is still accepted.
	DefaultAllowTTLMillis = 5000.0
	// DefaultDenyTTLMillis is the longest time for which a newly valid credential may still be rejected.
	DefaultDenyTTLMillis = 1000.0
	MaxDecisionTTLMillis = 3.6e6
	DefaultMaxDecisions  = 100000 // about 27 MB
	LargestMaxDecisions  = 1 << 20
	DefaultConnections   = 16
	MaxConnections       = 1024
	MaxResponseBytes     = 16 << 10 // of the service's response; only the header is used

	DefaultBreakerThreshold        = 5
	DefaultBreakerBackoffMillis    = 500.0
	DefaultBreakerMaxBackoffMillis = 10000.0
	MaxBreakerBackoffMillis        = 600000.0

	// ReservationGraceMillis is how long after the timeout of a query its reservation expires.
	ReservationGraceMillis = 50.0
)
