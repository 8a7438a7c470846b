package ruleset

// conflictBoundMillis returns the longest time for which a version may be acted on after it was superseded.
// It is the duration of a lease on a slow clock plus the longest delay of a write, as a fast clock measures
// it.
func conflictBoundMillis(leaseMillis float64) float64 {
	return (leaseMillis/(1-maxClockDrift) + maxWriteDelayMillis) * (1 + maxClockDrift)
}

// ConflictBoundMillis returns how long two instances may act on conflicting rules if the given rules are the
// superseded ones: from the activation of the next version until no instance has a lease on the given rules.
func ConflictBoundMillis(rules *Rules) float64 { return conflictBoundMillis(rules.LeaseMillis) }

// fallbackLifetimeMillis returns how long the fallback of a version may be in use after the version was
// superseded.
func fallbackLifetimeMillis(rules *Rules) float64 {
	return conflictBoundMillis(rules.LeaseMillis + rules.Fallback.DurationMillis)
}

// renewalIntervalMillis returns the time between two lease requests, or two reads.
func renewalIntervalMillis(leaseMillis float64) float64 {
	if leaseMillis == 0 {
		leaseMillis = defaultLeaseMillis
	}
	return leaseMillis / renewalsPerLease
}
