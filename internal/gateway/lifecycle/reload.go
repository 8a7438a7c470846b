package lifecycle

import (
	"net/netip"
	"reflect"
	"slices"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Reload takes up a configuration that has been read anew: the number of gatekeepers and who they are, if
// this one keeps its place among them, and the discovery that it names, where the watch goes on from where it
// was. All else that it may change waits for the next start. Where it could not be read, the old one stays.
func (g *Gatekeeper) Reload(c config.Gateway, err error) {
	if err != nil {
		g.log.Error().Err(err).Msg("configuration not taken up, the old one stays")
		return
	}
	if g.agreed == nil { // else the rules say how many there are
		g.resize(c)
	}
	if c.DiscoveryAddress == g.conf.DiscoveryAddress {
		g.log.Info().Msg("configuration read, discovery as before")
		return
	}
	g.conf.DiscoveryAddress = c.DiscoveryAddress
	g.unwind()
	g.watch(<-g.ended, policy.WatchFailoverCatchUpMillis) // no news of the old watch may come behind that of the new one
	g.log.Info().Str("discovery", c.DiscoveryAddress).Msg("configuration taken up")
}

// resize takes up another number of gatekeepers, where nothing else of the charter has changed.
func (g *Gatekeeper) resize(c config.Gateway) {
	n, was := c.Charter.GatewayCount, g.members.Load()
	same := c.Charter
	same.GatewayCount = g.conf.Charter.GatewayCount
	if int64(n) == was && slices.Equal(c.PeerAddresses, g.conf.PeerAddresses) {
		return
	}
	unbound := g.peers == nil && len(c.PeerAddresses) > 0 // there is no socket to talk to them
	if unbound || !reflect.DeepEqual(same, g.conf.Charter) {
		g.log.Warn().Msg("the number of gatekeepers has changed along with more: that waits for the next start")
		return
	}
	g.seat(n, c.PeerAddresses, func() { g.desk.Resize(n) })
	g.conf.PeerAddresses = c.PeerAddresses
	g.log.Info().Int64("from", was).Int("to", n).Msg("number of gatekeepers taken up")
}

// seat takes up how many gatekeepers there are, and where the peers hear; desk tells the desk.
func (g *Gatekeeper) seat(n int, peers []netip.AddrPort, desk func()) {
	fewer := int64(n) < g.members.Load()
	if fewer { // nobody is told who is no more
		desk()
	}
	if len(peers) > 0 && g.peers != nil { // one that is alone is told of none, and has nobody to tell
		for _, i := range g.peers.SetAddresses(peers) {
			g.desk.PeerReplaced(i)
		}
	}
	if !fewer {
		desk()
	}
	if int64(n) != g.members.Load() {
		g.front.SetInstanceCount(n)
		if g.portal != nil {
			g.portal.SetInstances(n)
		}
		g.members.Store(int64(n))
	}
	if g.word != nil {
		g.word.among(peers, n)
	}
}
