package lifecycle

import (
	"reflect"
	"slices"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Reload applies a configuration that was read again, or keeps the old one where err tells that it could not
// be read. Applied are the number of gateways and their peers, unless a ruleset gives them, and the address
// of discovery, whose watch goes on from the version it has reached. All other changes wait for the next
// start. It is called on one goroutine at a time.
func (g *Gateway) Reload(c config.Gateway, err error) {
	if err != nil {
		g.log.Error().Err(err).Msg("configuration rejected, the old one stays")
		return
	}
	if g.ruleset == nil {
		g.resize(c)
	}
	if c.DiscoveryAddress == g.config.DiscoveryAddress {
		g.log.Info().Msg("configuration reloaded, discovery unchanged")
		return
	}
	g.config.DiscoveryAddress = c.DiscoveryAddress
	g.cancelWatch()
	version := <-g.watchEnded // no update of the old watch may follow one of the new
	g.startWatch(version, policy.WatchFailoverCatchUpMillis)
	g.log.Info().Str("discovery", c.DiscoveryAddress).Msg("configuration reloaded, discovery moved")
}

// resize applies another number of gateways, if no other setting that is shared with them has changed.
func (g *Gateway) resize(c config.Gateway) {
	size, former := c.Policy.GatewayCount, g.memberCount.Load()
	if int64(size) == former && slices.Equal(c.PeerAddresses, g.config.PeerAddresses) {
		return
	}
	expected := c.Policy
	expected.GatewayCount = g.config.Policy.GatewayCount
	needsSocket := g.peers == nil && len(c.PeerAddresses) > 0 // it was started without one
	if needsSocket || !reflect.DeepEqual(expected, g.config.Policy) {
		g.log.Warn().Msg("number of gateways changed along with other settings, which wait for the next start")
		return
	}
	g.setMembers(size, c.PeerAddresses, func() { g.dispatcher.Resize(size) })
	g.config.PeerAddresses = c.PeerAddresses
	g.log.Info().Int64("from", former).Int("to", size).Msg("number of gateways changed")
}
