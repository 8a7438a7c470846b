package policy

import (
	"math"
)

// WatchRetryDelay returns the pause in ms before the watch is opened. failures is the number of failed
// tries in a row that cost discovery work. gateways is how many gateways may call at the same time, 0 where
// lists are pushed. Changes have to be known within dueMillis. chance is a random number from 0 to 1. The
// pauses keep the gateways of a fleet from calling all at once.
func WatchRetryDelay(failures, gateways int, dueMillis, chance float64) float64 {
	maxMillis, spreadMillis, minMillis := max(dueMillis-WatchResponseMillis, 0),
		WatchRetryPerGatewayMillis*float64(gateways), WatchRetryMillis/2*float64(min(failures, 1))
	switch {
	case gateways == 0:
		// A retry costs discovery nothing, and the missed changes arrive as soon as the watch is open.
		return minMillis * (1 + chance)
	case failures < 2:
		return max(min(spreadMillis, maxMillis)*chance, minMillis)
	}
	spreadMillis *= min(math.Pow(2, float64(failures-1)), WatchMaxBackoffFactor)
	return max(min(spreadMillis, maxMillis), WatchRetryMillis) * (1 - WatchRetryJitterFraction*(1-chance))
}

// WatchIdleTimeout returns the ms for which a watch that has sent something may be silent before it is
// ended. Its random part spreads the next calls of the gateways, within that time and not after it.
func WatchIdleTimeout(gateways int, chance float64) float64 {
	return WatchHeartbeatTimeoutMillis + WatchRetryDelay(0, gateways,
		WatchCatchUpMillis-WatchHeartbeatTimeoutMillis, chance)
}
