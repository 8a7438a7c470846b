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
func (g *Gatekeeper) alive() {
	defer g.speaks()
	g.lists.Lock()
	defer g.lists.Unlock()
	if whole, changed := g.list.DiscoveryAlive(g.desk.Now()); changed {
		g.desk.ApplyEndpoints(whole)
	}
}

// words takes the operators' words on workers and halls.
func (g *Gatekeeper) words(all []ruleset.WorkerOverride) {
	g.lists.Lock()
	defer g.lists.Unlock()
	g.desk.ApplyEndpoints(g.list.SetOverrides(all))
}

// discovered gives the index of discovery's list that is known here; below nought where it has not spoken.
func (g *Gatekeeper) discovered() int64 {
	g.lists.Lock()
	defer g.lists.Unlock()
	if !g.list.DiscoveryAnswered() {
		return -1
	}
	return g.list.Version()
}

// lags takes the highest index of discovery's list that any instance has. Where this one has been behind it
// for long, it asks the others.
func (g *Gatekeeper) lags(highest int64) {
	g.lists.Lock()
	late := g.list.ObserveIndex(highest, g.desk.Now()) && g.list.NeedsPeers()
	g.lists.Unlock()
	if late && len(g.conf.PeerAdminAddresses) > 0 && g.asking.CompareAndSwap(false, true) {
		g.log.Warn().Int64("index", g.discovered()).Int64("highest", highest).
			Msg("discovery lags here, asking others for the list")
		go g.ask(g.conf.PeerAdminAddresses, rand.New(rand.NewSource(g.conf.Seed)))
	}
}

// Tells tells whether newcomers may ask here.
func (g *Gatekeeper) SharesEndpoints() bool { return g.conf.SharesEndpoints }

// List gives what a newcomer may be told of workers; false where discovery has not spoken here.
func (g *Gatekeeper) EncodedEndpoints() (list []byte, age float64, ok bool) {
	g.lists.Lock()
	defer g.lists.Unlock()
	l, age, ok := g.list.Shared(g.desk.Now())
	if ok {
		var err error
		if list, err = endpoints.Append(nil, l); err != nil {
			return nil, 0, false
		}
	}
	return list, age, ok
}

// ask asks running instances for their list until discovery has spoken. Nothing waits for it.
func (g *Gatekeeper) ask(peers []string, rng *rand.Rand) {
	defer g.asking.Store(false)
	client := fasthttp.Client{MaxResponseBodySize: bootstrap.MaxListBytes, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, ReadTimeout: transport.Millis(bootstrap.RequestTimeoutMillis)}
	for {
		for _, at := range peers {
			g.lists.Lock()
			waits := g.list.NeedsPeers()
			g.lists.Unlock()
			if !waits {
				return
			}
			l, age, err := listOf(&client, at)
			if err != nil {
				g.log.Debug().Err(err).Str("peer", at).Msg("no list from a peer")
				continue
			}
			g.lists.Lock()
			whole, changed := g.list.ApplyPeerList(l, age)
			if changed {
				g.desk.ApplyEndpoints(whole)
			}
			g.lists.Unlock()
			if changed {
				g.log.Info().Str("peer", at).Int64("version", l.Version).Float64("age_ms", age).
					Int("workers", len(whole.Workers)).Msg("going by a peer's list until discovery speaks")
			}
		}
		select {
		case <-g.over:
			return
		case <-time.After(transport.Millis(bootstrap.RetryIntervalMillis * (0.5 + rng.Float64()))):
		}
	}
}

// listOf asks an instance for its list.
func listOf(client *fasthttp.Client, at string) (endpoints.List, float64, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + at + admin.EndpointsPath)
	req.SetConnectionClose()
	if err := client.DoTimeout(req, res, transport.Millis(bootstrap.RequestTimeoutMillis)); err != nil {
		return endpoints.List{}, 0, err
	}
	if v := string(res.Header.Peek(admin.VersionHeader)); res.StatusCode() != fasthttp.StatusOK ||
		v != strconv.Itoa(bootstrap.ProtocolVersion) {
		return endpoints.List{}, 0, fmt.Errorf("status %d, version %q", res.StatusCode(), v)
	}
	age, err := strconv.ParseFloat(string(res.Header.Peek(admin.AgeHeader)), 64)
	if err != nil {
		return endpoints.List{}, 0, fmt.Errorf("%s: %w", admin.AgeHeader, err)
	}
	l, err := endpoints.Decode(res.Body())
	return l, age, err
}
