package core

import (
	"math"
	"net/http"

	"willowdeck/internal/serving/catalog"
)

const maxTTLSeconds = 1.0 // of a resolved list of addresses

// directoryHandler returns the handler of the directory, where clients resolve the addresses of edges.
func (c *Core) directoryHandler() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc("GET /resolve", c.resolve)
	return handler
}

// resolveResponse is the body of the response to a client.
type resolveResponse struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl_s"` // seconds for which the client may use the addresses
}

// resolve returns the addresses of the edges that a client in a zone and region should use.
func (c *Core) resolve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	edges := c.engine.StateView().EntriesOf(catalog.Edges)
	selected := selectEdges(edges, c.engine.OriginSilent, query.Get("zone"), query.Get("region"))
	if len(selected) == 0 {
		writeError(w, http.StatusServiceUnavailable, "no edge is known yet: retry later")
		return
	}
	ttl := math.Min(maxTTLSeconds, c.settings.Bounds.MaxResolveTTL.Seconds())
	writeJSON(w, http.StatusOK, resolveResponse{Addresses: selected, TTL: ttl})
}
