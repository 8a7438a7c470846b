package edge

import (
	"context"
	"time"

	"willowdeck/internal/serving/agent"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

const agentDialTimeout = 300 * time.Millisecond

// subscribe keeps the store up to date from the agent until the context ends.
func (e *Edge) subscribe(ctx context.Context) {
	address := agent.LoopbackAddress(e.settings)
	subscriber := watch.Subscriber{
		Store: e.store, DialTimeout: agentDialTimeout,
		Providers:     func() []watch.Provider { return []watch.Provider{{Address: address}} },
		Status:        e.status,
		StatusChanged: e.statusChange,
		OnLinkChange:  func(string) {},
	}
	subscriber.Run(ctx)
}

// status returns what the edge reports of itself to the agent.
func (e *Edge) status() *wirepb.WatchRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wirepb.WatchRequest{
		Subscriber: e.settings.NodeName,
		Demands:    e.demands,
		Edge: &wirepb.Edge{
			Name: e.settings.NodeName, Address: e.settings.FrontAddress,
			Zone: e.settings.Zone, Region: e.settings.Region,
			Ready: e.ready() && !e.unreachableRoute.Load(), InternalAddress: e.datagramAddress(),
		},
	}
}

// statusChange returns a channel that is closed at the next change of status.
func (e *Edge) statusChange() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statusChanged
}

// notifyStatusChange has the subscription report the status at once.
func (e *Edge) notifyStatusChange() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.statusChanged)
	e.statusChanged = make(chan struct{})
}

// reportDemands sets the demands that the status reports.
func (e *Edge) reportDemands() {
	table := e.table.Load()
	if table == nil {
		return
	}
	demands := e.decisions.demandReports(e.now(), table)
	e.mu.Lock()
	changed := len(demands) > 0 || len(e.demands) > 0
	e.demands = demands
	e.mu.Unlock()
	if changed {
		e.notifyStatusChange()
	}
}
