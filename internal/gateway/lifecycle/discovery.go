package lifecycle

import (
	"context"
	"math/rand"
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/ruleset"
)

// startWatch follows discovery's endpoint list from a version on. An update has to be applied within
// dueMillis of being available.
func (g *Gateway) startWatch(version int64, dueMillis float64) {
	ctx, cancel := context.WithCancel(context.Background())
	address, ended := g.config.DiscoveryAddress, make(chan int64, 1)
	g.cancelWatch, g.watchEnded = cancel, ended
	pace := transport.WatchTiming{
		PollingInstances: g.pollingInstances,
		DueMillis:        dueMillis,
		Random:           rand.New(rand.NewSource(g.config.Seed)).Float64,
	}
	go func() {
		ended <- transport.Watch(ctx, address, version, g.applyDiscoveryUpdate, g.discoveryResponded,
			g.logWatchError, pace)
	}()
}

// pollingInstances is how many gateways may request the list at once; none where it is pushed.
func (g *Gateway) pollingInstances() int {
	if g.config.Connections.PollsDiscovery {
		return int(g.memberCount.Load())
	}
	return 0
}

// awaitFirstWatch waits for the watch's first update or failure, for StartupListWaitMillis at most. Guards
// against requests that are sent by the configured list where a newer one is available.
func (g *Gateway) awaitFirstWatch() {
	select {
	case <-g.firstWatchResult:
	case <-time.After(transport.Millis(policy.StartupListWaitMillis)):
	}
}

// markFirstWatch notes the watch's first update or failure.
func (g *Gateway) markFirstWatch() { g.firstWatchOnce.Do(func() { close(g.firstWatchResult) }) }

// applyDiscoveryUpdate applies an endpoint list, or a change of it, from discovery.
func (g *Gateway) applyDiscoveryUpdate(update endpoints.List) {
	g.endpointsMu.Lock()
	g.dispatcher.ApplyEndpoints(g.endpoints.ApplyDiscovery(update, g.dispatcher.Now()))
	g.endpointsMu.Unlock()
	g.markFirstWatch()
	g.log.Debug().Int64("version", update.Version).Bool("complete", update.Snapshot).
		Int("workers", len(update.Workers)).Msg("endpoints updated")
}

// logWatchError logs at most once in WatchCatchUpMillis that the watch has ended: endless retries must not
// fill the log.
func (g *Gateway) logWatchError(err error) {
	g.markFirstWatch()
	if now := time.Now(); now.Sub(g.watchErrorLogged) > transport.Millis(policy.WatchCatchUpMillis) {
		g.watchErrorLogged = now
		g.log.Warn().Err(err).Msg("discovery watch ended, reopening it")
	}
}

// discoveryResponded notes that discovery has sent something, if only a keep-alive.
func (g *Gateway) discoveryResponded() {
	defer g.markFirstWatch()
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	if list, changed := g.endpoints.DiscoveryAlive(g.dispatcher.Now()); changed {
		g.dispatcher.ApplyEndpoints(list)
	}
}

// applyWorkerOverrides applies the operators' overrides of workers and regions.
func (g *Gateway) applyWorkerOverrides(overrides []ruleset.WorkerOverride) {
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	g.dispatcher.ApplyEndpoints(g.endpoints.SetOverrides(overrides))
}

// discoveryIndex gives the index of the list that discovery has sent; -1 before it has responded.
func (g *Gateway) discoveryIndex() int64 {
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	if !g.endpoints.DiscoveryAnswered() {
		return -1
	}
	return g.endpoints.Version()
}

// checkDiscoveryLag compares with the highest index of discovery's list that any instance has reported. Where
// this one has been behind it for long, it requests endpoints from peers.
func (g *Gateway) checkDiscoveryLag(highest int64) {
	g.endpointsMu.Lock()
	late := g.endpoints.ObserveIndex(highest, g.dispatcher.Now()) && g.endpoints.NeedsPeers()
	g.endpointsMu.Unlock()
	if late && len(g.config.PeerAdminAddresses) > 0 && g.requestingEndpoints.CompareAndSwap(false, true) {
		g.log.Warn().Int64("index", g.discoveryIndex()).Int64("highest", highest).
			Msg("discovery lags, requesting endpoints from peers")
		go g.requestEndpoints(g.config.PeerAdminAddresses, rand.New(rand.NewSource(g.config.Seed)))
	}
}
