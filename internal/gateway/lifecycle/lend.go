package lifecycle

import (
	"math"
	"time"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/borrowing/ledger"
	"willowdeck/internal/gateway/proxy"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// creditEach is how often the book of credit looks after what is owed, ms.
const creditEach = 100.0

// bookOf is where the book of credit is kept, beside the residue.
const bookOf = ".credit"

// lend has the gatekeeper lend what plans allow, once any does: those of its settings, or of rules that are
// agreed on later. Nothing is lent where a sudden end would forget a debt, or
// where peers that share customers can't be told from their former lives.
func (g *Gatekeeper) lend(by []policy.Plan) {
	c := g.conf.Charter
	plans, any := proxy.CreditLines(by)
	switch {
	case !any || g.away.Load() || !g.lends.CompareAndSwap(false, true):
		return
	case g.conf.CrashStatePath == "":
		g.log.Warn().Msg("settings.tariffs: credit_s lends nothing, as nothing is kept over a sudden end (residue)")
		return
	case c.GatewayCount > 1 && (g.peers == nil || !g.conf.SharesEndpoints):
		g.log.Warn().Msg("settings.tariffs: credit_s lends nothing, as peers do not say which life they speak of")
		return
	}
	f, err := ledger.Open(g.conf.CrashStatePath+bookOf, c.GatewayIndex)
	if err != nil {
		g.log.Warn().Err(err).Msg("nothing is lent")
		return
	}
	t := borrowing.Terms{Me: c.GatewayIndex, Gatekeepers: int(g.members.Load()), Plans: plans,
		PeerInPerS: c.PeerMessagesPerSecond}
	b := borrowing.New(t, g.conf.Seed, f.Born)
	b.Clock(f.Now())
	for _, k := range f.Records {
		b.Restore(k.Place, k.Record)
	}
	g.log.Info().Int("customers", len(f.Records)).Int("spoilt", f.Spoilt).
		Float64("age_s", (f.Now()-f.Born)/1000).Msg("lending")
	f.Records = nil
	var r history.Recorder
	if g.history != nil {
		r = g.history
	}
	g.desk.EnableBorrowing(b, f, r, g.conf.Names.PlanNames())
	if g.peers != nil {
		g.peers.OnCredit(g.desk.ReceiveCredit)
	}
	go func() {
		t := time.NewTicker(transport.Millis(creditEach))
		defer t.Stop()
		for {
			select {
			case <-t.C:
				g.desk.CollectDue()
			case <-g.over:
				return
			}
		}
	}()
}

// creditFigures adds what operators see of credit, in units; where nothing is lent there is none.
func (g *Gatekeeper) creditFigures(add func(name string, v int64)) {
	f, on := g.desk.CreditFigures()
	if !on {
		return
	}
	for _, m := range []struct {
		name string
		v    float64
	}{{"outstanding", f.Outstanding}, {"rights", f.Rights}, {"earning", f.Earn}, {"lent", f.Lent},
		{"repaid", f.Repaid}, {"earned", f.Earned}, {"undone", f.Undone}, {"late", f.Late}, {"handed", f.Handed},
		{"taken", f.Taken}, {"moved", f.Moved}, {"customers", float64(f.Customers)},
		{"refused.wide", float64(f.Refused[borrowing.Wide])}, {"refused.no_place",
			float64(f.Refused[borrowing.NoPlace])},
		{"refused.unsure", float64(f.Refused[borrowing.Unsure])}, {"refused.short",
			float64(f.Refused[borrowing.Short])},
		{"strayed", float64(f.Strayed)}, {"forgotten", float64(f.Forgotten)}} {
		add("credit."+m.name, int64(math.Round(m.v)))
	}
}
