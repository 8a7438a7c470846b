package lifecycle

import "willowdeck/internal/config"

// Reload takes up a configuration that has been read anew: the watch moves to the discovery that it names,
// and goes on from where it was. All else that it may change waits for the next start. Where it could not be
// read, the old one stays.
func (g *Gatekeeper) Reload(c config.Gatekeeper, err error) {
	if err != nil {
		g.log.Error().Err(err).Msg("configuration not taken up, the old one stays")
		return
	}
	if c.Discovery == g.conf.Discovery {
		g.log.Info().Msg("configuration read, discovery as before")
		return
	}
	g.conf.Discovery = c.Discovery
	g.unwind()
	g.watch(<-g.ended) // no news of the old watch may come behind that of the new one
	g.log.Info().Str("discovery", c.Discovery).Msg("configuration taken up")
}
