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
func (g *Gatekeeper) Run(stop, reload <-chan os.Signal, read func() (config.Gateway, error)) error {
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
		g.unwind()
	}()
	select {
	case err := <-g.served:
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
func (g *Gatekeeper) Stop() {
	defer time.AfterFunc(transport.Millis(min(g.conf.Connections.MaxClientWaitMillis,
		policy.StopMaxWaitMillis)+policy.StopGraceMillis),
		func() {
			g.limit.AbandonRequests()
			g.desk.WakeNow()
		}).
		Stop()
	if !g.handOver() {
		defer time.AfterFunc(transport.Millis(policy.StopAcceptMillis+policy.StopIdleMillis), g.limit.HurryReads).Stop()
		time.Sleep(transport.Millis(policy.StopAcceptMillis))
		if g.portal != nil {
			g.portal.Close()
		}
		g.front.Close()
		g.limit.Drain()
		if g.heir != nil {
			g.heir.stop()
			g.limit.Drain()
		}
		_ = g.limit.Close()
		g.front.Wait()
	}
	if g.vouch != nil {
		g.vouch.Close()
	}
	g.desk.Stop()
	if k := g.journal.Load(); k != nil {
		k.Close()
	}
	if close(g.over); g.port != nil {
		g.port.Close()
	}
	if g.peers != nil {
		_ = g.peers.Close()
	}
	if g.history != nil {
		_ = g.history.Close()
	}
	t := g.desk.Tally()
	e := g.log.Info().Ints("finals", t.FinalByReason[:]).Int64("unreadable", g.front.MalformedRequests()).
		Int64("clients_shed", g.limit.Evicted()).Int64("links_spoilt", g.links.StaleConns())
	for name, n := range inflight.Violations() {
		e = e.Int64("broken_"+name, n)
	}
	if g.peers != nil {
		e = e.Int64("datagrams_dropped", g.peers.Dropped())
	}
	e.Msg("stopped")
}
