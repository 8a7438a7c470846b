package configuration

// Values of Route.RouteType, as operators write them.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Route states which services answer the requests to a host below a path prefix, and how.
type Route struct {
	Name            string   `json:"name"`              // for messages only
	Hostname        string   `json:"hostname"`          // compared without regard to case
	PathPrefix      string   `json:"path_prefix"`       // begins and ends with a slash; the longest match wins
	RouteType       string   `json:"route_type"`        // Idempotent, NonIdempotent or Streaming
	TimeoutMs       float64  `json:"timeout_ms"`        // of a request with all its attempts
	TargetLatencyMs float64  `json:"target_latency_ms"` // 0: none
	Priority        int      `json:"priority"`
	Backend         string   `json:"backend"`       // the service; ignored where TrafficSplit is not empty
	TrafficSplit    []Split  `json:"traffic_split"` // the services by weight
	MaxAttempts     int      `json:"max_attempts"`  // of a request; 0 counts as 1
	SessionAffinity bool     `json:"session_affinity"`
	Resumable       bool     `json:"resumable"`       // streams may go on at another worker, by Last-Event-Id
	TargetGapMs     float64  `json:"gap_aim_ms"`      // between two events of a stream; 0: none
	AllowedRegions  []string `json:"allowed_regions"` // of the workers; empty: all
}

// Split is one service's share of a route's requests, in proportion to the weights.
type Split struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Key returns the identity of a route, which is unique in a configuration.
func (r *Route) Key() string { return r.Hostname + r.PathPrefix }

// Backends returns the services of a route with their weights.
func (r *Route) Backends() []Split {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Split{{Backend: r.Backend, Weight: 1}}
}

// IsIdempotent reports whether a request may run more than once, so that it may be retried or hedged
// after its outcome became unknown. A resumable stream is one of these: it goes on after the last event
// received.
func (r *Route) IsIdempotent() bool {
	return r.RouteType == Idempotent || r.RouteType == Streaming && r.Resumable
}

// Service is what a configuration states for the workers of one service.
type Service struct {
	Name            string  `json:"name"`
	HealthCheckPath string  `json:"health_check_path"`
	MaxConnections  float64 `json:"max_connections"`

	// WarmupSeconds is how long the workers of a zone count as warming up after the zone's evacuation ends.
	WarmupSeconds float64 `json:"cold_start_s"`
	// WarmupRequestsPerSecond bounds what all edges together send to one worker that is warming up. 0: no bound.
	WarmupRequestsPerSecond float64 `json:"cold_per_s"`

	Engine *Engine `json:"engine"`
}

// Engine describes the inference engine of a service's workers.
type Engine struct {
	Capacity      int     `json:"capacity"`
	KVCacheTokens float64 `json:"kv_cache_tokens"`
	Stride        int     `json:"stride"`
}

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes  float64 `json:"max_header_bytes"`
	MaxBodyBytes    float64 `json:"max_body_bytes"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms"`
}
