package configuration

// Values of Route.RouteType, as operators write them.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Route defines which services answer the requests to a hostname and path prefix, and how.
type Route struct {
	Name            string   `json:"name"`              // used only in messages
	Hostname        string   `json:"hostname"`          // compared as CanonicalHost says
	PathPrefix      string   `json:"path_prefix"`       // begins and ends with a slash; the longest match wins
	RouteType       string   `json:"route_type"`        // Idempotent, NonIdempotent or Streaming
	TimeoutMs       float64  `json:"timeout_ms"`        // for a request with all its attempts
	TargetLatencyMs float64  `json:"target_latency_ms"` // 0: none
	Priority        int      `json:"priority"`
	Backend         string   `json:"backend"`       // the service; not used where TrafficSplit is not empty
	TrafficSplit    []Split  `json:"traffic_split"` // the services with their weights
	MaxAttempts     int      `json:"max_attempts"`  // attempts of a request at most; 0 counts as 1
	SessionAffinity bool     `json:"session_affinity"`
	Resumable       bool     `json:"resumable"`       // streams may continue at another worker, by Last-Event-Id
	TargetGapMs     float64  `json:"gap_aim_ms"`      // target time between two events of a stream; 0: none
	AllowedRegions  []string `json:"allowed_regions"` // regions of the workers that may be used; empty: all
}

// Split is one service of a route. Its share of the route's requests is in proportion to its weight.
type Split struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Backends returns the services of a route with their weights: TrafficSplit, or Backend if that is empty.
func (r *Route) Backends() []Split {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Split{{Backend: r.Backend, Weight: 1}}
}

// IsIdempotent reports whether a request may run more than once, so that it may be hedged, or retried after
// its outcome has become unknown. This includes requests for resumable streams, which continue after the
// last event that was received.
func (r *Route) IsIdempotent() bool {
	return r.RouteType == Idempotent || r.RouteType == Streaming && r.Resumable
}

// Service holds the settings for the workers of one service.
type Service struct {
	Name            string  `json:"name"`
	HealthCheckPath string  `json:"health_check_path"`
	MaxConnections  float64 `json:"max_connections"`

	// WarmupSeconds is how long the workers of a zone count as warming up after the zone's evacuation ended.
	WarmupSeconds float64 `json:"cold_start_s"`
	// WarmupRequestsPerSecond limits the requests per second that all edges together send to one worker that
	// is warming up. 0: no limit.
	WarmupRequestsPerSecond float64 `json:"cold_per_s"`

	Engine *Engine `json:"engine"`
}

// Engine describes the inference engine that the workers of a service run.
type Engine struct {
	Capacity      int     `json:"capacity"`
	KVCacheTokens float64 `json:"kv_cache_tokens"`
	Stride        int     `json:"stride"`
}

// Limits are the limits on the size of a client's requests, and on how long a client may take or stay idle.
type Limits struct {
	MaxHeaderBytes  float64 `json:"max_header_bytes"`
	MaxBodyBytes    float64 `json:"max_body_bytes"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms"`
}
