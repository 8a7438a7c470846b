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
	"willowdeck/internal/ruleset"
)

// alive notes that discovery is heard.
func (g *Gateway) discoveryResponded() {
	defer g.markFirstWatch()
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	if whole, changed := g.endpoints.Alive(g.dispatcher.Now()); changed {
		g.dispatcher.ApplyEndpoints(whole)
	}
}

// words takes the operators' words on workers and halls.
func (g *Gateway) applyWorkerOverrides(all []ruleset.WorkerOverride) {
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	g.dispatcher.ApplyEndpoints(g.endpoints.Words(all))
}

// discovered gives the index of discovery's list that is known here; below nought where it has not spoken.
func (g *Gateway) discoveryIndex() int64 {
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	if !g.endpoints.Heard() {
		return -1
	}
	return g.endpoints.Version()
}

// lags takes the highest index of discovery's list that any instance has. Where this one has been behind it
// for long, it asks the others.
func (g *Gateway) checkDiscoveryLag(highest int64) {
	g.endpointsMu.Lock()
	late := g.endpoints.Lags(highest, g.dispatcher.Now()) && g.endpoints.Waits()
	g.endpointsMu.Unlock()
	if late && len(g.config.Ask) > 0 && g.requestingEndpoints.CompareAndSwap(false, true) {
		g.log.Warn().Int64("index", g.discoveryIndex()).Int64("highest", highest).
			Msg("discovery lags here, asking others for the list")
		go g.requestEndpoints(g.config.Ask, rand.New(rand.NewSource(g.config.Seed)))
	}
}

// Tells tells whether newcomers may ask here.
func (g *Gateway) Tells() bool { return g.config.Tells }

// List gives what a newcomer may be told of workers; false where discovery has not spoken here.
func (g *Gateway) List() (list []byte, age float64, ok bool) {
	g.endpointsMu.Lock()
	defer g.endpointsMu.Unlock()
	l, age, ok := g.endpoints.Tells(g.dispatcher.Now())
	if ok {
		var err error
		if list, err = endpoints.Append(nil, l); err != nil {
			return nil, 0, false
		}
	}
	return list, age, ok
}

// ask asks running instances for their list until discovery has spoken. Nothing waits for it.
func (g *Gateway) requestEndpoints(peers []string, rng *rand.Rand) {
	defer g.requestingEndpoints.Store(false)
	client := fasthttp.Client{MaxResponseBodySize: bootstrap.LongestOf, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, ReadTimeout: transport.Millis(bootstrap.AskWithin)}
	for {
		for _, at := range peers {
			g.endpointsMu.Lock()
			waits := g.endpoints.Waits()
			g.endpointsMu.Unlock()
			if !waits {
				return
			}
			l, age, err := fetchEndpoints(&client, at)
			if err != nil {
				g.log.Debug().Err(err).Str("peer", at).Msg("no list from a peer")
				continue
			}
			g.endpointsMu.Lock()
			whole, changed := g.endpoints.Peer(l, age)
			if changed {
				g.dispatcher.ApplyEndpoints(whole)
			}
			g.endpointsMu.Unlock()
			if changed {
				g.log.Info().Str("peer", at).Int64("version", l.Version).Float64("age_ms", age).
					Int("workers", len(whole.Workers)).Msg("going by a peer's list until discovery speaks")
			}
		}
		select {
		case <-g.done:
			return
		case <-time.After(transport.Millis(bootstrap.AskAgain * (0.5 + rng.Float64()))):
		}
	}
}

// listOf asks an instance for its list.
func fetchEndpoints(client *fasthttp.Client, at string) (endpoints.List, float64, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + at + admin.ListPath)
	req.SetConnectionClose()
	if err := client.DoTimeout(req, res, transport.Millis(bootstrap.AskWithin)); err != nil {
		return endpoints.List{}, 0, err
	}
	if v := string(res.Header.Peek(admin.VersionHeader)); res.StatusCode() != fasthttp.StatusOK ||
		v != strconv.Itoa(bootstrap.Version) {
		return endpoints.List{}, 0, fmt.Errorf("status %d, version %q", res.StatusCode(), v)
	}
	age, err := strconv.ParseFloat(string(res.Header.Peek(admin.AgeHeader)), 64)
	if err != nil {
		return endpoints.List{}, 0, fmt.Errorf("%s: %w", admin.AgeHeader, err)
	}
	l, err := endpoints.Decode(res.Body())
	return l, age, err
}
