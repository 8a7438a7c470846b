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

// goldenKeys gives the keys that a gatekeeper's /admin/stats has, in their order.
func goldenKeys(g *Gatekeeper) []string {
	text := goldenValue.ReplaceAllString(string(admin.AppendStats(nil, g.Stats())), "")
	return strings.Split(strings.TrimSpace(text), "\n")
}

// goldenStats gives the keys of an instance that has all there is: what is agreed on with a daemon, a
// journal, copies of its state and credit, and of one with forward authentication on both sides.
func goldenStats(t *testing.T) []string {
	t.Helper()
	daemon := newDaemon(t)
	daemon.answers(silent)
	whole := deployWith(t, func(c *config.Gateway) {
		c.RulesetAddress, c.SharesEndpoints, c.KeepsCheckpoint = daemon.at, true, true
		c.CrashStatePath = filepath.Join(t.TempDir(), "residue")
		journaled(t.TempDir())(c)
		c.Charter.Plans[0].RateLimitPerSecond, c.Charter.Plans[0].RateLimitBurst = 1000, 1000
		c.Charter.Plans[0].CreditSeconds, c.Charter.Plans[0].RepayWithinMillis = 1, 60000
	}, 1, 5000)
	t.Cleanup(func() { close(whole.gk.over) })
	until(t, "the journal is not open", func() bool {
		return slices.Contains(goldenKeys(whole.gk), "svc.journal.segments")
	})
	forward := forwards(t, asked+asking(newAuth(t), ""))
	keys := append([]string{"# agreed, journal, copies, credit"}, goldenKeys(whole.gk)...)
	return append(append(keys, "# forward authentication"), goldenKeys(forward.gk)...)
}

// stats.txt is the keys of /admin/stats, which operators' programs read. It was written once, before names
// were changed; new code must never write it again.
func TestGoldenStats(t *testing.T) {
	goldentest.SameLines(t, goldenStats(t), goldentest.Lines(t, "stats.txt"))
}
