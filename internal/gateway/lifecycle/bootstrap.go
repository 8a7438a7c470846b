package lifecycle

import (
	"fmt"
	"math/rand"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
)

// SharesEndpoints reports whether joining instances may request endpoints here.
func (g *Gateway) SharesEndpoints() bool { return g.config.SharesEndpoints }

// EncodedEndpoints gives the encoded endpoints for a joining instance, and their age in milliseconds; false
// where discovery has not responded here.
func (g *Gateway) EncodedEndpoints() (list []byte, ageMillis float64, ok bool) {
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	l, ageMillis, ok := g.endpoints.Shared(g.dispatcher.Now())
	if ok {
		var err error
		if list, err = endpoints.Append(nil, l); err != nil {
			return nil, 0, false
		}
	}
	return list, ageMillis, ok
}

// requestEndpoints requests endpoints from running instances until discovery has responded. It runs on a
// goroutine of its own, which Stop ends.
func (g *Gateway) requestEndpoints(peers []string, rng *rand.Rand) {
	defer g.requestingEndpoints.Store(false)
	client := fasthttp.Client{MaxResponseBodySize: bootstrap.MaxListBytes, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, ReadTimeout: transport.Millis(bootstrap.RequestTimeoutMillis)}
	for {
		for _, peer := range peers {
			if !g.needsPeerEndpoints() {
				return
			}
			list, ageMillis, err := fetchEndpoints(&client, peer)
			if err != nil {
				g.log.Debug().Err(err).Str("peer", peer).Msg("no endpoints from peer")
				continue
			}
			g.applyPeerEndpoints(peer, list, ageMillis)
		}
		select {
		case <-g.done:
			return
		case <-time.After(transport.Millis(bootstrap.RetryIntervalMillis * (0.5 + rng.Float64()))):
		}
	}
}

// needsPeerEndpoints reports whether discovery has yet to respond, or lags.
func (g *Gateway) needsPeerEndpoints() bool {
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	return g.endpoints.NeedsPeers()
}

// applyPeerEndpoints uses a peer's list where it is newer than the one here.
func (g *Gateway) applyPeerEndpoints(peer string, list endpoints.List, ageMillis float64) {
	g.endpointsMu.Lock()
	merged, changed := g.endpoints.ApplyPeerList(list, ageMillis)
	if changed {
		g.dispatcher.ApplyEndpoints(merged)
	}
	g.endpointsMu.Unlock()
	if changed {
		g.log.Info().Str("peer", peer).Int64("version", list.Version).Float64("age_ms", ageMillis).
			Int("workers", len(merged.Workers)).Msg("using a peer's endpoints until discovery responds")
	}
}

// fetchEndpoints requests an instance's endpoints, and gives their age in milliseconds.
func fetchEndpoints(client *fasthttp.Client, address string) (endpoints.List, float64, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + address + admin.EndpointsPath)
	req.SetConnectionClose()
	if err := client.DoTimeout(req, res, transport.Millis(bootstrap.RequestTimeoutMillis)); err != nil {
		return endpoints.List{}, 0, err
	}
	if version := string(res.Header.Peek(admin.VersionHeader)); res.StatusCode() != fasthttp.StatusOK ||
		version != strconv.Itoa(bootstrap.ProtocolVersion) {
		return endpoints.List{}, 0, fmt.Errorf("status %d, version %q", res.StatusCode(), version)
	}
	ageMillis, err := strconv.ParseFloat(string(res.Header.Peek(admin.AgeHeader)), 64)
	if err != nil {
		return endpoints.List{}, 0, fmt.Errorf("%s: %w", admin.AgeHeader, err)
	}
	list, err := endpoints.Decode(res.Body())
	return list, ageMillis, err
}
