package control

import (
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// unlinkVersionIncrement is added to the version that an agent last reported of its edge when the link to the
// agent is lost, so that the record that reports the loss supersedes the agent's own.
const unlinkVersionIncrement = 1

// EdgeLink is the connection of one edge's agent to this core.
type EdgeLink struct {
	edge       *wirepb.Edge // as the agent last reported it
	version    uint64       // of that report
	generation uint64       // of the configuration that the agent has in force
}

// LinkEdge handles an agent's report of its edge, and publishes the edge if it differs from the agent's last
// report on this link. A report that comes after a newer one on another link is late: its link is an earlier
// one, which the agent has given up.
func (e *Engine) LinkEdge(link *EdgeLink, request *wirepb.WatchRequest) {
	current := e.edges[request.Edge.Name]
	if current != nil && current != link && current.version > request.EdgeVersion {
		return
	}
	link.generation = request.Generation
	if link.edge != nil && link.version == request.EdgeVersion && proto.Equal(link.edge, request.Edge) {
		return
	}
	link.edge = request.Edge
	link.version = request.EdgeVersion
	e.edges[request.Edge.Name] = link
	edge := proto.Clone(request.Edge).(*wirepb.Edge)
	edge.Linked = true
	e.publish(&wirepb.Record{
		Key: catalog.EdgeKey(edge.Name), Version: request.EdgeVersion, Value: &wirepb.Record_Edge{Edge: edge},
	})
}

// UnlinkEdge publishes that the link to an agent is lost: no client is directed to its edge until the agent
// connects again, to this or another core. If the edge has a newer link to this core, nothing is published.
func (e *Engine) UnlinkEdge(link *EdgeLink) {
	if link.edge == nil || e.edges[link.edge.Name] != link {
		return
	}
	delete(e.edges, link.edge.Name)
	edge := proto.Clone(link.edge).(*wirepb.Edge)
	edge.Ready = false
	edge.Linked = false
	e.publish(&wirepb.Record{
		Key: catalog.EdgeKey(edge.Name), Version: link.version + unlinkVersionIncrement,
		Value: &wirepb.Record_Edge{Edge: edge},
	})
}

// linkedGeneration returns the generation of the configuration in force at an edge whose agent is linked to
// this core, and 0 for any other edge.
func (e *Engine) linkedGeneration(name string) uint64 {
	if link := e.edges[name]; link != nil {
		return link.generation
	}
	return 0
}
