package edge

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/pathhealth"
	"willowdeck/internal/serving/wirepb"
)

// unknownEdgeCount stands for the number of edges while it is not known: each one's share of the retry
// budget's slack is next to nothing then.
const unknownEdgeCount = 10_000

// routeSet is what the routes of a configuration say. It is immutable once built.
type routeSet struct {
	routesByHost  map[string][]*configuration.Route // by canonical host; the longest path prefix first
	priorityRanks map[*configuration.Route]int      // at a worker; 0 is the most urgent
	// maxStreamGapMillis bounds the gaps between tokens of a service's streams, by its strictest route.
	maxStreamGapMillis map[string]float64
}

// routingTable is what requests are routed by: the configuration and the workers at one moment. It is
// immutable once built.
type routingTable struct {
	*routeSet
	generation       uint64
	services         map[string]*configuration.Service
	limits           configuration.Limits
	workersByService map[string][]worker // those that may get new requests
	addresses        map[string]string   // of all known workers, by instance
	demands          []*wirepb.Demand    // for workers that are warming up, of all edges
	peers            []peer
	linkedPeers      int // how many of peers are linked, as the core says
	// edgeCount is N, how many edges there are, this one included. It is never too low; 0: not known.
	edgeCount int
}

// peer is another edge.
type peer struct {
	pathhealth.Target
	address netip.AddrPort // where it receives datagrams
}

// worker is one that may get requests.
type worker struct {
	loadbalancer.Worker
	warmingUntil time.Duration // its rate is limited until then
}

// retryBudgetEdges returns how many edges share the retry budget's slack. It is never too low.
func (t *routingTable) retryBudgetEdges() int {
	if t.edgeCount == 0 {
		return unknownEdgeCount
	}
	return t.edgeCount
}

// route returns the route of a request, or nil.
func (s *routeSet) route(host, path string) *configuration.Route {
	for _, route := range s.routesByHost[configuration.CanonicalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// linkedPeerAddresses returns the addresses of the linked peers in the regions that include accepts.
func (t *routingTable) linkedPeerAddresses(include func(region string) bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range t.peers {
		if t.peers[i].Linked && include(t.peers[i].Region) {
			addresses = append(addresses, t.peers[i].address)
		}
	}
	return addresses
}

// allowed reports whether workers of a region are allowed where the regions of a route are given. An empty
// list allows all.
func allowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
