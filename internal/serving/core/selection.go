package core

import (
	"math"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

const (
	maxResolvedAddresses = 64
	minNearbyEdges       = 2   // in a zone or region, so that no edges beyond it are needed
	minZoneShare         = 0.5 // of the edges known in a zone, with the same meaning
)

// selectEdges returns the addresses of the edges that a client in a zone and region should use. It chooses
// from the best group that is not empty: edges that are ready and reported by a core in contact, then all
// that are ready, then all that are known. An edge whose core is silent may be lost with it, and an edge that
// is not ready cannot serve all routes, but both are better than none.
func selectEdges(entries []*catalog.Entry, isSilent func(origin string) bool, zone, region string) []string {
	var reliable, ready, known []*wirepb.Edge
	for _, entry := range entries {
		edge := entry.Record.GetEdge()
		if edge == nil || entry.Record.Deleted || edge.Address == "" {
			continue
		}
		known = append(known, edge)
		if !edge.Ready {
			continue
		}
		ready = append(ready, edge)
		if !isSilent(entry.Record.Origin) {
			reliable = append(reliable, edge)
		}
	}
	for _, group := range [][]*wirepb.Edge{reliable, ready, known} {
		if len(group) > 0 {
			return nearestAddresses(group, known, zone, region)
		}
	}
	return nil
}

// nearestAddresses returns the addresses of the edges in a zone. Where these are too few, or too small a part
// of the edges known in the zone to take over the load of the others, it returns those in the region; where
// these are too few, it returns all. The region is preferred since a route may be served in some regions
// only.
func nearestAddresses(edges, known []*wirepb.Edge, zone, region string) []string {
	inZone := func(edge *wirepb.Edge) bool { return edge.Zone == zone }
	inRegion := func(edge *wirepb.Edge) bool { return edge.Region == region }
	minInZone := int(math.Ceil(minZoneShare * float64(len(addressesWhere(known, inZone)))))
	selected := addressesWhere(edges, inZone)
	if len(selected) < max(minNearbyEdges, minInZone) {
		selected = addressesWhere(edges, inRegion)
	}
	if len(selected) < minNearbyEdges {
		selected = addressesWhere(edges, func(*wirepb.Edge) bool { return true })
	}
	return selected[:min(len(selected), maxResolvedAddresses)]
}

// addressesWhere returns the addresses of the edges for which matches returns true.
func addressesWhere(edges []*wirepb.Edge, matches func(*wirepb.Edge) bool) []string {
	var addresses []string
	for _, edge := range edges {
		if matches(edge) {
			addresses = append(addresses, edge.Address)
		}
	}
	return addresses
}
