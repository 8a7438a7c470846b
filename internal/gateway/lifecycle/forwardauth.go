package lifecycle

import (
	"willowdeck/internal/forwardauth/authorizer"
	"willowdeck/internal/forwardauth/authserver"
	"willowdeck/internal/gateway/proxy"
	"willowdeck/internal/gateway/transport"
)

// enableForwardAuth puts the configured roles of forward authentication before a proxy, and gives the handler
// that the frontend calls. A request that was cleared through the auth server is not authorized again.
func (g *Gateway) enableForwardAuth(next *proxy.Proxy) func(*transport.Request) transport.FinalAnswer {
	serve, settings := next.Serve, g.config.Forward
	if settings != nil && settings.Asking != nil {
		g.authorizer = authorizer.New(settings.Asking, g.config.Charter, next, g.config.Seed)
		serve = g.authorizer.Serve
	}
	if settings != nil && settings.Asked != nil {
		g.authServer = authserver.New(settings.Asked, g.config.Names, g.config.Charter, next, serve)
		serve = g.authServer.Serve
	}
	return serve
}
