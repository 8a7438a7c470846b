// Package configuration holds the operator's configurations: their types, their check, and the differences
// between two of them. It has no I/O.
package configuration

// Route types.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Route says which service answers requests of a host below a path prefix.
type Route struct {
	Name            string   `json:"name"`
	Hostname        string   `json:"hostname"`
	PathPrefix      string   `json:"path_prefix"`
	RouteType       string   `json:"route_type"`
	TimeoutMs       float64  `json:"timeout_ms"`
	TargetLatencyMs float64  `json:"target_latency_ms"`
	Priority        int      `json:"priority"`
	Backend         string   `json:"backend"`
	TrafficSplit    []Split  `json:"traffic_split"`
	MaxAttempts     int      `json:"max_attempts"`
	SessionAffinity bool     `json:"session_affinity"`
	Resumable       bool     `json:"resumable"`
	GapAimMs        float64  `json:"gap_aim_ms"`
	AllowedRegions  []string `json:"allowed_regions"`
}

// Split is one service's part of a route's requests.
type Split struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Key identifies a route: no two of a configuration share it.
func (r *Route) Key() string { return r.Hostname + r.PathPrefix }

// Backends returns the services of a route with their weights.
func (r *Route) Backends() []Split {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []Split{{Backend: r.Backend, Weight: 1}}
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.RouteType == Idempotent || r.RouteType == Streaming && r.Resumable
}

// Service is what a configuration says of the workers of one service.
type Service struct {
	Name            string  `json:"name"`
	HealthCheckPath string  `json:"health_check_path"`
	MaxConnections  float64 `json:"max_connections"`
	ColdStartS      float64 `json:"cold_start_s"`
	ColdPerS        float64 `json:"cold_per_s"`
	Engine          *Engine `json:"engine"`
}

// Engine describes the model engine of a service's workers.
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
