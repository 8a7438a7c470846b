package agent

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

const acceptBackoff = 80 * time.Millisecond // after a failed accept

// acceptProxies serves the connections of the proxy until ctx is done.
func (a *Agent) acceptProxies(ctx context.Context, listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(acceptBackoff):
				continue
			}
		}
		go a.serveProxy(framing.NewConn(accepted, linkWriteTimeout))
	}
}

// serveProxy streams updates to the proxy until its connection ends. Without any connection, the edge is
// published as not ready.
func (a *Agent) serveProxy(connection *framing.Conn) {
	defer func() { _ = connection.Close() }() // the proxy has gone, or the connection has failed
	subscription := &wirepb.WatchRequest{}
	if err := connection.ReadMessage(subscription, watch.LinkTimeout); err != nil {
		return
	}
	a.mu.Lock()
	a.proxyLinks++
	a.mu.Unlock()
	watch.Serve(connection, subscription, a.store, a.receiveProxyStatus, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.proxyLinks--
	if a.proxyLinks == 0 && a.edge != nil && a.edge.Ready {
		a.edge = proto.Clone(a.edge).(*wirepb.Edge)
		a.edge.Ready = false
		a.advanceEdgeVersion()
	}
}

// receiveProxyStatus handles a heartbeat of the proxy, and publishes its state where it has changed.
func (a *Agent) receiveProxyStatus(request *wirepb.WatchRequest) {
	a.store.MergeDemands(request.Demands)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demands = request.Demands
	if request.Edge != nil && !proto.Equal(a.edge, request.Edge) {
		a.edge = request.Edge
		a.advanceEdgeVersion()
	}
}
