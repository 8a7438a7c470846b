package policy

import (
	"math"
)

// WatchRetryDelay is the pause before the watch is opened, ms, after so many tries in a row that cost
// discovery something in vain, by so many gateways that may ask at once (none where lists are pushed),
// where what it has to tell counts as told in due ms. Chance is from 0 to 1. Guards against a fleet that asks
// as one.
func WatchRetryDelay(tries, askers int, due, chance float64) float64 {
	most, each, least := max(due-WatchResponseMillis, 0), WatchRetryPerGatewayMillis*float64(askers),
		WatchRetryMillis/2*float64(min(tries, 1))
	switch {
	case askers == 0: // it costs nobody anything, and what is missed counts as told at once
		return least * (1 + chance)
	case tries < 2:
		return max(min(each, most)*chance, least)
	}
	each *= min(math.Pow(2, float64(tries-1)), WatchMaxBackoffFactor)
	return max(min(each, most), WatchRetryMillis) * (1 - WatchRetryJitterFraction*(1-chance))
}

// WatchIdleTimeout is how long a watch that has spoken may say nothing, ms. The askers spread in it, not
// after it.
func WatchIdleTimeout(askers int, chance float64) float64 {
	return WatchHeartbeatTimeoutMillis + WatchRetryDelay(0, askers,
		WatchCatchUpMillis-WatchHeartbeatTimeoutMillis, chance)
}
