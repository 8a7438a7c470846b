package agent

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// edgeVersionStep is the difference between successive versions of the edge's state. It leaves room for a
// core to publish the loss of the link as a version between them.
const edgeVersionStep = 10

// onLinkChange is called with the address of the core after each connection, and with "" after its loss.
func (a *Agent) onLinkChange(address string) {
	if address == "" {
		a.logger.Info("disconnected from core")
		return
	}
	a.logger.Info("connected to core", zap.String("core", address))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advanceEdgeVersion()
}

// advanceEdgeVersion makes the edge's state newer than any published before, also by a previous incarnation
// of this process, and notifies the subscriber. The caller holds mu.
func (a *Agent) advanceEdgeVersion() {
	a.edgeVersion = max(a.edgeVersion+edgeVersionStep, uint64(time.Now().UnixMilli()))
	close(a.statusChange)
	a.statusChange = make(chan struct{})
}

// statusChanged returns a channel that is closed at the next change of the edge's state.
func (a *Agent) statusChanged() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.statusChange
}

// status returns the edge's state and demands as they are reported to the core.
func (a *Agent) status() *wirepb.WatchRequest {
	a.supersedeStaleRecord()
	a.mu.Lock()
	defer a.mu.Unlock()
	request := &wirepb.WatchRequest{
		Subscriber:  a.settings.NodeName,
		EdgeVersion: a.edgeVersion,
		Demands:     a.demands,
	}
	if a.edge != nil {
		request.Edge = proto.Clone(a.edge).(*wirepb.Edge)
	}
	return request
}

// supersedeStaleRecord advances the edge's version beyond that of a wrong record in the catalog: one of a
// previous incarnation whose clock was ahead, or one of a core that has taken the link for lost.
func (a *Agent) supersedeStaleRecord() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.edge == nil {
		return
	}
	if entry := a.store.Get(catalog.EdgeKey(a.edge.Name)); entry != nil && entry.Record.Version > a.edgeVersion {
		a.edgeVersion = entry.Record.Version + edgeVersionStep
	}
}
