package proxy

import (
	"math"
	"slices"

	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// activeRuleset is what the policy acts by.
type activeRuleset struct {
	lease       *inflight.Lease // nil where no rulesets are agreed on
	lastVersion uint64          // the last version other than 0 that was in force here; 0 where there was none
	settings    policy.Settings
	generation  int // of the charter; grows with each change
}

// ApplyRuleset has the policy act by a charter for as long as a lease is valid, in place of the lease
// before, which is revoked. Where that lease expires and none has replaced it, nothing passes under a rate
// limit. It is false, and nothing changes, where the charter differs in what may not change.
func (d *Dispatcher) ApplyRuleset(lease *inflight.Lease, c policy.Settings) bool {
	d.mu.Lock()
	lockedMillis := d.clock.now()
	d.policy.AdvanceTo(lockedMillis)
	applied := d.applyRuleset(lease, c)
	d.flushAndUnlock()
	d.recordLockTime(lockedMillis, &d.lockTimes.RulesetMicros)
	return applied
}

// applyRuleset is ApplyRuleset, under the lock.
func (d *Dispatcher) applyRuleset(lease *inflight.Lease, c policy.Settings) bool {
	d.history.rulesetInForce(lease)
	if !d.policy.Reconfigure(c) {
		return false
	}
	if d.lender != nil {
		d.lender.applySettings(&c)
	}
	if d.ruleset.lease != nil {
		d.ruleset.lease.Revoke()
	}
	d.ruleset.lease, d.ruleset.settings = lease, c
	d.ruleset.generation++
	if lease.RulesetVersion > 0 {
		d.ruleset.lastVersion = lease.RulesetVersion
	}
	if d.crash.file != nil { // its figures are relative to the rate limits
		d.crash.file.SetRulesVersion(d.ruleset.lastVersion)
		base, spent := d.policy.CrashState()
		d.crash.file.Import(base, spent, d.clock.now())
	}
	return true
}

// expireRuleset withdraws the ruleset, under the lock, where its lease has expired: the policy passes
// nothing under a rate limit until another one is applied.
func (d *Dispatcher) expireRuleset() {
	if d.ruleset.lease.Valid() {
		return
	}
	c := d.ruleset.settings
	c.QuotaWithoutGossip, c.Plans = true, slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].WithheldFraction = 1
	}
	d.applyRuleset(inflight.NewLease(0, history.Bare, math.MaxInt64), c)
}

// Resize sets the number of gateway instances.
func (d *Dispatcher) Resize(instances int) {
	d.lockPolicy()
	d.policy.SetGatewayCount(instances)
	d.ruleset.settings.GatewayCount = instances
	d.ruleset.generation++
	if d.lender != nil {
		d.lender.accounts.SetInstances(instances)
	}
	d.flushAndUnlock()
}
