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
const wordEach = 500 * time.Millisecond

// speaker keeps the word that this gatekeeper says of itself.
type speaker struct {
	mu    sync.Mutex
	word  forecast.Report
	made  time.Time
	named bool // its group's name was given
	said  atomic.Pointer[[]byte]
}

// teller begins to count what a word tells.
func (g *Gatekeeper) teller() *speaker {
	c := &g.conf
	s := &speaker{word: forecast.Report{Name: c.Name, Host: c.Host, Region: c.Region,
		Index:   c.Charter.GatewayIndex,
		Charter: c.Charter, Products: c.Names.ProductNames(), Plans: c.Names.PlanNames()}}
	s.word.Charter.GatewayIndex = 0
	if s.named = c.Group != ""; s.named {
		s.word.Group = c.Group
	}
	s.among(c.PeerAddresses, c.Charter.GatewayCount)
	g.desk.SetMeter(forecast.NewMeter(c.Charter, crashstate.UptimeCentiseconds()))
	return s
}

// among notes who the gatekeepers are that quotas are shared with.
func (s *speaker) among(peers []netip.AddrPort, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.word.Charter.GatewayCount = n
	if s.named {
		return
	}
	if len(peers) == 0 {
		s.word.Group = cmp.Or(s.word.Host, s.word.Name) // they share quotas without a word to each other
		return
	}
	sum := sha256.Sum256(fmt.Append(nil, peers))
	s.word.Group = fmt.Sprintf("%x", sum[:4])
}

// rules notes which version of the rules is gone by, and what it says of plans.
func (s *speaker) rules(version uint64, plans []policy.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.word.RulesetVersion, s.word.Charter.Plans = version, slices.Clone(plans)
}

// renew makes the word anew, if it is time.
func (s *speaker) renew(g *Gatekeeper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.made) < wordEach {
		return
	}
	s.made = time.Now()
	g.desk.FillReport(&s.word)
	b, err := forecast.AppendReport(nil, &s.word)
	if err != nil {
		g.log.Warn().Err(err).Msg("no word is told")
		s.said.Store(nil)
		return
	}
	s.said.Store(&b)
}

// Word gives what this gatekeeper says of itself, as it was made last.
func (g *Gatekeeper) ForecastReport() ([]byte, bool) {
	if g.word == nil {
		return nil, false
	}
	b := g.word.said.Load()
	if b == nil {
		return nil, false
	}
	return *b, true
}
