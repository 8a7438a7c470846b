package authcache

// Defaults and bounds of the settings in the operators' file, for the clearances of the server that proxies
// ask.
const (
	// DefaultClearanceLifetimeMillis: a proxy forwards a request within some round trips.
	DefaultClearanceLifetimeMillis = 2000.0
	// MaxClearanceLifetimeMillis: what is reserved for one request others can't have.
	MaxClearanceLifetimeMillis = 60000.0
	// DefaultUsedRetentionMillis is longer than proxies go on retrying.
	DefaultUsedRetentionMillis = 120000.0
	MaxUsedRetentionMillis     = 3.6e6
	DefaultMaxClearances       = 65536 // clearances and used request ids together; some 20 MB
	LargestMaxClearances       = 1 << 20
	DefaultMaxCallers          = 64 // concurrent connections of proxies

	MaxTargetBytes    = 2048 // of a forwarded path and query; workers' own bounds lie above
	MaxHeaderBytes    = 512  // of any other forwarded header
	MaxForwardedHops  = 8    // addresses in a forwarded chain; more is a loop or a forgery
	CallTimeoutMillis = 1000.0
	// IdleTimeoutMillis is when an idle connection is closed; proxies keep theirs for less.
	IdleTimeoutMillis = 60000.0
	// RebindIntervalMillis is the time between attempts to bind an address that the predecessor still has.
	RebindIntervalMillis = 50.0
	// FullRetryMillis is when a proxy may ask again while the table is full.
	FullRetryMillis = 1000.0
)

// Defaults and bounds of the settings in the operators' file, for the auth service that is asked.
const (
	DefaultTimeoutMillis = 150.0 // a look-up beside it takes a few ms
	MaxTimeoutMillis     = 10000.0
	DefaultTimeoutShare  = 0.4 // of a request's remaining time; a worker needs the rest
	// DefaultAllowTTLMillis is how long a revoked credential still passes.
	DefaultAllowTTLMillis = 5000.0
	// DefaultDenyTTLMillis is how long a new credential may be rejected.
	DefaultDenyTTLMillis = 1000.0
	MaxDecisionTTLMillis = 3.6e6
	DefaultMaxDecisions  = 100000 // 27 MB
	LargestMaxDecisions  = 1 << 20
	DefaultConnections   = 16
	MaxConnections       = 1024
	MaxResponseBytes     = 16 << 10 // of the service's response; all that counts is in its header

	DefaultBreakerThreshold        = 5
	DefaultBreakerBackoffMillis    = 500.0
	DefaultBreakerMaxBackoffMillis = 10000.0
	MaxBreakerBackoffMillis        = 600000.0

	// ReservationGraceMillis is how long after the time-out a reservation lapses by itself.
	ReservationGraceMillis = 50.0
)
