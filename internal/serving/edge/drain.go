package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/drain"
)

const (
	// clientDirectoryLag is how long clients with old answers of the directory still come to an edge.
	clientDirectoryLag   = 3300 * time.Millisecond
	shutdownPollInterval = 50 * time.Millisecond
	shutdownMargin       = 400 * time.Millisecond // kept before the platform's SIGKILL

	// otherEdgeRetryAfter is stated where another edge takes requests: the client can go there at once.
	otherEdgeRetryAfter = 50 * time.Millisecond
	// restartTime is how long an edge takes from its end until it serves again.
	restartTime = time.Second
)

// drain lets clients move to other edges and waits for the requests in flight, within the platform's grace
// period. Those without a response at its end get one of the edge.
func (e *Edge) drain(server *frontServer) {
	begun := e.now()
	limit := e.settings.Bounds.GracePeriod - shutdownMargin
	e.gate.Begin(begun, begun+limit)
	e.notifyStatusChange()
	for e.now()-begun < limit {
		if e.now()-begun > clientDirectoryLag && e.gate.CloseIfIdle() {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	e.gate.Close()
	shutDown(server, shutdownMargin/2)
	e.healthChecker.interruptAll()
	shutDown(server, shutdownMargin/4) // what outlasts it is cut off by the end of the process
}

// shutDown waits until the server has written the responses of all requests in flight, at most so long.
func shutDown(server *frontServer, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	server.Shutdown(ctx)
}

// drainRoute returns a route in the form that the gate takes.
func drainRoute(route *configuration.Route) drain.Route {
	return drain.Route(route.Match())
}

// hasRoute reports whether the set has a route.
func (s *routeSet) hasRoute(wanted drain.Route) bool {
	return slices.ContainsFunc(s.routesByHost[wanted.Host], func(route *configuration.Route) bool {
		return drainRoute(route) == wanted
	})
}

// rejectWhileDraining rejects a request that this edge cannot finish any more. The client is told when an
// edge takes it: at once, where another one is ready, or else when this one is back.
func (e *Edge) rejectWhileDraining(w http.ResponseWriter) {
	reject(w, http.StatusServiceUnavailable, e.drainRetryAfter())
}

// drainRetryAfter returns when some edge takes a request that this one refuses while it drains.
func (e *Edge) drainRetryAfter() time.Duration {
	if e.otherEdgeReady() {
		return otherEdgeRetryAfter
	}
	return e.gate.TimeLeft(e.now()) + restartTime
}

// otherEdgeReady reports whether some other edge takes requests, as far as known.
func (e *Edge) otherEdgeReady() bool {
	for _, entry := range e.store.EntriesOf(catalog.Edges) {
		edge := entry.Record.GetEdge()
		if !entry.Record.Deleted && edge.GetReady() && edge.GetName() != e.settings.NodeName {
			return true
		}
	}
	return false
}
