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
	serve, settings := next.Serve, g.config.ForwardAuth
	if settings != nil && settings.Authorizer != nil {
		g.authorizer = authorizer.New(settings.Authorizer, g.config.Policy, next, g.config.Seed)
		serve = g.authorizer.Serve
	}
	if settings != nil && settings.Server != nil {
		g.authServer = authserver.New(settings.Server, g.config.Names, g.config.Policy, next, serve)
		serve = g.authServer.Serve
	}
	return serve
}
