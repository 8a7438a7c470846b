package lifecycle

import (
	"context"
	"errors"
	"os"
	"time"

	"willowdeck/internal/held"
	"willowdeck/internal/wire"
	"willowdeck/logic"
)

// Run serves until a signal comes or serving fails, then stops.
func (g *Gatekeeper) Run(signals <-chan os.Signal) error {
	select {
	case err := <-g.served:
		if err == nil {
			err = errors.New("front: ended unasked")
		}
		return err
	case s := <-signals:
		g.log.Info().Str("signal", s.String()).Msg("stopping")
	}
	g.Stop()
	return nil
}

// Stop serves on for as long as connections may come, then closes idle ones and ends once all that was taken
// has its answer.
func (g *Gatekeeper) Stop() {
	time.Sleep(wire.Millis(logic.AcceptOn))
	g.limit.Drain()
	if err := g.front.Close(context.Background()); err != nil {
		g.log.Warn().Err(err).Msg("closing the front")
	}
	g.desk.Stop()
	g.unwind()
	if g.peers != nil {
		_ = g.peers.Close()
	}
	t := g.desk.Tally()
	e := g.log.Info().Ints("finals", t.Final[:]).Int64("unreadable", g.front.Broken()).
		Int64("clients_shed", g.limit.Shed())
	for name, n := range held.Broken() {
		e = e.Int64("broken_"+name, n)
	}
	if g.peers != nil {
		e = e.Int64("datagrams_dropped", g.peers.Dropped())
	}
	e.Msg("stopped")
}
