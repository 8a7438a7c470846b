package ruleset

// conflictBoundMillis is how long after it was superseded a version may be acted on: a lease counted by a
// slow clock, and then one delayed write, both as a fast clock counts them.
func conflictBoundMillis(leaseMillis float64) float64 {
	return (leaseMillis/(1-maxClockDrift) + maxWriteDelayMillis) * (1 + maxClockDrift)
}

// ConflictBoundMillis is how long two gatekeepers may act on conflicting rules where these are the
// superseded ones: from the moment at which others are in force until nobody acts on these any more.
func ConflictBoundMillis(rules *Rules) float64 { return conflictBoundMillis(rules.LeaseMillis) }

// fallbackLifetimeMillis is how long after a version was superseded its fallback may be in use.
func fallbackLifetimeMillis(rules *Rules) float64 {
	return conflictBoundMillis(rules.LeaseMillis + rules.Fallback.DurationMillis)
}

// renewalIntervalMillis is the time between two lease requests, or two reads.
func renewalIntervalMillis(leaseMillis float64) float64 {
	if leaseMillis == 0 {
		leaseMillis = defaultLeaseMillis
	}
	return leaseMillis / renewalsPerLease
}
