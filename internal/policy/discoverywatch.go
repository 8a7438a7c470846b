package policy

import (
	"math"
)

// WatchRetryDelay returns the pause in ms before the watch is opened, after so many tries in a row that
// cost discovery something in vain, where askers gateways may call at the same time (0 where lists are
// pushed) and what has changed has to be known in due ms. chance is random from 0 to 1. Guards against a
// fleet whose gateways all call at once.
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

// WatchIdleTimeout returns the ms that a watch which has sent something may be silent. The calls of the
// gateways are spread in that time, not after it.
func WatchIdleTimeout(askers int, chance float64) float64 {
	return WatchHeartbeatTimeoutMillis + WatchRetryDelay(0, askers,
		WatchCatchUpMillis-WatchHeartbeatTimeoutMillis, chance)
}
