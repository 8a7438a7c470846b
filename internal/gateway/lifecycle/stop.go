package lifecycle

import (
	"errors"
	"os"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

var errServingEnded = errors.New("frontend: serving ended without an order to stop")

// Run serves until stop delivers a signal or serving fails, then stops. At each signal of reload it applies
// the configuration that read gives, also while it stops, which takes until the last request is answered.
func (g *Gateway) Run(stop, reload <-chan os.Signal, read func() (config.Gateway, error)) error {
	endReloads := g.reloadOnSignal(reload, read)
	defer func() {
		endReloads()
		g.cancelWatch()
	}()
	select {
	case err := <-g.serveResult:
		if err == nil {
			err = errServingEnded
		}
		return err
	case s := <-stop:
		g.log.Info().Str("signal", s.String()).Msg("stopping")
	}
	g.Stop()
	return nil
}

// reloadOnSignal reloads the configuration at each signal, on a goroutine that the function it gives ends and
// waits for.
func (g *Gateway) reloadOnSignal(
	reload <-chan os.Signal,
	read func() (config.Gateway, error),
) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-reload:
				g.Reload(read())
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// Stop hands off to a successor, if one is connected. Otherwise it goes on accepting for as long as clients
// may still connect, then closes idle connections, and returns once every request that was accepted is
// answered. Requests that are read completely too late for that are rejected, and those in flight for too
// long are aborted with an answer: SIGKILL would leave them without one.
func (g *Gateway) Stop() {
	abortAfter := transport.Millis(min(g.config.Connections.MaxClientWaitMillis,
		policy.StopMaxWaitMillis) + policy.StopGraceMillis)
	defer time.AfterFunc(abortAfter, g.abortRequests).Stop()
	if !g.handOff() {
		hurryAfter := transport.Millis(policy.StopAcceptMillis + policy.StopIdleMillis)
		defer time.AfterFunc(hurryAfter, g.listener.HurryReads).Stop()
		g.drainClients()
	}
	g.closeParts()
	g.logFinalCounts()
}

// abortRequests answers all requests in flight.
func (g *Gateway) abortRequests() {
	g.listener.AbandonRequests()
	g.dispatcher.WakeNow()
}

// drainClients accepts for StopAcceptMillis longer, and returns once all clients are answered and gone.
func (g *Gateway) drainClients() {
	time.Sleep(transport.Millis(policy.StopAcceptMillis))
	if g.authServer != nil {
		g.authServer.Close()
	}
	g.frontend.Close()
	g.listener.Drain()
	if g.takeover != nil {
		g.takeover.stop()
		g.listener.Drain() // connections that the predecessor has handed off meanwhile
	}
	_ = g.listener.Close()
	g.frontend.Wait()
}

// closeParts ends all that is still running once no client is left.
func (g *Gateway) closeParts() {
	if g.authorizer != nil {
		g.authorizer.Close()
	}
	g.dispatcher.Stop()
	if journal := g.journal.Load(); journal != nil {
		journal.Close()
	}
	close(g.done)
	if g.adminServer != nil {
		g.adminServer.Close()
	}
	if g.peers != nil {
		_ = g.peers.Close()
	}
	if g.history != nil {
		_ = g.history.Close()
	}
}

// logFinalCounts logs the last line. Its keys are read by operators' programs and stay as they are.
func (g *Gateway) logFinalCounts() {
	tally := g.dispatcher.Tally()
	line := g.log.Info().Ints("finals", tally.FinalByReason[:]).
		Int64("unreadable", g.frontend.MalformedRequests()).
		Int64("clients_shed", g.listener.Evicted()).
		Int64("links_spoilt", g.workerConns.StaleConns())
	for invariant, violations := range inflight.Violations() {
		line = line.Int64("broken_"+invariant, violations)
	}
	if g.peers != nil {
		line = line.Int64("datagrams_dropped", g.peers.Dropped())
	}
	line.Msg("stopped")
}
