package lifecycle

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/policy"
)

// reportInterval is the shortest time between two load reports. Their rates are over ten seconds, and reading
// all customers takes some microseconds for each hundred.
const reportInterval = 500 * time.Millisecond

// loadReporter keeps the load report that the regions' forecast reads.
type loadReporter struct {
	mu              sync.Mutex // guards the fields up to groupConfigured
	report          forecast.Report
	refreshedAt     time.Time
	groupConfigured bool // else the group's name follows from the peers

	encoded atomic.Pointer[[]byte] // nil before the first report, and where it can't be encoded
}

// newLoadReporter starts to measure what a report contains.
func (g *Gateway) newLoadReporter() *loadReporter {
	c := &g.config
	r := &loadReporter{groupConfigured: c.Group != "", report: forecast.Report{
		Name:     c.Name,
		Host:     c.Host,
		Region:   c.Region,
		Index:    c.Policy.GatewayIndex,
		Settings: c.Policy,
		Products: c.Names.ProductNames(),
		Plans:    c.Names.PlanNames(),
	}}
	r.report.Settings.GatewayIndex = 0
	if r.groupConfigured {
		r.report.Group = c.Group
	}
	r.setMembers(c.PeerAddresses, c.Policy.GatewayCount)
	g.dispatcher.SetMeter(forecast.NewMeter(c.Policy, crashstate.UptimeCentiseconds()))
	return r
}

// setMembers notes the gateways that quotas are shared with. They name the group, unless that is configured.
func (r *loadReporter) setMembers(peers []netip.AddrPort, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Settings.GatewayCount = size
	if r.groupConfigured {
		return
	}
	if len(peers) == 0 { // quotas are shared without messages, within a host
		r.report.Group = cmp.Or(r.report.Host, r.report.Name)
		return
	}
	digest := sha256.Sum256(fmt.Append(nil, peers))
	r.report.Group = fmt.Sprintf("%x", digest[:4])
}

// setRuleset notes the version of the ruleset that was adopted, and its plans.
func (r *loadReporter) setRuleset(version uint64, plans []policy.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.RulesetVersion, r.report.Settings.Plans = version, slices.Clone(plans)
}

// refresh makes a new report, unless the last is younger than reportInterval.
func (r *loadReporter) refresh(g *Gateway) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.refreshedAt) < reportInterval {
		return
	}
	r.refreshedAt = time.Now()
	g.dispatcher.FillReport(&r.report)
	encoded, err := forecast.AppendReport(nil, &r.report)
	if err != nil {
		g.log.Warn().Err(err).Msg("load report could not be encoded")
		r.encoded.Store(nil)
		return
	}
	r.encoded.Store(&encoded)
}

// ForecastReport gives the encoded load report that was made last; false where there is none.
func (g *Gateway) ForecastReport() ([]byte, bool) {
	if g.reporter == nil {
		return nil, false
	}
	encoded := g.reporter.encoded.Load()
	if encoded == nil {
		return nil, false
	}
	return *encoded, true
}
