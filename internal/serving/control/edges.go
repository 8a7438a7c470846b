package control

import (
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// edgeOrderReserve is added to an edge's own order when its link is lost, so that the record which says so is
// newer.
const edgeOrderReserve = 1

// EdgeLink is one agent's link to this core.
type EdgeLink struct {
	edge       *wirepb.Edge
	order      uint64
	generation uint64 // of the configuration that the agent has in force
}

// LinkEdge publishes what an agent reports of its edge.
func (e *Engine) LinkEdge(link *EdgeLink, request *wirepb.WatchRequest) {
	link.generation = request.Generation
	if link.edge != nil && link.order == request.EdgeVersion && proto.Equal(link.edge, request.Edge) {
		return
	}
	link.edge = request.Edge
	link.order = request.EdgeVersion
	e.edges[request.Edge.Name] = link
	edge := proto.Clone(request.Edge).(*wirepb.Edge)
	edge.Linked = true
	e.publish(&wirepb.Record{
		Key: catalog.EdgeKey(edge.Name), Version: request.EdgeVersion, Value: &wirepb.Record_Edge{Edge: edge},
	})
}

// UnlinkEdge publishes that an agent's link is lost: no client is directed to its edge until the agent
// connects again, to this or another core.
func (e *Engine) UnlinkEdge(link *EdgeLink) {
	if link.edge == nil || e.edges[link.edge.Name] != link {
		return
	}
	delete(e.edges, link.edge.Name)
	edge := proto.Clone(link.edge).(*wirepb.Edge)
	edge.Ready = false
	edge.Linked = false
	e.publish(&wirepb.Record{
		Key: catalog.EdgeKey(edge.Name), Version: link.order + edgeOrderReserve,
		Value: &wirepb.Record_Edge{Edge: edge},
	})
}

// linkedGeneration returns the generation in force at an edge that is linked to this core, otherwise 0.
func (e *Engine) linkedGeneration(name string) uint64 {
	if link := e.edges[name]; link != nil {
		return link.generation
	}
	return 0
}
