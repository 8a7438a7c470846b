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

// Run serves until stop gives a signal or serving fails, then stops. At each signal of reload it takes up the
// configuration that read gives, also while it stops: workers may drain until the last txn is answered.
func (g *Gateway) Run(stop, reload <-chan os.Signal, read func() (config.Gatekeeper, error)) error {
	done, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		for {
			select {
			case <-reload:
				g.Reload(read())
			case <-done:
				return
			}
		}
	}()
	defer func() {
		close(done)
		<-over
		g.cancelWatch()
	}()
	select {
	case err := <-g.serveResult:
		if err == nil {
			err = errors.New("front: ended unasked")
		}
		return err
	case s := <-stop:
		g.log.Info().Str("signal", s.String()).Msg("stopping")
	}
	g.Stop()
	return nil
}

// Stop leaves its place to an heir, if one waits. Else it serves on for as long as connections may come,
// then closes idle ones and ends once all that was taken has its answer. What comes whole too late for that
// is not taken, and what is in hand too long is given up: SIGKILL would leave it without an answer.
func (g *Gateway) Stop() {
	defer time.AfterFunc(transport.Millis(min(g.config.Lines.LongestWait, policy.StopLongest)+policy.StopAll),
		func() {
			g.listener.GiveUp()
			g.dispatcher.WakeNow()
		}).
		Stop()
	if !g.handOff() {
		defer time.AfterFunc(transport.Millis(policy.AcceptOn+policy.StopIdle), g.listener.Hurry).Stop()
		time.Sleep(transport.Millis(policy.AcceptOn))
		if g.authServer != nil {
			g.authServer.Close()
		}
		g.frontend.Close()
		g.listener.Drain()
		if g.takeover != nil {
			g.takeover.stop()
			g.listener.Drain()
		}
		_ = g.listener.Close()
		g.frontend.Wait()
	}
	if g.authorizer != nil {
		g.authorizer.Close()
	}
	g.dispatcher.Stop()
	if k := g.journal.Load(); k != nil {
		k.Close()
	}
	if close(g.done); g.adminServer != nil {
		g.adminServer.Close()
	}
	if g.peers != nil {
		_ = g.peers.Close()
	}
	if g.history != nil {
		_ = g.history.Close()
	}
	t := g.dispatcher.Tally()
	e := g.log.Info().Ints("finals", t.Final[:]).Int64("unreadable", g.frontend.Broken()).
		Int64("clients_shed", g.listener.Shed()).Int64("links_spoilt", g.workerConns.Spoilt())
	for name, n := range inflight.Violations() {
		e = e.Int64("broken_"+name, n)
	}
	if g.peers != nil {
		e = e.Int64("datagrams_dropped", g.peers.Dropped())
	}
	e.Msg("stopped")
}
