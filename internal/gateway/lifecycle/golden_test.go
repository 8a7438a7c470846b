package lifecycle

import (
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/testkit/goldentest"
)

var goldenValue = regexp.MustCompile(`=-?\d+`)

// statsKeys gives the keys of a gateway's /admin/stats, in their order.
func statsKeys(g *Gateway) []string {
	text := goldenValue.ReplaceAllString(string(admin.AppendStats(nil, g.Stats())), "")
	return strings.Split(strings.TrimSpace(text), "\n")
}

// allStatsKeys gives the keys of an instance with every optional part (ruleset daemon, journal, checkpoints,
// borrowing), and of one with forward authentication on both sides.
func allStatsKeys(t *testing.T) []string {
	t.Helper()
	daemon := newFakeDaemon(t)
	daemon.setHandler(unavailable)
	gateway := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharesEndpoints, c.KeepsCheckpoint = daemon.address, true, true
		c.CrashStatePath = filepath.Join(t.TempDir(), "residue")
		withJournal(t.TempDir())(c)
		c.Policy.Plans[0].RateLimitPerSecond, c.Policy.Plans[0].RateLimitBurst = 1000, 1000
		c.Policy.Plans[0].CreditSeconds, c.Policy.Plans[0].RepayWithinMillis = 1, 60000
	}, 1, 5000)
	t.Cleanup(func() { close(gateway.gateway.done) })
	waitFor(t, "the journal is not open", func() bool {
		return slices.Contains(statsKeys(gateway.gateway), "svc.journal.segments")
	})
	forward := deployForwardAuth(t, askedConfig+askingConfig(newAuthService(t), ""))
	keys := append([]string{"# agreed, journal, copies, credit"}, statsKeys(gateway.gateway)...)
	return append(append(keys, "# forward authentication"), statsKeys(forward.gateway)...)
}

// TestGoldenStats: stats.txt is the keys of /admin/stats, which operators' programs read. It was written
// once, before names were changed; new code must never write it again.
func TestGoldenStats(t *testing.T) {
	goldentest.SameLines(t, allStatsKeys(t), goldentest.Lines(t, "stats.txt"))
}
