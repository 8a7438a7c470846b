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

// collectIntervalMillis is how often repayments that are due are collected.
const collectIntervalMillis = 100.0

// ledgerSuffix is appended to the path of the crash state for that of the ledger of borrowing.
const ledgerSuffix = ".credit"

// enableBorrowing lets customers borrow as plans allow, once any plan does: one of the configuration, or of a
// ruleset that is adopted later. It stays disabled where a crash would forget a debt, or where peers that
// share customers can't be told from their earlier incarnations.
func (g *Gateway) enableBorrowing(plans []policy.Plan) {
	c := g.config.Policy
	creditLines, allowed := proxy.CreditLines(plans)
	switch {
	case !allowed || g.standby.Load() || !g.borrowingEnabled.CompareAndSwap(false, true):
		return
	case g.config.CrashStatePath == "":
		g.log.Warn().Msg("settings.tariffs: credit_s has no effect without a crash state (--residue)")
		return
	case c.GatewayCount > 1 && (g.peers == nil || !g.config.SharesEndpoints):
		g.log.Warn().
			Msg("settings.tariffs: credit_s has no effect, as peers' messages name no incarnation (--tell)")
		return
	}
	book, err := ledger.Open(g.config.CrashStatePath+ledgerSuffix, c.GatewayIndex)
	if err != nil {
		g.log.Warn().Err(err).Msg("borrowing disabled, its ledger could not be opened")
		return
	}
	terms := borrowing.Config{Instance: c.GatewayIndex, Instances: int(g.memberCount.Load()), Plans: creditLines,
		PeerMessagesPerSecond: c.PeerMessagesPerSecond}
	accounts := borrowing.New(terms, g.config.Seed, book.CompleteSinceMillis)
	accounts.Advance(book.NowMillis())
	for _, kept := range book.Records {
		accounts.Restore(kept.Slot, kept.Record)
	}
	g.log.Info().Int("customers", len(book.Records)).Int("corrupt", book.Corrupt).
		Float64("age_s", (book.NowMillis()-book.CompleteSinceMillis)/1000).Msg("borrowing enabled")
	book.Records = nil
	var recorder history.Recorder
	if g.history != nil {
		recorder = g.history
	}
	g.dispatcher.EnableBorrowing(accounts, book, recorder, g.config.Names.PlanNames())
	if g.peers != nil {
		g.peers.OnCredit(g.dispatcher.ReceiveCredit)
	}
	go g.collectRepayments()
}

// collectRepayments collects what is due until the gateway stops.
func (g *Gateway) collectRepayments() {
	ticker := time.NewTicker(transport.Millis(collectIntervalMillis))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.dispatcher.CollectDue()
		case <-g.done:
			return
		}
	}
}

// borrowingStats adds the stats of borrowing, in units of quota; none where it is disabled.
func (g *Gateway) borrowingStats(add func(name string, value int64)) {
	f, enabled := g.dispatcher.CreditFigures()
	if !enabled {
		return
	}
	for _, figure := range []struct {
		name  string
		value float64
	}{
		{"outstanding", f.Outstanding},
		{"rights", f.Rights},
		{"earning", f.PresumedDrawn},
		{"lent", f.Lent},
		{"repaid", f.Repaid},
		{"earned", f.Earned},
		{"undone", f.Undone},
		{"late", f.RepaidLate},
		{"handed", f.RightsGiven},
		{"taken", f.RightsReceived},
		{"moved", f.DebtGiven},
		{"customers", float64(f.Customers)},
		{"refused.wide", float64(f.Denied[borrowing.DeniedSetTooLarge])},
		{"refused.no_place", float64(f.Denied[borrowing.DeniedTableFull])},
		{"refused.unsure", float64(f.Denied[borrowing.DeniedRightsUnknown])},
		{"refused.short", float64(f.Denied[borrowing.DeniedNoRights])},
		{"strayed", float64(f.RejectedEntries)},
		{"forgotten", float64(f.AccountsReset)},
	} {
		add("credit."+figure.name, int64(math.Round(figure.value)))
	}
}
