package lifecycle

import (
	"math"
	"net/netip"
	"reflect"
	"slices"

	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/policy"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
)

// historyModes are the lease modes by the names that a history has for them.
var historyModes = [...]string{
	ruleset.ModeNoLease:  history.Bare,
	ruleset.ModeFallback: history.Fallback,
	ruleset.ModeLeased:   history.Leased,
}

// adopt puts a ruleset in force. Overrides that bar a worker are applied before it, and those that it lifts
// stay until it is in force.
func (c *rulesetClient) adopt(next ruleset.EffectiveRules) {
	overridesChanged := !reflect.DeepEqual(next.WorkerOverrides, c.effective.WorkerOverrides)
	if overridesChanged {
		union := append(slices.Clone(c.effective.WorkerOverrides), next.WorkerOverrides...)
		c.gateway.applyWorkerOverrides(union)
	}
	version := next.Version
	if next.Mode == ruleset.ModeNoLease { // requests name no version
		version = 0
	}
	lease := inflight.NewLease(version, historyModes[next.Mode], millisToNanos(next.ExpiresAtMillis))
	charter := c.settingsFor(next)
	peers := c.gateway.config.PeerAddresses
	if next.Version == c.newest.Number && next.Version > 0 {
		peers = c.peerAddresses()
	}
	c.gateway.setMembers(max(charter.GatewayCount, 1), peers, func() {
		c.applyRuleset(next, lease, charter)
	})
	c.gateway.rulesetPlans.Store(&charter.Plans)
	c.gateway.enableBorrowing(charter.Plans)
	c.lease.Store(lease)
	c.mode.Store(int64(next.Mode))
	c.version.Store(next.Version)
	if next.Version > 0 { // a checkpoint is of this ruleset, or of no use
		c.gateway.restoreCheckpoint()
	}
	if overridesChanged {
		c.gateway.applyWorkerOverrides(next.WorkerOverrides)
	}
	c.effective = next
	if c.gateway.reporter != nil {
		c.gateway.reporter.setRuleset(next.Version, c.baseSettings.Plans)
	}
	c.gateway.log.Info().Uint64("version", next.Version).Stringer("mode", next.Mode).
		Int("gateways", charter.GatewayCount).Msg("ruleset adopted")
}

// applyRuleset gives a ruleset to the dispatcher. With the first version, rate limits count as used up unless
// the crash state is of that version: an earlier incarnation, or another member with this one's share, may
// have used them under other rules.
func (c *rulesetClient) applyRuleset(
	next ruleset.EffectiveRules,
	lease *inflight.Lease,
	charter policy.Settings,
) {
	dispatcher := c.gateway.dispatcher
	if c.effective.Version == 0 && next.Version > 0 && dispatcher.RestoredRulesetVersion() != next.Version {
		dispatcher.ApplyRuleset(inflight.NewLease(0, history.Bare, math.MaxInt64), exhaustedSettings(charter))
	}
	if !dispatcher.ApplyRuleset(lease, charter) {
		c.reject("the ruleset changes settings that are fixed at the start")
	}
}

// settingsFor gives the settings under a ruleset. Rate limits are set to what this member may use while it is
// leased. What it may use less of in fallback is withheld, and returns with the lease. A share that grows is
// set as a rate limit that grows or is new, and so counts as used up: other members may just have used it.
func (c *rulesetClient) settingsFor(next ruleset.EffectiveRules) policy.Settings {
	base := &c.baseSettings
	if next.MemberIndex == base.GatewayIndex {
		base.GatewayCount = next.MemberCount
	}
	withheld := make([]float64, len(base.Plans))
	for _, plan := range next.Plans {
		if i, known := c.gateway.config.Names.Plans[plan.Name]; known {
			withheld[i] = c.applyPlan(i, plan, next)
		}
	}
	charter := *base
	charter.QuotaWithoutGossip = next.Mode != ruleset.ModeLeased || next.MemberIndex < 0
	charter.Plans = slices.Clone(base.Plans)
	for i := range withheld {
		charter.Plans[i].WithheldFraction = withheld[i]
	}
	return charter
}

// applyPlan sets one plan of the base charter, and gives the fraction of its rate limit that is withheld.
func (c *rulesetClient) applyPlan(
	i int, plan ruleset.EffectivePlan, next ruleset.EffectiveRules,
) (withheld float64) {
	base := &c.baseSettings.Plans[i]
	base.QuotaPerSecond, base.QuotaBurst = plan.Rate, plan.Burst
	if next.Version == 0 { // before any lease
		return 1
	}
	if next.Mode == ruleset.ModeLeased || next.Version != c.effective.Version {
		c.rateLimitShares[i] = plan.RateLimitFraction
	}
	share := c.rateLimitShares[i]
	base.CreditSeconds, base.RepayWithinMillis = plan.CreditSeconds, plan.RepayMillis
	base.RateLimitPerSecond, base.RateLimitBurst = plan.CeilingRate*share, plan.CeilingDepth*share
	if share > 0 {
		return 1 - min(plan.RateLimitFraction/share, 1)
	}
	base.RateLimitBurst = plan.CeilingDepth // it never fills, so a share that comes later counts as used up
	return 0
}

// exhaustedSettings gives settings under which all rate limits count as used up at the moment in which other
// settings follow.
func exhaustedSettings(charter policy.Settings) policy.Settings {
	charter.Plans = slices.Clone(charter.Plans)
	for i := range charter.Plans {
		charter.Plans[i].RateLimitPerSecond = 0
	}
	return charter
}

// peerAddresses gives the addresses of the newest ruleset's members, and the configured one of a member that
// it has none for. A member that is not in the part of the ruleset that this gateway receives, as it shares
// no customer with it, has none: nothing is sent to it, and nothing received from it is used.
func (c *rulesetClient) peerAddresses() []netip.AddrPort {
	configured := c.gateway.config.PeerAddresses
	addresses := make([]netip.AddrPort, len(c.newest.Rules.Members))
	for i, member := range c.newest.Rules.Members {
		if address, err := netip.ParseAddrPort(member.Peers); err == nil {
			addresses[i] = address
		} else if i < len(configured) && (member.Name != "" || configured[i].Port() == 0) {
			addresses[i] = configured[i] // of this member, or a place that nobody has had yet
		}
	}
	return addresses
}
