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

// wordEach is how often a word is made anew, at least: its rates are over ten seconds, and a look at all
// customers takes some us for each hundred.
const reportInterval = 500 * time.Millisecond

// speaker keeps the word that this gatekeeper says of itself.
type loadReporter struct {
	mu              sync.Mutex
	report          forecast.Word
	refreshedAt     time.Time
	groupConfigured bool // its group's name was given
	encoded         atomic.Pointer[[]byte]
}

// teller begins to count what a word tells.
func (g *Gateway) newLoadReporter() *loadReporter {
	c := &g.config
	s := &loadReporter{report: forecast.Word{Name: c.Name, Host: c.Host, Hall: c.Hall, Number: c.Charter.Me,
		Charter: c.Charter, Products: c.Names.ProductNames(), Plans: c.Names.PlanNames()}}
	s.report.Charter.Me = 0
	if s.groupConfigured = c.Group != ""; s.groupConfigured {
		s.report.Group = c.Group
	}
	s.setMembers(c.Peers, c.Charter.Gatekeepers)
	g.dispatcher.SetMeter(forecast.NewMeter(c.Charter, crashstate.Uptime()))
	return s
}

// among notes who the gatekeepers are that quotas are shared with.
func (s *loadReporter) setMembers(peers []netip.AddrPort, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Charter.Gatekeepers = n
	if s.groupConfigured {
		return
	}
	if len(peers) == 0 {
		s.report.Group = cmp.Or(s.report.Host, s.report.Name) // they share quotas without a word to each other
		return
	}
	sum := sha256.Sum256(fmt.Append(nil, peers))
	s.report.Group = fmt.Sprintf("%x", sum[:4])
}

// rules notes which version of the rules is gone by, and what it says of plans.
func (s *loadReporter) setRuleset(version uint64, plans []policy.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Version, s.report.Charter.Plans = version, slices.Clone(plans)
}

// renew makes the word anew, if it is time.
func (s *loadReporter) refresh(g *Gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.refreshedAt) < reportInterval {
		return
	}
	s.refreshedAt = time.Now()
	g.dispatcher.FillReport(&s.report)
	b, err := forecast.Append(nil, &s.report)
	if err != nil {
		g.log.Warn().Err(err).Msg("no word is told")
		s.encoded.Store(nil)
		return
	}
	s.encoded.Store(&b)
}

// Word gives what this gatekeeper says of itself, as it was made last.
func (g *Gateway) Word() ([]byte, bool) {
	if g.reporter == nil {
		return nil, false
	}
	b := g.reporter.encoded.Load()
	if b == nil {
		return nil, false
	}
	return *b, true
}
